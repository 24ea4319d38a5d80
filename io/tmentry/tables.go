package tmentry

import (
	"context"
	"math/rand/v2"
	"sync"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/core/tmroute"
	"turmericmoor/core/tmshare"
	"turmericmoor/core/tmslice"
	"turmericmoor/io/tmpeer"
)

// warmFor is how long after the last demand for a pool an entry keeps a lease
// there, so that the next request need not wait for one.
const warmFor = 30 * tmclock.Second

// peerReportFor is how long the demand that a peer reported counts.
const peerReportFor = 3 * tmclock.Second

// tables are the shared tables of an entry: queued and running jobs, leases,
// slices and what is known about endpoints and peers. All methods are safe for
// concurrent use; those whose names end in Locked need mu.
type tables struct {
	e     *Entry
	clock tmclock.Clock

	mu sync.Mutex
	// ready wakes a worker, idle wakes drain when the last job has ended.
	ready    *sync.Cond
	idle     *sync.Cond
	closed   bool
	stopping bool

	state   tmfleet.State
	usage   *tmshare.Usage
	queue   *tmshare.Queue[*job]
	tasks   *tmshare.Tasks
	ledger  *tmslice.Ledger
	health  *tmroute.Health
	ramps   *tmroute.Ramps
	picker  *tmroute.Picker
	retries *tmroute.RetryBudget
	admit   *tmadmit.Estimator

	jobs     map[string]*job
	recorded map[string]*job
	leases   map[string]*lease
	planners map[string]*tmroute.Planner
	targets  map[string]tmroute.Targets
	demanded map[string]tmclock.Millis
	peers    map[string]peerReport

	list *instanceList
	next int

	// kicked is when the leases of a pool were last renewed out of turn.
	kicked map[string]tmclock.Millis
	parked map[string]*job
	// entitled has the tasks that each team is entitled to in the fleet.
	entitled tmshare.Entitlements
	// checkpoints counts checkpoints under way by pool.
	checkpoints map[string]int
	// forwarded counts the requests that are with other entries. They still
	// count as demand here, so that units and slots come to this entry.
	forwarded  map[tmshare.Cell]int
	forwarding int
	rng        *rand.Rand
}

// peerReport is what a peer last said about its demand.
type peerReport struct {
	at     tmclock.Millis
	demand tmpeer.Demand
	pools  map[string]int
	teams  tmslice.Demand
	cells  map[tmshare.Cell]int
	queued map[string]int
	unused map[string]int
}

func newTables(e *Entry, rng *rand.Rand) *tables {
	t := &tables{
		e:        e,
		clock:    e.clock,
		usage:    tmshare.NewUsage(),
		health:   tmroute.NewHealth(e.clock, rng),
		ramps:    tmroute.NewRamps(e.clock),
		retries:  tmroute.NewRetryBudget(),
		admit:    tmadmit.NewEstimator(),
		jobs:     map[string]*job{},
		recorded: map[string]*job{},
		leases:   map[string]*lease{},
		planners: map[string]*tmroute.Planner{},
		targets:  map[string]tmroute.Targets{},
		demanded: map[string]tmclock.Millis{},
		peers:    map[string]peerReport{},
		list:     newInstanceList(),

		kicked:      map[string]tmclock.Millis{},
		parked:      map[string]*job{},
		checkpoints: map[string]int{},
		forwarded:   map[tmshare.Cell]int{},
		rng:         rng,
	}
	t.ready = sync.NewCond(&t.mu)
	t.idle = sync.NewCond(&t.mu)
	t.queue = tmshare.NewQueue[*job](e.clock, t.usage, tmshare.Bounds{
		MaxRequests: e.opts.QueueRequests,
		MaxBytes:    e.opts.QueueBytes,
	})
	t.tasks = tmshare.NewTasks(t.usage)
	t.ledger = tmslice.NewLedger(e.clock, e.self.Incarnation(), t.queue.Gained)
	t.picker = tmroute.NewPicker(e.clock, rng, t.health, t.ramps)
	return t
}

