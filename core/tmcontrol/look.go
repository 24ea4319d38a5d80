package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

const (
	// waitTime is how long a hold may wait at the endpoint for the end of a task;
	// an endpoint without tasks is asked less often.
	waitTime     = 1000 * tmclock.Millisecond
	idleWaitTime = 2000 * tmclock.Millisecond
)

// SetEndpoint takes in an entry of the list of endpoints.
func (c *Controller) SetEndpoint(l Listing, now tmclock.Millis) {
	e := c.endpoints[l.ID]
	if e == nil {
		e = c.addEndpoint(l)
		e.listedAt = now
		c.event(tmevent.EndpointListed, "endpoint", l.ID, "service", l.Service, "instance", l.Instance, "zone", l.Zone)
		c.replaceOn(l)
		c.reserveFor(e)
		return
	}
	if e.gone && l.Born <= e.info.Born {
		return
	}
	if l.Born > e.info.Born && e.info.Born != 0 {
		c.reborn(e, l.Born)
		e.listedAt = now
	}
	if l.Draining && !e.info.Draining {
		c.event(tmevent.EndpointDraining, "endpoint", l.ID)
	}
	if !e.listed && e.info.Service == "" {
		c.event(tmevent.EndpointListed, "endpoint", l.ID, "service", l.Service, "instance", l.Instance, "zone", l.Zone)
	}
	c.setInfo(e, l)
	e.listed = true
}

// replaceOn ends the earlier lifetimes on the instance of a new endpoint: an
// instance has one endpoint at a time.
func (c *Controller) replaceOn(l Listing) {
	for _, old := range c.onInstance[l.Instance] {
		if old.info.ID != l.ID && old.info.Born <= l.Born {
			c.endLife(old, "instance has a new endpoint")
		}
	}
}

// RemoveEndpoint takes in that an endpoint left the list. Its runs stay until
// their lease has surely lapsed.
func (c *Controller) RemoveEndpoint(id string) {
	if e := c.endpoints[id]; e != nil && e.listed {
		e.listed = false
		c.event(tmevent.EndpointUnlisted, "endpoint", id, "runs", len(e.runs))
	}
}

// reborn ends the runs of the earlier lifetime of an endpoint that started
// again under its id.
func (c *Controller) reborn(e *endpoint, born int64) {
	c.loseRuns(e, "endpoint restarted")
	e.info.Born = born
	e.fenced, e.answering = false, false
	e.seen, e.acked, e.clock, e.strange, e.lapse = 0, 0, 0, 0, 0
	e.gone, e.reserved, e.ending, e.failures = false, false, false, 0
}

func (c *Controller) endLife(e *endpoint, cause string) {
	if e.gone {
		return
	}
	e.gone, e.listed, e.answering = true, false, false
	c.event(tmevent.EndpointLost, "endpoint", e.info.ID, "runs", len(e.runs), "cause", cause)
	c.loseRuns(e, cause)
}

func (c *Controller) loseRuns(e *endpoint, cause string) {
	for _, r := range e.runs {
		c.event(tmevent.RunLost, "task", r.task.id.String(), "run", r.n, "endpoint", e.info.ID, "cause", cause)
		c.release(r)
	}
}

// Hold returns what the next call to an endpoint carries. It reports false
// once the endpoint is of no interest.
func (c *Controller) Hold(id string, now tmclock.Millis) (Hold, bool) {
	e := c.endpoints[id]
	if e == nil || e.gone || (!e.listed && len(e.runs) == 0) || e.info.Address == "" {
		return Hold{}, false
	}
	h := Hold{Address: e.info.Address, Token: c.token, Seen: e.acked}
	// An endpoint that doesn't answer gets no longer lease: a call without an
	// answer may be carried out, so its runs could never be taken for ended. Nor
	// does any endpoint once this owner may long have been replaced.
	if e.fenced && e.answering && now.Sub(c.confirmed) < blindTime {
		h.Until = e.grant(c.bounds.Lease, now)
	}
	if e.fenced && e.seen == e.acked {
		h.Wait = e.waitTime()
	}
	return h, true
}

func (e *endpoint) waitTime() tmclock.Span {
	switch {
	case len(e.runs) == 0:
		return idleWaitTime
	case e.serving > 0 && e.filling > 0:
		return paceWait
	}
	return waitTime
}

// blindTime is how long an owner goes on renewing leases when it can't confirm that
// it still owns the fleet: a later owner that does not reach an endpoint waits for
// that time and the lease.
const blindTime = 10 * tmclock.Second

// Confirmed takes in that the node was seen to own the fleet.
func (c *Controller) Confirmed(now tmclock.Millis) { c.confirmed = now }

