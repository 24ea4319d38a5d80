package tmentry

import (
	"errors"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/core/tmslice"
	"turmericmoor/io/tmendpoint"
)

// disposition says what to do with a job after an attempt.
type disposition struct {
	// result is delivered when final is set.
	result result
	final  bool
	// requeue is set when the job is queued again, after delay.
	requeue bool
	delay   tmclock.Span
	// affectsHealth is set when the attempt counts for the health of the
	// endpoint, as a failure if failed is set.
	affectsHealth bool
	failed        bool
	// stopped is set when the endpoint stopped the task at its timeout.
	stopped bool
	// runTime is how long the task ran, or 0 when that is not known.
	runTime tmclock.Span
	// quarantine is set when the task may still be running. The unit of the
	// team's limit is kept until it is certain that the task no longer runs.
	quarantine *tmslice.Attempt
}

// handleAttemptEnd returns the disposition of a job by the result of an
// attempt.
func (e *Entry) handleAttemptEnd(a assignment, s startPermit, answer tmendpoint.Answer, err error) disposition {
	j := a.job
	if err == nil {
		j.attempts.Finish(tmonce.Answered)
		done := tmrequest.NewAnswer("application/json", answer.Body, false)
		return disposition{result: result{answer: done}, final: true, affectsHealth: true}
	}
	var failure *tmendpoint.AttemptError
	if !errors.As(err, &failure) {
		failure = &tmendpoint.AttemptError{Attempt: s.attempt, Outcome: tmonce.Unknown, Code: tmendpoint.CodeNoAnswer, Err: err}
	}
	e.metrics.attemptErrors.WithLabelValues(string(failure.Code)).Inc()
	switch failure.Outcome {
	case tmonce.NotRun:
		return e.handleNotRun(a, failure)
	case tmonce.Ran:
		return e.handleRan(a, failure)
	default:
		return e.handleUnknown(a, s, failure)
	}
}

// handleNotRun handles an attempt that certainly did not run.
func (e *Entry) handleNotRun(a assignment, failure *tmendpoint.AttemptError) disposition {
	j := a.job
	attemptResult := tmonce.Refused
	if failure.Code == tmendpoint.CodeNotSent {
		attemptResult = tmonce.NotSent
	}
	j.attempts.Finish(attemptResult)
	j.refusals++
	if failure.NeverRuns() {
		j.failures++
		if j.failures >= maxNeverRuns {
			r := j.fail(tmrequest.NeverRuns, "%d endpoints of pool %s report that the task can never run there", j.failures, j.pool)
			return disposition{result: r, final: true}
		}
		j.avoid = append(j.avoid, a.endpoint)
	}
	e.leases.triggerRenewal(a.endpoint)
	delay := min(refusalBackoff<<min(j.refusals-1, 10), maxRefusalBackoff)
	return disposition{requeue: true, delay: delay, affectsHealth: attemptResult == tmonce.NotSent, failed: attemptResult == tmonce.NotSent}
}

// handleRan handles an attempt that ran but returned no answer.
func (e *Entry) handleRan(a assignment, failure *tmendpoint.AttemptError) disposition {
	j := a.job
	if failure.Code == tmendpoint.CodeCheckpointed {
		// The task continues from its checkpoint, so the next attempt is part of
		// the same run.
		j.attempts = tmonce.Attempts{}
		j.resumed = true
		return disposition{requeue: true}
	}
	j.attempts.Finish(tmonce.Answered)
	if failure.Code == tmendpoint.CodeStopped {
		r := j.fail(tmrequest.Deadline, "the task was stopped at its timeout")
		return disposition{result: r, final: true, stopped: true}
	}
	d := e.retry(a)
	d.affectsHealth, d.failed = true, true
	if !d.requeue {
		d.final = true
		d.result = j.fail(tmrequest.TaskFailed, "the task failed at endpoint %s", a.endpoint)
	}
	return d
}

// handleUnknown handles an attempt of which it is not known whether the task
// ran or is still running.
func (e *Entry) handleUnknown(a assignment, s startPermit, failure *tmendpoint.AttemptError) disposition {
	j := a.job
	j.attempts.Finish(tmonce.Indeterminate)
	d := e.retry(a)
	d.affectsHealth, d.failed = true, true
	d.quarantine = &tmslice.Attempt{ID: s.attempt, Team: j.team, Endpoint: a.endpoint, Sent: s.sent}
	if d.requeue {
		return d
	}
	d.final = true
	code := tmrequest.AnswerLost
	if failure.Code == tmendpoint.CodeAnswerBroken {
		code = tmrequest.AnswerBroken
	}
	d.result = j.fail(code, "no complete answer from endpoint %s", a.endpoint)
	return d
}

// retry decides whether a failed attempt is repeated at another endpoint.
func (e *Entry) retry(a assignment) disposition {
	j := a.job
	j.failures++
	if !j.attempts.MayResend(j.req.Idempotent()) || j.failures >= maxFailures {
		return disposition{}
	}
	if !e.tables.retryPermitted() {
		return disposition{}
	}
	j.avoid = append(j.avoid, a.endpoint)
	if !slices.Contains(j.avoidRacks, a.rack) {
		j.avoidRacks = append(j.avoidRacks, a.rack)
	}
	e.metrics.retries.Inc()
	return disposition{requeue: true}
}

// retryPermitted takes one retry from the retry budget, or returns false when
// it is used up.
func (t *tables) retryPermitted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retries.AllowRetry()
}
