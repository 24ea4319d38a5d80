package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

const (
	// paceHigh and paceLow are parts of the target of a serving task: above the
	// one, tasks that fill beside it are slowed, below the other they are let go.
	paceHigh = 0.9
	paceLow  = 0.6
	// paceCut is what slowing leaves of a pace, paceStep what is given back at a
	// time, in percent.
	paceCut  = 0.4
	paceStep = 20
	// paceFloor is the pace in percent below which a task is halted.
	paceFloor = 10
	// paceEvery is the time between two changes of a task's pace; a new pace
	// needs time to show in the tail of the response times.
	paceEvery = 700 * tmclock.Millisecond
	// paceWait is how long a hold may wait where tasks that serve and tasks that
	// fill run side by side.
	paceWait = 300 * tmclock.Millisecond
)

// planPaces slows tasks that fill where tasks beside them miss their target, and
// lets them go again.
func (c *Controller) planPaces(e *endpoint, now tmclock.Millis) {
	if e.filling == 0 {
		return
	}
	worst := 0.0
	for _, r := range e.runs {
		if s := r.task.step.spec; s.LatencyTarget > 0 && r.phase == active {
			worst = max(worst, float64(r.usage)/float64(s.LatencyTarget))
		}
	}
	for _, r := range e.runs {
		if !r.task.step.spec.BestEffort || r.phase != active || r.stop || r.paced != 0 && now.Sub(r.paced) < paceEvery {
			continue
		}
		pace := nextPace(r.pace, worst)
		if pace == r.pace && r.paced != 0 || pace == 100 && r.pace == 100 {
			continue
		}
		r.pace, r.paced = pace, now
		c.event(tmevent.TaskPaced, "task", r.task.id.String(), "run", r.n, "endpoint", e.info.ID,
			"percent", pace, "worst_of_target", worst)
		ref := RunRef{Task: r.task.id, Run: r.n, Endpoint: e.info.ID, SentAt: now}
		c.paces = append(c.paces, PaceOrder{Ref: ref, Address: e.info.Address, Percent: pace, Token: c.token})
	}
}

// nextPace returns the pace in percent after one at which the worst serving task
// beside was at that multiple of its target.
func nextPace(pace int, worst float64) int {
	switch {
	case worst > paceHigh:
		pace = int(float64(pace) * paceCut)
		if pace < paceFloor {
			pace = 0
		}
	case worst < paceLow:
		pace = min(pace+paceStep, 100)
	}
	return pace
}
