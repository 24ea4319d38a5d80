package tmowner

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmevent"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

// Options are what an Owner works with.
type Options struct {
	Store     tmtable.Store
	Endpoints EndpointClient
	Instances InstanceClient
	Advisor   Advisor
	Directory Directory
	Clock     tmclock.Clock
	Bounds    tmcontrol.Bounds
	// KeepOutcomes is how long callers can ask for the outcome of a job.
	KeepOutcomes time.Duration
	// Holder is the name of this node in orders about instances.
	Holder string
	Note   func(tmevent.Event)
	// Observe, if set, is told how long a step of the work took.
	Observe func(what string, took time.Duration, err error)
}

const (
	// planPause is the least time between two passes of the planner, planRest how
	// many times as long as a pass it rests at least.
	planPause = 5 * time.Millisecond
	planRest  = 2
	// tickEvery is the longest time between two passes.
	tickEvery = 100 * time.Millisecond
	// flushPause is the least time between two flushes, so that changes gather.
	flushPause = 15 * time.Millisecond
	// endpointPause gathers the reports of endpoints, which write one by one.
	endpointPause = 100 * time.Millisecond
)

// Owner is the running owner of the fleet. Its mutex guards the controller;
// no call to another party is made while it is held.
type Owner struct {
	opts  Options
	token int64

	mu       sync.Mutex
	ctl      *tmcontrol.Controller
	holding  map[string]bool
	storedCh chan struct{}
	loaded   bool

	kickPlan  chan struct{}
	kickFlush chan struct{}
	kickList  chan struct{}
	work      sync.WaitGroup
	// guardVersion is the version of the guard, used by the flusher alone.
	guardVersion int64
	stop         context.CancelFunc

	// settleMu guards what follows. No other mutex is taken while it is held.
	settleMu    sync.Mutex
	outcomes    map[string]tmrecord.Outcome
	settledJobs []settled
	// kept are the outcomes in the table of jobs, about in order of age.
	kept []settled
}

// New returns an owner with a fencing token. Run starts it.
func New(opts Options, token int64) *Owner {
	return &Owner{
		opts: opts, token: token,
		ctl:       tmcontrol.New(opts.Bounds, token, opts.Note),
		holding:   map[string]bool{},
		storedCh:  make(chan struct{}),
		kickPlan:  make(chan struct{}, 1),
		kickFlush: make(chan struct{}, 1),
		kickList:  make(chan struct{}, 1),
		outcomes:  map[string]tmrecord.Outcome{},
	}
}

// Apply takes in what the operator has directed.
func (o *Owner) Apply(d tmcontrol.DesiredState) {
	o.mu.Lock()
	o.ctl.Apply(d, o.opts.Clock.Now())
	o.mu.Unlock()
	o.plan()
}

// Seen takes in that the row of the owner names a holder of that token.
func (o *Owner) Seen(token int64) {
	if token != o.token {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ctl.OwnershipConfirmed(o.opts.Clock.Now())
}

// Status returns the numbers of waiting jobs by queue, and whether all stored
// jobs are known.
func (o *Owner) Status() (map[string]int, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ctl.Waiting(), o.loaded
}

// Dump returns the state of the controller for operators.
func (o *Owner) Dump() tmcontrol.Dump {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.ctl.Dump()
}

// Run owns the fleet until ctx ends or another owner is found.
func (o *Owner) Run(ctx context.Context) {
	ctx, o.stop = context.WithCancel(ctx)
	defer o.work.Wait()
	defer o.stop()
	if !o.takeGuard(ctx) {
		return
	}
	o.Seen(o.token)
	o.work.Go(func() { o.followEndpoints(ctx) })
	o.work.Go(func() { o.followJobs(ctx) })
	o.work.Go(func() { o.flushLoop(ctx) })
	o.work.Go(func() { o.settleLoop(ctx) })
	if o.opts.Instances != nil {
		o.work.Go(func() { o.instanceLoop(ctx) })
	}
	o.planLoop(ctx)
}

func (o *Owner) plan()  { kick(o.kickPlan) }
func (o *Owner) flush() { kick(o.kickFlush) }

func kick(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (o *Owner) planLoop(ctx context.Context) {
	timer := time.NewTimer(tickEvery)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.kickPlan:
		case <-timer.C:
		}
		timer.Reset(tickEvery)
		began := time.Now()
		o.pass(ctx)
		if !tmwait.Pause(ctx, max(planPause, planRest*time.Since(began))) {
			return
		}
	}
}

