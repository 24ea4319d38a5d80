package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// onlyLongRunning reports whether nothing but long-running tasks runs at e.
func (e *endpoint) onlyLongRunning() bool {
	for _, r := range e.runs {
		if !r.task.step.spec.LongRunning {
			return false
		}
	}
	return true
}

// mayEndAll reports whether ending all runs of an endpoint leaves every
// long-running step within the number of tasks that may be away.
func (c *Controller) mayEndAll(e *endpoint) bool {
	ending := map[*step]int{}
	for _, r := range e.runs {
		if r.task.step.spec.MaxUnavailable > 0 {
			ending[r.task.step]++
		}
	}
	for s, n := range ending {
		if n+c.away(s, e) > s.spec.MaxUnavailable {
			return false
		}
	}
	return true
}

// relocate stops long-running tasks on an instance that has more of one step
// than may be ended at once. They start again elsewhere, one by one.
func (c *Controller) relocate(instance string, pools map[string]*pool, now tmclock.Millis) {
	e := c.endpointOn(instance)
	if e == nil || e.long == (tmjob.Resources{}) {
		return
	}
	here := map[*step]int{}
	for _, r := range e.runs {
		if r.task.step.spec.MaxUnavailable > 0 {
			here[r.task.step]++
		}
	}
	p := pools[e.info.Service]
	for _, r := range longRuns(e) {
		s := r.task.step
		if p == nil || c.choose(s, p, now) == nil {
			c.starve(e.info.Service, 1)
			continue
		}
		if here[s] <= s.spec.MaxUnavailable || r.stop || c.away(s, nil) >= s.spec.MaxUnavailable {
			continue
		}
		here[s]--
		c.stopRun(r, "makes way for maintenance")
	}
}

// longRuns returns the runs of long-running tasks at an endpoint in a fixed order.
func longRuns(e *endpoint) []*run {
	var runs []*run
	for _, r := range e.runs {
		if r.task.step.spec.LongRunning {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, func(a, b *run) int { return a.task.id.Compare(b.task.id) })
	return runs
}

// away counts the tasks of a step, without those at e, that are not at work or
// are about to be ended.
func (c *Controller) away(s *step, e *endpoint) int {
	n := 0
	for _, t := range s.tasks {
		here, ending := false, false
		for _, r := range t.active {
			here = here || r.ep == e
			ending = ending || r.ep.ending
		}
		if !here && (ending || !t.atWork()) {
			n++
		}
	}
	return n
}
