package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// singles submits n jobs of one task each. Each takes half of an endpoint.
func (f *fixture) singles(prefix string, n int) {
	for i := range n {
		j := oneTask(fmt.Sprintf("%s%d", prefix, i))
		j.Steps[0].Size.CPU = 4000
		f.c.Submitted(j)
	}
}

// failRuns ends all runs at an endpoint as failed and returns how many there were.
func (f *fixture) failRuns(endpoint string) int {
	n := len(f.runs[endpoint])
	for len(f.runs[endpoint]) > 0 {
		r := f.runs[endpoint][0]
		f.end(endpoint, r.Task, r.Run, EndFailed)
	}
	return n
}

// finishRuns ends all runs at an endpoint as done.
func (f *fixture) finishRuns(endpoint string) {
	for len(f.runs[endpoint]) > 0 {
		r := f.runs[endpoint][0]
		f.end(endpoint, r.Task, r.Run, EndDone)
	}
}

// avoided counts the endpoints that get no tasks on suspicion.
func (f *fixture) avoided() int {
	n := 0
	for _, e := range f.c.endpoints {
		if e.isAvoided(f.now) {
			n++
		}
	}
	return n
}

// Guards against an endpoint that fails all that it starts and is used again, with as many
// tasks as fit, after a fixed time: jobs lost all their attempts there.
func TestFailingEndpointGetsOneTrial(t *testing.T) {
	f := newFixture(t, 2)
	f.singles("a", 4)
	f.advance(10)
	assert.Equal(t, f.failRuns("e1"), 2)
	f.finishRuns("e2")
	e := f.c.endpoints["e1"]
	assert.Assert(t, e.isAvoided(f.now))
	f.advance(10)
	f.finishRuns("e2")
	assert.Equal(t, len(f.runs["e1"]), 0)
	f.now = e.avoidUntil
	f.singles("b", 4)
	f.advance(10)
	assert.Equal(t, len(f.runs["e1"]), 1, "one task as a trial")
	f.failRuns("e1")
	assert.Assert(t, e.isAvoided(f.now), "the trial failed")
	f.finishRuns("e2")
	f.now = e.avoidUntil
	f.singles("c", 4)
	f.advance(10)
	assert.Equal(t, len(f.runs["e1"]), 1)
	f.finishRuns("e1")
	f.finishRuns("e2")
	f.singles("d", 4)
	f.advance(10)
	assert.Equal(t, len(f.runs["e1"]), 2, "the trial succeeded")
}

// Guards against a pool that stands still because all of its endpoints fail or stall, and
// against a pool of one endpoint that is avoided.
func TestPoolIsNeverWhollyAvoided(t *testing.T) {
	for _, n := range []int{1, 2, 4} {
		f := newFixture(t, n)
		f.singles("a", 2*n)
		f.advance(10)
		for i := range n {
			assert.Equal(t, f.failRuns(f.endpointInfo(i+1).ID), 2)
		}
		assert.Assert(t, f.avoided() <= max(1, n/2), "%d of %d", f.avoided(), n)
		f.singles("b", n)
		assert.Assert(t, len(f.advance(100)) > 0, "nothing starts with %d endpoints", n)
	}
}

// Guards against the history of an earlier lifetime that is held against the next one.
func TestRestartedEndpointIsNotAvoided(t *testing.T) {
	f := newFixture(t, 2)
	f.singles("a", 4)
	f.advance(10)
	f.failRuns("e1")
	assert.Equal(t, f.avoided(), 1)
	f.restarts["e1"]++
	f.ends["e1"] = 0
	f.answerHold("e1")
	assert.Equal(t, f.avoided(), 0)
	assert.Assert(t, !f.c.endpoints["e1"].health.HadTrouble(f.now))
}

// Guards against a new owner that keeps an endpoint out of use, or relies on what it does not
// know: it learns anew.
func TestNewOwnerLearnsHealthAnew(t *testing.T) {
	f := newFixture(t, 2)
	f.singles("a", 4)
	f.advance(10)
	f.failRuns("e1")
	assert.Equal(t, f.avoided(), 1)
	f.c = f.newController(2)
	for i := range 2 {
		f.c.SetEndpoint(f.endpointInfo(i+1), f.now)
	}
	f.c.Loaded()
	f.runs = map[string][]ActiveRun{}
	f.answerHold("e1")
	f.answerHold("e2")
	f.singles("b", 4)
	f.advance(10)
	assert.Equal(t, len(f.runs["e1"]), 2)
	f.failRuns("e1")
	assert.Equal(t, f.avoided(), 1)
}

