package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/internal/emulator"
	"turmericmoor/io/tmowner"
)

const callLatency = 2 * time.Millisecond

// caller is how one node reaches workers.
type caller struct {
	w    *world
	node string
	cut  func() bool
}

// reach finds the worker, or waits until ctx ends.
func (c *caller) reach(ctx context.Context, endpoint string) (*emulator.Endpoint, bool) {
	select {
	case <-ctx.Done():
		return nil, false
	case <-time.After(callLatency):
	}
	c.w.fleet.Lock()
	k := c.w.fleet.Endpoint(endpoint)
	up := k != nil && !k.Down()
	c.w.fleet.Unlock()
	c.w.mu.Lock()
	ok := up && !c.cut() && !c.w.workerCut[endpoint] && c.w.sameSide(c.node, endpoint)
	c.w.mu.Unlock()
	if !ok {
		<-ctx.Done()
	}
	return k, ok
}

// order carries out an order, at times late and without an answer.
func (c *caller) order(ctx context.Context, endpoint string, do func(k *emulator.Endpoint, late bool) tmcontrol.Answer) tmcontrol.Answer {
	k, ok := c.reach(ctx, endpoint)
	if !ok {
		return tmcontrol.NoAnswer
	}
	late, delay := c.w.lateness()
	c.w.fleet.Lock()
	if !late {
		defer c.w.fleet.Unlock()
		return do(k, false)
	}
	born := k.Born()
	c.w.fleet.Unlock()
	c.w.work.Go(func() {
		if !c.w.sleep(delay) {
			return
		}
		c.w.fleet.Lock()
		defer c.w.fleet.Unlock()
		if !k.Down() && k.Born() == born {
			do(k, true)
		}
	})
	<-ctx.Done()
	return tmcontrol.NoAnswer
}

func (c *caller) Start(ctx context.Context, o tmcontrol.StartOrder) tmcontrol.Answer {
	return c.order(ctx, o.Ref.Endpoint, func(k *emulator.Endpoint, late bool) tmcontrol.Answer { return k.Start(o, late) })
}

func (c *caller) Stop(ctx context.Context, o tmcontrol.StopOrder) tmcontrol.Answer {
	return c.order(ctx, o.Ref.Endpoint, func(k *emulator.Endpoint, _ bool) tmcontrol.Answer { return k.Stop(o) })
}

func (c *caller) Pace(context.Context, tmcontrol.PaceOrder) tmcontrol.Answer {
	return tmcontrol.Accepted
}

// sameSide reports whether no cut of a zone lies between a node and a worker. The
// mutex is held.
func (w *world) sameSide(node, worker string) bool {
	return w.island == "" || (node == w.island) == w.onIsland[worker]
}

var errCut = errors.New("fleetsim: no answer")

func (c *caller) Hold(ctx context.Context, endpoint string, h tmcontrol.HoldRequest) (tmcontrol.HoldResponse, error) {
	k, ok := c.reach(ctx, endpoint)
	if !ok {
		return tmcontrol.HoldResponse{}, errCut
	}
	deadline := time.Now().Add(h.Wait.Duration())
	c.w.fleet.Lock()
	born := k.Born()
	c.w.fleet.Unlock()
	for {
		c.w.fleet.Lock()
		if k.Down() || k.Born() != born {
			// The connection broke with the process.
			c.w.fleet.Unlock()
			return tmcontrol.HoldResponse{}, errCut
		}
		l, fenced := k.Look(h)
		wake := k.Wake()
		next := k.NextEnd(deadline)
		c.w.fleet.Unlock()
		if !fenced {
			return tmcontrol.HoldResponse{}, tmowner.ErrFenced
		}
		if len(l.Ended) > 0 || !time.Now().Before(deadline) {
			if c.cut() {
				<-ctx.Done()
				return tmcontrol.HoldResponse{}, errCut
			}
			return l, nil
		}
		select {
		case <-ctx.Done():
			return tmcontrol.HoldResponse{}, fmt.Errorf("%w: %w", errCut, ctx.Err())
		case <-wake:
		case <-time.After(time.Until(next)):
		}
	}
}

func listing(k *emulator.Endpoint) tmcontrol.EndpointInfo {
	return tmcontrol.EndpointInfo{
		ID: k.ID(), Service: "pool", Address: k.ID() + ":1", Zone: k.Zone(), Instance: "i-" + k.ID(),
		Capacity: k.Capacity(), StartedAt: k.Born(),
	}
}

var _ tmowner.EndpointClient = (*caller)(nil)
