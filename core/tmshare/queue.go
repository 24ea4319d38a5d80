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

// parkedFor bounds how long a lane stays parked when Gained was not called for
// its team. It keeps a missed call from starving the team.
const parkedFor = 100 * tmclock.Millisecond

// Errors of Push.
var (
	// ErrFull means that a bound of the queue is reached. The error is a
	// *FullError.
	ErrFull = errors.New("tmshare: queue is full")
	// ErrDuplicate means that a request with the same id is queued.
	ErrDuplicate = errors.New("tmshare: request id is already queued")
)

// FullError names the bound that a request would have exceeded. It matches
// ErrFull.
type FullError struct {
	// Bound is "requests" or "bytes".
	Bound string
	// Limit is the value of the bound.
	Limit int
}

// Error names the bound and its value.
func (e *FullError) Error() string {
	return fmt.Sprintf("tmshare: queue is full: limit of %d %s reached", e.Limit, e.Bound)
}

// Is reports whether target is ErrFull.
func (e *FullError) Is(target error) bool { return target == ErrFull }

// Request is a queued request.
type Request[T any] struct {
	// ID is unique among the queued requests.
	ID string
	// Pool serves the request, Team is the team that it counts for.
	Pool, Team string
	// Urgent requests are served before all others of the pool.
	Urgent bool
	// Bytes counts towards the bound of the queue.
	Bytes int
	// Deadline is the time after which the request isn't started any more.
	Deadline tmclock.Millis
	// Value is what the owner of the queue keeps with the request.
	Value T
}

// SliceView tells how many units of a team's limit this entry may still use.
type SliceView interface {
	// Available returns the number of unused units.
	Available(team string) int
}

// Bounds limits a Queue. A zero field stands for the default.
type Bounds struct {
	MaxRequests, MaxBytes int
}

// Queue has the requests of one entry by pool, team and urgency. Push, Next,
// Remove and Expired take O(log n) per request.
type Queue[T any] struct {
	clock    tmclock.Clock
	usage    *Usage
	bounds   Bounds
	byID     map[string]*node[T]
	pools    map[string]*poolOrder[T]
	lanes    map[string][]*lane[T]
	due      deadlines[T]
	expired  []Request[T]
	bytes    int
	served   uint64
	unparked tmclock.Millis
	demand   *Demand
}

// poolOrder has the lanes of one pool.
type poolOrder[T any] struct {
	urgent, normal       *order[T]
	urgentLane, normLane map[string]*lane[T]
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
		pools:  map[string]*poolOrder[T]{},
		lanes:  map[string][]*lane[T]{},
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
	heap.Push(&q.due, n)
	q.lane(r).push(n)
	q.demand.add(r.Pool, r.Team, queuedDelta(r.Urgent, 1))
	return nil
}

// Next takes the request that a free slot of the pool goes to: urgent ones
// first, then the team with the smallest running/share among those with unused
// slice, then the oldest. The request counts as running from then on, until
// Finished is called for it. Requests past their deadline are not returned.
func (q *Queue[T]) Next(pool string, slices SliceView) (Request[T], bool) {
	q.prepare()
	p, ok := q.pools[pool]
	if !ok {
		return Request[T]{}, false
	}
	l := p.urgent.first(slices)
	if l == nil {
		l = p.normal.first(slices)
	}
	if l == nil {
		return Request[T]{}, false
	}
	return q.start(l), true
}

// NextUrgent is like Next, but only considers urgent requests. It serves a
// slot that was vacated for an urgent request.
func (q *Queue[T]) NextUrgent(pool string, slices SliceView) (Request[T], bool) {
	q.prepare()
	p, ok := q.pools[pool]
	if !ok {
		return Request[T]{}, false
	}
	l := p.urgent.first(slices)
	if l == nil {
		return Request[T]{}, false
	}
	return q.start(l), true
}

