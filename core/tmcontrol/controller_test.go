package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

// fixture is a controller with one service of endpoints e1, e2, ... on
// instances i1, i2, ..., and the queue q.
type fixture struct {
	t    *testing.T
	c    *Controller
	now  tmclock.Millis
	ends map[string]int64
	run  map[string][]Active
}

func testBounds() Bounds {
	return Bounds{Lease: 5000, Upkeep: 2000}
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
	f := &fixture{t: t, now: 1000, ends: map[string]int64{}, run: map[string][]Active{}}
	f.c = f.newController(1)
	for i := range endpoints {
		f.c.SetEndpoint(f.listing(i+1), f.now)
	}
	f.c.Loaded()
	for i := range endpoints {
		f.look(f.listing(i + 1).ID)
	}
	return f
}

func (f *fixture) newController(token int64) *Controller {
	c := New(testBounds(), token, func(e tmevent.Event) { f.t.Log(f.now, e.Name, e.Fields) })
	c.Apply(Directive{Rules: testRules(1)}, f.now)
	c.Confirmed(f.now)
	return c
}

func (f *fixture) listing(i int) Listing {
	n := string(rune('0' + i))
	return Listing{
		ID: "e" + n, Service: "s", Address: "10.0.0." + n + ":1", Zone: "z", Instance: "i" + n,
		Capacity: tmjob.Resources{CPU: 8000, Mem: 8000}, Born: 5,
	}
}

// step lets the controller plan and stores what it wants stored, then returns
// its start orders, all of which are accepted.
func (f *fixture) step(d tmclock.Span) []StartOrder {
	f.now = f.now.Add(d)
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	for flush := f.c.TakeFlush(f.now); flush != nil; flush = f.c.TakeFlush(f.now) {
		f.c.Stored(flush, f.now)
	}
	starts, _, _ := f.c.TakeOrders(f.now)
	for _, s := range starts {
		f.c.Started(s.Ref, Accepted, f.now)
		f.run[s.Ref.Endpoint] = append(f.run[s.Ref.Endpoint], Active{Task: s.Ref.Task, Run: s.Ref.Run, Percent: 100})
	}
	return starts
}

// look answers a hold of an endpoint with its runs and the ends given.
func (f *fixture) look(endpoint string, ends ...Ended) {
	f.now++
	f.c.Looked(endpoint, Look{Clock: int64(f.now), Born: 5, Active: f.run[endpoint], Ended: ends}, f.now, f.now+1)
	f.now++
}

// end ends a run of an endpoint.
func (f *fixture) end(endpoint string, task tmjob.TaskID, run int, how End) {
	f.ends[endpoint]++
	for i, a := range f.run[endpoint] {
		if a.Task == task && a.Run == run {
			f.run[endpoint] = append(f.run[endpoint][:i:i], f.run[endpoint][i+1:]...)
			break
		}
	}
	f.look(endpoint, Ended{Number: f.ends[endpoint], Task: task, Run: run, How: how})
}

func oneTask(id string) tmjob.Job {
	return tmjob.Job{ID: id, Queue: "q", Team: "t", Spec: "x", Accepted: 1000, Steps: []tmjob.Step{
		{Count: 1, Size: tmjob.Resources{CPU: 1000, Mem: 100}, Estimate: 500},
	}}
}

// A new owner that asked endpoints for their ends before it knew the stored jobs
// acknowledged ends that it had not counted, and ran finished tasks again.
func TestNoHoldBeforeJobsAreLoaded(t *testing.T) {
	f := newFixture(t, 1)
	c := f.newController(2)
	c.SetEndpoint(f.listing(1), f.now)
	assert.Equal(t, len(c.ToHold(map[string]bool{})), 0)
	c.Loaded()
	assert.Equal(t, len(c.ToHold(map[string]bool{})), 1)
}

// The next step starts only when all tasks before it are done, and the job is
// complete after the last one.
func TestStepsRunInOrder(t *testing.T) {
	f := newFixture(t, 2)
	j := oneTask("j")
	j.Steps = append(j.Steps, tmjob.Step{Count: 1, Size: tmjob.Resources{CPU: 1000}, After: []int{0}})
	f.c.Submitted(j)
	first := f.step(10)
	assert.Equal(t, len(first), 1)
	assert.Equal(t, len(f.step(10)), 0)
	f.end(first[0].Ref.Endpoint, first[0].Ref.Task, 1, EndDone)
	second := f.step(10)
	assert.Equal(t, len(second), 1)
	assert.Equal(t, second[0].Ref.Task.Step, 1)
	f.end(second[0].Ref.Endpoint, second[0].Ref.Task, 1, EndDone)
	f.step(10)
	assert.Equal(t, len(f.c.jobs), 0)
}

// A failure that was stored but not yet acknowledged to its endpoint is listed to
// the next owner again. It was counted twice, and jobs failed too early.
func TestFailureIsCountedOnceAcrossOwners(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	starts := f.step(10)
	assert.Equal(t, len(starts), 1)
	ref := starts[0].Ref
	f.run["e1"] = nil
	failed := Ended{Number: 1, Task: ref.Task, Run: 1, How: EndFailed}
	f.look("e1", failed)
	flush := f.c.TakeFlush(f.now)
	assert.Equal(t, flush.Changes[0].Progress.Tasks[0].Failures, 1)

	f.c = f.newController(2)
	f.c.SetEndpoint(f.listing(1), f.now)
	f.c.Submitted(oneTask("j"))
	f.c.Restore(*flush.Changes[0].Progress, f.now)
	f.c.Loaded()
	f.look("e1", failed)
	assert.Equal(t, len(f.c.order), 1)
	assert.Equal(t, f.c.order[0].task(ref.Task).failures, 1)
}

