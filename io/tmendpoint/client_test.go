package tmendpoint_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/internal/standin/tmfakeendpoint"
	"turmericmoor/io/tmendpoint"
)

var ctx = context.Background()

// fixture is a fake endpoint with a client connected to it.
type fixture struct {
	*tmendpoint.Client
	t        *testing.T
	endpoint *tmfakeendpoint.Endpoint
	clock    *tmclock.Manual
	address  string
}

type result struct {
	answer tmendpoint.Answer
	err    error
}

// newTestClient serves handler and returns a client and the address of the server.
func newTestClient(t *testing.T, handler http.Handler) (*tmendpoint.Client, string) {
	t.Helper()
	server := httptest.NewServer(handler)
	c := tmendpoint.New(tmendpoint.Options{Timeout: 10 * tmclock.Second})
	t.Cleanup(func() {
		c.Close()
		server.Close()
		goleak.VerifyNone(t)
	})
	return c, server.Listener.Addr().String()
}

// newFixture returns a fixture whose endpoint runs on a manual clock.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	clock := tmclock.NewManual(1000)
	endpoint := tmfakeendpoint.New(tmfakeendpoint.Options{Name: "w1", Zone: "a", Clock: clock})
	t.Cleanup(endpoint.Close)
	c, address := newTestClient(t, endpoint)
	return &fixture{Client: c, t: t, endpoint: endpoint, clock: clock, address: address}
}

func (f *fixture) lease(holder string, slots int) tmendpoint.Grant {
	f.t.Helper()
	grant, err := f.Lease(ctx, f.address, holder, slots)
	assert.NilError(f.t, err)
	return grant
}

func task(grant tmendpoint.Grant, attempt string, runMs int) tmendpoint.Task {
	return tmendpoint.Task{
		Lease:     grant.Lease,
		Nonce:     grant.Nonce,
		Attempt:   attempt,
		RequestID: "request-" + attempt,
		Team:      "spares",
		Queue:     "checks",
		Timeout:   tmclock.Minute,
		Body:      fmt.Appendf(nil, `{"run_ms":%d,"echo":%q}`, runMs, attempt),
	}
}

// startTask starts a task and returns once the journal contains its start.
func (f *fixture) startTask(t tmendpoint.Task) <-chan result {
	f.t.Helper()
	done := make(chan result, 1)
	go func() {
		answer, err := f.Start(ctx, f.address, t)
		done <- result{answer, err}
	}()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, ev := range f.endpoint.Journal() {
			if ev.Kind == "start" && ev.Attempt == t.Attempt {
				return poll.Success()
			}
		}
		return poll.Continue("attempt %s has not started", t.Attempt)
	}, poll.WithDelay(time.Millisecond))
	return done
}

// wait returns the result of a task that has ended or is about to end.
func (f *fixture) wait(done <-chan result) result {
	f.t.Helper()
	select {
	case got := <-done:
		return got
	case <-time.After(10 * time.Second):
		f.t.Fatal("the task returned no answer within 10 s")
		return result{}
	}
}

func (f *fixture) advance(d tmclock.Span) {
	f.clock.Advance(d)
	f.endpoint.Step()
}

func (f *fixture) countEvents(kind string) int {
	n := 0
	for _, ev := range f.endpoint.Journal() {
		if ev.Kind == kind {
			n++
		}
	}
	return n
}

func assertAttemptError(t *testing.T, err error, outcome tmonce.Outcome, code tmendpoint.Code) {
	t.Helper()
	var attemptErr *tmendpoint.AttemptError
	assert.Assert(t, errors.As(err, &attemptErr), "got %v", err)
	assert.Equal(t, attemptErr.Outcome, outcome, "%v", err)
	assert.Equal(t, attemptErr.Code, code, "%v", err)
}

// Guards against an answer that belongs to another request.
func TestStartReturnsAnswer(t *testing.T) {
	f := newFixture(t)
	done := f.startTask(task(f.lease("entry-1", 1), "a1", 500))
	f.advance(500)
	got := f.wait(done)
	assert.NilError(t, got.err)
	assert.Equal(t, string(got.answer.Body), `{"echo":"a1","request_id":"request-a1"}`)
}

// Guards against a start that is delayed beyond the TTL of its nonce and runs
// because the lease was renewed in the meantime.
func TestDelayedStartIsRejectedAfterRenewal(t *testing.T) {
	f := newFixture(t)
	old := f.lease("entry-1", 1)
	f.advance(tmfakeendpoint.LeaseTime)
	renewal, err := f.Renew(ctx, f.address, old.Lease, 1)
	assert.NilError(t, err)
	_, err = f.Start(ctx, f.address, task(old, "at the limit", 0))
	assert.NilError(t, err)
	f.advance(1)
	_, err = f.Start(ctx, f.address, task(old, "late", 0))
	assertAttemptError(t, err, tmonce.NotRun, tmendpoint.CodeNonceExpired)
	_, err = f.Start(ctx, f.address, task(renewal, "fresh", 0))
	assert.NilError(t, err)
	assert.Equal(t, f.countEvents("start"), 2)
}

