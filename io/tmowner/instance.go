package tmowner

import (
	"context"
	"time"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/io/tmtable"
)

const (
	// listEvery is the time between two readings of the list of instances while
	// a wave or a move is under way.
	listEvery = 400 * time.Millisecond
	// instanceTimeout bounds one call about instances.
	instanceTimeout = 1500 * time.Millisecond
)

// instanceLoop reads the list of instances while it is of use, and sends orders
// about them.
func (o *Owner) instanceLoop(ctx context.Context) {
	for pause(ctx, listEvery) {
		o.mu.Lock()
		needed := o.ctl.NeedsInstances()
		o.mu.Unlock()
		if needed {
			o.listInstances(ctx)
		}
	}
}

func (o *Owner) listInstances(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, instanceTimeout)
	defer cancel()
	sent := o.opts.Clock.Now()
	began := time.Now()
	list, err := o.opts.Instances.List(callCtx)
	if o.opts.Observe != nil {
		o.opts.Observe("list_instances", time.Since(began), err)
	}
	if err != nil {
		o.note("instances_failed", "what", "list", "cause", err.Error())
		return
	}
	o.mu.Lock()
	o.ctl.SetInstances(list, sent)
	o.mu.Unlock()
	o.plan()
}

func (o *Owner) sendInstanceOrder(ctx context.Context, order tmcontrol.InstanceOrder) {
	callCtx, cancel := context.WithTimeout(ctx, instanceTimeout)
	began := time.Now()
	a := o.opts.Instances.Order(callCtx, order)
	cancel()
	o.observeAnswer("instance_order", began, a)
	now := o.opts.Clock.Now()
	o.mu.Lock()
	o.ctl.InstanceOrdered(order, a, now)
	o.mu.Unlock()
	o.plan()
}

// report stores the state of a wave, however often it takes.
func (o *Owner) report(ctx context.Context, r tmcontrol.WaveReport) {
	put := o.opts.Directory.WaveStatus(r.Wave, r.Completed)
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := o.opts.Store.Write(callCtx, tmtable.Txn{Puts: []tmtable.Put{put}})
		cancel()
		if err == nil {
			return
		}
		o.note("store_failed", "what", "wave report", "cause", err.Error())
		pause(ctx, writePause)
	}
}
