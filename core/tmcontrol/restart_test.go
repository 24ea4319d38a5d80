package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two runs of a task at once: its start order was under way when the endpoint
// restarted, and the new lifetime carries it out later.
func TestOrderUnderWayAtARestartIsStoppedFirst(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	f.restart(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 0)

	f.c.Started(first, Accepted, f.now)
	f.runs[first.Endpoint] = []ActiveRun{{Task: first.Task, Run: first.Run}}
	f.answerHold(first.Endpoint)
	_, stops, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, stops[0].Ref.Task, first.Task)
	f.end(first.Endpoint, first.Task, first.Run, EndStopped)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against two runs of a task at once: the start was accepted by a new lifetime of which
// the owner learned later.
func TestRunOfTheNewLifetimeGoesOn(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	f.restarts[first.Endpoint]++
	f.answerHold(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 0)
	f.end(first.Endpoint, first.Task, first.Run, EndDone)
	f.advance(10)
	assert.Equal(t, len(f.c.jobs), 0)
}

// Guards against the same where the run has ended on the new lifetime, beyond the ends that
// fit into a list.
func TestRunBeyondTheListOfANewLifetimeIsNotLost(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	f.restarts[first.Endpoint]++
	f.runs[first.Endpoint] = nil
	f.now += 10
	f.c.HoldAnswered(first.Endpoint, HoldResponse{Clock: 1, StartedAt: 6, Truncated: true}, f.c.callTo(first.Endpoint, f.now), f.now+1)
	assert.Equal(t, len(f.advance(10)), 0)
	f.end(first.Endpoint, first.Task, first.Run, EndDone)
	f.advance(10)
	assert.Equal(t, len(f.c.jobs), 0)
}

// Guards against the same where the list of endpoints shows the restart first.
func TestRunThatWasNeverListedOutlivesARestartInTheList(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	info := f.c.endpoints[first.Endpoint].info
	f.restarts[first.Endpoint]++
	info.StartedAt++
	f.c.SetEndpoint(info, f.now)
	assert.Equal(t, len(f.advance(10)), 0)
	f.runs[first.Endpoint] = nil
	f.answerHold(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against the same across a hand-over: the earlier owner stored the start with the
// lifetime that it knew.
func TestRunOfANewLifetimeOutlivesAHandover(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	f.restarts[first.Endpoint]++
	f.restoreAtNewOwner("j")
	for _, id := range []string{"e1", "e2"} {
		if id != first.Endpoint {
			f.answerHold(id)
		}
	}
	assert.Equal(t, len(f.advance(10)), 0)
	f.answerHold(first.Endpoint)
	f.end(first.Endpoint, first.Task, first.Run, EndDone)
	f.advance(10)
	assert.Equal(t, len(f.c.jobs), 0)
}

// restoreAtNewOwner replaces the owner by one that reads the job and the list of endpoints.
func (f *fixture) restoreAtNewOwner(job string) {
	progress := storedProgress(f.c.jobs[job])
	endpoints := len(f.c.endpoints)
	f.c = f.newController(2)
	for i := range endpoints {
		info := f.endpointInfo(i + 1)
		info.StartedAt += f.restarts[info.ID]
		f.c.SetEndpoint(info, f.now)
	}
	f.c.Submitted(oneTask(job))
	f.c.Restore(progress, f.now)
	f.c.Loaded()
}

// Guards against tasks on an endpoint that has restarted as another kind, by the label and the capacity
// that the lifetime before had written into the list of endpoints.
func TestRestartedEndpointIsNotUsedByTheEarlierEntry(t *testing.T) {
	f := newFixture(t, 1)
	info := f.endpointInfo(1)
	info.Labels = []string{"a"}
	f.c.SetEndpoint(info, f.now)
	job := oneTask("j")
	job.Steps[0].Label = "a"
	f.c.Submitted(job)
	f.restarts["e1"]++
	for range 10 {
		f.answerHold("e1")
		assert.Equal(t, len(f.advance(100)), 0)
	}
	info.StartedAt, info.Labels = info.StartedAt+1, []string{"b"}
	f.c.SetEndpoint(info, f.now)
	assert.Equal(t, len(f.advance(100)), 0)
	f.restarts["e1"]++
	f.answerHold("e1")
	info.StartedAt, info.Labels = info.StartedAt+1, []string{"a"}
	f.c.SetEndpoint(info, f.now)
	f.answerHold("e1")
	assert.Equal(t, len(f.advance(100)), 1)
}

// Guards against an endpoint that is never used again because its entries name no lifetime.
func TestRestartedEndpointWhoseEntriesNameNoLifetimeIsUsed(t *testing.T) {
	f := newFixture(t, 1)
	info := f.endpointInfo(1)
	info.StartedAt = 0
	f.c.SetEndpoint(info, f.now)
	f.restarts["e1"]++
	f.answerHold("e1")
	f.answerHold("e1")
	f.c.Submitted(oneTask("j"))
	assert.Equal(t, len(f.advance(10)), 1)
}
