package tmslice_test

import (
	"fmt"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmslice"
)

// A new limit of 4 is added to Free, and the only entry takes units from there.
func Example() {
	team := tmfleet.NewTeam("crews", 1, 4, false).WithLimitVersion(1)
	var s tmfleet.State
	s = s.Next("", s.Config().WithTeams(tmfleet.Table[string, tmfleet.Team]{}.With("crews", team)))
	s = s.NextMembers(tmfleet.Table[string, tmfleet.Member]{}.With("i-1", tmfleet.NewMember("entry-1", "i-1", "", "")))

	none := tmfleet.Table[string, tmslice.Holding]{}
	rows, _ := tmslice.RewriteLimit([]tmslice.Row{tmslice.NewRow("i-1", 1, none)},
		tmslice.LimitChange{Team: "crews", Old: 0, Limit: 4, Version: 1})
	for i := range rows {
		rows[i] = rows[i].WithRevision(2)
	}
	l := tmslice.NewLedger(tmclock.NewManual(1), "i-1", nil)
	l.Install(s, rows...)
	fmt.Println("before:", l.Acquire("crews"))

	t, _ := l.PlanTransfers(map[string]tmslice.Demand{"i-1": {"crews": 3}}, rows)
	l.TransferCommitted(t, 3)
	fmt.Println("after:", l.Acquire("crews"), l.Available("crews"))
	// Output:
	// before: false
	// after: true 3
}
