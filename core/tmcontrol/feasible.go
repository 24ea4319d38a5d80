package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmjob"
)

// This file tells jobs that no instance of the fleet can run, in whatever pool it is.

// feasibility answers for one pass whether the fleet could run tasks if it were empty.
type feasibility struct {
	c *Controller
	// known holds the answers so far.
	known map[request]bool
	// waiting counts the open tasks that wait, nil if they are not counted.
	waiting map[taskKind]int64
}

// request is what decides whether the tasks of a step could run: count tasks at once.
type request struct {
	label       string
	reservation tmjob.Resources
	count       int64
}

func newFeasibility(c *Controller) *feasibility {
	return &feasibility{c: c, known: map[request]bool{}}
}

// couldRun reports whether the fleet could run all steps of a job.
func (f *feasibility) couldRun(j *job) bool {
	limit := f.c.rules.Teams[j.spec.Team].Limit
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		if !s.Size.Within(limit) || !f.couldPlace(s) {
			return false
		}
	}
	return true
}

// couldPlace reports whether the fleet has an instance for a task of a step, and enough of them
// for all tasks of a gang.
func (f *feasibility) couldPlace(s *tmjob.Step) bool {
	r := request{label: s.Label, reservation: s.Reservation(), count: 1}
	if s.Gang {
		r.count = int64(s.Count)
	}
	feasible, ok := f.known[r]
	if !ok {
		feasible = f.c.hasInstancesFor(r)
		f.known[r] = feasible
	}
	return feasible
}

// hasInstancesFor reports whether the instances of the fleet and the endpoints have room for a
// request, if they are empty.
func (c *Controller) hasInstancesFor(r request) bool {
	left := r.count
	for _, i := range c.fleet.instances {
		if left -= r.fitsInto(i.Capacity, i.Labels); left <= 0 {
			return true
		}
	}
	for _, e := range c.endpoints {
		if _, ok := c.fleet.instances[e.info.Instance]; ok || e.gone {
			continue
		}
		if left -= r.fitsInto(e.info.Capacity, e.info.Labels); left <= 0 {
			return true
		}
	}
	return false
}

// fitsInto returns how many of the tasks fit into some capacity.
func (r *request) fitsInto(capacity tmjob.Resources, labels []string) int64 {
	if r.label != "" && !slices.Contains(labels, r.label) {
		return 0
	}
	return r.reservation.CountIn(capacity, r.count)
}
