package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

// This file records crashes of endpoints and attributes them to the tasks that may have
// caused them. A crash leaves no end of a run behind, so every task that was just starting on
// the endpoint is a suspect: see suspicion.go.

const (
	// zoneFaultWindow and fleetFaultWindow are the most that two crashes with a common cause
	// outside of the endpoints lie apart, in one availability zone and anywhere.
	zoneFaultWindow  = 2 * tmclock.Second
	fleetFaultWindow = 300 * tmclock.Millisecond
	// crashRetention is how long after a crash other tasks are cleared once its cause is
	// found.
	crashRetention = 60 * tmclock.Second
)

// lossCause says how the loss of an endpoint or of its runs became known. Its text is
// written to logs.
type lossCause string

const (
	causeRestarted lossCause = "endpoint restarted"
	causeReplaced  lossCause = "instance has a new endpoint"
	causeDown      lossCause = "instance is down"
	causeRemoved   lossCause = "instance does not exist any more"
	// causeUnknown: the instance of the endpoint is not known, so an order for it may
	// have ended the endpoint.
	causeUnknown lossCause = "no instance runs the endpoint"
	// causeLapsed: the endpoint is silent, and may still be up.
	causeLapsed      lossCause = "lease lapsed"
	causeMaintenance lossCause = "maintenance"
	causeMoved       lossCause = "moved to another pool"
)

// mayReturn reports whether the endpoint may start again under its id.
func (l lossCause) mayReturn() bool {
	return l == causeDown || l == causeUnknown || l == causeRestarted
}

// crash is the end of a lifetime of an endpoint that was not planned.
type crash struct {
	endpoint, zone string
	startedAt      int64
	// noticedAt is the time of the first sign of the crash, at when it became known.
	noticedAt, at tmclock.Millis
	cause         lossCause
	runs          []*run
	// mayBeOrder is set if an order of an earlier owner may have ended the lifetime.
	mayBeOrder bool
	// suspected lists the tasks that became more suspicious by the crash.
	suspected []suspectedTask
}

// starting returns the tasks that may have caused the crash by starting. Beside one that
// was isolated, no other was starting.
func (cr *crash) starting() []*task {
	isolated := cr.tasksOf(func(r *run) bool { return r.isolated && r.isStarting() })
	if len(isolated) > 0 {
		return isolated
	}
	return cr.tasksOf((*run).isStarting)
}

// tasks returns all tasks that ran on the endpoint.
func (cr *crash) tasks() []*task {
	return cr.tasksOf(func(*run) bool { return true })
}

