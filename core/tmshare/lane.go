package tmshare

import "container/heap"

// lane is the line of one team in one pool at one urgency, first in first
// out. It is in the heap of its pool while it has requests and isn't parked.
type lane[T any] struct {
	use    *teamUse
	key    key
	home   *order[T]
	head   *node[T]
	tail   *node[T]
	pos    int
	parked bool
}

// node is a queued request.
type node[T any] struct {
	request  Request[T]
	lane     *lane[T]
	prev     *node[T]
	next     *node[T]
	deadline int
}

const notInHeap = -1

func (l *lane[T]) push(n *node[T]) {
	n.lane = l
	n.prev = l.tail
	if l.tail == nil {
		l.head = n
	} else {
		l.tail.next = n
	}
	l.tail = n
	l.home.settle(l)
}

func (l *lane[T]) remove(n *node[T]) {
	if n.prev == nil {
		l.head = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		l.tail = n.prev
	} else {
		n.next.prev = n.prev
	}
	n.prev, n.next = nil, nil
	l.home.settle(l)
}

// order is the heap of the lanes of one pool at one urgency that may be served
// next. Lanes whose team had no unused slice are parked, so that a decision
// doesn't pass over them again and again.
type order[T any] struct {
	lanes  []*lane[T]
	parked map[*lane[T]]struct{}
}

func newOrder[T any]() *order[T] {
	return &order[T]{parked: map[*lane[T]]struct{}{}}
}

// settle puts the lane where it belongs after a change of its requests.
func (o *order[T]) settle(l *lane[T]) {
	wanted := l.head != nil && !l.parked
	if wanted && l.pos == notInHeap {
		l.key = l.use.key()
		heap.Push(o, l)
	}
	if !wanted && l.pos != notInHeap {
		heap.Remove(o, l.pos)
	}
	if l.head == nil && l.parked {
		o.unpark(l)
	}
}

// fix restores the order after a change of the usage of the lane's team.
func (o *order[T]) fix(l *lane[T]) {
	if l.pos != notInHeap {
		l.key = l.use.key()
		heap.Fix(o, l.pos)
	}
}

func (o *order[T]) park(l *lane[T]) {
	l.parked = true
	o.parked[l] = struct{}{}
	o.settle(l)
}

func (o *order[T]) unpark(l *lane[T]) {
	if !l.parked {
		return
	}
	l.parked = false
	delete(o.parked, l)
	o.settle(l)
}

func (o *order[T]) unparkAll() {
	for l := range o.parked {
		o.unpark(l)
	}
}

// first returns the lane to serve, or nil.
func (o *order[T]) first(slices SliceView) *lane[T] {
	for len(o.lanes) > 0 {
		l := o.lanes[0]
		if slices.Available(l.use.name) > 0 {
			return l
		}
		o.park(l)
	}
	return nil
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (o *order[T]) Len() int { return len(o.lanes) }

func (o *order[T]) Less(i, j int) bool { return o.lanes[i].key.before(o.lanes[j].key) }

func (o *order[T]) Swap(i, j int) {
	o.lanes[i], o.lanes[j] = o.lanes[j], o.lanes[i]
	o.lanes[i].pos = i
	o.lanes[j].pos = j
}

func (o *order[T]) Push(x any) {
	l := x.(*lane[T])
	l.pos = len(o.lanes)
	o.lanes = append(o.lanes, l)
}

func (o *order[T]) Pop() any {
	last := len(o.lanes) - 1
	l := o.lanes[last]
	o.lanes[last] = nil
	o.lanes = o.lanes[:last]
	l.pos = notInHeap
	return l
}

// deadlines is a heap of queued requests by deadline.
type deadlines[T any] []*node[T]

func (d deadlines[T]) Len() int { return len(d) }

func (d deadlines[T]) Less(i, j int) bool {
	return d[i].request.Deadline < d[j].request.Deadline
}

func (d deadlines[T]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].deadline = i
	d[j].deadline = j
}

func (d *deadlines[T]) Push(x any) {
	n := x.(*node[T])
	n.deadline = len(*d)
	*d = append(*d, n)
}

func (d *deadlines[T]) Pop() any {
	last := len(*d) - 1
	n := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return n
}
