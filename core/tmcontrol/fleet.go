package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmlate"
)

// InstanceState is the stage of an instance in its life cycle.
type InstanceState int

// States of an instance.
const (
	InstanceUp InstanceState = iota
	InstanceMoving
	InstanceMaintenance
	InstanceDown
)

// Instance is an instance as listed by the platform.
type Instance struct {
	ID, Pool, Zone string
	State          InstanceState
	Labels         []string
	Capacity       tmjob.Resources
	// Endpoint is the id of the endpoint process on the instance, or "".
	Endpoint string
}

// DesiredState is everything that the operator has requested, as of one moment.
type DesiredState struct {
	Rules    Rules
	ZonesOut []string
	Waves    []Wave
}

// InstanceOrder starts the maintenance of an instance or moves it to another pool.
type InstanceOrder struct {
	Instance string
	Token    int64
	// Pool is the target pool of a move, "" for maintenance.
	Pool string
	// Wave is the number of the wave that requests the maintenance.
	Wave int64
}

// fleet is the state of instances, waves, moves and pool sizes.
type fleet struct {
	instances      map[string]Instance
	listedAt       tmclock.Millis
	instancesKnown bool
	waves          map[string]*wave
	restored       map[string]WaveReport
	// finishedParts holds, by wave, the shards whose part of the wave is finished.
	finishedParts map[string]map[int]bool
	moves         map[string]*move
	moveRetryAt   map[string]tmclock.Millis
	refusedMoves  map[refusedMove]bool
	demands       map[string]*demand
	sizedAt       tmclock.Millis
	// divisionLoggedAt is when the division of a fleet that is too small was last logged.
	divisionLoggedAt tmclock.Millis
	// shortages holds, by pool, how many more endpoints are needed for the long-running
	// tasks that could not be placed since the last sizing.
	shortages map[string]int
	// firstSized is when this owner first sized the pools. No pool shrinks before
	// noShrinkBefore, because the recent demand from which an earlier owner chose the
	// size of a pool is not known here.
	firstSized, noShrinkBefore tmclock.Millis
	// firstWorkAt is when the first work arrived whose demand is forecast.
	firstWorkAt tmclock.Millis
	orders      []InstanceOrder
	reports     []WaveReport
	// unstoredOrders are sent once the store lists their instances as recently ordered.
	// From that list the next owner knows for which instances it has to wait for
	// HandoverDelay. storing holds the instances of the orders that are being stored,
	// orderedAt when the last order about an instance was given.
	unstoredOrders []InstanceOrder
	storing        map[string]bool
	orderedAt      map[string]tmclock.Millis
	// earliestOrder holds the earliest time of an order about each instance that an
	// earlier owner may have given an order about recently.
	earliestOrder map[string]tmclock.Millis
	// earlierOrders holds until when such an order for the maintenance of an instance may still be
	// carried out, if it got no answer.
	earlierOrders map[string]tmclock.Millis
}

func newFleet() fleet {
	return fleet{
		instances: map[string]Instance{}, waves: map[string]*wave{}, restored: map[string]WaveReport{}, finishedParts: map[string]map[int]bool{},
		moves: map[string]*move{}, moveRetryAt: map[string]tmclock.Millis{},
		refusedMoves: map[refusedMove]bool{}, demands: map[string]*demand{},
		shortages: map[string]int{}, storing: map[string]bool{}, orderedAt: map[string]tmclock.Millis{},
		earliestOrder: map[string]tmclock.Millis{}, earlierOrders: map[string]tmclock.Millis{},
	}
}

