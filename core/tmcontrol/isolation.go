package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmorder"
)

const (
	// maxIsolatedShare is the share of a pool's endpoints on which suspects may be isolated
	// at the same time, maxIsolatedIdleShare that up to which idle endpoints are used as
	// well. The others serve the rest of the work.
	maxIsolatedShare     = 1.0 / 3
	maxIsolatedIdleShare = 2.0 / 3
	// overdueShare is the share that is added to both while suspects are overdue.
	overdueShare = 1.0 / 3
	// maxIsolationWait is how long suspects wait for an endpoint until they are overdue.
	maxIsolationWait = 10000 * tmclock.Millisecond
)

// planSuspects starts suspects in isolation. An endpoint is set aside for each: it gets no
// other tasks until those that it has are at work and the suspect is at work as well.
// If it crashes meanwhile, nothing but the suspect was starting there.
func (c *Controller) planSuspects(pools map[string]*pool, now tmclock.Millis) {
	c.endIsolations(now)
	suspects := c.waitingSuspects(now)
	if len(suspects) == 0 {
		return
	}
	for _, p := range pools {
		p.indexIsolated()
	}
	slices.SortStableFunc(suspects, func(a, b *task) int { return compareSuspects(a, b, now) })
	for _, t := range suspects {
		p := c.poolOf(t, pools)
		if p == nil {
			continue
		}
		p.hasOverdue = p.hasOverdue || t.isOverdue(now)
		c.moveIsolation(t, p)
		if p.isolatedFor[t] == nil && p.mayIsolate(true) && c.withinLimit(t.step, 1) {
			c.isolate(t, p)
		}
	}
	for _, t := range suspects {
		p := c.poolOf(t, pools)
		if p != nil && c.hasStartRoom() && c.withinLimit(t.step, 1) {
			c.placeIsolated(t, p)
		}
	}
}

// poolOf returns the pool on which a task runs, or nil.
func (c *Controller) poolOf(t *task, pools map[string]*pool) *pool {
	return pools[c.rules.Queues[t.step.occ.job.spec.Queue].Service]
}

// compareSuspects orders suspects: long-running tasks go first, then those that have waited
// for too long, then the least suspicious, which are probably innocent.
func compareSuspects(a, b *task, now tmclock.Millis) int {
	if n := cmp.Or(tmorder.First(a.step.spec.LongRunning, b.step.spec.LongRunning), tmorder.First(a.isOverdue(now), b.isOverdue(now))); n != 0 {
		return n
	}
	if a.isOverdue(now) {
		return cmp.Compare(a.suspectedAt, b.suspectedAt)
	}
	return cmp.Compare(a.suspicions, b.suspicions)
}