// Guards against rejections that are reported with the wrong code or not as
// rejections.
func TestRejections(t *testing.T) {
	f := newFixture(t)
	grant := f.lease("entry-1", 1)
	big := task(grant, "big", 0)
	big.Size = 65
	_, err := f.Start(ctx, f.address, big)
	assertAttemptError(t, err, tmonce.NotRun, tmendpoint.CodeNeverRuns)
	first := f.startTask(task(grant, "first", 1))
	_, err = f.Start(ctx, f.address, task(grant, "second", 0))
	assertAttemptError(t, err, tmonce.NotRun, tmendpoint.CodeNoSlot)
	f.advance(1)
	assert.NilError(t, f.wait(first).err)
	assert.NilError(t, f.Drain(ctx, f.address))
	_, err = f.Start(ctx, f.address, task(grant, "third", 0))
	assertAttemptError(t, err, tmonce.NotRun, tmendpoint.CodeDraining)
	renewed, err := f.Renew(ctx, f.address, grant.Lease, 1)
	assert.NilError(t, err)
	assert.Equal(t, renewed.State, tmendpoint.Draining)
	assert.NilError(t, f.Undrain(ctx, f.address))
	assert.NilError(t, f.Release(ctx, f.address, grant.Lease))
	_, err = f.Start(ctx, f.address, task(grant, "fourth", 0))
	assertAttemptError(t, err, tmonce.NotRun, tmendpoint.CodeLeaseEnded)
	_, err = f.Renew(ctx, f.address, grant.Lease, 1)
	assert.ErrorIs(t, err, tmendpoint.ErrLeaseEnded)
	assert.Equal(t, f.countEvents("start"), 1)
	assert.Equal(t, f.countEvents("refuse"), 4)
}

// Guards against faults after the run that are reported as not_run, and against
// answers of other attempts that reach a caller.
func TestFaultsAfterTheRunAreNeverNotRun(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  tmfakeendpoint.Faults
		outcome tmonce.Outcome
		code    tmendpoint.Code
	}{
		{"crossed", tmfakeendpoint.Faults{Cross: true}, tmonce.Unknown, tmendpoint.CodeAnswerBroken},
		{"cut", tmfakeendpoint.Faults{Cut: true}, tmonce.Unknown, tmendpoint.CodeAnswerBroken},
		{"lost", tmfakeendpoint.Faults{LoseAfterRun: true}, tmonce.Unknown, tmendpoint.CodeNoAnswer},
		{"failed", tmfakeendpoint.Faults{FailAll: true}, tmonce.Ran, tmendpoint.CodeTaskFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			grant := f.lease("entry-1", 2)
			_, err := f.Start(ctx, f.address, task(grant, "before", 0))
			assert.NilError(t, err)
			f.endpoint.SetFaults(tc.faults)
			_, err = f.Start(ctx, f.address, task(grant, "a1", 0))
			assertAttemptError(t, err, tc.outcome, tc.code)
			assert.Equal(t, f.countEvents("start"), 2)
			f.endpoint.SetFaults(tmfakeendpoint.Faults{})
			_, err = f.Start(ctx, f.address, task(grant, "after", 0))
			assert.NilError(t, err)
		})
	}
}

// Guards against a late answer that is taken for that of the next attempt on the
// same connection, and against a timeout that is reported as not_run.
func TestLateAnswerIsUnknown(t *testing.T) {
	f := newFixture(t)
	grant := f.lease("entry-1", 1)
	f.endpoint.SetFaults(tmfakeendpoint.Faults{DelayMs: 3600_000})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := f.Start(short, f.address, task(grant, "late", 0))
	assertAttemptError(t, err, tmonce.Unknown, tmendpoint.CodeNoAnswer)
	f.endpoint.SetFaults(tmfakeendpoint.Faults{})
	answer, err := f.Start(ctx, f.address, task(grant, "next", 0))
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), `{"echo":"next","request_id":"request-next"}`)
}

// Guards against a start that reaches a hung endpoint and runs when the endpoint
// resumes, although the nonce has expired by then.
func TestStartAtHungEndpointIsRejectedAfterResume(t *testing.T) {
	f := newFixture(t)
	grant := f.lease("entry-1", 1)
	f.endpoint.SetFaults(tmfakeendpoint.Faults{Hang: true})
	done := make(chan result, 1)
	go func() {
		answer, err := f.Start(ctx, f.address, task(grant, "a1", 0))
		done <- result{answer, err}
	}()
	f.advance(tmfakeendpoint.LeaseTime + 1)
	f.endpoint.SetFaults(tmfakeendpoint.Faults{})
	assertAttemptError(t, f.wait(done).err, tmonce.NotRun, tmendpoint.CodeNonceExpired)
	assert.Equal(t, f.countEvents("start"), 0)
}

