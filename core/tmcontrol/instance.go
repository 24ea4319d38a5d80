package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// This file stores the instances about which orders are given before it gives the orders.

// orderRowBytes is the most bytes that the row of recent orders has besides its instances.
const orderRowBytes = 100

// orderInstance queues an order until its instance is stored as recently ordered.
func (c *Controller) orderInstance(o InstanceOrder) {
	c.fleet.unstoredOrders = append(c.fleet.unstoredOrders, o)
}

// takeInstanceOrders moves orders about instances into a flush, as many as fit into the row
// of the recent ones.
func (c *Controller) takeInstanceOrders(f *Flush, room *flushRoom, now tmclock.Millis) {
	n := c.storableOrders(now)
	if n == 0 || !room.take(1, 0) {
		return
	}
	f.instanceOrders = slices.Clone(c.fleet.unstoredOrders[:n])
	c.fleet.unstoredOrders = slices.Clone(c.fleet.unstoredOrders[n:])
	for _, o := range f.instanceOrders {
		c.fleet.storing[o.Instance] = true
	}
	f.Orders = c.recentOrders(now)
}

// storableOrders returns how many of the orders that are not stored fit into the row.
func (c *Controller) storableOrders(now tmclock.Millis) int {
	if len(c.fleet.unstoredOrders) == 0 {
		return 0
	}
	left := c.rowBytes() - orderRowBytes
	recent := c.recentOrders(now)
	for _, id := range slices.Concat(recent.Instances, recent.Maintenance) {
		left -= tmjob.TextBytes(id) + listItemBytes
	}
	for i, o := range c.fleet.unstoredOrders {
		left -= tmjob.TextBytes(o.Instance) + listItemBytes
		if left < 0 {
			return i
		}
	}
	return len(c.fleet.unstoredOrders)
}

// takeBackOrders queues the orders of a flush that was not stored.
func (c *Controller) takeBackOrders(f *Flush) {
	for _, o := range f.instanceOrders {
		delete(c.fleet.storing, o.Instance)
	}
	c.fleet.unstoredOrders = append(f.instanceOrders, c.fleet.unstoredOrders...)
}

// orderInstances gives the orders whose instances are stored, unless they would end more
// tasks now than may be away: storing them may have taken long. Those are decided anew.
func (c *Controller) orderInstances(orders []InstanceOrder, now tmclock.Millis) {
	for _, o := range orders {
		delete(c.fleet.storing, o.Instance)
		e := c.endpointOn(o.Instance)
		if c.stale || e != nil && !c.mayEndAll(e) {
			c.InstanceOrdered(o, NotSent, now)
			continue
		}
		c.fleet.orderedAt[o.Instance] = now
		c.fleet.orders = append(c.fleet.orders, o)
	}
}

// RecentOrders are the instances about which orders are being stored or were given within the last
// HandoverDelay.
type RecentOrders struct {
	Instances []string
	// Maintenance are the instances whose maintenance may begin by an order that has no answer.
	Maintenance []string
}

// recentOrders returns what the next owner has to know about the orders of this one.
func (c *Controller) recentOrders(now tmclock.Millis) *RecentOrders {
	ids := []string{}
	for id, at := range c.fleet.orderedAt {
		if now.Sub(at) > c.bounds.HandoverDelay {
			delete(c.fleet.orderedAt, id)
		} else if !c.fleet.storing[id] {
			ids = append(ids, id)
		}
	}
	for id := range c.fleet.storing {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return &RecentOrders{Instances: ids, Maintenance: c.unansweredMaintenance(now)}
}

// unansweredMaintenance returns the instances whose maintenance may begin by an order that has no
// answer, of this owner or an earlier one.
func (c *Controller) unansweredMaintenance(now tmclock.Millis) []string {
	ids := []string{}
	for id := range c.fleet.earlierOrders {
		if c.mayHaveEarlierOrder(id, now) {
			ids = append(ids, id)
		}
	}
	for _, w := range c.fleet.waves {
		for _, it := range w.items {
			if it.state == itemOrdered || it.state == itemDraining && it.unanswered {
				ids = append(ids, it.id)
			}
		}
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// mayHaveEarlierOrder reports whether an order of an earlier owner for the maintenance of an
// instance may still be carried out.
func (c *Controller) mayHaveEarlierOrder(instance string, now tmclock.Millis) bool {
	return now.Before(c.fleet.earlierOrders[instance])
}
