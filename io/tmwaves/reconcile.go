package tmwaves

import (
	"context"
	"errors"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmwave"
	"turmericmoor/io/tmstore"
)

// reconcile takes over, renews or releases the lease of one wave as needed and
// advances the wave if this entry leads it. It reports whether the wave should be
// reconciled again at once.
func (c *Coordinator) reconcile(ctx context.Context, row tmstore.Wave) bool {
	w, ok := c.tracked[row.Name]
	if !ok {
		w = &trackedWave{
			elector: tmwave.NewElector(c.Host.Incarnation(), c.Clock),
			runner:  tmwave.NewRunner(row.Plan, c.Clock),
		}
		c.tracked[row.Name] = w
	}
	w.row = row
	lease, renew := w.elector.Observe(row.Lease)
	isLeader := row.Lease.Leader == c.Host.Incarnation()
	if isLeader && !c.Host.MayLead() {
		c.releaseLease(ctx, w)
		return false
	}
	if !c.Host.MayLead() || (!isLeader && !renew) {
		return false
	}
	if !isLeader || !w.elector.HoldsLease() {
		// No step is decided before the lease is committed.
		if !c.writeRow(ctx, w, lease, row.Progress) {
			return false
		}
		if !isLeader {
			c.Log.Info("leading wave", "wave", row.Name, "counter", lease.Counter, "before", row.Lease.Leader)
		}
		// The lease has just been renewed. A further write needs the next counter.
		lease.Counter++
		renew = false
	}
	return c.lead(ctx, w, lease, renew)
}

// lead decides and executes the next steps. The State is read after the row, as
// tmwave.Runner.Next requires.
func (c *Coordinator) lead(ctx context.Context, w *trackedWave, lease tmwave.Lease, renew bool) bool {
	state, revision, err := c.Host.ReadState(ctx)
	if err != nil || revision == 0 {
		c.Log.Debug("can't read state for wave", "wave", w.row.Name, "error", err)
		return false
	}
	if !c.Host.InForce(state.Version()) {
		c.Host.PushState()
	}
	next, steps := c.decide(ctx, w, state)
	changed := !next.Equal(w.row.Progress)
	// Every write raises the lease counter. Otherwise frequent writes of the
	// progress alone would delay the next renewal until another entry takes over.
	if (changed || renew) && !c.writeRow(ctx, w, lease, next) {
		return false
	}
	if c.finished(w, state) {
		c.closeWave(ctx, w)
		return false
	}
	done := c.execute(ctx, w, snapshot{state: state, revision: revision}, steps)
	return changed || done
}

// decide returns the progress to write and the next steps. A drain is decided
// only on a report that was queried after the State was read. The boot count in
// an older report may be from before a reboot for another wave, and this wave
// would take that reboot for its own.
func (c *Coordinator) decide(ctx context.Context, w *trackedWave, state tmfleet.State) (tmwave.Progress, []tmwave.Step) {
	readAt := c.Clock.Now()
	c.reports.refresh(ctx, state, union(c.reports.due(state.Config(), w.row.Progress), activeOf(w.row)))
	for {
		next, steps := w.runner.Next(w.row.Progress, tmwave.View{
			Config:    state.Config(),
			Endpoints: c.reports.endpoints(state.Config()),
			Wall:      tmclock.Wall(),
		})
		outdated := c.reports.queriedBefore(readAt, newlyDraining(w.row.Progress, next))
		if len(outdated) == 0 || ctx.Err() != nil {
			return next, steps
		}
		c.reports.refresh(ctx, state, outdated)
	}
}

func newlyDraining(before, after tmwave.Progress) []string {
	var names []string
	for name, m := range after.ByInstance().All() {
		old, _ := before.ByInstance().Get(name)
		if m.Phase == tmwave.Draining && old.Phase != tmwave.Draining {
			names = append(names, name)
		}
	}
	return names
}

func union(a, b []string) []string {
	all := slices.Concat(a, b)
	slices.Sort(all)
	return slices.Compact(all)
}

// writeRow writes the row and reports whether the write is known to have taken
// effect. After a lost response the row is read back.
func (c *Coordinator) writeRow(ctx context.Context, w *trackedWave, lease tmwave.Lease, progress tmwave.Progress) bool {
	row := w.row
	row.Lease = lease
	row.Progress = progress
	var t tmstore.Txn
	t.PutWave(row)
	sent := c.Clock.Now()
	revision, err := c.Store.Commit(ctx, &t)
	if errors.Is(err, tmstore.ErrUncertain) {
		revision, err = c.readBack(ctx, row, err)
	}
	if err != nil {
		c.Log.Debug("can't write wave row", "wave", row.Name, "error", err)
		return false
	}
	row.Revision = revision
	w.row = row
	w.elector.Committed(lease, sent)
	return true
}

// readBack returns the revision of the row if the write took effect, or else
// cause. The write is identified by its leader, counter and progress. Leader and
// counter alone don't suffice, because an earlier write with an uncertain outcome
// may have used the same counter with another progress.
func (c *Coordinator) readBack(ctx context.Context, row tmstore.Wave, cause error) (uint64, error) {
	got, err := c.Store.Wave(ctx, row.Name)
	if err != nil {
		return 0, err
	}
	if got.Closed || got.Lease != row.Lease || !got.Progress.Equal(row.Progress) {
		return 0, cause
	}
	return got.Revision, nil
}

// finished reports whether the wave needs no leader any more: it ended at least
// settleDuration ago, and every instance that failed has been returned to service
// or removed.
func (c *Coordinator) finished(w *trackedWave, state tmfleet.State) bool {
	if !w.row.Progress.Ended() {
		w.endedAt = 0
		return false
	}
	now := c.Clock.Now()
	if w.endedAt == 0 {
		w.endedAt = now
	}
	if now.Sub(w.endedAt) < settleDuration {
		return false
	}
	for name, m := range w.row.Progress.ByInstance().All() {
		in, ok := state.Config().Instances().Get(name)
		if m.Phase == tmwave.Failed && ok && in.Duty() != tmfleet.Serving {
			return false
		}
	}
	return true
}

func (c *Coordinator) closeWave(ctx context.Context, w *trackedWave) {
	row := w.row
	row.Lease = tmwave.Lease{Counter: row.Lease.Counter + 1}
	var t tmstore.Txn
	t.CloseWave(row)
	if _, err := c.Store.Commit(ctx, &t); err != nil {
		// The next read of the open waves shows whether the wave was closed.
		c.Log.Debug("can't close wave", "wave", row.Name, "error", err)
		return
	}
	c.Log.Info("wave closed", "wave", row.Name, "done", row.Progress.Count(tmwave.Done), "failed", row.Progress.Count(tmwave.Failed))
}