// install takes a new State.
func (t *tables) install(state tmfleet.State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state.Version() <= t.state.Version() {
		return
	}
	for name, zone := range state.Config().Zones().All() {
		before, known := t.state.Config().Zones().Get(name)
		if known && before.Out() && !zone.Out() {
			t.ramps.Returned(name)
		}
	}
	limitsChanged := len(limitChanges(t.state, state)) > 0
	t.state = state
	t.usage.SetShares(state.Config().Teams())
	t.ledger.Install(state)
	for incarnation := range t.peers {
		if !state.Members().Has(incarnation) {
			t.dropPeerLocked(incarnation)
		}
	}
	t.updateEndpointsLocked()
	t.evacuateLocked()
	t.ready.Broadcast()
	if limitsChanged {
		poke(t.e.starved)
	}
}

func (t *tables) dropPeerLocked(incarnation string) {
	delete(t.peers, incarnation)
	t.usage.Forget(incarnation)
	t.health.Reported(incarnation, nil)
}

// add queues a new job.
func (t *tables) add(j *job) *tmrequest.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return tmrequest.Refuse(tmrequest.Stopping, "entry %s is stopping", t.e.opts.Name).WithRetryAfter(tmclock.Second)
	}
	if j.record != nil {
		if other, ok := t.recorded[j.record.key]; ok {
			return duplicateOf(other, j)
		}
	}
	if fail := t.overloadedLocked(j); fail != nil {
		return fail
	}
	if err := t.queue.Push(j.queueItem()); err != nil {
		return tmrequest.Refuse(tmrequest.Overloaded, "%v", err).WithRetryAfter(tmclock.Second)
	}
	t.retries.Request()
	j.queued = true
	t.jobs[j.id] = j
	if j.record != nil {
		t.recorded[j.record.key] = j
	}
	t.demandedLocked(j.pool)
	t.wakeLocked()
	return nil
}

// overloadedLocked refuses a request that would most likely wait until its
// timeout. Urgent requests go ahead of the queue.
func (t *tables) overloadedLocked(j *job) *tmrequest.Error {
	if j.req.Urgent() {
		return nil
	}
	load := t.queue.Demand().Get(j.pool, j.team)
	if t.admit.WorthQueueing(j.kind(), j.req.Timeout(), load.Queued, load.Running) {
		return nil
	}
	return tmrequest.Refuse(tmrequest.Overloaded, "%d requests of team %s wait for pool %s, longer than the timeout",
		load.Queued, j.team, j.pool).WithRetryAfter(tmclock.Second)
}

func duplicateOf(other, j *job) *tmrequest.Error {
	if other.record.digest != j.record.digest {
		return tmrequest.NewError(tmrequest.IDReused, tmonce.Unknown, "request id %s belongs to a request with other content", j.req.ID())
	}
	return tmrequest.NewError(tmrequest.InProgress, tmonce.Unknown, "request %s is in progress", j.req.ID()).WithRetryAfter(tmclock.Second)
}

// kickEvery bounds how often the leases of a pool are renewed out of turn.
const kickEvery = 20 * tmclock.Millisecond

// demandedLocked notes demand for a pool. Demand that finds no idle slot plans
// slots at once, so that the request need not wait for the next round.
func (t *tables) demandedLocked(pool string) {
	now := t.clock.Now()
	_, warm := t.demanded[pool]
	t.demanded[pool] = now
	if warm && (t.picker.Idle(pool) > 0 || now.Sub(t.kicked[pool]) < kickEvery) {
		return
	}
	t.kicked[pool] = now
	t.planPoolLocked(pool)
	for name, in := range t.state.Config().Instances().All() {
		if in.Pool() != pool {
			continue
		}
		held := 0
		if l, ok := t.leases[name]; ok {
			held = l.slots
		}
		if t.targets[pool].Get(name, t.e.self.Incarnation()) > held {
			t.e.leases.kickEndpoint(name)
		}
	}
}

// finishLocked delivers the result of a job and forgets it. It has no effect on
// a job that has a result already.
func (t *tables) finishLocked(j *job, r result) {
	if _, ok := t.jobs[j.id]; !ok {
		return
	}
	delete(t.jobs, j.id)
	delete(t.parked, j.id)
	if j.record != nil && t.recorded[j.record.key] == j {
		delete(t.recorded, j.record.key)
	}
	j.done <- r
	if len(t.jobs) == 0 {
		t.idle.Broadcast()
	}
}

// wakeLocked wakes a worker when there is something to start. Waking one for
// nothing costs more than the rest of a short request.
func (t *tables) wakeLocked() {
	if t.queue.Len() > 0 {
		t.ready.Signal()
	}
}

