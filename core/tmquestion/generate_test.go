package tmquestion_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmquestion"
)

// fleet returns a State with two pools of five instances, each with 8 slots, to
// which the changes in more have been applied.
func fleet(t testing.TB, more ...tmchange.Change) tmfleet.State {
	changes := []tmchange.Change{
		tmchange.AddZone{Name: "z0", Region: "west"},
		tmchange.AddPool{Name: "steps", MaxUnavailable: 2},
		tmchange.AddPool{Name: "spares", MaxUnavailable: 1},
		tmchange.AddQueue{Name: "scans", Pool: "steps"},
	}
	for i := range 10 {
		pool := []string{"steps", "spares"}[i%2]
		changes = append(changes, tmchange.AddInstance{
			Name: fmt.Sprintf("i%d", i), Address: fmt.Sprintf("127.0.0.1:%d", 9000+i),
			Zone: "z0", Rack: "r1", Pool: pool, Slots: 8,
		})
	}
	config, err := tmchange.Apply(tmfleet.State{}, tmchange.AllLive, append(changes, more...))
	assert.NilError(t, err)
	return tmfleet.State{}.Next("", config)
}

func goodAnswers() map[string]string {
	return map[string]string{
		tmquestion.KeyTeam:         "crews",
		tmquestion.KeyWork:         "plans cleaning crews",
		tmquestion.KeyLargestTasks: "40",
		tmquestion.KeyUsualTasks:   "20",
		tmquestion.KeyQueues:       "scans, jobs",
		tmquestion.KeyPool:         "spares",
		tmquestion.KeyKeyHolders:   "anna",
	}
}

// Guards against a generated configuration that differs from the answers or that
// tmchange.Apply refuses.
func TestGenerate(t *testing.T) {
	raw := goodAnswers()
	raw[tmquestion.KeyMaxUnavailable] = "1"
	raw[tmquestion.KeyUrgent] = "yes"
	answers, err := tmquestion.NewAnswers(raw)
	assert.NilError(t, err)
	s := fleet(t, tmchange.AddTeam{Name: "old", Share: 1, Limit: 80})
	changes, why, err := tmquestion.Generate(answers, s.Config())
	assert.NilError(t, err)
	assert.DeepEqual(t, changes, []tmchange.Change{
		// The old team's share of 1 corresponds to 80 tasks, so 20 tasks are a share
		// of 1/4. The new share is at least 10, so all shares are scaled by 40.
		tmchange.SetShare{Team: "old", Share: 40},
		tmchange.AddTeam{Name: "crews", Share: 10, Limit: 40, Urgent: true},
		tmchange.AddQueue{Name: "jobs", Pool: "spares"},
		tmchange.SetBudget{Pool: "steps", MaxUnavailable: 1},
	})
	_, err = tmchange.Apply(s, tmchange.AllLive, changes)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(why.String(), "about 16 of 80 slots"), why.String())
}

// Guards against deriving the share of the first team in a different unit from
// that of later teams.
func TestFirstTeamShare(t *testing.T) {
	answers, err := tmquestion.NewAnswers(goodAnswers())
	assert.NilError(t, err)
	changes, _, err := tmquestion.Generate(answers, fleet(t).Config())
	assert.NilError(t, err)
	assert.Equal(t, changes[0], tmchange.Change(tmchange.AddTeam{Name: "crews", Share: 20, Limit: 40}))
}

// Guards against invalid answers that are accepted, and against errors that don't
// name the question and the expected answer.
func TestBadAnswers(t *testing.T) {
	cases := []struct{ key, value, field, expected string }{
		{tmquestion.KeyTeam, "Crews", tmquestion.KeyTeam, "lower-case"},
		{tmquestion.KeyTeam, "old", tmquestion.KeyTeam, "no team has"},
		{tmquestion.KeyTeam, strings.Repeat("a", 60), tmquestion.KeyKeyHolders, "shorter"},
		{tmquestion.KeyWork, " ", tmquestion.KeyWork, "1 to 200"},
		{tmquestion.KeyLargestTasks, "many", tmquestion.KeyLargestTasks, "whole number"},
		{tmquestion.KeyLargestTasks, "81", tmquestion.KeyLargestTasks, "1 to 80"},
		{tmquestion.KeyUsualTasks, "41", tmquestion.KeyUsualTasks, "1 to 40"},
		{tmquestion.KeyDeadline, "30", tmquestion.KeyDeadline, "unit"},
		{tmquestion.KeyDeadline, "6m", tmquestion.KeyDeadline, "unit"},
		{tmquestion.KeyUrgent, "maybe", tmquestion.KeyUrgent, "yes or no"},
		{tmquestion.KeyQueues, "a,,b", tmquestion.KeyQueues, "commas"},
		{tmquestion.KeyQueues, "a,a", tmquestion.KeyQueues, "commas"},
		{tmquestion.KeyPool, "x", tmquestion.KeyPool, "spares, steps"},
		{tmquestion.KeyPool, "", tmquestion.KeyPool, "spares, steps"},
		{tmquestion.KeyMaxUnavailable, "0", tmquestion.KeyMaxUnavailable, "from 1"},
		{"colour", "red", "colour", "one of team"},
	}
	s := fleet(t, tmchange.AddTeam{Name: "old", Share: 1, Limit: 80})
	for _, c := range cases {
		raw := goodAnswers()
		raw[c.key] = c.value
		answers, err := tmquestion.NewAnswers(raw)
		if err == nil {
			_, _, err = tmquestion.Generate(answers, s.Config())
		}
		var invalid *tmquestion.InvalidError
		assert.Assert(t, errors.As(err, &invalid), "%s = %q accepted", c.key, c.value)
		found := false
		for _, p := range invalid.Problems {
			found = found || (p.Field == c.field && strings.Contains(p.Expected, c.expected))
		}
		assert.Assert(t, found, "%s = %q: %v", c.key, c.value, err)
	}
}

// Guards against panics on arbitrary answers, and against generated changes that
// tmchange.Apply refuses.
func FuzzAnswers(f *testing.F) {
	s := fleet(f, tmchange.AddTeam{Name: "old", Share: 3, Limit: 50})
	f.Add("crews", "40", "20", "scans,jobs", "spares", "2", "anna")
	f.Add("", "1e3", "-1", ",", "\x00", "", "a,b")
	f.Fuzz(func(t *testing.T, team, largest, usual, queues, pool, unavailable, holders string) {
		answers, err := tmquestion.NewAnswers(map[string]string{
			tmquestion.KeyTeam: team, tmquestion.KeyWork: "w", tmquestion.KeyLargestTasks: largest,
			tmquestion.KeyUsualTasks: usual, tmquestion.KeyQueues: queues, tmquestion.KeyPool: pool,
			tmquestion.KeyMaxUnavailable: unavailable, tmquestion.KeyKeyHolders: holders,
		})
		var invalid *tmquestion.InvalidError
		if err != nil {
			assert.Assert(t, errors.As(err, &invalid))
			return
		}
		changes, _, err := tmquestion.Generate(answers, s.Config())
		if err != nil {
			assert.Assert(t, errors.As(err, &invalid))
			return
		}
		_, err = tmchange.Apply(s, tmchange.AllLive, changes)
		assert.NilError(t, err)
	})
}
