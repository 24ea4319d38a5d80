package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmstraggler"
)

// This file applies what package tmstraggler finds about endpoints: those that are suspected of
// being slow or of failing what they start are avoided, and then get one task as a trial.

// suspects returns the suspected endpoints of a pool.
func (c *Controller) suspects(service string) *tmstraggler.Pool {
	p := c.suspectPools[service]
	if p == nil {
		p = &tmstraggler.Pool{}
		c.suspectPools[service] = p
	}
	return p
}

// suspectEndpoint avoids an endpoint on suspicion, unless as many others of its pool are
// avoided as may be.
func (c *Controller) suspectEndpoint(e *endpoint, s tmstraggler.Suspicion, now tmclock.Millis) {
	wasAvoided := e.isAvoided(now)
	avoided, released := c.suspects(e.info.Service).Suspect(e.info.ID, &e.health, s, now)
	if other := c.endpoints[released]; other != nil {
		c.clearSuspicion(other, "others are worse")
	}
	if !avoided {
		return
	}
	e.avoidUntil, e.trial = e.health.AvoidedUntil(), nil
	if wasAvoided {
		return
	}
	forTime := int64(e.avoidUntil.Sub(now))
	if s.Cause == tmstraggler.Failing {
		c.event(tmevent.EndpointAvoided, "endpoint", e.info.ID, "failures", e.health.Failures(), "for_ms", forTime)
	} else {
		c.event(tmevent.EndpointSlow, "endpoint", e.info.ID, "cause", string(s.Cause), "ratio", s.Severity, "runs", len(e.runs), "for_ms", forTime)
	}
}

// clearSuspicion ends the avoidance and the trial of an endpoint.
func (c *Controller) clearSuspicion(e *endpoint, why string) {
	e.health.Clear()
	e.avoidUntil, e.trial = 0, nil
	c.event(tmevent.EndpointCleared, "endpoint", e.info.ID, "why", why)
}

// forgetHealth drops what is known of an earlier lifetime of an endpoint.
func (e *endpoint) forgetHealth() {
	e.health, e.avoidUntil, e.trial, e.onTrial = tmstraggler.Health{}, 0, nil, false
}

// isAvoided reports whether an endpoint gets no new tasks on suspicion.
func (e *endpoint) isAvoided(now tmclock.Millis) bool { return now.Before(e.avoidUntil) }

// admits reports whether an endpoint may get one more task: one that is on trial has one.
func (e *endpoint) admits() bool {
	return !e.onTrial || e.trial == nil && e.planned == 0
}

const (
	// trialPreference makes tasks prefer an endpoint on trial, so that it is known soon whether
	// it works.
	trialPreference = 2.0
	// troublePenalty makes tasks prefer endpoints without recent failures or stalls.
	troublePenalty = 2.0
)

// healthScore rates e by its health as a place for a task of the step. Gangs and long-running
// tasks are no trials: all members of a gang depend on each, and users on a long-running task.
func (e *endpoint) healthScore(s *step) float64 {
	switch {
	case e.onTrial && !s.spec.Gang && !s.spec.LongRunning:
		return trialPreference
	case e.onTrial, e.hadTrouble:
		return -troublePenalty
	}
	return 0
}

// recordHealth records the end of a run for the health of its endpoint. A run that is being
// stopped may end in any way.
func (c *Controller) recordHealth(e *endpoint, r *run, reason EndReason, now tmclock.Millis) {
	queue := r.task.step.occ.job.spec.Queue
	switch {
	case reason == EndDone:
		c.failureRate(queue).Add(false)
		r.percent = 100
		long := r.startedAt != 0 && c.isLong(r, now)
		if e.health.Done(r.startedAt, now, long) {
			c.clearSuspicion(e, "a run is done")
		}
		if s := e.health.Suspicion(); long && r == e.trial && s.Cause == tmstraggler.Slow {
			c.suspectEndpoint(e, s, now)
		}
	case reason == EndFailed && !r.stop:
		c.recordFailure(e, r.task, c.failureRate(queue), now)
	}
}

// recordFailure records a failed run of a task. A task that has failed before may be the cause
// itself, so only its first failure is evidence against an endpoint.
func (c *Controller) recordFailure(e *endpoint, t *task, rate *tmstraggler.Rate, now tmclock.Millis) {
	hasFailed := t.hasFailed
	t.hasFailed = true
	if hasFailed && !e.health.IsSuspected() {
		e.health.FailedByTask(now)
		return
	}
	elsewhere := rate.Without(e.health.Failures())
	if !e.health.IsSuspected() {
		// Endpoints that fail all that they start would raise the rate of the workload.
		rate.Add(true)
	}
	if s, found := e.health.Failed(now, elsewhere); found {
		c.suspectEndpoint(e, s, now)
	}
}

func (c *Controller) failureRate(queue string) *tmstraggler.Rate {
	rate := c.failureRates[queue]
	if rate == nil {
		rate = &tmstraggler.Rate{}
		c.failureRates[queue] = rate
	}
	return rate
}

// settleTrial clears an endpoint whose trial run has lasted long enough, unless the endpoint is
// suspected of being slow and the run is long: then it has to end.
func (c *Controller) settleTrial(e *endpoint, now tmclock.Millis) {
	r := e.trial
	if r == nil || r.phase != active || r.stop || !e.health.OnTrial(now) || now.Sub(r.startedAt) < tmstraggler.TrialTime {
		return
	}
	if e.health.Suspicion().Cause == tmstraggler.Slow && c.isLong(r, now) {
		return
	}
	c.clearSuspicion(e, "a run has lasted")
}

// isLong reports whether a run is expected to take far longer than others of its step, or of
// its queue as long as few of its step are done.
func (c *Controller) isLong(r *run, now tmclock.Millis) bool {
	times := &r.task.step.took
	if !times.CanCompare() {
		times = c.runTimes[r.task.step.occ.job.spec.Queue]
	}
	return times != nil && times.CanCompare() && times.IsLong(r.expected(now))
}

// add adds an endpoint that may get tasks, unless suspicion forbids or it is vacated.
func (p *pool) add(e *endpoint, now tmclock.Millis) {
	e.onTrial, e.hadTrouble = e.health.OnTrial(now), e.health.HadTrouble(now)
	if e.vacatingSince != 0 {
		p.vacating = append(p.vacating, e)
		return
	}
	if e.isAvoided(now) {
		p.avoided = append(p.avoided, e)
	} else {
		p.endpoints = append(p.endpoints, e)
	}
	if e.onTrial {
		p.onTrial = append(p.onTrial, e)
	}
}

// boundAvoidance returns suspects to a pool of which more than half would be avoided or on trial:
// endpoints may have left it since. Those on trial go first, then the mildest.
func (c *Controller) boundAvoidance(p *pool) {
	usable := len(p.endpoints) + len(p.avoided)
	c.suspects(p.service).SetUsable(usable)
	surplus := len(p.avoided) + len(p.onTrial) - usable/2
	for ; surplus > 0 && len(p.onTrial) > 0; surplus-- {
		p.onTrial[0].onTrial = false
		p.onTrial = p.onTrial[1:]
	}
	if surplus <= 0 {
		return
	}
	slices.SortStableFunc(p.avoided, func(a, b *endpoint) int {
		return cmp.Or(a.health.Suspicion().Compare(b.health.Suspicion()), cmp.Compare(a.info.ID, b.info.ID))
	})
	p.endpoints = append(p.endpoints, p.avoided[:surplus]...)
	p.avoided = p.avoided[surplus:]
}
