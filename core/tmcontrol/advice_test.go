package tmcontrol

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmticket"
)

// Guards against a task that is started without a ticket for good, on an endpoint that has restarted
// under it and is set aside for it.
func TestSuspectIsStartedWithATicketOfTheLifetime(t *testing.T) {
	f := newPolicyFixture(t, 2, "e1")
	f.c.Submitted(oneTask("j"))
	assert.Equal(t, f.planUntilStarted("j", 1000), "e1")
	f.restart("e1")
	assert.Equal(t, f.planUntilStarted("j", 2000), "e1")
	assert.Equal(t, f.rejected, 0)
}

// Guards against the same after the ticket has expired while the endpoint that is set aside is busy.
func TestSuspectIsStartedWithAValidTicket(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1")
	f.c.Submitted(oneTask("other"))
	assert.Equal(t, f.planUntilStarted("other", 1000), "e1")
	other := f.runs["e1"][0]
	f.submitSuspect("j", suspectedInCompany)
	j := f.c.jobs["j"].open(0).steps[0]
	j.spec.Size.CPU = 8000
	for range 4 {
		f.plan(50)
	}
	assert.Assert(t, f.c.IsIsolated("e1"))
	f.work(f.valid)
	f.end("e1", other.Task, other.Run, EndDone)
	assert.Equal(t, f.planUntilStarted("j", 2000), "e1")
	assert.Equal(t, f.rejected, 0)
}

// Guards against a start with a ticket of an earlier lifetime.
func TestTicketEndsWithTheLifetime(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1")
	j := oneTask("j")
	j.Steps[0].Count = 2
	j.Steps[0].Size.CPU = 8000
	f.c.Submitted(j)
	assert.Equal(t, f.planUntilStarted("j", 1000), "e1")
	// The second task of the step, which is no suspect, waits.
	f.restart("e1")
	for range 20 {
		f.plan(50)
		f.work(MinWorkTime)
		for _, r := range slices.Clone(f.runs["e1"]) {
			f.end("e1", r.Task, r.Run, EndDone)
		}
	}
	assert.Equal(t, f.rejected, 0)
	assert.Equal(t, len(f.c.jobs), 0)
}

// Guards against a ticket that is used for the lifetime after the one that the policy was asked about.
func TestAnswerAboutAnEarlierLifetimeIsDropped(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1")
	f.c.Submitted(oneTask("j"))
	f.order(10)
	question, ok := f.c.NextAdviceRequest(f.now)
	assert.Assert(t, ok)
	f.restart("e1")
	f.c.Advised(question, AdviceAnswer{Tickets: map[string]string{"e1": "of the earlier lifetime"}, Validity: f.valid, AskedAt: f.now}, f.now)
	assert.Equal(t, f.planUntilStarted("j", 1000), "e1")
	assert.Equal(t, f.rejected, 0)
}

// Guards against a ticket of a lost endpoint that hides that the endpoint that is left has none.
func TestTicketOfALostEndpointHidesNoOther(t *testing.T) {
	f := newPolicyFixture(t, 3, "e1", "e2")
	f.valid = 30000
	j := oneTask("j")
	j.Steps[0].Count = 2
	f.c.Submitted(j)
	assert.Assert(t, f.planUntilStarted("j", 1000) != "")
	f.c.HoldFailed("e2", "lost", f.now)
	f.runs["e2"] = nil
	f.c.RemoveEndpoint("e2")
	f.restart("e1")
	f.lost["e2"] = true
	assert.Equal(t, f.planUntilStarted("j", 2000), "e1")
	assert.Equal(t, f.rejected, 0)
}

// Guards against a new endpoint that stays idle until the tickets of a full one have expired.
func TestNewEndpointIsAskedAboutBesideValidTickets(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1", "e2")
	f.valid = 30000
	j := oneTask("j")
	j.Steps[0].Count = 2
	j.Steps[0].Size.CPU = 8000
	f.c.Submitted(j)
	assert.Equal(t, f.planUntilStarted("j", 1000), "e1")
	f.c.SetEndpoint(f.endpointInfo(2), f.now)
	f.answerHold("e2")
	for range 10 {
		f.plan(50)
	}
	assert.Equal(t, len(f.runs["e2"]), 1)
}

