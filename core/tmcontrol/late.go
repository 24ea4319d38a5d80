package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

// This file keeps track of start orders that may be carried out late. An order without an
// answer is not bound to the lifetime of the endpoint that it was meant for: the next lifetime
// has the same id, knows nothing of the runs before, and its clock starts anew, so that the end
// of the lease in the order doesn't expire the order there. Only a call with a higher fencing
// token shuts such orders out.

// maxOrderDelay is the longest time after which an order without an answer may still be
// carried out.
const maxOrderDelay = 13 * tmclock.Second

// lateStart is a released run of which copies of the start order have no answer.
type lateStart struct {
	run    runKey
	copies int
	// until is the time after which no copy is carried out any more.
	until tmclock.Millis
}

// copySent records that a copy of the start order of a run is being sent.
func (r *run) copySent(now tmclock.Millis) {
	r.copies++
	r.lateUntil = now.Add(maxOrderDelay)
}

// copyAnswered records the answer to a copy of the start order of a run. A copy with an answer
// is not carried out later.
func (r *run) copyAnswered(a Answer, now tmclock.Millis) {
	if a == NoAnswer {
		return
	}
	r.answeredCopies++
	r.accepted = r.accepted || a == Accepted
	if r.unansweredCopies() == 0 {
		r.lateUntil = now
	}
}

// lateCopies returns how many copies of the start order of a run may still be carried out.
func (r *run) lateCopies(now tmclock.Millis) int {
	if !now.Before(r.lateUntil) {
		return 0
	}
	return r.unansweredCopies()
}

// unansweredCopies returns how many copies of the start order of a run have no answer and were not
// carried out.
func (r *run) unansweredCopies() int {
	n := r.copies - r.answeredCopies
	if r.begun && !r.accepted {
		// One of those without an answer was carried out.
		n--
	}
	return max(n, 0)
}

// StartRepeated records that a second copy of a start order is about to be sent. It reports
// false if the copy must not be sent, because the run has to end or its endpoint has restarted.
func (c *Controller) StartRepeated(ref RunRef, now tmclock.Millis) bool {
	r := c.findRun(ref)
	if r == nil || r.sentAt != ref.SentAt || r.ep.token != ref.Token || r.stop {
		return false
	}
	r.copySent(now)
	return true
}

// CopyAnswered handles the answer to a copy of a start order whose answer Started does not get:
// another copy was answered first.
func (c *Controller) CopyAnswered(ref RunRef, a Answer, now tmclock.Millis) {
	if r := c.findRun(ref); r != nil {
		r.copyAnswered(a, now)
		return
	}
	if e := c.endpoints[ref.Endpoint]; e != nil && a != NoAnswer {
		e.forgetLateCopy(runKey{ref.Task, ref.Run})
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

// keepLateStart remembers a released run of which copies may still be carried out.
func (e *endpoint) keepLateStart(r *run, now tmclock.Millis) {
	if n := r.lateCopies(now); n > 0 {
		e.lateStarts = append(e.lateStarts, lateStart{run: r.key(), copies: n, until: r.lateUntil})
	}
}

// forgetLateCopy takes one copy of the start order of a released run off.
func (e *endpoint) forgetLateCopy(key runKey) {
	i := slices.IndexFunc(e.lateStarts, func(l lateStart) bool { return l.run == key })
	if i < 0 {
		return
	}
	e.lateStarts[i].copies--
	if e.lateStarts[i].copies == 0 {
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
	case r.lateCopies(now) > 0:
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
	c.stopRun(r, string(causeRestarted))
	r.phase, r.settledAt, r.listed = unconfirmed, c.now, false
	r.stopSentAt, r.stopConfirmed, r.crashed = 0, false, true
	r.ep.extendLeaseExpiry(r.lateUntil.Add(maxLeaseTime(c.bounds.MaxLease)))
	c.event(tmevent.RunInDoubt, "task", r.task.id.String(), "run", r.n, "endpoint", r.ep.info.ID,
		"copies", r.copies, "unanswered", r.lateCopies(c.now), "for_ms", int64(max(0, r.lateUntil.Sub(c.now))))
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
		r.copies, r.lateUntil = l.copies, l.until
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
		if listedAt.After(r.lateUntil) {
			c.loseRun(r, causeDown)
		}
	}
}
