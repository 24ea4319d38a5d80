package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

const (
	// busyHoldWait is how long an endpoint with tasks may wait for the end of one before
	// it answers a hold. Without tasks the wait is idleHoldWait, so that idle endpoints
	// are called less often.
	busyHoldWait = 1000 * tmclock.Millisecond
	idleHoldWait = 2000 * tmclock.Millisecond
)

// NextHold returns the content of the next hold call to an endpoint. It reports
// false once the endpoint needs no more calls.
func (c *Controller) NextHold(id string, now tmclock.Millis) (HoldRequest, bool) {
	e := c.endpoints[id]
	if e == nil || !e.needsHold() {
		return HoldRequest{}, false
	}
	h := HoldRequest{Address: e.info.Address, Token: e.token, Acked: e.acked}
	// A busy owner may always be late, so that it withholds them only once.
	isLate := now.Sub(e.answeredAt) > minRestartTime && !e.acksWithheld
	e.acksWithheld = !e.answering || isLate
	if e.acksWithheld {
		h = h.WithoutAcks()
	}
	// The lease of an endpoint that doesn't answer is not extended. Each unanswered
	// hold may still arrive and extend the lease, so the runs of the endpoint could
	// never be considered ended. No lease is extended either if the ownership has not
	// been confirmed for maxUnconfirmedTime, because another owner may have taken over.
	if e.tokenAccepted && e.answering && now.Sub(c.confirmedAt) < maxUnconfirmedTime {
		h.Until = e.grantLease(c.bounds.Lease, now)
	}
	if e.tokenAccepted && e.seen == e.acked {
		h.Wait = e.holdWait()
	}
	h.Overdue = c.holdOverdue(e, h.Wait, now)
	return h, true
}

// ListRequest returns a call for the list of runs of an endpoint, beside the hold that is
// under way there. It reports false if there is nothing to list.
func (c *Controller) ListRequest(id string) (HoldRequest, bool) {
	e := c.endpoints[id]
	if e == nil || e.gone || len(e.runs) == 0 {
		return HoldRequest{}, false
	}
	return HoldRequest{Address: e.info.Address, Token: e.token}, true
}

// needsHold reports whether an endpoint is to be called. One that has crashed is called as long
// as its next lifetime may carry out orders that were meant for it.
func (e *endpoint) needsHold() bool {
	return e.info.Address != "" && (e.listed && !e.gone || len(e.runs)+len(e.lateStarts) > 0)
}

// minRestartTime is the least time in which an endpoint can crash and start again. After a
// longer pause it may be another lifetime that a hold reaches, and that would take an
// acknowledgement for one of its own ends.
const minRestartTime = 200 * tmclock.Millisecond

// HasUnstoredEnds reports whether an endpoint has listed ends whose effects are not stored
// yet.
func (c *Controller) HasUnstoredEnds(id string) bool {
	e := c.endpoints[id]
	return e != nil && e.seen > e.acked
}

// holdOverdueMargin is added to the time at which a hold is expected to be answered. It
// covers run times that are longer than expected.
const holdOverdueMargin = 150 * tmclock.Millisecond

// holdOverdue returns after what time a missing answer to a hold with the given wait
// means that the call was probably lost: when the first run was expected to have ended.
// It returns 0 if that can't be told before wait has passed.
func (c *Controller) holdOverdue(e *endpoint, wait tmclock.Span, now tmclock.Millis) tmclock.Span {
	if wait == 0 {
		return holdOverdueMargin
	}
	first := wait
	for _, r := range e.runs {
		if r.task.step.spec.LongRunning || r.startedAt == 0 {
			continue
		}
		ends := r.startedAt.Add(tmclock.Span(c.estimate(r.task.step.occ.job.spec.Queue, r.task.step.spec)))
		first = min(first, max(0, ends.Sub(now)))
	}
	if overdue := first + holdOverdueMargin; overdue < wait {
		return overdue
	}
	return 0
}

