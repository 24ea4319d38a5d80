package tmslice

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// TestBusyEntryGivesUnitsAsTasksEnd guards against starvation of an entry
// without units while another entry keeps all of its units in use.
func TestBusyEntryGivesUnitsAsTasksEnd(t *testing.T) {
	team := tmfleet.NewTeam(testTeam, 1, 4, false).WithLimitVersion(1)
	var s tmfleet.State
	s = s.Next("", s.Config().WithTeams(tmfleet.Table[string, tmfleet.Team]{}.With(testTeam, team)))
	members := tmfleet.Table[string, tmfleet.Member]{}.
		With("a", tmfleet.NewMember("a", "a", "", "")).
		With("b", tmfleet.NewMember("b", "b", "", ""))
	s = s.NextMembers(members)
	rows := []Row{
		NewRow("a", 2, Row{}.teams.With(testTeam, Holding{Held: 4, LimitVersion: 1})),
		NewRow("b", 2, Row{}.teams),
		NewRow(Free, 2, Row{}.teams.With(testTeam, Holding{LimitVersion: 1})),
	}
	l := NewLedger(tmclock.NewManual(1), "a", nil)
	l.Install(s, rows...)
	for range 4 {
		assert.Assert(t, l.Acquire(testTeam))
	}
	demands := map[string]Demand{"a": {testTeam: 10}, "b": {testTeam: 10}}
	_, ok := l.PlanTransfers(demands, rows)
	assert.Assert(t, !ok)
	l.Release(testTeam)
	assert.Assert(t, !l.Acquire(testTeam), "the unit is needed by the other entry")
	transfer, ok := l.PlanTransfers(demands, rows)
	assert.Assert(t, ok)
	for _, row := range transfer.Transaction().Writes {
		if row.Key() == "b" {
			assert.Equal(t, row.Holding(testTeam).Held, 1)
		}
	}
}

// TestReturnOnShutdown guards against units that stay unusable until they are
// reclaimed although their holder has shut down gracefully, and against units
// that are returned while a task uses them.
func TestReturnOnShutdown(t *testing.T) {
	team := tmfleet.NewTeam(testTeam, 1, 4, false).WithLimitVersion(1)
	var s tmfleet.State
	s = s.Next("", s.Config().WithTeams(tmfleet.Table[string, tmfleet.Team]{}.With(testTeam, team)))
	rows := []Row{
		NewRow("a", 2, Row{}.teams.With(testTeam, Holding{Held: 3, LimitVersion: 1})),
		NewRow(Free, 2, Row{}.teams.With(testTeam, Holding{Held: 1, LimitVersion: 1})),
	}
	l := NewLedger(tmclock.NewManual(1), "a", nil)
	l.Install(s, rows...)
	assert.Assert(t, l.Acquire(testTeam))
	_, ok := l.PlanReturn(rows)
	assert.Assert(t, !ok)
	l.Release(testTeam)
	txn, ok := l.PlanReturn(rows)
	assert.Assert(t, ok)
	assert.Equal(t, txn.Writes[0].Holding(testTeam).Held, 4)
	assert.DeepEqual(t, txn.Deletes, []string{"a"})
	assert.Assert(t, !l.Acquire(testTeam))
	txn, _ = l.PlanReturn(rows)
	assert.Equal(t, txn.Writes[0].Holding(testTeam).Held, 4, "planned again after a conflict")
}
