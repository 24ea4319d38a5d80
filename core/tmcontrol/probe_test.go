package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmlate"
)

// none is what EndpointsToProbe gets while nothing is probed.
var none = map[string]bool{}

// afterAdoption moves a fixture on to when no order of an earlier owner can arrive any more.
func (f *fixture) afterAdoption() {
	for range 30 {
		for id := range f.c.endpoints {
			f.answerHold(id)
		}
		f.advance(500)
	}
}

// Guards against late orders that a new lifetime carries out before it is called: the hold that
// was under way at the crash took seconds to fail.
func TestEndpointThatMayCarryOutOrdersIsProbed(t *testing.T) {
	f := newFixture(t, 2)
	f.afterAdoption()
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	f.c.Started(first, NoAnswer, f.now)
	assert.Equal(t, len(f.c.EndpointsToProbe(none)), 0)

	f.instanceDown(first.Endpoint)
	assert.DeepEqual(t, f.c.EndpointsToProbe(none), []string{first.Endpoint})
	assert.Equal(t, len(f.c.EndpointsToProbe(map[string]bool{first.Endpoint: true})), 0)
	h, interval, ok := f.c.NextProbe(first.Endpoint)
	assert.Assert(t, ok)
	assert.Equal(t, interval, minProbeInterval)
	assert.Assert(t, h.Token > first.Token)
	assert.Equal(t, h.Acked+h.Until, int64(0))

	f.restarts[first.Endpoint]++
	f.answerHold(first.Endpoint)
	assert.Equal(t, len(f.c.EndpointsToProbe(none)), 0)
	_, _, ok = f.c.NextProbe(first.Endpoint)
	assert.Assert(t, !ok)
}

// Guards against the same for an order whose run has ended, or was stopped, before the crash.
func TestOrderOfAnEndedRunIsProbed(t *testing.T) {
	f := newFixture(t, 1)
	f.afterAdoption()
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	assert.Assert(t, f.c.StartRepeated(first, f.now))
	f.c.Started(first, Accepted, f.now)
	f.end("e1", first.Task, first.Run, EndDone)
	f.c.HoldFailed("e1", "test", f.now)
	assert.Equal(t, len(f.c.EndpointsToProbe(none)), 1)
	f.advance(tmlate.MaxDelay)
	assert.Equal(t, len(f.c.EndpointsToProbe(none)), 0)
}

// Guards against probes for nothing: all orders to the endpoint were answered.
func TestSilentEndpointWithoutLateOrdersIsNotProbed(t *testing.T) {
	f := newFixture(t, 1)
	f.afterAdoption()
	f.c.Submitted(oneTask("j"))
	f.advance(10)
	f.answerHold("e1")
	f.c.HoldFailed("e1", "test", f.now)
	assert.Equal(t, len(f.c.EndpointsToProbe(none)), 0)
}

// Guards against late orders of the owner before, which a new owner doesn't know.
func TestNewOwnerProbesSilentEndpoints(t *testing.T) {
	f := newFixture(t, 2)
	f.answerHold("e1")
	f.c.HoldFailed("e1", "test", f.now)
	f.advance(10)
	assert.DeepEqual(t, f.c.EndpointsToProbe(none), []string{"e1"})
	f.advance(tmlate.MaxDelay)
	assert.Equal(t, len(f.c.EndpointsToProbe(none)), 0)
}

// Guards against an owner that is kept busy by probes when a large part of the fleet is down.
func TestProbesOfManyEndpointsAreSpread(t *testing.T) {
	const endpoints = 200
	f := newFixture(t, 0)
	f.c.Tick(f.now, int64(f.now))
	for i := range endpoints {
		info := f.endpointInfo(1)
		info.ID = fmt.Sprintf("e%d", i)
		f.c.SetEndpoint(info, f.now)
	}
	f.advance(adoptionProbeDelay + 100)
	assert.Equal(t, len(f.c.EndpointsToProbe(none)), endpoints)
	_, interval, ok := f.c.NextProbe("e7")
	assert.Assert(t, ok)
	assert.Equal(t, interval, endpoints*tmclock.Second/maxProbeRate)
}
