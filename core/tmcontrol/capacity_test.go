package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
)

// Guards against starts beyond the capacity of an endpoint that shrank while their
// placements were being stored, or before they were sent again.
func TestNoStartBeyondACapacityThatShrank(t *testing.T) {
	f := newFixture(t, 1)
	small := f.endpointInfo(1)
	small.Capacity = tmjob.Resources{CPU: 500, Mem: 8000}
	f.c.Submitted(oneTask("j"))
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	flush := f.c.TakeFlush(f.now)
	f.c.SetEndpoint(small, f.now)
	f.c.Stored(flush, f.now)
	starts, _, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(starts), 0)

	f.c.SetEndpoint(f.endpointInfo(1), f.now)
	f.c.Plan(f.now, int64(f.now))
	f.c.Stored(f.c.TakeFlush(f.now), f.now)
	starts, _, _ = f.c.TakeOrders(f.now)
	assert.Equal(t, len(starts), 1)
	f.c.Started(starts[0].Ref, NoAnswer, f.now)
	f.c.SetEndpoint(small, f.now)
	f.answerHold("e1")
	starts, stops, _ := f.c.TakeOrders(f.now)
	assert.Equal(t, len(starts), 0)
	assert.Equal(t, len(stops), 1)
}
