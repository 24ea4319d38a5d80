// Package tmintake accepts jobs from callers, reports their state and cancels them.
// It works on the stored rows alone, so every node can serve every job, whichever
// node owns the fleet.
package tmintake

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmshard"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

// Errors of an Intake.
var (
	// ErrNotAccepted means that nothing was stored: the job never runs, unless it is
	// submitted again.
	ErrNotAccepted = errors.New("tmintake: not accepted")
	// ErrTooLarge means that the job can't be stored, however often it is submitted.
	ErrTooLarge = errors.New("tmintake: the job is too large to be stored")
	// ErrOutcomeUnknown means that the request may or may not take effect. The same
	// request may be sent again.
	ErrOutcomeUnknown = errors.New("tmintake: outcome unknown")
	// ErrNoJob means that there is no such job.
	ErrNoJob = errors.New("tmintake: no such job")
	// ErrNotReady means that the state of a job or the number of waiting jobs can't
	// be determined now.
	ErrNotReady = errors.New("tmintake: not ready")
)

const (
	// callTimeout bounds one write to the store.
	callTimeout = 900 * time.Millisecond
	// retryDelay is the pause between two calls to the store.
	retryDelay = 40 * time.Millisecond
	// maxWaitingAge is how old the numbers of waiting jobs that the owner publishes
	// may be.
	maxWaitingAge = 1500 * time.Millisecond
)

// Intake accepts, reports and cancels jobs. It is safe for concurrent use.
type Intake struct {
	opts  Options
	store tmtable.Store

	mu sync.Mutex
	// shards is the number of shards of the fleet, 0 while it is unknown.
	shards int
	// waiting holds the numbers of waiting jobs that each owner has published.
	waiting map[int]waitingJobs
	// reports holds the backlogs that each owner has reported, objectives those of the queues.
	reports    map[int]backlogReport
	objectives map[string]Objective
	gate       *tmadmit.Gate
	// submissions holds the submissions under way by job.
	submissions map[string]*submission
}

// Options configures an Intake.
type Options struct {
	Store tmtable.Store
	// Now, if set, replaces time.Now for the age of what owners have published. It should also
	// advance while the machine is suspended.
	Now func() time.Time
	// Emit, if set, receives an event for each decision about the backlog of a queue.
	Emit func(event tmevent.Name, fields ...any)
}

// waitingJobs holds the numbers of waiting jobs of one shard by queue.
type waitingJobs struct {
	byQueue map[string]int
	at      time.Time
}

// New returns an Intake that works on the given store.
func New(store tmtable.Store) *Intake { return NewWith(Options{Store: store}) }

// NewWith returns an Intake with the given options.
func NewWith(opts Options) *Intake {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Emit == nil {
		opts.Emit = func(tmevent.Name, ...any) {}
	}
	return &Intake{
		opts: opts, store: opts.Store, waiting: map[int]waitingJobs{},
		reports: map[int]backlogReport{}, gate: tmadmit.NewGate(), submissions: map[string]*submission{},
	}
}

// SetShards sets the number of shards. No job is accepted before it is known.
func (in *Intake) SetShards(count int) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.shards = count
}

func (in *Intake) shardCount() (int, error) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.shards == 0 {
		return 0, fmt.Errorf("%w: the number of shards is unknown", ErrNotReady)
	}
	return in.shards, nil
}

// SetOwner records the numbers of waiting jobs and the backlogs from the newest row of the
// owner of a shard, which was read at the given time. That is the age of the backlogs, which refuse
// jobs. The numbers of waiting jobs count from now on.
func (in *Intake) SetOwner(shard int, o tmrecord.Owner, readAt time.Time) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.setReport(shard, o, readAt)
	if o.WaitingKnown {
		in.waiting[shard] = waitingJobs{byQueue: o.Waiting, at: in.opts.Now()}
	}
}