// Looked takes in the answer to a Hold that was sent at sentAt. It reports whether
// there is something to decide or to send.
func (c *Controller) Looked(id string, l Look, sentAt, now tmclock.Millis) (news bool) {
	e := c.endpoints[id]
	if e == nil || e.gone {
		return false
	}
	news = len(l.Ended) > 0 || !e.answering
	if l.Born > e.info.Born && e.info.Born != 0 || e.fenced && l.Clock < e.clock {
		c.event(tmevent.EndpointRestarted, "endpoint", id, "born", l.Born)
		c.reborn(e, max(l.Born, e.info.Born))
	}
	if l.Clock > e.clock {
		e.clock, e.clockAt = l.Clock, now
	}
	if !e.answering {
		c.event(tmevent.EndpointAnswers, "endpoint", id, "runs", len(l.Active), "ends", len(l.Ended))
	}
	e.fenced, e.answering = true, true
	listed := map[runKey]bool{}
	for _, end := range l.Ended {
		listed[runKey{end.Task, end.Run}] = true
		if end.Number > e.seen {
			e.seen = end.Number
			c.ended(e, end, now)
		}
	}
	e.strange = 0
	for _, a := range l.Active {
		key := runKey{a.Task, a.Run}
		listed[key] = true
		if r := e.runs[key]; r != nil {
			c.running(r, a, now)
		} else {
			c.stopStrange(e, a, now)
		}
	}
	for key, r := range e.runs {
		if !listed[key] {
			c.unlisted(r, sentAt, now)
		}
	}
	c.planPaces(e, now)
	c.judge(e, now)
	return news || e.stopping > 0 || len(c.stops)+len(c.paces) > 0
}

// Silent takes in that a call to an endpoint got no answer.
func (c *Controller) Silent(id string, cause string) {
	e := c.endpoints[id]
	if e == nil || !e.answering {
		return
	}
	e.answering = false
	c.event(tmevent.EndpointSilent, "endpoint", id, "runs", len(e.runs), "cause", cause)
}

// Fence takes in that an endpoint has seen a higher token: another process
// owns the fleet.
func (c *Controller) Fence(id string) {
	if !c.deposed {
		c.deposed = true
		c.event(tmevent.OwnerDeposed, "endpoint", id, "token", c.token)
	}
}

func (c *Controller) running(r *run, a Active, now tmclock.Millis) {
	if r.phase != active {
		r.phase = active
		if r.began == 0 {
			r.began = now
		}
	}
	c.answered(r)
	r.settled, r.doubt = now, false
	if a.Percent != r.percent {
		r.moved = now
	}
	r.percent, r.usage = a.Percent, a.Usage
	t := r.task
	if a.Saved != "" && a.Saved != t.saved {
		t.saved = a.Saved
	}
	if r.stop {
		c.sendStop(r, now)
	}
}

func (c *Controller) stopStrange(e *endpoint, a Active, now tmclock.Millis) {
	e.strange++
	ref := RunRef{Task: a.Task, Run: a.Run, Endpoint: e.info.ID, SentAt: now}
	c.event(tmevent.RunUnexplained, "task", a.Task.String(), "run", a.Run, "endpoint", e.info.ID)
	c.stops = append(c.stops, StopOrder{Ref: ref, Address: e.info.Address, Token: c.token})
}

// unlisted decides about a run that an endpoint doesn't list, by a list that
// was asked for at sentAt.
func (c *Controller) unlisted(r *run, sentAt, now tmclock.Millis) {
	switch {
	case r.phase == planned || r.inFlight || !sentAt.After(r.settled):
		return
	case r.phase == doubtful, r.phase == active, r.stopped:
		c.event(tmevent.RunGone, "task", r.task.id.String(), "run", r.n, "endpoint", r.ep.info.ID, "cause", "not listed by its endpoint")
		c.release(r)
	case r.stop:
		c.sendStop(r, now)
	case r.doubt:
		c.retryStart(r, now)
	}
}

func (c *Controller) ended(e *endpoint, end Ended, now tmclock.Millis) {
	r := e.runs[runKey{end.Task, end.Run}]
	t := c.findTask(end.Task)
	c.event(tmevent.RunEnded, "task", end.Task.String(), "run", end.Run, "endpoint", e.info.ID, "how", end.How.String(), "number", end.Number)
	if r != nil && r.began != 0 && end.How == EndDone {
		c.learn(r, now)
	}
	if r != nil {
		c.release(r)
	}
	if t == nil {
		return
	}
	if end.Saved != "" {
		t.saved = end.Saved
	}
	// A run that the controller does not hold was settled before: its failure
	// is counted in what an earlier owner stored. That it is done is always
	// true.
	if !t.step.occ.job.final && !t.done && (r != nil || end.How == EndDone) {
		c.takeEnd(t, e, end, now)
	}
}

func (c *Controller) findTask(id tmjob.TaskID) *task {
	if j := c.jobs[id.Job]; j != nil {
		return j.task(id)
	}
	return nil
}

