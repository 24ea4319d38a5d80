package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

// maxIsolatedShare is the reciprocal of the share of a pool's endpoints on which suspects
// may be isolated at the same time. The others serve the rest of the work.
const maxIsolatedShare = 3

// planSuspects starts suspects in isolation. An endpoint is set aside for each: it gets no
// other tasks until those that it has are at work and the suspect is at work as well.
// If it crashes meanwhile, nothing but the suspect was starting there. The most suspicious
// go first, because those beside whom they were suspected are cleared with them.
func (c *Controller) planSuspects(pools map[string]*pool, now tmclock.Millis) {
	c.endIsolations(now)
	suspects := c.waitingSuspects(now)
	slices.SortStableFunc(suspects, func(a, b *task) int { return cmp.Compare(b.suspicions, a.suspicions) })
	for _, t := range suspects {
		p := pools[c.rules.Queues[t.step.occ.job.spec.Queue].Service]
		if p != nil && c.pending < maxPending && c.withinLimit(t.step, 1) {
			c.placeIsolated(t, p, now)
		}
	}
}

// waitingSuspects returns the suspects that may start now, other than gangs.
func (c *Controller) waitingSuspects(now tmclock.Millis) []*task {
	var suspects []*task
	for _, j := range c.openJobs {
		if !j.hasSuspects {
			continue
		}
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.left == 0 || s.spec.Gang || !s.ready() {
					continue
				}
				for _, t := range s.tasks {
					if t.isSuspect() && t.waiting(now) {
						suspects = append(suspects, t)
					}
				}
			}
		}
	}
	return suspects
}

// placeIsolated sets an endpoint aside for a suspect, and starts the suspect there once
// no other run is starting.
func (c *Controller) placeIsolated(t *task, p *pool, now tmclock.Millis) {
	e := p.isolatedFor(t)
	if e == nil {
		e = c.setAside(t, p, now)
	}
	if e != nil && e.isQuiet() && c.fits(t.step, e) {
		c.assign(t, e, t.runs+1)
	}
}

func (p *pool) isolatedFor(t *task) *endpoint {
	for _, e := range p.endpoints {
		if e.isolated == t {
			return e
		}
	}
	return nil
}

// setAside isolates a suspect on the endpoint where a crash would end the fewest runs. It
// returns nil if no endpoint may be set aside now.
func (c *Controller) setAside(t *task, p *pool, now tmclock.Millis) *endpoint {
	var best *endpoint
	isolated := 0
	advised := c.adviceFor(t.step, p, now)
	for _, e := range p.endpoints {
		if e.isolated != nil {
			isolated++
			continue
		}
		if !c.couldFit(t.step, e) || !advised(e) {
			continue
		}
		if best == nil || len(e.runs) < len(best.runs) {
			best = e
		}
	}
	if best == nil || isolated >= max(1, len(p.endpoints)/maxIsolatedShare) {
		return nil
	}
	best.isolated = t
	c.event(tmevent.EndpointIsolated, "endpoint", best.info.ID, "task", t.id.String(), "runs", len(best.runs), "ended", false)
	return best
}

// couldFit reports whether a task of the step fits on e once the tasks there that end by
// themselves have ended.
func (c *Controller) couldFit(s *step, e *endpoint) bool {
	return !e.reserved && s.permits(e) && s.spec.Reservation().Fits(e.info.Capacity.Sub(e.longRunning))
}

// IsIsolated reports whether a suspect is isolated on an endpoint.
func (c *Controller) IsIsolated(endpoint string) bool {
	e := c.endpoints[endpoint]
	return e != nil && e.isolated != nil
}

// isQuiet reports whether no run is starting on e.
func (e *endpoint) isQuiet() bool {
	for _, r := range e.runs {
		if r.isStarting() {
			return false
		}
	}
	return true
}

// quietEndpoints returns the endpoints of p on which a suspected gang can be isolated.
func (p *pool) quietEndpoints() *pool {
	quiet := &pool{service: p.service}
	for _, e := range p.endpoints {
		if e.isolated == nil && e.isQuiet() {
			quiet.endpoints = append(quiet.endpoints, e)
		}
	}
	return quiet
}

// isolateGang sets the endpoints aside on which a suspected gang was just placed.
func (s *step) isolateGang() {
	for _, t := range s.tasks {
		for _, r := range t.active {
			r.isolated, r.ep.isolated = true, t.culprit()
		}
	}
}

// endIsolations ends the isolations whose suspect is at work or no longer needs them.
func (c *Controller) endIsolations(now tmclock.Millis) {
	for _, e := range c.endpoints {
		if e.isolated != nil && !e.needsIsolation(now) {
			c.clearIsolated(e)
			c.event(tmevent.EndpointIsolated, "endpoint", e.info.ID, "task", e.isolated.id.String(), "runs", len(e.runs), "ended", true)
			e.isolated = nil
		}
	}
}

// clearIsolated records, also for the next owner, that a suspect has started well.
func (c *Controller) clearIsolated(e *endpoint) {
	for _, r := range e.runs {
		if r.isolated {
			r.isolated = false
			c.markDirty(r.task.step.occ.job)
		}
	}
}

// needsIsolation reports whether the suspect that is isolated on e is starting there or
// is about to be placed there.
func (e *endpoint) needsIsolation(now tmclock.Millis) bool {
	for _, r := range e.runs {
		if r.task.culprit() == e.isolated && r.isStarting() {
			return true
		}
	}
	t := e.isolated
	isWaiting := !t.done && !t.step.occ.job.final && len(t.active) == 0 && !t.step.spec.Gang
	return isWaiting && e.usable(now)
}
