package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

// This file collects what has to be stored into flushes that fit into a transaction of the
// store.

const (
	// maxFlushRows limits the rows that one flush writes or removes. A transaction of
	// the store holds at most 100 entries, and the caller adds some of its own.
	maxFlushRows = 74
	// maxFlushBytes limits the size of the rows of progress of one flush, if there is more
	// than one. A transaction holds at most 1 MB, in which rows take a third more, and has to
	// pass the weakest link, of 2 Mbit/s, within the time that a write may take.
	maxFlushBytes = 200_000
)

// flushRoom is how much more a flush can hold.
type flushRoom struct{ entries, rows, bytes, maxBytes int }

func (c *Controller) newFlushRoom() flushRoom {
	room := flushRoom{entries: maxFlushRows, rows: maxFlushRows, bytes: maxFlushBytes}
	if c.bounds.FlushBytes > 0 {
		room.bytes = min(room.bytes, c.bounds.FlushBytes)
	}
	room.maxBytes = room.bytes
	if c.flushLimit > 0 {
		room.entries = c.flushLimit
	}
	return room
}

// take reserves room for an entry with that many rows and bytes. The first entry that has
// bytes always finds room for them.
func (r *flushRoom) take(rows, bytes int) bool {
	if r.entries < 1 || r.rows < rows || r.bytes < bytes && r.bytes < r.maxBytes {
		return false
	}
	r.entries--
	r.rows -= rows
	r.bytes -= bytes
	return true
}

// TakeFlush returns the changes to store next, or nil if there are none. Only one
// flush may be in progress at a time. Nothing is stored before all stored jobs are
// loaded: it would replace what an earlier owner has stored.
func (c *Controller) TakeFlush(now tmclock.Millis) *Flush {
	if !c.loaded {
		return nil
	}
	c.attributeCrashes()
	f := &Flush{}
	room := c.newFlushRoom()
	if c.quotas != nil {
		f.Quotas = c.quotas.TakeRows(min(maxQuotaRows, room.entries))
		room.entries -= len(f.Quotas)
		room.rows -= len(f.Quotas)
	}
	c.takeInstanceOrders(f, &room, now)
	c.takePages(f, &room)
	if len(c.dirty) == 0 {
		f.acks = c.unsentAcks()
	}
	if len(f.Changes)+len(f.acks)+len(f.Quotas) == 0 && f.Orders == nil {
		return nil
	}
	c.flushes++
	f.Number = c.flushes
	return f
}

// takePages moves pages from the queue into a flush. Changes of the queue by what it takes
// are included.
func (c *Controller) takePages(f *Flush, room *flushRoom) {
	var deferred []*page
	n := 0
	for ; n < len(c.dirty); n++ {
		p := c.dirty[n]
		switch {
		case p.gone && !p.stored:
			p.dirty = false
			delete(p.job.pages, p.n)
			continue
		case p.n == 0 && !p.job.final && p.job.hasMoved():
			// The row still has the only records of other pages.
			deferred = append(deferred, p)
			continue
		}
		change := c.change(p)
		rows, size := 1, 0
		if change.Progress != nil {
			size = change.Progress.Size()
		}
		if p.n == 0 && change.Final.Final() {
			rows++
		}
		if !room.take(rows, size) {
			break
		}
		c.takePage(f, p, change)
	}
	c.dirty = append(slices.Clone(c.dirty[n:]), deferred...)
}

// change returns what has to be stored of a page. A final job keeps its progress until its
// last run has ended: the next owner has to count these runs, and to stop them.
func (c *Controller) change(p *page) Change {
	j := p.job
	change := Change{Job: j.spec.ID, Page: p.n, Queue: j.spec.Queue, Team: j.spec.Team}
	if j.final {
		change.Final = j.state
	}
	if !p.gone && (p.n != 0 || !j.final || !j.idle()) {
		change.Progress = c.progressToStore(p)
	}
	return change
}

// takePage adds the change of a page to a flush, and queues the rows that the job does not
// need once that is stored.
func (c *Controller) takePage(f *Flush, p *page, change Change) {
	j := p.job
	p.dirty, p.stored = false, change.Progress != nil
	p.ends, p.takenEnds = nil, append(p.takenEnds, p.ends...)
	if p.n == 0 && j.final {
		j.hasStoredRuns = change.Progress != nil
		j.rowsReleased = !j.hasStoredRuns
	}
	if p.n == 0 && (j.rowsReleased || j.spec.Repeats > 0) {
		c.releaseRows(j)
	}
	if p.gone {
		delete(j.pages, p.n)
	}
	change.Last = j.rowsReleased && !j.hasRows()
	f.Changes = append(f.Changes, change)
	f.pages = append(f.pages, p)
	for _, t := range p.tasks {
		for _, r := range t.active {
			if r.phase == planned {
				f.starts = append(f.starts, r)
			}
		}
	}
}

