package tmcontrol

import (
	"math"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

const (
	// learnWeight is the weight of the newest run time in the moving mean.
	learnWeight = 0.05
	// trust bounds how far a declared run time is believed away from the mean
	// of its queue, as a factor either way.
	trust = 2.0
)

// runTime is a moving mean of run times.
type runTime struct {
	mean  float64
	count int
}

// learn takes in how long a run took.
func (c *Controller) learn(r *run, now tmclock.Millis) {
	s := r.task.step
	if s.spec.LongRunning || r.n > 1 && s.spec.Checkpoint {
		return
	}
	queue := s.occ.job.spec.Queue
	t := c.runTimes[queue]
	if t == nil {
		t = &runTime{}
		c.runTimes[queue] = t
	}
	took := float64(now.Sub(r.began))
	s.took.add(took)
	t.add(took)
}

func (t *runTime) add(v float64) {
	t.count++
	t.mean += (v - t.mean) * math.Max(learnWeight, 1/float64(t.count))
}

// estimate returns the expected run time of a task in ms: the declared one,
// kept within a factor of the mean of the queue.
func (c *Controller) estimate(queue string, s *tmjob.Step) float64 {
	declared := float64(s.Estimate)
	t := c.runTimes[queue]
	if t == nil || t.count < 5 {
		return math.Max(declared, 1)
	}
	return math.Max(t.mean/trust, math.Min(t.mean*trust, declared))
}

// outlook is what the planner weighs of an occurrence.
type outlook struct {
	// chain is the longest chain of what is left in ms, work what is left in
	// core-milliseconds.
	chain, work float64
	// total is the chain of the whole occurrence in ms.
	total float64
}

func (c *Controller) outlook(o *occurrence) outlook {
	var out outlook
	queue := o.job.spec.Queue
	left := make([]float64, len(o.steps))
	all := make([]float64, len(o.steps))
	for i, s := range o.steps {
		took := c.estimate(queue, s.spec)
		all[i] = took
		if s.left > 0 {
			left[i] = took
			out.work += took * float64(s.left) * float64(max(s.spec.Size.CPU, 100))
		}
		var before, beforeAll float64
		for _, a := range s.spec.After {
			before = math.Max(before, left[a])
			beforeAll = math.Max(beforeAll, all[a])
		}
		left[i] += before
		all[i] += beforeAll
		out.chain = math.Max(out.chain, left[i])
		out.total = math.Max(out.total, all[i])
	}
	return out
}
