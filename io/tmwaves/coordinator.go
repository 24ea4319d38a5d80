package tmwaves

import (
	"context"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmwave"
	"turmericmoor/io/tmstore"
)

const (
	// readInterval is the interval at which the open waves are read. Another
	// entry takes over at most defaultLeaseDuration (10 s) plus two intervals after
	// the leader's last write, and so within 15 s.
	readInterval = 1 * tmclock.Second
	// pollInterval is the interval at which a leader queries the endpoints that
	// are out of service for the wave. If one has changed, the wave is reconciled
	// at once.
	pollInterval = 250 * tmclock.Millisecond
	// activeInterval is the delay until the next poll after steps of a wave were
	// executed. It is short because the next steps depend on their effects.
	activeInterval = 30 * tmclock.Millisecond
	// settleDuration is how long a wave keeps its leader after it has ended. During
	// this time the leader undoes the effect of a late call by a previous leader.
	settleDuration = 10 * tmclock.Second
	// releaseTimeout bounds the writes that release leases on shutdown.
	releaseTimeout = 1 * tmclock.Second
)

// Coordinator reads the open waves and leads those whose lease it holds.
type Coordinator struct {
	Dependencies
	wake    chan struct{}
	reports *reports

	// The fields below are used only by the goroutine of Run.
	lastRead tmclock.Millis
	rescan   bool
	tracked  map[string]*trackedWave
}

// trackedWave is the in-memory state of a Coordinator for an open wave.
type trackedWave struct {
	elector *tmwave.Elector
	runner  *tmwave.Runner
	row     tmstore.Wave
	// endedAt is when this Coordinator first saw that the wave had ended, or 0.
	endedAt tmclock.Millis
}

// NewCoordinator returns a Coordinator. It leads no wave until Run is called.
func NewCoordinator(deps Dependencies) *Coordinator {
	return &Coordinator{
		Dependencies: deps,
		wake:         make(chan struct{}, 1),
		reports:      newReports(deps),
		tracked:      map[string]*trackedWave{},
	}
}

// Run leads waves until ctx is done. It then releases its leases, so that
// another entry takes over without waiting for them to expire.
func (c *Coordinator) Run(ctx context.Context) {
	for {
		wait := c.poll(ctx)
		timer := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			c.releaseAll()
			return
		case <-timer.C:
		case <-c.wake:
			timer.Stop()
			c.rescan = true
		}
	}
}

// wakeUp makes Run poll at once.
func (c *Coordinator) wakeUp() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// poll reads and reconciles the open waves if readInterval has passed, a rescan
// is requested or an endpoint has changed. It returns the delay until the next
// poll.
func (c *Coordinator) poll(ctx context.Context) tmclock.Span {
	due := c.rescan || c.lastRead == 0 || c.Clock.Now().Sub(c.lastRead) >= readInterval
	if !due && !c.activeChanged(ctx) {
		return pollInterval
	}
	c.rescan = false
	c.lastRead = c.Clock.Now()
	rows, err := c.Store.OpenWaves(ctx)
	if err != nil {
		c.Log.Debug("can't read open waves", "error", err)
		return pollInterval
	}
	c.untrackClosed(rows)
	for _, row := range rows {
		if c.reconcile(ctx, row) {
			c.rescan = true
		}
	}
	switch {
	case c.rescan:
		return activeInterval
	case c.leadsAny():
		return pollInterval
	default:
		return readInterval
	}
}

func (c *Coordinator) untrackClosed(rows []tmstore.Wave) {
	open := make(map[string]bool, len(rows))
	for _, row := range rows {
		open[row.Name] = true
	}
	for name := range c.tracked {
		if !open[name] {
			delete(c.tracked, name)
		}
	}
}

func (c *Coordinator) leadsAny() bool {
	for _, w := range c.tracked {
		if w.elector.HoldsLease() {
			return true
		}
	}
	return false
}

// activeChanged queries the endpoints that are out of service for waves led by
// this entry and reports whether one of them has changed.
func (c *Coordinator) activeChanged(ctx context.Context) bool {
	state := c.Host.State()
	changed := false
	for _, w := range c.tracked {
		if !w.elector.HoldsLease() {
			continue
		}
		if c.reports.refresh(ctx, state, activeOf(w.row)) {
			changed = true
		}
	}
	return changed
}

// activeOf returns the instances that are out of service for a wave.
func activeOf(row tmstore.Wave) []string {
	names := []string{}
	for name, m := range row.Progress.ByInstance().All() {
		switch m.Phase {
		case tmwave.Draining, tmwave.Returning, tmwave.Rebooting:
			names = append(names, name)
		}
	}
	return names
}

// releaseAll releases the leases of all waves that this entry leads.
func (c *Coordinator) releaseAll() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
	defer cancel()
	for _, w := range c.tracked {
		if w.elector.HoldsLease() {
			c.releaseLease(ctx, w)
		}
	}
}

// releaseLease writes the row with an empty leader and the next lease counter.
func (c *Coordinator) releaseLease(ctx context.Context, w *trackedWave) {
	row := w.row
	row.Lease = tmwave.Lease{Counter: row.Lease.Counter + 1}
	var t tmstore.Txn
	t.PutWave(row)
	if _, err := c.Store.Commit(ctx, &t); err != nil {
		c.Log.Debug("can't release wave lease", "wave", row.Name, "error", err)
	}
}
