package tmentry

import (
	"context"
	"errors"
	"slices"

	"github.com/google/uuid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/core/tmroute"
	"turmericmoor/core/tmshare"
	"turmericmoor/core/tmslice"
	"turmericmoor/io/tmendpoint"
)

const (
	// maxFailures is how many attempts of an idempotent request may fail.
	maxFailures = 3
	// maxNeverRuns is how many endpoints have to say that a task can never run
	// before the caller is told.
	maxNeverRuns = 2
	// answerSlack is how much longer than the timeout of a task the entry
	// waits for the endpoint to say that it has stopped it.
	answerSlack = 1 * tmclock.Second
	// refusalWait is the first wait after an endpoint refused a task, doubled
	// up to refusalWaitMax.
	refusalWait    = 5 * tmclock.Millisecond
	refusalWaitMax = 200 * tmclock.Millisecond
)

// assignment is a job with the endpoint that it starts at.
type assignment struct {
	job      *job
	endpoint string
	rack     string
}

// start is the permission to start one task, valid for a short time only.
type start struct {
	attempt string
	lease   string
	nonce   string
	address string
	zone    string
	sent    tmclock.Millis
}

// work is the loop of one worker.
func (e *Entry) work() {
	for {
		a, ok := e.tables.take()
		if !ok {
			return
		}
		e.run(a)
	}
}

// take waits for a job that can start. It returns false when the tables are
// closed.
func (t *tables) take() (assignment, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for {
		if t.closed {
			return assignment{}, false
		}
		if a, ok := t.nextLocked(); ok {
			if a.job == nil {
				continue
			}
			// There may be more to start than the one signal that woke this
			// worker.
			t.wakeLocked()
			return a, true
		}
		t.ready.Wait()
	}
}

func (t *tables) nextLocked() (assignment, bool) {
	pools := t.state.Config().Pools().Keys()
	for i := range pools {
		pool := pools[(t.next+i)%len(pools)]
		if t.queue.Demand().Pool(pool).Queued == 0 || t.picker.Idle(pool) == 0 {
			continue
		}
		if a, ok := t.assignLocked(pool); ok {
			t.next = (t.next + i + 1) % len(pools)
			return a, true
		}
	}
	return assignment{}, false
}

// assignLocked returns an assignment, or one without a job when a request was
// given up in its place. It returns false when nothing can start in the pool.
func (t *tables) assignLocked(pool string) (assignment, bool) {
	r, ok := t.queue.Next(pool, t.sliceView())
	if !ok {
		return assignment{}, false
	}
	j := r.Value
	j.queued = false
	if !j.resumed && !t.admit.WorthStarting(j.kind(), j.deadline.Sub(t.clock.Now())) {
		t.queue.Finished(pool, j.team)
		t.finishLocked(j, j.fail(tmrequest.Deadline, "the time left is shorter than tasks of this kind take"))
		return assignment{}, true
	}
	name, ok := t.picker.Pick(tmroute.Want{
		Pool:       pool,
		Zone:       t.e.opts.Zone,
		Avoid:      j.avoid,
		AvoidRacks: j.avoidRacks,
		Idempotent: j.req.Idempotent(),
	})
	if !ok || !t.acquireLocked(j.team) {
		if ok {
			t.picker.Release(name)
		}
		t.queue.Finished(pool, j.team)
		t.parkLocked(j, refusalWait)
		return assignment{}, false
	}
	in, _ := t.state.Config().Instances().Get(name)
	return assignment{job: j, endpoint: name, rack: in.Rack()}, true
}

// unlimited is a SliceView without limits.
type unlimited struct{}

// Available implements tmshare.SliceView.
func (unlimited) Available(string) int { return workers }

func (t *tables) sliceView() tmshare.SliceView {
	if t.e.disabled.slices.Load() {
		return unlimited{}
	}
	return t.ledger
}

func (t *tables) acquireLocked(team string) bool {
	return t.ledger.Acquire(team) || t.e.disabled.slices.Load()
}

// run makes one attempt and settles it.
func (e *Entry) run(a assignment) {
	j := a.job
	if j.record != nil && !j.record.owned && !e.disabled.record.Load() {
		if r, ok := e.claim(j); !ok {
			e.tables.settle(a, verdict{result: r, final: true})
			return
		}
	}
	s, refusal := e.tables.permit(a)
	if refusal != nil {
		e.tables.settle(a, *refusal)
		return
	}
	answer, err := e.attempt(a, s)
	v := e.judge(a, s, answer, err)
	if v.ended && v.doubt == nil || v.stopped {
		v.ran = e.clock.Now().Sub(s.sent)
	}
	e.tables.settle(a, v)
}

