package tmchange

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmfleet"
)

const testKeyHash = "4489ff2f9ea96e76d15846c1b6fb8fe5e2831f2433aebb54ccf3be9db7d1418d"

func teamState(t *testing.T) tmfleet.State {
	s := startState(t)
	config, err := Apply(s, AllLive, []Change{
		AddTeam{Name: "crews", Share: 2, Limit: 20},
		AddQueue{Name: "scans", Pool: "p0"},
		AddQueue{Name: "public", Pool: "p1", Open: true, Team: "crews"},
		GrantKey{Hash: testKeyHash, Team: "crews", Label: "crews-anna"},
	})
	assert.NilError(t, err)
	return s.Next("teams", config)
}

// Guards against invalid changes that are accepted, and against errors that don't
// name the field and the expected value.
func TestBadChanges(t *testing.T) {
	cases := []struct {
		change          Change
		field, expected string
	}{
		{AddZone{"z0", "west"}, "name", "no zone has"},
		{AddZone{"Z", "west"}, "name", "lower-case"},
		{AddZone{"z9", ""}, "region", "lower-case"},
		{ZoneOut{"z9"}, "name", "z0, z1, z2"},
		{ZoneIn{"z9"}, "name", "z0, z1, z2"},
		{AddPool{"p0", 1}, "name", "no pool has"},
		{AddPool{"p9", 0}, "max_unavailable", "at least 1"},
		{RemovePool{"p2"}, "name", "no instance is in"},
		{RemovePool{"p0"}, "name", "without queues"},
		{SetBudget{"p9", 1}, "pool", "p0, p1, p2"},
		{SetBudget{"p0", 0}, "max_unavailable", "at least 1"},
		{SetBudget{"p0", 4}, "max_unavailable", "1 to 3"},
		{AddQueue{Name: "q", Pool: "p9"}, "pool", "p0, p1, p2"},
		{AddQueue{Name: "scans", Pool: "p0"}, "name", "no queue has"},
		{AddQueue{Name: "q", Pool: "p0", Team: "crews"}, "team", "no team"},
		{AddQueue{Name: "q", Pool: "p0", Open: true, Team: "x"}, "team", "crews"},
		{RemoveQueue{"x"}, "name", "public, scans"},
		{AddTeam{Name: "crews", Share: 1, Limit: 1}, "name", "no team has"},
		{AddTeam{Name: "x", Share: 0, Limit: 1}, "share", "1 to"},
		{AddTeam{Name: "x", Share: 1, Limit: 97}, "limit", "1 to 96"},
		{RemoveTeam{"crews"}, "name", "withdrawn"},
		{RemoveTeam{"crews"}, "name", "open queues"},
		{SetShare{"x", 1}, "team", "crews"},
		{SetShare{"crews", -1}, "share", "1 to"},
		{SetLimit{"crews", 0}, "limit", "at least 1"},
		{SetLimit{"crews", 97}, "limit", "1 to 96"},
		{GrantKey{strings.ToUpper(testKeyHash), "crews", "b"}, "hash", "64 lower-case"},
		{GrantKey{testKeyHash, "crews", "b"}, "hash", "new key"},
		{GrantKey{strings.Repeat("0", 64), "x", "b"}, "team", "crews"},
		{GrantKey{strings.Repeat("0", 64), "crews", "crews-anna"}, "label", "no key has"},
		{WithdrawKey{}, "label", "either"},
		{WithdrawKey{Label: "x"}, "label", "granted key"},
		{WithdrawKey{Hash: strings.Repeat("0", 64)}, "hash", "granted key"},
		{AddInstance{"i0", "127.0.0.1:1", "z0", "r", "p1", 8}, "name", "move_instance"},
		{AddInstance{"i0", "127.0.0.1:1", "z0", "r", "p0", 8}, "name", "no instance has"},
		{AddInstance{"n", "127.0.0.1:9000", "z0", "r", "p0", 8}, "address", "no instance has"},
		{AddInstance{"n", "localhost:1", "z0", "r", "p0", 8}, "address", "IP:port"},
		{AddInstance{"n", "127.0.0.1:1", "z9", "r", "p0", 8}, "zone", "z0"},
		{AddInstance{"n", "127.0.0.1:1", "z0", "r", "p9", 8}, "pool", "p0"},
		{AddInstance{"n", "127.0.0.1:1", "z0", "r", "p0", 0}, "slots", "1 to"},
		{RemoveInstance{"i0"}, "name", "leaving"},
		{MoveInstance{"i0", "p9"}, "to", "p0"},
		{MoveInstance{"i0", "p0"}, "to", "another pool"},
		{FinishMove{"i0"}, "name", "earlier request"},
		{MarkRebooting{"i0"}, "name", "draining"},
		{MarkServing{"x"}, "name", "existing instances"},
		{nil, "op", "a known change"},
	}
	s := teamState(t)
	for _, c := range cases {
		// The valid change before the invalid one must not be applied either.
		config, err := Apply(s, AllLive, []Change{SetShare{"crews", 3}, c.change})
		var invalid *InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%#v accepted", c.change)
		assert.Equal(t, config.Teams().Len(), 0)
		found := false
		for _, p := range invalid.Problems {
			found = found || (p.Field == "changes[1]."+c.field && strings.Contains(p.Expected, c.expected))
		}
		assert.Assert(t, found, "%#v: %v", c.change, err)
	}
}

// Guards against a changed limit that keeps its old version, under which the
// slices of the limit would still be counted.
func TestLimitVersion(t *testing.T) {
	s := teamState(t)
	config, err := Apply(s, AllLive, []Change{SetLimit{"crews", 30}})
	assert.NilError(t, err)
	team, _ := config.Teams().Get("crews")
	assert.Equal(t, team.LimitVersion(), s.Next("", config).Version())
}

// Guards against accepting a request that combines changes which need two
// versions, or whose changes together exceed a budget although each alone does
// not.
func TestCombinedChanges(t *testing.T) {
	refused := [][]Change{
		{MarkLeaving{"i0"}, RemoveInstance{"i0"}},
		{MarkDraining{"i0"}, MarkRebooting{"i0"}},
		{MoveInstance{"i0", "p1"}, FinishMove{"i0"}},
		{MarkDraining{"i0"}, MoveInstance{"i3", "p1"}},
		{SetBudget{"p0", 2}, MarkDraining{"i0"}, MarkDraining{"i3"}, SetBudget{"p0", 1}},
		{ZoneOut{"z0"}, MarkDraining{"i6"}},
	}
	for _, changes := range refused {
		_, err := Apply(startState(t), AllLive, changes)
		assert.Assert(t, err != nil, "%#v accepted", changes)
	}
	_, err := Apply(startState(t), AllLive, refused[5])
	assert.Assert(t, errors.Is(err, ErrBudget))
	_, err = Apply(startState(t), AllLive, []Change{ZoneOut{"z0"}, ZoneOut{"z1"}})
	assert.NilError(t, err)
}

// Guards against a move between pools that can't be completed or that loses the
// instance.
func TestMove(t *testing.T) {
	s := startState(t)
	config, err := Apply(s, AllLive, []Change{MoveInstance{"i0", "p1"}})
	assert.NilError(t, err)
	config, err = Apply(s.Next("", config), AllLive, []Change{FinishMove{"i0"}})
	assert.NilError(t, err)
	in, _ := config.Instances().Get("i0")
	assert.Equal(t, in.Pool(), "p1")
	assert.Equal(t, in.MoveTo(), "")
}