// HoldOverdue returns after what time the answer to a hold that is under way at an
// endpoint is overdue, 0 if that can't be told.
func (c *Controller) HoldOverdue(id string, now tmclock.Millis) tmclock.Span {
	e := c.endpoints[id]
	if e == nil {
		return 0
	}
	return c.holdOverdue(e, idleHoldWait, now)
}

func (e *endpoint) holdWait() tmclock.Span {
	switch {
	case len(e.runs) == 0:
		return idleHoldWait
	case e.serving > 0 && e.bestEffort > 0:
		return paceHoldWait
	case e.isolated != nil || e.stopping > 0:
		return MinWorkTime
	}
	return busyHoldWait
}

// maxUnconfirmedTime is how long an owner keeps renewing leases without a
// confirmation that it still owns the fleet. A later owner that can't reach an
// endpoint waits for this time plus the lease before it considers the endpoint's runs
// ended.
const maxUnconfirmedTime = 10 * tmclock.Second

// OwnershipConfirmed records that this node was seen to own the fleet.
func (c *Controller) OwnershipConfirmed(now tmclock.Millis) { c.confirmedAt = now }

// HoldAnswered handles the response to a hold. It reports whether the caller has to plan again
// or to send orders.
func (c *Controller) HoldAnswered(id string, response HoldResponse, call HoldCall, now tmclock.Millis) (news bool) {
	e := c.endpoints[id]
	if e == nil || e.isOvertaken(response, call) {
		return false
	}
	c.neighbours.reached(now)
	news = len(response.Ended) > 0 || !e.answering || !e.tokenAccepted
	list := response.list(call.SentAt)
	if response.StartedAt > e.info.StartedAt && e.info.StartedAt != 0 || (e.tokenAccepted || e.gone) && response.Clock < e.clock {
		c.event(tmevent.EndpointRestarted, "endpoint", id, "born", response.StartedAt)
		c.resetLifetime(e, max(response.StartedAt, e.info.StartedAt), list)
	}
	if response.Clock > e.clock {
		e.clock, e.clockAt = response.Clock, now
	}
	if !e.answering {
		c.event(tmevent.EndpointAnswers, "endpoint", id, "runs", len(response.Active), "ends", len(response.Ended))
	}
	if !e.tokenAccepted {
		c.endReplacedLifetimes(e.info)
	}
	e.gone, e.answering, e.answeredAt = false, true, now
	if call.Token >= e.token {
		c.acceptToken(e, now)
	}
	c.forgetLapse(e)
	for _, end := range response.Ended {
		if end.Number > e.seen {
			e.seen = end.Number
			c.recordEnd(e, end, now)
		}
	}
	e.unknownRuns = 0
	for _, a := range response.Active {
		if r := e.runs[runKey{a.Task, a.Run}]; r != nil {
			c.updateActive(r, a, now)
		} else {
			c.stopUnknown(e, a, now)
		}
	}
	if e.tokenAccepted {
		c.reconcileAllMissing(e, list, now)
	}
	c.planPaces(e, now)
	c.checkProgress(e, now)
	return news || e.stopping > 0 || len(c.stops)+len(c.paces) > 0
}

// isOvertaken reports whether a response is older than what is known of the endpoint: from an
// earlier lifetime, from an earlier time of the same one, or from before this one was found to
// be over. Answers to holds that are under way at the same time may arrive in any order.
func (e *endpoint) isOvertaken(response HoldResponse, call HoldCall) bool {
	if e.gone && response.StartedAt <= e.info.StartedAt && call.Token < e.token {
		return true
	}
	if response.StartedAt == 0 || response.StartedAt > e.info.StartedAt {
		return false
	}
	return response.StartedAt < e.info.StartedAt || e.tokenAccepted && response.Clock < e.clock
}

// list returns the runs that the response lists. The hold was sent at sentAt.
func (response *HoldResponse) list(sentAt tmclock.Millis) *runList {
	l := &runList{runs: map[runKey]bool{}, sentAt: sentAt, truncated: response.Truncated}
	for _, end := range response.Ended {
		l.runs[runKey{end.Task, end.Run}] = true
	}
	for _, a := range response.Active {
		l.runs[runKey{a.Task, a.Run}] = true
	}
	return l
}