// Holds that an endpoint did not answer kept moving the end of its lease, so the
// tasks of a dead endpoint never started elsewhere.
func TestSilentEndpointLapses(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.step(10)
	assert.Equal(t, len(first), 1)
	dead := first[0].Ref.Endpoint
	f.look(dead)
	_, ok := f.c.Hold(dead, f.now)
	assert.Assert(t, ok)
	f.c.Silent(dead, "test")
	granted := f.now
	for f.now.Sub(granted) < tmclock.Span(float64(testBounds().Lease)/slowestClock)+2*lapseMargin {
		_, _ = f.c.Hold(dead, f.now)
		f.step(100)
	}
	assert.Equal(t, len(f.c.endpoints[dead].runs), 0)
}

// A job that was cancelled before the next owner had read its progress was final
// without its tasks being stopped.
func TestRestoredRunOfCancelledJobStops(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	starts := f.step(10)
	progress := f.c.jobs["j"].progress()

	f.c = f.newController(2)
	f.c.SetEndpoint(f.listing(1), f.now)
	f.c.Submitted(oneTask("j"))
	f.c.Cancelled("j")
	f.c.Restore(progress, f.now)
	f.c.Loaded()
	f.look("e1")
	_, stops, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Ref.Task, starts[0].Ref.Task)
}

// The tasks of a dead endpoint waited for its lease although the list of
// instances showed that it was down.
func TestInstanceDownEndsItsTasks(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.step(10)[0].Ref
	i := f.c.endpoints[first.Endpoint].info.Instance
	f.c.SetInstances([]Instance{{ID: i, Pool: "s", State: InstanceDown}}, f.now)
	second := f.step(10)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Ref.Endpoint != first.Endpoint)
}

// Tasks that fill are slowed while a task beside them misses its target, and get
// their share back afterwards.
func TestFillingTasksAreSlowed(t *testing.T) {
	f := newFixture(t, 1)
	long := tmjob.Step{Count: 1, Size: tmjob.Resources{CPU: 1000}, LongRunning: true}
	serve, fill := long, long
	serve.LatencyTarget, fill.BestEffort = 100, true
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{serve, fill}})
	assert.Equal(t, len(f.step(10)), 2)
	usage := func(ms int64) []PaceOrder {
		f.now = f.now.Add(paceEvery)
		for i, a := range f.run["e1"] {
			if a.Task.Step == 0 {
				f.run["e1"][i].Usage = ms
			}
		}
		f.look("e1")
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

// A task that stands still on a sick endpoint held its job up for good.
func TestStalledTaskMoves(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.step(10)[0].Ref
	f.run[first.Endpoint][0].Percent = 30
	stopped := false
	for range 30 {
		f.now = f.now.Add(100)
		f.look(first.Endpoint)
		_, stops, _ := f.c.TakeOrders(f.now)
		for _, s := range stops {
			stopped = true
			f.c.Stopped(s.Ref, Accepted, f.now)
			f.end(first.Endpoint, first.Task, 1, EndStopped)
		}
	}
	assert.Assert(t, stopped)
	second := f.step(10)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Ref.Endpoint != first.Endpoint)
}

// The long-running tasks of a draining endpoint stayed until it was gone.
func TestLongRunningTaskLeavesDrainingEndpoint(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 1, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1,
	}}})
	first := f.step(10)[0].Ref
	f.look(first.Endpoint)
	l := f.c.endpoints[first.Endpoint].info
	l.Draining = true
	f.c.SetEndpoint(l, f.now)
	f.c.Tick(f.now, int64(f.now))
	_, stops, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(stops), 1)
}

// A speculative task gets a second copy when its endpoint does not answer; of
// other tasks no two runs may be active.
func TestSpeculativeTaskGetsCopy(t *testing.T) {
	for _, speculative := range []bool{true, false} {
		f := newFixture(t, 2)
		j := oneTask("j")
		j.Steps[0].Speculative = speculative
		f.c.Submitted(j)
		first := f.step(10)[0].Ref
		f.c.Silent(first.Endpoint, "test")
		assert.Equal(t, len(f.step(10)) == 1, speculative)
	}
}

// A list of instances that was on its way while an endpoint came back from
// maintenance ended the new endpoint, and its tasks ran twice.
func TestLateListEndsNoNewEndpoint(t *testing.T) {
	f := newFixture(t, 1)
	f.c.SetInstances([]Instance{{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"}}, f.now)
	f.c.Apply(Directive{Rules: testRules(1), Waves: []Wave{{Name: "1", Number: 1, Instances: []string{"i1"}, Bound: 1}}}, f.now)
	for range 3 {
		f.step(10)
	}
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
	f.c.InstanceOrdered(orders[0], Accepted, f.now)
	asked := f.now.Add(1)
	f.now = f.now.Add(500)
	l := f.listing(2)
	l.Instance, l.Born = "i1", 9
	f.c.SetEndpoint(l, f.now)
	f.c.SetInstances([]Instance{{ID: "i1", Pool: "s", State: InstanceUpkeep}}, asked)
	assert.Assert(t, !f.c.endpoints["e2"].gone)
}

// An owner that was cut off with some endpoints kept renewing their leases, while
// its successor took them for lapsed and started their tasks elsewhere.
func TestBlindOwnerStopsRenewing(t *testing.T) {
	f := newFixture(t, 1)
	h, ok := f.c.Hold("e1", f.now)
	assert.Assert(t, ok && h.Until > 0)
	f.now = f.now.Add(blindTime)
	h, ok = f.c.Hold("e1", f.now)
	assert.Assert(t, ok)
	assert.Equal(t, h.Until, int64(0))
}

// A new owner knew a dead endpoint only from stored runs, and waited for its lease
// although no instance runs it any more.
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
