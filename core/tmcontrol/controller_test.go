package tmcontrol

import (
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmshard"
)

// fixture is a controller with one service, whose endpoints e1, e2, ... are on
// instances i1, i2, ..., and with the queue q.
type fixture struct {
	t    *testing.T
	c    *Controller
	now  tmclock.Millis
	ends map[string]int64
	runs map[string][]ActiveRun
	// restarts counts the restarts of endpoints under their id.
	restarts map[string]int64
}

func testBounds() Bounds {
	return Bounds{Lease: 5000, MaxLease: 10000, Maintenance: 2000}
}

func testRules(version int64) Rules {
	return Rules{
		Version:  version,
		Queues:   map[string]Queue{"q": {Name: "q", Service: "s", Attempts: 2, Stretch: 1.6, Objective: 600}},
		Services: map[string]Service{"s": {Name: "s"}},
		Teams:    map[string]Team{"t": {Name: "t", Weight: 1}},
	}
}

func newFixture(t *testing.T, endpoints int) *fixture {
	t.Helper()
	f := &fixture{t: t, now: 1000, ends: map[string]int64{}, runs: map[string][]ActiveRun{}, restarts: map[string]int64{}}
	f.c = f.newController(1)
	for i := range endpoints {
		f.c.SetEndpoint(f.endpointInfo(i+1), f.now)
	}
	f.c.Loaded()
	for i := range endpoints {
		f.answerHold(f.endpointInfo(i + 1).ID)
	}
	return f
}

func (f *fixture) newController(token int64) *Controller {
	c := New(tmshard.Whole, testBounds(), token, func(e tmevent.Event) { f.t.Log(f.now, e.Name, e.Fields) })
	c.Apply(DesiredState{Rules: testRules(1)}, f.now)
	c.OwnershipConfirmed(f.now)
	return c
}

func (f *fixture) endpointInfo(i int) EndpointInfo {
	n := string(rune('0' + i))
	return EndpointInfo{
		ID: "e" + n, Service: "s", Address: "10.0.0." + n + ":1", Zone: "z", Instance: "i" + n,
		Capacity: tmjob.Resources{CPU: 8000, Mem: 8000}, StartedAt: 5,
	}
}

// order moves time forward by d, runs one planning pass and stores its changes. It returns
// the start orders, without an answer to them.
func (f *fixture) order(d tmclock.Span) []StartOrder {
	f.now = f.now.Add(d)
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	for flush := f.c.TakeFlush(f.now); flush != nil; flush = f.c.TakeFlush(f.now) {
		f.c.Stored(flush, f.now)
	}
	starts, _, _ := f.c.TakeOrders(f.now)
	return starts
}

// advance does the same, and accepts the start orders.
func (f *fixture) advance(d tmclock.Span) []StartOrder {
	starts := f.order(d)
	for _, s := range starts {
		f.c.Started(s.Ref, Accepted, f.now)
		f.runs[s.Ref.Endpoint] = append(f.runs[s.Ref.Endpoint], ActiveRun{Task: s.Ref.Task, Run: s.Ref.Run, Percent: 100})
	}
	return starts
}

// answerHold answers a hold of an endpoint with its active runs and the given ends.
func (f *fixture) answerHold(endpoint string, ends ...EndedRun) {
	f.now++
	f.c.HoldAnswered(endpoint, HoldResponse{Clock: int64(f.now), StartedAt: 5 + f.restarts[endpoint], Active: f.runs[endpoint], Ended: ends}, f.c.callTo(endpoint, f.now), f.now+1)
	f.now++
}

// callTo returns a hold that is sent to an endpoint now.
func (c *Controller) callTo(endpoint string, now tmclock.Millis) HoldCall {
	return HoldCall{SentAt: now, Token: c.endpoints[endpoint].token}
}

// end ends a run at an endpoint and reports it.
func (f *fixture) end(endpoint string, task tmjob.TaskID, run int, reason EndReason) {
	f.ends[endpoint]++
	for i, a := range f.runs[endpoint] {
		if a.Task == task && a.Run == run {
			f.runs[endpoint] = append(f.runs[endpoint][:i:i], f.runs[endpoint][i+1:]...)
			break
		}
	}
	f.answerHold(endpoint, EndedRun{Number: f.ends[endpoint], Task: task, Run: run, Reason: reason})
}

