package tmwaves

import (
	"context"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmwave"
	"turmericmoor/io/tmstore"
)

const (
	// readEvery is the interval at which the open waves are read. A takeover
	// comes at most defaultLeaseDuration (10 s) plus two intervals after the last
	// write of the leader, which is within 15 s.
	readEvery = 1 * tmclock.Second
	// pollEvery is the interval at which a leader asks the endpoints that are
	// out of service for the wave. A change there starts a turn at once.
	pollEvery = 250 * tmclock.Millisecond
	// busyWait is the wait after a turn that had steps. Their effects decide
	// what comes next.
	busyWait = 30 * tmclock.Millisecond
	// settleFor is how long a wave is led after its end, so that a late call
	// by an earlier leader is undone.
	settleFor = 10 * tmclock.Second
	// releaseTimeout bounds the writes that give leases back on shutdown.
	releaseTimeout = 1 * tmclock.Second
)

// Keeper watches the open waves and leads those whose lease it holds.
type Keeper struct {
	Parts
	wake    chan struct{}
	reports *reports

	// The fields below belong to Run.
	lastRead tmclock.Millis
	hot      bool
	known    map[string]*watch
}

// watch is what a Keeper remembers about an open wave.
type watch struct {
	leader *tmwave.Elector
	runner *tmwave.Runner
	row    tmstore.Wave
	// endedAt is when this Keeper first saw that the wave has ended.
	endedAt tmclock.Millis
}

// NewKeeper returns a Keeper. It does nothing before Run.
func NewKeeper(parts Parts) *Keeper {
	return &Keeper{
		Parts:   parts,
		wake:    make(chan struct{}, 1),
		reports: newReports(parts),
		known:   map[string]*watch{},
	}
}

// Run leads waves until ctx ends. Then it gives back the leases that it holds,
// so that another entry goes on at once.
func (k *Keeper) Run(ctx context.Context) {
	for {
		wait := k.round(ctx)
		timer := time.NewTimer(wait.Duration())
		select {
		case <-ctx.Done():
			timer.Stop()
			k.release()
			return
		case <-timer.C:
		case <-k.wake:
			timer.Stop()
			k.hot = true
		}
	}
}

// poke starts a round at once.
func (k *Keeper) poke() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// round reads the open waves if that is due, makes a turn for each, and
// returns the wait until the next round.
func (k *Keeper) round(ctx context.Context) tmclock.Span {
	due := k.hot || k.lastRead == 0 || k.Clock.Now().Sub(k.lastRead) >= readEvery
	if !due && !k.activeChanged(ctx) {
		return pollEvery
	}
	k.hot = false
	k.lastRead = k.Clock.Now()
	rows, err := k.Store.OpenWaves(ctx)
	if err != nil {
		k.Log.Debug("waves not read", "error", err)
		return pollEvery
	}
	k.forgetClosed(rows)
	for _, row := range rows {
		if k.turn(ctx, row) {
			k.hot = true
		}
	}
	switch {
	case k.hot:
		return busyWait
	case k.leads():
		return pollEvery
	default:
		return readEvery
	}
}

func (k *Keeper) forgetClosed(rows []tmstore.Wave) {
	open := make(map[string]bool, len(rows))
	for _, row := range rows {
		open[row.Name] = true
	}
	for name := range k.known {
		if !open[name] {
			delete(k.known, name)
		}
	}
}

func (k *Keeper) leads() bool {
	for _, w := range k.known {
		if w.leader.HoldsLease() {
			return true
		}
	}
	return false
}

// activeChanged asks the endpoints that are out of service for the waves that
// this entry leads, and reports whether one of them has changed.
func (k *Keeper) activeChanged(ctx context.Context) bool {
	state := k.Host.State()
	changed := false
	for _, w := range k.known {
		if !w.leader.HoldsLease() {
			continue
		}
		if k.reports.refresh(ctx, state, activeOf(w.row)) {
			changed = true
		}
	}
	return changed
}

// activeOf returns the instances that a wave keeps out of service.
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

// release gives back the leases of the waves that this entry leads.
func (k *Keeper) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout.Duration())
	defer cancel()
	for _, w := range k.known {
		if w.leader.HoldsLease() {
			k.giveBack(ctx, w)
		}
	}
}

// giveBack writes the row without a leader.
func (k *Keeper) giveBack(ctx context.Context, w *watch) {
	row := w.row
	row.Lease = tmwave.Lease{Counter: row.Lease.Counter + 1}
	var t tmstore.Txn
	t.PutWave(row)
	if _, err := k.Store.Commit(ctx, &t); err != nil {
		k.Log.Debug("lease of wave not given back", "wave", row.Name, "error", err)
	}
}
