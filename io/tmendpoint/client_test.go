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

// bench is an endpoint stand-in and a client of it.
type bench struct {
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

func serve(t *testing.T, handler http.Handler) (*tmendpoint.Client, string) {
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

// newBench has an endpoint on a manual clock.
func newBench(t *testing.T) *bench {
	t.Helper()
	clock := tmclock.NewManual(1000)
	endpoint := tmfakeendpoint.New(tmfakeendpoint.Options{Name: "w1", Zone: "a", Clock: clock})
	t.Cleanup(endpoint.Close)
	c, address := serve(t, endpoint)
	return &bench{Client: c, t: t, endpoint: endpoint, clock: clock, address: address}
}

func (b *bench) lease(holder string, slots int) tmendpoint.Grant {
	b.t.Helper()
	grant, err := b.Lease(ctx, b.address, holder, slots)
	assert.NilError(b.t, err)
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

// begin starts a task and returns when the journal has its start.
func (b *bench) begin(t tmendpoint.Task) <-chan result {
	b.t.Helper()
	done := make(chan result, 1)
	go func() {
		answer, err := b.Start(ctx, b.address, t)
		done <- result{answer, err}
	}()
	poll.WaitOn(b.t, func(poll.LogT) poll.Result {
		for _, ev := range b.endpoint.Journal() {
			if ev.Kind == "start" && ev.Attempt == t.Attempt {
				return poll.Success()
			}
		}
		return poll.Continue("attempt %s has not started", t.Attempt)
	}, poll.WithDelay(time.Millisecond))
	return done
}

// wait returns the result of a task that is due.
func (b *bench) wait(done <-chan result) result {
	b.t.Helper()
	select {
	case got := <-done:
		return got
	case <-time.After(10 * time.Second):
		b.t.Fatal("the task has no answer")
		return result{}
	}
}

func (b *bench) advance(d tmclock.Span) {
	b.clock.Advance(d)
	b.endpoint.Step()
}

func (b *bench) count(kind string) int {
	n := 0
	for _, ev := range b.endpoint.Journal() {
		if ev.Kind == kind {
			n++
		}
	}
	return n
}

func failedWith(t *testing.T, err error, outcome tmonce.Outcome, code tmendpoint.Code) {
	t.Helper()
	var failed *tmendpoint.AttemptError
	assert.Assert(t, errors.As(err, &failed), "got %v", err)
	assert.Equal(t, failed.Outcome, outcome, "%v", err)
	assert.Equal(t, failed.Code, code, "%v", err)
}

// Guards against an answer that is not the one of the request.
func TestStartAnswers(t *testing.T) {
	b := newBench(t)
	done := b.begin(task(b.lease("entry-1", 1), "a1", 500))
	b.advance(500)
	got := b.wait(done)
	assert.NilError(t, got.err)
	assert.Equal(t, string(got.answer.Body), `{"echo":"a1","request_id":"request-a1"}`)
}

// Guards against a start that was delayed for more than the time of a nonce
// and runs because the lease was renewed meanwhile.
func TestDelayedStartIsRefusedThoughLeaseWasRenewed(t *testing.T) {
	b := newBench(t)
	old := b.lease("entry-1", 1)
	b.advance(tmfakeendpoint.LeaseTime)
	inTime, err := b.Renew(ctx, b.address, old.Lease, 1)
	assert.NilError(t, err)
	_, err = b.Start(ctx, b.address, task(old, "at the limit", 0))
	assert.NilError(t, err)
	b.advance(1)
	_, err = b.Start(ctx, b.address, task(old, "late", 0))
	failedWith(t, err, tmonce.NotRun, tmendpoint.CodeNonceExpired)
	_, err = b.Start(ctx, b.address, task(inTime, "fresh", 0))
	assert.NilError(t, err)
	assert.Equal(t, b.count("start"), 2)
}

// Guards against refusals that are taken for another reason, or not for
// refusals.
func TestRefusals(t *testing.T) {
	b := newBench(t)
	grant := b.lease("entry-1", 1)
	big := task(grant, "big", 0)
	big.Size = 65
	_, err := b.Start(ctx, b.address, big)
	failedWith(t, err, tmonce.NotRun, tmendpoint.CodeNeverRuns)
	first := b.begin(task(grant, "first", 1))
	_, err = b.Start(ctx, b.address, task(grant, "second", 0))
	failedWith(t, err, tmonce.NotRun, tmendpoint.CodeNoSlot)
	b.advance(1)
	assert.NilError(t, b.wait(first).err)
	assert.NilError(t, b.Drain(ctx, b.address))
	_, err = b.Start(ctx, b.address, task(grant, "third", 0))
	failedWith(t, err, tmonce.NotRun, tmendpoint.CodeDraining)
	renewed, err := b.Renew(ctx, b.address, grant.Lease, 1)
	assert.NilError(t, err)
	assert.Equal(t, renewed.State, tmendpoint.Draining)
	assert.NilError(t, b.Undrain(ctx, b.address))
	assert.NilError(t, b.Release(ctx, b.address, grant.Lease))
	_, err = b.Start(ctx, b.address, task(grant, "fourth", 0))
	failedWith(t, err, tmonce.NotRun, tmendpoint.CodeLeaseEnded)
	_, err = b.Renew(ctx, b.address, grant.Lease, 1)
	assert.ErrorIs(t, err, tmendpoint.ErrLeaseEnded)
	assert.Equal(t, b.count("start"), 1)
	assert.Equal(t, b.count("refuse"), 4)
}

// Guards against faults after the run that are reported as not run, and
// against answers of other attempts that reach a caller.
func TestFaultsAfterTheRunAreNeverNotRun(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  tmfakeendpoint.Faults
		outcome tmonce.Outcome
		code    tmendpoint.Code
	}{
		{"crossed", tmfakeendpoint.Faults{Cross: true}, tmonce.Unknown, tmendpoint.CodeBroken},
		{"cut", tmfakeendpoint.Faults{Cut: true}, tmonce.Unknown, tmendpoint.CodeBroken},
		{"lost", tmfakeendpoint.Faults{LoseAfterRun: true}, tmonce.Unknown, tmendpoint.CodeNoAnswer},
		{"failed", tmfakeendpoint.Faults{FailAll: true}, tmonce.Ran, tmendpoint.CodeTaskFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t)
			grant := b.lease("entry-1", 2)
			_, err := b.Start(ctx, b.address, task(grant, "before", 0))
			assert.NilError(t, err)
			b.endpoint.SetFaults(tc.faults)
			_, err = b.Start(ctx, b.address, task(grant, "a1", 0))
			failedWith(t, err, tc.outcome, tc.code)
			assert.Equal(t, b.count("start"), 2)
			b.endpoint.SetFaults(tmfakeendpoint.Faults{})
			_, err = b.Start(ctx, b.address, task(grant, "after", 0))
			assert.NilError(t, err)
		})
	}
}

