package tmentry

import (
	"context"
	"math/rand/v2"
	"sync"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
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
	forwarded  map[tmshare.PoolTeam]int
	forwarding int
	rng        *rand.Rand
}

// peerReport is what a peer last said about its demand.
type peerReport struct {
	at     tmclock.Millis
	demand tmpeer.Demand
	pools  map[string]int
	teams  tmslice.Demand
	cells  map[tmshare.PoolTeam]int
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
		forwarded:   map[tmshare.PoolTeam]int{},
		rng:         rng,
	}
	t.ready = sync.NewCond(&t.mu)
	t.idle = sync.NewCond(&t.mu)
	t.queue = tmshare.NewQueue[*job](e.clock, t.usage, tmshare.Bounds{
		MaxRequests: e.opts.QueueRequests,
		MaxBytes:    e.opts.QueueBytes,
	})
	t.tasks = tmshare.NewTasks(t.usage)
	t.ledger = tmslice.NewLedger(e.clock, e.self.Incarnation(), t.queue.UnblockTeam)
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
		if known && before.OutOfService() && !zone.OutOfService() {
			t.ramps.Start(name)
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
	t.usage.RemovePeer(incarnation)
	t.health.SetReport(incarnation, nil)
}

// kickEvery bounds how often the leases of a pool are renewed out of turn.
const kickEvery = 20 * tmclock.Millisecond

// demandedLocked notes demand for a pool. Demand that finds no idle slot plans
// slots at once, so that the request need not wait for the next round.
func (t *tables) demandedLocked(pool string) {
	now := t.clock.Now()
	_, warm := t.demanded[pool]
	t.demanded[pool] = now
	if warm && (t.picker.IdleEndpoints(pool) > 0 || now.Sub(t.kicked[pool]) < kickEvery) {
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

// wakeLocked wakes a worker when there is something to start. Waking one for
// nothing costs more than the rest of a short request.
func (t *tables) wakeLocked() {
	if t.queue.Len() > 0 {
		t.ready.Signal()
	}
}

// tick drops expired jobs, queues parked ones again and wakes the workers. A
// stale entry refuses all it has queued: others may be able to serve it.
func (t *tables) tick(context.Context) {
	fresh := t.e.fresh()
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.e.metrics.observe(fresh, t.queue.Len(), len(t.jobs))
	for _, r := range t.queue.TakeExpired(now) {
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
