package tmintake_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/internal/emulator"
	"turmericmoor/io/tmintake"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

// faultyStore is a store that also fails writes, if writeErr is set.
type faultyStore struct {
	slowReads
	writeErr error
}

func newFaultyStore() *faultyStore {
	return &faultyStore{slowReads: slowReads{Store: emulator.Store{Table: emulator.NewTable(rand.New(rand.NewPCG(1, 1)))}}}
}

func (s *faultyStore) Write(ctx context.Context, t tmtable.Txn) (tmtable.Result, error) {
	if s.writeErr != nil {
		return tmtable.Result{}, s.writeErr
	}
	return s.Store.Write(ctx, t)
}

// intakeFixture is an Intake on a clock of its own whose only queue has an objective.
type intakeFixture struct {
	*tmintake.Intake
	store  *faultyStore
	now    time.Time
	events map[tmevent.Name]int
}

func newIntakeFixture(shards int) *intakeFixture {
	f := &intakeFixture{
		store: newFaultyStore(), now: time.Unix(1000, 0), events: map[tmevent.Name]int{},
	}
	f.Intake = tmintake.NewWith(tmintake.Options{
		Store: f.store, Now: func() time.Time { return f.now }, Emit: func(e tmevent.Name, _ ...any) { f.events[e]++ },
	})
	f.SetShards(shards)
	f.SetObjectives(map[string]tmintake.Objective{"q": {Stretch: 1.6, Fixed: 600}})
	return f
}

// fullQueue is the row of an owner whose new jobs of q wait for 40 s.
func fullQueue(token int64) tmrecord.Owner {
	return tmrecord.Owner{Holder: "n", Token: token, Backlogs: map[string]tmadmit.Backlog{"q": {Wait: 40_000, Work: 24e6, Drain: 600}}}
}

func shortJob(id int) tmjob.Job {
	return tmjob.Job{ID: fmt.Sprintf("%016x", id), Queue: "q", Steps: []tmjob.Step{{Count: 8, Estimate: 800}}}
}

func (f *intakeFixture) isStored(shard int, j tmjob.Job) bool {
	_, ok := f.store.Get(tmrecord.JobKey(shard, j.ID))
	return ok
}

// Guards against a number of waiting jobs that can't be told because the owner's write of its row
// took long, and against one that is told after the owner has fallen silent.
func TestNumberOfWaitingJobsCountsFromItsArrival(t *testing.T) {
	f := newIntakeFixture(1)
	o := tmrecord.Owner{Holder: "n", Token: 1, Waiting: map[string]int{"q": 7}, WaitingKnown: true}
	f.SetOwner(0, o, f.now.Add(-900*time.Millisecond))
	f.now = f.now.Add(1500 * time.Millisecond)
	n, err := f.Waiting("q")
	assert.NilError(t, err)
	assert.Equal(t, n, 7)
	f.now = f.now.Add(time.Millisecond)
	_, err = f.Waiting("q")
	assert.ErrorIs(t, err, tmintake.ErrNotReady)
}

// Guards against a refusal of a job that is stored nevertheless, and against one without a time
// to come back.
func TestJobOfAFullQueueIsRefusedBeforeItIsStored(t *testing.T) {
	f := newIntakeFixture(1)
	f.SetOwner(0, fullQueue(1), f.now)
	err := f.Submit(t.Context(), shortJob(1))
	assert.ErrorIs(t, err, tmintake.ErrNotAccepted)
	var backlog *tmintake.BacklogError
	assert.Assert(t, errors.As(err, &backlog))
	assert.Assert(t, backlog.RetryAfter >= tmclock.Second && backlog.RetryAfter <= 30*tmclock.Second)
	assert.Assert(t, !f.isStored(0, shortJob(1)))
	assert.Equal(t, f.events[tmevent.BacklogRefused], 1)

	lasting, timed := shortJob(2), shortJob(3)
	lasting.Steps[0].LongRunning = true
	timed.Repeats, timed.Interval = 2, 1000
	for _, j := range []tmjob.Job{lasting, timed} {
		assert.NilError(t, f.Submit(t.Context(), j))
		assert.Assert(t, f.isStored(0, j))
	}
	// One of 16 is admitted.
	for i := range 15 {
		err = f.Submit(t.Context(), shortJob(10+i))
		assert.Equal(t, err == nil, i == 14, "%v", err)
	}
	assert.Equal(t, f.events[tmevent.BacklogProbe], 1)
}

