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

const (
	callLatency = 2 * time.Millisecond
	// fenceTimeout is within how long after its start a lifetime of an endpoint has to be called,
	// so that it carries out no more orders that were meant for an earlier one.
	fenceTimeout = 100 * time.Millisecond
)

// endpointClient is the connection of one node to the endpoints.
type endpointClient struct {
	sim         *simulation
	node        string
	partitioned func() bool
	// awaitTurn waits until the node has time for a call, it reports false if ctx ended before.
	awaitTurn func(ctx context.Context) bool
}

// reach returns the endpoint, or waits until ctx ends if it can't be reached.
func (c *endpointClient) reach(ctx context.Context, endpoint string) (*emulator.Endpoint, bool) {
	if _, ok := ctx.Deadline(); !ok {
		c.sim.reportUnbounded("call to endpoint " + endpoint)
	}
	select {
	case <-ctx.Done():
		return nil, false
	case <-time.After(callLatency):
	}
	c.sim.fleet.Lock()
	e := c.sim.fleet.Endpoint(endpoint)
	up := e != nil && !e.Down()
	c.sim.fleet.Unlock()
	c.sim.mu.Lock()
	ok := up && !c.partitioned() && !c.sim.partitionedEndpoints[endpoint] && c.sim.samePartition(c.node, endpoint)
	c.sim.mu.Unlock()
	if !ok {
		<-ctx.Done()
	}
	return e, ok
}

// sendOrder delivers an order. With the probability lateOrderRatio it delivers the order
// late and returns no answer.
func (c *endpointClient) sendOrder(ctx context.Context, endpoint string, do func(e *emulator.Endpoint, late bool) tmcontrol.Answer) tmcontrol.Answer {
	e, ok := c.reach(ctx, endpoint)
	if !ok {
		return tmcontrol.NoAnswer
	}
	late, delay := c.sim.drawOrderDelay()
	c.sim.fleet.Lock()
	if !late {
		a := do(e, false)
		c.sim.fleet.Unlock()
		time.Sleep(c.sim.currentAnswerDelay())
		return a
	}
	startedAt := e.StartedAt()
	c.sim.fleet.Unlock()
	c.sim.lateOrders.Go(func() {
		if c.sim.sleep(delay) && c.sim.awaitFence(e, startedAt) {
			c.sim.fleet.Lock()
			defer c.sim.fleet.Unlock()
			do(e, true)
		}
	})
	<-ctx.Done()
	return tmcontrol.NoAnswer
}

// awaitFence waits until a late order that was meant for the lifetime of an endpoint that began at
// startedAt reaches it. It reports false if the endpoint is down then.
func (sim *simulation) awaitFence(e *emulator.Endpoint, startedAt int64) bool {
	sim.fleet.Lock()
	age := time.Since(time.UnixMilli(e.StartedAt()))
	restarted := e.StartedAt() != startedAt
	sim.fleet.Unlock()
	if restarted && age < fenceTimeout && !sim.sleep(fenceTimeout-age) {
		return false
	}
	sim.fleet.Lock()
	defer sim.fleet.Unlock()
	return !e.Down()
}

func (c *endpointClient) Start(ctx context.Context, o tmcontrol.StartOrder) tmcontrol.Answer {
	if !c.awaitTurn(ctx) {
		return tmcontrol.NotSent
	}
	c.sim.fleet.Lock()
	c.sim.fleet.Endpoint(o.Ref.Endpoint).RecordOrder(o.Ref.Task)
	c.sim.fleet.Unlock()
	return c.sendOrder(ctx, o.Ref.Endpoint, func(e *emulator.Endpoint, late bool) tmcontrol.Answer { return e.Start(o, late) })
}

func (c *endpointClient) Stop(ctx context.Context, o tmcontrol.StopOrder) tmcontrol.Answer {
	return c.sendOrder(ctx, o.Ref.Endpoint, func(e *emulator.Endpoint, _ bool) tmcontrol.Answer { return e.Stop(o) })
}

func (c *endpointClient) Pace(context.Context, tmcontrol.PaceOrder) tmcontrol.Answer {
	return tmcontrol.Accepted
}

// samePartition reports whether no partition separates a node from an endpoint. The
// mutex must be held.
func (sim *simulation) samePartition(node, endpoint string) bool {
	return sim.isolatedNode == "" || (node == sim.isolatedNode) == sim.isolatedEndpoints[endpoint]
}

var errNoAnswer = errors.New("fleetsim: no answer")

func (c *endpointClient) Hold(ctx context.Context, endpoint string, h tmcontrol.HoldRequest) (tmcontrol.HoldResponse, error) {
	if !c.awaitTurn(ctx) {
		return tmcontrol.HoldResponse{}, errNoAnswer
	}
	e, ok := c.reach(ctx, endpoint)
	if !ok {
		return tmcontrol.HoldResponse{}, errNoAnswer
	}
	if c.sim.drawLostHold() {
		<-ctx.Done()
		return tmcontrol.HoldResponse{}, errNoAnswer
	}
	deadline := time.Now().Add(h.Wait.Duration())
	c.sim.fleet.Lock()
	startedAt := e.StartedAt()
	c.sim.fleet.Unlock()
	for {
		c.sim.fleet.Lock()
		if e.Down() || e.StartedAt() != startedAt {
			// The connection ended with the process.
			c.sim.fleet.Unlock()
			return tmcontrol.HoldResponse{}, errNoAnswer
		}
		resp, current := e.Hold(h)
		wake := e.Wake()
		next := e.NextEnd(deadline)
		c.sim.fleet.Unlock()
		if !current {
			return tmcontrol.HoldResponse{}, tmowner.ErrFenced
		}
		if len(resp.Ended) > 0 || !time.Now().Before(deadline) {
			if c.partitioned() {
				<-ctx.Done()
				return tmcontrol.HoldResponse{}, errNoAnswer
			}
			return resp, nil
		}
		select {
		case <-ctx.Done():
			return tmcontrol.HoldResponse{}, fmt.Errorf("%w: %w", errNoAnswer, ctx.Err())
		case <-wake:
		case <-time.After(time.Until(next)):
		}
	}
}

func endpointInfo(e *emulator.Endpoint) tmcontrol.EndpointInfo {
	return tmcontrol.EndpointInfo{
		ID: e.ID(), Service: "pool", Address: e.ID() + ":1", Zone: e.Zone(), Instance: instanceOf(e.ID()),
		Capacity: e.Capacity(), StartedAt: e.StartedAt(),
	}
}

var _ tmowner.EndpointClient = (*endpointClient)(nil)
