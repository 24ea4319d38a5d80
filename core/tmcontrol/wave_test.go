package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
)

// upInstance is an instance of the pool of a fixture.
func upInstance(id string) Instance {
	return Instance{ID: id, Pool: "s", State: InstanceUp, Capacity: tmjob.Amount{CPU: 8000, Mem: 8000}}
}

// An instance that had just come up was ordered down before its endpoint was listed.
// The endpoint showed up while the order was on its way and was given a long-running
// task, which the order ended although no task of the step might be away.
func TestNewEndpointIsReservedForAnOrderUnderWay(t *testing.T) {
	f := newFixture(t, 1)
	f.c.SetInstances([]Instance{upInstance("i1"), upInstance("i2")}, f.now)
	f.c.Apply(Directive{Rules: testRules(1), Waves: []Wave{{Name: "1", Number: 1, Instances: []string{"i2"}, Within: 20000, Bound: 1}}}, f.now)
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	f.c.SetEndpoint(f.listing(2), f.now)
	f.look("e2")
	f.c.Submitted(tmjob.Job{ID: "j", Queue: "q", Accepted: 1000, Steps: []tmjob.Step{{
		Count: 2, Size: tmjob.Amount{CPU: 1000}, LongRunning: true, MayMiss: 1, PerEndpoint: 1,
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
	f.c.Apply(Directive{Rules: testRules(1), Waves: []Wave{{Name: "1", Number: 1, Instances: []string{"i1"}, Within: 20000, Bound: 1}}}, f.now)
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
