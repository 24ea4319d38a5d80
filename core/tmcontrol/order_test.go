package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Endpoints that left starts unanswered filled the bound of unanswered starts, so that
// for a second nothing was placed on any other endpoint.
func TestLateEndpointsHoldBackNoOthers(t *testing.T) {
	f := newFixture(t, 2)
	f.c.endpoints["e1"].info.Capacity.CPU = 1000 * maxPending
	f.c.endpoints["e1"].info.Capacity.Mem = 1000 * maxPending
	for i := range maxPending + 8 {
		f.c.Submitted(oneTask(fmt.Sprintf("j%03d", i)))
	}
	f.c.endpoints["e2"].reserved = true
	pass := func() []StartOrder {
		f.c.Tick(f.now, int64(f.now))
		f.c.Plan(f.now, int64(f.now))
		for flush := f.c.TakeFlush(f.now); flush != nil; flush = f.c.TakeFlush(f.now) {
			f.c.Stored(flush, f.now)
		}
		starts, _, _ := f.c.TakeOrders(f.now)
		return starts
	}
	assert.Equal(t, len(pass()), maxPending)
	f.c.endpoints["e2"].reserved = false
	f.now = f.now.Add(slowAnswer)
	starts := pass()
	assert.Equal(t, len(starts), 8)
	for _, s := range starts {
		assert.Equal(t, s.Ref.Endpoint, "e2")
	}
}
