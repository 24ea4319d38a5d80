package tmslice

import (
	"fmt"
	"testing"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// BenchmarkAcquire measures the limit check before the start of a task.
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

// BenchmarkPlanTransfers measures one rebalancing round of one of 9 entries in
// which units of every team are transferred.
func BenchmarkPlanTransfers(b *testing.B) {
	for _, teams := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			config, rich := map[string]tmfleet.Team{}, map[string]Holding{}
			demand := Demand{}
			for i := range teams {
				name := fmt.Sprint(i)
				config[name] = tmfleet.NewTeam(name, 1, 90, false)
				rich[name] = Holding{Held: 90}
				demand[name] = 20
			}
			var s tmfleet.State
			s = s.Next("", s.Config().WithTeams(tmfleet.NewTable(config)))
			members := map[string]tmfleet.Member{}
			rows := []Row{NewRow("e0", 1, tmfleet.NewTable(rich)), NewRow(Free, 1, Row{}.teams)}
			demands := map[string]Demand{}
			for i := range 9 {
				name := fmt.Sprint("e", i)
				members[name] = tmfleet.Member{}
				demands[name] = demand
				if i > 0 {
					rows = append(rows, NewRow(name, 1, Row{}.teams))
				}
			}
			s = s.NextMembers(tmfleet.NewTable(members))
			l := NewLedger(tmclock.NewManual(1), "e0", nil)
			l.Install(s, rows...)
			b.ReportAllocs()
			for b.Loop() {
				t, _ := l.PlanTransfers(demands, rows)
				l.TransferFailed(t)
			}
		})
	}
}
