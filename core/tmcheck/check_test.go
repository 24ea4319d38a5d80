package tmcheck

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
)

const testKeyHash = "4489ff2f9ea96e76d15846c1b6fb8fe5e2831f2433aebb54ccf3be9db7d1418d"

// testState has two zones, the pools p0 and p1 with three instances of 8 slots
// each, and a team that has a key and two queues. It has no finding.
func testState(t *testing.T) tmfleet.State {
	t.Helper()
	changes := []tmchange.Change{
		tmchange.AddZone{Name: "z0", Region: "west"},
		tmchange.AddZone{Name: "z1", Region: "west"},
		tmchange.AddPool{Name: "p0", MaxUnavailable: 1},
		tmchange.AddPool{Name: "p1", MaxUnavailable: 2},
	}
	for i := range 6 {
		changes = append(changes, instance(fmt.Sprintf("i%d", i), fmt.Sprintf("z%d", i%2), fmt.Sprintf("p%d", i/3)))
	}
	changes = append(changes,
		tmchange.AddTeam{Name: "crews", Share: 2, Limit: 20},
		tmchange.AddQueue{Name: "scans", Pool: "p0"},
		tmchange.AddQueue{Name: "public", Pool: "p1", Open: true, Team: "crews"},
		tmchange.GrantKey{Hash: testKeyHash, Team: "crews", Label: "anna"})
	config, err := tmchange.Apply(tmfleet.State{}, tmchange.AllLive, changes)
	assert.NilError(t, err)
	assert.Equal(t, len(checkConfig(config, tmchange.AllLive)), 0)
	return tmfleet.State{}.Next("start", config)
}

func instance(name, zone, pool string) tmchange.AddInstance {
	port := 9000 + int(name[len(name)-1])
	return tmchange.AddInstance{Name: name, Address: fmt.Sprintf("127.0.0.1:%d", port), Zone: zone, Rack: "r", Pool: pool, Slots: 8}
}

// summary returns the findings as lines of severity, name and place.
func summary(findings []Finding) []string {
	lines := []string{}
	for _, f := range findings {
		lines = append(lines, fmt.Sprintf("%s %s %s", f.Severity, f.Name, f.Place))
	}
	return lines
}

type list = []tmchange.Change

// Guards against refused files whose problems have no name or the wrong one.
func TestErrors(t *testing.T) {
	badInstance := instance("i9", "z0", "p0")
	badInstance.Address = "x"
	cases := map[tmchange.ProblemKind]list{
		tmchange.BadForm:         {nil},
		tmchange.ChangeCount:     {},
		tmchange.BadName:         {tmchange.AddZone{Name: "Z", Region: "west"}},
		tmchange.NameTaken:       {tmchange.AddZone{Name: "z0", Region: "west"}},
		tmchange.UnknownName:     {tmchange.GrantKey{Hash: strings.Repeat("0", 64), Team: "x", Label: "b"}},
		tmchange.OutOfRange:      {tmchange.SetShare{Team: "crews", Share: 0}},
		tmchange.LimitAboveFleet: {tmchange.SetLimit{Team: "crews", Limit: 49}},
		tmchange.BadAddress:      {badInstance},
		tmchange.AddressTaken: {
			instance("i8", "z0", "p0"),
			tmchange.AddInstance{Name: "i9", Address: instance("i8", "", "").Address, Zone: "z0", Rack: "r", Pool: "p0", Slots: 8},
		},
		tmchange.WrongState:       {tmchange.FinishMove{Name: "i0"}},
		tmchange.InUse:            {tmchange.RemovePool{Name: "p0"}},
		tmchange.TeamNotPermitted: {tmchange.AddQueue{Name: "q", Pool: "p0", Team: "crews"}},
		tmchange.BadHash:          {tmchange.GrantKey{Hash: "x", Team: "crews", Label: "b"}},
		tmchange.HashTaken:        {tmchange.GrantKey{Hash: testKeyHash, Team: "crews", Label: "b"}},
		tmchange.KeyAmbiguous:     {tmchange.WithdrawKey{}},
		tmchange.BudgetTooLarge:   {tmchange.SetBudget{Pool: "p0", MaxUnavailable: 3}},
		tmchange.BudgetBelowPlanned: {
			tmchange.SetBudget{Pool: "p1", MaxUnavailable: 1},
			tmchange.MarkDraining{Name: "i3"},
			tmchange.MarkDraining{Name: "i4"},
		},
		tmchange.BudgetExceeded: {tmchange.MarkDraining{Name: "i0"}, tmchange.MarkDraining{Name: "i1"}},
	}
	for kind, changes := range cases {
		report, err := Check(testState(t), tmchange.AllLive, changes)
		assert.Assert(t, err != nil, kind)
		first := report.Findings[0]
		assert.Equal(t, first.Name, Name(kind))
		assert.Equal(t, first.Severity, Error)
		assert.Assert(t, strings.HasPrefix(first.Place, "changes") && first.Message != "" && first.Expected != "", first)
	}
	assert.Equal(t, len(FromError(errors.New("no connection"))), 0)
}

