package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmlate"
)

// This file keeps track of start orders that may be carried out late. An order without an
// answer is not bound to the lifetime of the endpoint that it was meant for: the next lifetime
// has the same id, knows nothing of the runs before, and its clock starts anew, so that the end
// of the lease in the order doesn't expire the order there. Only a call with a higher fencing
// token shuts such orders out.

// lateStart is a released run whose start order may still be carried out.
type lateStart struct {
	run runKey
	// sends is how many sends of the order have no answer, until when they may be carried out.
	sends int
	until tmclock.Millis
}

// startAnswered records the answer to a send of the start order of a run.
func (r *run) startAnswered(a Answer, now tmclock.Millis) {
	if a != NoAnswer {
		r.sends.Answered(a == Accepted, now)
	}
}

// StartRepeated records that a start order is about to be sent a second time. It reports false if
// that must not happen, because the run has to end or its endpoint has restarted.
func (c *Controller) StartRepeated(ref RunRef, now tmclock.Millis) bool {
	r := c.findRun(ref)
	if r == nil || r.sentAt != ref.SentAt || r.ep.token != ref.Token || r.stop {
		return false
	}
	r.sends.Sent(now)
	return true
}

// SendAnswered handles the answer to a send of a start order that Started does not get, because
// another send was answered first.
func (c *Controller) SendAnswered(ref RunRef, a Answer, now tmclock.Millis) {
	if r := c.findRun(ref); r != nil {
		r.startAnswered(a, now)
		return
	}
	if e := c.endpoints[ref.Endpoint]; e != nil && a != NoAnswer {
		e.forgetLateSend(runKey{ref.Task, ref.Run})
	}
}

// findRun returns the run that an order is about, or nil.
func (c *Controller) findRun(ref RunRef) *run {
	e := c.endpoints[ref.Endpoint]
	if e == nil {
		return nil
	}
	return e.runs[runKey{ref.Task, ref.Run}]
}

// keepLateStart remembers a released run whose start order may still be carried out.
func (e *endpoint) keepLateStart(r *run, now tmclock.Millis) {
	if n := r.sends.Late(now); n > 0 {
		e.lateStarts = append(e.lateStarts, lateStart{run: r.key(), sends: n, until: r.sends.Until()})
	}
}

// forgetLateSend takes one send of the start order of a released run off.
func (e *endpoint) forgetLateSend(key runKey) {
	i := slices.IndexFunc(e.lateStarts, func(l lateStart) bool { return l.run == key })
	if i < 0 {
		return
	}
	e.lateStarts[i].sends--
	if e.lateStarts[i].sends == 0 {
		e.lateStarts = slices.Delete(e.lateStarts, i, i+1)
	}
}

// pruneLateStarts forgets the start orders that can't be carried out any more.
func (e *endpoint) pruneLateStarts(now tmclock.Millis) {
	e.lateStarts = slices.DeleteFunc(e.lateStarts, func(l lateStart) bool { return !now.Before(l.until) })
}

// mayStartLate reports whether the next lifetime of its endpoint may have carried out the start
// order of a run, or may still do so. list is what that lifetime has listed, nil if that isn't
// known yet.
func (r *run) mayStartLate(list *runList, now tmclock.Millis) bool {
	switch {
	case r.phase == planned:
		return false
	case r.sends.Late(now) > 0:
		return true
	case r.listed:
		return false
	}
	// The answer to its order may have come from the next lifetime.
	return list == nil || !list.provesAbsence(r)
}

// endRuns ends the runs of a lifetime that is over. Those that the next lifetime may start are
// kept until that one shows that it can't start them any more.
func (c *Controller) endRuns(runs []*run, mayStartLate func(*run) bool, cause lossCause) {
	for _, r := range runs {
		if mayStartLate(r) {
			c.stopLateStart(r)
		} else {
			c.loseRun(r, cause)
		}
	}
}

// stopLateStart stops a run whose start order the next lifetime of its endpoint may carry out.
// Until it shows that the run is not there, the task must not start elsewhere.
func (c *Controller) stopLateStart(r *run) {
	if r.phase == unconfirmed && r.crashed {
		return
	}
	c.stopRun(r, "its endpoint may start it late")
	r.phase, r.settledAt, r.listed = unconfirmed, c.now, false
	r.stopSentAt, r.stopConfirmed, r.crashed = 0, false, true
	r.ep.extendLeaseExpiry(r.sends.Until().Add(maxLeaseTime(c.bounds.MaxLease)))
	c.event(tmevent.RunInDoubt, "task", r.task.id.String(), "run", r.n, "endpoint", r.ep.info.ID,
		"sends", r.sends.Count(), "unanswered", r.sends.Late(c.now), "for_ms", int64(max(0, r.sends.Until().Sub(c.now))))
}

// recallLateStarts takes up again the runs that the next lifetime of an endpoint may start
// although they were released, if their tasks are to start again.
func (c *Controller) recallLateStarts(e *endpoint) {
	var kept []lateStart
	for _, l := range e.lateStarts {
		t := c.findTask(l.run.task)
		if t == nil || t.done || t.step.occ.job.final || len(t.active) > 0 {
			kept = append(kept, l)
			continue
		}
		r := c.addRun(t, e, l.run.run)
		r.sends = tmlate.Restore(l.sends, l.until)
		c.markDirty(t)
		c.stopLateStart(r)
	}
	e.lateStarts = kept
}

// forgetLateStarts releases all runs of an endpoint that does not start again under its id.
func (c *Controller) forgetLateStarts(e *endpoint, cause lossCause) {
	c.loseRuns(e, cause)
	e.lateStarts = nil
}

// releaseLateStarts releases the runs on an endpoint that is over, once their start orders can't
// be carried out any more and its instance was still down when the list of instances was
// requested.
func (c *Controller) releaseLateStarts(e *endpoint, listedAt tmclock.Millis) {
	for _, r := range e.runs {
		if listedAt.After(r.sends.Until()) {
			c.loseRun(r, causeDown)
		}
	}
}