// Guards against a late answer that reaches the next attempt on the same
// connection, and against a timeout that is reported as not run.
func TestLateAnswerIsUnknown(t *testing.T) {
	b := newBench(t)
	grant := b.lease("entry-1", 1)
	b.endpoint.SetFaults(tmfakeendpoint.Faults{DelayMs: 3600_000})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := b.Start(short, b.address, task(grant, "late", 0))
	failedWith(t, err, tmonce.Unknown, tmendpoint.CodeNoAnswer)
	b.endpoint.SetFaults(tmfakeendpoint.Faults{})
	answer, err := b.Start(ctx, b.address, task(grant, "next", 0))
	assert.NilError(t, err)
	assert.Equal(t, string(answer.Body), `{"echo":"next","request_id":"request-next"}`)
}

// Guards against a start that reaches a hung endpoint and runs when it resumes
// after the nonce has expired.
func TestStartAtHungEndpointIsRefusedLater(t *testing.T) {
	b := newBench(t)
	grant := b.lease("entry-1", 1)
	b.endpoint.SetFaults(tmfakeendpoint.Faults{Hang: true})
	done := make(chan result, 1)
	go func() {
		answer, err := b.Start(ctx, b.address, task(grant, "a1", 0))
		done <- result{answer, err}
	}()
	b.advance(tmfakeendpoint.LeaseTime + 1)
	b.endpoint.SetFaults(tmfakeendpoint.Faults{})
	failedWith(t, b.wait(done).err, tmonce.NotRun, tmendpoint.CodeNonceExpired)
	assert.Equal(t, b.count("start"), 0)
}

