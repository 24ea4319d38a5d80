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
	// writeTimeout bounds one write; after it the write is tried again.
	writeTimeout = 1200 * time.Millisecond
	// retryPause is the pause after a write that had no effect.
	writePause = 60 * time.Millisecond
)

// takeGuard makes the writes of all earlier owners fail. It reports false if
// ctx ended or a later owner was found.
func (o *Owner) takeGuard(ctx context.Context) bool {
	for ctx.Err() == nil {
		var txn tmtable.Txn
		o.guard(&txn, 0)
		done, later := o.write(ctx, txn)
		if later {
			return false
		}
		if done {
			return true
		}
	}
	return false
}

// guard adds the condition and the new value of the guard.
func (o *Owner) guard(txn *tmtable.Txn, flush int64) {
	key := tmrecord.GuardKey()
	txn.Expects = append(txn.Expects, tmtable.Expect{Key: key, Version: o.guardVersion})
	value := tmrecord.EncodeGuard(tmrecord.Guard{Token: o.token, Flush: flush})
	txn.Puts = append(txn.Puts, tmtable.Put{Key: key, Value: value})
}

// write tries a guarded transaction once. It reports whether the transaction is
// stored, and whether a later owner has taken over.
func (o *Owner) write(ctx context.Context, txn tmtable.Txn) (done, later bool) {
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
		return true, false
	case errors.As(err, &conflict):
		return o.resolve(txn, conflict.Rows)
	}
	if ctx.Err() == nil {
		o.note(tmevent.StoreFailed, "what", "write", "cause", err.Error())
		tmwait.Pause(ctx, writePause)
	}
	return false, false
}

// resolve finds out from the present guard what became of a transaction whose
// condition did not hold: it may have been carried out by an earlier try.
func (o *Owner) resolve(txn tmtable.Txn, rows []tmtable.Row) (done, later bool) {
	for _, row := range rows {
		if row.Deleted || row.Version == 0 || row.Key != tmrecord.GuardKey() {
			continue
		}
		g, err := tmrecord.DecodeGuard(row.Value)
		if err != nil {
			o.note(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
			continue
		}
		if g.Token > o.token {
			o.note(tmevent.OwnerDeposed, "token", o.token, "by", g.Token)
			return false, true
		}
		o.guardVersion = row.Version
		return string(row.Value) == string(txn.Puts[0].Value), false
	}
	o.guardVersion = 0
	return false, false
}

func (o *Owner) flushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.kickFlush:
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
		o.flush()
	}
}

// storeFlush stores a flush, however often it takes. It reports false if the
// owner's time is over.
func (o *Owner) storeFlush(ctx context.Context, f *tmcontrol.Flush) bool {
	txn, outcomes := o.transaction(f)
	for len(txn.Puts) > 1 {
		txn.Expects[0].Version = o.guardVersion
		done, later := o.write(ctx, txn)
		if later || ctx.Err() != nil {
			o.stop()
			return false
		}
		if done {
			break
		}
	}
	o.settle(outcomes)
	now := o.opts.Clock.Now()
	o.mu.Lock()
	o.ctl.Stored(f, now)
	close(o.storedCh)
	o.storedCh = make(chan struct{})
	o.mu.Unlock()
	o.plan()
	return true
}

// transaction returns what a flush writes, with the guard as its first condition
// and its first row, and the outcomes in it.
func (o *Owner) transaction(f *tmcontrol.Flush) (tmtable.Txn, map[string]tmrecord.Outcome) {
	var txn tmtable.Txn
	outcomes := map[string]tmrecord.Outcome{}
	o.guard(&txn, f.Number)
	for _, c := range f.Changes {
		if c.Progress != nil {
			txn.Puts = append(txn.Puts, tmtable.Put{Key: tmrecord.ProgressKey(c.Job), Value: tmrecord.EncodeProgress(*c.Progress)})
			continue
		}
		out := tmrecord.Outcome{State: c.Final, Queue: c.Queue, Team: c.Team, At: time.Now().UnixMilli()}
		outcomes[c.Job] = out
		txn.Puts = append(txn.Puts, tmtable.Put{Key: tmrecord.OwnerOutcomeKey(c.Job), Value: tmrecord.EncodeOutcome(out)})
		txn.Removes = append(txn.Removes, tmrecord.ProgressKey(c.Job))
	}
	if f.Orders != nil {
		txn.Puts = append(txn.Puts, tmtable.Put{Key: tmrecord.OrdersKey(), Value: tmrecord.EncodeOrders(f.Orders)})
	}
	if len(f.Changes) > 0 {
		for _, job := range o.moved() {
			txn.Removes = append(txn.Removes, tmrecord.OwnerOutcomeKey(job))
		}
	}
	return txn, outcomes
}
