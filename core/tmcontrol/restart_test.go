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

// Guards against a task that waits forever for the end of an order that was lost when its
// endpoint restarted.
func TestOrderLostAtARestartIsReplaced(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	f.restart(first.Endpoint)
	f.c.Started(first, NoAnswer, f.now)
	f.answerHold(first.Endpoint)
	_, stops, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, len(f.advance(10)), 0)
	f.c.Stopped(stops[0].Ref, Accepted, f.now)
	f.answerHold(first.Endpoint)
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