// pass lets the controller decide and sends its orders.
func (o *Owner) pass(ctx context.Context) {
	now := o.opts.Clock.Now()
	wall := time.Now().UnixMilli()
	o.mu.Lock()
	if o.ctl.Deposed() {
		o.mu.Unlock()
		o.stop()
		return
	}
	o.ctl.Tick(now, wall)
	o.ctl.Plan(now, wall)
	starts, stops, paces := o.ctl.TakeOrders(now)
	questions := o.ctl.TakeAdviceRequests()
	instanceOrders, reports := o.ctl.TakeInstanceOrders()
	ids := o.ctl.EndpointsToHold(o.holding)
	for _, id := range ids {
		o.holding[id] = true
	}
	o.mu.Unlock()
	o.flush()
	for _, s := range starts {
		o.work.Go(func() { o.sendStart(ctx, s) })
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
	for _, r := range reports {
		o.work.Go(func() { o.report(ctx, r) })
	}
	for _, q := range questions {
		o.work.Go(func() { o.ask(ctx, q) })
	}
	for _, id := range ids {
		o.work.Go(func() { o.hold(ctx, id) })
	}
}

func (o *Owner) note(name tmevent.Name, fields ...any) {
	o.opts.Note(tmevent.Event{Name: name, Fields: fields})
}

func (o *Owner) followEndpoints(ctx context.Context) {
	known := map[string]bool{}
	f := tmtable.Follower{
		Store: o.opts.Store, Table: o.opts.Directory.EndpointTable(), Parts: []string{""}, Pause: endpointPause,
		Snapshot: func(rows []tmtable.Row) {
			present := map[string]bool{}
			for _, row := range rows {
				present[row.Key.Key] = true
			}
			for id := range known {
				if !present[id] {
					o.setEndpoint(known, tmtable.Row{Key: tmtable.Key{Key: id}, Deleted: true})
				}
			}
			for _, row := range rows {
				o.setEndpoint(known, row)
			}
			o.plan()
		},
		Changed: func(rows []tmtable.Row) {
			for _, row := range rows {
				o.setEndpoint(known, row)
			}
			o.plan()
		},
		Lost: func(err error) { o.note(tmevent.StoreLost, "what", "list of endpoints", "cause", err.Error()) },
		Regained: func(after time.Duration) {
			o.note(tmevent.StoreRegained, "what", "list of endpoints", "lost_ms", after.Milliseconds())
		},
	}
	f.Run(ctx)
}

func (o *Owner) setEndpoint(known map[string]bool, row tmtable.Row) {
	now := o.opts.Clock.Now()
	id := row.Key.Key
	if row.Deleted {
		delete(known, id)
		o.mu.Lock()
		o.ctl.RemoveEndpoint(id)
		o.mu.Unlock()
		return
	}
	l, err := o.opts.Directory.Endpoint(row)
	if err != nil {
		o.note(tmevent.RowUnreadable, "table", row.Table, "key", id, "cause", err.Error())
		return
	}
	known[id] = true
	o.mu.Lock()
	o.ctl.SetEndpoint(l, now)
	o.mu.Unlock()
}

func (o *Owner) followJobs(ctx context.Context) {
	f := tmtable.Follower{
		Store: o.opts.Store, Table: tmrecord.JobTable, Parts: tmrecord.Parts(),
		Snapshot: func(rows []tmtable.Row) {
			// Parts come one after another; the shares of teams go by the order in
			// which jobs arrived.
			slices.SortFunc(rows, func(a, b tmtable.Row) int { return cmp.Compare(a.Version, b.Version) })
			o.takeJobs(rows)
			if !o.isLoaded() {
				o.takeOldOutcomes(rows)
				o.restore(ctx)
			}
		},
		Changed: func(rows []tmtable.Row) {
			o.takeJobs(rows)
			o.plan()
		},
		Lost: func(err error) { o.note(tmevent.StoreLost, "what", "jobs", "cause", err.Error()) },
		Regained: func(after time.Duration) {
			o.note(tmevent.StoreRegained, "what", "jobs", "lost_ms", after.Milliseconds())
		},
	}
	f.Run(ctx)
}

func (o *Owner) isLoaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.loaded
}

