package tmcontrol

import (
	"math"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmstraggler"
)

// minEstimateRuns is the number of runs of a queue from which on declared run times are limited
// by them.
const minEstimateRuns = 5

// recordRunTime adds the duration of a run that is done to the run times of its step and of
// its queue.
func (c *Controller) recordRunTime(r *run, reason EndReason, now tmclock.Millis) {
	s := r.task.step
	if reason != EndDone || r.startedAt == 0 || s.spec.LongRunning || r.n > 1 && s.spec.Checkpoint {
		return
	}
	queue := s.occ.job.spec.Queue
	t := c.runTimes[queue]
	if t == nil {
		t = &tmstraggler.Times{}
		c.runTimes[queue] = t
	}
	took := float64(now.Sub(r.startedAt))
	s.took.Add(took)
	t.Add(took)
	c.observeRun(r, took, now)
}

// estimate returns the expected run time of a task in ms: the declared run time, limited to
// the range from 1/tmadmit.MaxEstimateRatio to tmadmit.MaxEstimateRatio times that of a typical
// task of the queue.
func (c *Controller) estimate(queue string, s *tmjob.Step) float64 {
	return c.limitEstimate(queue, s, (*tmstraggler.Times).Typical)
}

// meanEstimate does the same with the mean of the queue, for sums over many tasks, to which
// the long ones of a heavy tail belong.
func (c *Controller) meanEstimate(queue string, s *tmjob.Step) float64 {
	return c.limitEstimate(queue, s, (*tmstraggler.Times).Mean)
}

func (c *Controller) limitEstimate(queue string, s *tmjob.Step, centre func(*tmstraggler.Times) float64) float64 {
	declared := float64(s.Estimate)
	t := c.runTimes[queue]
	if t == nil || t.Count() < minEstimateRuns {
		return math.Max(declared, 1)
	}
	usual := centre(t)
	return math.Max(usual/tmadmit.MaxEstimateRatio, math.Min(usual*tmadmit.MaxEstimateRatio, declared))
}

// workload is the planner's estimate of an occurrence.
type workload struct {
	// criticalPath is the longest chain of remaining steps in ms, work the remaining
	// work in thousandths of a core times ms.
	criticalPath, work float64
	// workNotReady is the part of the work that waits for earlier steps.
	workNotReady float64
	// fullCriticalPath and fullWork are those of the whole occurrence.
	fullCriticalPath, fullWork float64
}

func (c *Controller) workload(o *occurrence) workload {
	var out workload
	queue := o.job.spec.Queue
	left := make([]float64, len(o.steps))
	all := make([]float64, len(o.steps))
	for i, s := range o.steps {
		took := c.estimate(queue, s.spec)
		all[i] = took
		perTask := c.meanEstimate(queue, s.spec) * float64(max(s.spec.Size.CPU, 100))
		out.fullWork += perTask * float64(s.spec.Count)
		if s.left > 0 {
			left[i] = took
			out.work += perTask * float64(s.left)
			if !s.ready() {
				out.workNotReady += perTask * float64(s.left)
			}
		}
		var before, beforeAll float64
		for _, a := range s.spec.After {
			before = math.Max(before, left[a])
			beforeAll = math.Max(beforeAll, all[a])
		}
		left[i] += before
		all[i] += beforeAll
		out.criticalPath = math.Max(out.criticalPath, left[i])
		out.fullCriticalPath = math.Max(out.fullCriticalPath, all[i])
	}
	return out
}
