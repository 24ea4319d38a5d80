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
		c.endReplacedLifetimes(info)
		c.reserveFor(e)
		return
	}
	if e.gone && info.StartedAt <= e.info.StartedAt {
		return
	}
	if info.StartedAt > e.info.StartedAt && e.info.StartedAt != 0 {
		c.resetLifetime(e, info.StartedAt)
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

// endReplacedLifetimes ends the earlier lifetimes on the instance of a new
// endpoint, because an instance has one endpoint at a time.
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

// resetLifetime ends the runs of the earlier lifetime of an endpoint that
// restarted under its id.
func (c *Controller) resetLifetime(e *endpoint, startedAt int64) {
	c.recordCrash(e, causeRestarted)
	c.loseRuns(e, causeRestarted)
	e.info.StartedAt = startedAt
	e.lifetime++
	e.tokenAccepted, e.answering = false, false
	e.seen, e.acked, e.clock, e.unknownRuns, e.leaseExpiry = 0, 0, 0, 0, 0
	e.gone, e.reserved, e.ending, e.failures = false, false, false, 0
	e.isolated, e.lapsed = nil, nil
}

func (c *Controller) endLifetime(e *endpoint, cause lossCause) {
	if e.gone {
		return
	}
	e.gone, e.listed, e.answering = true, false, false
	c.event(tmevent.EndpointLost, "endpoint", e.info.ID, "runs", len(e.runs), "cause", string(cause))
	c.recordCrash(e, cause)
	c.loseRuns(e, cause)
}

func (c *Controller) loseRuns(e *endpoint, cause lossCause) {
	for _, r := range e.runs {
		c.event(tmevent.RunLost, "task", r.task.id.String(), "run", r.n, "endpoint", e.info.ID, "at_work", r.atWork, "cause", string(cause))
		c.release(r)
	}
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
