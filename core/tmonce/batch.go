package tmonce

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"turmericmoor/core/tmclock"
)

const (
	// maxTransactionRate is the number of transactions per second that all
	// entries together may use for request rows.
	maxTransactionRate = 80
	// batchBurst is the number of transactions that an idle entry may send
	// without waiting.
	batchBurst = 8
	// maxRows and maxBytes limit one transaction.
	maxRows  = 100
	maxBytes = 256 << 10
	// maxPending limits the number of unfinished writes, maxPendingBytes their
	// total size.
	maxPending      = 20_000
	maxPendingBytes = 64 << 20
)

// ErrBatchFull reports that too many rows are waiting to be written.
var ErrBatchFull = errors.New("tmonce: too many rows wait to be written")

// ErrKeyPending reports that an earlier write of the same row is unfinished.
var ErrKeyPending = errors.New("tmonce: a write of the row is pending")

// Op is the kind of a row write.
type Op int

// The kinds of a row write.
const (
	// Create creates a row that must not exist.
	Create Op = iota
	// Complete replaces the row if it still has the revision of its creation.
	Complete
	// Delete deletes the row if it has the given revision.
	Delete
)

// Write is one row write of a transaction. Revision is the revision that the row
// must have, 0 for a creation.
type Write struct {
	Op       Op
	Key      string
	Revision uint64
	Record   Record
}

// Status is the result code of a Write.
type Status int

// The result codes of a Write.
const (
	// Written means that the row is committed, at Result.Revision.
	Written Status = iota
	// Conflicted means that the row has a different revision. After a creation
	// the caller reads the row and calls Claim.ResolveConflict.
	Conflicted
	// Abandoned means that the write is not tried again. The request of an
	// abandoned creation must never be sent, although its row may still appear.
	Abandoned
)

// Result is the result of one Write.
type Result struct {
	Write    Write
	Status   Status
	Revision uint64
}

// Read is the result of reading a row after the answer of a transaction was lost.
type Read struct {
	// Known is false when the row could not be read.
	Known    bool
	Found    bool
	Revision uint64
	Record   Record
}

// Batch groups row writes into transactions (group commit), rate-limited by a
// token bucket. At most one transaction is in flight. After each Take that returns
// writes, the caller must call exactly one of Committed, Conflict, Rejected or
// ReadBack. Batch does no I/O and is not safe for concurrent use.
type Batch struct {
	clock    tmclock.Clock
	limit    *rate.Limiter
	pending  []Write
	inFlight []Write
	keys     map[string]bool
	bytes    int

	// assumeCommitted treats a lost answer as a commit, for a negative control.
	assumeCommitted bool
}

// NewBatch returns an empty Batch for one entry. The argument members is the
// number of entries, each of which gets an equal share of the transaction rate.
func NewBatch(clock tmclock.Clock, members int) *Batch {
	return &Batch{
		clock: clock,
		limit: rate.NewLimiter(rateFor(members), batchBurst),
		keys:  make(map[string]bool),
	}
}

func rateFor(members int) rate.Limit {
	return rate.Limit(maxTransactionRate) / rate.Limit(max(members, 1))
}

func (b *Batch) now() time.Time {
	return time.UnixMilli(int64(b.clock.Now()))
}

// SetMembers adjusts the rate limit to a new number of members.
func (b *Batch) SetMembers(members int) {
	b.limit.SetLimitAt(b.now(), rateFor(members))
}

// Len returns the number of unfinished writes.
func (b *Batch) Len() int { return len(b.pending) + len(b.inFlight) }

// Add queues a write. The error is ErrBatchFull, or wraps ErrKeyPending if a
// write of the same key is unfinished.
func (b *Batch) Add(w Write) error {
	if b.keys[w.Key] {
		return fmt.Errorf("%w: %s", ErrKeyPending, w.Key)
	}
	size := w.size()
	if len(b.keys) >= maxPending || b.bytes+size > maxPendingBytes {
		return ErrBatchFull
	}
	b.keys[w.Key] = true
	b.bytes += size
	b.pending = append(b.pending, w)
	return nil
}

func (w Write) size() int {
	return w.Record.size(w.Key)
}

