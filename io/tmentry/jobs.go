package tmentry

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/io/tmpeer"
)

// add queues a new job.
func (t *tables) add(j *job) *tmrequest.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return tmrequest.Refuse(tmrequest.Stopping, "entry %s is stopping", t.e.opts.Name).WithRetryAfter(tmclock.Second)
	}
	if j.record != nil {
		if other, ok := t.recorded[j.record.key]; ok {
			return duplicateOf(other, j)
		}
	}
	if fail := t.overloadedLocked(j); fail != nil {
		return fail
	}
	if err := t.queue.Push(j.queueItem()); err != nil {
		return tmrequest.Refuse(tmrequest.Overloaded, "%v", err).WithRetryAfter(tmclock.Second)
	}
	t.retries.RecordRequest()
	j.queued = true
	t.jobs[j.id] = j
	if j.record != nil {
		t.recorded[j.record.key] = j
	}
	t.demandedLocked(j.pool)
	t.wakeLocked()
	return nil
}

// overloadedLocked refuses a request that would most likely wait until its
// timeout. Urgent requests go ahead of the queue.
func (t *tables) overloadedLocked(j *job) *tmrequest.Error {
	if j.req.Urgent() {
		return nil
	}
	load := t.queue.Demand().Get(j.pool, j.team)
	if t.admit.ShouldQueue(j.kind(), j.req.Timeout(), load.Queued, load.Running) {
		return nil
	}
	return tmrequest.Refuse(tmrequest.Overloaded, "%d requests of team %s wait for pool %s, longer than the timeout",
		load.Queued, j.team, j.pool).WithRetryAfter(tmclock.Second)
}

func duplicateOf(other, j *job) *tmrequest.Error {
	if other.record.digest != j.record.digest {
		return tmrequest.NewError(tmrequest.IDReused, tmonce.Unknown, "request id %s belongs to a request with other content", j.req.ID())
	}
	return tmrequest.NewError(tmrequest.InProgress, tmonce.Unknown, "request %s is in progress", j.req.ID()).WithRetryAfter(tmclock.Second)
}

// finishLocked delivers the result of a job and forgets it. It has no effect on
// a job that has a result already.
func (t *tables) finishLocked(j *job, r result) {
	if _, ok := t.jobs[j.id]; !ok {
		return
	}
	delete(t.jobs, j.id)
	delete(t.parked, j.id)
	if j.record != nil && t.recorded[j.record.key] == j {
		delete(t.recorded, j.record.key)
	}
	j.done <- r
	if len(t.jobs) == 0 {
		t.idle.Broadcast()
	}
}

// abandon is told when the caller of a job has gone. A queued job is dropped.
// A running one is stopped unless its outcome is recorded, since its caller
// may come back for it. It reports what may be said about the request.
func (t *tables) abandon(j *job) tmonce.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.queued {
		t.queue.Remove(j.id)
		j.queued = false
		outcome := j.outcome()
		t.finishLocked(j, j.fail(tmrequest.Cancelled, "the caller has gone"))
		return outcome
	}
	j.abandoned = true
	if j.attempt != "" && j.record == nil {
		attempt, address := j.attempt, j.address
		t.e.loops.Go(func() { t.e.stopAttempt(attempt, address) })
	}
	return tmonce.Unknown
}

func (t *tables) refuseQueuedLocked() {
	for _, j := range t.jobs {
		if j.queued {
			t.queue.Remove(j.id)
			j.queued = false
			t.finishLocked(j, j.fail(tmrequest.NotFresh, "entry %s is cut off from the table service and its peers", t.e.opts.Name))
		}
	}
}

// parkLocked queues a job again after the given time.
func (t *tables) parkLocked(j *job, wait tmclock.Span) {
	now := t.clock.Now()
	if wait <= 0 {
		t.unparkLocked(j, now)
		return
	}
	j.parkedUntil = now.Add(wait)
	t.parked[j.id] = j
}

func (t *tables) unparkLocked(j *job, now tmclock.Millis) {
	j.parkedUntil = 0
	delete(t.parked, j.id)
	switch {
	case j.abandoned && j.record == nil:
		t.finishLocked(j, j.fail(tmrequest.Cancelled, "the caller has gone"))
	case !now.Before(j.deadline):
		t.finishLocked(j, j.fail(tmrequest.Deadline, "the request waited until its timeout"))
	default:
		if err := t.queue.Push(j.queueItem()); err != nil {
			t.finishLocked(j, j.fail(tmrequest.Overloaded, "%v", err))
			return
		}
		j.queued = true
		t.wakeLocked()
	}
}

// status tells a peer where a recorded request is.
func (t *tables) status(team, requestID string) tmpeer.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.recorded {
		if j.team != team || j.req.ID() != requestID {
			continue
		}
		if j.queued || j.parkedUntil != 0 {
			return tmpeer.StatusQueued
		}
		return tmpeer.StatusRunning
	}
	return tmpeer.StatusNone
}