// Waiting returns how many accepted jobs of a queue have not started.
func (in *Intake) Waiting(queue string) (int, error) {
	count, err := in.shardCount()
	if err != nil {
		return 0, err
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	sum := 0
	for shard := range count {
		w := in.waiting[shard]
		if w.at.IsZero() || in.opts.Now().Sub(w.at) > maxWaitingAge {
			return 0, fmt.Errorf("%w: the owner of shard %d has not published its number of waiting jobs lately", ErrNotReady, shard)
		}
		sum += w.byQueue[queue]
	}
	return sum, nil
}

// Submit stores a job. If a job with the same id was accepted before, that job stays
// unchanged and the call succeeds. A job that can't be served in time because of the backlog of
// its queue is refused with a BacklogError before anything is stored.
func (in *Intake) Submit(ctx context.Context, j tmjob.Job) error {
	shards, err := in.shardCount()
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
	shard := tmshard.OfJob(j.Queue, j.ID, j.LongRunning(), shards)
	in.enter(j.ID)
	defer in.leave(j.ID)
	if stored, err := in.checkBacklog(ctx, shard, &j); stored || err != nil {
		return err
	}
	key := tmrecord.JobKey(shard, j.ID)
	txn := tmtable.Txn{
		Expects: []tmtable.Expect{{Key: key}, {Key: tmrecord.OutcomeKey(shard, j.ID)}},
		Puts:    []tmtable.Put{{Key: key, Value: tmrecord.EncodeJob(j)}},
	}
	maybeStored, err := in.beginWrite(j.ID)
	if err != nil {
		return err
	}
	for {
		err := in.write(ctx, txn)
		var conflict *tmtable.ConflictError
		switch {
		case err == nil:
			return nil
		case errors.As(err, &conflict):
			// The job is stored already, by this call or by an earlier one.
			return nil
		case errors.Is(err, tmtable.ErrOutcomeUnknown):
			maybeStored = true
		case errors.Is(err, tmtable.ErrInvalid):
			err = in.notStored(j.ID, maybeStored, err)
			if errors.Is(err, ErrNotAccepted) {
				return fmt.Errorf("%w: %w", ErrTooLarge, err)
			}
			return err
		}
		if !tmwait.Pause(ctx, retryDelay) || !maybeStored {
			return in.notStored(j.ID, maybeStored, err)
		}
	}
}

// notStored ends the writing of a job that was not seen to be stored, and returns the error for
// its caller. That is ErrNotAccepted only if no submission can have stored it.
func (in *Intake) notStored(id string, maybeStored bool, cause error) error {
	switch {
	case maybeStored:
		in.setInDoubt(id)
	case !in.endWrite(id):
		return fmt.Errorf("%w: %w", ErrNotAccepted, cause)
	}
	return fmt.Errorf("%w: %w", ErrOutcomeUnknown, cause)
}

func (in *Intake) write(ctx context.Context, t tmtable.Txn) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := in.store.Write(ctx, t)
	return err
}

// storedJob is what the table of jobs of a shard holds about a job.
type storedJob struct {
	shard     int
	job       *tmjob.Job
	version   int64
	outcome   *tmrecord.Outcome
	cancelled bool
}

// read reads a job of a queue. Whether the job is long-running isn't known before, so
// it may be in either of two shards.
func (in *Intake) read(ctx context.Context, queue, id string) (storedJob, error) {
	shards, err := in.shardCount()
	if err != nil {
		return storedJob{}, err
	}
	short := tmshard.OfJob(queue, id, false, shards)
	r, err := in.readShard(ctx, short, id)
	long := tmshard.OfJob(queue, id, true, shards)
	if err != nil || long == short || r.queue() != "" {
		return r, err
	}
	return in.readShard(ctx, long, id)
}

func (in *Intake) readShard(ctx context.Context, shard int, id string) (storedJob, error) {
	page, err := in.readRange(ctx, tmrecord.JobRange(shard, id))
	if err != nil {
		return storedJob{}, err
	}
	r := storedJob{shard: shard}
	for _, row := range page.Rows {
		kind, _ := tmrecord.ParseKey(row.Key.Key)
		switch kind {
		case tmrecord.CancelRow:
			r.cancelled = true
		case tmrecord.OutcomeRow:
			o, err := tmrecord.DecodeOutcome(row.Value)
			if err != nil {
				return storedJob{}, fmt.Errorf("%w: %w", ErrNotReady, err)
			}
			r.outcome = &o
		case tmrecord.JobRow:
			j, err := tmrecord.DecodeJob(id, row.Value)
			if err != nil {
				return storedJob{}, fmt.Errorf("%w: %w", ErrNotReady, err)
			}
			r.job, r.version = &j, row.Version
		}
	}
	return r, nil
}

