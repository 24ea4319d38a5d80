package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
)

// Guards against slow endpoints that block all others: their unanswered starts used up
// the window of pending starts, so that for a second nothing was placed on any other endpoint.
func TestSlowEndpointsDoNotBlockOthers(t *testing.T) {
	f := newFixture(t, 2)
	f.c.endpoints["e1"].info.Capacity.CPU = 1000 * firstStartWindow
	f.c.endpoints["e1"].info.Capacity.Mem = 1000 * firstStartWindow
	for i := range firstStartWindow + 8 {
		f.c.Submitted(oneTask(fmt.Sprintf("j%03d", i)))
	}
	f.c.endpoints["e2"].reserved = true
	pass := func() []StartOrder {
		f.c.Tick(f.now, int64(f.now))
		f.c.Plan(f.now, int64(f.now))
		for flush := f.c.TakeFlush(f.now); flush != nil; flush = f.c.TakeFlush(f.now) {
			f.c.Stored(flush, f.now)
		}
		starts, _, _ := f.c.TakeOrders(f.now)
		return starts
	}
	assert.Equal(t, len(pass()), firstStartWindow)
	f.c.endpoints["e2"].reserved = false
	f.now = f.now.Add(slowStartAnswer)
	starts := pass()
	assert.Equal(t, len(starts), 8)
	for _, s := range starts {
		assert.Equal(t, s.Ref.Endpoint, "e2")
	}
}

// Guards against a run that starts after its task is done. An endpoint that had not
// answered until its lease expired reported its run as done while the start of the
// next run was still unanswered; that start was carried out seconds later.
func TestNextRunOfDoneTaskIsStopped(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)
	f.answerHold(first[0].Ref.Endpoint)
	f.c.HoldFailed(first[0].Ref.Endpoint, "partitioned", f.now)
	f.now = f.now.Add(7000)
	for _, id := range []string{"e1", "e2"} {
		if id != first[0].Ref.Endpoint {
			f.answerHold(id)
		}
	}
	second := f.advance(10)
	assert.Equal(t, len(second), 1)
	f.end(first[0].Ref.Endpoint, first[0].Ref.Task, 1, EndDone)
	_, stops, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Ref.Run, 2)
}

// Guards against running tasks twice: the answer to a hold that had overtaken an earlier
// one made the earlier answer look like that of a restarted endpoint.
func TestOvertakenAnswerIsNoRestart(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	f.advance(10)
	f.answerHold("e1")
	early := HoldResponse{Clock: int64(f.now) - 5, StartedAt: 5, Active: f.runs["e1"]}
	f.c.HoldAnswered("e1", early, f.c.callTo("e1", f.now), f.now+1)
	assert.Equal(t, len(f.c.endpoints["e1"].runs), 1)
	previous := HoldResponse{Clock: int64(f.now) + 9000, StartedAt: 4, Ended: []EndedRun{{Number: 900, Task: tmjob.TaskID{Job: "x"}}}}
	f.c.HoldAnswered("e1", previous, f.c.callTo("e1", f.now), f.now+1)
	assert.Equal(t, f.c.endpoints["e1"].seen, int64(0))
}

// storeEnd runs a task on the endpoint and stores its end.
func (f *fixture) storeEnd(endpoint string) {
	f.c.Submitted(oneTask("stored"))
	ref := f.advance(10)[0].Ref
	f.end(endpoint, ref.Task, ref.Run, EndDone)
	f.advance(10)
}

// Guards against running a task again after it was done: an endpoint restarted and ended
// a run before it was held again, and took the number of the last end of its earlier
// lifetime for an acknowledgement.
func TestSilentEndpointGetsNoAcknowledgement(t *testing.T) {
	f := newFixture(t, 1)
	f.storeEnd("e1")
	h, _ := f.c.NextHold("e1", f.now)
	assert.Equal(t, h.Acked, int64(1))
	f.c.HoldFailed("e1", "test", f.now)
	h, _ = f.c.NextHold("e1", f.now)
	assert.Equal(t, h.Acked, int64(0))
}

// Guards against acknowledging ends of a new lifetime of an endpoint by the numbers of ends
// of the one before: the ends would be forgotten before they are stored.
func TestFlushOfAnEarlierLifetimeAcknowledgesNothing(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	f.end("e1", first.Task, 1, EndFailed)
	flush := f.c.TakeFlush(f.now)
	f.restart("e1")
	f.c.Submitted(oneTask("k"))
	f.end("e1", tmjob.TaskID{Job: "k"}, 1, EndDone)
	f.c.Stored(flush, f.now)
	assert.Equal(t, f.c.endpoints["e1"].acked, int64(0))
}

