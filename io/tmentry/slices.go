package tmentry

import (
	"context"
	"errors"

	"turmericmoor/core/tmslice"
	"turmericmoor/io/tmstore"
)

// readSlices reads the rows of all entries, which is one call.
func (e *Entry) readSlices(ctx context.Context) {
	if _, err := e.loadSlices(ctx); err != nil {
		e.metrics.platformErrors.Inc()
	}
}

func (e *Entry) loadSlices(ctx context.Context) ([]tmslice.Row, error) {
	rows, err := e.store.Slices(ctx)
	if err != nil {
		return nil, err
	}
	t := e.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Install(e.tracker.State(), rows...)
	t.ready.Signal()
	return rows, nil
}

// rebalanceSlices moves units of team limits to where the demand is, and
// returns those of members that were removed to the free ones.
func (e *Entry) rebalanceSlices(ctx context.Context) {
	if !e.tracker.Fresh() {
		return
	}
	rows, err := e.loadSlices(ctx)
	if err != nil {
		return
	}
	t := e.tables
	t.mu.Lock()
	state := e.tracker.State()
	if fence, ok := t.ledger.Fence(); ok {
		t.mu.Unlock()
		e.commitSlices(ctx, fence, 0)
		return
	}
	if t.ledger.Own().Revision() == 0 {
		create := t.ledger.PlanCreate()
		t.mu.Unlock()
		e.commitSlices(ctx, create, state.Version())
		return
	}
	transfer, ok := t.ledger.PlanTransfers(t.teamDemandsLocked(), rows)
	t.mu.Unlock()
	if ok {
		e.commitTransfer(ctx, transfer)
	}
	if e.tracker.InForceVersion() != state.Version() {
		return
	}
	t.mu.Lock()
	reclaim, due := t.ledger.PlanReclaim(state, rows)
	t.mu.Unlock()
	if due {
		e.commitSlices(ctx, reclaim, state.Version())
	}
}

func (e *Entry) commitTransfer(ctx context.Context, transfer *tmslice.Transfer) {
	var txn tmstore.Txn
	txn.Slices(transfer.Transaction())
	revision, err := e.store.Commit(ctx, &txn)
	t := e.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.ledger.TransferCommitted(transfer, revision)
	case errors.Is(err, tmstore.ErrUncertain):
		t.ledger.TransferUncertain(transfer)
	default:
		t.ledger.TransferFailed(transfer)
	}
	t.ready.Signal()
}

// commitSlices writes a transaction on slices whose result shows at the next
// read. With a version other than 0 it depends on that version of the State
// being the newest one.
func (e *Entry) commitSlices(ctx context.Context, x tmslice.Transaction, version uint64) {
	var txn tmstore.Txn
	txn.Slices(x)
	if version != 0 {
		revision, ok := e.members.revisionOf(version)
		if !ok {
			return
		}
		txn.CheckState(revision)
	}
	if _, err := e.store.Commit(ctx, &txn); err != nil {
		e.log.Debug("slices not written", "error", err)
		return
	}
	e.readSlices(ctx)
}
