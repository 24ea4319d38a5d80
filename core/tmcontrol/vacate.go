package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmorder"
	"turmericmoor/core/tmsizing"
)

// This file divides the instances among the pools while they want more than there is, and
// empties endpoints of a pool that has more than its part.

const (
	// maxVacateTime is how long an endpoint gets no new tasks before it is used again if its
	// runs have not ended. Meanwhile its free capacity is idle, and a job that can run only
	// there must not stand still for 3 s.
	maxVacateTime = 2 * tmclock.Second
	// vacatePause is for how long such an endpoint is not chosen again: the runs that kept it
	// busy may last.
	vacatePause = 5 * tmclock.Second
	// maxVacating is the fraction of its instances that a pool may have vacated at a time.
	maxVacating = 0.5
	// starvedShare is the fraction of its target below which a pool is starved. Only for such
	// pools are endpoints vacated: a smaller gap closes by itself when tasks end, sooner than
	// an instance that has to be emptied first can move.
	starvedShare = 0.6
)

// divideFleet sets the targets of the pools. It reports whether the pools want more instances
// than there are.
func (c *Controller) divideFleet(sizes []poolSize, now tmclock.Millis, wall int64) bool {
	total, wanted := c.standbyCount(), 0
	for i := range sizes {
		total += sizes[i].have
		wanted += sizes[i].want
	}
	if wanted <= total {
		return false
	}
	timely := c.timelyDemand(wall)
	needs := make([]tmsizing.Need, len(sizes))
	for i := range sizes {
		s := &sizes[i]
		needs[i] = s.need
		needs[i].Timely = 1 + max(instances(timely[s.service], s.capacity, s.have), instances(s.forecast, s.capacity, s.have))
	}
	targets, scarce := tmsizing.Targets(total, needs)
	for i, n := range targets {
		sizes[i].target = n
	}
	c.logDivision(sizes, total, needs, now)
	return scarce
}

// logDivision logs the division of the fleet, at most once in poolLogInterval.
func (c *Controller) logDivision(sizes []poolSize, total int, needs []tmsizing.Need, now tmclock.Millis) {
	if c.fleet.divisionLoggedAt != 0 && now.Sub(c.fleet.divisionLoggedAt) < poolLogInterval {
		return
	}
	c.fleet.divisionLoggedAt = now
	for i := range sizes {
		s := &sizes[i]
		c.event(tmevent.FleetDivided, "pool", s.service, "have", s.have, "want", s.want, "timely", needs[i].Timely,
			"floor", needs[i].Floor, "target", s.target, "instances", total)
	}
}

// standbyCount returns the number of instances of standby pools that are up.
func (c *Controller) standbyCount() int {
	n := 0
	for id, i := range c.fleet.instances {
		if i.State == InstanceUp && c.rules.Services[i.Pool].Standby && c.fleet.moves[id] == nil && !c.zonesOut[i.Zone] {
			n++
		}
	}
	return n
}

// timelyDemand returns, by pool, the reservations of the long-running tasks and of the tasks
// that run or could start now, of the jobs that can still meet their objective.
func (c *Controller) timelyDemand(wall int64) map[string]tmjob.Resources {
	out := map[string]tmjob.Resources{}
	for _, j := range c.openJobs {
		q, ok := c.rules.Queues[j.spec.Queue]
		if !ok {
			continue
		}
		for _, o := range j.occurrences {
			if !j.longRunning && c.missesObjective(o, q, wall) {
				continue
			}
			for _, s := range o.steps {
				if s.left > 0 && s.ready() {
					out[q.Service] = out[q.Service].Add(times(s.spec.Reservation(), int64(s.left)))
				}
			}
		}
	}
	return out
}

// missesObjective reports whether an occurrence misses its objective even if nothing waits.
func (c *Controller) missesObjective(o *occurrence, q Queue, wall int64) bool {
	out := c.workload(o)
	return float64(wall)+out.criticalPath > float64(o.job.spec.Due(o.number))+q.objective(out.fullCriticalPath)
}

// vacate keeps new tasks away from endpoints of pools that have more than their target, as
// many as starved pools lack. Once such an endpoint is idle, its instance moves.
func (c *Controller) vacate(sizes []poolSize, scarce bool, now tmclock.Millis) {
	lacking := 0
	for i := range sizes {
		if s := &sizes[i]; float64(s.have) < starvedShare*float64(s.target) {
			lacking += s.target - s.have
		}
	}
	for i := range sizes {
		s := &sizes[i]
		n := 0
		if scarce {
			n = min(lacking, s.have-s.target, int(maxVacating*float64(s.have)))
		}
		lacking -= c.vacateEndpoints(s.service, max(0, n), now)
	}
}

// vacateEndpoints makes n endpoints of a pool be vacated, those that were chosen before first,
// then those that are idle soonest. It returns how many are.
func (c *Controller) vacateEndpoints(service string, n int, now tmclock.Millis) int {
	var candidates []*endpoint
	for _, e := range c.sorted() {
		if e.info.Service != service {
			continue
		}
		if e.vacatingSince != 0 && now.Sub(e.vacatingSince) >= maxVacateTime {
			e.vacatingSince, e.noVacateBefore = 0, now.Add(vacatePause)
			continue
		}
		if n > 0 && c.canVacate(e, now) {
			candidates = append(candidates, e)
		} else {
			e.vacatingSince = 0
		}
	}
	if n == 0 {
		return 0
	}
	idleAt := make(map[*endpoint]tmclock.Millis, len(candidates))
	for _, e := range candidates {
		idleAt[e] = c.idleAt(e, now)
	}
	slices.SortStableFunc(candidates, func(a, b *endpoint) int {
		return cmp.Or(tmorder.First(a.vacatingSince != 0, b.vacatingSince != 0), cmp.Compare(idleAt[a], idleAt[b]))
	})
	for i, e := range candidates {
		switch {
		case i >= n:
			e.vacatingSince = 0
		case e.vacatingSince == 0:
			e.vacatingSince = now
			c.event(tmevent.EndpointVacates, "endpoint", e.info.ID, "pool", service, "runs", len(e.runs), "idle_in_ms", int64(idleAt[e].Sub(now)))
		}
	}
	return min(n, len(candidates))
}

// canVacate reports whether an endpoint can become idle by itself within maxVacateTime.
func (c *Controller) canVacate(e *endpoint, now tmclock.Millis) bool {
	return !now.Before(e.noVacateBefore) && e.answering && e.listed && !e.gone && !e.reserved && !e.info.Draining && e.isolated == nil && e.info.Instance != "" &&
		len(e.runs) > 0 && e.longRunning == (tmjob.Resources{}) && c.idleAt(e, now).Sub(now) < maxVacateTime && c.movable(e.info.Instance, "", now)
}

// idleAt returns when the runs of an endpoint are expected to have ended.
func (c *Controller) idleAt(e *endpoint, now tmclock.Millis) tmclock.Millis {
	last := now
	for _, r := range e.runs {
		last = max(last, c.expectedEnd(r, now))
	}
	return last
}
