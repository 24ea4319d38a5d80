package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

// This file takes over what an earlier owner has stored.

// Withhold keeps a job from starting anything, because what an earlier owner has stored
// about it can't be read: it would begin anew. The stored pages of its progress stay until
// the job is cancelled.
func (c *Controller) Withhold(id string, pages []int) {
	j := c.jobs[id]
	if j == nil {
		return
	}
	for _, n := range pages {
		j.page(n).stored = true
	}
	if !j.final {
		c.removeOpenJob(j)
		c.markClean(j)
	}
}

// Restore loads the stored progress of a job that was submitted to an earlier
// owner. Its open runs stay unconfirmed until their endpoint answers.
func (c *Controller) Restore(p tmjob.Progress, now tmclock.Millis) {
	j := c.jobs[p.ID]
	if j == nil {
		return
	}
	if !j.restore(&p) {
		c.event(tmevent.RecordIgnored, "job", p.ID, "step", 0, "index", 0)
		c.Withhold(p.ID, p.Pages)
		return
	}
	for i := range p.Tasks {
		c.restoreTask(j, &p.Tasks[i], now)
	}
	c.restorePages(j, p.Pages)
}

// restoreTask loads the record of a task, unless its occurrence is done.
func (c *Controller) restoreTask(j *job, rec *tmjob.TaskRecord, now tmclock.Millis) {
	t := j.task(tmjob.TaskID{Job: j.spec.ID, Occurrence: rec.Occurrence, Step: rec.Step, Index: rec.Index})
	if t == nil {
		if rec.Occurrence >= j.next || j.occurrences[rec.Occurrence] != nil {
			c.event(tmevent.RecordIgnored, "job", j.spec.ID, "step", rec.Step, "index", rec.Index)
		}
		return
	}
	// Whether a run that may still be active has begun is not known.
	t.begun = rec.Begun
	j.begun = j.begun || rec.Done || rec.Begun
	t.runs, t.failures, t.checkpoint = rec.Runs, rec.Failures, rec.Checkpoint
	t.crashes, t.suspicions, t.suspectedAt = rec.Crashes, rec.Suspicions, now
	j.hasSuspects = j.hasSuspects || t.isSuspect()
	j.failed = j.failed || t.failures > 0
	if rec.Done {
		t.done = true
		t.step.left--
		if t.step.left == 0 {
			t.step.occ.left--
		}
		return
	}
	for _, place := range rec.Placements {
		if place.Lapsed {
			c.restoreLapse(t, place)
		} else {
			c.restoreRun(t, place, now)
		}
	}
}

func (c *Controller) restoreRun(t *task, place tmjob.Placement, now tmclock.Millis) {
	e := c.endpoints[place.Endpoint]
	if e == nil {
		e = c.addEndpoint(EndpointInfo{ID: place.Endpoint, StartedAt: place.EndpointStart})
		e.listed = false
	}
	// The entry in the list may be that of an earlier lifetime, written late.
	if place.EndpointStart > e.info.StartedAt {
		e.info.StartedAt, e.info.Seq = place.EndpointStart, 0
	}
	r := c.addRun(t, e, place.Run)
	r.phase = unconfirmed
	if place.EndpointStart != 0 && e.info.StartedAt > place.EndpointStart {
		// The endpoint has restarted since. The run is gone, unless the earlier owner did not
		// know that and the new lifetime carried out its order.
		r.crashed = true
		c.recordRestoredCrash(t, e, place)
		e.extendLeaseExpiry(now.Add(maxLeaseTime(c.bounds.MaxLease)))
	} else {
		// If this owner can't reach the endpoint, the earlier owner may still be renewing
		// its lease.
		e.extendLeaseExpiry(now.Add(maxUnconfirmedTime + maxLeaseTime(c.bounds.Lease)))
		if place.Isolated {
			r.isolated, e.isolated = true, t.culprit()
		}
	}
	if t.step.occ.job.final {
		c.stopRun(r, "job "+t.step.occ.job.state.String())
	}
}

// Loaded records that all stored jobs have been loaded, so that placement may
// begin. An earlier owner may have stored some pages of a change and not the others: the
// end of some members of a gang, or the ends of all tasks of a job without its outcome.
func (c *Controller) Loaded() {
	c.loaded, c.loadedAt = true, c.now
	for _, j := range slices.Clone(c.openJobs) {
		for _, o := range j.occurrences {
			c.completeGangs(o)
		}
		if j.isDone() {
			c.finish(j, tmjob.Completed, "all tasks are done")
			continue
		}
		for _, o := range j.occurrences {
			c.closeIfIdle(o)
		}
	}
}

// completeGangs records the end of gangs of which some member is done.
func (c *Controller) completeGangs(o *occurrence) {
	for _, s := range o.steps {
		if s.spec.Gang && s.left > 0 && s.left < len(s.tasks) {
			c.completeGang(s)
		}
	}
}