// Guards against asking for tickets that can't be used: the policy answers one call at a time.
func TestFullEndpointsAreNotAskedAboutAgain(t *testing.T) {
	f := newPolicyFixture(t, 2, "e1", "e2")
	j := oneTask("j")
	j.Steps[0].Count = 3
	j.Steps[0].Size.CPU = 8000
	f.c.Submitted(j)
	for range 10 {
		f.plan(50)
	}
	questions := f.questions
	for range 10 {
		f.plan(f.valid)
		f.work(10)
	}
	assert.Equal(t, f.questions, questions)
}

// Guards against a step that waits for an endpoint for good that its policy refused while the endpoint
// was restarting.
func TestRefusedEndpointIsAskedAboutAgain(t *testing.T) {
	f := newPolicyFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	assert.Equal(t, f.planUntilStarted("j", 1000), "")
	f.permits = func(string) bool { return true }
	assert.Equal(t, f.planUntilStarted("j", 2*tmticket.RefusalValidity), "e1")
}

// Guards against starts in quick succession that an endpoint rejects although the policy issues tickets.
func TestRejectedTicketsSlowDown(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1")
	f.distrusts = true
	f.c.Submitted(oneTask("j"))
	assert.Equal(t, f.planUntilStarted("j", 20000), "")
	assert.Assert(t, f.rejected >= 3 && f.rejected <= 15, "%d rejected starts", f.rejected)
	f.distrusts = false
	assert.Equal(t, f.planUntilStarted("j", 2*tmticket.MaxRejectionDelay), "e1")
}

// Guards against a step that never starts because its tickets are valid for less than the margin that
// storing its placement takes.
func TestShortTicketsAreUsed(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1")
	f.valid = 150
	f.c.Submitted(oneTask("j"))
	assert.Equal(t, f.planUntilStarted("j", 2000), "e1")
}

// Guards against a step that never starts because its pool has more endpoints than a request
// for advice may name, and none of the first ones may run it.
func TestAdviceIsAskedAboutAllEndpoints(t *testing.T) {
	f := newPolicyFixture(t, 0)
	for i := range maxAdviceEndpoints + 1 {
		info := f.endpointInfo(1)
		info.ID, info.Instance = fmt.Sprintf("e%d", i), fmt.Sprintf("i%d", i)
		f.c.SetEndpoint(info, f.now)
		f.answerHold(info.ID)
	}
	f.c.Submitted(oneTask("j"))
	asked := map[string]bool{}
	for range 2 {
		f.order(10)
		q, ok := f.c.NextAdviceRequest(f.now)
		assert.Assert(t, ok && len(q.Endpoints) <= maxAdviceEndpoints)
		for _, id := range q.Endpoints {
			asked[id] = true
		}
		f.c.Advised(q, AdviceAnswer{Validity: f.valid, AskedAt: f.now}, f.now)
	}
	assert.Equal(t, len(asked), maxAdviceEndpoints+1)
}

// placeAndStore plans and takes d to store the placements.
func (f *policyFixture) placeAndStore(d tmclock.Span) {
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	flush := f.c.TakeFlush(f.now)
	f.now = f.now.Add(d)
	f.c.Stored(flush, f.now)
}

// Guards against a start with a ticket that has expired while the placement was stored, and against a
// step that never starts because its placements take longer to store than tickets are valid.
func TestStartAfterASlowWriteHasAValidTicket(t *testing.T) {
	for _, members := range []int{0, 1, 3} {
		f := newPolicyFixture(t, 1, "e1")
		j := oneTask("j")
		j.Steps[0].Count, j.Steps[0].Gang = max(1, members), members > 0
		f.c.Submitted(j)
		f.plan(10)
		f.placeAndStore(2 * f.valid)
		for range 4 {
			f.plan(10)
		}
		assert.Equal(t, len(f.runs["e1"]), j.Steps[0].Count)
		assert.Equal(t, f.rejected, 0)
		assert.Equal(t, f.c.jobs["j"].open(0).steps[0].tasks[0].runs, 1)
	}
}