// FirstUrgent returns the urgent request that NextUrgent would take, and leaves
// it in the queue. An entry that has neither a free slot nor a task to
// checkpoint for it can Remove it and forward it to a peer.
func (q *Queue[T]) FirstUrgent(pool string, slices SliceView) (Request[T], bool) {
	q.prepare()
	p, ok := q.pools[pool]
	if !ok {
		return Request[T]{}, false
	}
	l := p.urgent.first(slices)
	if l == nil {
		return Request[T]{}, false
	}
	return l.head.request, true
}

// Finished ends the running of a request that Next returned, whatever became
// of it. A request to be retried is pushed again after that.
func (q *Queue[T]) Finished(pool, team string) {
	q.usage.addOwn(q.usage.team(team), -1)
	q.demand.add(pool, team, Load{Running: -1})
}

// Gained tells that a team without unused slice has some again.
func (q *Queue[T]) Gained(team string) {
	for _, l := range q.lanes[team] {
		l.home.unpark(l)
	}
}

// Remove takes the request with the given id out of the queue, for example
// because its caller has gone.
func (q *Queue[T]) Remove(id string) (Request[T], bool) {
	n, ok := q.byID[id]
	if !ok {
		return Request[T]{}, false
	}
	q.take(n)
	return n.request, true
}

// Expired takes out all requests whose deadline is at or before now. None of
// them has run.
func (q *Queue[T]) Expired(now tmclock.Millis) []Request[T] {
	q.expire(now)
	out := q.expired
	q.expired = nil
	return out
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return len(q.byID) }

// Bytes returns the sum of the sizes of the queued requests.
func (q *Queue[T]) Bytes() int { return q.bytes }

// Demand returns the queued and running counts. The table stays up to date and
// is valid as long as the queue; it must not be read while the queue changes.
func (q *Queue[T]) Demand() *Demand { return q.demand }

func (q *Queue[T]) prepare() {
	now := q.clock.Now()
	q.expire(now)
	if now.Sub(q.unparked) >= parkedFor {
		q.unparked = now
		q.unparkAll()
	}
	q.reorder()
}

func (q *Queue[T]) expire(now tmclock.Millis) {
	for len(q.due) > 0 && !q.due[0].request.Deadline.After(now) {
		n := q.due[0]
		q.take(n)
		q.expired = append(q.expired, n.request)
	}
}

func (q *Queue[T]) unparkAll() {
	for _, p := range q.pools {
		p.urgent.unparkAll()
		p.normal.unparkAll()
	}
}

// reorder restores the heaps after changes of the usage.
func (q *Queue[T]) reorder() {
	for _, use := range q.usage.dirty {
		use.dirty = false
		for _, l := range q.lanes[use.name] {
			l.home.fix(l)
		}
	}
	q.usage.dirty = q.usage.dirty[:0]
}

func (q *Queue[T]) start(l *lane[T]) Request[T] {
	n := l.head
	q.served++
	l.use.served = q.served
	q.take(n)
	q.usage.addOwn(l.use, 1)
	q.demand.add(n.request.Pool, n.request.Team, Load{Running: 1})
	return n.request
}

func (q *Queue[T]) take(n *node[T]) {
	delete(q.byID, n.request.ID)
	q.bytes -= n.request.Bytes
	heap.Remove(&q.due, n.deadline)
	n.lane.remove(n)
	q.demand.add(n.request.Pool, n.request.Team, queuedDelta(n.request.Urgent, -1))
}

func (q *Queue[T]) lane(r Request[T]) *lane[T] {
	p, ok := q.pools[r.Pool]
	if !ok {
		p = &poolOrder[T]{
			urgent: newOrder[T](), normal: newOrder[T](),
			urgentLane: map[string]*lane[T]{}, normLane: map[string]*lane[T]{},
		}
		q.pools[r.Pool] = p
	}
	lanes, home := p.normLane, p.normal
	if r.Urgent {
		lanes, home = p.urgentLane, p.urgent
	}
	l, ok := lanes[r.Team]
	if !ok {
		l = &lane[T]{use: q.usage.team(r.Team), home: home, pos: notInHeap}
		lanes[r.Team] = l
		q.lanes[r.Team] = append(q.lanes[r.Team], l)
	}
	return l
}
