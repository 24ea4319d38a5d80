package tmonce

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"turmericmoor/core/tmclock"
)

const (
	// fleetRate is the number of transactions per second that all entries
	// together may spend on rows of requests.
	fleetRate = 80
	// batchBurst is how many transactions an idle entry may send at once.
	batchBurst = 8
	// maxRows and maxBytes are the limits of one transaction.
	maxRows  = 100
	maxBytes = 256 << 10
	// maxPending bounds the rows that wait, maxPendingBytes their memory.
	maxPending      = 20_000
	maxPendingBytes = 64 << 20
)

// ErrBatchFull means that too many rows wait for the table service.
var ErrBatchFull = errors.New("tmonce: too many rows wait to be written")

// ErrKeyPending means that a write of the same row has not ended yet.
var ErrKeyPending = errors.New("tmonce: a write of the row is pending")

// Op is the kind of a row write.
type Op int

// The kinds of a row write.
const (
	// Create needs that the row does not exist.
	Create Op = iota
	// Complete replaces the row at the revision that created it.
	Complete
	// Delete removes the row at the given revision.
	Delete
)

// Write is one row of a transaction. Revision is the one that the row must
// have, 0 for a creation.
type Write struct {
	Op       Op
	Key      string
	Revision uint64
	Record   Record
}

// Status is how a Write ended.
type Status int

// The ends of a Write.
const (
	// Written means that the row is committed, at Result.Revision.
	Written Status = iota
	// Conflicting means that the row has another revision. A creation reads
	// the row and settles it with Claim.Settle.
	Conflicting
	// Unwritable means that the write was given up. A creation that ends like
	// this must never be sent, although its row may still appear.
	Unwritable
)

// Result is the end of one Write.
type Result struct {
	Write    Write
	Status   Status
	Revision uint64
}

// Read is what a read of a row returned after an uncertain transaction.
type Read struct {
	// Known is false when the row could not be read.
	Known    bool
	Found    bool
	Revision uint64
	Record   Record
}

// Batch groups row writes into transactions: group commit under a token
// bucket. It has one transaction in flight at a time; after Take, exactly one
// of Committed, Conflict, Rejected or ReadBack follows. It does no I/O and is
// not safe for concurrent use.
type Batch struct {
	clock   tmclock.Clock
	limit   *rate.Limiter
	pending []Write
	flight  []Write
	keys    map[string]bool
	bytes   int

	// trustLost takes a lost answer for a commit, as a negative control.
	trustLost bool
}

// NewBatch returns an empty Batch for one of the given number of members.
func NewBatch(clock tmclock.Clock, members int) *Batch {
	return &Batch{
		clock: clock,
		limit: rate.NewLimiter(rateFor(members), batchBurst),
		keys:  make(map[string]bool),
	}
}

func rateFor(members int) rate.Limit {
	return rate.Limit(fleetRate) / rate.Limit(max(members, 1))
}

func (b *Batch) instant() time.Time {
	return time.UnixMilli(int64(b.clock.Now()))
}

// SetMembers adjusts the rate to another number of members.
func (b *Batch) SetMembers(members int) {
	b.limit.SetLimitAt(b.instant(), rateFor(members))
}

// Len returns the number of writes that have not ended.
func (b *Batch) Len() int { return len(b.pending) + len(b.flight) }

// Add queues a write. The error is ErrBatchFull, or ErrKeyPending when a write
// of the same key has not ended.
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

// Take returns the writes of the next transaction, or nil when nothing waits,
// one is in flight, or the token bucket is empty. A nil Take may be repeated
// after Wait.
func (b *Batch) Take() []Write {
	if len(b.pending) == 0 || len(b.flight) > 0 {
		return nil
	}
	if !b.limit.AllowN(b.instant(), 1) {
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
	b.flight = append([]Write(nil), b.pending[:n]...)
	b.pending = append([]Write(nil), b.pending[n:]...)
	return b.flight
}

// Wait returns how long until the token bucket permits a transaction. It is 0
// when one is permitted now.
func (b *Batch) Wait() tmclock.Span {
	missing := 1 - b.limit.TokensAt(b.instant())
	if missing <= 0 {
		return 0
	}
	ms := missing / float64(b.limit.Limit()) * 1000
	return tmclock.Span(ms) + 1
}

// Committed notes that the transaction in flight took effect at the revision.
func (b *Batch) Committed(revision uint64) []Result {
	out := make([]Result, 0, len(b.flight))
	for _, w := range b.flight {
		out = append(out, b.end(w, Written, revision))
	}
	b.flight = nil
	return out
}

// Conflict notes that the transaction in flight was refused because of the row
// with the given key. The other rows are written again. A key that was not in
// flight ends nothing.
func (b *Batch) Conflict(key string) []Result {
	var out []Result
	var again []Write
	for _, w := range b.flight {
		if w.Key == key {
			out = append(out, b.end(w, Conflicting, 0))
			continue
		}
		again = append(again, w)
	}
	b.requeue(again)
	return out
}

// Rejected notes that the table service refused the transaction in flight and
// wrote nothing (down, or above its rate). Creations are given up, since their
// callers wait; the other rows are written again.
func (b *Batch) Rejected() []Result {
	var out []Result
	var again []Write
	for _, w := range b.flight {
		if w.Op == Create {
			out = append(out, b.end(w, Unwritable, 0))
			continue
		}
		again = append(again, w)
	}
	b.requeue(again)
	return out
}

// Uncertain returns the keys to read after the answer of the transaction in
// flight was lost. ReadBack follows.
func (b *Batch) Uncertain() []string {
	keys := make([]string, 0, len(b.flight))
	for _, w := range b.flight {
		keys = append(keys, w.Key)
	}
	return keys
}

// ReadBack ends the uncertain transaction by what the reads returned. A row
// that was not read counts as not known.
func (b *Batch) ReadBack(reads map[string]Read) []Result {
	var out []Result
	var again []Write
	for _, w := range b.flight {
		r := reads[w.Key]
		status, ended := w.judge(r)
		if b.trustLost && w.Op == Create {
			status, ended = Written, true
		}
		if !ended {
			again = append(again, w)
			continue
		}
		out = append(out, b.end(w, status, r.Revision))
	}
	b.requeue(again)
	return out
}

// judge returns how a write whose answer was lost ended, or false when it has
// to be made again. The earlier transaction may still take effect later; then
// the repeated write meets the claim's own row.
func (w Write) judge(r Read) (Status, bool) {
	switch w.Op {
	case Create:
		return w.judgeCreate(r)
	case Complete:
		if !r.Known || (r.Found && r.Revision == w.Revision) {
			return 0, false
		}
		if r.Found && r.Record.state == Done && r.Record.claim == w.Record.claim {
			return Written, true
		}
		return Conflicting, true
	default:
		if !r.Known || (r.Found && r.Revision == w.Revision) {
			return 0, false
		}
		return Written, true
	}
}

func (w Write) judgeCreate(r Read) (Status, bool) {
	switch {
	case !r.Known:
		return Unwritable, true
	case !r.Found:
		return 0, false
	case r.Record.claim == w.Record.claim:
		return Written, true
	default:
		return Conflicting, true
	}
}

func (b *Batch) end(w Write, s Status, revision uint64) Result {
	delete(b.keys, w.Key)
	b.bytes -= w.size()
	return Result{Write: w, Status: s, Revision: revision}
}

// requeue puts writes back in front, so that a conflict elsewhere in the batch
// delays them by one transaction only.
func (b *Batch) requeue(again []Write) {
	b.pending = append(again, b.pending...)
	b.flight = nil
}
