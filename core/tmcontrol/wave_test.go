package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
)

// startWave directs a wave over instances, with a bound on those that are down at once.
func (f *fixture) startWave(bound int, instances ...string) {
	w := Wave{Name: "1", Number: 1, Instances: instances, Within: 20000, Bound: bound}
	f.c.Apply(Directive{Rules: testRules(1), Waves: []Wave{w}}, f.now)
}

// upInstance is an instance of the pool of a fixture.
func upInstance(id string) Instance {
	return Instance{ID: id, Pool: "s", State: InstanceUp, Capacity: tmjob.Resources{CPU: 8000, Mem: 8000}}
}

// An instance that had just come up was ordered down before its endpoint was listed.
// The endpoint showed up while the order was on its way and was given a long-running
// task, which the order ended although no task of the step might be away.
func TestNewEndpointIsReservedForAnOrderUnderWay(t *testing.T) {
	f := newFixture(t, 1)
	f.c.SetInstances([]Instance{upInstance("i1"), upInstance("i2")}, f.now)
	f.startWave(1, "i2")
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	f.c.SetEndpoint(f.listing(2), f.now)
	f.look("e2")
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 2, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1, PerEndpoint: 1,
	}}})
	starts := f.step(10)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Ref.Endpoint, "e1")
}

// An order for an instance that was busy was sent again with every pass, forty times
// a second.
func TestBusyInstanceIsNotOrderedAgainAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.c.SetInstances([]Instance{upInstance("i1")}, f.now)
	f.startWave(1, "i1")
	sent := 0
	for range 100 {
		f.step(10)
		orders, _ := f.c.TakeInstanceOrders()
		for _, o := range orders {
			sent++
			f.c.InstanceOrdered(o, NoRoom, f.now)
		}
	}
	assert.Assert(t, sent >= 2 && sent <= 4, "%d orders in a second", sent)
}

// Two instances that hold tasks of one long-running step were taken down in one
// pass although only one of its tasks may be away.
func TestWaveKeepsAvailabilityBudget(t *testing.T) {
	f := newFixture(t, 3)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 3, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1, PerEndpoint: 1,
	}}})
	assert.Equal(t, len(f.step(10)), 3)
	for _, e := range []string{"e1", "e2", "e3"} {
		f.look(e)
	}
	var list []Instance
	for _, id := range []string{"i1", "i2", "i3"} {
		list = append(list, Instance{ID: id, Pool: "s", State: InstanceUp})
	}
	f.c.SetInstances(list, f.now)
	f.startWave(3, "i1", "i2", "i3")
	f.step(10)
	f.step(10)
	f.step(10)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
}

// An order for maintenance that was done before is accepted too. A new owner
// took the endpoint for dead then and started its tasks a second time.
func TestRepeatedUpkeepOrderEndsNothing(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 1, Size: tmjob.Resources{CPU: 1000}, LongRunning: true,
	}}})
	assert.Equal(t, len(f.step(10)), 1)
	f.look("e1")
	list := []Instance{{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"}}
	f.c.SetInstances(list, f.now)
	f.startWave(1, "i1")
	f.step(10)
	f.step(10)
	f.step(10)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
	f.c.InstanceOrdered(orders[0], Accepted, f.now)
	f.c.SetInstances(list, f.now+1)
	assert.Equal(t, len(f.step(10)), 0)
	assert.Equal(t, len(f.c.endpoints["e1"].runs), 1)
	_, reports := f.c.TakeInstanceOrders()
	assert.Equal(t, reports[len(reports)-1].Completed, true)
}

// A task on an endpoint that no longer answered counted as at work, and
// maintenance ended another one of its step.
func TestTaskOnSilentEndpointIsAway(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 2, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1, PerEndpoint: 1,
	}}})
	f.step(10)
	f.look("e1")
	f.look("e2")
	assert.Assert(t, f.c.mayEndAll(f.c.endpoints["e1"]))
	f.c.Silent("e2", "test")
	assert.Assert(t, !f.c.mayEndAll(f.c.endpoints["e1"]))
}

// An instance with more tasks of a step than may be away was never taken down,
// and its wave stayed open.
func TestWaveRelocatesTasks(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 2, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1,
	}}})
	assert.Equal(t, len(f.step(10)), 2)
	f.look("e1")
	f.c.SetEndpoint(f.listing(2), f.now)
	f.look("e2")
	f.c.SetInstances([]Instance{{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"}}, f.now)
	f.startWave(1, "i1")
	f.now += 10
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	_, stops, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(stops), 1)
	f.c.Stopped(stops[0].Ref, Accepted, f.now)
	f.end("e1", stops[0].Ref.Task, 1, EndStopped)
	starts := f.step(10)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Ref.Endpoint, "e2")
	f.look("e2")
	f.step(10)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
}

// Two owners gave orders about one instance shortly after each other.
func TestNextOwnerKeepsItsDistance(t *testing.T) {
	f := newFixture(t, 1)
	f.c.bounds.TurnTime = 3000
	f.c.RestoreOrders([]string{"i1"}, f.now)
	f.c.SetInstances([]Instance{{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"}}, f.now)
	f.startWave(2, "i1")
	for range 20 {
		f.step(100)
	}
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 0)
	for range 20 {
		f.step(100)
	}
	orders, _ = f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
}

// A new owner did not count the instances that its predecessor had taken down, and
// more than the bound of the wave were down at once.
func TestNextOwnerCountsInstancesThatAreDown(t *testing.T) {
	f := newFixture(t, 3)
	f.c.bounds.TurnTime = 3000
	f.c.RestoreOrders([]string{"i1"}, f.now)
	f.c.SetInstances([]Instance{
		{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"},
		{ID: "i2", Pool: "s", State: InstanceUpkeep, Endpoint: "e2"},
		{ID: "i3", Pool: "s", State: InstanceUp, Endpoint: "e3"},
	}, f.now)
	f.startWave(2, "i1", "i2", "i3")
	for range 20 {
		f.step(100)
	}
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 0)
}

// An endpoint that was cut off from the list but ran on was taken for gone, and
// maintenance ended more tasks of a step than may be away.
func TestUnlistedEndpointKeepsBudget(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 2, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1,
	}}})
	assert.Equal(t, len(f.step(10)), 2)
	f.look("e1")
	f.c.RemoveEndpoint("e1")
	f.c.SetInstances([]Instance{{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"}}, f.now)
	f.startWave(1, "i1")
	for range 5 {
		f.step(10)
	}
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 0)
}