// isOverdue reports whether a suspect has waited for its isolation for too long. It goes
// first then, and more endpoints are set aside.
func (t *task) isOverdue(now tmclock.Millis) bool {
	return now.Sub(t.culprit().suspectedAt) >= maxIsolationWait
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

// placeIsolated starts a suspect on the endpoint that is set aside for it, once nothing
// else is starting there.
func (c *Controller) placeIsolated(t *task, p *pool) {
	e := p.isolatedFor[t]
	if e != nil && e.isQuiet() && c.fits(t.step, e) {
		c.assign(t, e, t.runs+1)
		return
	}
	c.wantAdvice(t.step)
}

// moveIsolation gives up a busy endpoint that is set aside for a suspect if an idle one can be
// used at once. The tasks on the busy one may last long.
func (c *Controller) moveIsolation(t *task, p *pool) {
	busy := p.isolatedFor[t]
	if busy == nil || len(busy.runs) == 0 || busy.isQuiet() && c.fits(t.step, busy) {
		return
	}
	for _, e := range p.endpoints {
		if len(e.runs) == 0 && e.isolated == nil && c.fits(t.step, e) {
			busy.isolated, e.isolated = nil, t
			p.isolatedFor[t] = e
			c.event(tmevent.EndpointIsolated, "endpoint", busy.info.ID, "task", t.id.String(), "runs", len(busy.runs), "ended", true)
			c.event(tmevent.EndpointIsolated, "endpoint", e.info.ID, "task", t.id.String(), "runs", 0, "ended", false)
			return
		}
	}
}

// indexIsolated finds the endpoints of p that are set aside.
func (p *pool) indexIsolated() {
	p.isolated, p.isolatedFor = 0, map[*task]*endpoint{}
	for _, e := range p.endpoints {
		if e.isolated != nil {
			p.isolated++
			p.isolatedFor[e.isolated] = e
		}
	}
}

// mayIsolate reports whether one more endpoint of p may be set aside, an idle one or not.
func (p *pool) mayIsolate(idle bool) bool {
	share := maxIsolatedShare
	if idle {
		share = maxIsolatedIdleShare
	}
	if p.hasOverdue {
		share += overdueShare
	}
	return p.isolated < max(1, int(share*float64(len(p.endpoints))))
}

// isolate sets aside the endpoint where a crash would end the fewest runs for a suspect,
// unless too many are set aside.
func (c *Controller) isolate(t *task, p *pool) {
	var best *endpoint
	for _, e := range p.endpoints {
		if e.isolated == nil && c.couldFit(t.step, e) && (best == nil || len(e.runs) < len(best.runs)) {
			best = e
		}
	}
	if best == nil || !p.mayIsolate(len(best.runs) == 0) {
		return
	}
	best.isolated = t
	p.isolated++
	p.isolatedFor[t] = best
	c.event(tmevent.EndpointIsolated, "endpoint", best.info.ID, "task", t.id.String(), "runs", len(best.runs), "ended", false)
}

// couldFit reports whether a task of the step fits on e once the tasks there that end by
// themselves have ended, and may run there.
func (c *Controller) couldFit(s *step, e *endpoint) bool {
	return !e.reserved && s.permits(e) && c.mayGetTicket(s, e) && s.spec.Reservation().Fits(e.info.Capacity.Sub(e.longRunning))
}

// IsIsolated reports whether a suspect is isolated on an endpoint.
func (c *Controller) IsIsolated(endpoint string) bool {
	e := c.endpoints[endpoint]
	return e != nil && e.isolated != nil
}

// isQuiet reports whether no run is starting on e other than that of an isolated suspect.
func (e *endpoint) isQuiet() bool {
	for _, r := range e.runs {
		if r.isStarting() && r.task.culprit() != e.isolated {
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

// endIsolations ends the isolations whose suspect is at work or no longer needs it.
func (c *Controller) endIsolations(now tmclock.Millis) {
	for _, e := range c.endpoints {
		if e.isolated == nil || c.needsIsolation(e, now) {
			continue
		}
		c.event(tmevent.EndpointIsolated, "endpoint", e.info.ID, "task", e.isolated.id.String(), "runs", len(e.runs), "ended", true)
		e.isolated = nil
		for _, r := range e.runs {
			if r.isolated {
				// The next owner has to know as well that the run has started well.
				r.isolated = false
				c.markDirty(r.task)
			}
		}
	}
}

// needsIsolation reports whether the suspect that is isolated on e is starting there, or
// is about to be placed there.
func (c *Controller) needsIsolation(e *endpoint, now tmclock.Millis) bool {
	for _, r := range e.runs {
		if r.task.culprit() == e.isolated {
			return r.isStarting()
		}
	}
	return e.usable(now) && !e.isAvoided(now) && e.isolated.awaitsIsolation() && c.mayGetTicket(e.isolated.step, e)
}

// awaitsIsolation reports whether a suspect is about to be placed in isolation. Gangs are
// isolated when they are placed.
func (t *task) awaitsIsolation() bool {
	return t.isSuspect() && !t.done && !t.step.occ.job.final && len(t.active) == 0 && !t.step.spec.Gang
}