// HoldFailed records that a hold at an endpoint got no valid response.
func (c *Controller) HoldFailed(id string, cause string, now tmclock.Millis) {
	e := c.endpoints[id]
	if e == nil || !e.answering {
		return
	}
	e.answering, e.silentAt = false, now
	c.event(tmevent.EndpointSilent, "endpoint", id, "runs", len(e.runs), "cause", cause)
}

// OwnerFenced records that a call was rejected because of a higher fencing token,
// which means that another process owns the fleet. id is the endpoint or instance
// that was called.
func (c *Controller) OwnerFenced(id string) {
	if !c.deposed {
		c.deposed = true
		c.event(tmevent.OwnerDeposed, "endpoint", id, "token", c.tokens.Current())
	}
}

// HoldFenced records that a hold was rejected because of a higher fencing token.
func (c *Controller) HoldFenced(id string, call HoldCall) {
	if e := c.endpoints[id]; e == nil || call.Token >= e.token {
		c.OwnerFenced(id)
	}
}

// orderFenced records that an order was rejected because of a higher fencing token. It reports
// false if that is the token to which this owner itself has raised that of the endpoint since.
func (c *Controller) orderFenced(ref RunRef) bool {
	if e := c.endpoints[ref.Endpoint]; e != nil && ref.Token < e.token {
		return false
	}
	c.OwnerFenced(ref.Endpoint)
	return true
}

func (c *Controller) updateActive(r *run, a ActiveRun, now tmclock.Millis) {
	if r.phase != active {
		r.phase = active
		if r.startedAt == 0 {
			r.startedAt = now
		}
	}
	c.markAnswered(r)
	r.settledAt, r.unanswered = now, false
	r.markBegun()
	r.listed, r.crashed = true, false
	r.atWork = r.atWork || now.Sub(r.startedAt) >= MinWorkTime
	c.exonerate(r.task.culprit())
	if a.Percent != r.percent {
		r.progressedAt = now
	}
	r.percent, r.usage = a.Percent, a.Usage
	c.observeServing(r, now)
	r.task.setCheckpoint(a.Checkpoint)
	if r.stop {
		c.sendStop(r, now)
	}
}

func (c *Controller) stopUnknown(e *endpoint, a ActiveRun, now tmclock.Millis) {
	e.unknownRuns++
	ref := RunRef{Task: a.Task, Run: a.Run, Endpoint: e.info.ID, SentAt: now, Token: e.token}
	c.event(tmevent.RunUnexplained, "task", a.Task.String(), "run", a.Run, "endpoint", e.info.ID)
	c.stops = append(c.stops, StopOrder{Ref: ref, Address: e.info.Address})
}

// reconcileAllMissing handles the runs that an endpoint doesn't list. A truncated list
// doesn't tell what became of them.
func (c *Controller) reconcileAllMissing(e *endpoint, list *runList, now tmclock.Millis) {
	if list.truncated {
		return
	}
	for key, r := range e.runs {
		if !list.runs[key] {
			c.reconcileMissing(r, list.sentAt, now)
		}
	}
}

// reconcileMissing handles a run that its endpoint doesn't list. The list was
// requested at sentAt.
func (c *Controller) reconcileMissing(r *run, sentAt, now tmclock.Millis) {
	switch {
	case r.phase == planned || r.inFlight || !sentAt.After(r.settledAt):
		return
	case r.phase == unconfirmed, r.phase == active, r.stopConfirmed:
		c.event(tmevent.RunGone, "task", r.task.id.String(), "run", r.n, "endpoint", r.ep.info.ID, "cause", "not listed by its endpoint")
		c.release(r)
	case r.stop:
		c.sendStop(r, now)
	case r.unanswered:
		c.retryStart(r, now)
	}
}
