package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

const (
	// stallTime is after what time without progress a task counts as stalled. A
	// long task shows progress in steps of a hundredth of its run time.
	stallTime  = 1500 * tmclock.Millisecond
	stallShare = 0.03
	// slowAfter is how long a task runs before its progress says something.
	slowAfter = 500 * tmclock.Millisecond
	// slowFactor is how many times as long as the other tasks of its step a task
	// takes to count as held up; slowRuns such tasks show that their endpoint is
	// slow. At least slowPeers others must be done.
	slowFactor = 2.5
	slowRuns   = 2
	slowPeers  = 2
	// troubleTime is how long an endpoint that is slow or stalled gets nothing
	// new.
	troubleTime = 2 * tmclock.Second
)

// judge looks for endpoints on which tasks stand still or take far too long.
// Declared run times are off in the same way for all tasks of a step, so a task
// is compared with the others of its step.
func (c *Controller) judge(e *endpoint, now tmclock.Millis) {
	held := 0
	for _, r := range e.runs {
		s := r.task.step
		if s.spec.LongRunning || s.spec.BestEffort || r.phase != active || r.stop || r.began == 0 {
			continue
		}
		if c.stalled(r, c.estimate(s.occ.job.spec.Queue, s.spec), now) {
			e.avoid = now.Add(troubleTime)
			c.stopRun(r, "no progress")
			continue
		}
		if r.heldUp(now) {
			held++
		}
	}
	if held < slowRuns {
		return
	}
	if !now.Before(e.avoid) {
		c.event(tmevent.EndpointSlow, "endpoint", e.info.ID, "held_up", held, "runs", len(e.runs))
	}
	e.avoid = now.Add(troubleTime)
}

// heldUp reports whether a run takes far longer than the other tasks of its step
// did, going by its progress.
func (r *run) heldUp(now tmclock.Millis) bool {
	ran := now.Sub(r.began)
	peers := r.task.step.took
	if ran < slowAfter || peers.count < slowPeers {
		return false
	}
	return float64(ran)*100/float64(max(r.percent, 1)) > slowFactor*peers.mean
}

func (c *Controller) stalled(r *run, expected float64, now tmclock.Millis) bool {
	limit := max(stallTime, tmclock.Span(stallShare*expected))
	return r.percent < 100 && now.Sub(max(r.began, r.moved)) > limit
}
