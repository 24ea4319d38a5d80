package tmowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmevent"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmshard"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

// Options configures an Owner.
type Options struct {
	Store     tmtable.Store
	Endpoints EndpointClient
	Instances InstanceClient
	Advisor   Advisor
	Directory Directory
	Clock     tmclock.Clock
	// BootClock returns a time that also advances while the machine is suspended.
	BootClock func() time.Time
	Bounds    tmcontrol.Bounds
	// MaxInFlight is how many bytes of answers of the store may be under way at a time
	// while the owner loads, 0 for no limit.
	MaxInFlight int
	// Shard is the part of the fleet that is owned.
	Shard tmshard.Shard
	// KeepOutcomes is how long callers can query the outcome of a job.
	KeepOutcomes time.Duration
	Emit         func(tmevent.Event)
	// IsConfigCurrent reports whether the store has confirmed the desired state lately.
	// While it has not, no task is placed and no instance is ordered.
	IsConfigCurrent func() bool
	// Observe, if set, is called with the duration and the error of each call to the
	// store, an endpoint or the platform.
	Observe func(what string, took time.Duration, err error)
}

const (
	// minPlanPause is the least pause between two passes of the planner. The pause
	// is also at least planPauseFactor times the duration of the last pass, which
	// limits the share of time spent on planning.
	minPlanPause    = 5 * time.Millisecond
	planPauseFactor = 2
	// tickInterval is the longest wait for a signal before the next pass, and the
	// pause before a failed read is retried.
	tickInterval = 100 * time.Millisecond
	// flushPause is the least pause between two flushes. It lets changes accumulate
	// into a batch.
	flushPause = 15 * time.Millisecond
	// endpointPause is the pause between two calls to the feed of the list of
	// endpoints. It batches the changes, because each endpoint writes its own row.
	endpointPause = 100 * time.Millisecond
	// endpointWait is how long a call to that feed waits for a change.
	endpointWait = 500 * tmclock.Millisecond
	// maxListAge is how old the list of endpoints may be for placements. With the time that
	// a start order stays valid it is at most the time for which an endpoint accepts starts
	// by a capacity that has shrunk.
	maxListAge = 2 * time.Second
	// maxJobsAge is how old the table of jobs may be for starts. A task of a cancelled job may
	// start until three seconds after the cancellation, and a start order takes time.
	maxJobsAge = 2500 * time.Millisecond
)

// Owner manages a shard of the fleet while this node owns it. The mutex mu guards the
// controller and is never held during a call to another service.
type Owner struct {
	opts Options
	// shard is the index of the shard.
	shard int
	token int64

	mu  sync.Mutex
	ctl *tmcontrol.Controller
	// listedAt is the time on the BootClock as of which the list of endpoints is known.
	listedAt time.Time
	// jobsReadAt is the time on the BootClock as of which the table of jobs is known.
	jobsReadAt time.Time
	// held and probed are the endpoints under a hold and those that are probed.
	held, probed map[string]bool
	// lifetimes holds, by endpoint, the context of the calls to its current lifetime.
	lifetimes map[string]lifetime
	// overdue holds, by endpoint, the channel of a hold that was sent without knowing
	// when its answer would be overdue.
	overdue  map[string]chan time.Duration
	storedCh chan struct{}
	loaded   bool
	// confirmed and published are read and written without mu, so that the renewal of the
	// ownership never waits for a pass of the planner.
	confirmed atomic.Pointer[confirmation]
	published atomic.Pointer[status]
	// loggedBacklogs holds the backlogs whose begin was logged, by queue. It is guarded by mu.
	loggedBacklogs map[string]loggedBacklog

	startHedges, holdHedges *hedgeBudget

	planSignal  chan struct{}
	flushSignal chan struct{}
	listSignal  chan struct{}
	waveSignal  chan struct{}
	work        sync.WaitGroup
	// guardVersion is the version of the guard row, which fences the writes of
	// earlier owners. Once Run has acquired the guard, only the goroutine that writes
	// flushes uses guardVersion.
	guardVersion int64
	stop         context.CancelFunc

	// outcomesMu guards the fields below. No other mutex is taken while it is held.
	outcomesMu     sync.Mutex
	outcomesToMove map[string]tmrecord.Outcome
	movedOutcomes  []movedOutcome
	// retained lists the outcomes in the table of jobs, roughly by age.
	retained []movedOutcome

	// waves is guarded by mu, except that only waveLoop uses its fields running and
	// completed.
	waves waveProgress
}

// confirmation is when the ownership was last confirmed, on both clocks.
type confirmation struct {
	at     tmclock.Millis
	bootAt time.Time
}

// New returns an owner that sends token as its fencing token. Run starts it.
func New(opts Options, token int64) *Owner {
	return &Owner{
		opts: opts, shard: opts.Shard.Index(), token: token,
		ctl:            tmcontrol.New(opts.Shard, opts.Bounds, token, opts.Emit),
		held:           map[string]bool{},
		probed:         map[string]bool{},
		lifetimes:      map[string]lifetime{},
		loggedBacklogs: map[string]loggedBacklog{},
		startHedges:    newHedgeBudget(),
		holdHedges:     newHedgeBudget(),
		overdue:        map[string]chan time.Duration{},
		storedCh:       make(chan struct{}),
		planSignal:     make(chan struct{}, 1),
		flushSignal:    make(chan struct{}, 1),
		listSignal:     make(chan struct{}, 1),
		waveSignal:     make(chan struct{}, 1),
		waves:          newWaveProgress(),
		outcomesToMove: map[string]tmrecord.Outcome{},
	}
}