// permit takes the nonce first and checks after that, so that a start that is
// delayed in this process after the checks carries a nonce at least as old.
func (t *tables) permit(a assignment) (start, *verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := a.job
	l, held := t.leases[a.endpoint]
	if !held {
		return start{}, &verdict{again: true}
	}
	s := start{attempt: uuid.NewString(), lease: l.id, nonce: l.nonce, address: l.instance.Address(), zone: l.instance.Zone()}
	s.sent = t.clock.Now()
	if !t.e.fresh() {
		r := j.fail(tmrequest.NotFresh, "entry %s is cut off from the table service and its peers", t.e.opts.Name)
		return start{}, &verdict{result: r, final: true}
	}
	state := t.e.tracker.State()
	if _, _, fail := authorize(state, j.req); fail != nil {
		r := j.fail(fail.Code(), "%s", fail.Message())
		return start{}, &verdict{result: r, final: true}
	}
	in, ok := state.Config().Instances().Get(a.endpoint)
	if !ok || in.Pool() != j.pool || !t.usableLocked(in, l) || !state.Config().Usable(in) {
		return start{}, &verdict{again: true}
	}
	j.attempt, j.address, j.zone = s.attempt, s.address, s.zone
	if j.req.Preemptible() {
		t.tasks.Add(tmshare.Task{ID: s.attempt, Pool: j.pool, Team: j.team, Started: s.sent})
	}
	return s, nil
}

func (e *Entry) attempt(a assignment, s start) (tmendpoint.Answer, error) {
	j := a.job
	remaining := max(j.deadline.Sub(s.sent), tmclock.Millisecond)
	ctx, cancel := context.WithTimeout(e.ctx, (remaining + answerSlack).Duration())
	defer cancel()
	j.attempts.Begin()
	return e.endpoints.Start(ctx, s.address, tmendpoint.Task{
		Lease:       s.lease,
		Nonce:       s.nonce,
		Attempt:     s.attempt,
		RequestID:   j.req.ID(),
		Team:        j.team,
		Queue:       j.req.Queue(),
		Timeout:     remaining,
		Size:        float64(j.req.Size()),
		Preemptible: j.req.Preemptible(),
		Body:        j.req.Body(),
	})
}

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
		end = tmonce.Unwritten
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
	return verdict{again: true, wait: wait, ended: end == tmonce.Unwritten, failed: end == tmonce.Unwritten}
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
	j.attempts.Finish(tmonce.Broken)
	v := e.retry(a)
	v.ended, v.failed = true, true
	v.doubt = &tmslice.Attempt{ID: s.attempt, Team: j.team, Endpoint: a.endpoint, Sent: s.sent}
	if v.again {
		return v
	}
	v.final = true
	code := tmrequest.AnswerLost
	if failure.Code == tmendpoint.CodeBroken {
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
	return t.retries.Retry()
}

// settle releases what the attempt used and delivers its result or queues the
// job again. The record of the request is written before the result is
// delivered.
func (t *tables) settle(a assignment, v verdict) {
	j := a.job
	if v.final && j.record != nil {
		v.result = t.e.closeRecord(j, v.result)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tasks.Remove(j.attempt)
	j.attempt, j.address, j.zone = "", "", ""
	t.queue.Finished(j.pool, j.team)
	if v.ran > 0 && !j.resumed {
		t.admit.Observe(j.kind(), v.ran)
	}
	if v.doubt != nil {
		t.ledger.Quarantine(*v.doubt)
	} else {
		t.ledger.Release(j.team)
	}
	if v.ended {
		t.picker.Ended(a.endpoint, tmroute.Kind{Team: j.team, Queue: j.req.Queue()}, v.failed)
	} else {
		t.picker.Release(a.endpoint)
	}
	if v.final {
		t.finishLocked(j, v.result)
	} else {
		t.parkLocked(j, v.wait)
	}
	t.wakeLocked()
}

// stopAttempt asks an endpoint to end a task whose caller has gone.
func (e *Entry) stopAttempt(attempt, address string) {
	if _, err := e.endpoints.Stop(e.ctx, address, attempt); err != nil {
		e.log.Debug("task not stopped", "attempt", attempt, "error", err)
	}
}

// resolveDoubts asks endpoints to end the tasks that brought no answer, and
// releases the units of those that certainly no longer run.
func (e *Entry) resolveDoubts(ctx context.Context) {
	t := e.tables
	t.mu.Lock()
	t.ledger.ReleaseExpired()
	doubts := t.ledger.Doubts()
	addresses := make([]string, len(doubts))
	for i, d := range doubts {
		if in, ok := t.state.Config().Instances().Get(d.Endpoint); ok {
			addresses[i] = in.Address()
		}
	}
	t.mu.Unlock()
	for i, d := range doubts {
		if addresses[i] == "" {
			continue
		}
		asked := e.clock.Now()
		if _, err := e.endpoints.Stop(ctx, addresses[i], d.ID); err != nil {
			continue
		}
		t.mu.Lock()
		t.ledger.StopConfirmed(d.ID, asked)
		t.wakeLocked()
		t.mu.Unlock()
	}
}
