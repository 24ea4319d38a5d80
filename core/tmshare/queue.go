package tmshare

import (
	"container/heap"
	"errors"
	"fmt"

	"turmericmoor/core/tmclock"
)

// Default bounds of a Queue (section 3.9 of the design page).
const (
	DefaultMaxRequests = 10_000
	DefaultMaxBytes    = 64 << 20
)

// maxBlockedTime is how long the queue of a team without an unused slice can stay
// blocked if UnblockTeam is not called. It bounds how long a team waits if the call
// is missed.
const maxBlockedTime = 100 * tmclock.Millisecond

// Errors of Push.
var (
	// ErrFull means that the queue has reached one of its Bounds. The error is a
	// *FullError.
	ErrFull = errors.New("tmshare: queue is full")
	// ErrDuplicate means that a request with the same ID is already queued.
	ErrDuplicate = errors.New("tmshare: request id is already queued")
)

// FullError describes the bound that a request would have exceeded. It matches
// ErrFull.
type FullError struct {
	// Bound is "requests" or "bytes".
	Bound string
	// Limit is the value of the bound.
	Limit int
}

// Error returns a message with the bound and its value.
func (e *FullError) Error() string {
	return fmt.Sprintf("tmshare: queue is full: limit of %d %s reached", e.Limit, e.Bound)
}

// Is reports whether target is ErrFull.
func (e *FullError) Is(target error) bool { return target == ErrFull }

// Request is a queued request.
type Request[T any] struct {
	// ID is unique among the queued requests.
	ID string
	// Pool is the pool that serves the request, Team the team whose usage it
	// counts towards.
	Pool, Team string
	// Urgent requests are served before all others of the pool.
	Urgent bool
	// Bytes is the size of the request, which counts towards Bounds.MaxBytes.
	Bytes int
	// Deadline is the time from which the request is no longer started.
	Deadline tmclock.Millis
	// Value is data of the caller.
	Value T
}

// SliceView has the slices of the teams' limits that this entry may use.
type SliceView interface {
	// Available returns the number of unused units of the team's slice.
	Available(team string) int
}

// Bounds limits the size of a Queue. Fields that aren't positive stand for the
// defaults.
type Bounds struct {
	MaxRequests, MaxBytes int
}

// Queue has the queued requests of one entry by pool, team and urgency. Push,
// Next, Remove and TakeExpired take O(log n) per request.
type Queue[T any] struct {
	clock       tmclock.Clock
	usage       *Usage
	bounds      Bounds
	byID        map[string]*node[T]
	pools       map[string]*poolQueues[T]
	queues      map[string][]*teamQueue[T]
	byDeadline  deadlineHeap[T]
	expired     []Request[T]
	bytes       int
	starts      uint64
	lastUnblock tmclock.Millis
	demand      *Demand
}

// poolQueues has the team queues of one pool.
type poolQueues[T any] struct {
	urgent, normal             *queueHeap[T]
	urgentByTeam, normalByTeam map[string]*teamQueue[T]
}

// NewQueue returns an empty Queue that orders teams by usage.
func NewQueue[T any](clock tmclock.Clock, usage *Usage, bounds Bounds) *Queue[T] {
	if bounds.MaxRequests <= 0 {
		bounds.MaxRequests = DefaultMaxRequests
	}
	if bounds.MaxBytes <= 0 {
		bounds.MaxBytes = DefaultMaxBytes
	}
	return &Queue[T]{
		clock:  clock,
		usage:  usage,
		bounds: bounds,
		byID:   map[string]*node[T]{},
		pools:  map[string]*poolQueues[T]{},
		queues: map[string][]*teamQueue[T]{},
		demand: newDemand(),
	}
}

// Push queues a request. The error matches ErrFull or ErrDuplicate.
func (q *Queue[T]) Push(r Request[T]) error {
	if _, ok := q.byID[r.ID]; ok {
		return fmt.Errorf("%w: %s", ErrDuplicate, r.ID)
	}
	if len(q.byID) >= q.bounds.MaxRequests {
		return &FullError{Bound: "requests", Limit: q.bounds.MaxRequests}
	}
	if q.bytes+r.Bytes > q.bounds.MaxBytes {
		return &FullError{Bound: "bytes", Limit: q.bounds.MaxBytes}
	}
	n := &node[T]{request: r}
	q.byID[r.ID] = n
	q.bytes += r.Bytes
	heap.Push(&q.byDeadline, n)
	q.teamQueue(r).push(n)
	q.demand.add(r.Pool, r.Team, queuedDelta(r.Urgent, 1))
	return nil
}

// Next removes and returns the request to start in a free slot of the pool.
// Urgent requests come first. Among the teams with an unused slice, those below
// their target come first, then the one with the smallest running/share; the
// requests of a team are started in the order in which they were pushed. The
// request counts as running until Finish is called for it. Requests past their
// deadline are not returned.
func (q *Queue[T]) Next(pool string, view SliceView) (Request[T], bool) {
	q.prepare()
	p, ok := q.pools[pool]
	if !ok {
		return Request[T]{}, false
	}
	tq := p.urgent.first(view)
	if tq == nil {
		tq = p.normal.first(view)
	}
	if tq == nil {
		return Request[T]{}, false
	}
	return q.start(tq), true
}

