package tmcontrol

import (
	"math"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

const (
	// minSampleWeight is the minimum weight of the newest value in a moving mean.
	minSampleWeight = 0.05
	// maxEstimateRatio limits how far a declared run time may differ from the mean of
	// its queue, as a factor in either direction.
	maxEstimateRatio = 2.0
)

// movingMean is a moving mean of times in ms.
type movingMean struct {
	mean  float64
	count int
}

// recordRunTime adds the duration of a run to the mean run times of its step and of
// its queue.
func (c *Controller) recordRunTime(r *run, now tmclock.Millis) {
	s := r.task.step
	if s.spec.LongRunning || r.n > 1 && s.spec.Checkpoint {
		return
	}
	queue := s.occ.job.spec.Queue
	t := c.runTimes[queue]
	if t == nil {
		t = &movingMean{}
		c.runTimes[queue] = t
	}
	took := float64(now.Sub(r.startedAt))
	s.took.add(took)
	t.add(took)
}

func (t *movingMean) add(v float64) {
	t.count++
	t.mean += (v - t.mean) * math.Max(minSampleWeight, 1/float64(t.count))
}

// estimate returns the expected run time of a task in ms: the declared run time,
// limited to the range from 1/maxEstimateRatio to maxEstimateRatio times the mean of
// the queue.
func (c *Controller) estimate(queue string, s *tmjob.Step) float64 {
	declared := float64(s.Estimate)
	t := c.runTimes[queue]
	if t == nil || t.count < 5 {
		return math.Max(declared, 1)
	}
	return math.Max(t.mean/maxEstimateRatio, math.Min(t.mean*maxEstimateRatio, declared))
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
		perTask := took * float64(max(s.spec.Size.CPU, 100))
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
