package tmwaves

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmwave"
	"turmericmoor/io/tmoperator"
	"turmericmoor/io/tmstore"
)

const (
	// expectedCycle is the time that an instance is expected to be out of
	// service. It matters only for waves with a deadline.
	expectedCycle = 5 * tmclock.Minute
	// maxWrites is how often a write for an operator is tried again after a
	// conflict or a lost answer.
	maxWrites = 20
	raceWait  = 20 * tmclock.Millisecond
)

// Start stores a wave. A retry of the same request returns its status.
func (k *Keeper) Start(ctx context.Context, req tmoperator.WaveRequest) (tmoperator.WaveStatus, error) {
	if !tmchange.ValidName(req.Name) {
		return tmoperator.WaveStatus{}, invalid("name", fmt.Sprintf("%q is not a name", req.Name), tmchange.NameForm())
	}
	for range maxWrites {
		existing, err := k.Store.Wave(ctx, req.Name)
		switch {
		case err == nil && existing.Reason == req.Reason && slices.Equal(existing.Pools, req.Pools):
			return k.status(existing), nil
		case err == nil:
			return tmoperator.WaveStatus{}, tmoperator.ErrExists
		case !errors.Is(err, tmstore.ErrNotFound):
			return tmoperator.WaveStatus{}, unavailable(err)
		}
		row, err := k.add(ctx, req)
		switch {
		case err == nil:
			k.poke()
			return k.status(row), nil
		case !errors.Is(err, tmstore.ErrConflict) && !errors.Is(err, tmstore.ErrUncertain):
			return tmoperator.WaveStatus{}, err
		}
		// The next round finds the row if it was written.
		if !sleep(ctx, raceWait) {
			return tmoperator.WaveStatus{}, unavailable(ctx.Err())
		}
	}
	return tmoperator.WaveStatus{}, tmoperator.ErrStoreUnavailable
}

// add writes the row of a new wave, without a leader, and deletes the rows of
// the oldest closed waves.
func (k *Keeper) add(ctx context.Context, req tmoperator.WaveRequest) (tmstore.Wave, error) {
	state, revision, err := k.Host.ReadState(ctx)
	if err != nil {
		return tmstore.Wave{}, unavailable(err)
	}
	if revision == 0 {
		return tmstore.Wave{}, tmoperator.ErrNotFresh
	}
	plan, err := tmwave.NewPlan(state.Config(), tmwave.PlanParams{Pools: req.Pools, Cycle: expectedCycle})
	if err != nil {
		return tmstore.Wave{}, planProblem(err)
	}
	rows, err := k.Store.Waves(ctx)
	if err != nil {
		return tmstore.Wave{}, unavailable(err)
	}
	row := tmstore.Wave{
		Name:     req.Name,
		Pools:    req.Pools,
		Reason:   req.Reason,
		Created:  tmclock.Wall(),
		Plan:     plan,
		Progress: tmwave.NewProgress(plan),
	}
	var t tmstore.Txn
	t.AddWave(row)
	ages := []tmwave.RowInfo{{Name: row.Name, Created: row.Created}}
	for _, r := range rows {
		ages = append(ages, tmwave.RowInfo{Name: r.Name, Created: r.Created, Ended: r.Closed})
	}
	for _, name := range tmwave.RowsToDelete(ages) {
		t.DeleteWave(name)
	}
	_, err = k.Store.Commit(ctx, &t)
	if errors.Is(err, tmstore.ErrUnavailable) {
		err = unavailable(err)
	}
	return row, err
}

// planProblem turns an error of tmwave.NewPlan into one for operators.
func planProblem(err error) error {
	var pool *tmwave.UnknownPoolError
	var budget *tmwave.BudgetError
	switch {
	case errors.As(err, &pool):
		return invalid("pools", fmt.Sprintf("unknown pool %q", pool.Pool), "pools that exist")
	case errors.As(err, &budget):
		return invalid("pools", fmt.Sprintf("pool %q has a budget of 0", budget.Pool), "a budget of at least 1")
	case errors.Is(err, tmwave.ErrNoInstances):
		return invalid("pools", "have no instances", "pools that have instances")
	default:
		return err
	}
}

func invalid(field, message, expected string) error {
	return &tmchange.InvalidError{Problems: []tmchange.Problem{{Field: field, Message: message, Expected: expected}}}
}

