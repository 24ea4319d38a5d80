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
		if t.queue.Demand().Pool(pool).Queued == 0 || t.picker.IdleEndpoints(pool) == 0 {
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
	t.queue.Finish(j.pool, j.team)
	if v.ran > 0 && !j.resumed {
		t.admit.Observe(j.kind(), v.ran)
	}
	if v.doubt != nil {
		t.ledger.Quarantine(*v.doubt)
	} else {
		t.ledger.Release(j.team)
	}
	if v.ended {
		t.picker.Finish(a.endpoint, tmroute.Kind{Team: j.team, Queue: j.req.Queue()}, v.failed)
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
	doubts := t.ledger.Quarantined()
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
