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
	// expectedCycle is how long an instance is expected to be out of service. It
	// is used only for waves with a deadline.
	expectedCycle = 5 * tmclock.Minute
	// maxWriteAttempts is the maximum number of attempts of a write for an
	// operator. A conflict or a lost response is followed by another attempt.
	maxWriteAttempts = 20
	retryDelay       = 20 * tmclock.Millisecond
)

// Start stores a new wave and returns its status. If the wave already exists
// with the same reason and pools, the request is a retry and succeeds. If they
// differ, the error is tmoperator.ErrExists.
func (c *Coordinator) Start(ctx context.Context, req tmoperator.WaveRequest) (tmoperator.WaveStatus, error) {
	if !tmchange.ValidName(req.Name) {
		return tmoperator.WaveStatus{}, invalid("name", fmt.Sprintf("%q is not a name", req.Name), tmchange.NameForm())
	}
	for range maxWriteAttempts {
		existing, err := c.Store.Wave(ctx, req.Name)
		switch {
		case err == nil && existing.Reason == req.Reason && slices.Equal(existing.Pools, req.Pools):
			return c.status(existing), nil
		case err == nil:
			return tmoperator.WaveStatus{}, tmoperator.ErrExists
		case !errors.Is(err, tmstore.ErrNotFound):
			return tmoperator.WaveStatus{}, unavailable(err)
		}
		row, err := c.addWave(ctx, req)
		switch {
		case err == nil:
			c.wakeUp()
			return c.status(row), nil
		case !errors.Is(err, tmstore.ErrConflict) && !errors.Is(err, tmstore.ErrUncertain):
			return tmoperator.WaveStatus{}, err
		}
		// The next attempt finds the row if this one wrote it.
		if !sleep(ctx, retryDelay) {
			return tmoperator.WaveStatus{}, unavailable(ctx.Err())
		}
	}
	return tmoperator.WaveStatus{}, tmoperator.ErrStoreUnavailable
}

// addWave writes the row of a new wave without a leader and deletes the oldest
// closed waves that exceed the number of retained rows.
func (c *Coordinator) addWave(ctx context.Context, req tmoperator.WaveRequest) (tmstore.Wave, error) {
	state, revision, err := c.Host.ReadState(ctx)
	if err != nil {
		return tmstore.Wave{}, unavailable(err)
	}
	if revision == 0 {
		return tmstore.Wave{}, tmoperator.ErrNotFresh
	}
	plan, err := tmwave.NewPlan(state.Config(), tmwave.PlanParams{Pools: req.Pools, Cycle: expectedCycle})
	if err != nil {
		return tmstore.Wave{}, planError(err)
	}
	rows, err := c.Store.Waves(ctx)
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
	infos := []tmwave.RowInfo{{Name: row.Name, Created: row.Created}}
	for _, r := range rows {
		infos = append(infos, tmwave.RowInfo{Name: r.Name, Created: r.Created, Ended: r.Closed})
	}
	for _, name := range tmwave.RowsToDelete(infos) {
		t.DeleteWave(name)
	}
	_, err = c.Store.Commit(ctx, &t)
	if errors.Is(err, tmstore.ErrUnavailable) {
		err = unavailable(err)
	}
	return row, err
}

// planError converts an error of tmwave.NewPlan to one for operators.
func planError(err error) error {
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

// Wave returns the status of one wave.
func (c *Coordinator) Wave(ctx context.Context, name string) (tmoperator.WaveStatus, error) {
	row, err := c.Store.Wave(ctx, name)
	if err != nil {
		return tmoperator.WaveStatus{}, readError(err)
	}
	return c.status(row), nil
}

func readError(err error) error {
	if errors.Is(err, tmstore.ErrNotFound) {
		return tmoperator.ErrNotFound
	}
	return unavailable(err)
}

// Waves returns the retained waves, newest first.
func (c *Coordinator) Waves(ctx context.Context) ([]tmoperator.WaveStatus, error) {
	rows, err := c.Store.Waves(ctx)
	if err != nil {
		return nil, unavailable(err)
	}
	slices.SortFunc(rows, func(a, b tmstore.Wave) int {
		return cmp.Or(cmp.Compare(b.Created, a.Created), cmp.Compare(a.Name, b.Name))
	})
	out := make([]tmoperator.WaveStatus, 0, len(rows))
	for _, row := range rows {
		out = append(out, c.status(row))
	}
	return out, nil
}

// Stop keeps a wave from taking further instances out of service. The leader
// keeps its lease and returns the instances to service that haven't started to
// reboot.
func (c *Coordinator) Stop(ctx context.Context, name string) (tmoperator.WaveStatus, error) {
	for range maxWriteAttempts {
		row, err := c.Store.Wave(ctx, name)
		if err != nil {
			return tmoperator.WaveStatus{}, readError(err)
		}
		if row.Closed || row.Progress.Stopped() != "" {
			return c.status(row), nil
		}
		row.Progress = row.Progress.Stop("stopped by an operator")
		var t tmstore.Txn
		t.PutWave(row)
		_, err = c.Store.Commit(ctx, &t)
		switch {
		case err == nil:
			c.wakeUp()
			return c.status(row), nil
		case !errors.Is(err, tmstore.ErrConflict) && !errors.Is(err, tmstore.ErrUncertain):
			return tmoperator.WaveStatus{}, unavailable(err)
		}
		if !sleep(ctx, retryDelay) {
			return tmoperator.WaveStatus{}, unavailable(ctx.Err())
		}
	}
	return tmoperator.WaveStatus{}, tmoperator.ErrStoreUnavailable
}

// status returns the status of a wave as shown to operators.
func (c *Coordinator) status(row tmstore.Wave) tmoperator.WaveStatus {
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
	state := c.Host.State()
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
		if pool := c.exhaustedPool(state, row); pool != "" {
			s.Phase = tmoperator.WavePaused
			s.Note = fmt.Sprintf("waits for unavailable instances of pool %s, which use up its budget", pool)
		}
	}
	return s
}

// exhaustedPool returns a pool that has waiting instances and no budget left, or
// "" if there is none.
func (c *Coordinator) exhaustedPool(state tmfleet.State, row tmstore.Wave) string {
	usage := tmchange.UsageOf(state.Config(), c.Host.Live())
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