// Guards against files that are accepted although an entry can never take effect
// or a limit contradicts another, and against warnings about sound files.
func TestWarnings(t *testing.T) {
	leave := func(names ...string) (changes list) {
		for _, n := range names {
			changes = append(changes, tmchange.RemoveInstance{Name: n})
		}
		return changes
	}
	cases := []struct {
		changes list
		want    []string
	}{
		{list{tmchange.SetShare{Team: "crews", Share: 3}}, []string{}},
		{list{tmchange.SetLimit{Team: "crews", Limit: 3}, tmchange.SetLimit{Team: "crews", Limit: 4}}, []string{"warning change_overridden changes[0]"}},
		{list{tmchange.SetLimit{Team: "crews", Limit: 20}}, []string{"warning change_without_effect changes[0]"}},
		{list{tmchange.ZoneOut{Name: "z0"}, tmchange.ZoneIn{Name: "z0"}}, []string{
			"warning change_overridden changes[0]", "warning change_without_effect changes[1]",
		}},
		{list{tmchange.MarkServing{Name: "i3"}, tmchange.MarkDraining{Name: "i3"}}, []string{}},
		{list{tmchange.AddTeam{Name: "x", Share: 1, Limit: 1}, tmchange.SetShare{Team: "x", Share: 1}}, []string{"warning team_without_access teams.x"}},
		{list{tmchange.MarkDraining{Name: "i3"}, tmchange.MarkServing{Name: "i3"}, tmchange.MoveInstance{Name: "i3", To: "p0"}}, []string{"warning change_overridden changes[0]"}},
		{list{tmchange.AddPool{Name: "p9", MaxUnavailable: 1}, tmchange.RemovePool{Name: "p9"}}, []string{"warning change_overridden changes[0]"}},
		{list{tmchange.WithdrawKey{Label: "anna"}, tmchange.GrantKey{Hash: testKeyHash, Team: "crews", Label: "anna"}}, []string{}},
		{list{instance("i9", "z0", "p1"), tmchange.MarkDraining{Name: "i9"}}, []string{}},
		{list{tmchange.AddZone{Name: "z9", Region: "west"}}, []string{"warning zone_without_instances zones.z9"}},
		{list{tmchange.AddPool{Name: "p9", MaxUnavailable: 1}}, []string{"warning pool_without_instances pools.p9"}},
		{list{tmchange.AddPool{Name: "p9", MaxUnavailable: 1}, tmchange.MoveInstance{Name: "i5", To: "p9"}}, []string{}},
		{list{tmchange.AddPool{Name: "p9", MaxUnavailable: 1}, tmchange.AddQueue{Name: "q", Pool: "p9"}}, []string{"warning pool_without_instances pools.p9", "warning queue_unserved queues.q"}},
		{list{tmchange.ZoneOut{Name: "z0"}, tmchange.ZoneOut{Name: "z1"}}, []string{
			"warning budget_overrun pools.p0", "warning budget_overrun pools.p1",
			"warning queue_unserved queues.public", "warning queue_unserved queues.scans",
		}},
		{list{tmchange.MarkDraining{Name: "i0"}}, []string{}},
		{list{tmchange.AddTeam{Name: "x", Share: 1, Limit: 1}}, []string{"warning team_without_access teams.x"}},
		{list{tmchange.AddTeam{Name: "x", Share: 1, Limit: 1}, tmchange.AddQueue{Name: "q", Pool: "p0", Open: true, Team: "x"}}, []string{}},
		{list{tmchange.RemoveQueue{Name: "public"}, tmchange.SetLimit{Team: "crews", Limit: 24}}, []string{}},
		{list{tmchange.RemoveQueue{Name: "public"}, tmchange.SetLimit{Team: "crews", Limit: 25}}, []string{"warning limit_above_pools teams.crews"}},
		{
			list{tmchange.RemoveQueue{Name: "public"}, tmchange.AddQueue{Name: "q", Pool: "p0"}, tmchange.SetLimit{Team: "crews", Limit: 25}},
			[]string{"warning limit_above_pools teams.crews"},
		},
		{leave("i4"), []string{"warning budget_covers_pool pools.p1"}},
	}
	for i, c := range cases {
		// Instances that aren't live may be removed in one step.
		live := func(name string) bool {
			return !slices.Contains(c.changes, tmchange.Change(tmchange.RemoveInstance{Name: name}))
		}
		report, err := Check(testState(t), live, c.changes)
		assert.NilError(t, err, "case %d", i)
		assert.DeepEqual(t, summary(report.Findings), c.want)
	}
}