// takeEnd counts the end of a run for its task.
func (c *Controller) takeEnd(t *task, e *endpoint, end Ended, now tmclock.Millis) {
	j := t.step.occ.job
	c.touch(j)
	switch end.How {
	case EndDone:
		e.failures = 0
		if t.step.spec.LongRunning {
			return
		}
		if t.step.spec.Gang {
			for _, member := range t.step.tasks {
				c.markDone(member)
			}
		} else {
			c.markDone(t)
		}
		c.closeOccurrence(t.step.occ)
	case EndFailed:
		e.failures++
		if e.failures >= failuresToAvoid {
			e.avoid = now.Add(failingAvoidTime)
			c.event(tmevent.EndpointAvoided, "endpoint", e.info.ID, "failures", e.failures, "for_ms", int64(failingAvoidTime))
		}
		if t.step.spec.LongRunning {
			return
		}
		t.failures++
		j.failed = true
		limit := c.rules.Queues[j.spec.Queue].Attempts
		if limit > 0 && t.failures >= limit {
			c.finish(j, tmjob.Failed, "task "+t.id.String()+" failed too often")
		}
	case EndStopped, EndLapsed, EndBroken, EndAlone:
	}
}

const (
	// failuresToAvoid is how many runs in a row fail at an endpoint before it
	// gets nothing new for failingAvoidTime.
	failuresToAvoid  = 3
	failingAvoidTime = 4 * tmclock.Second
)

func (c *Controller) markDone(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.step.left--
	if t.step.left == 0 {
		t.step.occ.left--
	}
	for _, r := range append([]*run(nil), t.active...) {
		// The members of a gang end by themselves. Else it is a copy, or a run that
		// was started when the lease of the one that is done had lapsed: an order
		// without an answer would start it later if it were not stopped.
		if !t.step.spec.Gang {
			c.stopRun(r, "another run is done")
		}
	}
}

// closeOccurrence drops an occurrence that is done, and with the last one
// completes the job.
func (c *Controller) closeOccurrence(o *occurrence) {
	if o.left > 0 {
		return
	}
	j := o.job
	c.event(tmevent.OccurrenceDone, "job", j.spec.ID, "occurrence", o.k)
	for k := range j.spec.Occurrences() {
		if k >= j.next {
			return
		}
		if open := j.occurrences[k]; open != nil && open.left > 0 {
			return
		}
	}
	c.finish(j, tmjob.Completed, "all tasks are done")
}

// Tick takes in the passing of time: leases that have surely lapsed, orders to
// repeat, and occurrences that have come due.
func (c *Controller) Tick(now tmclock.Millis, wall int64) {
	c.now = now
	c.forgetPast(now)
	c.giveUpWaiting(now)
	for _, e := range c.endpoints {
		if len(e.runs) > 0 && !e.answering && now.After(e.lapse) {
			c.loseRuns(e, "lease lapsed")
		}
		if !e.listed && len(e.runs) == 0 {
			c.removeEndpoint(e)
			continue
		}
		if e.info.Draining && e.listed {
			c.leave(e, now)
		}
		if e.stopping == 0 {
			continue
		}
		for _, r := range e.runs {
			if r.stop {
				c.sendStop(r, now)
			}
		}
	}
	for _, j := range c.order {
		c.openDue(j, now, wall)
	}
}

// pastTime is how long a final job is remembered: longer than any feed lags.
const pastTime = 2 * tmclock.Minute

// forgetPast drops the jobs that became final long ago, now and then.
func (c *Controller) forgetPast(now tmclock.Millis) {
	if now.Sub(c.pastSwept) < pastTime/4 {
		return
	}
	c.pastSwept = now
	for id, at := range c.past {
		if now.Sub(at) > pastTime && c.jobs[id] == nil {
			delete(c.past, id)
		}
	}
}

// leave stops the long-running tasks of a draining endpoint that have another
// place, before the endpoint exits.
func (c *Controller) leave(e *endpoint, now tmclock.Millis) {
	if e.long == (tmjob.Resources{}) {
		return
	}
	p := c.pools(now)[e.info.Service]
	for _, r := range longRuns(e) {
		s := r.task.step
		if r.stop || r.phase != active {
			continue
		}
		if p == nil || c.choose(s, p, now) == nil {
			c.starve(e.info.Service, 1)
			return
		}
		c.stopRun(r, "its endpoint drains")
	}
}

func (c *Controller) openDue(j *job, now tmclock.Millis, wall int64) {
	for j.next < j.spec.Occurrences() {
		if j.spec.Repeats > 0 && wall < j.spec.Due(j.next) {
			return
		}
		c.arrived(j.open(j.next), now, wall)
		if j.spec.Repeats > 0 {
			c.touch(j)
		}
	}
}
