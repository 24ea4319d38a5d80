package tmcontrol

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmlate"
)

// startWave starts a wave over instances, of which at most bound may be down at once.
func (f *fixture) startWave(bound int, instances ...string) {
	w := Wave{Name: "1", Number: 1, Instances: instances, TimeLimit: 20000, MaxUnavailable: bound}
	f.c.Apply(DesiredState{Rules: testRules(1), Waves: []Wave{w}}, f.now)
}

// upInstance returns an instance that is up in the pool of a fixture.
func upInstance(id string) Instance {
	return Instance{ID: id, Pool: "s", State: InstanceUp, Capacity: tmjob.Resources{CPU: 8000, Mem: 8000}}
}

// Guards against exceeding a step's MaxUnavailable budget. Maintenance of an instance that
// had just come up was ordered before its endpoint was listed. The endpoint was listed
// while the order was in progress and got a long-running task, which the order then
// ended.
func TestNewEndpointIsReservedDuringOrder(t *testing.T) {
	f := newFixture(t, 1)
	f.c.SetInstances([]Instance{upInstance("i1"), upInstance("i2")}, f.now)
	f.startWave(1, "i2")
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	f.c.SetEndpoint(f.endpointInfo(2), f.now)
	f.answerHold("e2")
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 2, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1, PerEndpoint: 1,
	}}})
	starts := f.advance(10)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Ref.Endpoint, "e1")
}

// Guards against repeating an order for a busy instance in every planning pass, forty
// times a second.
func TestBusyInstanceIsNotOrderedAgainAtOnce(t *testing.T) {
	f := newFixture(t, 1)
	f.c.SetInstances([]Instance{upInstance("i1")}, f.now)
	f.startWave(1, "i1")
	sent := 0
	for range 100 {
		f.advance(10)
		orders, _ := f.c.TakeInstanceOrders()
		for _, o := range orders {
			sent++
			f.c.InstanceOrdered(o, NoRoom, f.now)
		}
	}
	assert.Assert(t, sent >= 2 && sent <= 4, "%d orders in a second", sent)
}

// Guards against exceeding a step's MaxUnavailable budget: two instances with tasks of the
// step were taken down in one planning pass although only one task may be unavailable.
func TestWaveKeepsAvailabilityBudget(t *testing.T) {
	f := newFixture(t, 3)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 3, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1, PerEndpoint: 1,
	}}})
	assert.Equal(t, len(f.advance(10)), 3)
	for _, e := range []string{"e1", "e2", "e3"} {
		f.answerHold(e)
	}
	var list []Instance
	for _, id := range []string{"i1", "i2", "i3"} {
		list = append(list, Instance{ID: id, Pool: "s", State: InstanceUp})
	}
	f.c.SetInstances(list, f.now)
	f.startWave(3, "i1", "i2", "i3")
	f.advance(10)
	f.advance(10)
	f.advance(10)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
}

// Guards against running tasks twice: the platform also accepts an order for
// maintenance that is already done, and a new owner then considered the endpoint gone.
func TestRepeatedMaintenanceOrderKeepsEndpoint(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 1, Size: tmjob.Resources{CPU: 1000}, LongRunning: true,
	}}})
	assert.Equal(t, len(f.advance(10)), 1)
	f.answerHold("e1")
	list := []Instance{{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"}}
	f.c.SetInstances(list, f.now)
	f.startWave(1, "i1")
	f.advance(10)
	f.advance(10)
	f.advance(10)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
	f.c.InstanceOrdered(orders[0], Accepted, f.now)
	f.c.SetInstances(list, f.now+1)
	assert.Equal(t, len(f.advance(10)), 0)
	assert.Equal(t, len(f.c.endpoints["e1"].runs), 1)
	_, reports := f.c.TakeInstanceOrders()
	assert.Equal(t, reports[len(reports)-1].Completed, true)
}

// Guards against exceeding a step's MaxUnavailable budget: a task on an endpoint that had
// stopped answering counted as available, and maintenance ended another task of its
// step.
func TestTaskOnSilentEndpointIsUnavailable(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 2, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1, PerEndpoint: 1,
	}}})
	f.advance(10)
	f.answerHold("e1")
	f.answerHold("e2")
	assert.Assert(t, f.c.mayEndAll(f.c.endpoints["e1"]))
	f.c.HoldFailed("e2", "test", f.now)
	assert.Assert(t, !f.c.mayEndAll(f.c.endpoints["e1"]))
}

// Guards against a wave that never completes because an instance runs more tasks of a
// step than may be unavailable at once.
func TestWaveRelocatesTasks(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 2, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1,
	}}})
	assert.Equal(t, len(f.advance(10)), 2)
	f.answerHold("e1")
	f.c.SetEndpoint(f.endpointInfo(2), f.now)
	f.answerHold("e2")
	f.c.SetInstances([]Instance{{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"}}, f.now)
	f.startWave(1, "i1")
	f.now += 10
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	_, stops, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(stops), 1)
	f.c.Stopped(stops[0].Ref, Accepted, f.now)
	f.end("e1", stops[0].Ref.Task, 1, EndStopped)
	starts := f.advance(10)
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Ref.Endpoint, "e2")
	f.answerHold("e2")
	f.advance(10)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
}