// NextUrgent is like Next, but returns only urgent requests. It is meant for a
// slot that was freed for an urgent request.
func (q *Queue[T]) NextUrgent(pool string, view SliceView) (Request[T], bool) {
	q.prepare()
	p, ok := q.pools[pool]
	if !ok {
		return Request[T]{}, false
	}
	tq := p.urgent.first(view)
	if tq == nil {
		return Request[T]{}, false
	}
	return q.start(tq), true
}

// PeekUrgent returns the urgent request that NextUrgent would return, but leaves
// it in the queue. An entry that has neither a free slot nor a task to checkpoint
// for the request can remove the request with Remove and forward it to a peer.
func (q *Queue[T]) PeekUrgent(pool string, view SliceView) (Request[T], bool) {
	q.prepare()
	p, ok := q.pools[pool]
	if !ok {
		return Request[T]{}, false
	}
	tq := p.urgent.first(view)
	if tq == nil {
		return Request[T]{}, false
	}
	return tq.head.request, true
}

// Finish records that a request returned by Next or NextUrgent no longer runs,
// whatever its result. A request to be retried is pushed again after Finish.
func (q *Queue[T]) Finish(pool, team string) {
	q.usage.addOwn(q.usage.team(team), -1)
	q.demand.add(pool, team, Load{Running: -1})
}

// UnblockTeam has to be called when a team without an unused slice has one
// again.
func (q *Queue[T]) UnblockTeam(team string) {
	for _, tq := range q.queues[team] {
		tq.parent.unblock(tq)
	}
}

// Remove removes and returns the queued request with the given ID, for example
// because its caller has disconnected.
func (q *Queue[T]) Remove(id string) (Request[T], bool) {
	n, ok := q.byID[id]
	if !ok {
		return Request[T]{}, false
	}
	q.dequeue(n)
	return n.request, true
}

// TakeExpired removes and returns all requests whose deadline is at or before
// now, and those that were found expired since the last call. None of them has
// run.
func (q *Queue[T]) TakeExpired(now tmclock.Millis) []Request[T] {
	q.expire(now)
	out := q.expired
	q.expired = nil
	return out
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return len(q.byID) }

// Bytes returns the sum of the sizes of the queued requests.
func (q *Queue[T]) Bytes() int { return q.bytes }

// Demand returns the queued and running counts. The queue keeps the returned
// value up to date, so it must not be read while the queue changes.
func (q *Queue[T]) Demand() *Demand { return q.demand }

func (q *Queue[T]) prepare() {
	now := q.clock.Now()
	q.expire(now)
	if now.Sub(q.lastUnblock) >= maxBlockedTime {
		q.lastUnblock = now
		q.unblockAll()
	}
	q.fixHeaps()
}

func (q *Queue[T]) expire(now tmclock.Millis) {
	for len(q.byDeadline) > 0 && !q.byDeadline[0].request.Deadline.After(now) {
		n := q.byDeadline[0]
		q.dequeue(n)
		q.expired = append(q.expired, n.request)
	}
}

func (q *Queue[T]) unblockAll() {
	for _, p := range q.pools {
		p.urgent.unblockAll()
		p.normal.unblockAll()
	}
}

// fixHeaps restores the heap order of the queues of all teams whose usage has
// changed.
func (q *Queue[T]) fixHeaps() {
	for _, use := range q.usage.dirty {
		use.dirty = false
		for _, tq := range q.queues[use.name] {
			tq.parent.fix(tq)
		}
	}
	q.usage.dirty = q.usage.dirty[:0]
}

func (q *Queue[T]) start(tq *teamQueue[T]) Request[T] {
	n := tq.head
	q.starts++
	tq.usage.lastStart = q.starts
	q.dequeue(n)
	q.usage.addOwn(tq.usage, 1)
	q.demand.add(n.request.Pool, n.request.Team, Load{Running: 1})
	return n.request
}

func (q *Queue[T]) dequeue(n *node[T]) {
	delete(q.byID, n.request.ID)
	q.bytes -= n.request.Bytes
	heap.Remove(&q.byDeadline, n.deadlineIndex)
	n.queue.remove(n)
	q.demand.add(n.request.Pool, n.request.Team, queuedDelta(n.request.Urgent, -1))
}

func (q *Queue[T]) teamQueue(r Request[T]) *teamQueue[T] {
	p, ok := q.pools[r.Pool]
	if !ok {
		p = &poolQueues[T]{
			urgent: newQueueHeap[T](), normal: newQueueHeap[T](),
			urgentByTeam: map[string]*teamQueue[T]{}, normalByTeam: map[string]*teamQueue[T]{},
		}
		q.pools[r.Pool] = p
	}
	byTeam, parent := p.normalByTeam, p.normal
	if r.Urgent {
		byTeam, parent = p.urgentByTeam, p.urgent
	}
	tq, ok := byTeam[r.Team]
	if !ok {
		tq = &teamQueue[T]{usage: q.usage.team(r.Team), parent: parent, heapIndex: notInHeap}
		byTeam[r.Team] = tq
		q.queues[r.Team] = append(q.queues[r.Team], tq)
	}
	return tq
}
