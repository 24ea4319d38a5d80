package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmstraggler"
)

// setRack puts endpoints into a rack.
func (f *fixture) setRack(rack string, endpoints ...int) {
	for _, i := range endpoints {
		info := f.endpointInfo(i)
		info.Rack = rack
		f.c.SetEndpoint(info, f.now)
	}
}

// failOnce submits a job and fails the first attempt of its task. It returns the endpoint.
func (f *fixture) failOnce(id string) string {
	f.c.Submitted(oneTask(id))
	starts := f.advance(10)
	assert.Equal(f.t, len(starts), 1)
	f.failRuns(starts[0].Ref.Endpoint)
	return starts[0].Ref.Endpoint
}

// Guards against jobs that fail because both attempts of a task are made at an endpoint, or in
// a rack, that fails all it starts: it is the emptiest after its first failure, or as full as
// the others.
func TestLastAttemptKeepsAwayFromFailures(t *testing.T) {
	f := newFixture(t, 4)
	f.setRack("r1", 1, 2)
	f.setRack("r2", 3, 4)
	bad := f.failOnce("j")
	starts := f.advance(10)
	assert.Equal(t, len(starts), 1)
	rack := f.c.endpoints[bad].info.Rack
	assert.Assert(t, f.c.endpoints[starts[0].Ref.Endpoint].info.Rack != rack)
}

// Guards against a last attempt that waits for ever, or for longer than a caller would, for a
// place that does not come: all endpoints have failed lately, in a pool of one or of more.
func TestLastAttemptWaitsForTwoSeconds(t *testing.T) {
	for n := 1; n <= 3; n++ {
		f := newFixture(t, n)
		for i := range n {
			e := f.c.endpoints[f.endpointInfo(i+1).ID]
			e.health.FailedByTask(f.now)
		}
		f.failOnce("j")
		began := f.now
		for len(f.advance(50)) == 0 {
			for i := range n {
				f.c.endpoints[f.endpointInfo(i+1).ID].health.FailedByTask(f.now)
			}
			assert.Assert(t, f.now.Sub(began) <= maxAttemptHold+100, "%d endpoints", n)
		}
		assert.Assert(t, f.now.Sub(began) >= maxAttemptHold)
	}
}

// Guards against other tasks of a step that wait with the last attempt of one.
func TestHeldAttemptHoldsUpNoOthers(t *testing.T) {
	f := newFixture(t, 1)
	j := oneTask("j")
	j.Steps[0].Count, j.Steps[0].Size = 2, tmjob.Resources{CPU: 6000}
	f.c.Submitted(j)
	first := f.advance(10)
	assert.Equal(t, len(first), 1)
	f.failRuns("e1")
	starts := f.advance(10)
	assert.Equal(t, len(starts), 1)
	assert.Assert(t, starts[0].Ref.Task != first[0].Ref.Task)
}

// Guards against a job that stands still beside idle endpoints because those that have the
// label that it needs are avoided.
func TestAvoidedEndpointsAreUsedBeforeAJobStandsStill(t *testing.T) {
	f := newFixture(t, 4)
	info := f.endpointInfo(1)
	info.Labels = []string{"big"}
	f.c.SetEndpoint(info, f.now)
	f.singles("a", 8)
	f.advance(10)
	f.failRuns("e1")
	for i := 2; i <= 4; i++ {
		f.finishRuns(f.endpointInfo(i).ID)
	}
	e := f.c.endpoints["e1"]
	assert.Assert(t, e.isAvoided(f.now))
	e.avoidUntil = f.now.Add(4 * maxAvoidanceWait)
	j := oneTask("labelled")
	j.Steps[0].Label = "big"
	f.c.Submitted(j)
	began, placed := f.now, false
	for !placed {
		for _, s := range f.advance(100) {
			placed = placed || s.Ref.Task.Job == "labelled"
		}
		assert.Assert(t, f.now.Sub(began) <= maxAvoidanceWait+500)
	}
	assert.Assert(t, f.now.Sub(began) >= maxAvoidanceWait)
}

// Guards against the same while the endpoint is on trial with a long task.
func TestEndpointsOnTrialAreUsedBeforeAJobStandsStill(t *testing.T) {
	f := newFixture(t, 4)
	info := f.endpointInfo(1)
	info.Labels = []string{"big"}
	f.c.SetEndpoint(info, f.now)
	f.singles("a", 8)
	f.advance(10)
	f.failRuns("e1")
	for i := 2; i <= 4; i++ {
		f.finishRuns(f.endpointInfo(i).ID)
	}
	f.now = f.c.endpoints["e1"].avoidUntil
	f.singles("b", 1)
	f.advance(10)
	assert.Assert(t, f.c.endpoints["e1"].trial != nil)
	j := oneTask("labelled")
	j.Steps[0].Label = "big"
	f.c.Submitted(j)
	began := f.now
	for !f.c.jobs["labelled"].begun {
		f.advance(100)
		assert.Assert(t, f.now.Sub(began) <= maxAvoidanceWait+500)
	}
}

