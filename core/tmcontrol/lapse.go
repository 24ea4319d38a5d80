package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// This file ends runs on silent endpoints. An endpoint that doesn't answer may have crashed
// or be cut off: a lapse under a task that was starting counts as a crash until that is known.

// maxEvidenceWait is how long a run is kept after its lease has expired until its endpoint
// shows whether it has crashed.
const maxEvidenceWait = 10 * tmclock.Second

// lapse ends the runs of a silent endpoint whose leases have expired.
func (c *Controller) lapse(e *endpoint) {
	var lapsed []*run
	for _, r := range e.runs {
		if !r.awaitsEvidence(c.now) {
			lapsed = append(lapsed, r)
		}
	}
	c.recordLapse(e, lapsed)
	for _, r := range lapsed {
		c.loseRun(r, causeLapsed)
	}
}

// awaitsEvidence reports whether a run is kept although its lease has expired, because the
// job of its task fails if the endpoint has crashed.
func (r *run) awaitsEvidence(now tmclock.Millis) bool {
	t := r.task.culprit()
	return t.crashes >= maxCrashes-1 && !t.step.spec.LongRunning && !r.stop && r.mayHaveCrashed() && now.Sub(r.ep.leaseExpiry) < maxEvidenceWait
}

// mayHaveCrashed reports whether a run on a silent endpoint was starting there.
func (r *run) mayHaveCrashed() bool {
	return r.phase != planned && !r.crashed && r.isStarting() && !r.task.culprit().done
}

// recordLapse counts the lapse of a lease under a run that was starting as a crash, since
// an endpoint that has crashed may be away for longer than the lease. It fails no job, since
// the endpoint may only be silent.
func (c *Controller) recordLapse(e *endpoint, lapsed []*run) {
	var counted []*task
	for _, r := range lapsed {
		if r.phase == planned || r.crashed {
			continue
		}
		e.lapsed = append(e.lapsed, r)
		t := r.task.culprit()
		if !r.mayHaveCrashed() || slices.Contains(counted, t) {
			continue
		}
		counted = append(counted, t)
		r.counted = true
		r.task.lapsed = append(r.task.lapsed, r)
		t.crashes++
		c.markDirty(r.task)
		c.suspect(t, e.info.ID)
	}
}

// forgetLapse takes back what recordLapse counted: the endpoint was only silent.
func (c *Controller) forgetLapse(e *endpoint) {
	for _, r := range e.lapsed {
		if r.counted {
			r.task.culprit().crashes--
		}
	}
	c.settleLapse(e)
}

// settleLapse removes the runs whose leases have lapsed at an endpoint, once it is known
// whether it has crashed.
func (c *Controller) settleLapse(e *endpoint) {
	for _, r := range e.lapsed {
		if !r.counted {
			continue
		}
		r.task.lapsed = slices.DeleteFunc(r.task.lapsed, func(other *run) bool { return other == r })
		if !r.task.step.occ.job.final {
			c.markDirty(r.task)
		}
	}
	e.lapsed = nil
}

// restoreLapse continues a lapse that an earlier owner has counted. One at an endpoint
// that is no longer listed stays counted.
func (c *Controller) restoreLapse(t *task, place tmjob.Placement) {
	e := c.endpoints[place.Endpoint]
	switch {
	case e == nil:
	case place.EndpointStart != 0 && e.info.StartedAt > place.EndpointStart:
		c.recordRestoredCrash(t, e, place)
	default:
		r := &run{task: t, n: place.Run, ep: e, phase: active, isolated: place.Isolated, counted: true}
		e.lapsed = append(e.lapsed, r)
		t.lapsed = append(t.lapsed, r)
	}
}

// forgetLapses drops the lapses that are counted against a task.
func (t *task) forgetLapses() {
	for _, r := range t.lapsed {
		r.ep.dropLapsed(r)
	}
	t.lapsed = nil
}

func (e *endpoint) dropLapsed(r *run) {
	e.lapsed = slices.DeleteFunc(e.lapsed, func(other *run) bool { return other == r })
}
