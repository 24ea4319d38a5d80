package tmentry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/io/tmstore"
)

// rejectedDelay is the wait after the table service has rejected a transaction.
const rejectedDelay = 200 * tmclock.Millisecond

// runWriter writes the records of requests, several in one transaction. It is
// safe for concurrent use.
type runWriter struct {
	store *tmstore.Store
	wake  chan struct{}

	mu      sync.Mutex
	batch   *tmonce.Batch
	sweeper *tmonce.Sweeper
	waiting map[string]chan tmonce.Result
	idle    *sync.Cond
}

func newRunWriter(store *tmstore.Store, clock tmclock.Clock, self string) *runWriter {
	w := &runWriter{
		store:   store,
		wake:    make(chan struct{}, 1),
		batch:   tmonce.NewBatch(clock, 1),
		sweeper: tmonce.NewSweeper(self),
		waiting: map[string]chan tmonce.Result{},
	}
	w.idle = sync.NewCond(&w.mu)
	return w
}

// write adds a write to the batch and waits for its result. An error means that
// the write was not accepted or that ctx ended; in the latter case the write
// may still take effect.
func (w *runWriter) write(ctx context.Context, write tmonce.Write) (tmonce.Result, error) {
	w.mu.Lock()
	if err := w.batch.Add(write); err != nil {
		w.mu.Unlock()
		return tmonce.Result{}, fmt.Errorf("tmentry: record request: %w", err)
	}
	done := make(chan tmonce.Result, 1)
	w.waiting[write.Key] = done
	w.mu.Unlock()
	notify(w.wake)
	select {
	case r := <-done:
		return r, nil
	case <-ctx.Done():
		return tmonce.Result{}, ctx.Err()
	}
}

func (w *runWriter) setMembers(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.batch.SetMembers(n)
}

// due returns the ranges of expired records that this entry should delete now.
func (w *runWriter) due(now tmclock.Millis, members []string) []tmonce.Sweep {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sweeper.Due(now, members)
}

func (w *runWriter) swept(sweep tmonce.Sweep, now tmclock.Millis) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sweeper.Swept(sweep, now)
}

// loop commits batches until ctx ends.
func (w *runWriter) loop(ctx context.Context) {
	for {
		wait, more := w.commit(ctx)
		if more {
			if !sleep(ctx, wait) {
				return
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-w.wake:
		}
	}
}

// commit writes one transaction. It reports whether writes are left, and how
// long to wait before the next transaction.
func (w *runWriter) commit(ctx context.Context) (tmclock.Span, bool) {
	w.mu.Lock()
	writes := w.batch.Take()
	if writes == nil {
		wait, more := max(w.batch.Wait(), tmclock.Millisecond), w.batch.Len() > 0
		w.mu.Unlock()
		return wait, more
	}
	w.mu.Unlock()
	revision, err := w.store.CommitRuns(ctx, writes)
	var conflict *tmstore.ConflictError
	var wait tmclock.Span
	w.mu.Lock()
	defer w.mu.Unlock()
	var ended []tmonce.Result
	switch {
	case err == nil:
		ended = w.batch.Committed(revision)
	case errors.As(err, &conflict):
		ended = w.batch.Conflict(conflict.Key)
	case errors.Is(err, tmstore.ErrUncertain):
		ended = w.readBackLocked(ctx, w.batch.KeysToRead())
	default:
		ended = w.batch.Rejected()
		wait = rejectedDelay
	}
	w.deliverLocked(ended)
	return wait, w.batch.Len() > 0
}

// readBackLocked reads the rows of a transaction whose answer was lost, to find
// out whether it took effect. It releases mu during the reads; the transaction
// stays in flight meanwhile.
func (w *runWriter) readBackLocked(ctx context.Context, keys []string) []tmonce.Result {
	w.mu.Unlock()
	reads := make(map[string]tmonce.Read, len(keys))
	for _, key := range keys {
		reads[key] = w.store.RunRead(ctx, key)
	}
	w.mu.Lock()
	return w.batch.ReadBack(reads)
}

// deliverLocked delivers the results to the callers of write.
func (w *runWriter) deliverLocked(ended []tmonce.Result) {
	for _, r := range ended {
		if done, ok := w.waiting[r.Write.Key]; ok {
			delete(w.waiting, r.Write.Key)
			done <- r
		}
	}
	if w.batch.Len() == 0 {
		w.idle.Broadcast()
	}
}

// flush waits until nothing is left to write, for at most a second or until ctx
// ends.
func (w *runWriter) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.idle.Broadcast()
	})
	defer stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.batch.Len() > 0 && ctx.Err() == nil {
		w.idle.Wait()
	}
}
