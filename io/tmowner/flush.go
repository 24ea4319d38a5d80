package tmowner

import (
	"context"
	"errors"
	"time"

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

// fenceParts makes the writes of all earlier owners fail. It reports false if
// ctx ended or a later owner was found.
func (o *Owner) fenceParts(ctx context.Context) bool {
	for ctx.Err() == nil {
		txn := tmtable.Txn{}
		for _, part := range tmrecord.Parts() {
			o.guard(&txn, part, 0)
		}
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

// guard adds the condition and the new value of the guard of a part.
func (o *Owner) guard(txn *tmtable.Txn, part string, flush int64) {
	key := tmrecord.FenceKey(part)
	txn.Expects = append(txn.Expects, tmtable.Expect{Key: key, Version: o.fences[part]})
	txn.Puts = append(txn.Puts, tmtable.Put{
		Key: key, Value: tmrecord.EncodeFence(tmrecord.Fence{Token: o.token, Flush: flush}),
	})
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
		for _, e := range txn.Expects {
			o.fences[e.Part] = res.Version
		}
		return true, false
	case errors.As(err, &conflict):
		return o.resolve(txn, conflict.Rows)
	}
	if ctx.Err() == nil {
		o.note("store_failed", "what", "write", "cause", err.Error())
		pause(ctx, writePause)
	}
	return false, false
}

// resolve finds out from the present guards what became of a transaction whose
// condition did not hold: it may have been carried out by an earlier try.
func (o *Owner) resolve(txn tmtable.Txn, rows []tmtable.Row) (done, later bool) {
	mine := map[string]string{}
	for _, p := range txn.Puts {
		if tmrecord.IsFence(p.Key.Key) {
			mine[p.Part] = string(p.Value)
		}
	}
	done = true
	seen := map[string]bool{}
	for _, row := range rows {
		if row.Deleted || row.Version == 0 {
			continue
		}
		f, err := tmrecord.DecodeFence(row.Value)
		if err != nil {
			o.note("row_unreadable", "table", row.Table, "key", row.Key.Key, "cause", err.Error())
			continue
		}
		if f.Token > o.token {
			o.note("owner_deposed", "token", o.token, "by", f.Token, "part", row.Part)
			return false, true
		}
		seen[row.Part] = true
		o.fences[row.Part] = row.Version
		if string(row.Value) != mine[row.Part] {
			done = false
		}
	}
	for part := range mine {
		if !seen[part] {
			done = false
		}
	}
	return done, false
}

func (o *Owner) flushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-o.kickFlush:
		}
		o.mu.Lock()
		f := o.ctl.TakeFlush()
		o.mu.Unlock()
		if f == nil {
			continue
		}
		if !o.storeFlush(ctx, f) {
			return
		}
		if !pause(ctx, flushPause) {
			return
		}
		o.flush()
	}
}

// storeFlush stores a flush, however often it takes. It reports false if the
// owner's time is over.
func (o *Owner) storeFlush(ctx context.Context, f *tmcontrol.Flush) bool {
	for len(f.Changes) > 0 {
		done, later := o.write(ctx, o.transaction(f))
		if later || ctx.Err() != nil {
			o.stop()
			return false
		}
		if done {
			break
		}
	}
	now := o.opts.Clock.Now()
	o.mu.Lock()
	o.ctl.Stored(f, now)
	close(o.storedCh)
	o.storedCh = make(chan struct{})
	o.mu.Unlock()
	o.plan()
	return true
}

func (o *Owner) transaction(f *tmcontrol.Flush) tmtable.Txn {
	var txn tmtable.Txn
	guarded := map[string]bool{}
	for _, c := range f.Changes {
		part := tmrecord.PartOf(c.Job)
		if !guarded[part] {
			guarded[part] = true
			o.guard(&txn, part, f.Number)
		}
		if c.Progress != nil {
			txn.Puts = append(txn.Puts, tmtable.Put{Key: tmrecord.RunKey(c.Job), Value: tmrecord.EncodeProgress(*c.Progress)})
			continue
		}
		out := tmrecord.Outcome{State: c.Final, Queue: c.Queue, Team: c.Team, At: time.Now().UnixMilli()}
		txn.Puts = append(txn.Puts, tmtable.Put{Key: tmrecord.OutcomeKey(c.Job), Value: tmrecord.EncodeOutcome(out)})
		txn.Removes = append(txn.Removes, tmrecord.JobKey(c.Job), tmrecord.CancelKey(c.Job), tmrecord.RunKey(c.Job))
	}
	return txn
}
