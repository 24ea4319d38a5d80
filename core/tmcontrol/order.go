package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

const (
	// stopRetryInterval is the minimum time between two stop orders for one run.
	stopRetryInterval = 500 * tmclock.Millisecond
	// maxStartTries is how often a start order that gets no answer is sent before the
	// run is stopped.
	maxStartTries = 3
	// slowStartAnswer is how long a start order may stay unanswered before its
	// endpoint is avoided, and also how long the endpoint is then avoided.
	slowStartAnswer = 250 * tmclock.Millisecond
	// refusedStartDelay is the delay before the next start of a task whose start was
	// refused. After the answer Refused the delay is a second.
	refusedStartDelay = 50 * tmclock.Millisecond
)

// sendStart emits the start order of a run.
func (c *Controller) sendStart(r *run, now tmclock.Millis) {
	r.phase, r.inFlight, r.sentAt = ordered, true, now
	r.tries++
	r.sends.Sent(now)
	if r.pending {
		c.unansweredStarts = append(c.unansweredStarts, r)
	}
	e := r.ep
	c.starts = append(c.starts, StartOrder{
		Ref:        RunRef{Task: r.task.id, Run: r.n, Endpoint: e.info.ID, SentAt: now, Token: e.token},
		Address:    e.info.Address,
		Spec:       r.task.step.occ.job.spec.Spec,
		Until:      e.grantLease(startValidity, now),
		Checkpoint: r.startCheckpoint(),
		Ticket:     r.ticket,
	})
}

// startCheckpoint returns the checkpoint that a run starts from. A run that is a member of a
// gang keeps to that of its first order.
func (r *run) startCheckpoint() string {
	if r.task.step.spec.Gang {
		return r.gangCheckpoint
	}
	return r.task.checkpoint
}

// retryStart repeats a start order that got no answer, or stops the run if the start is not
// permitted any more. While that is not known it does neither.
func (c *Controller) retryStart(r *run, now tmclock.Millis) {
	if c.stale {
		return
	}
	switch {
	case r.tries >= maxStartTries, !c.mayStart(r), !c.renewTicket(r, now) && !c.mayAwaitTicket(r, now):
		c.stopRun(r, "start got no answer")
		c.sendStop(r, now)
	case r.awaitsTicket():
	default:
		c.sendStart(r, now)
	}
}

// dropSlowStarts stops counting a start as pending after slowStartAnswer without an
// answer, so that a slow endpoint doesn't hold back the starts on others, and avoids the
// endpoint. From then on the start is overdue.
func (c *Controller) dropSlowStarts(now tmclock.Millis) {
	for len(c.unansweredStarts) > 0 && now.Sub(c.unansweredStarts[0].sentAt) >= slowStartAnswer {
		r := c.unansweredStarts[0]
		c.unansweredStarts = c.unansweredStarts[1:]
		if r.pending && r.inFlight {
			r.ep.blockedUntil = max(r.ep.blockedUntil, now.Add(slowStartAnswer))
			c.markAnswered(r)
			r.overdue = true
			c.overdue++
		}
	}
}

// Started handles the answer to a start order.
func (c *Controller) Started(ref RunRef, a Answer, now tmclock.Millis) {
	r := c.findRun(ref)
	if r == nil || r.sentAt != ref.SentAt {
		c.SendAnswered(ref, a, now)
		return
	}
	e := r.ep
	r.inFlight = false
	r.startAnswered(a, now)
	c.recordStart(r, a, now)
	c.recordTicket(r, a, now)
	c.markAnswered(r)
	if a != Accepted {
		c.event(tmevent.StartAnswer, "task", ref.Task.String(), "run", ref.Run, "endpoint", ref.Endpoint, "answer", a.String(), "try", r.tries)
	}
	switch a {
	case Accepted:
		r.phase, r.settledAt, r.unanswered = active, now, false
		r.markBegun()
		if r.startedAt == 0 {
			r.startedAt = now
		}
		if r.stop {
			c.sendStop(r, now)
		}
	case Fenced:
		if !c.orderFenced(ref) {
			c.notStarted(r, a, now)
		}
	case Superseded:
		// The run, or a later one of its task, has ended or been stopped at the endpoint.
		// The next response to a hold shows whether the run ended.
		r.settledAt, r.stopConfirmed = now, true
	case TooLate, NoRoom, BadTicket, Unhealthy, Refused, NotSent, NoConnection:
		c.notStarted(r, a, now)
	case OtherEndpoint:
		e.blockedUntil = now.Add(avoidTime)
		c.notStarted(r, a, now)
	case Undelivered, NoAnswer:
		r.settledAt, r.unanswered = now, true
		e.blockedUntil = now.Add(avoidTime)
	}
}

// notStarted handles a refused start. If an earlier start order for the run got no
// answer, only a stop guarantees that it is not carried out later.
func (c *Controller) notStarted(r *run, a Answer, now tmclock.Millis) {
	if a != TooLate && a != BadTicket && a != NoConnection {
		r.ep.blockedUntil = now.Add(avoidTime)
	}
	if r.unanswered || r.tries > 1 {
		r.settledAt = now
		c.stopRun(r, "start refused after one without an answer")
		return
	}
	if a == Refused {
		r.task.notBefore = now.Add(tmclock.Second)
	} else {
		r.task.notBefore = now.Add(refusedStartDelay)
	}
	c.release(r)
}

