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

// idlePoolTimeout is how long after the last demand for a pool an entry keeps a
// lease there, so that the next request need not wait for one.
const idlePoolTimeout = 30 * tmclock.Second

// peerReportTTL is how long the demand that a peer reported remains valid.
const peerReportTTL = 3 * tmclock.Second

// tables has the shared state of an entry: queued and running jobs, leases,
// slices, and what is known about endpoints and peers. All methods are safe for
// concurrent use; those whose names end in Locked need mu.
type tables struct {
	e     *Entry
	clock tmclock.Clock

	mu sync.Mutex
	// ready wakes a worker. idle wakes drain when the last job has ended.
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
	// lastDemand is when there was last demand for a pool at this entry.
	lastDemand map[string]tmclock.Millis
	peers      map[string]peerReport

	list *instanceList
	// nextPool is the index of the pool to serve first, for round robin.
	nextPool int

	// lastTrigger is when early renewals were last triggered, by pool.
	lastTrigger map[string]tmclock.Millis
	// delayed has the jobs that wait to be queued again.
	delayed map[string]*job
	// entitled has the number of tasks that each team is entitled to in the
	// whole fleet.
	entitled tmshare.Entitlements
	// checkpoints counts the checkpoints in progress by pool.
	checkpoints map[string]int
	// forwardedDemand counts the requests that were forwarded to other entries.
	// They still count as demand here, so that units and slots move to this
	// entry.
	forwardedDemand  map[tmshare.PoolTeam]int
	forwardsInFlight int
	rng              *rand.Rand
}

// peerReport is the last report of a peer about its demand.
type peerReport struct {
	receivedAt tmclock.Millis
	demand     tmpeer.Demand
	pools      map[string]int
	teams      tmslice.Demand
	poolTeams  map[tmshare.PoolTeam]int
	queued     map[string]int
	unused     map[string]int
}

func newTables(e *Entry, rng *rand.Rand) *tables {
	t := &tables{
		e:          e,
		clock:      e.clock,
		usage:      tmshare.NewUsage(),
		health:     tmroute.NewHealth(e.clock, rng),
		ramps:      tmroute.NewRamps(e.clock),
		retries:    tmroute.NewRetryBudget(),
		admit:      tmadmit.NewEstimator(),
		jobs:       map[string]*job{},
		recorded:   map[string]*job{},
		leases:     map[string]*lease{},
		planners:   map[string]*tmroute.Planner{},
		targets:    map[string]tmroute.Targets{},
		lastDemand: map[string]tmclock.Millis{},
		peers:      map[string]peerReport{},
		list:       newInstanceList(),

		lastTrigger:     map[string]tmclock.Millis{},
		delayed:         map[string]*job{},
		checkpoints:     map[string]int{},
		forwardedDemand: map[tmshare.PoolTeam]int{},
		rng:             rng,
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

// install replaces the State by a newer one.
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
		notify(t.e.starved)
	}
}

// dropPeerLocked drops everything that a peer has reported.
func (t *tables) dropPeerLocked(incarnation string) {
	delete(t.peers, incarnation)
	t.usage.RemovePeer(incarnation)
	t.health.SetReport(incarnation, nil)
}

// minTriggerInterval is the least time between early renewals of the leases of
// a pool.
const minTriggerInterval = 20 * tmclock.Millisecond

// recordDemandLocked records demand for a pool. If no slot is idle or the
// demand is the first one, it plans the slots and renews leases below their
// target at once, so that the request need not wait for the next round.
func (t *tables) recordDemandLocked(pool string) {
	now := t.clock.Now()
	_, hadDemand := t.lastDemand[pool]
	t.lastDemand[pool] = now
	if hadDemand && (t.picker.IdleEndpoints(pool) > 0 || now.Sub(t.lastTrigger[pool]) < minTriggerInterval) {
		return
	}
	t.lastTrigger[pool] = now
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
			t.e.leases.triggerRenewal(name)
		}
	}
}

// wakeLocked wakes a worker if there are queued requests. A needless wakeup
// costs more than the rest of a short request.
func (t *tables) wakeLocked() {
	if t.queue.Len() > 0 {
		t.ready.Signal()
	}
}

// tick drops expired jobs, queues delayed ones again and wakes a worker. An
// entry that is not fresh rejects all its queued jobs, because other entries
// may be able to serve them.
func (t *tables) tick(context.Context) {
	fresh := t.e.fresh()
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.e.metrics.updateGauges(fresh, t.queue.Len(), len(t.jobs))
	for _, r := range t.queue.TakeExpired(now) {
		r.Value.queued = false
		t.finishLocked(r.Value, r.Value.fail(tmrequest.Deadline, "the request waited until its timeout"))
	}
	if !fresh {
		t.rejectQueuedLocked()
	}
	for _, j := range t.delayed {
		if !now.Before(j.delayedUntil) {
			t.requeueLocked(j, now)
		}
	}
	t.picker.Refresh()
	t.preemptUrgentLocked()
	t.forwardLocked(now)
	t.checkStarvedLocked()
	t.wakeLocked()
}

// checkStarvedLocked notifies starved when a team has queued work and no unused
// units.
func (t *tables) checkStarvedLocked() {
	for key, load := range t.queue.Demand().All() {
		if load.Queued > 0 && t.ledger.Available(key.Team) <= 0 {
			notify(t.e.starved)
			return
		}
	}
}

// stop makes the tables reject new jobs.
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

// drain waits until all jobs have their results or ctx ends. Then it ends those
// still queued.
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

// close stops the workers.
func (t *tables) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	t.ready.Broadcast()
}