// Guards against findings of the version in force that look as if the file had
// caused them.
func TestInForce(t *testing.T) {
	s := testState(t)
	config, err := tmchange.Apply(s, tmchange.AllLive, list{tmchange.AddZone{Name: "z8", Region: "west"}})
	assert.NilError(t, err)
	report, err := Check(s.Next("zone", config), tmchange.AllLive, list{tmchange.AddZone{Name: "z9", Region: "west"}})
	assert.NilError(t, err)
	assert.DeepEqual(t, summary(report.Findings), []string{"warning zone_without_instances zones.z8", "warning zone_without_instances zones.z9"})
	assert.Assert(t, report.Findings[0].InForce && !report.Findings[1].InForce)
}

// Guards against differences that are missing, that name the wrong field, or that
// only the version of a limit causes.
func TestDifferences(t *testing.T) {
	s := testState(t)
	report, err := Check(s, tmchange.AllLive, list{
		tmchange.ZoneOut{Name: "z1"},
		tmchange.SetBudget{Pool: "p0", MaxUnavailable: 2},
		tmchange.RemoveQueue{Name: "scans"},
		tmchange.AddQueue{Name: "q", Pool: "p1"},
		tmchange.SetLimit{Team: "crews", Limit: 21},
		tmchange.WithdrawKey{Label: "anna"},
		tmchange.MoveInstance{Name: "i0", To: "p1"},
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, report.Differences, []Difference{
		{Changed, "zones", "z1", []FieldDifference{{"out", "false", "true"}}},
		{Changed, "pools", "p0", []FieldDifference{{"max_unavailable", "1", "2"}}},
		{Removed, "queues", "scans", []FieldDifference{{"pool", "p0", ""}, {"open", "false", ""}}},
		{Added, "queues", "q", []FieldDifference{{"pool", "", "p1"}, {"open", "", "false"}}},
		{Changed, "teams", "crews", []FieldDifference{{"limit", "20", "21"}}},
		{Removed, "keys", "anna", []FieldDifference{{"hash", testKeyHash, ""}, {"team", "crews", ""}}},
		{Changed, "instances", "i0", []FieldDifference{{"move_to", "", "p1"}}},
	})
	assert.Equal(t, len(Differences(s.Config(), s.Config())), 0)
	report, err = Check(s, tmchange.AllLive, list{tmchange.SetLimit{Team: "crews", Limit: 20}})
	assert.NilError(t, err)
	assert.Equal(t, len(report.Differences), 0)
}
