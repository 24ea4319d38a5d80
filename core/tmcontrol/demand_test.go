package tmcontrol

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// Instances ordered for the present demand of a burst arrived when it had doubled:
// the forecast is what the demand will be when a move is over.
func TestForecastFollowsARamp(t *testing.T) {
	const slope, move = 5.0, 1800.0
	d := &demand{}
	for now := tmclock.Millis(10); now <= 5000; now += 10 {
		d.add(slope*float64(now)*10, 0, now)
	}
	truth := slope * (5000 + move)
	assert.Assert(t, math.Abs(d.forecast(tmclock.Span(move))-truth) < 0.05*truth, "forecast %.0f, truth %.0f", d.forecast(tmclock.Span(move)), truth)
}

// A steady demand is forecast as it is, and one that falls not below what it is.
func TestForecastOfSteadyAndFallingDemand(t *testing.T) {
	d := &demand{}
	now := tmclock.Millis(10)
	for ; now <= 10000; now += 10 {
		d.add(1000*10, 0, now)
	}
	assert.Assert(t, math.Abs(d.forecast(1800)-1000) < 50, "%.0f", d.forecast(1800))
	d.decay(now + 500)
	assert.Equal(t, d.forecast(1800), d.once)
}

// A new owner knows the instances before the endpoints on them. It took their pools
// for empty and moved a third of the fleet, which was parked again seconds later.
func TestInstancesCountBeforeTheirEndpointsShow(t *testing.T) {
	f := newFixture(t, 0)
	rules := testRules(2)
	rules.Services["off"] = Service{Name: "off", Standby: true}
	f.c.SetRules(rules)
	f.c.SetInstances([]Instance{
		{ID: "i1", Pool: "s", State: InstanceUp, Capacity: tmjob.Resources{CPU: 8000, Mem: 8000}},
		{ID: "i2", Pool: "s", State: InstanceUp, Capacity: tmjob.Resources{CPU: 8000, Mem: 8000}},
		{ID: "i3", Pool: "off", State: InstanceUp, Capacity: tmjob.Resources{CPU: 8000, Mem: 8000}},
	}, f.now)
	f.step(200)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 0)
}

// One sample of a noisy forecast kept a pool large for seconds on end, and a short dip
// must not park what is needed again at once.
func TestPoolKeepsWhatItWantedOfLate(t *testing.T) {
	d := &demand{}
	assert.Equal(t, d.keep(10, 1000), 10)
	assert.Equal(t, d.keep(40, 1100), 40)
	assert.Equal(t, d.keep(20, 1200), 40)
	assert.Equal(t, d.keep(5, tmclock.Millis(1100).Add(shrinkAfter)), 40)
	assert.Equal(t, d.keep(5, tmclock.Millis(1101).Add(shrinkAfter)), 20)
	assert.Equal(t, d.keep(5, tmclock.Millis(1201).Add(shrinkAfter)), 5)
}

// A long-running step with one task for each endpoint got its endpoints one by one,
// each after the move of the one before.
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
	f.step(200)
	f.step(200)
	orders, _ := f.c.TakeInstanceOrders()
	assert.Equal(t, len(orders), 3)
}

// Jobs that had been accepted over eight seconds while the store was slow became known in
// one moment, and were taken for a burst of several times the fleet.
func TestLateNewsOfJobsIsNoBurst(t *testing.T) {
	d := &demand{}
	now := tmclock.Millis(10000)
	for age := tmclock.Span(0); age < 8000; age += 10 {
		d.add(1000*10, age, now)
	}
	assert.Assert(t, d.forecast(1800) < 1.1*1000, "%.0f", d.forecast(1800))
}

// Instances on their way out of a pool counted as there, so that the next
// decision gave away too many and the pool was left empty.
func TestPoolKeepsItsLeast(t *testing.T) {
	f := newFixture(t, 6)
	rules := testRules(2)
	rules.Services["off"] = Service{Name: "off", Standby: true}
	f.c.Apply(Directive{Rules: rules}, f.now)
	var list []Instance
	for i := range 6 {
		l := f.listing(i + 1)
		list = append(list, Instance{ID: l.Instance, Pool: "s", State: InstanceUp, Endpoint: l.ID})
	}
	f.c.SetInstances(list, f.now)
	moved := 0
	for range 100 {
		f.step(100)
		orders, _ := f.c.TakeInstanceOrders()
		moved += len(orders)
		for _, o := range orders {
			f.c.InstanceOrdered(o, Accepted, f.now)
		}
	}
	assert.Equal(t, moved, 6-minPool)
}