// Guards against a task that fails wherever it runs and makes healthy endpoints suspicious.
func TestFailingTaskIsNotHeldAgainstEndpoints(t *testing.T) {
	f := newFixture(t, 6)
	rules := testRules(2)
	q := rules.Queues["q"]
	q.Attempts = 0
	rules.Queues["q"] = q
	f.c.Apply(DesiredState{Rules: rules}, f.now)
	f.singles("a", 1)
	for range 20 {
		for _, s := range f.advance(100) {
			f.failRuns(s.Ref.Endpoint)
		}
	}
	assert.Equal(t, f.avoided(), 0)
}

// Guards against a job that places nothing for seconds beside idle endpoints: a suspect waited
// for one busy endpoint that was set aside for it, and whose tasks were long.
func TestSuspectTakesIdleEndpoint(t *testing.T) {
	f := newFixture(t, 2)
	f.singles("a", 4)
	assert.Equal(t, len(f.advance(10)), 4)
	j := oneTask("suspect")
	j.Steps[0].Size.CPU = 8000
	f.c.Submitted(j)
	f.c.Tick(f.now, int64(f.now))
	suspect := f.c.jobs["suspect"].occurrences[0].steps[0].tasks[0]
	suspect.suspicions, suspect.suspectedAt = suspectedInCompany, f.now
	f.c.jobs["suspect"].hasSuspects = true
	assert.Equal(t, len(f.advance(10)), 0)
	busy, idle := "e1", "e2"
	if f.c.endpoints[busy].isolated == nil {
		busy, idle = idle, busy
	}
	assert.Assert(t, f.c.endpoints[busy].isolated == suspect)
	f.finishRuns(idle)
	starts := f.advance(10)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Ref.Endpoint, idle)
}

// Guards against estimates of a queue with a heavy tail that follow its long tasks: critical
// paths and objectives were off, while the work of all tasks has to include the long ones.
func TestEstimatesAreRobust(t *testing.T) {
	f := newFixture(t, 1)
	j := oneTask("j")
	j.Steps[0].Count, j.Steps[0].Size, j.Steps[0].Estimate = 40, tmjob.Resources{CPU: 100, Mem: 1}, 2000
	f.c.Submitted(j)
	for started := 0; started < 40; {
		started += len(f.advance(1))
	}
	f.now += 800
	for len(f.runs["e1"]) > 2 {
		r := f.runs["e1"][0]
		f.end("e1", r.Task, r.Run, EndDone)
	}
	f.now = f.now.Add(5 * tmclock.Second)
	f.finishRuns("e1")
	spec := &j.Steps[0]
	assert.Assert(t, f.c.estimate("q", spec) < 2*900, "%v", f.c.estimate("q", spec))
	assert.Assert(t, f.c.meanEstimate("q", spec) > f.c.estimate("q", spec))
}

// Guards against long-running tasks and gangs that are the trial of an endpoint that failed all it
// started, while others have room.
func TestTrialIsNoLongRunningTask(t *testing.T) {
	for _, longRunning := range []bool{true, false} {
		f := newFixture(t, 2)
		f.singles("a", 4)
		f.advance(10)
		f.failRuns("e1")
		f.finishRuns("e2")
		f.advance(10)
		f.finishRuns("e2")
		f.now = f.c.endpoints["e1"].avoidUntil
		j := oneTask("j")
		j.Steps[0].LongRunning = longRunning
		f.c.Submitted(j)
		starts := f.advance(10)
		assert.Equal(t, len(starts), 1)
		assert.Equal(t, starts[0].Ref.Endpoint == "e2", longRunning)
	}
}

// Guards against a pool that has shrunk to endpoints on trial, which get one task each.
func TestShrunkenPoolIsUsed(t *testing.T) {
	f := newFixture(t, 2)
	f.singles("a", 4)
	f.advance(10)
	f.failRuns("e1")
	f.finishRuns("e2")
	f.advance(10)
	f.finishRuns("e2")
	f.now = f.c.endpoints["e1"].avoidUntil
	info := f.endpointInfo(2)
	info.Draining = true
	f.c.SetEndpoint(info, f.now)
	f.singles("b", 2)
	assert.Equal(t, len(f.advance(10)), 2)
}