func (o *Owner) takeJobs(rows []tmtable.Row) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, row := range rows {
		kind, id := tmrecord.KindOf(row.Key.Key)
		if row.Deleted {
			if kind == tmrecord.JobRow {
				o.ctl.Removed(id)
			}
			continue
		}
		switch kind {
		case tmrecord.JobRow:
			j, err := tmrecord.DecodeJob(id, row.Value)
			if err != nil {
				o.note(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
				continue
			}
			o.ctl.Submitted(j)
		case tmrecord.CancelRow:
			o.ctl.Cancelled(id)
		case tmrecord.OutcomeRow:
		}
	}
}

// takeOldOutcomes notes the outcomes that earlier owners have moved.
func (o *Owner) takeOldOutcomes(rows []tmtable.Row) {
	for _, row := range rows {
		kind, id := tmrecord.KindOf(row.Key.Key)
		if kind != tmrecord.OutcomeRow {
			continue
		}
		out, err := tmrecord.DecodeOutcome(row.Value)
		if err != nil {
			o.note(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
			continue
		}
		o.keepOutcome(id, out.At)
	}
}

// restore reads the progress of all live jobs. The guard is taken already, so no
// earlier owner can change it any more.
func (o *Owner) restore(ctx context.Context) {
	if !o.untilDone(ctx, "progress of jobs", func() error { return o.restoreRuns(ctx) }) {
		return
	}
	if !o.untilDone(ctx, "progress of waves", func() error { return o.restoreWaves(ctx) }) {
		return
	}
	o.mu.Lock()
	o.loaded = true
	o.ctl.Loaded()
	o.mu.Unlock()
	o.note(tmevent.OwnerLoaded, "token", o.token)
	o.plan()
}

// untilDone repeats a read until it succeeds. It reports false when ctx ends.
func (o *Owner) untilDone(ctx context.Context, what string, read func() error) bool {
	for {
		err := read()
		if err == nil {
			return true
		}
		o.note(tmevent.StoreFailed, "what", what, "cause", err.Error())
		if !tmwait.Pause(ctx, tickEvery) {
			return false
		}
	}
}

func (o *Owner) restoreRuns(ctx context.Context) error {
	page, err := tmtable.ReadAll(ctx, o.opts.Store, tmtable.Range{Table: tmrecord.RunTable, Part: tmrecord.OwnerPart()})
	if err != nil {
		return err
	}
	now := o.opts.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, row := range page.Rows {
		if err := o.restoreRow(row, now); err != nil {
			o.note(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
		}
	}
	return nil
}

// restoreRow takes in a row of the owner's part. The mutex is held.
func (o *Owner) restoreRow(row tmtable.Row, now tmclock.Millis) error {
	switch row.Key {
	case tmrecord.GuardKey():
		return nil
	case tmrecord.OrdersKey():
		instances, err := tmrecord.DecodeOrders(row.Value)
		o.ctl.RestoreOrders(instances, now)
		return err
	}
	kind, id := tmrecord.KindOf(row.Key.Key)
	if kind == tmrecord.OutcomeRow {
		out, err := tmrecord.DecodeOutcome(row.Value)
		if err != nil {
			return err
		}
		o.ctl.Finished(id)
		o.settle(map[string]tmrecord.Outcome{id: out})
		return nil
	}
	p, err := tmrecord.DecodeProgress(id, row.Value)
	if err != nil {
		return err
	}
	o.ctl.Restore(p, now)
	return nil
}
