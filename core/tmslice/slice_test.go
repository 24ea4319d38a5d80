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

// TestLimitHolds guards against a team that runs more tasks than its limit when
// answers are lost, messages are duplicated and reordered, entries crash and
// limits change.
func TestLimitHolds(t *testing.T) {
	t.Logf("seed %s", flag.Lookup("rapid.seed").Value)
	started, committed, reclaims := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(uniformPick(t), disabledRules{})
		for range stepsPerRun {
			sim.step()
			assert.NilError(t, sim.violation)
		}
		started += sim.started
		committed += sim.committed
		reclaims += sim.reclaims
	})
	t.Logf("%d starts, %d transactions, %d reclaimed rows", started, committed, reclaims)
	assert.Assert(t, started > 500 && committed > 500)
}

// uniformPick returns a function that draws from 0 to n-1 evenly. Rapid itself
// prefers small numbers.
func uniformPick(t *rapid.T) func(n int) int {
	return func(n int) int {
		x := rapid.Uint64().Draw(t, "pick")
		hi, lo := bits.Mul64(x^fixedSeed, 0x9e3779b97f4a7c15)
		return int((hi ^ lo) % uint64(n))
	}
}

// TestLimitHoldsOnLongRuns guards against the same failure on longer runs with
// uniformly random steps, which reach more crashes and reclaims than those
// drawn by rapid.
func TestLimitHoldsOnLongRuns(t *testing.T) {
	reclaims := 0
	seed := tmseed.First()
	t.Logf("seed %d", seed)
	for run := range uint64(300) {
		sim := randomSimulation(seed+run, disabledRules{})
		assert.NilError(t, sim.run(5*stepsPerRun), "run %d", run)
		reclaims += sim.reclaims
	}
	t.Logf("%d reclaimed rows", reclaims)
	assert.Assert(t, reclaims > 10)
}

// TestEachRuleIsNeeded guards against a property test that can't fail: it
// disables one safety rule at a time and expects a violation.
func TestEachRuleIsNeeded(t *testing.T) {
	cases := map[string]struct {
		disabled   disabledRules
		noDraining bool
	}{
		"giver lowers after the write":               {disabled: disabledRules{lowerAfterWrite: true}},
		"taker counts before reading":                {disabled: disabledRules{countBeforeRead: true}},
		"reclaim without the 15 s":                   {disabled: disabledRules{reclaimImmediately: true}},
		"row with an older limit version counts":     {disabled: disabledRules{acceptOldLimitVersion: true}},
		"unchanged row resolves a lost answer":       {disabled: disabledRules{trustUnchangedRow: true}},
		"starts while units are draining":            {disabled: disabledRules{ignoreDraining: true}},
		"unit without an answer is released at once": {disabled: disabledRules{releaseOnTimeout: true}},
		"units of a lowered limit don't drain":       {noDraining: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seed := tmseed.First()
			t.Logf("seed %d", seed)
			for run := range uint64(3000) {
				sim := randomSimulation(seed+run, c.disabled)
				sim.noDraining = c.noDraining
				if err := sim.run(5 * stepsPerRun); err != nil {
					t.Logf("run %d: %v", run, err)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// TestDemandMovesUnits guards against units that stay with entries without
// demand: two rounds after demand moves to another entry, that entry holds the
// limit except for the parts that idle entries keep.
func TestDemandMovesUnits(t *testing.T) {
	sim := randomSimulation(1, disabledRules{})
	for _, busy := range []int{0, 1, 2, 0} {
		for range 4 {
			for _, e := range sim.entries {
				sim.deliverAll()
				sim.sync(e)
				transfer, ok := e.l.PlanTransfers(map[string]Demand{sim.entries[busy].name: {testTeam: 100}}, sim.table())
				if ok && sim.apply(transfer.Transaction()) {
					e.l.TransferCommitted(transfer, sim.revision)
				}
			}
		}
		assert.Equal(t, sim.entries[busy].l.Available(testTeam), 8)
	}
}

// TestRaisedLimitWaitsForRunningTasks guards against more units than the limit
// when it is lowered and raised again while tasks started under the first limit
// still run.
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

func (sim *simulation) deliverAll() {
	for _, c := range sim.inFlight {
		sim.apply(c.txn)
	}
	sim.inFlight = nil
}

func randomSimulation(seed uint64, disabled disabledRules) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	return newSimulation(rng.IntN, disabled)
}

func (sim *simulation) run(steps int) error {
	for range steps {
		sim.step()
		if sim.violation != nil {
			return sim.violation
		}
	}
	return nil
}