// Guards against a refusal, which says that the job never runs, of a job that was accepted
// before: one that waits or runs, and one that has ended.
func TestRepeatedSubmissionOfAStoredJobIsNotRefused(t *testing.T) {
	f := newIntakeFixture(1)
	assert.NilError(t, f.Submit(t.Context(), shortJob(1)))
	assert.Equal(t, f.store.reads.Load(), int32(0), "a read without a refusal")
	ended := tmtable.Put{Key: tmrecord.OutcomeKey(0, shortJob(2).ID), Value: tmrecord.EncodeOutcome(tmrecord.Outcome{State: tmjob.Completed, Queue: "q"})}
	_, err := f.store.Apply(tmtable.Txn{Puts: []tmtable.Put{ended}})
	assert.NilError(t, err)
	f.SetOwner(0, fullQueue(1), f.now)
	assert.NilError(t, f.Submit(t.Context(), shortJob(1)))
	assert.NilError(t, f.Submit(t.Context(), shortJob(2)))
	assert.Equal(t, f.events[tmevent.BacklogRepeated], 2)
	assert.ErrorIs(t, f.Submit(t.Context(), shortJob(3)), tmintake.ErrNotAccepted)
}

// Guards against bad news that refuses for nothing: reports that are late, lost, from the future,
// from an owner that was deposed, about another shard, or nonsense.
func TestDoubtfulReportAdmits(t *testing.T) {
	for name, set := range map[string]func(f *intakeFixture){
		"none":            func(*intakeFixture) {},
		"late":            func(f *intakeFixture) { f.SetOwner(0, fullQueue(1), f.now.Add(-1501*time.Millisecond)) },
		"from the future": func(f *intakeFixture) { f.SetOwner(0, fullQueue(1), f.now.Add(time.Microsecond)) },
		"lost since": func(f *intakeFixture) {
			f.SetOwner(0, fullQueue(1), f.now)
			f.now = f.now.Add(1501 * time.Millisecond)
		},
		"after a pause": func(f *intakeFixture) {
			f.SetOwner(0, fullQueue(1), f.now)
			f.now = f.now.Add(8 * time.Second)
		},
		"of a deposed owner": func(f *intakeFixture) {
			f.SetOwner(0, tmrecord.Owner{Holder: "m", Token: 2}, f.now)
			f.SetOwner(0, fullQueue(1), f.now)
		},
		"of an owner before": func(f *intakeFixture) {
			f.SetOwner(0, fullQueue(1), f.now)
			f.SetOwner(0, tmrecord.Owner{Holder: "m", Token: 2}, f.now)
		},
		"nonsense": func(f *intakeFixture) {
			o := fullQueue(1)
			o.Backlogs["q"] = tmadmit.Backlog{Wait: math.NaN(), Work: math.Inf(1), Drain: -600}
			f.SetOwner(0, o, f.now)
		},
		"about another queue": func(f *intakeFixture) {
			o := fullQueue(1)
			o.Backlogs["r"] = o.Backlogs["q"]
			delete(o.Backlogs, "q")
			f.SetOwner(0, o, f.now)
		},
		"without an objective": func(f *intakeFixture) {
			f.SetOwner(0, fullQueue(1), f.now)
			f.SetObjectives(nil)
		},
		"about another shard": func(f *intakeFixture) { f.SetOwner(1, fullQueue(1), f.now) },
	} {
		f := newIntakeFixture(1)
		set(f)
		assert.Check(t, f.Submit(t.Context(), shortJob(1)), name)
		assert.Check(t, f.isStored(0, shortJob(1)), name)
	}
	f := newIntakeFixture(1)
	f.SetOwner(0, fullQueue(2), f.now.Add(-1500*time.Millisecond))
	assert.ErrorIs(t, f.Submit(t.Context(), shortJob(1)), tmintake.ErrNotAccepted)
}

