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

// turn does what this entry has to do for one wave, and reports whether there
// is more to do at once.
func (k *Keeper) turn(ctx context.Context, row tmstore.Wave) bool {
	w, ok := k.known[row.Name]
	if !ok {
		w = &watch{
			leader: tmwave.NewElector(k.Host.Incarnation(), k.Clock),
			runner: tmwave.NewRunner(row.Plan, k.Clock),
		}
		k.known[row.Name] = w
	}
	w.row = row
	lease, raise := w.leader.Observe(row.Lease)
	mine := row.Lease.Leader == k.Host.Incarnation()
	if mine && !k.Host.MayLead() {
		k.giveBack(ctx, w)
		return false
	}
	if !k.Host.MayLead() || (!mine && !raise) {
		return false
	}
	if !mine || !w.leader.HoldsLease() {
		// The lease is written before anything is decided on it.
		if !k.put(ctx, w, lease, row.Progress) {
			return false
		}
		if !mine {
			k.Log.Info("leading wave", "wave", row.Name, "counter", lease.Counter, "before", row.Lease.Leader)
		}
		lease.Counter++
		raise = false
	}
	return k.lead(ctx, w, lease, raise)
}

// lead decides and carries out the next steps. The State is read after the row
// was, as tmwave.Runner.Next requires.
func (k *Keeper) lead(ctx context.Context, w *watch, lease tmwave.Lease, raise bool) bool {
	state, revision, err := k.Host.ReadState(ctx)
	if err != nil || revision == 0 {
		k.Log.Debug("state not read for wave", "wave", w.row.Name, "error", err)
		return false
	}
	if !k.Host.InForce(state.Version()) {
		k.Host.Spread()
	}
	next, steps := k.decide(ctx, w, state)
	changed := !next.Equal(w.row.Progress)
	// Every write raises the counter. Without that, frequent writes of the
	// progress alone would put the next raise off until others take over.
	if (changed || raise) && !k.put(ctx, w, lease, next) {
		return false
	}
	if k.finished(w, state) {
		k.closeWave(ctx, w)
		return false
	}
	done := k.carryOut(ctx, w, view{state: state, revision: revision}, steps)
	return changed || done
}

// decide returns the progress to write and the steps. A drain is decided on a
// report that is younger than the State: with an older one the boot count may
// be that from before another wave rebooted the endpoint, and the wave would
// take that reboot for its own.
func (k *Keeper) decide(ctx context.Context, w *watch, state tmfleet.State) (tmwave.Progress, []tmwave.Step) {
	read := k.Clock.Now()
	k.reports.refresh(ctx, state, union(k.reports.due(state.Config(), w.row.Progress), activeOf(w.row)))
	for {
		next, steps := w.runner.Next(w.row.Progress, tmwave.View{
			Config:    state.Config(),
			Endpoints: k.reports.all(state.Config()),
			Wall:      tmclock.Wall(),
		})
		old := k.reports.olderThan(read, newlyDraining(w.row.Progress, next))
		if len(old) == 0 || ctx.Err() != nil {
			return next, steps
		}
		k.reports.refresh(ctx, state, old)
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

// put writes the row and reports whether it is certainly written. A lost
// answer is read back.
func (k *Keeper) put(ctx context.Context, w *watch, lease tmwave.Lease, progress tmwave.Progress) bool {
	row := w.row
	row.Lease = lease
	row.Progress = progress
	var t tmstore.Txn
	t.PutWave(row)
	sent := k.Clock.Now()
	revision, err := k.Store.Commit(ctx, &t)
	if errors.Is(err, tmstore.ErrUncertain) {
		revision, err = k.readBack(ctx, row, err)
	}
	if err != nil {
		k.Log.Debug("row of wave not written", "wave", row.Name, "error", err)
		return false
	}
	row.Revision = revision
	w.row = row
	w.leader.Committed(lease, sent)
	return true
}

// readBack returns the revision of the row if it was written, or else cause.
// Leader and counter are those of this write only, except for an earlier write
// of the same counter with an uncertain end, which may differ in its progress.
func (k *Keeper) readBack(ctx context.Context, row tmstore.Wave, cause error) (uint64, error) {
	got, err := k.Store.Wave(ctx, row.Name)
	if err != nil {
		return 0, err
	}
	if got.Closed || got.Lease != row.Lease || !got.Progress.Equal(row.Progress) {
		return 0, cause
	}
	return got.Revision, nil
}

// finished reports whether the wave needs no leader any more: it has ended for
// a while, and every instance that failed has been returned to service or
// removed.
func (k *Keeper) finished(w *watch, state tmfleet.State) bool {
	if !w.row.Progress.Ended() {
		w.endedAt = 0
		return false
	}
	now := k.Clock.Now()
	if w.endedAt == 0 {
		w.endedAt = now
	}
	if now.Sub(w.endedAt) < settleFor {
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

func (k *Keeper) closeWave(ctx context.Context, w *watch) {
	row := w.row
	row.Lease = tmwave.Lease{Counter: row.Lease.Counter + 1}
	var t tmstore.Txn
	t.CloseWave(row)
	if _, err := k.Store.Commit(ctx, &t); err != nil {
		// The next turn sees whether the row was moved.
		k.Log.Debug("wave not closed", "wave", row.Name, "error", err)
		return
	}
	k.Log.Info("wave closed", "wave", row.Name, "done", row.Progress.Count(tmwave.Done), "failed", row.Progress.Count(tmwave.Failed))
}