func unavailable(err error) error {
	return fmt.Errorf("%w: %w", tmoperator.ErrStoreUnavailable, err)
}

// Wave returns the progress of one wave.
func (k *Keeper) Wave(ctx context.Context, name string) (tmoperator.WaveStatus, error) {
	row, err := k.Store.Wave(ctx, name)
	if err != nil {
		return tmoperator.WaveStatus{}, readError(err)
	}
	return k.status(row), nil
}

func readError(err error) error {
	if errors.Is(err, tmstore.ErrNotFound) {
		return tmoperator.ErrNotFound
	}
	return unavailable(err)
}

// Waves returns the last waves, newest first.
func (k *Keeper) Waves(ctx context.Context) ([]tmoperator.WaveStatus, error) {
	rows, err := k.Store.Waves(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	slices.SortFunc(rows, func(a, b tmstore.Wave) int {
		return cmp.Or(cmp.Compare(b.Created, a.Created), cmp.Compare(a.Name, b.Name))
	})
	out := make([]tmoperator.WaveStatus, 0, len(rows))
	for _, row := range rows {
		out = append(out, k.status(row))
	}
	return out, nil
}

// Stop lets a wave take no further instances. The leader keeps its lease and
// returns those to service that have not yet started to reboot.
func (k *Keeper) Stop(ctx context.Context, name string) (tmoperator.WaveStatus, error) {
	for range maxWrites {
		row, err := k.Store.Wave(ctx, name)
		if err != nil {
			return tmoperator.WaveStatus{}, readError(err)
		}
		if row.Closed || row.Progress.Stopped() != "" {
			return k.status(row), nil
		}
		row.Progress = row.Progress.Stop("stopped by an operator")
		var t tmstore.Txn
		t.PutWave(row)
		_, err = k.Store.Commit(ctx, &t)
		switch {
		case err == nil:
			k.poke()
			return k.status(row), nil
		case !errors.Is(err, tmstore.ErrConflict) && !errors.Is(err, tmstore.ErrUncertain):
			return tmoperator.WaveStatus{}, unavailable(err)
		}
		if !sleep(ctx, raceWait) {
			return tmoperator.WaveStatus{}, unavailable(ctx.Err())
		}
	}
	return tmoperator.WaveStatus{}, tmoperator.ErrStoreUnavailable
}

// status returns what operators see of a row.
func (k *Keeper) status(row tmstore.Wave) tmoperator.WaveStatus {
	s := tmoperator.WaveStatus{
		Name:   row.Name,
		Pools:  row.Pools,
		Reason: row.Reason,
		Phase:  tmoperator.WaveRunning,
		Leader: row.Lease.Leader,
		Total:  row.Progress.ByInstance().Len(),
		Done:   row.Progress.Count(tmwave.Done),
		Active: activeOf(row),
	}
	state := k.Host.State()
	if member, ok := state.Members().Get(s.Leader); ok {
		s.Leader = member.Name()
	}
	failed := row.Progress.Count(tmwave.Failed)
	switch {
	case row.Progress.Stopped() != "":
		s.Phase = tmoperator.WaveStopped
		s.Note = row.Progress.Stopped()
	case row.Progress.Ended() && (row.Closed || failed == 0):
		s.Phase = tmoperator.WaveDone
	case row.Progress.Ended():
		s.Phase = tmoperator.WavePaused
		s.Note = fmt.Sprintf("waits for %d instances that did not come back", failed)
	case len(s.Active) == 0:
		if pool := k.exhausted(state, row); pool != "" {
			s.Phase = tmoperator.WavePaused
			s.Note = fmt.Sprintf("waits for unavailable instances of pool %s, which use up its budget", pool)
		}
	}
	return s
}

// exhausted returns a pool with waiting instances whose budget is used up, or
// "".
func (k *Keeper) exhausted(state tmfleet.State, row tmstore.Wave) string {
	usage := tmchange.UsageOf(state.Config(), k.Host.Live())
	for name, m := range row.Progress.ByInstance().All() {
		in, ok := state.Config().Instances().Get(name)
		if !ok || m.Phase != tmwave.Waiting {
			continue
		}
		pool, _ := state.Config().Pools().Get(in.Pool())
		if usage[in.Pool()].Unavailable >= pool.Budget().MaxUnavailable() {
			return in.Pool()
		}
	}
	return ""
}

func sleep(ctx context.Context, d tmclock.Span) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
