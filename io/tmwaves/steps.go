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

// callTimeout bounds the calls of one reconciliation, so that they end before
// another entry can take over: the calls may start some time after a lease renewal,
// and the longest such time plus callTimeout is shorter than the time after which
// the lease can be taken over.
const callTimeout = 2 * tmclock.Second

// snapshot is the State on which the steps were decided, with its revision.
type snapshot struct {
	state    tmfleet.State
	revision uint64
}

// execute performs the steps and reports whether one had an effect.
func (c *Coordinator) execute(ctx context.Context, w *trackedWave, snap snapshot, steps []tmwave.Step) bool {
	if len(steps) == 0 || !w.elector.HoldsLease() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout.Duration())
	defer cancel()
	var stateSteps, endpointSteps []tmwave.Step
	for _, s := range steps {
		if changesState(s.Kind) {
			stateSteps = append(stateSteps, s)
		} else {
			endpointSteps = append(endpointSteps, s)
		}
	}
	written, err := c.writeStateSteps(ctx, w, snap, stateSteps)
	if err != nil {
		// The next reconciliation reads both rows, so a lost response needs no
		// further handling here.
		c.Log.Debug("can't write wave steps", "wave", w.row.Name, "error", err)
		return errors.Is(err, tmstore.ErrConflict)
	}
	return c.callEndpoints(ctx, w, snap.state, endpointSteps) || written
}

// callEndpoints executes steps at endpoints concurrently and reports whether one
// had an effect.
func (c *Coordinator) callEndpoints(ctx context.Context, w *trackedWave, state tmfleet.State, steps []tmwave.Step) bool {
	var effects atomic.Bool
	var calls sync.WaitGroup
	for _, s := range steps {
		calls.Go(func() {
			if c.callEndpoint(ctx, w, state, s) {
				effects.Store(true)
			}
		})
	}
	calls.Wait()
	return effects.Load()
}

func changesState(kind tmwave.StepKind) bool {
	return kind == tmwave.MarkDraining || kind == tmwave.MarkRebooting || kind == tmwave.MarkServing
}

// writeStateSteps writes those steps to the State that pass the checks and
// reports whether any were written. The transaction also checks the revision of
// the wave row and therefore fails once another entry leads.
func (c *Coordinator) writeStateSteps(ctx context.Context, w *trackedWave, snap snapshot, steps []tmwave.Step) (bool, error) {
	changes, config := c.applicableChanges(snap.state, steps)
	if len(changes) == 0 {
		return false, nil
	}
	next := snap.state.Next("", config)
	row := w.row
	var t tmstore.Txn
	if returned := returnedToService(changes); len(returned) > 0 {
		row.Progress = row.Progress.WithServing(returned)
		row.Lease.Counter++
		t.PutWave(row)
	} else {
		t.CheckWave(row.Name, row.Revision)
	}
	t.PutState(snap.revision, next, tmstore.Revision{
		ChangeID: "wave-" + row.Name,
		Written:  tmclock.Wall(),
		Changes:  changes,
	})
	sent := c.Clock.Now()
	revision, err := c.Store.Commit(ctx, &t)
	if err != nil {
		return false, err
	}
	if row.Lease != w.row.Lease {
		row.Revision = revision
		w.row = row
		w.elector.Committed(row.Lease, sent)
	}
	c.Host.Install(next)
	c.Host.PushState()
	c.Log.Info("wave steps written", "wave", w.row.Name, "version", next.Version(), "changes", len(changes))
	return true, nil
}

// returnedToService returns the instances that the changes return to service.
func returnedToService(changes []tmchange.Change) []string {
	var names []string
	for _, c := range changes {
		if m, ok := c.(tmchange.MarkServing); ok {
			names = append(names, m.Name)
		}
	}
	return names
}

// applicableChanges returns the changes that pass the checks together and the
// resulting Config. Returns to service are tried first, since they free budget.
func (c *Coordinator) applicableChanges(state tmfleet.State, steps []tmwave.Step) ([]tmchange.Change, tmfleet.Config) {
	ordered := slices.Clone(steps)
	slices.SortStableFunc(ordered, func(a, b tmwave.Step) int { return cmp.Compare(b.Kind, a.Kind) })
	var accepted []tmchange.Change
	config := state.Config()
	for _, s := range ordered {
		in, ok := state.Config().Instances().Get(s.Instance)
		if !ok || in.Duty() == tmfleet.Leaving {
			continue
		}
		candidate := append(slices.Clone(accepted), changeOf(s))
		next, err := c.Host.Apply(state, candidate)
		if err != nil {
			c.Log.Debug("wave step rejected", "step", s.Kind, "instance", s.Instance, "error", err)
			continue
		}
		accepted, config = candidate, next
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

// callEndpoint executes one step at an endpoint and reports whether it succeeded.
// After a failed call the step may have taken effect nevertheless.
func (c *Coordinator) callEndpoint(ctx context.Context, w *trackedWave, state tmfleet.State, s tmwave.Step) bool {
	in, ok := state.Config().Instances().Get(s.Instance)
	if !ok {
		return false
	}
	if s.Kind == tmwave.RebootEndpoint && !c.Host.InForce(state.Version()) {
		return false
	}
	report, err := c.Endpoints.State(ctx, in.Address())
	if err != nil || !permits(s, report) || !w.elector.HoldsLease() {
		return false
	}
	switch s.Kind {
	case tmwave.DrainEndpoint:
		err = c.Endpoints.Drain(ctx, in.Address())
	case tmwave.UndrainEndpoint:
		err = c.Endpoints.Undrain(ctx, in.Address())
	case tmwave.RebootEndpoint:
		err = c.Endpoints.Reboot(ctx, in.Address())
	}
	c.Log.Info("wave step sent to endpoint", "wave", w.row.Name, "step", s.Kind, "instance", s.Instance, "error", err)
	return err == nil
}

// permits reports whether the current report of the endpoint still permits the
// step. The endpoint protocol has no conditional calls, so the check is made
// immediately before the call.
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