// storedProgress returns what all pages of the progress of a job hold.
func storedProgress(j *job) tmjob.Progress {
	var pages []tmjob.Progress
	for _, n := range slices.Sorted(maps.Keys(j.pages)) {
		page := j.pages[n].progress()
		page.Pages = []int{n}
		pages = append(pages, page)
	}
	return tmjob.Merge(j.spec.ID, pages)
}

func oneTask(id string) tmjob.Job {
	return tmjob.Job{ID: id, Queue: "q", Team: "t", Spec: "x", Accepted: 1000, Steps: []tmjob.Step{
		{Count: 1, Size: tmjob.Resources{CPU: 1000, Mem: 100}, Estimate: 500},
	}}
}

// Guards against running completed tasks again: a new owner that sent holds before it
// had loaded the stored jobs acknowledged ends that it had not counted.
func TestNoHoldBeforeJobsAreLoaded(t *testing.T) {
	f := newFixture(t, 1)
	c := f.newController(2)
	c.SetEndpoint(f.endpointInfo(1), f.now)
	assert.Equal(t, len(c.EndpointsToHold(map[string]bool{})), 0)
	c.Loaded()
	assert.Equal(t, len(c.EndpointsToHold(map[string]bool{})), 1)
}

// Guards against starting a step before all tasks that it depends on are done, and
// against a job that stays open after its last task.
func TestStepsRunInOrder(t *testing.T) {
	f := newFixture(t, 2)
	j := oneTask("j")
	j.Steps = append(j.Steps, tmjob.Step{Count: 1, Size: tmjob.Resources{CPU: 1000}, After: []int{0}})
	f.c.Submitted(j)
	first := f.advance(10)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(f.advance(10)), 0)
	f.end(first[0].Ref.Endpoint, first[0].Ref.Task, 1, EndDone)
	second := f.advance(10)
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Ref.Task.Step, 1)
	f.end(second[0].Ref.Endpoint, second[0].Ref.Task, 1, EndDone)
	f.advance(10)
	assert.Equal(t, len(f.c.jobs), 0)
}

// Guards against counting a failure twice, which made jobs fail too early. A failure that
// is stored but not yet acknowledged to its endpoint is listed to the next owner again.
func TestFailureIsCountedOnceAcrossOwners(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	starts := f.advance(10)
	assert.Equal(t, len(starts), 1)
	ref := starts[0].Ref
	f.runs["e1"] = nil
	failed := EndedRun{Number: 1, Task: ref.Task, Run: 1, Reason: EndFailed}
	f.answerHold("e1", failed)
	flush := f.c.TakeFlush(f.now)
	assert.Equal(t, flush.Changes[0].Progress.Tasks[0].Failures, 1)

	f.c = f.newController(2)
	f.c.SetEndpoint(f.endpointInfo(1), f.now)
	f.c.Submitted(oneTask("j"))
	f.c.Restore(*flush.Changes[0].Progress, f.now)
	f.c.Loaded()
	f.answerHold("e1", failed)
	assert.Equal(t, len(f.c.openJobs), 1)
	assert.Equal(t, f.c.openJobs[0].task(ref.Task).failures, 1)
}

// Guards against a run that is taken for gone, and started again, because its end did not
// fit into the list of its endpoint.
func TestTruncatedListEndsNoRun(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	ref := f.advance(10)[0].Ref
	f.now += 10
	f.c.HoldAnswered("e1", HoldResponse{Clock: int64(f.now), StartedAt: 5, Truncated: true}, f.c.callTo("e1", f.now), f.now+1)
	assert.Equal(t, len(f.advance(10)), 0)
	f.runs["e1"] = nil
	f.answerHold("e1", EndedRun{Number: 501, Task: ref.Task, Run: ref.Run, Reason: EndDone})
	assert.Equal(t, len(f.advance(10)), 0)
	assert.Equal(t, len(f.c.jobs), 0)
}