// Apply passes the desired state set by the operator to the controller.
func (o *Owner) Apply(d tmcontrol.DesiredState) {
	o.mu.Lock()
	o.ctl.Apply(d, o.opts.Clock.Now())
	o.mu.Unlock()
	o.requestPlan()
}

// OwnershipConfirmed records that this node still owns the fleet, if the token that
// was read from the row of the owner is the token of this owner.
func (o *Owner) OwnershipConfirmed(token int64) {
	if token == o.token {
		o.confirmed.Store(&confirmation{at: o.opts.Clock.Now(), bootAt: o.opts.BootClock()})
	}
}

// Dump returns the state of the controller for operators.
func (o *Owner) Dump() tmcontrol.Dump {
	o.mu.Lock()
	defer o.mu.Unlock()
	d := o.ctl.Dump()
	d.Backlogs = o.Backlogs()
	return d
}

// Run manages the shard until ctx ends or another owner is found.
func (o *Owner) Run(ctx context.Context) {
	ctx, o.stop = context.WithCancel(ctx)
	defer o.work.Wait()
	defer o.stop()
	if !o.acquireGuard(ctx) {
		return
	}
	o.OwnershipConfirmed(o.token)
	o.work.Go(func() { o.followEndpoints(ctx) })
	o.work.Go(func() { o.followJobs(ctx) })
	if !o.opts.Shard.IsWhole() {
		o.work.Go(func() { o.followShards(ctx) })
	}
	o.work.Go(func() { o.flushLoop(ctx) })
	o.work.Go(func() { o.moveOutcomesLoop(ctx) })
	o.work.Go(func() { o.waveLoop(ctx) })
	if o.opts.Instances != nil {
		o.work.Go(func() { o.instanceLoop(ctx) })
	}
	o.planLoop(ctx)
}

func (o *Owner) requestPlan()  { notify(o.planSignal) }
func (o *Owner) requestFlush() { notify(o.flushSignal) }

func notify(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (o *Owner) planLoop(ctx context.Context) {
	timer := time.NewTimer(tickInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.planSignal:
		case <-timer.C:
		}
		timer.Reset(tickInterval)
		began := time.Now()
		o.planOnce(ctx)
		if !tmwait.Pause(ctx, max(minPlanPause, planPauseFactor*time.Since(began))) {
			return
		}
	}
}

// lockForStarts locks mu for a call after which the controller may order starts, and tells
// the controller whether what it knows is current. The process may have been paused, or a
// call may have taken long.
func (o *Owner) lockForStarts() {
	// This waits for a lock of the node, so that mu is locked afterwards.
	isConfigCurrent := o.opts.IsConfigCurrent()
	o.mu.Lock()
	now := o.opts.BootClock()
	o.ctl.SetStale(!isConfigCurrent || now.Sub(o.listedAt) > maxListAge || now.Sub(o.jobsReadAt) > maxJobsAge)
}

// planOnce runs one pass of the controller and sends the orders that result.
func (o *Owner) planOnce(ctx context.Context) {
	now := o.opts.Clock.Now()
	wall := time.Now().UnixMilli()
	o.lockForStarts()
	if o.ctl.Deposed() {
		o.mu.Unlock()
		o.stop()
		return
	}
	o.ctl.Tick(now, wall)
	o.ctl.Plan(now, wall)
	o.publishStatus()
	starts, stops, paces := o.ctl.TakeOrders(now)
	question, hasQuestion := o.ctl.NextAdviceRequest(now)
	instanceOrders, reports := o.ctl.TakeInstanceOrders()
	o.endLifetimes(o.ctl.TakeEndedLifetimes())
	lifetimes := make([]context.Context, 0, len(starts))
	for _, s := range starts {
		lifetimes = append(lifetimes, o.lifetimeContext(ctx, s.Ref.Endpoint))
	}
	ids := o.ctl.EndpointsToHold(o.held)
	for _, id := range ids {
		o.held[id] = true
	}
	probes := o.ctl.EndpointsToProbe(o.probed)
	for _, id := range probes {
		o.probed[id] = true
	}
	o.mu.Unlock()
	o.requestFlush()
	for i, s := range starts {
		o.work.Go(func() { o.sendStart(ctx, lifetimes[i], s) })
	}
	for _, s := range stops {
		o.work.Go(func() { o.sendStop(ctx, s) })
	}
	for _, p := range paces {
		o.work.Go(func() { o.sendPace(ctx, p) })
	}
	for _, i := range instanceOrders {
		o.work.Go(func() { o.sendInstanceOrder(ctx, i) })
	}
	o.queueWaveReports(reports)
	if hasQuestion {
		o.work.Go(func() { o.requestAdvice(ctx, question) })
	}
	for _, id := range ids {
		o.work.Go(func() { o.hold(ctx, id) })
	}
	for _, id := range probes {
		o.work.Go(func() { o.probe(ctx, id) })
	}
}

func (o *Owner) emit(name tmevent.Name, fields ...any) {
	o.opts.Emit(tmevent.Event{Name: name, Fields: fields})
}