// Guards against a refusal without a look at what is stored, and against a job that is held up
// until its caller has given up, when the store doesn't answer the read: it is stored, or
// refused for another reason.
func TestJobThatCannotBeCheckedIsNotRefusedForTheBacklog(t *testing.T) {
	const callerWaits = 2900 * time.Millisecond
	f := newIntakeFixture(1)
	f.SetOwner(0, fullQueue(1), f.now)
	f.store.refuses = true
	assert.NilError(t, f.Submit(t.Context(), shortJob(1)))
	assert.Assert(t, f.isStored(0, shortJob(1)))
	assert.Equal(t, f.events[tmevent.BacklogUnchecked], 1)

	f.store.writeErr = tmtable.ErrNotApplied
	err := f.Submit(t.Context(), shortJob(2))
	var backlog *tmintake.BacklogError
	assert.Assert(t, errors.Is(err, tmintake.ErrNotAccepted) && !errors.As(err, &backlog), "%v", err)

	synctest.Test(t, func(t *testing.T) {
		f := newIntakeFixture(1)
		f.SetOwner(0, fullQueue(1), f.now)
		f.store.latency = time.Hour
		ctx, cancel := context.WithTimeout(t.Context(), callerWaits)
		defer cancel()
		began := time.Now()
		assert.NilError(t, f.Submit(ctx, shortJob(1)))
		assert.Assert(t, time.Since(began) < time.Second)
	})
}

// Guards against a refusal of a job that the store may still take from an earlier submission, of
// which it has given no answer.
func TestJobInDoubtIsNotRefusedForTheBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newIntakeFixture(1)
		f.store.writeErr = tmtable.ErrOutcomeUnknown
		ctx, cancel := context.WithTimeout(t.Context(), 2900*time.Millisecond)
		defer cancel()
		assert.ErrorIs(t, f.Submit(ctx, shortJob(1)), tmintake.ErrOutcomeUnknown)
		f.store.writeErr = nil
		f.SetOwner(0, fullQueue(1), f.now)
		assert.ErrorIs(t, f.Submit(t.Context(), shortJob(2)), tmintake.ErrNotAccepted)
		assert.NilError(t, f.Submit(t.Context(), shortJob(1)))
		assert.Assert(t, f.isStored(0, shortJob(1)))
	})
}

// staleReads is a store whose writes and reads take a while. A read shows what was stored when it
// began. The first one fails if firstFails is set.
type staleReads struct {
	emulator.Store
	readTakes  []time.Duration
	writeTakes time.Duration
	firstFails bool
	reads      atomic.Int32
}

func (s *staleReads) Read(ctx context.Context, r tmtable.Range) (tmtable.Page, error) {
	n := int(s.reads.Add(1)) - 1
	page, err := s.Store.Read(ctx, r)
	time.Sleep(s.readTakes[n])
	if n == 0 && s.firstFails {
		return tmtable.Page{}, tmtable.ErrNotApplied
	}
	return page, err
}

func (s *staleReads) Write(ctx context.Context, t tmtable.Txn) (tmtable.Result, error) {
	time.Sleep(s.writeTakes)
	return s.Store.Write(ctx, t)
}