// unsentAcks returns the ends that may be acknowledged because all that they have changed is
// stored or in the flush that is being taken.
func (c *Controller) unsentAcks() []ack {
	var acks []ack
	for _, e := range c.endpoints {
		if end := e.ackLimit(c.refused); end > e.acked {
			acks = append(acks, ack{endpoint: e, lifetime: e.lifetime, end: end})
		}
	}
	return acks
}

// ackLimit returns the number of the last end of the endpoint that may be acknowledged while
// the given pages are not stored.
func (e *endpoint) ackLimit(refused []*page) int64 {
	limit := e.seen
	for _, p := range refused {
		for _, a := range p.ends {
			if a.endpoint == e && a.lifetime == e.lifetime {
				limit = min(limit, a.end-1)
			}
		}
	}
	return limit
}

// addEnd records that an end of a run has changed the page.
func (p *page) addEnd(e *endpoint, number int64) {
	p.ends = append(p.ends, ack{endpoint: e, lifetime: e.lifetime, end: number})
}

// Stored records that a flush is stored. The starts that it places may now be ordered
// and the ends whose effects it contains acknowledged.
func (c *Controller) Stored(f *Flush, now tmclock.Millis) {
	c.liftFlushLimit()
	for _, p := range f.pages {
		p.takenEnds, p.moved, p.refused = nil, false, false
	}
	c.refused = slices.DeleteFunc(c.refused, func(p *page) bool { return !p.refused })
	for _, a := range f.acks {
		if e := a.endpoint; a.lifetime == e.lifetime {
			e.acked = max(e.acked, a.end)
		}
	}
	for _, row := range f.Quotas {
		c.quotas.Stored(row)
	}
	c.startPlaced(f.starts, now)
	c.orderInstances(f.instanceOrders, now)
	for _, change := range f.Changes {
		if j := c.jobs[change.Job]; j != nil {
			c.removeIfIdle(j)
		}
	}
}

// liftFlushLimit doubles the limit of flushes after one was stored.
func (c *Controller) liftFlushLimit() {
	c.flushLimit *= 2
	if c.flushLimit >= maxFlushRows {
		c.flushLimit = 0
	}
}

// Refused records that the store refuses a flush and would refuse it again. Its entries are
// taken again in smaller flushes, until the one that is at fault is alone. That one is set
// aside until it changes, and holds up no other.
func (c *Controller) Refused(f *Flush, now tmclock.Millis) {
	entries := len(f.Changes) + len(f.Quotas)
	if f.Orders != nil {
		entries++
	}
	if entries <= 1 {
		c.setAside(f, now)
		return
	}
	c.flushLimit = max(entries/2, 1)
	for _, row := range f.Quotas {
		c.quotas.Refused(row)
	}
	c.takeBackOrders(f)
	for _, p := range f.pages {
		c.takeBack(p)
	}
	// The order of pages matters, see takePages.
	c.dirty = append(slices.Clone(f.pages), slices.DeleteFunc(c.dirty, func(p *page) bool { return slices.Contains(f.pages, p) })...)
}

// takeBack marks a page as dirty whose change was not stored.
func (c *Controller) takeBack(p *page) {
	p.job.pages[p.n] = p
	p.dirty, p.stored = true, true
	p.ends, p.takenEnds = append(p.takenEnds, p.ends...), nil
}

// setAside handles the refusal of a flush with a single entry.
func (c *Controller) setAside(f *Flush, now tmclock.Millis) {
	c.liftFlushLimit()
	for _, o := range f.instanceOrders {
		delete(c.fleet.storing, o.Instance)
		c.InstanceOrdered(o, NotSent, now)
	}
	for _, p := range f.pages {
		c.event(tmevent.PageRefused, "job", p.job.spec.ID, "page", p.n, "tasks", len(p.tasks))
		p.ends, p.takenEnds = append(p.takenEnds, p.ends...), nil
		if !p.refused {
			p.refused = true
			c.refused = append(c.refused, p)
		}
	}
	for _, r := range f.starts {
		if r.isPlaced() {
			c.release(r)
		}
	}
}