// Guards against a start that is repeated with a ticket that has expired since it got no answer.
func TestRepeatedStartHasAValidTicket(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1")
	f.c.Submitted(oneTask("j"))
	f.plan(10)
	lost := f.order(10)
	assert.Equal(t, len(lost), 1)
	f.now = f.now.Add(2 * f.valid)
	f.c.Started(lost[0].Ref, NoAnswer, f.now)
	for range 4 {
		f.work(10)
		f.plan(10)
	}
	assert.Equal(t, f.placeOf("j"), "e1")
	assert.Equal(t, f.rejected, 0)
	assert.Equal(t, f.runs["e1"][0].Run, 1)
}

// Guards against capacity that is kept for a start whose policy does not answer.
func TestStartWithoutATicketIsGivenUp(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1")
	j := oneTask("j")
	j.Steps[0].Count, j.Steps[0].Gang = 3, true
	f.c.Submitted(j)
	f.plan(10)
	f.placeAndStore(2 * f.valid)
	assert.Equal(t, len(f.c.endpoints["e1"].runs), 3)
	for range 10 {
		f.order(maxTicketWait / 5)
		if q, ok := f.c.NextAdviceRequest(f.now); ok {
			f.c.Advised(q, AdviceAnswer{Failed: true}, f.now)
		}
	}
	assert.Equal(t, len(f.c.endpoints["e1"].runs), 0)
	assert.Equal(t, f.planUntilStarted("j", 2000), "e1")
}

// Guards against requests that time out, and are sent again, because they wait for many others: the
// policy answers one call at a time. The step that is planned first is asked about first.
func TestPolicyIsAskedOneRequestAtATime(t *testing.T) {
	f := newPolicyFixture(t, 2, "e1")
	late, urgent := oneTask("late"), oneTask("urgent")
	late.Accepted = int64(f.now) - 10000
	f.c.Submitted(late)
	f.order(10)
	first, ok := f.c.NextAdviceRequest(f.now)
	assert.Assert(t, ok)
	f.c.Submitted(urgent)
	f.c.Submitted(oneTask("third"))
	f.order(10)
	_, ok = f.c.NextAdviceRequest(f.now)
	assert.Assert(t, !ok, "a second request is under way")
	f.c.Advised(first, AdviceAnswer{Failed: true}, f.now)
	var asked []string
	for q, ok := f.c.NextAdviceRequest(f.now); ok; q, ok = f.c.NextAdviceRequest(f.now) {
		asked = append(asked, q.step.occ.job.spec.ID)
		f.c.Advised(q, AdviceAnswer{Validity: f.valid, AskedAt: f.now}, f.now)
	}
	var planned []string
	for _, o := range f.plannedOrder() {
		if id := o.job.spec.ID; id != first.step.occ.job.spec.ID {
			planned = append(planned, id)
		}
	}
	assert.DeepEqual(t, asked, planned)
}

// plannedOrder returns the waiting occurrences of queue q in the order in which they are placed.
func (f *policyFixture) plannedOrder() []*occurrence {
	pools := f.c.pools(f.now)
	w := f.c.waitingQueues(slices.Clone(f.c.openJobs), pools, f.now, int64(f.now))["s"]
	var out []*occurrence
	for _, placed := range f.c.order(pools["s"], w, f.now, int64(f.now)) {
		out = append(out, w.occurrences[placed.Index])
	}
	return out
}

