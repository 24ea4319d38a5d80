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
	entryStartedAt := info.StartedAt
	if info.StartedAt == 0 {
		info.StartedAt = e.info.StartedAt
	}
	if e.info.isNewerThan(info) || e.gone && info.StartedAt == e.info.StartedAt {
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
	e.listed, e.entryStartedAt = true, entryStartedAt
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

// provesAbsence reports whether the list tells that a run is not there. All sends of its
// start order have been answered.
func (l *runList) provesAbsence(r *run) bool {
	return !l.runs[r.key()] && !l.truncated && l.sentAt.After(r.settledAt)
}

// resetLifetime ends the runs of the earlier lifetime of an endpoint that restarted under
// its id. list is what the new lifetime has listed, nil if that isn't known yet.
func (c *Controller) resetLifetime(e *endpoint, startedAt int64, list *runList) {
	lost := runsLostBy(e, list)
	if !e.gone {
		c.recordCrash(e, causeRestarted, lost)
		c.raiseToken(e)
	}
	c.settleLapse(e)
	e.info.StartedAt, e.info.Seq = startedAt, 0
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
	c.endRuns(lost, func(r *run) bool { return r.mayStartLate(list, c.now) }, causeRestarted)
	c.recallLateStarts(e)
}

// raiseToken raises the fencing token of an endpoint whose lifetime is over, so that the next
// lifetime carries out no more orders that were meant for this one once it has been called.
func (c *Controller) raiseToken(e *endpoint) {
	token, ok := c.tokens.Raise()
	if !ok {
		// The next owner has new ones.
		c.OwnerFenced(e.info.ID)
	}
	e.token, e.tokenAccepted = token, false
	c.endedLifetimes = append(c.endedLifetimes, e.info.ID)
}

// TakeEndedLifetimes returns the endpoints of which a lifetime has ended since the last call. What
// is under way there was meant for that lifetime.
func (c *Controller) TakeEndedLifetimes() []string {
	ended := c.endedLifetimes
	c.endedLifetimes = nil
	return ended
}

// acceptToken records that an endpoint has accepted its fencing token. Calls with a lower one, of an
// earlier owner or to an earlier lifetime, may have extended its lease as far as possible before, and
// extend it no more.
func (c *Controller) acceptToken(e *endpoint, now tmclock.Millis) {
	latest := now.Add(maxLeaseTime(c.bounds.MaxLease))
	switch {
	case e.tokenAccepted:
	case e.lifetime > 0:
		e.leaseExpiry = latest
	default:
		e.leaseExpiry = min(e.leaseExpiry, latest)
	}
	e.tokenAccepted = true
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

// endLifetime ends the lifetime of an endpoint that is known to be over.
func (c *Controller) endLifetime(e *endpoint, cause lossCause) {
	if e.gone {
		if !cause.mayReturn() {
			c.forgetLateStarts(e, cause)
		}
		return
	}
	e.gone, e.listed, e.answering = true, false, false
	e.forgetHealth()
	e.forgetPlans()
	c.event(tmevent.EndpointLost, "endpoint", e.info.ID, "runs", len(e.runs), "cause", string(cause))
	lost := runsLostBy(e, nil)
	c.recordCrash(e, cause, lost)
	c.settleLapse(e)
	c.raiseToken(e)
	if !cause.mayReturn() {
		c.forgetLateStarts(e, cause)
		return
	}
	c.endRuns(lost, func(r *run) bool { return r.sends.Late(c.now) > 0 }, cause)
	c.recallLateStarts(e)
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
		if !c.hasOtherPlace(s, p) {
			c.reportShortage(e.info.Service, 1)
			return
		}
		c.stopRun(r, "endpoint is draining")
	}
}