// queue returns the queue of the job, or "" if there is no job.
func (r storedJob) queue() string {
	switch {
	case r.outcome != nil:
		return r.outcome.Queue
	case r.job != nil:
		return r.job.Queue
	}
	return ""
}

// State returns the state of a job, or ErrNoJob if the queue has no such job.
func (in *Intake) State(ctx context.Context, queue, id string) (tmjob.State, error) {
	r, err := in.read(ctx, queue, id)
	if err != nil {
		return tmjob.Pending, err
	}
	if r.queue() != queue {
		return tmjob.Pending, ErrNoJob
	}
	if r.outcome != nil {
		return r.outcome.State, nil
	}
	started, outcome, err := in.readRun(ctx, r.shard, id)
	switch {
	case err != nil:
		return tmjob.Pending, err
	case outcome != nil:
		return outcome.State, nil
	case r.cancelled:
		return tmjob.Cancelled, nil
	case started:
		return tmjob.Running, nil
	}
	return tmjob.Pending, nil
}

// readRun reads what the owner has stored about a live job: whether it has started,
// and its outcome if the owner has stored one but may not have moved it to the table
// of jobs yet.
func (in *Intake) readRun(ctx context.Context, shard int, id string) (bool, *tmrecord.Outcome, error) {
	page, err := in.readRange(ctx, tmrecord.ProgressRange(shard, id))
	if err != nil {
		return false, nil, err
	}
	started := false
	for _, row := range page.Rows {
		if kind, _ := tmrecord.ParseKey(row.Key.Key); kind != tmrecord.OutcomeRow {
			started = true
			continue
		}
		o, err := tmrecord.DecodeOutcome(row.Value)
		if err != nil {
			return false, nil, fmt.Errorf("%w: %w", ErrNotReady, err)
		}
		return true, &o, nil
	}
	return started, nil, nil
}

// Cancel stores the cancellation of a job, and tries again until ctx ends. It also succeeds if
// the job was cancelled before. It returns ErrNoJob if the queue has no such job or the job has ended in
// another way, ErrNotReady or ErrNotAccepted if certainly nothing was stored, and
// ErrOutcomeUnknown if that is in doubt.
func (in *Intake) Cancel(ctx context.Context, queue, id string) error {
	maybeStored := false
	for {
		done, err := in.tryCancel(ctx, queue, id)
		if done {
			return err
		}
		if errors.Is(err, tmtable.ErrOutcomeUnknown) {
			maybeStored = true
		}
		if tmwait.Pause(ctx, retryDelay) {
			continue
		}
		if maybeStored {
			return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		return fmt.Errorf("%w: %w", ErrNotAccepted, err)
	}
}

// tryCancel tries once to cancel a job. It reports whether the answer is final. An error that
// wraps ErrOutcomeUnknown of the store is that of a write.
func (in *Intake) tryCancel(ctx context.Context, queue, id string) (bool, error) {
	r, err := in.read(ctx, queue, id)
	if err != nil {
		return false, err
	}
	if r.queue() != queue || r.outcome != nil && r.outcome.State != tmjob.Cancelled {
		return true, ErrNoJob
	}
	if r.cancelled || r.outcome != nil {
		return true, nil
	}
	_, done, err := in.readRun(ctx, r.shard, id)
	if err != nil {
		return false, err
	}
	if done != nil {
		return true, ErrNoJob
	}
	err = in.write(ctx, tmtable.Txn{
		Expects: []tmtable.Expect{{Key: tmrecord.JobKey(r.shard, id), Version: r.version}},
		Puts:    []tmtable.Put{{Key: tmrecord.CancelKey(r.shard, id), Value: []byte("{}")}},
	})
	return err == nil, err
}
