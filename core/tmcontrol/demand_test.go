package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// Guards against needless moves by a new owner, which knows the instances before their
// endpoints. It considered their pools empty and moved a third of the fleet, which
// returned to the standby pool seconds later.
func TestInstancesCountBeforeTheirEndpointsAreListed(t *testing.T) {
	f := newFixture(t, 0)
	rules := testRules(2)
	rules.Services["off"] = Service{Name: "off", Standby: true}
	f.c.SetRules(rules)
	f.c.SetInstances([]Instance{
		{ID: "i1", Pool: "s", State: InstanceUp, Capacity: tmjob.Resources{CPU: 8000, Mem: 8000}},
		{ID: "i2", Pool: "s", State: InstanceUp, Capacity: tmjob.Resources{CPU: 8000, Mem: 8000}},
		{ID: "i3", Pool: "off", State: InstanceUp, Capacity: tmjob.Resources{CPU: 8000, Mem: 8000}},
	}, f.now)
	f.advance(200)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 0)
}

// Guards against one sample of a noisy forecast keeping a pool large for many seconds,
// and against a short dip releasing instances that are needed again at once.
func TestPoolKeepsRecentMaximum(t *testing.T) {
	d := &demand{}
	assert.Equal(t, d.recentMax(10, 1000), 10)
	assert.Equal(t, d.recentMax(40, 1100), 40)
	assert.Equal(t, d.recentMax(20, 1200), 40)
	assert.Equal(t, d.recentMax(5, tmclock.Millis(1100).Add(shrinkDelay)), 40)
	assert.Equal(t, d.recentMax(5, tmclock.Millis(1101).Add(shrinkDelay)), 20)
	assert.Equal(t, d.recentMax(5, tmclock.Millis(1201).Add(shrinkDelay)), 5)
}

// Guards against adding the endpoints of a long-running step with one task per
// endpoint one by one, each only after the move of the previous one.
func TestSpreadStepGetsAllItsEndpointsAtOnce(t *testing.T) {
	f := newFixture(t, 2)
	rules := testRules(2)
	rules.Services["off"] = Service{Name: "off", Standby: true}
	f.c.SetRules(rules)
	list := []Instance{upInstance("i1"), upInstance("i2")}
	for _, id := range []string{"p1", "p2", "p3", "p4"} {
		i := upInstance(id)
		i.Pool = "off"
		list = append(list, i)
	}
	f.c.SetInstances(list, f.now)
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 5, Size: tmjob.Resources{CPU: 100}, LongRunning: true, MaxUnavailable: 1, PerEndpoint: 1,
	}}})
	f.advance(200)
	f.advance(200)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 3)
}

// Guards against tasks that wait for good, with most of the fleet free: they need nearly a
// whole endpoint, and each endpoint of the pool has a long-running task. Tasks that fit on no
// endpoint at all make no pool grow.
func TestTaskThatLongRunningOnesBlockGetsAnEndpoint(t *testing.T) {
	const endpoints = 6
	for name, c := range map[string]struct {
		cpu   int64
		gang  bool
		moves int
	}{
		"single tasks": {7000, false, 1},
		"gang":         {7000, true, 2},
		"hopeless":     {9000, false, 0},
		"beside":       {6000, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, endpoints)
			rules := testRules(2)
			rules.Services["off"] = Service{Name: "off", Standby: true}
			f.c.SetRules(rules)
			var list []Instance
			for i := range endpoints {
				list = append(list, upInstance(f.endpointInfo(i+1).Instance))
			}
			for _, id := range []string{"p1", "p2", "p3", "p4"} {
				i := upInstance(id)
				i.Pool = "off"
				list = append(list, i)
			}
			f.c.SetInstances(list, f.now)
			f.c.Submitted(tmjob.Job{ID: "lasting", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
				Count: endpoints, Size: tmjob.Resources{CPU: 2000}, LongRunning: true, PerEndpoint: 1,
			}}})
			assert.Equal(t, len(f.advance(200)), endpoints)
			assert.Equal(t, f.countMoves(3), 0)
			j := oneTask("j")
			j.Steps[0].Count, j.Steps[0].Size.CPU, j.Steps[0].Gang = 2, c.cpu, c.gang
			f.c.Submitted(j)
			assert.Equal(t, f.countMoves(3), c.moves)
		})
	}
}

// Guards against an empty pool: instances that were leaving it still counted, so the next
// decision gave away too many. Guards also against pools that are parked before the first
// work, which then has to wait for their return.
func TestPoolKeepsMinimumSize(t *testing.T) {
	f := newFixture(t, 6)
	rules := testRules(2)
	rules.Services["off"] = Service{Name: "off", Standby: true}
	f.c.Apply(DesiredState{Rules: rules}, f.now)
	var list []Instance
	for i := range 6 {
		l := f.endpointInfo(i + 1)
		list = append(list, Instance{ID: l.Instance, Pool: "s", State: InstanceUp, Endpoint: l.ID})
	}
	f.c.SetInstances(list, f.now)
	assert.Equal(t, f.countMoves(100), 0, "pools shrink before any work has shown what they need")
	f.c.Submitted(oneTask("j"))
	f.advance(100)
	f.c.Cancelled("j")
	assert.Equal(t, f.countMoves(200), 6-minPoolSize)
}

// countMoves lets 100 ms pass the given number of times and counts the instances that are
// ordered to move.
func (f *fixture) countMoves(times int) int {
	moved := 0
	for range times {
		f.advance(100)
		orders, _ := f.c.TakeInstanceOrders()
		moved += len(orders)
		for _, o := range orders {
			f.c.InstanceOrdered(o, Accepted, f.now)
		}
	}
	return moved
}
