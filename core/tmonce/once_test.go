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

// TestAtMostOnce guards against a second run and a false not_run when calls
// through several entries meet lost answers, late transactions, crashes,
// pauses and clock skew.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.IntRange(0, 1<<20)
		w := newWorld(func(n int) int { return choices.Draw(t, "choice") % n }, controls{})
		for range 250 {
			w.step()
			assert.NilError(t, w.err)
		}
	})
	seed := tmseed.First()
	for i := range uint64(8000) {
		if err := walk(seed+i, controls{}); err != nil {
			t.Fatalf("seed %d: %v", seed+i, err)
		}
	}
}

func walk(seed uint64, opt controls) error {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(rng.IntN, opt)
	for range 400 {
		w.step()
		if w.err != nil {
			return w.err
		}
	}
	return nil
}

// TestNegativeControls checks that the walk finds a violation when a rule is
// switched off.
func TestNegativeControls(t *testing.T) {
	for name, opt := range map[string]controls{
		"resend after a broken answer":      {resendBroken: true},
		"not_run after a broken answer":     {brokenNotRun: true},
		"lost answer taken for a commit":    {trustLost: true},
		"rows deleted after 5 minutes":      {earlySweep: true},
		"no age check after the commit":     {noStartCheck: true},
		"sent without regard for the table": {noRowCheck: true},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range uint64(60000) {
				if err := walk(tmseed.First()+i, opt); err != nil {
					t.Logf("found after %d walks: %v", i+1, err)
					return
				}
			}
			t.Fatal("no violation found with the rule switched off")
		})
	}
}

// TestIDs guards against ids without a time and against rows that could be
// created after the deletion of their minute.
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
	for _, sw := range s.Due(at.Add(maxStartAge+skew), []string{"a"}) {
		assert.Assert(t, id.RowKey("t") > sw.Until, "row is deleted while it may be sent")
	}
}

// TestBatchLimits guards against transactions above the limits of the table
// service and against a rate above the entry's part of 80 a second.
func TestBatchLimits(t *testing.T) {
	clock := tmclock.NewManual(1)
	b := NewBatch(clock, 8)
	rec := NewClaim("e", "n").Start("d").Finish(Ran, 200, make([]byte, MaxAnswer))
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
	assert.Assert(t, taken >= 16 && taken <= 18, "%d transactions", taken)
}

// BenchmarkBatch measures the decision part of one request's two row writes.
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
