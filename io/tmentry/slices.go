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
	// sliceTries is how often a lost race is tried again in one round.
	sliceTries = 6
	// sliceRaceWait is the shortest wait before that, sliceRaceSpread the
	// spread of waits.
	sliceRaceWait   = 10 * tmclock.Millisecond
	sliceRaceSpread = 150 * tmclock.Millisecond
)

// keepSlices balances slices once a second, and at once when a team has work
// here but no units left.
func (e *Entry) keepSlices(ctx context.Context) {
	for {
		e.balanceSlices(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(sliceReadEvery.Duration()):
		case <-e.starved:
			if !sleep(ctx, starvedWait) {
				return
			}
		}
	}
}

// refreshSlices returns the rows of all entries, and reads them only when they
// were written since the last time. The number of the change is read first, so
// a write in between is found the next time.
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

// sliceCache has the rows as of a change. It belongs to the loop of keepSlices.
type sliceCache struct {
	changed uint64
	rows    []tmslice.Row
}

// loadSlices reads the rows of all entries, which is one call.
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

// balanceSlices moves units of team limits to where the demand is, and returns
// those of members that were removed to the free ones. Entries that move units
// at the same time conflict on the row of free units, so a lost race is tried
// again after a random wait.
func (e *Entry) balanceSlices(ctx context.Context) {
	for range sliceTries {
		err := e.balanceOnce(ctx)
		if !errors.Is(err, tmstore.ErrConflict) {
			return
		}
		if !sleep(ctx, sliceRaceWait+tmclock.Span(rand.Int64N(int64(sliceRaceSpread)))) {
			return
		}
	}
}

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

// commitSlices writes a transaction on slices whose result shows at the next
// read. With a version other than 0 it depends on that version of the State
// being the newest one.
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

// returnSlices gives the units of this entry back on a graceful shutdown. When
// that fails they are reclaimed after the entry has been removed.
func (e *Entry) returnSlices(ctx context.Context) {
	for range sliceTries {
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
