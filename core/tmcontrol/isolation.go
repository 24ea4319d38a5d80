package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

const (
	// maxIsolatedShare is the share of a pool's endpoints on which suspects may be isolated
	// at the same time, maxIsolatedIdleShare that up to which idle endpoints are used as
	// well. The others serve the rest of the work.
	maxIsolatedShare     = 1.0 / 3
	maxIsolatedIdleShare = 2.0 / 3
	// maxIsolatedGroup is how many suspects that are probably innocent share an endpoint.
	maxIsolatedGroup = 4
)

// planSuspects starts suspects in isolation. An endpoint is set aside for them: it gets no
// other tasks until those that it has are at work and the suspects are at work as well.
// If it crashes meanwhile, nothing but the suspects was starting there.
func (c *Controller) planSuspects(pools map[string]*pool, now tmclock.Millis) {
	c.endIsolations(now)
	suspects := c.waitingSuspects(now)
	if len(suspects) == 0 {
		return
	}
	slices.SortStableFunc(suspects, compareSuspects)
	for _, t := range suspects {
		p := pools[c.rules.Queues[t.step.occ.job.spec.Queue].Service]
		if p != nil && p.isolatedFor(t) == nil && c.withinLimit(t.step, 1) {
			c.isolate(t, p, now)
		}
	}
	for _, t := range suspects {
		p := pools[c.rules.Queues[t.step.occ.job.spec.Queue].Service]
		if p != nil && c.pending < maxPending && c.withinLimit(t.step, 1) {
			c.placeIsolated(t, p)
		}
	}
}

// compareSuspects orders suspects: those that are probably innocent go first, since they
// pass quickly, and of the others the most suspicious.
func compareSuspects(a, b *task) int {
	if a.mayShareIsolation() != b.mayShareIsolation() {
		return boolOrder(a.mayShareIsolation())
	}
	return cmp.Compare(b.suspicions, a.suspicions)
}

// mayShareIsolation reports whether a suspect was suspected only together with many
// others, so that it may start beside other such suspects.
func (t *task) mayShareIsolation() bool {
	return t.suspicions <= suspectedWithMany && t.crashes < watchedCrashes
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
	e := p.isolatedFor(t)
	if e != nil && e.isQuiet() && c.fits(t.step, e) {
		c.assign(t, e, t.runs+1)
	}
}

func (p *pool) isolatedFor(t *task) *endpoint {
	for _, e := range p.endpoints {
		if slices.Contains(e.isolated, t) {
			return e
		}
	}
	return nil
}

// isolate adds a suspect to the group of an endpoint that is set aside, or sets aside the
// endpoint where a crash would end the fewest runs, unless too many are.
func (c *Controller) isolate(t *task, p *pool, now tmclock.Millis) {
	var best *endpoint
	isolated := 0
	advised := c.adviceFor(t.step, p, now)
	for _, e := range p.endpoints {
		isShared := e.mayJoin(t)
		if len(e.isolated) > 0 {
			isolated++
			if !isShared {
				continue
			}
		}
		if !c.couldFit(t.step, e) || !advised(e) {
			continue
		}
		if isShared {
			e.isolated = append(e.isolated, t)
			return
		}
		if best == nil || len(e.runs) < len(best.runs) {
			best = e
		}
	}
	if best == nil || isolated >= maxIsolated(len(p.endpoints), len(best.runs) == 0) {
		return
	}
	best.isolated = []*task{t}
	c.event(tmevent.EndpointIsolated, "endpoint", best.info.ID, "task", t.id.String(), "runs", len(best.runs), "ended", false)
}

// maxIsolated returns on how many of n endpoints suspects may be isolated, if the next of
// them is idle or not.
func maxIsolated(n int, idle bool) int {
	share := maxIsolatedShare
	if idle {
		share = maxIsolatedIdleShare
	}
	return max(1, int(share*float64(n)))
}

// mayJoin reports whether a suspect may join the group for which e is set aside and of
// which none has started yet.
func (e *endpoint) mayJoin(t *task) bool {
	if len(e.isolated) == 0 || len(e.isolated) >= maxIsolatedGroup || !t.mayShareIsolation() || !e.isolated[0].mayShareIsolation() {
		return false
	}
	return !slices.ContainsFunc(e.isolated, func(other *task) bool { return len(other.active) > 0 })
}

// couldFit reports whether a task of the step fits on e once the tasks there that end by
// themselves have ended.
func (c *Controller) couldFit(s *step, e *endpoint) bool {
	return !e.reserved && s.permits(e) && s.spec.Reservation().Fits(e.info.Capacity.Sub(e.longRunning))
}

// IsIsolated reports whether suspects are isolated on an endpoint.
func (c *Controller) IsIsolated(endpoint string) bool {
	e := c.endpoints[endpoint]
	return e != nil && len(e.isolated) > 0
}

// isQuiet reports whether no run is starting on e other than those of isolated suspects.
func (e *endpoint) isQuiet() bool {
	for _, r := range e.runs {
		if r.isStarting() && !slices.Contains(e.isolated, r.task.culprit()) {
			return false
		}
	}
	return true
}

// quietEndpoints returns the endpoints of p on which a suspected gang can be isolated.
func (p *pool) quietEndpoints() *pool {
	quiet := &pool{service: p.service}
	for _, e := range p.endpoints {
		if len(e.isolated) == 0 && e.isQuiet() {
			quiet.endpoints = append(quiet.endpoints, e)
		}
	}
	return quiet
}

// isolateGang sets the endpoints aside on which a suspected gang was just placed.
func (s *step) isolateGang() {
	for _, t := range s.tasks {
		for _, r := range t.active {
			r.isolated, r.ep.isolated = true, []*task{t.culprit()}
		}
	}
}

// endIsolations ends the isolations whose suspects are at work or no longer need them.
func (c *Controller) endIsolations(now tmclock.Millis) {
	for _, e := range c.endpoints {
		if len(e.isolated) == 0 || e.needsIsolation(now) {
			continue
		}
		c.event(tmevent.EndpointIsolated, "endpoint", e.info.ID, "task", e.isolated[0].id.String(), "runs", len(e.runs), "ended", true)
		e.isolated = nil
		for _, r := range e.runs {
			if r.isolated {
				// The next owner has to know as well that the run has started well.
				r.isolated = false
				c.markDirty(r.task.step.occ.job)
			}
		}
	}
}

// needsIsolation reports whether a suspect that is isolated on e is starting there, or
// all of them are about to be placed there.
func (e *endpoint) needsIsolation(now tmclock.Millis) bool {
	isPlaced := false
	for _, r := range e.runs {
		if slices.Contains(e.isolated, r.task.culprit()) {
			if r.isStarting() {
				return true
			}
			isPlaced = true
		}
	}
	return !isPlaced && e.usable(now) && slices.ContainsFunc(e.isolated, (*task).awaitsIsolation)
}

// awaitsIsolation reports whether a suspect is about to be placed in isolation. Gangs are
// isolated when they are placed.
func (t *task) awaitsIsolation() bool {
	return t.isSuspect() && !t.done && !t.step.occ.job.final && len(t.active) == 0 && !t.step.spec.Gang
}
