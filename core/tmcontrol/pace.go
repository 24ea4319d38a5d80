package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

const (
	// paceHigh and paceLow are fractions of the latency target of a serving task.
	// Above paceHigh, best-effort tasks beside it are slowed; below paceLow, they are
	// sped up again.
	paceHigh = 0.9
	paceLow  = 0.6
	// paceCutFactor is the factor by which a pace is reduced, paceStep how much it is
	// raised at a time, in percent.
	paceCutFactor = 0.4
	paceStep      = 20
	// minPace is the pace in percent below which a task is halted.
	minPace = 10
	// paceInterval is the minimum time between two changes of a task's pace. A new
	// pace takes time to show in the tail latency.
	paceInterval = 700 * tmclock.Millisecond
	// paceHoldWait is how long a hold may wait where serving and best-effort tasks
	// run side by side.
	paceHoldWait = 300 * tmclock.Millisecond
)

// planPaces slows best-effort tasks while a serving task on the same endpoint
// misses its latency target, and speeds them up again afterwards.
func (c *Controller) planPaces(e *endpoint, now tmclock.Millis) {
	if e.bestEffort == 0 {
		return
	}
	worst := 0.0
	for _, r := range e.runs {
		if s := r.task.step.spec; s.LatencyTarget > 0 && r.phase == active {
			worst = max(worst, float64(r.usage)/float64(s.LatencyTarget))
		}
	}
	for _, r := range e.runs {
		if !r.task.step.spec.BestEffort || r.phase != active || r.stop || r.pacedAt != 0 && now.Sub(r.pacedAt) < paceInterval {
			continue
		}
		pace := nextPace(r.pace, worst)
		if pace == r.pace && r.pacedAt != 0 || pace == 100 && r.pace == 100 {
			continue
		}
		r.pace, r.pacedAt = pace, now
		c.event(tmevent.TaskPaced, "task", r.task.id.String(), "run", r.n, "endpoint", e.info.ID,
			"percent", pace, "worst_of_target", worst)
		ref := RunRef{Task: r.task.id, Run: r.n, Endpoint: e.info.ID, SentAt: now, Token: e.token}
		c.paces = append(c.paces, PaceOrder{Ref: ref, Address: e.info.Address, Percent: pace})
	}
}

// nextPace returns the next pace in percent. worst is the highest usage of a
// serving task on the same endpoint, as a multiple of its target.
func nextPace(pace int, worst float64) int {
	switch {
	case worst > paceHigh:
		pace = int(float64(pace) * paceCutFactor)
		if pace < minPace {
			pace = 0
		}
	case worst < paceLow:
		pace = min(pace+paceStep, 100)
	}
	return pace
}
