package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmlate"
)

// Guards against two runs of a task at once, and against a task that waits forever: an order
// without an answer was meant for a lifetime that is over. Only a list that the next lifetime
// gives to a call with the raised token shows that the order is not carried out any more.
func TestOrderLostAtARestartIsReplaced(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	f.c.Started(first, NoAnswer, f.now)
	earlier := f.c.callTo(first.Endpoint, f.now)
	f.restarts[first.Endpoint]++
	for range 3 {
		f.now += 10
		earlier.SentAt = f.now
		f.answerCall(first.Endpoint, earlier)
		assert.Equal(t, len(f.advance(10)), 0)
	}
	f.answerHold(first.Endpoint)
	second := f.advance(10)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Ref.Run > first.Run)
}

// Guards against two runs of a task at once: the list of instances showed that an instance was
// down while an order to its endpoint was under way, and the next lifetime carried the order out.
func TestOrderUnderWayOutlivesAnInstanceThatIsDown(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	earlier := f.c.callTo(first.Endpoint, f.now)
	f.instanceDown(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 0)
	f.c.Started(first, NoAnswer, f.now)
	assert.Equal(t, len(f.advance(10)), 0)
	f.restarts[first.Endpoint]++
	f.answerCall(first.Endpoint, earlier)
	assert.Equal(t, len(f.advance(10)), 0)
	f.answerHold(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against the same where the next lifetime has carried the order out before it was
// called.
func TestOrderCarriedOutByTheNextLifetimeIsStopped(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	f.c.Started(first, NoAnswer, f.now)
	f.instanceDown(first.Endpoint)
	f.restarts[first.Endpoint]++
	f.runs[first.Endpoint] = []ActiveRun{{Task: first.Task, Run: first.Run}}
	for range 3 {
		f.answerHold(first.Endpoint)
		assert.Equal(t, len(f.advance(10)), 0)
	}
	f.end(first.Endpoint, first.Task, first.Run, EndStopped)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against the same where a second send of the order was answered: the first one may
// still be on its way.
func TestSecondSendDoesNotSettleTheFirst(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	assert.Assert(t, f.c.StartRepeated(first, f.now))
	f.c.Started(first, Accepted, f.now)
	f.runs[first.Endpoint] = []ActiveRun{{Task: first.Task, Run: first.Run}}
	f.answerHold(first.Endpoint)
	f.instanceDown(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 0)
	f.restarts[first.Endpoint]++
	f.runs[first.Endpoint] = nil
	f.answerHold(first.Endpoint)
	f.answerHold(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against a task that waits although both sends of its order were answered, if late.
func TestAnswerToTheFirstSendSettlesIt(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	assert.Assert(t, f.c.StartRepeated(first, f.now))
	f.c.Started(first, Accepted, f.now)
	f.c.SendAnswered(first, Accepted, f.now)
	f.runs[first.Endpoint] = []ActiveRun{{Task: first.Task, Run: first.Run}}
	f.answerHold(first.Endpoint)
	f.instanceDown(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against two runs of a task at once: the run was stopped, since its order had got no
// answer, and its endpoint crashed while the task waited for room.
func TestOrderOfAReleasedRunIsRecalled(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	f.c.Started(first, NoAnswer, f.now)
	f.c.stopRun(f.c.findRun(first), "test")
	f.c.Stopped(first, Accepted, f.now)
	f.answerHold("e1")
	assert.Equal(t, len(f.c.endpoints["e1"].runs), 0)
	f.c.SetEndpoint(f.endpointInfo(2), f.now)
	f.instanceDown("e1")
	f.answerHold("e2")
	assert.Equal(t, len(f.advance(10)), 0)
	f.restarts["e1"]++
	f.answerHold("e1")
	f.answerHold("e1")
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against a task that waits forever for an endpoint that does not come back.
func TestDoubtEndsWhenNoOrderCanBeCarriedOut(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	f.c.Started(first, NoAnswer, f.now)
	f.instanceDown(first.Endpoint)
	other := map[string]string{"e1": "e2", "e2": "e1"}[first.Endpoint]
	for f.now.Sub(first.SentAt) < tmlate.MaxDelay-200 {
		f.answerHold(other)
		assert.Equal(t, len(f.advance(100)), 0)
		f.instanceDown(first.Endpoint)
	}
	f.advance(300)
	f.answerHold(other)
	f.instanceDown(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against a task that waits for long although its order can't arrive any more.
func TestUndeliveredOrderEndsTheDoubt(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	assert.Assert(t, f.c.StartRepeated(first, f.now))
	f.instanceDown(first.Endpoint)
	f.c.SendAnswered(first, Undelivered, f.now)
	f.instanceDown(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 0)
	f.c.Started(first, Undelivered, f.now)
	// It may have arrived before the connection was reset, at a lifetime that began meanwhile.
	assert.Equal(t, len(f.advance(10)), 0)
	f.instanceDown(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against an order that is sent to the next lifetime of its endpoint: it was given just
// before the one before was found to be over.
func TestOrderToAnEndedLifetimeIsNotSent(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	f.now += 10
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	f.c.Stored(f.c.TakeFlush(f.now), f.now)
	assert.Equal(t, len(f.c.starts), 1)
	endpoint := f.c.starts[0].Ref.Endpoint
	f.instanceDown(endpoint)
	assert.DeepEqual(t, f.c.TakeEndedLifetimes(), []string{endpoint})
	assert.Equal(t, len(f.c.TakeEndedLifetimes()), 0)
	starts, _, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(starts), 0)
	second := f.advance(100)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Ref.Endpoint != endpoint)
}

// Guards against two runs of a task: an order that was not delivered in full may have been carried
// out by the lifetime that it was meant for.
func TestUndeliveredOrderMayBeCarriedOut(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	f.c.Started(first, Undelivered, f.now)
	assert.Equal(t, len(f.advance(10)), 0)
	f.runs[first.Endpoint] = []ActiveRun{{Task: first.Task, Run: first.Run}}
	f.answerHold(first.Endpoint)
	assert.Equal(t, len(f.advance(10)), 0)
	f.end(first.Endpoint, first.Task, first.Run, EndDone)
	f.advance(10)
	assert.Equal(t, len(f.c.jobs), 0)
}

// Guards against tasks that wait for nothing: an instance that has a new endpoint carries out
// no order to the one before.
func TestReplacedEndpointLeavesNoDoubt(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	f.c.Started(first, NoAnswer, f.now)
	i := f.c.endpoints[first.Endpoint].info.Instance
	f.now += 10
	f.c.SetInstances([]Instance{{ID: i, Pool: "s", State: InstanceUp, Endpoint: "e9"}}, f.now)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against the same where the list of instances showed first that the instance was down.
func TestReplacementOfACrashedEndpointEndsTheDoubt(t *testing.T) {
	ways := map[string]func(f *fixture, instance string){
		"listed instance": func(f *fixture, instance string) {
			f.c.SetInstances([]Instance{{ID: instance, Pool: "s", State: InstanceUp, Endpoint: "e9"}}, f.now)
		},
		"no instance": func(f *fixture, _ string) {
			f.c.SetInstances([]Instance{upInstance("i9")}, f.now)
		},
		"endpoint that answers": func(f *fixture, instance string) {
			info := f.endpointInfo(9)
			info.Instance = instance
			f.c.SetEndpoint(info, f.now)
			f.answerHold(info.ID)
		},
	}
	for name, replace := range ways {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			f.c.Submitted(oneTask("j"))
			first := f.order(10)[0].Ref
			f.c.Started(first, NoAnswer, f.now)
			i := f.c.endpoints[first.Endpoint].info.Instance
			f.instanceDown(first.Endpoint)
			assert.Equal(t, len(f.advance(10)), 0)
			replace(f, i)
			assert.Equal(t, len(f.advance(10)), 1)
			assert.Equal(t, len(f.c.EndpointsToProbe(none)), 0)
		})
	}
}

// Guards against an owner that takes the raise of its own token for a later owner.
func TestOwnTokenDeposesNobody(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	call := f.c.callTo(first.Endpoint, f.now)
	f.restart(first.Endpoint)
	f.c.HoldFenced(first.Endpoint, call)
	f.c.Started(first, Fenced, f.now)
	f.c.Stopped(first, Fenced, f.now)
	f.c.Paced(PaceOrder{Ref: first}, Fenced)
	assert.Assert(t, !f.c.Deposed())
	f.answerHold(first.Endpoint)
	assert.Equal(t, len(f.advance(100)), 1)
	f.c.HoldFenced(first.Endpoint, f.c.callTo(first.Endpoint, f.now))
	assert.Assert(t, f.c.Deposed())
}

// Guards against two runs of a task at once: a call to an earlier lifetime extended the lease of
// the next one just before that accepted the raised token.
func TestLeaseOfANewLifetimeCountsFromItsToken(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	earlier := f.c.callTo(first.Endpoint, f.now)
	f.restarts[first.Endpoint]++
	f.answerCall(first.Endpoint, earlier)
	f.advance(5000)
	f.answerHold(first.Endpoint)
	accepted := f.now
	f.c.HoldFailed(first.Endpoint, "test", f.now)
	for f.now.Sub(accepted) < testBounds().MaxLease {
		assert.Equal(t, len(f.advance(100)), 0)
	}
	assert.Equal(t, len(f.advance(500)), 1)
}

// instanceDown has a list of instances arrive in which that of an endpoint is down.
func (f *fixture) instanceDown(endpoint string) {
	f.now += 10
	i := f.c.endpoints[endpoint].info.Instance
	f.c.SetInstances([]Instance{{ID: i, Pool: "s", State: InstanceDown}}, f.now)
	f.now += 10
}

// answerCall answers a hold that was sent before.
func (f *fixture) answerCall(endpoint string, call HoldCall) {
	f.now++
	f.c.HoldAnswered(endpoint, HoldResponse{Clock: int64(f.now), StartedAt: 5 + f.restarts[endpoint], Active: f.runs[endpoint]}, call, f.now)
	f.now++
}
