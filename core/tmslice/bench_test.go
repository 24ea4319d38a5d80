package tmslice

import (
	"fmt"
	"testing"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// BenchmarkAcquire measures the check of a limit before one start.
func BenchmarkAcquire(b *testing.B) {
	for _, teams := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			config, rows := map[string]tmfleet.Team{}, map[string]Holding{}
			for i := range teams {
				config[fmt.Sprint(i)] = tmfleet.NewTeam(fmt.Sprint(i), 1, 10, false)
				rows[fmt.Sprint(i)] = Holding{Held: 10}
			}
			var s tmfleet.State
			s = s.Next("", s.Config().WithTeams(tmfleet.NewTable(config)))
			l := NewLedger(tmclock.NewManual(1), "e", nil)
			l.Install(s, NewRow("e", 1, tmfleet.NewTable(rows)))
			b.ReportAllocs()
			for b.Loop() {
				l.Acquire("7")
				l.Release("7")
			}
		})
	}
}
