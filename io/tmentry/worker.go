package tmentry

import (
	"context"

	"github.com/google/uuid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmrequest"
	"turmericmoor/core/tmroute"
	"turmericmoor/core/tmshare"
	"turmericmoor/io/tmendpoint"
)

const (
	// maxFailures is the number of failed attempts after which an idempotent
	// request fails.
	maxFailures = 3
	// maxNeverRuns is how many endpoints have to report that a task can never
	// run before the caller is told.
	maxNeverRuns = 2
	// answerGrace is how much longer than the timeout of a task the entry waits
	// for the endpoint to report that it has stopped the task.
	answerGrace = 1 * tmclock.Second
	// refusalBackoff is the first wait after an endpoint refused a task. It
	// doubles with each refusal up to maxRefusalBackoff.
	refusalBackoff    = 5 * tmclock.Millisecond
	maxRefusalBackoff = 200 * tmclock.Millisecond
)

// assignment is a job and the endpoint at which it starts.
type assignment struct {
	job      *job
	endpoint string
	rack     string
}

// startPermit is the permission to start one task. It is valid for a short time
// only.
type startPermit struct {
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
		a, ok := e.tables.waitForAssignment()
		if !ok {
			return
		}
		e.run(a)
	}
}

// waitForAssignment waits for a job that can start. It returns false when the
// tables are closed.
func (t *tables) waitForAssignment() (assignment, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for {
		if t.closed {
			return assignment{}, false
		}
		if a, ok := t.nextAssignmentLocked(); ok {
			if a.job == nil {
				continue
			}
			// There may be further jobs to start than the one for which this
			// worker was woken.
			t.wakeLocked()
			return a, true
		}
		t.ready.Wait()
	}
}

// nextAssignmentLocked assigns a job of the next pool, in round-robin order,
// that has queued requests and idle endpoints.
func (t *tables) nextAssignmentLocked() (assignment, bool) {
	pools := t.state.Config().Pools().Keys()
	for i := range pools {
		pool := pools[(t.nextPool+i)%len(pools)]
		if t.queue.Demand().Pool(pool).Queued == 0 || t.picker.IdleEndpoints(pool) == 0 {
			continue
		}
		if a, ok := t.assignLocked(pool); ok {
			t.nextPool = (t.nextPool + i + 1) % len(pools)
			return a, true
		}
	}
	return assignment{}, false
}

// assignLocked returns an assignment, or one without a job when it has ended a
// request because too little time was left. It returns false when nothing can
// start in the pool.
func (t *tables) assignLocked(pool string) (assignment, bool) {
	r, ok := t.queue.Next(pool, t.sliceView())
	if !ok {
		return assignment{}, false
	}
	j := r.Value
	j.queued = false
	if !j.resumed && !t.admit.ShouldStart(j.kind(), j.deadline.Sub(t.clock.Now())) {
		t.queue.Finish(pool, j.team)
		t.finishLocked(j, j.fail(tmrequest.Deadline, "the time left is shorter than tasks of this kind take"))
		return assignment{}, true
	}
	name, ok := t.picker.Pick(tmroute.Criteria{
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
		t.queue.Finish(pool, j.team)
		t.requeueAfterLocked(j, refusalBackoff)
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
			e.tables.settle(a, disposition{result: r, final: true})
			return
		}
	}
	s, refusal := e.tables.permitStart(a)
	if refusal != nil {
		e.tables.settle(a, *refusal)
		return
	}
	answer, err := e.attempt(a, s)
	d := e.handleAttemptEnd(a, s, answer, err)
	if d.affectsHealth && d.quarantine == nil || d.stopped {
		d.runTime = e.clock.Now().Sub(s.sent)
	}
	e.tables.settle(a, d)
}