// stopRun marks a run to be stopped. A run whose start was not ordered yet is dropped
// once its placement is stored.
func (c *Controller) stopRun(r *run, why string) {
	if r.stop {
		return
	}
	r.stop, r.stopReason = true, why
	if r.ep.runs[r.key()] == r {
		r.ep.stopping++
	}
	c.event(tmevent.RunStopping, "task", r.task.id.String(), "run", r.n, "endpoint", r.ep.info.ID, "why", why)
}

// sendStop emits a stop order, unless one was sent recently or none can be sent
// yet.
func (c *Controller) sendStop(r *run, now tmclock.Millis) {
	if r.phase == planned || r.inFlight || r.ep.info.Address == "" || !r.ep.tokenAccepted ||
		(r.stopSentAt != 0 && now.Sub(r.stopSentAt) < stopRetryInterval) {
		return
	}
	r.stopSentAt = now
	ref := RunRef{Task: r.task.id, Run: r.n, Endpoint: r.ep.info.ID, SentAt: now, Token: r.ep.token}
	c.stops = append(c.stops, StopOrder{Ref: ref, Address: r.ep.info.Address})
}

// Stopped handles the answer to a stop order.
func (c *Controller) Stopped(ref RunRef, a Answer, now tmclock.Millis) {
	if a == Fenced {
		c.orderFenced(ref)
	}
	e := c.endpoints[ref.Endpoint]
	if e == nil || a != Accepted {
		return
	}
	if r := e.runs[runKey{ref.Task, ref.Run}]; r != nil {
		r.stopConfirmed, r.settledAt = true, now
	}
}

// TakeOrders returns the orders issued since the last call.
func (c *Controller) TakeOrders(now tmclock.Millis) ([]StartOrder, []StopOrder, []PaceOrder) {
	for _, e := range c.endpoints {
		if e.stopping == 0 {
			continue
		}
		for _, r := range e.runs {
			if r.stop && r.stopSentAt == 0 {
				c.sendStop(r, now)
			}
		}
	}
	c.dropEarlierStarts(now)
	starts, stops, paces := c.starts, c.stops, c.paces
	c.starts, c.stops, c.paces = nil, nil, nil
	return starts, stops, paces
}

// dropEarlierStarts drops the start orders that were meant for a lifetime that has ended since.
func (c *Controller) dropEarlierStarts(now tmclock.Millis) {
	var dropped []StartOrder
	c.starts = slices.DeleteFunc(c.starts, func(s StartOrder) bool {
		e := c.endpoints[s.Ref.Endpoint]
		if e != nil && e.token == s.Ref.Token {
			return false
		}
		dropped = append(dropped, s)
		return true
	})
	for _, s := range dropped {
		c.Started(s.Ref, NotSent, now)
	}
}

// startPlaced orders the starts whose placements are stored, and releases those that are
// not permitted any more: storing them may have taken long. The members of a gang start
// together or not at all, so that those of which others are not stored yet wait for them.
func (c *Controller) startPlaced(runs []*run, now tmclock.Millis) {
	gangs := map[*step]bool{}
	for _, r := range runs {
		r.placementStored = true
		s := r.task.step
		switch {
		case !r.isPlaced():
		case s.spec.Gang:
			gangs[s] = true
		case !c.mayStart(r):
			c.release(r)
		case c.renewTicket(r, now):
			c.sendStart(r, now)
		default:
			c.awaitTickets([]*run{r}, now)
		}
	}
	for s := range gangs {
		c.startGang(s, now)
	}
}

// startGang orders the starts of the members of a gang once all their placements are stored.
func (c *Controller) startGang(s *step, now tmclock.Millis) {
	var members []*run
	mayStart, hasTickets := true, true
	for _, t := range s.tasks {
		for _, r := range t.active {
			if !r.isPlaced() {
				continue
			}
			if !r.placementStored {
				return
			}
			members = append(members, r)
			mayStart = mayStart && c.mayStart(r)
			hasTickets = c.renewTicket(r, now) && hasTickets
		}
	}
	if mayStart && !hasTickets {
		c.awaitTickets(members, now)
		return
	}
	checkpoint := s.gangCheckpoint()
	for _, r := range members {
		if mayStart {
			r.gangCheckpoint = checkpoint
			c.sendStart(r, now)
		} else {
			c.release(r)
		}
	}
}

// isPlaced reports whether a run is still planned.
func (r *run) isPlaced() bool { return r.phase == planned && r.ep.runs[r.key()] == r }

// mayStart reports whether a run that was placed earlier may be started by what is known
// now. The run is included in what its team and its endpoint use.
func (c *Controller) mayStart(r *run) bool {
	s := r.task.step
	q, ok := c.rules.Queues[s.occ.job.spec.Queue]
	return !c.stale && !r.stop && ok && q.Service == r.ep.info.Service &&
		r.ep.mayStart() && !c.zonesOut[r.ep.info.Zone] && c.withinLimit(s, 0)
}