// Guards against orders from two owners about one instance within HandoverDelay.
func TestNextOwnerKeepsHandoverDelay(t *testing.T) {
	f := newFixture(t, 1)
	f.c.bounds.HandoverDelay = 3000
	f.c.RestoreOrders(maintenanceOf("i1"), f.now)
	f.c.SetInstances([]Instance{{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"}}, f.now)
	f.startWave(2, "i1")
	for range 20 {
		f.advance(100)
	}
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 0)
	for range 20 {
		f.advance(100)
	}
	orders, _ = f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
}

// Guards against more than MaxUnavailable instances down at once: a new owner did not
// count the instances that its predecessor had taken down.
func TestNextOwnerCountsInstancesThatAreDown(t *testing.T) {
	f := newFixture(t, 3)
	f.c.bounds.HandoverDelay = 3000
	f.c.RestoreOrders(maintenanceOf("i1"), f.now)
	f.c.SetInstances([]Instance{
		{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"},
		{ID: "i2", Pool: "s", State: InstanceMaintenance, Endpoint: "e2"},
		{ID: "i3", Pool: "s", State: InstanceUp, Endpoint: "e3"},
	}, f.now)
	f.startWave(2, "i1", "i2", "i3")
	for range 20 {
		f.advance(100)
	}
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 0)
}

// Guards against exceeding a step's MaxUnavailable budget: storing an order took long, and
// an endpoint with another task of the step fell silent meanwhile.
func TestOrderThatWasStoredLateIsCheckedAgain(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 2, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1, PerEndpoint: 1,
	}}})
	assert.Equal(t, len(f.advance(10)), 2)
	f.answerHold("e1")
	f.answerHold("e2")
	f.c.SetInstances([]Instance{upInstance("i1"), upInstance("i2")}, f.now)
	f.startWave(1, "i1")
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	flush := f.c.TakeFlush(f.now)
	assert.Equal(t, len(flush.instanceOrders), 1)
	f.c.HoldFailed("e2", "test", f.now)
	f.c.Stored(flush, f.now)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 0)
	f.answerHold("e2")
	f.advance(1000)
	orders, _ = f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
}

// Guards against exceeding a step's MaxUnavailable budget: an endpoint that was missing from
// the list but still running was considered gone, so maintenance ended too many tasks.
func TestUnlistedEndpointCountsForBudget(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 2, Size: tmjob.Resources{CPU: 1000}, LongRunning: true, MaxUnavailable: 1,
	}}})
	assert.Equal(t, len(f.advance(10)), 2)
	f.answerHold("e1")
	f.c.RemoveEndpoint("e1")
	f.c.SetInstances([]Instance{{ID: "i1", Pool: "s", State: InstanceUp, Endpoint: "e1"}}, f.now)
	f.startWave(1, "i1")
	for range 5 {
		f.advance(10)
	}
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 0)
}

// Guards against the row of a large wave that the store refuses: the wave would never be
// stored as done.
func TestReportOfALargeWaveFitsARow(t *testing.T) {
	f := newFixture(t, 0)
	w := &wave{Wave: Wave{Name: "1"}}
	for i := range 2000 {
		w.items = append(w.items, &waveItem{id: fmt.Sprintf("instance-with-a-very-long-<name>-%d", i), state: itemDone})
	}
	report := f.c.report(w)
	row, err := json.Marshal(report.Done)
	assert.NilError(t, err)
	assert.Assert(t, len(row) < defaultRowBytes-50, "%d bytes", len(row))
	assert.Assert(t, len(report.Done) > 1000)
	w.done = true
	report = f.c.report(w)
	assert.Assert(t, report.Completed && len(report.Done) == 0)
}

// Guards against a wave that is completed without the maintenance of an instance: the list of
// instances was older than the wave, and the instance newer than the list.
func TestInstanceThatIsNewerThanTheListIsDue(t *testing.T) {
	f := newFixture(t, 1)
	f.c.SetInstances([]Instance{upInstance("i1")}, f.now)
	f.now += 1000
	f.startWave(2, "i1", "i2", "i3")
	for range 3 {
		f.advance(100)
		assert.Assert(t, !f.c.fleet.waves["1"].done)
	}
	requested := f.now
	ordered := map[string]bool{}
	for range 10 {
		f.c.SetInstances([]Instance{upInstance("i1"), upInstance("i2")}, requested)
		f.advance(100)
		orders, _ := f.c.TakeInstanceOrders()
		for _, o := range orders {
			ordered[o.Instance] = true
			f.c.InstanceOrdered(o, Accepted, f.now)
		}
		requested = f.now
	}
	assert.DeepEqual(t, ordered, map[string]bool{"i1": true, "i2": true})
	assert.Assert(t, f.c.fleet.waves["1"].done)
}

