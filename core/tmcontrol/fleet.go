package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

// InstanceState is where an instance is in its life.
type InstanceState int

// States of an instance.
const (
	InstanceUp InstanceState = iota
	InstanceMoving
	InstanceUpkeep
	InstanceDown
)

// Instance is an instance as the platform lists it.
type Instance struct {
	ID, Pool, Zone string
	State          InstanceState
	Labels         []string
	Capacity       tmjob.Resources
	// Endpoint is the identifier of the process that runs on it, or "".
	Endpoint string
}

// Directive is everything that the operator has directed, as of one moment.
type Directive struct {
	Rules    Rules
	ZonesOut []string
	Waves    []Wave
}

// InstanceOrder starts the maintenance of an instance, or moves it.
type InstanceOrder struct {
	Instance string
	Token    int64
	// Pool is where the instance moves, "" for maintenance.
	Pool string
	// Wave is the number of the wave that asks for maintenance.
	Wave int64
}

// fleet is what the controller knows of instances, waves and moves.
type fleet struct {
	instances map[string]Instance
	listedAt  tmclock.Millis
	known     bool
	waves     map[string]*wave
	restored  map[string]WaveReport
	moves     map[string]*move
	moveAfter map[string]tmclock.Millis
	barred    map[barredMove]bool
	demands   map[string]*demand
	sizedAt   tmclock.Millis
	// starved holds, for pools in which long-running tasks found no place since the
	// last sizing, how many more endpoints they need.
	starved map[string]int
	// firstSized is when pools were sized first, keepUntil until when none shrinks
	// because an earlier owner may have known why it is large.
	firstSized, keepUntil tmclock.Millis
	orders                []InstanceOrder
	reports               []WaveReport
	// unstored are orders that wait until it is stored that they are given, so
	// that the next owner keeps its distance; ordered is when each was given.
	unstored []InstanceOrder
	ordered  map[string]tmclock.Millis
	// orderAfter is the earliest time of an order about an instance about which
	// an earlier owner may have given one just before.
	orderAfter map[string]tmclock.Millis
}

func newFleet() fleet {
	return fleet{
		instances: map[string]Instance{}, waves: map[string]*wave{}, restored: map[string]WaveReport{},
		moves: map[string]*move{}, moveAfter: map[string]tmclock.Millis{},
		barred: map[barredMove]bool{}, demands: map[string]*demand{},
		starved: map[string]int{}, ordered: map[string]tmclock.Millis{},
		orderAfter: map[string]tmclock.Millis{},
	}
}

// Apply takes in what the operator has directed.
func (c *Controller) Apply(d Directive, now tmclock.Millis) {
	c.SetRules(d.Rules)
	out := map[string]bool{}
	for _, z := range d.ZonesOut {
		out[z] = true
		c.SetZoneOut(z, true)
	}
	for z := range c.zonesOut {
		if !out[z] {
			c.SetZoneOut(z, false)
		}
	}
	for _, w := range d.Waves {
		if c.fleet.waves[w.Name] == nil {
			c.addWave(w, now)
		}
	}
}

// NeedsInstances reports whether the list of instances is of use now.
func (c *Controller) NeedsInstances() bool {
	if !c.fleet.known {
		return true
	}
	if c.standby() != "" || len(c.fleet.moves) > 0 {
		return true
	}
	for _, e := range c.endpoints {
		if !e.answering && len(e.runs) > 0 {
			return true
		}
	}
	for _, w := range c.fleet.waves {
		if !w.done {
			return true
		}
	}
	return false
}

// SetInstances takes in the list of instances that was asked for at sentAt.
func (c *Controller) SetInstances(list []Instance, sentAt tmclock.Millis) {
	c.fleet.instances = make(map[string]Instance, len(list))
	for _, i := range list {
		c.fleet.instances[i.ID] = i
	}
	c.fleet.listedAt, c.fleet.known = sentAt, true
	for _, e := range c.endpoints {
		c.checkAlive(e, sentAt)
	}
	for _, m := range c.fleet.moves {
		c.checkMove(m, sentAt)
	}
	for _, w := range c.fleet.waves {
		for _, it := range w.items {
			c.checkBack(w, it, sentAt)
		}
	}
}

