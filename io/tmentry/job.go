package tmentry

import (
	"context"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/core/tmshare"
)

// job is a request that an entry has accepted. Its fields are guarded by
// tables.mu, except those that only the worker running it uses.
type job struct {
	// id is unique for each submission, unlike the request id.
	id       string
	req      tmrequest.Request
	team     string
	pool     string
	deadline tmclock.Millis
	arrived  tmclock.Millis
	done     chan result

	// queued is set while the job is in the queue. delayedUntil is set while it
	// waits to be queued again.
	queued       bool
	delayedUntil tmclock.Millis
	// abandoned is set once the caller has disconnected.
	abandoned bool
	// attempt, address and zone identify the running attempt. They are empty
	// between attempts.
	attempt string
	address string
	zone    string
	// fromPeer is set for a request that another entry has forwarded.
	fromPeer bool

	// The fields below belong to the worker that runs the job.
	attempts   tmonce.Attempts
	refusals   int
	failures   int
	avoid      []string
	avoidRacks []string
	// resumed is set once the task was checkpointed, so that it has already run
	// in part.
	resumed bool
	record  *runRecord
}

// result is what the submitter of a job receives.
type result struct {
	answer tmrequest.Answer
	fail   *tmrequest.Error
}

// queueItem returns the job as a request of tmshare.Queue.
func (j *job) queueItem() tmshare.Request[*job] {
	return tmshare.Request[*job]{
		ID:       j.id,
		Pool:     j.pool,
		Team:     j.team,
		Urgent:   j.req.Urgent(),
		Bytes:    len(j.req.Body()),
		Deadline: j.deadline,
		Value:    j,
	}
}

// kind returns the kind of work within which run times are assumed to be
// similar.
func (j *job) kind() tmadmit.Kind {
	return tmadmit.Kind{Team: j.team, Queue: j.req.Queue()}
}

// owned reports whether this entry has created the record of the request. No
// other entry may start the request then.
func (j *job) owned() bool {
	return j.record != nil && j.record.owned
}

// outcome returns the outcome to report if the job ends now.
func (j *job) outcome() tmonce.Outcome {
	o := j.attempts.Outcome()
	if j.resumed && o == tmonce.NotRun {
		return tmonce.Unknown
	}
	return o
}

// fail returns the error result for ending the job now.
func (j *job) fail(code tmrequest.Code, format string, args ...any) result {
	return result{fail: tmrequest.NewError(code, j.outcome(), format, args...)}
}

// wait returns the result of the job, or false when ctx ends first.
func (j *job) wait(ctx context.Context) (result, bool) {
	select {
	case r := <-j.done:
		return r, true
	case <-ctx.Done():
		return result{}, false
	}
}
