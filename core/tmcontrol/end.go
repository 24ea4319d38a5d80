package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

// This file applies the ends of runs to their tasks and jobs.

// recordEnd records that an endpoint has listed the end of a run.
func (c *Controller) recordEnd(e *endpoint, end EndedRun, now tmclock.Millis) {
	r := e.runs[runKey{end.Task, end.Run}]
	t := c.findTask(end.Task)
	c.event(tmevent.RunEnded, "task", end.Task.String(), "run", end.Run, "endpoint", e.info.ID, "how", end.Reason.String(), "number", end.Number)
	if r != nil {
		r.markBegun()
		c.recordHealth(e, r, end.Reason, now)
		c.recordRunTime(r, end.Reason, now)
		c.release(r)
	}
	if t == nil {
		return
	}
	t.setCheckpoint(end.Checkpoint)
	// The end of a run that the controller doesn't know was processed before, and its
	// failure is included in the progress that an earlier owner stored. EndDone is
	// applied in any case, because a task that is complete stays complete.
	if !t.step.occ.job.final && !t.done && (r != nil || end.Reason == EndDone) {
		c.applyEnd(t, e, end)
	}
}

func (c *Controller) findTask(id tmjob.TaskID) *task {
	if j := c.jobs[id.Job]; j != nil {
		return j.task(id)
	}
	return nil
}

// applyEnd applies the end of a run to its task.
func (c *Controller) applyEnd(t *task, e *endpoint, end EndedRun) {
	j := t.step.occ.job
	c.markDirty(t)
	t.page.addEnd(e, end.Number)
	switch end.Reason {
	case EndDone:
		if t.step.spec.LongRunning {
			return
		}
		if t.step.spec.Gang {
			c.completeGang(t.step)
			for _, member := range t.step.tasks {
				member.page.addEnd(e, end.Number)
			}
		} else {
			c.markDone(t)
		}
		c.closeOccurrence(t.step.occ)
	case EndFailed:
		if t.step.spec.LongRunning {
			return
		}
		t.failures++
		// The next attempt may wait anew for a better place.
		t.step.blockedSince = 0
		j.failed = true
		limit := c.rules.Queues[j.spec.Queue].Attempts
		if limit > 0 && t.failures >= limit {
			c.finish(j, tmjob.Failed, "task "+t.id.String()+" failed too often")
		}
	case EndStopped, EndLapsed, EndGangBroken, EndGangIncomplete:
	}
}

// completeGang records that all members of a gang are done, because one of them is.
func (c *Controller) completeGang(s *step) {
	for _, t := range s.tasks {
		c.markDone(t)
	}
}

func (c *Controller) markDone(t *task) {
	if t.done {
		return
	}
	c.markDirty(t)
	t.done = true
	t.step.left--
	if t.step.left == 0 {
		t.step.occ.left--
	}
	for _, r := range append([]*run(nil), t.active...) {
		// The members of a gang end by themselves. Any other run is a speculative
		// copy, or was started after the lease of the completed run had expired. Such
		// a run has to be stopped even if its start order got no answer, because the
		// endpoint could carry out the order later.
		if !t.step.spec.Gang {
			c.stopRun(r, "another run is done")
		}
	}
}

// closeOccurrence records that an occurrence is done, and completes the job with
// the last one.
func (c *Controller) closeOccurrence(o *occurrence) {
	if o.left > 0 {
		return
	}
	j := o.job
	c.event(tmevent.OccurrenceDone, "job", j.spec.ID, "occurrence", o.number)
	if j.isDone() {
		c.finish(j, tmjob.Completed, "all tasks are done")
		return
	}
	c.closeIfIdle(o)
}
