package tmowner

import (
	"context"
	"errors"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmevent"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

const (
	// writeTimeout bounds one write to the store. A write that times out is retried.
	writeTimeout = 1200 * time.Millisecond
	// writeRetryDelay is the pause after a failed write.
	writeRetryDelay = 60 * time.Millisecond
)

// acquireGuard writes the fencing token of this owner to the guard row, on whose
// version every flush is conditional. From then on the flushes of all earlier owners
// fail. acquireGuard reports false if ctx ended or a later owner was found.
func (o *Owner) acquireGuard(ctx context.Context) bool {
	for ctx.Err() == nil {
		var txn tmtable.Txn
		o.addGuard(&txn, 0)
		switch o.write(ctx, txn) {
		case stored:
			return true
		case superseded:
			return false
		case notStored, refused:
		}
	}
	return false
}

// addGuard adds the condition on the version of the guard row, and the new value of
// that row, to a transaction.
func (o *Owner) addGuard(txn *tmtable.Txn, flush int64) {
	key := tmrecord.GuardKey(o.shard)
	txn.Expects = append(txn.Expects, tmtable.Expect{Key: key, Version: o.guardVersion})
	value := tmrecord.EncodeGuard(tmrecord.Guard{Token: o.token, Flush: flush})
	txn.Puts = append(txn.Puts, tmtable.Put{Key: key, Value: value})
}

// writeResult is what became of a guarded transaction.
type writeResult int

const (
	// notStored: the transaction may be tried again.
	notStored writeResult = iota
	stored
	// superseded: a later owner has written the guard row.
	superseded
	// refused: the store would refuse the transaction again.
	refused
)

// write tries a guarded transaction once.
func (o *Owner) write(ctx context.Context, txn tmtable.Txn) writeResult {
	began := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	res, err := o.opts.Store.Write(callCtx, txn)
	if o.opts.Observe != nil {
		o.opts.Observe("flush", time.Since(began), err)
	}
	var conflict *tmtable.ConflictError
	switch {
	case err == nil:
		o.guardVersion = res.Version
		return stored
	case errors.As(err, &conflict):
		return o.resolveConflict(txn, conflict.Rows)
	}
	if ctx.Err() == nil {
		o.emit(tmevent.StoreFailed, "what", "write", "cause", err.Error())
		tmwait.Pause(ctx, writeRetryDelay)
	}
	if errors.Is(err, tmtable.ErrInvalid) {
		return refused
	}
	return notStored
}

// resolveConflict determines from the current guard row whether a transaction whose
// condition failed is stored nevertheless: an earlier attempt to write it may have
// been applied without an answer.
func (o *Owner) resolveConflict(txn tmtable.Txn, rows []tmtable.Row) writeResult {
	for _, row := range rows {
		if row.Deleted || row.Version == 0 || row.Key != tmrecord.GuardKey(o.shard) {
			continue
		}
		g, err := tmrecord.DecodeGuard(row.Value)
		if err != nil {
			o.emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
			continue
		}
		if g.Token > o.token {
			o.emit(tmevent.OwnerDeposed, "token", o.token, "by", g.Token)
			return superseded
		}
		o.guardVersion = row.Version
		if string(row.Value) == string(txn.Puts[0].Value) {
			return stored
		}
		return notStored
	}
	o.guardVersion = 0
	return notStored
}

func (o *Owner) flushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.flushSignal:
		}
		o.mu.Lock()
		f := o.ctl.TakeFlush(o.opts.Clock.Now())
		o.mu.Unlock()
		if f == nil {
			continue
		}
		if !o.storeFlush(ctx, f) {
			return
		}
		if !tmwait.Pause(ctx, flushPause) {
			return
		}
		o.requestFlush()
	}
}

// storeFlush tries to write a flush until it is stored or refused. It reports false if ctx
// ended or a later owner was found.
func (o *Owner) storeFlush(ctx context.Context, f *tmcontrol.Flush) bool {
	moved := o.takeMovedOutcomes(f)
	txn, outcomes := o.flushTxn(f, moved)
	for len(txn.Puts)+len(txn.Removes) > 1 {
		txn.Expects[0].Version = o.guardVersion
		result := o.write(ctx, txn)
		if result == superseded || ctx.Err() != nil {
			o.stop()
			return false
		}
		if result == stored {
			break
		}
		if result == refused {
			o.flushRefused(f, moved)
			return true
		}
	}
	o.queueOutcomes(outcomes)
	now := o.opts.Clock.Now()
	o.lockForStarts()
	o.ctl.Stored(f, now)
	close(o.storedCh)
	o.storedCh = make(chan struct{})
	o.mu.Unlock()
	o.requestPlan()
	return true
}

// flushRefused gives the changes of a flush back that the store refuses.
func (o *Owner) flushRefused(f *tmcontrol.Flush, moved []movedOutcome) {
	o.keepMovedOutcomes(moved)
	o.mu.Lock()
	o.ctl.Refused(f, o.opts.Clock.Now())
	o.mu.Unlock()
	o.requestPlan()
}

// flushTxn returns the transaction that stores a flush, and the outcomes of jobs that have
// no rows of progress left after it, which may replace the jobs. The first condition and the first
// row of the transaction are those of the guard. The rows of moved outcomes are removed.
func (o *Owner) flushTxn(f *tmcontrol.Flush, moved []movedOutcome) (tmtable.Txn, map[string]tmrecord.Outcome) {
	var txn tmtable.Txn
	outcomes := map[string]tmrecord.Outcome{}
	o.addGuard(&txn, f.Number)
	for _, c := range f.Changes {
		progress := tmrecord.ProgressKey(o.shard, c.Job, c.Page)
		if c.Progress != nil {
			txn.Puts = append(txn.Puts, tmtable.Put{Key: progress, Value: tmrecord.EncodeProgress(*c.Progress)})
		} else {
			txn.Removes = append(txn.Removes, progress)
		}
		if !c.Final.Final() {
			continue
		}
		out := tmrecord.Outcome{State: c.Final, Queue: c.Queue, Team: c.Team, At: time.Now().UnixMilli()}
		if c.Page == 0 {
			txn.Puts = append(txn.Puts, tmtable.Put{Key: tmrecord.OwnerOutcomeKey(o.shard, c.Job), Value: tmrecord.EncodeOutcome(out)})
		}
		if c.Last {
			outcomes[c.Job] = out
		}
	}
	for _, row := range f.Quotas {
		txn.Puts = append(txn.Puts, tmtable.Put{Key: tmrecord.QuotaKey(o.shard, row.Team), Value: tmrecord.EncodeQuota(row)})
	}
	if f.Orders != nil {
		txn.Puts = append(txn.Puts, tmtable.Put{Key: tmrecord.OrdersKey(o.shard), Value: tmrecord.EncodeOrders(tmrecord.Orders(*f.Orders))})
	}
	for _, m := range moved {
		txn.Removes = append(txn.Removes, tmrecord.OwnerOutcomeKey(o.shard, m.job))
	}
	return txn, outcomes
}
