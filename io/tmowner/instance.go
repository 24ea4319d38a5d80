package tmowner

import (
	"context"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmevent"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

const (
	// listInterval is the time between two reads of the list of instances while a
	// wave or a move is in progress.
	listInterval = 400 * time.Millisecond
	// instanceTimeout bounds one call to the platform's interface for instances.
	instanceTimeout = 1500 * time.Millisecond
)

// instanceLoop reads the list of instances while the controller needs it.
func (o *Owner) instanceLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-o.listSignal:
		case <-time.After(listInterval):
		}
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
		o.emit(tmevent.InstancesFailed, "what", "list", "cause", err.Error())
		return
	}
	o.mu.Lock()
	o.ctl.SetInstances(list, sent)
	o.mu.Unlock()
	o.requestPlan()
}

func (o *Owner) sendInstanceOrder(ctx context.Context, order tmcontrol.InstanceOrder) {
	a := o.timedCall(ctx, "instance_order", instanceTimeout, func(ctx context.Context) tmcontrol.Answer {
		return o.opts.Instances.Order(ctx, order)
	})
	now := o.opts.Clock.Now()
	o.mu.Lock()
	o.ctl.InstanceOrdered(order, a, now)
	o.mu.Unlock()
	notify(o.listSignal)
	o.requestPlan()
}

// storeWaveReport tries to write the state of a wave until that is stored or ctx
// ends.
func (o *Owner) storeWaveReport(ctx context.Context, r tmcontrol.WaveReport) {
	puts := []tmtable.Put{
		o.opts.Directory.WaveStatus(r.Wave, r.Completed),
		{Key: tmrecord.WaveKey(r.Wave), Value: tmrecord.EncodeWave(tmrecord.Wave{Done: r.Done, Completed: r.Completed})},
	}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, err := o.opts.Store.Write(callCtx, tmtable.Txn{Puts: puts})
		cancel()
		if err == nil {
			return
		}
		o.emit(tmevent.StoreFailed, "what", "wave report", "cause", err.Error())
		tmwait.Pause(ctx, writeRetryDelay)
	}
}

// restoreWaves loads the stored progress of waves into the controller.
func (o *Owner) restoreWaves(ctx context.Context) error {
	page, err := tmtable.ReadAll(ctx, o.opts.Store, tmrecord.WaveRange())
	if err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, row := range page.Rows {
		w, err := tmrecord.DecodeWave(row.Value)
		if err != nil {
			o.emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
			continue
		}
		o.ctl.RestoreWave(tmcontrol.WaveReport{Wave: tmrecord.WaveName(row.Key.Key), Done: w.Done, Completed: w.Completed})
	}
	return nil
}