// Guards against more than MaxUnavailable instances down at once: an order of the earlier owner got
// no answer and is carried out late, while the next owner takes another instance down.
func TestNextOwnerSettlesEarlierOrdersFirst(t *testing.T) {
	f := newFixture(t, 2)
	f.c.bounds.HandoverDelay = 3000
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 1, Size: tmjob.Resources{CPU: 1000}, LongRunning: true,
	}}})
	loaded := f.advance(10)[0].Ref.Endpoint
	earlier := f.c.endpoints[loaded].info.Instance
	f.c.RestoreOrders(maintenanceOf(earlier), f.now)
	list := []Instance{upInstance("i1"), upInstance("i2")}
	f.c.SetInstances(list, f.now)
	f.startWave(1, "i1", "i2")
	orders := f.playWave(list, func(InstanceOrder) {})
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Instance, earlier)

	accept := func(o InstanceOrder) { f.c.InstanceOrdered(o, Accepted, f.now) }
	accept(orders[0])
	f.playWave(list, accept)
	assert.Assert(t, f.c.fleet.waves["1"].done)
}

// playWave lets six seconds pass in which e1 and e2 answer and the list of instances is read. It
// returns the orders about instances, each of which is passed to answer.
func (f *fixture) playWave(list []Instance, answer func(InstanceOrder)) []InstanceOrder {
	var orders []InstanceOrder
	for range 60 {
		f.answerHold("e1")
		f.answerHold("e2")
		f.advance(100)
		f.c.SetInstances(list, f.now)
		taken, _ := f.c.TakeInstanceOrders()
		for _, o := range taken {
			answer(o)
		}
		orders = append(orders, taken...)
	}
	return orders
}

// Guards against the same across two changes of the owner: the second one gave orders as well, so
// that the stored list no longer named the instance.
func TestEarlierOrdersStayStored(t *testing.T) {
	f := newFixture(t, 1)
	f.c.bounds.HandoverDelay = 3000
	f.c.RestoreOrders(maintenanceOf("i1"), f.now)
	f.advance(4000)
	assert.DeepEqual(t, f.c.recentOrders(f.now).Maintenance, []string{"i1"})
	f.advance(tmlate.MaxDelay)
	assert.Equal(t, len(f.c.recentOrders(f.now).Maintenance), 0)
}

// Guards against the bound of a wave being exceeded by the orders that settle those of an earlier
// owner: there are more of them than the bound permits, because moves count as well in a row of an
// earlier version.
func TestEarlierOrdersKeepTheBound(t *testing.T) {
	f := newFixture(t, 5)
	f.c.bounds.HandoverDelay = 3000
	all := []string{"i1", "i2", "i3", "i4", "i5"}
	f.c.RestoreOrders(maintenanceOf(all...), f.now)
	var list []Instance
	for _, id := range all {
		list = append(list, upInstance(id))
	}
	f.startWave(2, all...)
	under := map[string]bool{}
	for range 400 {
		for i := range all {
			f.answerHold(f.endpointInfo(i + 1).ID)
		}
		f.now += 100
		f.c.SetInstances(list, f.now)
		for id := range under {
			if it := f.waveItem(id); it.state == itemDone {
				delete(under, id)
			}
		}
		f.advance(1)
		orders, _ := f.c.TakeInstanceOrders()
		for _, o := range orders {
			under[o.Instance] = true
			f.c.InstanceOrdered(o, Accepted, f.now)
		}
		assert.Assert(t, len(under) <= 2, "%v are down", under)
	}
	assert.Assert(t, f.c.fleet.waves["1"].done)
}

// Guards against a wave that waits for moves of an earlier owner.
func TestEarlierMovesDelayNoWave(t *testing.T) {
	f := newFixture(t, 2)
	f.c.RestoreOrders(RecentOrders{Instances: []string{"i1", "i2"}}, f.now)
	f.now += 10
	f.c.SetInstances([]Instance{upInstance("i1"), upInstance("i2")}, f.now)
	f.startWave(1, "i1", "i2")
	f.advance(10)
	f.advance(10)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 1)
	assert.DeepEqual(t, f.c.recentOrders(f.now).Maintenance, []string{orders[0].Instance})
}

// maintenanceOf returns the recent orders of an owner that has ordered the maintenance of instances.
func maintenanceOf(instances ...string) RecentOrders {
	return RecentOrders{Instances: instances, Maintenance: instances}
}

// waveItem returns the item of an instance in wave 1.
func (f *fixture) waveItem(instance string) *waveItem {
	for _, it := range f.c.fleet.waves["1"].items {
		if it.id == instance {
			return it
		}
	}
	return nil
}
