package tmshare

import "container/heap"

// teamQueue is the FIFO queue of one team in one pool at one urgency. It is in
// the queueHeap while it has requests and isn't blocked.
type teamQueue[T any] struct {
	usage     *teamUsage
	key       sortKey
	parent    *queueHeap[T]
	head      *node[T]
	tail      *node[T]
	heapIndex int
	blocked   bool
}

// node is a queued request in the linked list of its teamQueue.
type node[T any] struct {
	request       Request[T]
	queue         *teamQueue[T]
	prev          *node[T]
	next          *node[T]
	deadlineIndex int
}

const notInHeap = -1

func (tq *teamQueue[T]) push(n *node[T]) {
	n.queue = tq
	n.prev = tq.tail
	if tq.tail == nil {
		tq.head = n
	} else {
		tq.tail.next = n
	}
	tq.tail = n
	tq.parent.update(tq)
}

func (tq *teamQueue[T]) remove(n *node[T]) {
	if n.prev == nil {
		tq.head = n.next
	} else {
		n.prev.next = n.next
	}
	if n.next == nil {
		tq.tail = n.prev
	} else {
		n.next.prev = n.prev
	}
	n.prev, n.next = nil, nil
	tq.parent.update(tq)
}

// queueHeap is a heap of the team queues of one pool at one urgency, by sortKey.
// Queues whose team has no unused slice are blocked: they are kept out of the
// heap, so that they aren't checked again for each decision.
type queueHeap[T any] struct {
	queues  []*teamQueue[T]
	blocked map[*teamQueue[T]]struct{}
}

func newQueueHeap[T any]() *queueHeap[T] {
	return &queueHeap[T]{blocked: map[*teamQueue[T]]struct{}{}}
}

// update adds tq to the heap or removes it from there, after a change of its
// requests or of whether it is blocked.
func (h *queueHeap[T]) update(tq *teamQueue[T]) {
	ready := tq.head != nil && !tq.blocked
	if ready && tq.heapIndex == notInHeap {
		tq.key = tq.usage.key()
		heap.Push(h, tq)
	}
	if !ready && tq.heapIndex != notInHeap {
		heap.Remove(h, tq.heapIndex)
	}
	if tq.head == nil && tq.blocked {
		h.unblock(tq)
	}
}

// fix restores the heap order after a change of the usage of the queue's team.
func (h *queueHeap[T]) fix(tq *teamQueue[T]) {
	if tq.heapIndex != notInHeap {
		tq.key = tq.usage.key()
		heap.Fix(h, tq.heapIndex)
	}
}

func (h *queueHeap[T]) block(tq *teamQueue[T]) {
	tq.blocked = true
	h.blocked[tq] = struct{}{}
	h.update(tq)
}

func (h *queueHeap[T]) unblock(tq *teamQueue[T]) {
	if !tq.blocked {
		return
	}
	tq.blocked = false
	delete(h.blocked, tq)
	h.update(tq)
}

func (h *queueHeap[T]) unblockAll() {
	for tq := range h.blocked {
		h.unblock(tq)
	}
}

// first returns the queue to serve next, or nil. It takes queues from the head of
// the heap and blocks those whose team has no unused slice.
func (h *queueHeap[T]) first(view SliceView) *teamQueue[T] {
	for len(h.queues) > 0 {
		tq := h.queues[0]
		if view.Available(tq.usage.name) > 0 {
			return tq
		}
		h.block(tq)
	}
	return nil
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *queueHeap[T]) Len() int { return len(h.queues) }

func (h *queueHeap[T]) Less(i, j int) bool { return h.queues[i].key.before(h.queues[j].key) }

func (h *queueHeap[T]) Swap(i, j int) {
	h.queues[i], h.queues[j] = h.queues[j], h.queues[i]
	h.queues[i].heapIndex = i
	h.queues[j].heapIndex = j
}

func (h *queueHeap[T]) Push(x any) {
	tq := x.(*teamQueue[T])
	tq.heapIndex = len(h.queues)
	h.queues = append(h.queues, tq)
}

func (h *queueHeap[T]) Pop() any {
	last := len(h.queues) - 1
	tq := h.queues[last]
	h.queues[last] = nil
	h.queues = h.queues[:last]
	tq.heapIndex = notInHeap
	return tq
}

// deadlineHeap is a heap of all queued requests by deadline.
type deadlineHeap[T any] []*node[T]

func (d deadlineHeap[T]) Len() int { return len(d) }

func (d deadlineHeap[T]) Less(i, j int) bool {
	return d[i].request.Deadline < d[j].request.Deadline
}

func (d deadlineHeap[T]) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].deadlineIndex = i
	d[j].deadlineIndex = j
}

func (d *deadlineHeap[T]) Push(x any) {
	n := x.(*node[T])
	n.deadlineIndex = len(*d)
	*d = append(*d, n)
}

func (d *deadlineHeap[T]) Pop() any {
	last := len(*d) - 1
	n := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return n
}
