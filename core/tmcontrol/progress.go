package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmstraggler"
)

const (
	// minStallTime is the minimum time without progress after which a task counts as
	// stalled. For long tasks the time is stallShare of their run time, because tasks
	// report progress in steps of a hundredth of their run time.
	minStallTime = 1500 * tmclock.Millisecond
	stallShare   = 0.03
	// minObservedTime is how long a task must have run before its progress is
	// meaningful.
	minObservedTime = 500 * tmclock.Millisecond
)

// checkProgress looks for runs at an endpoint that are stalled, and for endpoints whose runs
// are far too slow. A task is compared with the others of its step, because declared run times
// are off in the same way for all of them, or with its queue while these are not done.
func (c *Controller) checkProgress(e *endpoint, now tmclock.Millis) {
	var observed []tmstraggler.Observation
	var alone map[*step]tmstraggler.Observation
	for _, r := range e.runs {
		s := r.task.step
		if s.spec.LongRunning || s.spec.BestEffort || r.phase != active || r.stop || r.startedAt == 0 {
			continue
		}
		if c.stalled(r, c.estimate(s.occ.job.spec.Queue, s.spec), now) {
			c.suspectEndpoint(e, e.health.Stalled(now), now)
			c.stopRun(r, "no progress")
			continue
		}
		switch o, ok := c.compareWithQueue(r, now); {
		case r.canCompare(now):
			observed = append(observed, c.compare(r, now))
		case ok:
			if alone == nil {
				alone = map[*step]tmstraggler.Observation{}
			}
			alone[s] = o.Mildest(alone[s])
		}
	}
	for _, o := range alone {
		observed = append(observed, o)
	}
	if s, found := e.health.Judge(observed); found {
		c.suspectEndpoint(e, s, now)
		return
	}
	c.settleTrial(e, now)
}

// canCompare reports whether a run has lasted long enough to be compared with the other
// tasks of its step, and enough of those are done.
func (r *run) canCompare(now tmclock.Millis) bool {
	return now.Sub(r.startedAt) >= minObservedTime && r.task.step.took.CanCompare()
}

// compare compares a run with the other tasks of its step.
func (c *Controller) compare(r *run, now tmclock.Millis) tmstraggler.Observation {
	o := tmstraggler.Observation{StartedAt: r.startedAt, Ratio: r.task.step.took.Ratio(r.expected(now)), TailShare: r.task.step.took.TailShare()}
	if t := c.runTimes[r.task.step.occ.job.spec.Queue]; t != nil {
		o.TailShare, o.TailKnown = t.TailShare(), t.TailKnown()
	}
	return o
}

// compareWithQueue compares a run of a step of which too few tasks are done with its queue, if its
// tail is known. The runs of such a step count as one, because all tasks of a step may be long.
func (c *Controller) compareWithQueue(r *run, now tmclock.Millis) (tmstraggler.Observation, bool) {
	t := c.runTimes[r.task.step.occ.job.spec.Queue]
	if t == nil || !t.TailKnown() || now.Sub(r.startedAt) < minObservedTime {
		return tmstraggler.Observation{}, false
	}
	return tmstraggler.Observation{StartedAt: r.startedAt, Ratio: t.Ratio(r.expected(now)), TailShare: t.LongShare(), TailKnown: true}, true
}

// expected returns the total run time of a run in ms, extrapolated from its progress.
func (r *run) expected(now tmclock.Millis) float64 {
	return float64(now.Sub(r.startedAt)) * 100 / float64(max(r.percent, 1))
}

func (c *Controller) stalled(r *run, expected float64, now tmclock.Millis) bool {
	limit := max(minStallTime, tmclock.Span(stallShare*expected))
	return r.percent < 100 && now.Sub(max(r.startedAt, r.progressedAt)) > limit
}
