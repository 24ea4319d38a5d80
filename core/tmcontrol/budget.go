package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
)

func (c *Controller) onlyLongRunning(e *endpoint) bool {
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
		if r.task.step.spec.MayMiss > 0 {
			ending[r.task.step]++
		}
	}
	for s, n := range ending {
		if n+c.away(s, e) > s.spec.MayMiss {
			return false
		}
	}
	return true
}

// relocate stops long-running tasks on an instance that has more of one step
// than may be ended at once. They start again elsewhere, one by one.
func (c *Controller) relocate(instance string, now tmclock.Millis) {
	e := c.endpointOn(instance)
	if e == nil {
		return
	}
	here := map[*step]int{}
	for _, r := range e.runs {
		if r.task.step.spec.MayMiss > 0 {
			here[r.task.step]++
		}
	}
	p := c.pools(now)[e.info.Service]
	for _, r := range sortedRuns(e) {
		s := r.task.step
		if p == nil || c.choose(s, p, now) == nil {
			c.fleet.starved[e.info.Service] = true
			continue
		}
		if here[s] <= s.spec.MayMiss || r.stop || c.away(s, nil) >= s.spec.MayMiss {
			continue
		}
		here[s]--
		c.stopRun(r, "makes way for maintenance")
	}
}

func sortedRuns(e *endpoint) []*run {
	runs := make([]*run, 0, len(e.runs))
	for _, r := range e.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return cmp.Compare(a.task.id.String(), b.task.id.String()) })
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
