package tmcontrol

import (
	"cmp"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

// This file chooses endpoints for tasks that have failed before or have their last attempt, and
// lets tasks use avoided endpoints before they stand still.

const (
	// maxAttemptHold is how long the last attempt of a task waits for an endpoint without
	// recent failures.
	maxAttemptHold = 2 * tmclock.Second
	// maxAvoidanceWait is how long a step may wait beside room on avoided endpoints of a pool
	// that is at most half full. A job must not stand still for 3 s there.
	maxAvoidanceWait = 2 * tmclock.Second
)

// chooseFor returns an endpoint for a task. A task that has failed, or has its last attempt,
// prefers endpoints without failures in the last seconds, there and in their rack, and then those
// that are not on trial. A last attempt waits for such a place for at most maxAttemptHold.
func (c *Controller) chooseFor(t *task, p *pool, now tmclock.Millis) *endpoint {
	last := c.isLastAttempt(t)
	if t.failures == 0 && !last {
		return c.choose(t.step, p)
	}
	if e := c.chooseAmong(t.step, p, p.endpointsWithoutTrouble(now)); e != nil {
		return e
	}
	e := c.chooseAmong(t.step, p, p.endpointsWithoutFailures(now))
	if e == nil {
		e = c.chooseAmong(t.step, p, p.trusted(now))
	}
	if e == nil {
		e = c.choose(t.step, p)
	}
	if e == nil || !last {
		return e
	}
	if t.heldSince == 0 {
		t.heldSince = cmp.Or(t.step.blockedSince, now)
		c.event(tmevent.AttemptHeld, "task", t.id.String(), "failures", t.failures, "max_ms", int64(maxAttemptHold))
	}
	if now.Sub(t.heldSince) < maxAttemptHold {
		return nil
	}
	return e
}

// isLastAttempt reports whether the next failure of a task fails its job.
func (c *Controller) isLastAttempt(t *task) bool {
	limit := c.rules.Queues[t.step.occ.job.spec.Queue].Attempts
	return limit > 0 && !t.step.spec.LongRunning && t.failures >= limit-1
}

// isHeld reports whether a task waits for an endpoint without recent failures, so that other
// tasks of its step may still be placed.
func (t *task) isHeld(now tmclock.Millis) bool {
	return t.heldSince != 0 && now.Sub(t.heldSince) < maxAttemptHold
}

// chooseAmong chooses from some of the endpoints of p.
func (c *Controller) chooseAmong(s *step, p *pool, endpoints []*endpoint) *endpoint {
	if len(endpoints) == 0 {
		return nil
	}
	return c.choose(s, &pool{service: p.service, endpoints: endpoints})
}

// troubles holds the endpoints of a pool by their recent failures, for one planning pass.
type troubles struct {
	known bool
	// trusted holds the endpoints that are not on trial, withoutFailures those of them without
	// recent failures, inSoundRacks those of these in whose rack none had any either.
	trusted, withoutFailures, inSoundRacks []*endpoint
}

// endpointsWithoutTrouble returns the endpoints that are not on trial and without recent
// failures, there and in their rack.
func (p *pool) endpointsWithoutTrouble(now tmclock.Millis) []*endpoint {
	p.findTroubles(now)
	return p.troubles.inSoundRacks
}

// endpointsWithoutFailures returns the endpoints that are not on trial and without recent
// failures.
func (p *pool) endpointsWithoutFailures(now tmclock.Millis) []*endpoint {
	p.findTroubles(now)
	return p.troubles.withoutFailures
}

// trusted returns the endpoints that are not on trial.
func (p *pool) trusted(now tmclock.Millis) []*endpoint {
	p.findTroubles(now)
	return p.troubles.trusted
}

func (p *pool) findTroubles(now tmclock.Millis) {
	if p.troubles.known {
		return
	}
	p.troubles.known = true
	for _, e := range p.endpoints {
		if e.onTrial {
			continue
		}
		p.troubles.trusted = append(p.troubles.trusted, e)
		if e.health.HadTrouble(now) {
			continue
		}
		p.troubles.withoutFailures = append(p.troubles.withoutFailures, e)
		if e.info.Rack == "" || !p.troubledRacks[e.info.Rack] {
			p.troubles.inSoundRacks = append(p.troubles.inSoundRacks, e)
		}
	}
}

// chooseAvoided returns an endpoint that is vacated, avoided or on trial for a task of a step that has
// waited for maxAvoidanceWait, if the pool is at most half full: the step may need a label that only
// such endpoints have, or more room than is left on any other. The time for which a last
// attempt was held counts.
func (c *Controller) chooseAvoided(t *task, p *pool, now tmclock.Millis) *endpoint {
	s := t.step
	if len(p.avoided)+len(p.onTrial)+len(p.vacating) == 0 || t.isHeld(now) {
		return nil
	}
	if s.blockedSince == 0 {
		s.blockedSince = cmp.Or(t.heldSince, now)
	}
	if now.Sub(s.blockedSince) < maxAvoidanceWait || p.usedShare() > 0.5 {
		return nil
	}
	if e := c.chooseAmong(s, p, p.vacating); e != nil {
		return e
	}
	if e := c.chooseOnTrial(s, p); e != nil {
		return e
	}
	return c.chooseAmong(s, p, p.avoided)
}

// chooseOnTrial chooses from the endpoints on trial as if they were not. For other tasks the
// trials go on.
func (c *Controller) chooseOnTrial(s *step, p *pool) *endpoint {
	for _, e := range p.onTrial {
		e.onTrial = false
	}
	chosen := c.chooseAmong(s, p, p.onTrial)
	for _, e := range p.onTrial {
		e.onTrial = true
	}
	return chosen
}

// usedShare returns the reserved share of the capacity of a pool, avoided and vacated endpoints
// included, by the resource of which most is used.
func (p *pool) usedShare() float64 {
	var used, capacity tmjob.Resources
	for _, endpoints := range [][]*endpoint{p.endpoints, p.avoided, p.vacating} {
		for _, e := range endpoints {
			used, capacity = used.Add(e.used), capacity.Add(e.info.Capacity)
		}
	}
	return max(share(used.CPU, capacity.CPU), share(used.Mem, capacity.Mem), share(used.GPU, capacity.GPU))
}

func share(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}
