package tmonce

import (
	"errors"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmclock"
	"turmericmoor/internal/tmseed"
)

func TestMain(m *testing.M) { tmseed.Main(m) }

// TestAtMostOnce guards against running a request twice and against a false
// not_run when calls through several entries meet lost answers, delayed
// transactions, crashes, pauses and clock skew.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.IntRange(0, 1<<20)
		sim := newSimulation(func(n int) int { return choices.Draw(t, "choice") % n }, simConfig{})
		for range 250 {
			sim.step()
			assert.NilError(t, sim.err)
		}
	})
	seed := tmseed.First()
	for i := range uint64(8000) {
		if err := simulate(seed+i, simConfig{}); err != nil {
			t.Fatalf("seed %d: %v", seed+i, err)
		}
	}
}

func simulate(seed uint64, opt simConfig) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	sim := newSimulation(rng.IntN, opt)
	for range 400 {
		sim.step()
		if sim.err != nil {
			return sim.err
		}
	}
	return nil
}

// TestNegativeControls guards against a simulation that can't detect violations:
// it must find one whenever a rule is disabled.
func TestNegativeControls(t *testing.T) {
	for name, opt := range map[string]simConfig{
		"resend after an indeterminate attempt":  {resendIndeterminate: true},
		"not_run after an indeterminate attempt": {indeterminateAsNotRun: true},
		"lost answer treated as a commit":        {assumeCommitted: true},
		"rows deleted after 5 minutes":           {earlySweep: true},
		"no age check after the commit":          {noSendAgeCheck: true},
		"sent without a check of the row":        {noRowCheck: true},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range uint64(60000) {
				if err := simulate(tmseed.First()+i, opt); err != nil {
					t.Logf("found after %d runs: %v", i+1, err)
					return
				}
			}
			t.Fatal("no violation found with the rule disabled")
		})
	}
}

// TestIDs guards against accepting ids without a time, and against deleting the
// row of a request that may still be sent.
func TestIDs(t *testing.T) {
	_, err := ParseID("x")
	assert.ErrorIs(t, err, ErrMalformed)
	_, err = ParseID(uuid.NewString())
	assert.ErrorIs(t, err, ErrWrongVersion)
	id, err := NewID()
	assert.NilError(t, err)
	at := id.Time()
	assert.NilError(t, id.CheckAge(at.Add(maxAge)))
	assert.ErrorIs(t, id.CheckAge(at.Add(maxAge+1)), ErrTooOld)
	assert.NilError(t, id.CheckAge(at.Add(-maxAhead)))
	err = id.CheckAge(at.Add(-maxAhead - 1))
	assert.ErrorIs(t, err, ErrTooFarAhead)
	var idErr *IDError
	assert.Assert(t, errors.As(err, &idErr))
	assert.Equal(t, idErr.Outcome(), Unknown)
	const skew = tmclock.Second
	s := NewSweeper("a")
	for _, sw := range s.Due(at.Add(maxSendAge+skew), []string{"a"}) {
		assert.Assert(t, id.RowKey("t") > sw.Until, "the row is deleted while its request may still be sent")
	}
}

// TestBatchLimits guards against transactions above the size limits of the table
// service and against a rate above the entry's share of 80 transactions per
// second.
func TestBatchLimits(t *testing.T) {
	clock := tmclock.NewManual(1)
	b := NewBatch(clock, 8)
	rec := NewClaim("e", "n").Start("d").Finish(Ran, 200, make([]byte, MaxAnswerSize))
	for i := range 3000 {
		assert.NilError(t, b.Add(Write{Op: Complete, Key: strconv.Itoa(i), Record: rec}))
	}
	assert.ErrorIs(t, b.Add(Write{Key: "7"}), ErrKeyPending)
	taken := 0
	for end := clock.Now().Add(tmclock.Second); clock.Now().Before(end); clock.Advance(b.Wait()) {
		size := 0
		writes := b.Take()
		for _, w := range writes {
			size += w.size()
		}
		assert.Assert(t, len(writes) <= maxRows && size <= maxBytes)
		if writes != nil {
			taken++
		}
		b.Committed(uint64(taken))
	}
	assert.Assert(t, taken >= 16 && taken <= 18, "%d transactions in one second, want 16 to 18", taken)
}

// BenchmarkBatch measures the batching of one row write, without I/O. A request
// takes two row writes.
func BenchmarkBatch(b *testing.B) {
	clock := tmclock.NewManual(1)
	batch := NewBatch(clock, 9)
	rec := NewClaim("e", "n").Start("d")
	for i := 0; b.Loop(); i++ {
		_ = batch.Add(Write{Op: Create, Key: strconv.Itoa(i), Record: rec})
		if batch.Len() == maxRows {
			clock.Advance(tmclock.Second)
			batch.Take()
			batch.Committed(1)
		}
	}
}