// Guards against a step whose requests fail and which keeps all others from being asked about, and
// against requests that fail for good because they name more endpoints than the policy can answer for
// in time.
func TestFailedRequestsAreSmallerAndHoldUpNoOthers(t *testing.T) {
	f := newPolicyFixture(t, 8, "e1")
	f.c.Submitted(oneTask("a"))
	f.c.Submitted(oneTask("b"))
	f.order(10)
	first, _ := f.c.NextAdviceRequest(f.now)
	f.c.Advised(first, AdviceAnswer{Failed: true}, f.now)
	f.order(10)
	second, ok := f.c.NextAdviceRequest(f.now)
	assert.Assert(t, ok && second.step != first.step)
	for range 10 {
		f.c.Advised(second, AdviceAnswer{Failed: true}, f.now)
		f.order(failedAdvicePause)
		second, ok = f.c.NextAdviceRequest(f.now)
		assert.Assert(t, ok)
	}
	assert.Equal(t, len(second.Endpoints), 1)
	f.c.Advised(second, AdviceAnswer{Failed: true}, f.now)
	assert.Assert(t, f.planUntilStarted("a", 5000) != "")
	assert.Assert(t, f.planUntilStarted("b", 5000) != "")
}

// Guards against an endpoint that stays idle because it is set aside for a task whose placement policy
// does not answer.
func TestEndpointIsNotSetAsideWhileThePolicyFails(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1")
	f.addPlainQueue()
	full := oneTask("full")
	full.Queue, full.Steps[0].Size.CPU = "other", 8000
	f.c.Submitted(full)
	assert.Equal(t, f.planUntilStarted("full", 1000), "e1")
	run := f.runs["e1"][0]
	f.submitSuspect("j", suspectedInCompany)
	for range 4 {
		f.plan(10)
	}
	assert.Assert(t, f.c.IsIsolated("e1"))
	f.work(f.valid)
	f.end("e1", run.Task, run.Run, EndDone)
	other := oneTask("other")
	other.Queue = "other"
	f.c.Submitted(other)
	for range 4 {
		f.start(f.order(50))
		if q, ok := f.c.NextAdviceRequest(f.now); ok {
			f.c.Advised(q, AdviceAnswer{Failed: true}, f.now)
		}
	}
	assert.Equal(t, f.placeOf("other"), "e1")
	f.work(MinWorkTime)
	assert.Equal(t, f.planUntilStarted("j", 3000), "e1")
}

// Guards against a large task or a gang that never starts because capacity is kept for it on endpoints
// that its placement policy refuses, or none is kept because those have room.
func TestLargeTasksStartOnPermittedEndpoints(t *testing.T) {
	large := sized("large", "t", 1, 0)
	large.Steps[0].Size.CPU = 7000
	gang := sized("large", "t", 2, 0)
	gang.Steps[0].Size.CPU, gang.Steps[0].Gang = 3500, true
	for _, j := range []tmjob.Job{large, gang} {
		for _, permitted := range []string{"e1", "e3"} {
			waited := startsOnAnEndpointOfSmallTasks(t, j, permitted)
			t.Logf("gang %v on %s waited %d ms", j.Steps[0].Gang, permitted, waited)
			assert.Assert(t, waited < 20*tmclock.Second)
		}
	}
}

// startsOnAnEndpointOfSmallTasks keeps three endpoints full of small tasks of another queue that run for
// 700 ms, and returns how long a job waits that may run only on the given one, at most 30 s.
func startsOnAnEndpointOfSmallTasks(t *testing.T, j tmjob.Job, permitted string) tmclock.Span {
	f := newPolicyFixture(t, 3, permitted)
	f.addPlainQueue()
	const runTime = 700
	running := map[tmclock.Millis][]StartOrder{}
	for i := range 600 {
		for n := range 2 {
			small := sized(fmt.Sprintf("small%03d.%d", i, n), "t", 1, int64(f.now))
			small.Queue = "other"
			f.c.Submitted(small)
		}
		if i == 20 {
			j.Accepted = int64(f.now)
			f.c.Submitted(j)
		}
		starts := f.order(50 - tmclock.Span(f.now%50))
		f.start(starts)
		f.advise()
		for _, s := range starts {
			if s.Ref.Task.Job == j.ID {
				return tmclock.Span(int64(f.now) - j.Accepted)
			}
			end := f.now.Add(runTime) / 50
			running[end] = append(running[end], s)
		}
		for _, s := range running[f.now/50] {
			f.end(s.Ref.Endpoint, s.Ref.Task, 1, EndDone)
		}
	}
	return 30 * tmclock.Second
}
