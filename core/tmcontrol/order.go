package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

const (
	// stopEvery is the time between two stop orders for one run.
	stopEvery = 500 * tmclock.Millisecond
	// maxTries is how often a start without an answer is sent before the run is
	// stopped.
	maxTries = 3
	// slowAnswer is the time after which an endpoint that has not answered a start
	// gets nothing new for a while.
	slowAnswer = 250 * tmclock.Millisecond
	// pauseAfterFailure delays the next start of a task that was refused.
	pauseAfterFailure = 50 * tmclock.Millisecond
)

// sendStart emits the start order of a run.
func (c *Controller) sendStart(r *run, now tmclock.Millis) {
	r.phase, r.inFlight, r.sentAt = ordered, true, now
	r.tries++
	if r.pending {
		c.sent = append(c.sent, r)
	}
	e := r.ep
	c.starts = append(c.starts, StartOrder{
		Ref:     RunRef{Task: r.task.id, Run: r.n, Endpoint: e.info.ID, SentAt: now},
		Address: e.info.Address,
		Spec:    r.task.step.occ.job.spec.Spec,
		Until:   e.grant(startLife, now),
		Token:   c.token,
		Saved:   r.task.saved,
		Ticket:  r.ticket,
	})
}

func (c *Controller) retryStart(r *run, now tmclock.Millis) {
	if r.tries >= maxTries {
		c.stopRun(r, "start got no answer")
		c.sendStop(r, now)
		return
	}
	c.sendStart(r, now)
}

// giveUpWaiting takes starts that wait long for their answer out of those that hold
// back others: the endpoint is late, not the processor of this node.
func (c *Controller) giveUpWaiting(now tmclock.Millis) {
	for len(c.sent) > 0 && now.Sub(c.sent[0].sentAt) >= slowAnswer {
		r := c.sent[0]
		c.sent = c.sent[1:]
		if r.pending && r.inFlight {
			r.ep.avoid = max(r.ep.avoid, now.Add(slowAnswer))
			c.answered(r)
		}
	}
}

// Started takes in the answer to a start order.
func (c *Controller) Started(ref RunRef, a Answer, now tmclock.Millis) {
	e := c.endpoints[ref.Endpoint]
	if e == nil {
		return
	}
	r := e.runs[runKey{ref.Task, ref.Run}]
	if r == nil || r.sentAt != ref.SentAt {
		return
	}
	r.inFlight = false
	c.answered(r)
	if a != Accepted {
		c.event(tmevent.StartAnswer, "task", ref.Task.String(), "run", ref.Run, "endpoint", ref.Endpoint, "answer", a.String(), "try", r.tries)
	}
	switch a {
	case Accepted:
		r.phase, r.settled, r.doubt = active, now, false
		if r.began == 0 {
			r.began = now
		}
		if r.stop {
			c.sendStop(r, now)
		}
	case Fenced:
		c.Fence(ref.Endpoint)
	case Superseded:
		// The endpoint knows an end of this run, or a stop for it: the next
		// list settles the matter.
		r.settled, r.stopped = now, true
	case TooLate, NoRoom, BadTicket, Unhealthy, Refused, NotSent:
		c.notStarted(r, a, now)
	case OtherLife:
		e.avoid = now.Add(avoidTime)
		c.notStarted(r, a, now)
	case NoAnswer:
		r.settled, r.doubt = now, true
		e.avoid = now.Add(avoidTime)
	}
}

// notStarted handles a start that was refused. If an earlier order for the run
// got no answer, only a stop makes sure that it is not carried out later.
func (c *Controller) notStarted(r *run, a Answer, now tmclock.Millis) {
	if a != TooLate && a != BadTicket {
		r.ep.avoid = now.Add(avoidTime)
	}
	if a == BadTicket {
		r.task.step.advice.drop(r.ep.info.ID)
	}
	if r.doubt || r.tries > 1 {
		r.settled = now
		c.stopRun(r, "start refused after one without an answer")
		return
	}
	if a == Refused {
		r.task.notBefore = now.Add(tmclock.Second)
	} else {
		r.task.notBefore = now.Add(pauseAfterFailure)
	}
	c.release(r)
}

// stopRun marks a run to end. Planned runs are dropped when their placement is
// stored.
func (c *Controller) stopRun(r *run, why string) {
	if r.stop {
		return
	}
	r.stop, r.why = true, why
	if r.ep.runs[r.key()] == r {
		r.ep.stopping++
	}
	c.event(tmevent.RunStopping, "task", r.task.id.String(), "run", r.n, "endpoint", r.ep.info.ID, "why", why)
}