// Guards against a hold that acknowledges ends of a new lifetime, whose numbers start anew: the
// endpoint would forget them before they are stored.
func TestHoldAfterAPauseAcknowledgesNothing(t *testing.T) {
	f := newFixture(t, 1)
	f.storeEnd("e1")
	h, _ := f.c.NextHold("e1", f.now)
	assert.Equal(t, h.Acked, int64(1))
	h, _ = f.c.NextHold("e1", f.now.Add(2*minRestartTime))
	assert.Equal(t, h.Acked, int64(0))
	f.answerHold("e1")
	h, _ = f.c.NextHold("e1", f.now)
	assert.Equal(t, h.Acked, int64(1))
}

// Guards against an owner that is too busy to acknowledge ends, ever.
func TestSlowOwnerAcknowledgesEnds(t *testing.T) {
	f := newFixture(t, 1)
	f.storeEnd("e1")
	_, _ = f.c.NextHold("e1", f.now.Add(2*minRestartTime))
	f.answerHold("e1")
	h, _ := f.c.NextHold("e1", f.now.Add(2*minRestartTime))
	assert.Equal(t, h.Acked, int64(1))
}

// Guards against a start order to an endpoint that fell silent while its placement was
// stored: the task would wait for the end of a lease.
func TestNoStartAtAnEndpointThatFellSilent(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	flush := f.c.TakeFlush(f.now)
	f.c.HoldFailed("e1", "test", f.now)
	f.c.Stored(flush, f.now)
	starts := f.advance(10)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Ref.Endpoint, "e2")
}

// Guards against a start by a permission that ended while the placement was being stored,
// which takes seconds if the store doesn't answer, or while the process was paused.
func TestPlacementThatWasStoredLateIsCheckedAgain(t *testing.T) {
	changed := func(change func(r *Rules)) func(c *Controller) {
		return func(c *Controller) {
			rules := testRules(2)
			change(&rules)
			c.SetRules(rules)
		}
	}
	for name, change := range map[string]func(c *Controller){
		"zone out of service": func(c *Controller) { c.SetZoneOut("z", true) },
		"nothing confirmed":   func(c *Controller) { c.SetStale(true) },
		"limit lowered": changed(func(r *Rules) {
			r.Teams["t"] = Team{Name: "t", Weight: 1, Limit: tmjob.Resources{CPU: 500}}
		}),
		"queue moved":   changed(func(r *Rules) { r.Queues["q"] = Queue{Name: "q", Service: "other"} }),
		"queue removed": changed(func(r *Rules) { delete(r.Queues, "q") }),
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.c.Submitted(oneTask("j"))
			f.c.Tick(f.now, int64(f.now))
			f.c.Plan(f.now, int64(f.now))
			flush := f.c.TakeFlush(f.now)
			change(f.c)
			f.now = f.now.Add(4000)
			f.c.Stored(flush, f.now)
			starts, _, _ := f.c.TakeOrders(f.now)
			assert.Equal(t, len(starts), 0)
			assert.Equal(t, len(f.c.endpoints["e1"].runs), 0)
		})
	}
}

// Guards against a gang of which only some members start, because their placement was
// stored late and the endpoint of another one is draining by then.
func TestGangThatWasStoredLateStartsAsAWhole(t *testing.T) {
	f := newFixture(t, 2)
	j := oneTask("j")
	j.Steps[0].Count, j.Steps[0].Gang, j.Steps[0].PerEndpoint = 2, true, 1
	f.c.Submitted(j)
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	flush := f.c.TakeFlush(f.now)
	info := f.endpointInfo(2)
	info.Draining = true
	f.c.SetEndpoint(info, f.now)
	f.c.Stored(flush, f.now)
	starts, _, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(starts), 0)
	assert.Equal(t, f.c.jobs["j"].idle(), true)
}

// Guards against a start order that is repeated although the endpoint is draining or its
// zone was taken out of service after the first one got no answer.
func TestUnansweredStartIsNotRepeatedWithoutPermission(t *testing.T) {
	for name, change := range map[string]func(f *fixture){
		"draining": func(f *fixture) {
			info := f.endpointInfo(1)
			info.Draining = true
			f.c.SetEndpoint(info, f.now)
		},
		"zone out of service": func(f *fixture) { f.c.SetZoneOut("z", true) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.c.Submitted(oneTask("j"))
			ref := f.order(10)[0].Ref
			f.c.Started(ref, NoAnswer, f.now)
			change(f)
			f.answerHold("e1")
			starts, stops, _ := f.c.TakeOrders(f.now)
			assert.Equal(t, len(starts), 0)
			assert.Equal(t, len(stops), 1)
		})
	}
}
