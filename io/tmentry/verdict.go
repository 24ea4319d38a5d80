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

// verdict says what follows an attempt.
type verdict struct {
	// result is delivered when final is set.
	result result
	final  bool
	// again queues the job again.
	again bool
	wait  tmclock.Span
	// ended is set when the attempt tells something about the endpoint, failed
	// says what.
	ended  bool
	failed bool
	// stopped is set when the endpoint stopped the task at its timeout.
	stopped bool
	// ran is the time that the task ran, 0 when it is not known.
	ran tmclock.Span
	// doubt keeps the unit of the team's limit until it is certain that the
	// task no longer runs.
	doubt *tmslice.Attempt
}

// judge decides what follows the end of an attempt.
func (e *Entry) judge(a assignment, s start, answer tmendpoint.Answer, err error) verdict {
	j := a.job
	if err == nil {
		j.attempts.Finish(tmonce.Answered)
		done := tmrequest.NewAnswer("application/json", answer.Body, false)
		return verdict{result: result{answer: done}, final: true, ended: true}
	}
	var failure *tmendpoint.AttemptError
	if !errors.As(err, &failure) {
		failure = &tmendpoint.AttemptError{Attempt: s.attempt, Outcome: tmonce.Unknown, Code: tmendpoint.CodeNoAnswer, Err: err}
	}
	e.metrics.attemptErrors.WithLabelValues(string(failure.Code)).Inc()
	switch failure.Outcome {
	case tmonce.NotRun:
		return e.judgeRefusal(a, failure)
	case tmonce.Ran:
		return e.judgeEnd(a, failure)
	default:
		return e.judgeSilence(a, s, failure)
	}
}

// judgeRefusal follows an attempt that certainly did not run.
func (e *Entry) judgeRefusal(a assignment, failure *tmendpoint.AttemptError) verdict {
	j := a.job
	end := tmonce.Refused
	if failure.Code == tmendpoint.CodeNotSent {
		end = tmonce.NotSent
	}
	j.attempts.Finish(end)
	j.refusals++
	if failure.NeverRuns() {
		j.failures++
		if j.failures >= maxNeverRuns {
			r := j.fail(tmrequest.NeverRuns, "%d endpoints of pool %s report that the task can never run there", j.failures, j.pool)
			return verdict{result: r, final: true}
		}
		j.avoid = append(j.avoid, a.endpoint)
	}
	e.leases.kickEndpoint(a.endpoint)
	wait := min(refusalWait<<min(j.refusals-1, 10), refusalWaitMax)
	return verdict{again: true, wait: wait, ended: end == tmonce.NotSent, failed: end == tmonce.NotSent}
}

// judgeEnd follows an attempt that ran without bringing an answer.
func (e *Entry) judgeEnd(a assignment, failure *tmendpoint.AttemptError) verdict {
	j := a.job
	if failure.Code == tmendpoint.CodeCheckpointed {
		// The task goes on from its checkpoint, so this is still the same run.
		j.attempts = tmonce.Attempts{}
		j.resumed = true
		return verdict{again: true}
	}
	j.attempts.Finish(tmonce.Answered)
	if failure.Code == tmendpoint.CodeStopped {
		r := j.fail(tmrequest.Deadline, "the task was stopped at its timeout")
		return verdict{result: r, final: true, stopped: true}
	}
	v := e.retry(a)
	v.ended, v.failed = true, true
	if !v.again {
		v.final = true
		v.result = j.fail(tmrequest.TaskFailed, "the task failed at endpoint %s", a.endpoint)
	}
	return v
}

// judgeSilence follows an attempt of which nobody knows whether it ran or
// still runs.
func (e *Entry) judgeSilence(a assignment, s start, failure *tmendpoint.AttemptError) verdict {
	j := a.job
	j.attempts.Finish(tmonce.Indeterminate)
	v := e.retry(a)
	v.ended, v.failed = true, true
	v.doubt = &tmslice.Attempt{ID: s.attempt, Team: j.team, Endpoint: a.endpoint, Sent: s.sent}
	if v.again {
		return v
	}
	v.final = true
	code := tmrequest.AnswerLost
	if failure.Code == tmendpoint.CodeAnswerBroken {
		code = tmrequest.AnswerBroken
	}
	v.result = j.fail(code, "no complete answer from endpoint %s", a.endpoint)
	return v
}

// retry decides whether a failed attempt is made again at another endpoint.
func (e *Entry) retry(a assignment) verdict {
	j := a.job
	j.failures++
	if !j.attempts.MayResend(j.req.Idempotent()) || j.failures >= maxFailures {
		return verdict{}
	}
	if !e.tables.retryPermitted() {
		return verdict{}
	}
	j.avoid = append(j.avoid, a.endpoint)
	if !slices.Contains(j.avoidRacks, a.rack) {
		j.avoidRacks = append(j.avoidRacks, a.rack)
	}
	e.metrics.retries.Inc()
	return verdict{again: true}
}

func (t *tables) retryPermitted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.retries.AllowRetry()
}
