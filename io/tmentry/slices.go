package tmentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmslice"
	"turmericmoor/io/tmstore"
)

const (
	// maxSliceAttempts is how often a transaction is attempted in one round when
	// it conflicts with those of other entries.
	maxSliceAttempts = 6
	// sliceConflictDelay is the shortest wait after a conflict. A random part
	// below sliceConflictJitter is added, so that the entries do not conflict
	// again.
	sliceConflictDelay  = 10 * tmclock.Millisecond
	sliceConflictJitter = 150 * tmclock.Millisecond
)

// sliceLoop balances slices once a second, and soon after a team has work here
// but no units left.
func (e *Entry) sliceLoop(ctx context.Context) {
	for {
		e.balanceSlices(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(sliceReadInterval.Duration()):
		case <-e.starved:
			if !sleep(ctx, starvedDelay) {
				return
			}
		}
	}
}

// refreshSlices returns the rows of all entries. It reads them only if they
// were written since the last read. The change number is read before the rows,
// so a write in between is noticed by the next call.
func (e *Entry) refreshSlices(ctx context.Context) ([]tmslice.Row, error) {
	changed, err := e.store.SlicesRevision(ctx)
	if err != nil {
		return nil, err
	}
	if changed != 0 && changed == e.sliceCache.changed {
		return e.sliceCache.rows, nil
	}
	rows, err := e.loadSlices(ctx)
	if err != nil {
		return nil, err
	}
	e.sliceCache = sliceCache{changed: changed, rows: rows}
	return rows, nil
}

// sliceCache has the rows as of a change number. Only sliceLoop uses it.
type sliceCache struct {
	changed uint64
	rows    []tmslice.Row
}

// loadSlices reads and installs the rows of all entries, with one call to the
// table service.
func (e *Entry) loadSlices(ctx context.Context) ([]tmslice.Row, error) {
	rows, err := e.store.Slices(ctx)
	if err != nil {
		return nil, err
	}
	t := e.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ledger.Install(e.tracker.State(), rows...)
	t.wakeLocked()
	return rows, nil
}

// balanceSlices moves units of team limits to the entries with demand, and
// returns the units of removed members to the free ones. Entries that move
// units at the same time conflict on the row of free units, so a conflicting
// transaction is tried again after a random wait.
func (e *Entry) balanceSlices(ctx context.Context) {
	for range maxSliceAttempts {
		err := e.balanceOnce(ctx)
		if !errors.Is(err, tmstore.ErrConflict) {
			return
		}
		if !sleep(ctx, sliceConflictDelay+tmclock.Span(rand.Int64N(int64(sliceConflictJitter)))) {
			return
		}
	}
}

// balanceOnce commits the first transaction that is due, if any: the fence
// after an uncertain transfer, the creation of this entry's row, a transfer, or
// the reclaim of the units of a removed member.
func (e *Entry) balanceOnce(ctx context.Context) error {
	rows, err := e.refreshSlices(ctx)
	if err != nil {
		e.metrics.platformErrors.Inc()
		return err
	}
	if !e.fresh() {
		return nil
	}
	t := e.tables
	t.mu.Lock()
	state := e.tracker.State()
	if fence, ok := t.ledger.Fence(); ok {
		t.mu.Unlock()
		return e.commitSlices(ctx, fence, 0)
	}
	if t.ledger.OwnRow().Revision() == 0 {
		create := t.ledger.PlanCreate()
		t.mu.Unlock()
		return e.commitSlices(ctx, create, state.Version())
	}
	transfer, ok := t.ledger.PlanTransfers(t.teamDemandsLocked(), rows)
	t.mu.Unlock()
	if ok {
		return e.commitTransfer(ctx, transfer)
	}
	if e.tracker.InForceVersion() != state.Version() {
		return nil
	}
	t.mu.Lock()
	reclaim, due := t.ledger.PlanReclaim(state, rows)
	t.mu.Unlock()
	if !due {
		return nil
	}
	return e.commitSlices(ctx, reclaim, state.Version())
}

// commitTransfer writes a transfer and records its result in the ledger.
func (e *Entry) commitTransfer(ctx context.Context, transfer *tmslice.Transfer) error {
	var txn tmstore.Txn
	txn.AddSliceTransaction(transfer.Transaction())
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
	t.wakeLocked()
	return err
}

// commitSlices writes a transaction on slices and reads the rows again, which
// shows its result. If the version is not 0, the transaction also checks that
// this version of the State is still the newest one.
func (e *Entry) commitSlices(ctx context.Context, x tmslice.Transaction, version uint64) error {
	var txn tmstore.Txn
	txn.AddSliceTransaction(x)
	if version != 0 {
		revision, ok := e.members.revisionOf(version)
		if !ok {
			return nil
		}
		txn.CheckState(revision)
	}
	_, err := e.store.Commit(ctx, &txn)
	if err != nil {
		e.log.Debug("slices not written", "error", err)
		return err
	}
	_, err = e.loadSlices(ctx)
	return err
}

// returnSlices gives back the units of this entry on a graceful shutdown. When
// that fails, they are reclaimed after the entry has been removed.
func (e *Entry) returnSlices(ctx context.Context) {
	for range maxSliceAttempts {
		rows, err := e.loadSlices(ctx)
		if err != nil {
			return
		}
		e.tables.mu.Lock()
		txn, ok := e.tables.ledger.PlanReturn(rows)
		e.tables.mu.Unlock()
		if !ok {
			return
		}
		if err := e.commitSlices(ctx, txn, 0); !errors.Is(err, tmstore.ErrConflict) {
			return
		}
	}
}
