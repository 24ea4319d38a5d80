package tmentry

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmfresh"
	"turmericmoor/core/tmslice"
	"turmericmoor/io/tmoperator"
	"turmericmoor/io/tmstore"
)

const (
	// maxWriteAttempts bounds the attempts to write a change. A write is tried
	// again after a conflict or a lost answer.
	maxWriteAttempts = 20
	// conflictDelay is the wait between two attempts.
	conflictDelay = 20 * tmclock.Millisecond
	// confirmInterval is the time between two pushes of a version that is not in
	// force yet.
	confirmInterval = 50 * tmclock.Millisecond
)

// Apply implements tmoperator.Backend.
func (e *Entry) Apply(ctx context.Context, req tmoperator.ChangeRequest) (tmoperator.ChangeStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, tmfresh.ConfirmTimeout.Duration())
	defer cancel()
	version, err := e.writeChange(ctx, req)
	if err != nil {
		return tmoperator.ChangeStatus{}, err
	}
	e.log.Info("change stored", "change_id", req.ID, "version", version)
	return tmoperator.ChangeStatus{ID: req.ID, Version: version, InForce: e.confirm(ctx, version)}, nil
}

// writeChange writes the changes in the next version of the State. After a
// conflict with another write the changes are checked and written again.
func (e *Entry) writeChange(ctx context.Context, req tmoperator.ChangeRequest) (uint64, error) {
	for range maxWriteAttempts {
		state, revision, err := e.members.readState(ctx)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", tmoperator.ErrStoreUnavailable, err)
		}
		if state.HasChange(req.ID) {
			return e.versionOf(ctx, req.ID, state)
		}
		if revision == 0 {
			return 0, tmoperator.ErrNotFresh
		}
		if req.BaseVersion != 0 && req.BaseVersion != state.Version() {
			return 0, &tmoperator.ConflictError{Version: state.Version()}
		}
		version, err := e.tryChange(ctx, state, revision, req)
		switch {
		case err == nil:
			return version, nil
		case errors.Is(err, tmstore.ErrConflict), errors.Is(err, tmstore.ErrUncertain):
			// The next round finds the change by its id if it was written.
			if !sleep(ctx, conflictDelay) {
				return 0, fmt.Errorf("%w: %w", tmoperator.ErrStoreUnavailable, err)
			}
		case errors.Is(err, tmstore.ErrUnavailable):
			return 0, fmt.Errorf("%w: %w", tmoperator.ErrStoreUnavailable, err)
		default:
			return 0, err
		}
	}
	return 0, &tmoperator.ConflictError{Version: e.tracker.State().Version()}
}

// versionOf returns the version that a stored change created. When the history
// no longer has it, it returns that of the given State, which includes the
// change.
func (e *Entry) versionOf(ctx context.Context, id string, state tmfleet.State) (uint64, error) {
	history, err := e.store.History(ctx)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", tmoperator.ErrStoreUnavailable, err)
	}
	for _, r := range history {
		if r.ChangeID == id {
			return r.Version, nil
		}
	}
	return state.Version(), nil
}

// tryChange applies the changes to the given State and writes the result once.
func (e *Entry) tryChange(ctx context.Context, state tmfleet.State, revision uint64, req tmoperator.ChangeRequest) (uint64, error) {
	config, err := tmchange.Apply(state, e.tables.liveness(), req.Changes)
	if err != nil {
		return 0, err
	}
	next := state.Next(req.ID, config)
	var txn tmstore.Txn
	txn.PutState(revision, next, tmstore.Revision{ChangeID: req.ID, Written: tmclock.Wall(), Changes: req.Changes})
	if limits := limitChanges(state, next); len(limits) > 0 {
		rows, err := e.store.Slices(ctx)
		if err != nil {
			return 0, err
		}
		rewritten, err := rewriteLimits(rows, limits)
		var mismatch *tmslice.LimitError
		if errors.As(err, &mismatch) {
			// The rows were read after another change of the limit was written.
			return 0, fmt.Errorf("%w: %w", tmstore.ErrConflict, err)
		}
		if err != nil {
			return 0, err
		}
		txn.RewriteSlices(rewritten)
	}
	if _, err := e.store.Commit(ctx, &txn); err != nil {
		return 0, err
	}
	e.install(next)
	notify(e.starved)
	return next.Version(), nil
}