// Guards against tasks that continue without a lease, and against tasks that are
// stopped before the grace period has passed.
func TestTaskStopsTenSecondsAfterLastRenewal(t *testing.T) {
	f := newFixture(t)
	grant := f.lease("entry-1", 8)
	done := f.startTask(task(grant, "a1", 60_000))
	f.advance(400)
	_, err := f.Renew(ctx, f.address, grant.Lease, 8)
	assert.NilError(t, err)
	f.advance(tmfakeendpoint.Grace - 1)
	assert.Equal(t, f.countEvents("stop"), 0)
	other := f.lease("entry-2", 8)
	assert.Equal(t, other.Slots, 7, "the idle slots of an expired lease are free, the slot of its running task is not")
	f.advance(1)
	assertAttemptError(t, f.wait(done).err, tmonce.Ran, tmendpoint.CodeStopped)
	assert.Equal(t, f.countEvents("stop"), 1)
	_, err = f.Renew(ctx, f.address, grant.Lease, 8)
	assert.ErrorIs(t, err, tmendpoint.ErrLeaseEnded)
	other, err = f.Renew(ctx, f.address, other.Lease, 8)
	assert.NilError(t, err)
	assert.Equal(t, other.Slots, 8)
}

// Guards against a checkpoint that keeps its slot or loses completed work.
func TestCheckpointFreesTheSlotAndResumes(t *testing.T) {
	f := newFixture(t)
	grant := f.lease("entry-1", 1)
	attempt := task(grant, "a1", 900)
	attempt.Preemptible = true
	done := f.startTask(attempt)
	f.advance(600)
	wasRunning, err := f.Checkpoint(ctx, f.address, "a1")
	assert.NilError(t, err)
	assert.Assert(t, wasRunning)
	assertAttemptError(t, f.wait(done).err, tmonce.Ran, tmendpoint.CodeCheckpointed)
	resumed := attempt
	resumed.Attempt = "a2"
	done = f.startTask(resumed)
	f.advance(299)
	assert.Equal(t, f.countEvents("end"), 0)
	f.advance(1)
	assert.NilError(t, f.wait(done).err)
	wasRunning, err = f.Stop(ctx, f.address, "a2")
	assert.NilError(t, err)
	assert.Assert(t, !wasRunning)
}

// Guards against usage reports that don't lag or that show the declared instead
// of the real size, and against a throttled task that keeps its speed.
func TestUsageLagsAndShowsRealSize(t *testing.T) {
	f := newFixture(t)
	grant := f.lease("entry-1", 1)
	attempt := task(grant, "a1", 4000)
	attempt.Size = 2
	attempt.Body = []byte(`{"run_ms":4000,"size_factor":10}`)
	done := f.startTask(attempt)
	usage, err := f.Usage(ctx, f.address)
	assert.NilError(t, err)
	assert.Equal(t, len(usage.Tasks), 0)
	f.advance(tmfakeendpoint.DefaultUsageLag)
	usage, err = f.Usage(ctx, f.address)
	assert.NilError(t, err)
	assert.DeepEqual(t, usage, tmendpoint.Usage{
		Age:   tmfakeendpoint.DefaultUsageLag,
		Tasks: []tmendpoint.TaskUsage{{Attempt: "a1", Team: "spares", Cores: 20, MemoryMB: 40_960}},
	})
	wasRunning, err := f.Throttle(ctx, f.address, "a1")
	assert.NilError(t, err)
	assert.Assert(t, wasRunning)
	f.advance(3999)
	assert.Equal(t, f.countEvents("end"), 0)
	f.advance(1)
	assert.NilError(t, f.wait(done).err)
}

// Guards against a reboot that keeps tasks or leases, and against one that is
// reported as complete too early.
func TestRebootEndsTasksAndLeases(t *testing.T) {
	f := newFixture(t)
	grant := f.lease("entry-1", 1)
	done := f.startTask(task(grant, "a1", 5000))
	assert.NilError(t, f.Reboot(ctx, f.address))
	assertAttemptError(t, f.wait(done).err, tmonce.Unknown, tmendpoint.CodeNoAnswer)
	report, err := f.State(ctx, f.address)
	assert.NilError(t, err)
	assert.DeepEqual(t, report, tmendpoint.Report{State: tmendpoint.Rebooting, Boots: 1})
	f.advance(tmfakeendpoint.DefaultRebootTime)
	report, err = f.State(ctx, f.address)
	assert.NilError(t, err)
	assert.DeepEqual(t, report, tmendpoint.Report{State: tmendpoint.Serving, Boots: 2})
	_, err = f.Start(ctx, f.address, task(grant, "a2", 0))
	assertAttemptError(t, err, tmonce.NotRun, tmendpoint.CodeLeaseEnded)
}
