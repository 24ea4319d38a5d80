package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmstraggler"
)

// This file starts second copies of straggling tasks of speculative steps.

// maxCopyLoad is the share of a pool's capacity up to which copies are started. A copy must not
// take the place of work that arrives.
const maxCopyLoad = 0.75

// planCopies starts second copies in pools with spare capacity, after all other tasks.
func (c *Controller) planCopies(pools map[string]*pool, now tmclock.Millis) {
	spare := map[*pool]bool{}
	for _, j := range c.openJobs {
		if !j.speculative {
			continue
		}
		q := c.rules.Queues[j.spec.Queue]
		p := pools[q.Service]
		if p == nil {
			continue
		}
		if _, known := spare[p]; !known {
			spare[p] = len(p.tooLarge)+len(p.held) == 0 && p.usedShare() <= maxCopyLoad
		}
		if !spare[p] {
			continue
		}
		for t := range j.tasks() {
			if t.needsCopy(q.Attempts, now) && c.hasStartRoom() {
				c.placeCopy(t, p, now)
			}
		}
	}
}

// needsCopy reports whether a second copy of a task would probably end before the run that is
// under way, on an endpoint that is suspected: a task that is long by itself takes as long
// elsewhere. The failures of both must not use up its attempts, because a copy is no cause for a job to fail.
func (t *task) needsCopy(attempts int, now tmclock.Millis) bool {
	s := t.step
	if !s.spec.Speculative || s.spec.Gang || s.spec.LongRunning || s.spec.BestEffort || t.done || len(t.active) != 1 || t.crashes > 0 {
		return false
	}
	if attempts > 0 && t.failures+2 >= attempts || t.page.refused || now.Before(t.notBefore) {
		return false
	}
	r := t.active[0]
	if !r.ep.health.IsSuspected() || r.phase != active || r.stop || r.startedAt == 0 || r.percent >= 100 {
		return false
	}
	ran := now.Sub(r.startedAt)
	return ran >= tmstraggler.MinCopyAge && s.took.IsStraggler(float64(ran), r.expected(now))
}

// placeCopy starts a second copy of a task on another endpoint, if the share of copies permits.
func (c *Controller) placeCopy(t *task, p *pool, now tmclock.Millis) {
	if !c.copies.MayTake() || !c.withinLimit(t.step, 1) {
		return
	}
	first := t.active[0]
	var others []*endpoint
	for _, e := range p.endpointsWithoutTrouble(now) {
		if e != first.ep && !e.onTrial {
			others = append(others, e)
		}
	}
	e := c.chooseAmong(t.step, p, others)
	if e == nil {
		c.wantAdvice(t.step)
		return
	}
	c.copies.Take()
	c.assign(t, e, t.runs+1)
	c.event(tmevent.TaskCopied, "task", t.id.String(), "run", t.runs, "endpoint", e.info.ID,
		"from", first.ep.info.ID, "expected_ms", int64(first.expected(now)), "usual_ms", int64(t.step.took.Median()))
}