// sendStop emits a stop order unless one was sent recently.
func (c *Controller) sendStop(r *run, now tmclock.Millis) {
	if r.phase == planned || r.inFlight || r.ep.info.Address == "" || !r.ep.fenced ||
		(r.stopAt != 0 && now.Sub(r.stopAt) < stopEvery) {
		return
	}
	r.stopAt = now
	ref := RunRef{Task: r.task.id, Run: r.n, Endpoint: r.ep.info.ID, SentAt: now}
	c.stops = append(c.stops, StopOrder{Ref: ref, Address: r.ep.info.Address, Token: c.token})
}

// Stopped takes in the answer to a stop order.
func (c *Controller) Stopped(ref RunRef, a Answer, now tmclock.Millis) {
	if a == Fenced {
		c.Fence(ref.Endpoint)
		return
	}
	e := c.endpoints[ref.Endpoint]
	if e == nil || a != Accepted {
		return
	}
	if r := e.runs[runKey{ref.Task, ref.Run}]; r != nil {
		r.stopped, r.settled = true, now
	}
}

// TakeOrders returns the orders that came up since the last call.
func (c *Controller) TakeOrders(now tmclock.Millis) ([]StartOrder, []StopOrder, []PaceOrder) {
	for _, e := range c.endpoints {
		if e.stopping == 0 {
			continue
		}
		for _, r := range e.runs {
			if r.stop && r.stopAt == 0 {
				c.sendStop(r, now)
			}
		}
	}
	starts, stops, paces := c.starts, c.stops, c.paces
	c.starts, c.stops, c.paces = nil, nil, nil
	return starts, stops, paces
}

// maxRows bounds the rows that one flush writes or removes: a transaction of the
// store holds at most 100 entries, and the caller adds some.
const maxRows = 74

// dirtyJobs returns how many of the changed jobs fit into one flush.
func (c *Controller) dirtyJobs() int {
	rows := 0
	for n, j := range c.dirty {
		rows++
		if j.final {
			rows++
		}
		if rows > maxRows {
			return n
		}
	}
	return len(c.dirty)
}

// TakeFlush returns the changes that are to be stored next, or nil if there is
// nothing to store. One flush is under way at a time.
func (c *Controller) TakeFlush(now tmclock.Millis) *Flush {
	n := c.dirtyJobs()
	f := &Flush{}
	if len(c.fleet.unstored) > 0 {
		f.given, c.fleet.unstored = c.fleet.unstored, nil
		f.Orders = c.recentOrders(now)
	}
	for _, j := range c.dirty[:n] {
		j.dirty = false
		change := Change{Job: j.spec.ID, Queue: j.spec.Queue, Team: j.spec.Team}
		if j.final {
			change.Final = j.state
		} else {
			p := j.progress()
			change.Progress = &p
		}
		f.Changes = append(f.Changes, change)
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					for _, r := range t.active {
						if r.phase == planned {
							f.starts = append(f.starts, r)
						}
					}
				}
			}
		}
	}
	c.dirty = append([]*job(nil), c.dirty[n:]...)
	if len(c.dirty) == 0 {
		f.acks = map[string]int64{}
		for id, e := range c.endpoints {
			if e.seen > e.acked {
				f.acks[id] = e.seen
			}
		}
	}
	if n == 0 && len(f.acks) == 0 && f.Orders == nil {
		return nil
	}
	c.flushes++
	f.Number = c.flushes
	return f
}

// Stored takes in that a flush is stored: its placements may be ordered and
// its ends acknowledged.
func (c *Controller) Stored(f *Flush, now tmclock.Millis) {
	for id, seen := range f.acks {
		if e := c.endpoints[id]; e != nil && seen <= e.seen {
			e.acked = max(e.acked, seen)
		}
	}
	for _, r := range f.starts {
		if r.phase != planned || r.ep.runs[r.key()] != r {
			continue
		}
		if r.stop || r.ep.gone || r.ep.info.Draining || c.zonesOut[r.ep.info.Zone] {
			c.release(r)
			continue
		}
		c.sendStart(r, now)
	}
	c.fleet.orders = append(c.fleet.orders, f.given...)
	for _, change := range f.Changes {
		if j := c.jobs[change.Job]; j != nil {
			c.forgetIfIdle(j)
		}
	}
}