// isOnInstance reports whether an instance that is not down runs the endpoint.
func (c *Controller) isOnInstance(endpoint string) bool {
	for _, i := range c.fleet.instances {
		if i.Endpoint == endpoint && i.State != InstanceDown {
			return true
		}
	}
	return false
}

// checkAlive ends the life of an endpoint whose instance is down, or runs
// another endpoint: that is known long before its lease has lapsed.
func (c *Controller) checkAlive(e *endpoint, sentAt tmclock.Millis) {
	i, ok := c.fleet.instances[e.info.Instance]
	if e.gone || !sentAt.After(e.listedAt) {
		return
	}
	if e.info.Instance == "" && !e.answering && len(c.fleet.instances) > 0 && !c.isOnInstance(e.info.ID) {
		c.endLife(e, "no instance runs it")
		return
	}
	if !ok {
		return
	}
	switch {
	case i.State == InstanceDown:
		c.endLife(e, "instance is down")
	case i.State == InstanceUp && i.Endpoint != "" && i.Endpoint != e.info.ID:
		c.endLife(e, "instance has a new endpoint")
	}
}

// RestoreOrders takes in the instances about which the earlier owner has given
// orders of late.
func (c *Controller) RestoreOrders(instances []string, now tmclock.Millis) {
	for _, id := range instances {
		c.fleet.orderAfter[id] = now.Add(c.bounds.TurnTime)
	}
}

// orderInstance queues an order until it is stored that it is given.
func (c *Controller) orderInstance(o InstanceOrder, now tmclock.Millis) {
	c.fleet.ordered[o.Instance] = now
	c.fleet.unstored = append(c.fleet.unstored, o)
}

// recentOrders returns the instances about which orders were given of late.
func (c *Controller) recentOrders(now tmclock.Millis) []string {
	ids := []string{}
	for id, at := range c.fleet.ordered {
		if now.Sub(at) > c.bounds.TurnTime {
			delete(c.fleet.ordered, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// TakeInstanceOrders returns the orders and reports that came up since the last
// call.
func (c *Controller) TakeInstanceOrders() ([]InstanceOrder, []WaveReport) {
	orders, reports := c.fleet.orders, c.fleet.reports
	c.fleet.orders, c.fleet.reports = nil, nil
	return orders, reports
}

// InstanceOrdered takes in the answer to an order.
func (c *Controller) InstanceOrdered(o InstanceOrder, a Answer, now tmclock.Millis) {
	c.event(tmevent.InstanceOrder, "instance", o.Instance, "wave", o.Wave, "pool", o.Pool, "answer", a.String(), "token", o.Token)
	if o.Pool != "" {
		c.moveAnswer(o, a, now)
		return
	}
	for _, w := range c.fleet.waves {
		if w.Number != o.Wave {
			continue
		}
		for _, it := range w.items {
			if it.id == o.Instance && it.state == dutyOrdered {
				c.upkeepAnswer(it, a, now)
			}
		}
	}
}

// endpointOn returns the endpoint that lives on an instance, or nil. One that left
// the list may be cut off from it, and run on.
func (c *Controller) endpointOn(instance string) *endpoint {
	var found *endpoint
	for _, e := range c.onInstance[instance] {
		if !e.gone && (found == nil || e.listed) {
			found = e
		}
	}
	return found
}

// planFleet carries on with the waves and the sizes of pools.
func (c *Controller) planFleet(now tmclock.Millis, _ int64) {
	if !c.fleet.known {
		return
	}
	var pools map[string]*pool
	for _, w := range c.fleet.waves {
		if w.done {
			continue
		}
		if pools == nil {
			pools = c.pools(now)
		}
		c.planWave(w, pools, now)
	}
	c.planPools(now)
}
