package tmslice

import (
	"flag"
	"math/bits"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/internal/tmseed"
)

const (
	stepsPerRun = 400
	fixedSeed   = 20260204
)

func TestMain(m *testing.M) { tmseed.MainFrom(m, fixedSeed) }

// TestLimitHolds guards against a team that runs more than its limit under lost
// answers, doubled and reordered messages, crashes and limit changes.
func TestLimitHolds(t *testing.T) {
	t.Logf("seed %s", flag.Lookup("rapid.seed").Value)
	started, moved, reclaims := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(drawn(t), rules{})
		for range stepsPerRun {
			w.step()
			assert.NilError(t, w.violation)
		}
		started += w.started
		moved += w.moved
		reclaims += w.reclaims
	})
	t.Logf("%d starts, %d transactions, %d reclaimed rows", started, moved, reclaims)
	assert.Assert(t, started > 500 && moved > 500)
}

// drawn spreads the draws evenly, because rapid prefers small numbers.
func drawn(t *rapid.T) func(n int) int {
	return func(n int) int {
		x := rapid.Uint64().Draw(t, "pick")
		hi, lo := bits.Mul64(x^fixedSeed, 0x9e3779b97f4a7c15)
		return int((hi ^ lo) % uint64(n))
	}
}

// TestLimitHoldsOnLongRuns does the same with uniform choices, which reach
// more crashes and reclaims than those of rapid.
func TestLimitHoldsOnLongRuns(t *testing.T) {
	reclaims := 0
	seed := tmseed.First()
	t.Logf("seed %d", seed)
	for run := range uint64(300) {
		w := randomWorld(seed+run, rules{})
		assert.NilError(t, w.run(5*stepsPerRun), "run %d", run)
		reclaims += w.reclaims
	}
	t.Logf("%d reclaimed rows", reclaims)
	assert.Assert(t, reclaims > 10)
}

// TestEachRuleIsNeeded switches off one rule at a time and expects the
// violation to be found. It guards against a test that can't fail.
func TestEachRuleIsNeeded(t *testing.T) {
	controls := map[string]struct {
		rules      rules
		noDraining bool
	}{
		"giver lowers after the write":               {rules: rules{lowerAfterWrite: true}},
		"taker counts before reading":                {rules: rules{countBeforeRead: true}},
		"reclaim without the 15 s":                   {rules: rules{reclaimAtOnce: true}},
		"row with an older limit version counts":     {rules: rules{countOldVersion: true}},
		"unchanged row settles a lost answer":        {rules: rules{trustReadBack: true}},
		"starts while units are draining":            {rules: rules{ignoreDraining: true}},
		"unit without an answer is released at once": {rules: rules{releaseOnTimeout: true}},
		"units of a lowered limit don't drain":       {noDraining: true},
	}
	for name, c := range controls {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed := tmseed.First()
			t.Logf("seed %d", seed)
			for run := range uint64(3000) {
				w := randomWorld(seed+run, c.rules)
				w.noDraining = c.noDraining
				if err := w.run(5 * stepsPerRun); err != nil {
					t.Logf("run %d: %v", run, err)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// TestDemandMovesUnits guards against units that stay where nobody needs them:
// two rounds after demand moves to another entry, that entry has the limit
// except for the parts that idle entries keep.
func TestDemandMovesUnits(t *testing.T) {
	w := randomWorld(1, rules{})
	for _, busy := range []int{0, 1, 2, 0} {
		for range 4 {
			for _, e := range w.entries {
				w.deliverAll()
				w.sync(e)
				plan, ok := e.l.PlanTransfers(map[string]Demand{w.entries[busy].name: {testTeam: 100}}, w.table())
				if ok && w.apply(plan.Transaction()) {
					e.l.TransferCommitted(plan, w.revision)
				}
			}
		}
		assert.Equal(t, w.entries[busy].l.Available(testTeam), 8)
	}
}

// TestRaisedLimitWaitsForRunningTasks guards against a limit that is lowered
// and raised again while tasks of the first limit still run.
func TestRaisedLimitWaitsForRunningTasks(t *testing.T) {
	rows := []Row{
		NewRow("a", 1, Row{}.teams.With(testTeam, Holding{Held: 4, LimitVersion: 1})),
		NewRow("b", 1, Row{}.teams.With(testTeam, Holding{Held: 6, LimitVersion: 1})),
		NewRow(Free, 1, Row{}.teams.With(testTeam, Holding{LimitVersion: 1})),
	}
	rows, err := RewriteLimit(rows, LimitChange{Team: testTeam, Old: 10, Limit: 5, Version: 2})
	assert.NilError(t, err)
	assert.Equal(t, rows[0].Holding(testTeam), Holding{Held: 2, Draining: 2, LimitVersion: 2})
	assert.Equal(t, rows[2].Holding(testTeam), Holding{Held: -5, LimitVersion: 2})
	rows, err = RewriteLimit(rows, LimitChange{Team: testTeam, Old: 5, Limit: 10, Version: 3})
	assert.NilError(t, err)
	assert.Equal(t, rows[2].Holding(testTeam), Holding{Held: 0, LimitVersion: 3})
	_, err = RewriteLimit(rows, LimitChange{Team: testTeam, Old: 9, Limit: 10, Version: 4})
	assert.ErrorContains(t, err, `limit of team "t": rows add up to 10, expected 9`)
}

func (w *world) deliverAll() {
	for _, c := range w.wire {
		w.apply(c.txn)
	}
	w.wire = nil
}

func randomWorld(seed uint64, r rules) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	return newWorld(rng.IntN, r)
}

func (w *world) run(steps int) error {
	for range steps {
		w.step()
		if w.violation != nil {
			return w.violation
		}
	}
	return nil
}