// Take returns the writes of the next transaction. It returns nil if no write is
// pending, a transaction is in flight, or the token bucket is empty; the caller
// may then call Take again after Wait.
func (b *Batch) Take() []Write {
	if len(b.pending) == 0 || len(b.inFlight) > 0 {
		return nil
	}
	if !b.limit.AllowN(b.now(), 1) {
		return nil
	}
	n, size := 0, 0
	for n < len(b.pending) && n < maxRows {
		size += b.pending[n].size()
		if n > 0 && size > maxBytes {
			break
		}
		n++
	}
	b.inFlight = append([]Write(nil), b.pending[:n]...)
	b.pending = append([]Write(nil), b.pending[n:]...)
	return b.inFlight
}

// Wait returns the time until the token bucket permits a transaction, or 0 if
// one is permitted now.
func (b *Batch) Wait() tmclock.Span {
	missing := 1 - b.limit.TokensAt(b.now())
	if missing <= 0 {
		return 0
	}
	ms := missing / float64(b.limit.Limit()) * 1000
	return tmclock.Span(ms) + 1
}

// Committed records that the transaction in flight was committed at the
// revision.
func (b *Batch) Committed(revision uint64) []Result {
	out := make([]Result, 0, len(b.inFlight))
	for _, w := range b.inFlight {
		out = append(out, b.finish(w, Written, revision))
	}
	b.inFlight = nil
	return out
}

// Conflict records that the transaction in flight was refused because of the row
// with the given key. The writes of other rows are queued again. If no write in
// flight has the key, all are queued again.
func (b *Batch) Conflict(key string) []Result {
	var out []Result
	var retry []Write
	for _, w := range b.inFlight {
		if w.Key == key {
			out = append(out, b.finish(w, Conflicted, 0))
			continue
		}
		retry = append(retry, w)
	}
	b.requeue(retry)
	return out
}

// Rejected records that the table service wrote nothing of the transaction in
// flight, because it is down or above its rate limit. Creations are abandoned,
// since their callers are waiting; the other writes are queued again.
func (b *Batch) Rejected() []Result {
	var out []Result
	var retry []Write
	for _, w := range b.inFlight {
		if w.Op == Create {
			out = append(out, b.finish(w, Abandoned, 0))
			continue
		}
		retry = append(retry, w)
	}
	b.requeue(retry)
	return out
}

// KeysToRead returns the keys of the rows to read after the answer of the
// transaction in flight was lost. The results go to ReadBack.
func (b *Batch) KeysToRead() []string {
	keys := make([]string, 0, len(b.inFlight))
	for _, w := range b.inFlight {
		keys = append(keys, w.Key)
	}
	return keys
}

// ReadBack resolves a transaction whose answer was lost, from reads of its rows.
// A row that is missing in reads counts as unreadable.
func (b *Batch) ReadBack(reads map[string]Read) []Result {
	var out []Result
	var retry []Write
	for _, w := range b.inFlight {
		r := reads[w.Key]
		status, ended := w.resolve(r)
		if b.assumeCommitted && w.Op == Create {
			status, ended = Written, true
		}
		if !ended {
			retry = append(retry, w)
			continue
		}
		out = append(out, b.finish(w, status, r.Revision))
	}
	b.requeue(retry)
	return out
}

// resolve returns the status of a write whose answer was lost, or false if the
// write must be repeated. The earlier transaction may still take effect. The
// repeated write then conflicts with a row that has the same claim.
func (w Write) resolve(r Read) (Status, bool) {
	switch w.Op {
	case Create:
		return w.resolveCreate(r)
	case Complete:
		if !r.Known || (r.Found && r.Revision == w.Revision) {
			return 0, false
		}
		if r.Found && r.Record.state == Done && r.Record.claim == w.Record.claim {
			return Written, true
		}
		return Conflicted, true
	default:
		if !r.Known || (r.Found && r.Revision == w.Revision) {
			return 0, false
		}
		return Written, true
	}
}

func (w Write) resolveCreate(r Read) (Status, bool) {
	switch {
	case !r.Known:
		return Abandoned, true
	case !r.Found:
		return 0, false
	case r.Record.claim == w.Record.claim:
		return Written, true
	default:
		return Conflicted, true
	}
}

func (b *Batch) finish(w Write, s Status, revision uint64) Result {
	delete(b.keys, w.Key)
	b.bytes -= w.size()
	return Result{Write: w, Status: s, Revision: revision}
}

// requeue puts writes back at the head of the queue, so that a conflict on
// another row of the batch delays them by only one transaction.
func (b *Batch) requeue(retry []Write) {
	b.pending = append(retry, b.pending...)
	b.inFlight = nil
}