// limitChanges returns the changes of team limits between two versions.
func limitChanges(before, after tmfleet.State) []tmslice.LimitChange {
	var changes []tmslice.LimitChange
	for name, team := range after.Config().Teams().All() {
		old, _ := before.Config().Teams().Get(name)
		if old.Limit() != team.Limit() || old.LimitVersion() != team.LimitVersion() {
			changes = append(changes, tmslice.LimitChange{Team: name, Old: old.Limit(), Limit: team.Limit(), Version: after.Version()})
		}
	}
	for name, team := range before.Config().Teams().All() {
		if !after.Config().Teams().Has(name) {
			changes = append(changes, tmslice.LimitChange{Team: name, Old: team.Limit(), Version: after.Version()})
		}
	}
	return changes
}

// rewriteLimits returns the rows of slices with all changes of limits applied.
func rewriteLimits(rows []tmslice.Row, changes []tmslice.LimitChange) ([]tmslice.Row, error) {
	for _, c := range changes {
		var err error
		if rows, err = tmslice.RewriteLimit(rows, c); err != nil {
			return nil, fmt.Errorf("tmentry: rewrite slices: %w", err)
		}
	}
	return rows, nil
}

// liveness returns a function that reports whether an instance is live, from a
// copy of the current list.
func (t *tables) liveness() tmchange.Liveness {
	t.mu.Lock()
	defer t.mu.Unlock()
	live := make(map[string]bool, t.state.Config().Instances().Len())
	for name := range t.state.Config().Instances().All() {
		live[name] = t.list.live(name)
	}
	known := t.list.known
	return func(name string) bool {
		l, ok := live[name]
		// An instance that the changes add is not in the State yet.
		return l || !ok || !known
	}
}

// confirm pushes the installed version until the given one is in force or ctx
// ends, and reports whether it is in force.
func (e *Entry) confirm(ctx context.Context, version uint64) bool {
	for {
		if e.tracker.InForceVersion() >= version || e.disabled.confirmation.Load() {
			return true
		}
		e.members.push(ctx)
		if e.tracker.InForceVersion() >= version {
			return true
		}
		if !sleep(ctx, confirmInterval) {
			return false
		}
	}
}

// ChangeStatus implements tmoperator.Backend.
func (e *Entry) ChangeStatus(ctx context.Context, id string) (tmoperator.ChangeStatus, error) {
	state, _, err := e.members.readState(ctx)
	if err != nil {
		return tmoperator.ChangeStatus{}, fmt.Errorf("%w: %w", tmoperator.ErrStoreUnavailable, err)
	}
	if !state.HasChange(id) {
		return tmoperator.ChangeStatus{}, tmoperator.ErrNotFound
	}
	version, err := e.versionOf(ctx, id, state)
	if err != nil {
		return tmoperator.ChangeStatus{}, err
	}
	return tmoperator.ChangeStatus{ID: id, Version: version, InForce: e.tracker.InForceVersion() >= version}, nil
}

// Move implements tmoperator.Backend. Whichever entry is responsible finishes
// the move.
func (e *Entry) Move(ctx context.Context, req tmoperator.MoveRequest) (tmoperator.ChangeStatus, error) {
	return e.Apply(ctx, tmoperator.ChangeRequest{
		ID:      req.ID,
		Changes: []tmchange.Change{tmchange.MoveInstance{Name: req.Instance, To: req.Pool}},
	})
}

// History implements tmoperator.Backend.
func (e *Entry) History(ctx context.Context) ([]tmoperator.Revision, error) {
	history, err := e.store.History(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", tmoperator.ErrStoreUnavailable, err)
	}
	revisions := make([]tmoperator.Revision, 0, len(history))
	for _, r := range slices.Backward(history) {
		revisions = append(revisions, tmoperator.Revision{
			Version:  r.Version,
			ChangeID: r.ChangeID,
			Written:  r.Written,
			Changes:  r.Changes,
		})
	}
	return revisions, nil
}

// errNotReady is returned by Healthy while the entry does not accept work.
var errNotReady = errors.New("tmentry: the entry does not accept work")

// Healthy implements tmoperator.Backend.
func (e *Entry) Healthy(context.Context) error {
	if !e.Ready() {
		return errNotReady
	}
	return nil
}
