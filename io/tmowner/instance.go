package tmowner

import (
	"context"
	"slices"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmevent"
)

const (
	// listInterval is the time between two reads of the list of instances while a
	// wave or a move is in progress. It grows in proportion to the list beyond
	// instancesPerInterval, because each read returns the whole list.
	listInterval         = 400 * time.Millisecond
	instancesPerInterval = 500
	// listPausePerInstance is the least pause after a read, for each instance in the
	// list.
	listPausePerInstance = 200 * time.Microsecond
	// instanceTimeout bounds one call to the platform's interface for instances.
	instanceTimeout = 1500 * time.Millisecond
	// maxOrderOwnershipAge is how long after the last confirmation of its ownership an
	// owner gives orders about instances. With the duration of the call it is shorter
	// than the time that a successor needs to take over and then waits before its first
	// order about the same instance.
	maxOrderOwnershipAge = time.Second
)

// isConfirmed reports whether this node was confirmed as the owner lately enough to give
// an order about an instance. Unlike endpoints, not every platform rejects the orders of
// an earlier owner.
func (o *Owner) isConfirmed() bool {
	c := o.confirmed.Load()
	return c != nil && o.opts.BootClock().Sub(c.bootAt) <= maxOrderOwnershipAge
}

// instanceLoop reads the list of instances while the controller needs it.
func (o *Owner) instanceLoop(ctx context.Context) {
	listed := 0
	for ctx.Err() == nil {
		interval := listInterval * time.Duration(max(listed, instancesPerInterval)) / instancesPerInterval
		select {
		case <-ctx.Done():
		case <-o.listSignal:
		case <-time.After(interval):
		}
		o.mu.Lock()
		needed := o.ctl.NeedsInstances()
		o.mu.Unlock()
		if needed {
			listed = max(listed, o.listInstances(ctx))
			tmwait.Pause(ctx, time.Duration(listed)*listPausePerInstance)
		}
	}
}

// listInstances reads the list of instances and returns how many it has.
func (o *Owner) listInstances(ctx context.Context) int {
	callCtx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	sent := o.opts.Clock.Now()
	began := time.Now()
	list, err := o.opts.Instances.List(callCtx)
	if o.opts.Observe != nil {
		o.opts.Observe("list_instances", time.Since(began), err)
	}
	if err != nil {
		o.emit(tmevent.InstancesFailed, "what", "list", "cause", err.Error())
		return 0
	}
	listed := len(list)
	list = slices.DeleteFunc(list, func(i tmcontrol.Instance) bool { return !o.opts.Shard.OwnsInstance(i.ID) })
	o.mu.Lock()
	o.ctl.SetInstances(list, sent)
	o.mu.Unlock()
	o.requestPlan()
	return listed
}

func (o *Owner) sendInstanceOrder(ctx context.Context, order tmcontrol.InstanceOrder) {
	a := o.timedCall(ctx, "instance_order", instanceTimeout, func(ctx context.Context) tmcontrol.Answer {
		if !o.isConfirmed() {
			return tmcontrol.NotSent
		}
		return o.opts.Instances.Order(ctx, order)
	})
	now := o.opts.Clock.Now()
	o.mu.Lock()
	o.ctl.InstanceOrdered(order, a, now)
	o.mu.Unlock()
	notify(o.listSignal)
	o.requestPlan()
}