// Guards against a refusal, which says that the job never runs, while another submission of the
// job at the same node is being stored: its write is under way, begins and ends during the read
// before the refusal, or begins after the refusal.
func TestRefusalIsTrueDuringAnotherSubmissionOfTheJob(t *testing.T) {
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		store *staleReads
		// isFull tells for both submissions, of which the second begins 100 ms later, whether
		// the backlog would refuse it.
		isFull   [2]bool
		isStored bool
	}{
		"write under way": {
			store: &staleReads{readTakes: []time.Duration{10 * ms}, writeTakes: 500 * ms}, isFull: [2]bool{false, true}, isStored: true,
		},
		"write during the read": {
			store: &staleReads{readTakes: []time.Duration{500 * ms}, writeTakes: 10 * ms}, isFull: [2]bool{true, false}, isStored: true,
		},
		"write after the refusal": {
			store: &staleReads{readTakes: []time.Duration{500 * ms, 10 * ms}, firstFails: true}, isFull: [2]bool{true, true},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := c.store
				s.Store = emulator.Store{Table: emulator.NewTable(rand.New(rand.NewPCG(1, 1)))}
				in := tmintake.New(s)
				in.SetShards(1)
				in.SetObjectives(map[string]tmintake.Objective{"q": {Stretch: 1.6, Fixed: 600}})
				errs := make(chan error, 2)
				for _, isFull := range c.isFull {
					o := tmrecord.Owner{Holder: "n", Token: 1}
					if isFull {
						o = fullQueue(1)
					}
					in.SetOwner(0, o, time.Now())
					go func() { errs <- in.Submit(t.Context(), shortJob(1)) }()
					time.Sleep(100 * ms)
				}
				first, second := <-errs, <-errs
				_, isStored := s.Get(tmrecord.JobKey(0, shortJob(1).ID))
				assert.Equal(t, isStored, c.isStored)
				assert.Check(t, (first == nil) == isStored && (second == nil) == isStored, "%v, %v", first, second)
			})
		})
	}
}

// Guards against an answer that nothing was stored, for a repetition that the store refuses, about
// a job that an earlier submission may have stored or another one is storing.
func TestRefusedRepetitionIsInDoubtLikeTheJob(t *testing.T) {
	for _, refusal := range []error{tmtable.ErrNotApplied, tmtable.ErrInvalid} {
		synctest.Test(t, func(t *testing.T) {
			f := newIntakeFixture(1)
			submit := func(writeErr error) error {
				f.store.writeErr = writeErr
				ctx, cancel := context.WithTimeout(t.Context(), 2900*time.Millisecond)
				defer cancel()
				return f.Submit(ctx, shortJob(1))
			}
			isInDoubt := func(err error) bool {
				return errors.Is(err, tmintake.ErrOutcomeUnknown) && !errors.Is(err, tmintake.ErrNotAccepted) && !errors.Is(err, tmintake.ErrTooLarge)
			}
			assert.ErrorIs(t, submit(refusal), tmintake.ErrNotAccepted)
			assert.Assert(t, isInDoubt(submit(tmtable.ErrOutcomeUnknown)))
			err := submit(refusal)
			assert.Check(t, isInDoubt(err), "in doubt, then %v: %v", refusal, err)
			f.now = f.now.Add(5 * time.Minute)
			assert.ErrorIs(t, submit(refusal), tmintake.ErrNotAccepted)
		})
		synctest.Test(t, func(t *testing.T) {
			s := &staleReads{Store: emulator.Store{Table: emulator.NewTable(rand.New(rand.NewPCG(1, 1)))}, writeTakes: 500 * time.Millisecond}
			refusing := &refusingSecond{staleReads: s, err: refusal}
			in := tmintake.New(refusing)
			in.SetShards(1)
			first := make(chan error, 1)
			go func() { first <- in.Submit(t.Context(), shortJob(1)) }()
			synctest.Wait()
			err := in.Submit(t.Context(), shortJob(1))
			assert.NilError(t, <-first)
			assert.Check(t, errors.Is(err, tmintake.ErrOutcomeUnknown), "being stored, then %v: %v", refusal, err)
		})
	}
}

// refusingSecond is a store that refuses all writes but the first.
type refusingSecond struct {
	*staleReads
	err    error
	writes atomic.Int32
}