// Guards against unanswered holds that extend the lease of an endpoint: the tasks of an
// endpoint that had stopped never started elsewhere.
func TestSilentEndpointLapses(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)
	assert.Equal(t, len(first), 1)
	stopped := first[0].Ref.Endpoint
	f.answerHold(stopped)
	_, ok := f.c.NextHold(stopped, f.now)
	assert.Assert(t, ok)
	f.c.HoldFailed(stopped, "test", f.now)
	granted := f.now
	for f.now.Sub(granted) < tmclock.Span(float64(testBounds().Lease)/minClockRate)+2*expiryMargin {
		_, _ = f.c.NextHold(stopped, f.now)
		f.advance(100)
	}
	assert.Equal(t, len(f.c.endpoints[stopped].runs), 0)
}

// Guards against tasks that keep running after their job is final: the job was cancelled
// before the next owner had read its progress.
func TestRestoredRunOfCancelledJobStops(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	starts := f.advance(10)
	progress := storedProgress(f.c.jobs["j"])

	f.c = f.newController(2)
	f.c.SetEndpoint(f.endpointInfo(1), f.now)
	f.c.Submitted(oneTask("j"))
	f.c.Cancelled("j")
	f.c.Restore(progress, f.now)
	f.c.Loaded()
	f.answerHold("e1")
	_, stops, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Ref.Task, starts[0].Ref.Task)
}

// Guards against waiting for the lease of an endpoint to expire although the list of
// instances shows that its instance is down.
func TestInstanceDownEndsItsTasks(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	i := f.c.endpoints[first.Endpoint].info.Instance
	f.c.SetInstances([]Instance{{ID: i, Pool: "s", State: InstanceDown}}, f.now)
	second := f.advance(10)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Ref.Endpoint != first.Endpoint)
}

// Guards against the same where the instance is gone for good, so that the list doesn't have it.
func TestInstanceThatIsGoneEndsItsTasks(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	f.answerHold(first.Endpoint)
	rest := []Instance{upInstance("i9")}
	f.now += 10
	f.c.SetInstances(rest, f.now)
	assert.Equal(t, len(f.advance(10)), 0)
	f.c.HoldFailed(first.Endpoint, "test", f.now)
	f.c.SetInstances(nil, f.now)
	assert.Equal(t, len(f.advance(10)), 0)
	f.c.SetInstances(rest, f.now)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against tasks that stand still for 15 s after a change of the owner: their endpoint was lost
// after it had answered the new owner, from when on the earlier one could not renew its lease.
func TestLeaseOfAnEarlierOwnerEndsWithItsToken(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	f.restoreAtNewOwner("j")
	f.answerHold("e1")
	f.answerHold("e2")
	accepted := f.now
	f.c.HoldFailed(first.Endpoint, "test", f.now)
	for f.now.Sub(accepted) < testBounds().MaxLease {
		assert.Equal(t, len(f.advance(100)), 0)
	}
	assert.Equal(t, len(f.advance(500)), 1)
}

// Guards against best-effort tasks that keep their pace while a serving task beside them
// misses its target, or stay slow afterwards.
func TestBestEffortTasksAreSlowed(t *testing.T) {
	f := newFixture(t, 1)
	long := tmjob.Step{Count: 1, Size: tmjob.Resources{CPU: 1000}, LongRunning: true}
	serve, bestEffort := long, long
	serve.LatencyTarget, bestEffort.BestEffort = 100, true
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{serve, bestEffort}})
	assert.Equal(t, len(f.advance(10)), 2)
	usage := func(ms int64) []PaceOrder {
		f.now = f.now.Add(paceInterval)
		for i, a := range f.runs["e1"] {
			if a.Task.Step == 0 {
				f.runs["e1"][i].Usage = ms
			}
		}
		f.answerHold("e1")
		_, _, paces := f.c.TakeOrders(f.now)
		return paces
	}
	paces := usage(150)
	assert.Equal(t, len(paces), 1)
	assert.Equal(t, paces[0].Percent, 40)
	assert.Equal(t, paces[0].Ref.Task.Step, 1)
	usage(150)
	assert.Equal(t, usage(150)[0].Percent, 0)
	assert.Equal(t, usage(20)[0].Percent, 20)
	assert.Equal(t, len(usage(80)), 0)
}