// tasksOf returns the distinct tasks of the runs that match.
func (cr *crash) tasksOf(match func(*run) bool) []*task {
	var tasks []*task
	for _, r := range cr.runs {
		if t := r.task.culprit(); match(r) && !slices.Contains(tasks, t) {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// isCounted reports whether the crash is already counted under a task as a lapse.
func (cr *crash) isCounted(t *task) bool {
	return slices.ContainsFunc(cr.runs, func(r *run) bool { return r.counted && r.task.culprit() == t })
}

// isCrash reports whether the end of a lifetime was not planned: no order for the
// instance ended it, and the endpoint had not announced that it would leave.
func isCrash(e *endpoint, cause lossCause) bool {
	switch cause {
	case causeMaintenance, causeMoved, causeLapsed:
		return false
	case causeRestarted, causeReplaced, causeDown, causeRemoved, causeUnknown:
	}
	return !e.ending && !e.info.Draining
}

// mayHaveBeenOrdered reports whether an order of an earlier owner may have ended a
// lifetime. An instance that is down or gone has crashed: orders keep it moving or in maintenance.
func (c *Controller) mayHaveBeenOrdered(e *endpoint, cause lossCause) bool {
	switch cause {
	case causeDown, causeRemoved:
		return false
	case causeUnknown:
		return true
	case causeRestarted, causeReplaced, causeMaintenance, causeMoved, causeLapsed:
	}
	return c.now.Before(c.fleet.earliestOrder[e.info.Instance])
}

// recordCrash records the end of a lifetime with the runs that it ended, if it was not
// planned. It is attributed later, together with all others that become known at the same
// time. The end of an idle endpoint that never answered this owner may lie far back.
func (c *Controller) recordCrash(e *endpoint, cause lossCause, lost []*run) {
	if !isCrash(e, cause) || len(e.runs)+len(e.lapsed) == 0 && !e.tokenAccepted {
		return
	}
	cr := &crash{
		endpoint: e.info.ID, zone: e.info.Zone, startedAt: e.info.StartedAt, noticedAt: e.silentSince(c.now), at: c.now,
		cause: cause, mayBeOrder: c.mayHaveBeenOrdered(e, cause), runs: e.lapsed,
	}
	for _, r := range lost {
		if r.phase != planned && !r.crashed {
			cr.runs = append(cr.runs, r)
		}
	}
	c.newCrashes = append(c.newCrashes, cr)
}

// recordRestoredCrash records that an endpoint has restarted since an earlier owner
// stored a run on it.
func (c *Controller) recordRestoredCrash(t *task, e *endpoint, place tmjob.Placement) {
	r := &run{task: t, n: place.Run, ep: e, isolated: place.Isolated, counted: place.Lapsed}
	for _, cr := range c.newCrashes {
		if cr.endpoint == place.Endpoint && cr.startedAt == place.EndpointStart {
			cr.runs = append(cr.runs, r)
			return
		}
	}
	c.newCrashes = append(c.newCrashes, &crash{
		endpoint: place.Endpoint, zone: e.info.Zone, startedAt: place.EndpointStart, at: c.now, cause: causeRestarted,
		mayBeOrder: c.mayHaveBeenOrdered(e, causeRestarted), runs: []*run{r},
	})
}

// attributeCrashes attributes the crashes that have become known since the last call.
// It waits until all stored jobs are loaded, because other runs may have been on the
// endpoints of those that are.
func (c *Controller) attributeCrashes() {
	if !c.loaded || len(c.newCrashes) == 0 {
		return
	}
	batch := c.newCrashes
	c.newCrashes = nil
	c.recentCrashes = slices.DeleteFunc(c.recentCrashes, func(cr *crash) bool { return c.now.Sub(cr.at) > crashRetention })
	c.recentCrashes = append(c.recentCrashes, batch...)
	for _, cr := range batch {
		c.attributeCrash(cr)
	}
}

func (c *Controller) attributeCrash(cr *crash) {
	starting := cr.starting()
	blameless := cr.mayBeOrder || c.isSharedFault(cr)
	c.event(tmevent.EndpointCrashed, "endpoint", cr.endpoint, "zone", cr.zone, "runs", len(cr.runs),
		"starting", len(starting), "blameless", blameless, "cause", string(cr.cause))
	candidates := starting
	if len(starting) == 0 && !blameless {
		candidates = cr.tasks()
	}
	for _, t := range candidates {
		if t.done || t.step.occ.job.final {
			continue
		}
		if !cr.isCounted(t) {
			t.crashes++
		}
		if n := cr.suspicionsAfter(t, len(starting)); n > t.suspicions && len(starting) > 0 && !blameless {
			cr.suspected = append(cr.suspected, suspectedTask{task: t, added: n - t.suspicions})
			t.suspicions = n
		}
		c.recordCrashUnder(t, cr.endpoint)
	}
}

// isSharedFault reports whether an endpoint on which nothing was starting has crashed at
// about the same time, so that the cause was probably not a task.
func (c *Controller) isSharedFault(cr *crash) bool {
	for _, other := range slices.Backward(c.recentCrashes) {
		since := cr.at.Sub(other.at)
		if since > zoneFaultWindow {
			return false
		}
		if other.endpoint == cr.endpoint || other.mayBeOrder || len(other.starting()) > 0 {
			continue
		}
		if other.zone == cr.zone || since <= fleetFaultWindow {
			return true
		}
	}
	return false
}
