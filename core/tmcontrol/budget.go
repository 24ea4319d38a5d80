package tmcontrol

import (
	"slices"

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

// mayEndAll reports whether every long-running step stays within its MaxUnavailable
// budget when all runs of an endpoint end.
func (c *Controller) mayEndAll(e *endpoint) bool {
	ending := map[*step]int{}
	for _, r := range e.runs {
		if r.task.step.spec.MaxUnavailable > 0 {
			ending[r.task.step]++
		}
	}
	for s, n := range ending {
		if n+c.unavailable(s, e) > s.spec.MaxUnavailable {
			return false
		}
	}
	return true
}

// relocate stops long-running tasks on an instance that has more tasks of one step
// than the step's MaxUnavailable. The stopped tasks start again elsewhere, one after
// another.
func (c *Controller) relocate(instance string, pools map[string]*pool) {
	e := c.endpointOn(instance)
	if e == nil || e.longRunning == (tmjob.Resources{}) {
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
		if !c.hasOtherPlace(s, p) {
			c.reportShortage(e.info.Service, 1)
			continue
		}
		if here[s] <= s.spec.MaxUnavailable || r.stop || c.unavailable(s, nil) >= s.spec.MaxUnavailable {
			continue
		}
		here[s]--
		c.stopRun(r, "relocated for maintenance")
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

// unavailable counts the tasks of a step that don't serve users or are about to end.
// It leaves out the tasks at e.
func (c *Controller) unavailable(s *step, e *endpoint) int {
	n := 0
	for _, t := range s.tasks {
		here, ending := false, false
		for _, r := range t.active {
			here = here || r.ep == e
			ending = ending || r.ep.ending
		}
		if !here && (ending || !t.isServing()) {
			n++
		}
	}
	return n
}
