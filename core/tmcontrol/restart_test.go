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

// Guards against the same where a second copy of the order was answered: the first one may
// still be on its way.
func TestSecondCopyDoesNotSettleTheFirst(t *testing.T) {
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

// Guards against a task that waits although both copies of its order were answered, if late.
func TestAnswerToTheFirstCopySettlesIt(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	assert.Assert(t, f.c.StartRepeated(first, f.now))
	f.c.Started(first, Accepted, f.now)
	f.c.CopyAnswered(first, Accepted, f.now)
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
	for f.now.Sub(first.SentAt) < maxOrderDelay-200 {
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
	f.c.CopyAnswered(first, Undelivered, f.now)
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
