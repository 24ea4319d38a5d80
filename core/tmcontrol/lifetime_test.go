package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an endpoint that is never used again because a list of instances was wrong:
// it answers a call that was sent after its instance was listed as down.
func TestEndpointThatAnswersIsNotOver(t *testing.T) {
	f := newFixture(t, 1)
	call := f.c.callTo("e1", f.now)
	f.instanceDown("e1")
	f.answerCall("e1", call)
	assert.Assert(t, f.c.endpoints["e1"].gone)
	f.answerHold("e1")
	f.c.SetEndpoint(f.endpointInfo(1), f.now)
	f.c.Submitted(oneTask("j"))
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against two runs of a task at once: a list of instances that was requested before the
// endpoint last answered ended its lifetime.
func TestListOlderThanAnAnswerEndsNoLifetime(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	requested := f.now
	f.now += 20
	f.c.Started(first, Accepted, f.now)
	i := f.c.endpoints[first.Endpoint].info.Instance
	f.c.SetInstances([]Instance{{ID: i, Pool: "s", State: InstanceDown}}, requested)
	assert.Equal(t, len(f.advance(10)), 0)
	f.instanceDown(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against two runs of a task at once: an entry that an earlier lifetime of the endpoint had
// written was stored late, so that the next entry of the current one looked like a restart.
func TestLateEntryOfAnEarlierLifetimeChangesNothing(t *testing.T) {
	f := newFixture(t, 2)
	f.restart("e1", "e2")
	current := map[string]EndpointInfo{}
	for i := range 2 {
		info := f.endpointInfo(i + 1)
		f.c.SetEndpoint(info, f.now)
		info.StartedAt++
		current[info.ID] = info
	}
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	f.answerHold(first.Endpoint)
	late := current[first.Endpoint]
	late.StartedAt--
	f.c.SetEndpoint(late, f.now)
	f.c.SetEndpoint(current[first.Endpoint], f.now)
	for range 5 {
		assert.Equal(t, len(f.advance(100)), 0)
		f.answerHold(first.Endpoint)
	}
	assert.Equal(t, len(f.c.endpoints[first.Endpoint].runs), 1)
}

// Guards against tasks on an endpoint that is about to leave: an entry from before it began to drain
// was stored late.
func TestLateEntryDoesNotEndDraining(t *testing.T) {
	f := newFixture(t, 1)
	info := f.endpointInfo(1)
	info.Seq, info.Draining = 8, true
	f.c.SetEndpoint(info, f.now)
	info.Seq, info.Draining = 7, false
	f.c.SetEndpoint(info, f.now)
	f.c.Submitted(oneTask("j"))
	assert.Equal(t, len(f.advance(10)), 0)
	info.Seq, info.StartedAt = 1, info.StartedAt+1
	f.c.SetEndpoint(info, f.now)
	f.restarts["e1"]++
	f.answerHold("e1")
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against an entry that is ignored because the lifetime before had made more of them.
func TestFirstEntryOfALifetimeThatHasAnswered(t *testing.T) {
	f := newFixture(t, 1)
	info := f.endpointInfo(1)
	info.Seq = 30
	f.c.SetEndpoint(info, f.now)
	f.restart("e1")
	info.Seq, info.StartedAt, info.Draining = 1, info.StartedAt+1, true
	f.c.SetEndpoint(info, f.now)
	assert.Assert(t, f.c.endpoints["e1"].info.Draining)
}

// Guards against crashes that are held against a task although its endpoint has not crashed: a new
// owner read the late entry of an earlier lifetime first. The stored placement names the later one.
func TestLateEntryIsKnownByTheStoredPlacement(t *testing.T) {
	f := newFixture(t, 2)
	f.restart("e1", "e2")
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	f.answerHold(first.Endpoint)
	current := f.restarts[first.Endpoint]
	f.restarts[first.Endpoint] = 0
	f.restoreAtNewOwner("j")
	f.restarts[first.Endpoint] = current
	info := f.c.endpoints[first.Endpoint].info
	info.StartedAt = 5 + current
	f.c.SetEndpoint(info, f.now)
	f.answerHold("e1")
	f.answerHold("e2")
	f.advance(10)
	assert.Equal(t, len(f.c.endpoints[first.Endpoint].runs), 1)
	assert.Equal(t, f.c.jobs["j"].task(first.Task).crashes, 0)
}

// Guards against tasks that run twice because another writer has put an entry into the list
// of endpoints that names the instance of an endpoint: that counted as the end of the
// endpoint. A new endpoint that answers does end the one before it.
func TestForeignEntryEndsNoLifetime(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	old := f.c.endpoints[first.Endpoint]
	foreign := old.info
	foreign.ID, foreign.Service, foreign.StartedAt = "foreign", "unnamed", old.info.StartedAt+1
	f.c.SetEndpoint(foreign, f.now)
	for range 5 {
		assert.Equal(t, len(f.advance(100)), 0)
		f.answerHold("e1")
		f.answerHold("e2")
	}
	assert.Equal(t, len(old.runs), 1)
	assert.Equal(t, f.c.endpointOn(old.info.Instance), old)

	successor := foreign
	successor.ID, successor.Service = "e3", "s"
	f.c.SetEndpoint(successor, f.now)
	f.restarts["e3"] = successor.StartedAt - 5
	f.answerHold("e3")
	assert.Assert(t, old.gone)
	assert.Equal(t, len(f.advance(100)), 1)
}
