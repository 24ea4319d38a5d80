package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
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