// Guards against a job that never completes because one of its tasks makes no progress
// on a faulty endpoint.
func TestStalledTaskMoves(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	f.runs[first.Endpoint][0].Percent = 30
	stopped := false
	for range 30 {
		f.now = f.now.Add(100)
		f.answerHold(first.Endpoint)
		_, stops, _ := f.c.TakeOrders(f.now)
		for _, s := range stops {
			stopped = true
			f.c.Stopped(s.Ref, Accepted, f.now)
			f.end(first.Endpoint, first.Task, 1, EndStopped)
		}
	}
	assert.Assert(t, stopped)
	second := f.advance(10)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Ref.Endpoint != first.Endpoint)
}

// Guards against long-running tasks that stay on a draining endpoint until it exits.
func TestLongRunningTaskLeavesDrainingEndpoint(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 1, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1,
	}}})
	first := f.advance(10)[0].Ref
	f.answerHold(first.Endpoint)
	l := f.c.endpoints[first.Endpoint].info
	l.Draining = true
	f.c.SetEndpoint(l, f.now)
	f.c.Tick(f.now, int64(f.now))
	_, stops, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(stops), 1)
}

// Guards against two active runs of a task that is not speculative. A speculative task
// gets a copy when its endpoint doesn't answer.
func TestSpeculativeTaskGetsCopy(t *testing.T) {
	for _, speculative := range []bool{true, false} {
		f := newFixture(t, 2)
		j := oneTask("j")
		j.Steps[0].Speculative = speculative
		f.c.Submitted(j)
		first := f.advance(10)[0].Ref
		f.c.HoldFailed(first.Endpoint, "test", f.now)
		assert.Equal(t, len(f.advance(10)) == 1, speculative)
	}
}

// Guards against running tasks twice: a list of instances that was requested before an
// instance came back from maintenance ended the new endpoint on it.
func TestStaleInstanceListKeepsNewEndpoint(t *testing.T) {
	f := newFixture(t, 1)
	f.c.SetInstances([]Instance{{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"}}, f.now)
	f.c.Apply(DesiredState{Rules: testRules(1), Waves: []Wave{{Name: "1", Number: 1, Instances: []string{"i1"}, MaxUnavailable: 1}}}, f.now)
	for range 3 {
		f.advance(10)
	}
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
	f.c.InstanceOrdered(orders[0], Accepted, f.now)
	asked := f.now.Add(1)
	f.now = f.now.Add(500)
	l := f.endpointInfo(2)
	l.Instance, l.StartedAt = "i1", 9
	f.c.SetEndpoint(l, f.now)
	f.c.SetInstances([]Instance{{ID: "i1", Pool: "s", State: InstanceMaintenance}}, asked)
	assert.Assert(t, !f.c.endpoints["e2"].gone)
}

// Guards against running tasks twice: an owner that was partitioned together with some
// endpoints kept renewing their leases, while its successor considered the leases expired
// and started the tasks elsewhere.
func TestUnconfirmedOwnerStopsRenewing(t *testing.T) {
	f := newFixture(t, 1)
	h, ok := f.c.NextHold("e1", f.now)
	assert.Assert(t, ok && h.Until > 0)
	f.now = f.now.Add(maxUnconfirmedTime)
	h, ok = f.c.NextHold("e1", f.now)
	assert.Assert(t, ok)
	assert.Equal(t, h.Until, int64(0))
}

// Guards against waiting for the lease of an endpoint that a new owner knows only from
// stored runs, although no instance runs that endpoint any more.
func TestRestoredEndpointWithoutInstance(t *testing.T) {
	f := newFixture(t, 1)
	c := f.newController(2)
	c.Submitted(oneTask("j"))
	task := tmjob.TaskRecord{Runs: 1, Placements: []tmjob.Placement{{Run: 1, Endpoint: "gone", EndpointStart: 3}}}
	c.Restore(tmjob.Progress{ID: "j", Tasks: []tmjob.TaskRecord{task}}, f.now)
	c.Loaded()
	c.SetInstances([]Instance{{ID: "i1", State: InstanceUp, Endpoint: "gone"}}, f.now+1)
	assert.Equal(t, len(c.endpoints["gone"].runs), 1)
	c.SetInstances([]Instance{{ID: "i1", State: InstanceDown, Endpoint: "gone"}}, f.now+1)
	assert.Equal(t, len(c.endpoints["gone"].runs), 0)
}
