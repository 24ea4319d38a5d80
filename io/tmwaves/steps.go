package tmwaves

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmwave"
	"turmericmoor/io/tmendpoint"
	"turmericmoor/io/tmstore"
)

// callFor bounds the calls of one turn. With the longest time after a raise at
// which a turn starts them, it ends before another entry can take over.
const callFor = 2 * tmclock.Second

// view is the State that the steps were decided on.
type view struct {
	state    tmfleet.State
	revision uint64
}

// carryOut carries out the steps and reports whether one had an effect.
func (k *Keeper) carryOut(ctx context.Context, w *watch, v view, steps []tmwave.Step) bool {
	if len(steps) == 0 || !w.leader.HoldsLease() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callFor.Duration())
	defer cancel()
	var marks, calls []tmwave.Step
	for _, s := range steps {
		if isMark(s.Kind) {
			marks = append(marks, s)
		} else {
			calls = append(calls, s)
		}
	}
	written, err := k.writeMarks(ctx, w, v, marks)
	if err != nil {
		// The next turn reads both rows, so a lost answer needs no more here.
		k.Log.Debug("steps of wave not written", "wave", w.row.Name, "error", err)
		return errors.Is(err, tmstore.ErrConflict)
	}
	return k.callEndpoints(ctx, w, v.state, calls) || written
}

// callEndpoints carries out steps at endpoints and reports whether one had an
// effect.
func (k *Keeper) callEndpoints(ctx context.Context, w *watch, state tmfleet.State, steps []tmwave.Step) bool {
	var effects atomic.Bool
	var calls sync.WaitGroup
	for _, s := range steps {
		calls.Go(func() {
			if k.callEndpoint(ctx, w, state, s) {
				effects.Store(true)
			}
		})
	}
	calls.Wait()
	return effects.Load()
}

func isMark(kind tmwave.StepKind) bool {
	return kind == tmwave.MarkDraining || kind == tmwave.MarkRebooting || kind == tmwave.MarkServing
}

// writeMarks writes the steps that change the State, as far as they pass the
// checks, and reports whether they were written. The transaction depends on
// the row of the wave, so that it fails once another entry leads.
func (k *Keeper) writeMarks(ctx context.Context, w *watch, v view, steps []tmwave.Step) (bool, error) {
	changes, config := k.applicable(v.state, steps)
	if len(changes) == 0 {
		return false, nil
	}
	next := v.state.Next("", config)
	row := w.row
	var t tmstore.Txn
	if served := servedBy(changes); len(served) > 0 {
		row.Progress = row.Progress.WithServing(served)
		row.Lease.Counter++
		t.PutWave(row)
	} else {
		t.CheckWave(row.Name, row.Revision)
	}
	t.PutState(v.revision, next, tmstore.Revision{
		ChangeID: "wave-" + row.Name,
		Written:  tmclock.Wall(),
		Changes:  changes,
	})
	sent := k.Clock.Now()
	revision, err := k.Store.Commit(ctx, &t)
	if err != nil {
		return false, err
	}
	if row.Lease != w.row.Lease {
		row.Revision = revision
		w.row = row
		w.leader.Committed(row.Lease, sent)
	}
	k.Host.Install(next)
	k.Host.Spread()
	k.Log.Info("steps of wave written", "wave", w.row.Name, "version", next.Version(), "changes", len(changes))
	return true, nil
}

// servedBy returns the instances that the changes return to service.
func servedBy(changes []tmchange.Change) []string {
	var names []string
	for _, c := range changes {
		if m, ok := c.(tmchange.MarkServing); ok {
			names = append(names, m.Name)
		}
	}
	return names
}

// applicable returns the changes that pass the checks together, and the Config
// that has them. Returns to service come first, since they free the budget.
func (k *Keeper) applicable(state tmfleet.State, steps []tmwave.Step) ([]tmchange.Change, tmfleet.Config) {
	ordered := slices.Clone(steps)
	slices.SortStableFunc(ordered, func(a, b tmwave.Step) int { return cmp.Compare(b.Kind, a.Kind) })
	var accepted []tmchange.Change
	config := state.Config()
	for _, s := range ordered {
		in, ok := state.Config().Instances().Get(s.Instance)
		if !ok || in.Duty() == tmfleet.Leaving {
			continue
		}
		tried := append(slices.Clone(accepted), changeOf(s))
		next, err := k.Host.Apply(state, tried)
		if err != nil {
			k.Log.Debug("step of wave refused", "step", s.Kind, "instance", s.Instance, "error", err)
			continue
		}
		accepted, config = tried, next
	}
	return accepted, config
}

func changeOf(s tmwave.Step) tmchange.Change {
	switch s.Kind {
	case tmwave.MarkDraining:
		return tmchange.MarkDraining{Name: s.Instance}
	case tmwave.MarkRebooting:
		return tmchange.MarkRebooting{Name: s.Instance}
	default:
		return tmchange.MarkServing{Name: s.Instance}
	}
}

// callEndpoint carries out one step at an endpoint and reports whether it had
// an effect as far as is known.
func (k *Keeper) callEndpoint(ctx context.Context, w *watch, state tmfleet.State, s tmwave.Step) bool {
	in, ok := state.Config().Instances().Get(s.Instance)
	if !ok {
		return false
	}
	if s.Kind == tmwave.RebootEndpoint && !k.Host.InForce(state.Version()) {
		return false
	}
	report, err := k.Endpoints.State(ctx, in.Address())
	if err != nil || !permits(s, report) || !w.leader.HoldsLease() {
		return false
	}
	switch s.Kind {
	case tmwave.DrainEndpoint:
		err = k.Endpoints.Drain(ctx, in.Address())
	case tmwave.UndrainEndpoint:
		err = k.Endpoints.Undrain(ctx, in.Address())
	case tmwave.RebootEndpoint:
		err = k.Endpoints.Reboot(ctx, in.Address())
	}
	k.Log.Info("step of wave at endpoint", "wave", w.row.Name, "step", s.Kind, "instance", s.Instance, "error", err)
	return err == nil
}

// permits reports whether the present report of the endpoint still permits the
// step. The protocol of endpoints has no conditional calls, so this check
// comes immediately before the call.
func permits(s tmwave.Step, report tmendpoint.Report) bool {
	if uint64(max(report.Boots, 0)) != s.Boots {
		return false
	}
	switch s.Kind {
	case tmwave.DrainEndpoint:
		return report.State == tmendpoint.Serving
	case tmwave.UndrainEndpoint:
		return report.State == tmendpoint.Draining
	default:
		return report.State == tmendpoint.Draining && report.Running == 0
	}
}