// permitStart checks whether an assigned task may still start. It reads the
// nonce before the checks: if this process is delayed between the checks and
// the start, the endpoint rejects the start once that nonce has expired.
func (t *tables) permitStart(a assignment) (startPermit, *disposition) {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := a.job
	l, held := t.leases[a.endpoint]
	if !held {
		return startPermit{}, &disposition{requeue: true}
	}
	s := startPermit{attempt: uuid.NewString(), lease: l.id, nonce: l.nonce, address: l.instance.Address(), zone: l.instance.Zone()}
	s.sent = t.clock.Now()
	if !t.e.fresh() {
		r := j.fail(tmrequest.NotFresh, "entry %s is partitioned from the table service and its peers", t.e.opts.Name)
		return startPermit{}, &disposition{result: r, final: true}
	}
	state := t.e.tracker.State()
	if _, _, fail := authorize(state, j.req); fail != nil {
		r := j.fail(fail.Code(), "%s", fail.Message())
		return startPermit{}, &disposition{result: r, final: true}
	}
	in, ok := state.Config().Instances().Get(a.endpoint)
	if !ok || in.Pool() != j.pool || !t.usableLocked(in, l) || !state.Config().Usable(in) {
		return startPermit{}, &disposition{requeue: true}
	}
	j.attempt, j.address, j.zone = s.attempt, s.address, s.zone
	if j.req.Preemptible() {
		t.tasks.Add(tmshare.Task{ID: s.attempt, Pool: j.pool, Team: j.team, Started: s.sent})
	}
	return s, nil
}

// attempt sends the task to the endpoint and waits for its answer.
func (e *Entry) attempt(a assignment, s startPermit) (tmendpoint.Answer, error) {
	j := a.job
	remaining := max(j.deadline.Sub(s.sent), tmclock.Millisecond)
	ctx, cancel := context.WithTimeout(e.ctx, (remaining + answerGrace).Duration())
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

// settle releases what the attempt used, and delivers the result of the job or
// queues it again. The write of the request's record is started before the
// result is delivered.
func (t *tables) settle(a assignment, d disposition) {
	j := a.job
	if d.final && j.record != nil {
		d.result = t.e.closeRecord(j, d.result)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tasks.Remove(j.attempt)
	j.attempt, j.address, j.zone = "", "", ""
	t.queue.Finish(j.pool, j.team)
	if d.runTime > 0 && !j.resumed {
		t.admit.Observe(j.kind(), d.runTime)
	}
	if d.quarantine != nil {
		t.ledger.Quarantine(*d.quarantine)
	} else {
		t.ledger.Release(j.team)
	}
	if d.affectsHealth {
		t.picker.Finish(a.endpoint, tmroute.Kind{Team: j.team, Queue: j.req.Queue()}, d.failed)
	} else {
		t.picker.Release(a.endpoint)
	}
	if d.final {
		t.finishLocked(j, d.result)
	} else {
		t.requeueAfterLocked(j, d.delay)
	}
	t.wakeLocked()
}

// stopAttempt asks an endpoint to stop a task whose caller has disconnected.
func (e *Entry) stopAttempt(attempt, address string) {
	if _, err := e.endpoints.Stop(e.ctx, address, attempt); err != nil {
		e.log.Debug("task not stopped", "attempt", attempt, "error", err)
	}
}

// resolveQuarantine asks endpoints to stop the tasks that returned no answer,
// and releases the units of those that certainly no longer run.
func (e *Entry) resolveQuarantine(ctx context.Context) {
	t := e.tables
	t.mu.Lock()
	t.ledger.ReleaseExpired()
	quarantined := t.ledger.Quarantined()
	addresses := make([]string, len(quarantined))
	for i, a := range quarantined {
		if in, ok := t.state.Config().Instances().Get(a.Endpoint); ok {
			addresses[i] = in.Address()
		}
	}
	t.mu.Unlock()
	for i, a := range quarantined {
		if addresses[i] == "" {
			continue
		}
		asked := e.clock.Now()
		if _, err := e.endpoints.Stop(ctx, addresses[i], a.ID); err != nil {
			continue
		}
		t.mu.Lock()
		t.ledger.StopConfirmed(a.ID, asked)
		t.wakeLocked()
		t.mu.Unlock()
	}
}