// abandon is told when the caller of a job has gone. A queued job is dropped.
// A running one is stopped unless its outcome is recorded, since its caller
// may come back for it. It reports what may be said about the request.
func (t *tables) abandon(j *job) tmonce.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.queued {
		t.queue.Remove(j.id)
		j.queued = false
		outcome := j.outcome()
		t.finishLocked(j, j.fail(tmrequest.Cancelled, "the caller has gone"))
		return outcome
	}
	j.abandoned = true
	if j.attempt != "" && j.record == nil {
		attempt, address := j.attempt, j.address
		t.e.loops.Go(func() { t.e.stopAttempt(attempt, address) })
	}
	return tmonce.Unknown
}

// tick drops expired jobs, queues parked ones again and wakes the workers. A
// stale entry refuses all it has queued: others may be able to serve it.
func (t *tables) tick(context.Context) {
	fresh := t.e.fresh()
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.e.metrics.observe(fresh, t.queue.Len(), len(t.jobs))
	for _, r := range t.queue.Expired(now) {
		r.Value.queued = false
		t.finishLocked(r.Value, r.Value.fail(tmrequest.Deadline, "the request waited until its timeout"))
	}
	if !fresh {
		t.refuseQueuedLocked()
	}
	for _, j := range t.parked {
		if !now.Before(j.parkedUntil) {
			t.unparkLocked(j, now)
		}
	}
	t.picker.Refresh()
	t.preemptUrgentLocked()
	t.forwardLocked(now)
	t.checkStarvedLocked()
	t.wakeLocked()
}

// checkStarvedLocked asks for units when a team has queued work and none left.
func (t *tables) checkStarvedLocked() {
	for cell, load := range t.queue.Demand().All() {
		if load.Queued > 0 && t.ledger.Available(cell.Team) <= 0 {
			poke(t.e.starved)
			return
		}
	}
}

func (t *tables) refuseQueuedLocked() {
	for _, j := range t.jobs {
		if j.queued {
			t.queue.Remove(j.id)
			j.queued = false
			t.finishLocked(j, j.fail(tmrequest.NotFresh, "entry %s is cut off from the table service and its peers", t.e.opts.Name))
		}
	}
}

// parkLocked queues a job again after the given time.
func (t *tables) parkLocked(j *job, wait tmclock.Span) {
	now := t.clock.Now()
	if wait <= 0 {
		t.unparkLocked(j, now)
		return
	}
	j.parkedUntil = now.Add(wait)
	t.parked[j.id] = j
}

func (t *tables) unparkLocked(j *job, now tmclock.Millis) {
	j.parkedUntil = 0
	delete(t.parked, j.id)
	switch {
	case j.abandoned && j.record == nil:
		t.finishLocked(j, j.fail(tmrequest.Cancelled, "the caller has gone"))
	case !now.Before(j.deadline):
		t.finishLocked(j, j.fail(tmrequest.Deadline, "the request waited until its timeout"))
	default:
		if err := t.queue.Push(j.queueItem()); err != nil {
			t.finishLocked(j, j.fail(tmrequest.Overloaded, "%v", err))
			return
		}
		j.queued = true
		t.wakeLocked()
	}
}

// status tells a peer where a recorded request is.
func (t *tables) status(team, requestID string) tmpeer.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.recorded {
		if j.team != team || j.req.ID() != requestID {
			continue
		}
		if j.queued || j.parkedUntil != 0 {
			return tmpeer.StatusQueued
		}
		return tmpeer.StatusRunning
	}
	return tmpeer.StatusNone
}

func (t *tables) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping = true
}

func (t *tables) isStopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
}

// drain waits until all jobs have their results or ctx ends.
func (t *tables) drain(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.idle.Broadcast()
	})
	defer stop()
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.jobs) > 0 && ctx.Err() == nil {
		t.idle.Wait()
	}
	for _, j := range t.jobs {
		if j.queued {
			t.queue.Remove(j.id)
			j.queued = false
			t.finishLocked(j, j.fail(tmrequest.Stopping, "entry %s has stopped", t.e.opts.Name))
		}
	}
	return ctx.Err()
}

// close ends the workers.
func (t *tables) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.ready.Broadcast()
}