// Guards against a last attempt that is made at an endpoint on trial while others are idle: it was
// preferred like any first attempt, so that a slow or failing endpoint failed the job.
func TestLastAttemptIsNoTrial(t *testing.T) {
	for _, troubled := range []bool{false, true} {
		f := newFixture(t, 4)
		bad := f.failOnce("j")
		var suspect *endpoint
		for i := 1; i <= 4 && suspect == nil; i++ {
			if id := f.endpointInfo(i).ID; id != bad {
				suspect = f.c.endpoints[id]
			}
		}
		f.c.suspectEndpoint(suspect, tmstraggler.Suspicion{Cause: tmstraggler.Slow, Severity: 7}, f.now)
		f.c.jobs["j"].task(tmjob.TaskID{Job: "j"}).notBefore = suspect.avoidUntil
		f.now = suspect.avoidUntil
		var starts []StartOrder
		for began := f.now; len(starts) == 0; {
			for i := 1; troubled && i <= 4; i++ {
				if e := f.c.endpoints[f.endpointInfo(i).ID]; e != suspect {
					e.health.FailedByTask(f.now)
				}
			}
			starts = f.advance(50)
			assert.Assert(t, f.now.Sub(began) <= maxAttemptHold+100)
		}
		assert.Assert(t, starts[0].Ref.Endpoint != suspect.info.ID, "others have failed lately: %v", troubled)
	}
}

// labelEndpoint gives endpoint 1 a label that no other has, and makes it avoided for a time.
func (f *fixture) labelEndpoint(avoidedFor tmclock.Span) *endpoint {
	info := f.endpointInfo(1)
	info.Labels = []string{"big"}
	f.c.SetEndpoint(info, f.now)
	e := f.c.endpoints["e1"]
	if avoidedFor > 0 {
		f.c.suspectEndpoint(e, tmstraggler.Suspicion{Cause: tmstraggler.Failing, Severity: 2}, f.now)
		e.avoidUntil = f.now.Add(avoidedFor)
	}
	return e
}

// submitLabelled submits a job that needs the label of endpoint 1.
func (f *fixture) submitLabelled() {
	j := oneTask("labelled")
	j.Steps[0].Label = "big"
	f.c.Submitted(j)
}

// Guards against a last attempt that doesn't wait for a better place, because its step had waited
// before the attempt that failed.
func TestLastAttemptWaitsAfterItsStepWasBlocked(t *testing.T) {
	f := newFixture(t, 4)
	e := f.labelEndpoint(4 * maxAvoidanceWait)
	f.submitLabelled()
	for len(f.advance(50)) == 0 {
	}
	assert.Assert(t, f.c.jobs["labelled"].begun)
	f.now = f.now.Add(1000)
	f.failRuns("e1")
	failed := f.now
	f.c.clearSuspicion(e, "test")
	e.health.FailedByTask(f.now)
	for len(f.advance(50)) == 0 {
		e.health.FailedByTask(f.now)
	}
	assert.Assert(t, f.now.Sub(failed) >= maxAttemptHold, "waited for %d ms", f.now.Sub(failed))
}

// Guards against a job that stands still for longer than 3 s because the wait of a last attempt
// for a better place and that for an avoided endpoint follow each other.
func TestWaitsOfALastAttemptDoNotAddUp(t *testing.T) {
	f := newFixture(t, 4)
	e := f.labelEndpoint(0)
	f.submitLabelled()
	f.advance(10)
	f.failRuns("e1")
	failed := f.now
	for range 36 {
		f.advance(50)
	}
	f.c.suspectEndpoint(e, tmstraggler.Suspicion{Cause: tmstraggler.Failing, Severity: 2}, f.now)
	e.avoidUntil = f.now.Add(4 * tmclock.Second)
	for len(f.advance(50)) == 0 {
		assert.Assert(t, f.now.Sub(failed) < 3*tmclock.Second)
	}
}

// Guards against endpoints on trial that get all kinds of work at once, because a step that
// no endpoint of the pool can run has waited for long.
func TestBlockedStepEndsNoTrials(t *testing.T) {
	f := newFixture(t, 4)
	j := oneTask("nowhere")
	j.Steps[0].Label = "none"
	f.c.Submitted(j)
	e := f.labelEndpoint(2 * maxAvoidanceWait)
	for range 45 {
		f.advance(50)
	}
	e.avoidUntil = f.now
	f.singles("a", 16)
	for range 3 {
		f.advance(10)
	}
	assert.Assert(t, e.health.OnTrial(f.now))
	assert.Assert(t, len(e.runs) <= 1, "%d runs", len(e.runs))
}