func (s *refusingSecond) Write(ctx context.Context, t tmtable.Txn) (tmtable.Result, error) {
	if s.writes.Add(1) > 1 {
		return tmtable.Result{}, s.err
	}
	return s.staleReads.Write(ctx, t)
}

// outageStore is a store that refuses reads and writes until a time each.
type outageStore struct {
	emulator.Store
	readsFrom, writesFrom time.Time
}

func (s *outageStore) Read(ctx context.Context, r tmtable.Range) (tmtable.Page, error) {
	if time.Now().Before(s.readsFrom) {
		return tmtable.Page{}, tmtable.ErrNotApplied
	}
	return s.Store.Read(ctx, r)
}

func (s *outageStore) Write(ctx context.Context, t tmtable.Txn) (tmtable.Result, error) {
	if time.Now().Before(s.writesFrom) {
		return tmtable.Result{}, tmtable.ErrNotApplied
	}
	return s.Store.Write(ctx, t)
}

// Guards against a cancellation that gives up after one call that the store refused, though it
// takes a later one within the time of the caller.
func TestCancellationIsTriedUntilTheCallerGivesUp(t *testing.T) {
	const outage = 2 * time.Second
	for name, c := range map[string]struct{ shards, reads, writes time.Duration }{
		"number of shards unknown": {shards: outage},
		"reads refused":            {reads: outage},
		"writes refused":           {writes: outage},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, j := &outageStore{Store: newFaultyStore().Store}, shortJob(1)
				_, err := s.Apply(tmtable.Txn{Puts: []tmtable.Put{{Key: tmrecord.JobKey(0, j.ID), Value: tmrecord.EncodeJob(j)}}})
				assert.NilError(t, err)
				s.readsFrom, s.writesFrom = time.Now().Add(c.reads), time.Now().Add(c.writes)
				in := tmintake.New(s)
				time.AfterFunc(c.shards, func() { in.SetShards(1) })
				if c.shards == 0 {
					in.SetShards(1)
				}
				ctx, stop := context.WithTimeout(t.Context(), 2900*time.Millisecond)
				defer stop()
				assert.NilError(t, in.Cancel(ctx, "q", j.ID))
				state, err := in.State(t.Context(), "q", j.ID)
				assert.NilError(t, err)
				assert.Equal(t, state, tmjob.Cancelled)
			})
		})
	}
}

// Guards against a cancellation that is answered as in doubt though nothing was stored.
func TestCancellationThatStoredNothingIsNotInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, j := newFaultyStore(), shortJob(1)
		_, err := s.Apply(tmtable.Txn{Puts: []tmtable.Put{{Key: tmrecord.JobKey(0, j.ID), Value: tmrecord.EncodeJob(j)}}})
		assert.NilError(t, err)
		in := tmintake.New(s)
		cancel := func() error {
			const callerWaits = 2900 * time.Millisecond
			ctx, stop := context.WithTimeout(t.Context(), callerWaits)
			defer stop()
			began := time.Now()
			err := in.Cancel(ctx, "q", j.ID)
			assert.Equal(t, time.Since(began), callerWaits)
			return err
		}
		isCertain := func(err error) bool {
			return errors.Is(err, tmintake.ErrNotAccepted) && !errors.Is(err, tmintake.ErrOutcomeUnknown)
		}
		err = cancel()
		assert.Assert(t, isCertain(err), "number of shards unknown: %v", err)
		in.SetShards(1)
		s.writeErr = tmtable.ErrNotApplied
		err = cancel()
		assert.Assert(t, isCertain(err), "write refused: %v", err)
		s.writeErr = &tmtable.ConflictError{}
		err = cancel()
		assert.Assert(t, isCertain(err), "condition fails: %v", err)
		s.writeErr = tmtable.ErrOutcomeUnknown
		err = cancel()
		assert.ErrorIs(t, err, tmintake.ErrOutcomeUnknown)
		s.refuses = true
		err = cancel()
		assert.Assert(t, isCertain(err), "read refused: %v", err)
	})
}