// Guards against tasks that run on without a lease, and against tasks that are
// stopped before the grace has passed.
func TestTaskStopsTenSecondsAfterLastRenewal(t *testing.T) {
	b := newBench(t)
	grant := b.lease("entry-1", 8)
	done := b.begin(task(grant, "a1", 60_000))
	b.advance(400)
	_, err := b.Renew(ctx, b.address, grant.Lease, 8)
	assert.NilError(t, err)
	b.advance(tmfakeendpoint.Grace - 1)
	assert.Equal(t, b.count("stop"), 0)
	other := b.lease("entry-2", 8)
	assert.Equal(t, other.Slots, 7, "idle slots of a lapsed lease are free, that of its task is not")
	b.advance(1)
	failedWith(t, b.wait(done).err, tmonce.Ran, tmendpoint.CodeStopped)
	assert.Equal(t, b.count("stop"), 1)
	_, err = b.Renew(ctx, b.address, grant.Lease, 8)
	assert.ErrorIs(t, err, tmendpoint.ErrLeaseEnded)
	other, err = b.Renew(ctx, b.address, other.Lease, 8)
	assert.NilError(t, err)
	assert.Equal(t, other.Slots, 8)
}

// Guards against a checkpoint that keeps its slot or loses the work done.
func TestCheckpointFreesTheSlotAndResumes(t *testing.T) {
	b := newBench(t)
	grant := b.lease("entry-1", 1)
	sent := task(grant, "a1", 900)
	sent.Preemptible = true
	done := b.begin(sent)
	b.advance(600)
	was, err := b.Checkpoint(ctx, b.address, "a1")
	assert.NilError(t, err)
	assert.Assert(t, was)
	failedWith(t, b.wait(done).err, tmonce.Ran, tmendpoint.CodeCheckpointed)
	again := sent
	again.Attempt = "a2"
	done = b.begin(again)
	b.advance(299)
	assert.Equal(t, b.count("end"), 0)
	b.advance(1)
	assert.NilError(t, b.wait(done).err)
	was, err = b.Stop(ctx, b.address, "a2")
	assert.NilError(t, err)
	assert.Assert(t, !was)
}

// Guards against usage reports that don't lag or that hide a wrong size, and
// against a throttled task that keeps its speed.
func TestUsageLagsAndShowsRealSize(t *testing.T) {
	b := newBench(t)
	grant := b.lease("entry-1", 1)
	sent := task(grant, "a1", 4000)
	sent.Size = 2
	sent.Body = []byte(`{"run_ms":4000,"size_factor":10}`)
	done := b.begin(sent)
	usage, err := b.Usage(ctx, b.address)
	assert.NilError(t, err)
	assert.Equal(t, len(usage.Tasks), 0)
	b.advance(tmfakeendpoint.DefaultUsageLag)
	usage, err = b.Usage(ctx, b.address)
	assert.NilError(t, err)
	assert.DeepEqual(t, usage, tmendpoint.Usage{
		Age:   tmfakeendpoint.DefaultUsageLag,
		Tasks: []tmendpoint.TaskUsage{{Attempt: "a1", Team: "spares", Cores: 20, MemoryMB: 40_960}},
	})
	was, err := b.Throttle(ctx, b.address, "a1")
	assert.NilError(t, err)
	assert.Assert(t, was)
	b.advance(3999)
	assert.Equal(t, b.count("end"), 0)
	b.advance(1)
	assert.NilError(t, b.wait(done).err)
}

// Guards against a reboot that keeps tasks or leases, or that is reported as
// complete too early.
func TestRebootEndsTasksAndLeases(t *testing.T) {
	b := newBench(t)
	grant := b.lease("entry-1", 1)
	done := b.begin(task(grant, "a1", 5000))
	assert.NilError(t, b.Reboot(ctx, b.address))
	failedWith(t, b.wait(done).err, tmonce.Unknown, tmendpoint.CodeNoAnswer)
	report, err := b.State(ctx, b.address)
	assert.NilError(t, err)
	assert.DeepEqual(t, report, tmendpoint.Report{State: tmendpoint.Rebooting, Boots: 1})
	b.advance(tmfakeendpoint.DefaultRebootTime)
	report, err = b.State(ctx, b.address)
	assert.NilError(t, err)
	assert.DeepEqual(t, report, tmendpoint.Report{State: tmendpoint.Serving, Boots: 2})
	_, err = b.Start(ctx, b.address, task(grant, "a2", 0))
	failedWith(t, err, tmonce.NotRun, tmendpoint.CodeLeaseEnded)
}