// Apply adopts the state that the operator has requested. Known waves are left
// unchanged.
func (c *Controller) Apply(d DesiredState, now tmclock.Millis) {
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

// NeedsInstances reports whether a current list of instances is needed.
func (c *Controller) NeedsInstances() bool {
	if !c.fleet.instancesKnown {
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

// SetInstances updates the instances from a list that was requested at sentAt.
func (c *Controller) SetInstances(list []Instance, sentAt tmclock.Millis) {
	c.fleet.instances = make(map[string]Instance, len(list))
	for _, i := range list {
		c.fleet.instances[i.ID] = i
	}
	c.fleet.listedAt, c.fleet.instancesKnown = sentAt, true
	for _, e := range c.endpoints {
		c.checkAlive(e, sentAt)
	}
	for _, m := range c.fleet.moves {
		c.checkMove(m, sentAt)
	}
	for _, w := range c.fleet.waves {
		for _, it := range w.items {
			c.checkMaintenance(w, it, sentAt)
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

// checkAlive ends the lifetime of an endpoint whose instance is down, runs another endpoint
// or, while the endpoint has runs and doesn't answer, is missing, according to the list. That
// is known well before the lease of the endpoint has expired.
func (c *Controller) checkAlive(e *endpoint, sentAt tmclock.Millis) {
	i, ok := c.fleet.instances[e.info.Instance]
	if e.gone {
		c.checkReturn(e, i, ok, sentAt)
		return
	}
	if !sentAt.After(e.listedAt) || sentAt.Before(max(e.answeredAt, e.orderAnsweredAt)) {
		return
	}
	if e.info.Instance == "" && !e.answering && len(c.fleet.instances) > 0 && !c.isOnInstance(e.info.ID) {
		c.endLifetime(e, causeUnknown)
		return
	}
	switch {
	case !ok && e.info.Instance != "" && !e.answering && len(e.runs) > 0 && len(c.fleet.instances) > 0:
		c.endLifetime(e, causeRemoved)
	case !ok:
	case i.State == InstanceDown:
		c.endLifetime(e, causeDown)
	case i.State == InstanceUp && i.Endpoint != "" && i.Endpoint != e.info.ID:
		c.endLifetime(e, causeReplaced)
	}
}

// checkReturn releases the runs of an endpoint that has crashed once the list of instances shows
// that it does not start again under its id, or that its instance is still down after the last of
// its orders could be carried out.
func (c *Controller) checkReturn(e *endpoint, i Instance, listed bool, sentAt tmclock.Millis) {
	switch {
	case !listed && e.info.Instance != "", i.State == InstanceUp && i.Endpoint != "" && i.Endpoint != e.info.ID:
		c.forgetLateStarts(e, causeReplaced)
	case i.State != InstanceUp:
		c.releaseLateStarts(e, sentAt)
	}
}

// RestoreOrders loads the instances about which an earlier owner has recently
// given orders.
func (c *Controller) RestoreOrders(orders RecentOrders, now tmclock.Millis) {
	for _, id := range orders.Instances {
		c.fleet.earliestOrder[id] = now.Add(c.bounds.HandoverDelay)
	}
	for _, id := range orders.Maintenance {
		c.fleet.earlierOrders[id] = now.Add(tmlate.MaxDelay)
	}
}

// TakeInstanceOrders returns the orders and wave reports issued since the last
// call.
func (c *Controller) TakeInstanceOrders() ([]InstanceOrder, []WaveReport) {
	orders, reports := c.fleet.orders, c.fleet.reports
	c.fleet.orders, c.fleet.reports = nil, nil
	return orders, reports
}

// InstanceOrdered handles the answer to an instance order.
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
			if it.id == o.Instance && it.state == itemOrdered {
				c.maintenanceAnswer(it, a, now)
			}
		}
	}
}

// endpointOn returns the current endpoint of an instance, or nil. An endpoint that is
// no longer in the list of endpoints counts as well, because it may still be running. One
// that has answered goes before one that is only listed.
func (c *Controller) endpointOn(instance string) *endpoint {
	var found *endpoint
	for _, e := range c.onInstance[instance] {
		if !e.gone && (found == nil || e.presence() >= found.presence()) {
			found = e
		}
	}
	return found
}

// presence tells how certain it is that an endpoint is the current one of its instance.
func (e *endpoint) presence() int {
	switch {
	case e.listed && e.tokenAccepted:
		return 2
	case e.listed:
		return 1
	}
	return 0
}

// planFleet advances the waves and adjusts the sizes of pools.
func (c *Controller) planFleet(now tmclock.Millis, wall int64) {
	if !c.fleet.instancesKnown {
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
	c.planPools(now, wall)
}
