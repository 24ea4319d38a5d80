package tmentry

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/io/tmpeer"
)

// add queues a new job, or returns why it is rejected.
func (t *tables) add(j *job) *tmrequest.Error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopping {
		return tmrequest.Refuse(tmrequest.Stopping, "entry %s is stopping", t.e.opts.Name).WithRetryAfter(tmclock.Second)
	}
	if j.record != nil {
		if other, ok := t.recorded[j.record.key]; ok {
			return duplicateError(other, j)
		}
	}
	if fail := t.checkOverloadLocked(j); fail != nil {
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
	t.recordDemandLocked(j.pool)
	t.wakeLocked()
	return nil
}

// checkOverloadLocked rejects a request that would most likely wait until its
// timeout. Urgent requests are exempt, because they are served before the
// others.
func (t *tables) checkOverloadLocked(j *job) *tmrequest.Error {
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

// duplicateError returns the error for a request whose id an open job has.
func duplicateError(other, j *job) *tmrequest.Error {
	if other.record.digest != j.record.digest {
		return tmrequest.NewError(tmrequest.IDReused, tmonce.Unknown, "request id %s belongs to a request with other content", j.req.ID())
	}
	return tmrequest.NewError(tmrequest.InProgress, tmonce.Unknown, "request %s is in progress", j.req.ID()).WithRetryAfter(tmclock.Second)
}

// finishLocked delivers the result of a job and removes the job. It has no
// effect on a job that already has a result.
func (t *tables) finishLocked(j *job, r result) {
	if _, ok := t.jobs[j.id]; !ok {
		return
	}
	delete(t.jobs, j.id)
	delete(t.delayed, j.id)
	if j.record != nil && t.recorded[j.record.key] == j {
		delete(t.recorded, j.record.key)
	}
	j.done <- r
	if len(t.jobs) == 0 {
		t.idle.Broadcast()
	}
}

// abandon handles the disconnection of the caller of a job and returns the
// outcome to report. A queued job is removed. A running one is stopped unless
// its outcome is recorded, since the caller may submit the request again to get
// it.
func (t *tables) abandon(j *job) tmonce.Outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	if j.queued {
		t.queue.Remove(j.id)
		j.queued = false
		outcome := j.outcome()
		t.finishLocked(j, j.fail(tmrequest.Cancelled, "the caller has disconnected"))
		return outcome
	}
	j.abandoned = true
	if j.attempt != "" && j.record == nil {
		attempt, address := j.attempt, j.address
		t.e.loops.Go(func() { t.e.stopAttempt(attempt, address) })
	}
	return tmonce.Unknown
}

// rejectQueuedLocked ends all queued jobs because the entry is not fresh.
func (t *tables) rejectQueuedLocked() {
	for _, j := range t.jobs {
		if j.queued {
			t.queue.Remove(j.id)
			j.queued = false
			t.finishLocked(j, j.fail(tmrequest.NotFresh, "entry %s is partitioned from the table service and its peers", t.e.opts.Name))
		}
	}
}

// requeueAfterLocked queues a job again after the given delay.
func (t *tables) requeueAfterLocked(j *job, delay tmclock.Span) {
	now := t.clock.Now()
	if delay <= 0 {
		t.requeueLocked(j, now)
		return
	}
	j.delayedUntil = now.Add(delay)
	t.delayed[j.id] = j
}

// requeueLocked queues a job again, unless its caller has disconnected or its
// deadline has passed.
func (t *tables) requeueLocked(j *job, now tmclock.Millis) {
	j.delayedUntil = 0
	delete(t.delayed, j.id)
	switch {
	case j.abandoned && j.record == nil:
		t.finishLocked(j, j.fail(tmrequest.Cancelled, "the caller has disconnected"))
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

// status returns the status of a recorded request for a peer that asks.
func (t *tables) status(team, requestID string) tmpeer.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, j := range t.recorded {
		if j.team != team || j.req.ID() != requestID {
			continue
		}
		if j.queued || j.delayedUntil != 0 {
			return tmpeer.StatusQueued
		}
		return tmpeer.StatusRunning
	}
	return tmpeer.StatusNone
}
