package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

// SetEndpoint adds or updates an endpoint from the list of endpoints.
func (c *Controller) SetEndpoint(info EndpointInfo, now tmclock.Millis) {
	e := c.endpoints[info.ID]
	if e == nil {
		e = c.addEndpoint(info)
		e.listedAt = now
		c.event(tmevent.EndpointListed, "endpoint", info.ID, "service", info.Service, "instance", info.Instance, "zone", info.Zone)
		c.reserveFor(e)
		return
	}
	if e.gone && info.StartedAt <= e.info.StartedAt {
		return
	}
	if info.StartedAt > e.info.StartedAt && e.info.StartedAt != 0 {
		c.resetLifetime(e, info.StartedAt, nil)
		e.listedAt = now
	}
	if info.Draining && !e.info.Draining {
		c.event(tmevent.EndpointDraining, "endpoint", info.ID)
	}
	if !e.listed && e.info.Service == "" {
		c.event(tmevent.EndpointListed, "endpoint", info.ID, "service", info.Service, "instance", info.Instance, "zone", info.Zone)
	}
	c.setInfo(e, info)
	e.listed = true
}

// endReplacedLifetimes ends the earlier lifetimes on the instance of an endpoint that has
// answered, because an instance has one endpoint at a time. The list alone doesn't show
// that: it may hold entries of other writers.
func (c *Controller) endReplacedLifetimes(info EndpointInfo) {
	for _, old := range c.onInstance[info.Instance] {
		if old.info.ID != info.ID && old.info.StartedAt <= info.StartedAt {
			c.endLifetime(old, causeReplaced)
		}
	}
}

// RemoveEndpoint records that an endpoint left the list. Its runs are kept until
// their lease has certainly expired.
func (c *Controller) RemoveEndpoint(id string) {
	if e := c.endpoints[id]; e != nil && e.listed {
		e.listed = false
		c.event(tmevent.EndpointUnlisted, "endpoint", id, "runs", len(e.runs))
	}
}

// runList is what an endpoint has listed as active or ended, in answer to a hold that was
// sent at sentAt.
type runList struct {
	runs   map[runKey]bool
	sentAt tmclock.Millis
	// truncated is set if runs that are not listed may have ended.
	truncated bool
}

// shows reports whether the list tells what became of a run: it is there, or it can no
// longer start.
func (l *runList) shows(r *run) bool {
	return l.runs[r.key()] || !l.truncated && !r.inFlight && !r.unanswered && l.sentAt.After(r.settledAt)
}

// resetLifetime ends the runs of the earlier lifetime of an endpoint that restarted under
// its id. list is what the new lifetime has listed, nil if that isn't known yet.
func (c *Controller) resetLifetime(e *endpoint, startedAt int64, list *runList) {
	lost := runsLostBy(e, list)
	c.recordCrash(e, causeRestarted, lost)
	c.settleLapse(e)
	e.info.StartedAt = startedAt
	e.lifetime++
	e.tokenAccepted, e.answering = false, false
	e.seen, e.acked, e.clock, e.unknownRuns = 0, 0, 0, 0
	// A call with a time on the clock of the earlier lifetime may still arrive, and extend
	// the lease as far as possible.
	e.leaseExpiry = c.now.Add(maxLeaseTime(c.bounds.MaxLease))
	e.gone, e.reserved, e.ending = false, false, false
	e.forgetHealth()
	e.forgetPlans()
	e.isolated = nil
	e.place.Restarted()
	for _, r := range lost {
		if r.mayStartLate(list) {
			c.stopLateStart(r)
		} else {
			c.loseRun(r, causeRestarted)
		}
	}
}

// forgetPlans drops what was planned for an earlier lifetime of an endpoint.
func (e *endpoint) forgetPlans() {
	e.vacatingSince, e.noVacateBefore, e.reservedRoom = 0, 0, nil
}

// runsLostBy returns the runs that the new lifetime of an endpoint has not listed.
func runsLostBy(e *endpoint, list *runList) []*run {
	var lost []*run
	for key, r := range e.runs {
		if list == nil || !list.runs[key] {
			lost = append(lost, r)
		}
	}
	return lost
}

// mayStartLate reports whether the new lifetime of its endpoint may have carried out the
// start order of a run, or may still do so. An order is not bound to a lifetime.
func (r *run) mayStartLate(list *runList) bool {
	if r.phase == planned || r.listed {
		return false
	}
	return list == nil || !list.shows(r)
}

// stopLateStart stops a run whose start order the new lifetime of its endpoint may carry out.
// Until the endpoint shows that it is gone, the task must not start elsewhere.
func (c *Controller) stopLateStart(r *run) {
	c.stopRun(r, string(causeRestarted))
	r.stopSentAt, r.stopConfirmed, r.crashed = 0, false, true
}

func (c *Controller) endLifetime(e *endpoint, cause lossCause) {
	if e.gone {
		return
	}
	e.gone, e.listed, e.answering = true, false, false
	e.forgetHealth()
	e.forgetPlans()
	c.event(tmevent.EndpointLost, "endpoint", e.info.ID, "runs", len(e.runs), "cause", string(cause))
	c.recordCrash(e, cause, runsLostBy(e, nil))
	c.settleLapse(e)
	c.loseRuns(e, cause)
}

func (c *Controller) loseRuns(e *endpoint, cause lossCause) {
	for _, r := range e.runs {
		c.loseRun(r, cause)
	}
}

func (c *Controller) loseRun(r *run, cause lossCause) {
	c.event(tmevent.RunLost, "task", r.task.id.String(), "run", r.n, "endpoint", r.ep.info.ID, "at_work", r.atWork, "cause", string(cause))
	c.release(r)
}

// drainLongRunning stops the long-running tasks of a draining endpoint that can be
// placed elsewhere, before the endpoint exits.
func (c *Controller) drainLongRunning(e *endpoint, now tmclock.Millis) {
	if e.longRunning == (tmjob.Resources{}) {
		return
	}
	p := c.pools(now)[e.info.Service]
	for _, r := range longRuns(e) {
		s := r.task.step
		if r.stop || r.phase != active {
			continue
		}
		if p == nil || c.choose(s, p, now) == nil {
			c.reportShortage(e.info.Service, 1)
			return
		}
		c.stopRun(r, "endpoint is draining")
	}
}
