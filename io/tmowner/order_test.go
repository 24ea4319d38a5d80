package tmowner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmshard"
)

// countingInstances counts the orders about instances that are sent.
type countingInstances struct{ orders int }

func (*countingInstances) List(context.Context) ([]tmcontrol.Instance, error) { return nil, nil }

func (c *countingInstances) Order(context.Context, tmcontrol.InstanceOrder) tmcontrol.Answer {
	c.orders++
	return tmcontrol.Accepted
}

// Guards against an order about an instance that a paused owner sends after it has woken:
// its successor may have given an order about the same instance meanwhile, and not every
// platform rejects a lower fencing token. The time for which the machine was suspended
// counts.
func TestPausedOwnerSendsNoInstanceOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	instances := &countingInstances{}
	o := New(Options{
		Instances: instances, Clock: tmclock.NewSystem(), BootClock: func() time.Time { return now },
		Shard: tmshard.Whole, Emit: func(tmevent.Event) {},
	}, 7)
	o.OwnershipConfirmed(7)
	o.sendInstanceOrder(t.Context(), tmcontrol.InstanceOrder{Instance: "i", Token: 7, Pool: "p"})
	assert.Equal(t, instances.orders, 1)
	now = now.Add(8 * time.Second)
	o.sendInstanceOrder(t.Context(), tmcontrol.InstanceOrder{Instance: "i", Token: 7, Pool: "p"})
	assert.Equal(t, instances.orders, 1, "an order was sent 8 s after the ownership was last confirmed")
	o.OwnershipConfirmed(7)
	o.sendInstanceOrder(t.Context(), tmcontrol.InstanceOrder{Instance: "i", Token: 7, Pool: "p"})
	assert.Equal(t, instances.orders, 2)
}
