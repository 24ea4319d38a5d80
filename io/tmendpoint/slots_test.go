package tmendpoint_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/internal/standin/tmfakeendpoint"
)

// Guards against more tasks than slots when entries lease, renew, release and
// start at the same time. It runs on the system clock.
func TestSlotsAreNeverExceeded(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	endpoint := tmfakeendpoint.New(tmfakeendpoint.Options{})
	defer endpoint.Close()
	c, address := serve(t, endpoint)
	var wg sync.WaitGroup
	for holder := range 6 {
		rnd := rand.New(rand.NewPCG(seed, uint64(holder)))
		wg.Go(func() {
			for i := range 40 {
				grant, err := c.Lease(ctx, address, fmt.Sprint(holder), rnd.IntN(10))
				if err != nil {
					continue
				}
				for j := range rnd.IntN(12) {
					attempt := task(grant, fmt.Sprintf("%d-%d-%d", holder, i, j), rnd.IntN(5))
					wg.Go(func() { _, _ = c.Start(ctx, address, attempt) })
				}
				if rnd.IntN(4) == 0 {
					_ = c.Release(ctx, address, grant.Lease)
				}
			}
		})
	}
	wg.Wait()
	starts, most := 0, 0
	for _, ev := range endpoint.Journal() {
		most = max(most, ev.Running)
		if ev.Kind == "start" {
			starts++
		}
	}
	assert.Assert(t, most <= tmfakeendpoint.DefaultSlots, "%d tasks ran at a time", most)
	assert.Assert(t, starts > 100, "only %d tasks started", starts)
	report, err := c.State(ctx, address)
	assert.NilError(t, err)
	assert.Equal(t, report.Running, 0)
}

// Guards against tasks on the system clock that need calls to end.
func TestTimerEndsTasks(t *testing.T) {
	endpoint := tmfakeendpoint.New(tmfakeendpoint.Options{})
	defer endpoint.Close()
	c, address := serve(t, endpoint)
	grant, err := c.Lease(ctx, address, "entry-1", 1)
	assert.NilError(t, err)
	before := time.Now()
	_, err = c.Start(ctx, address, task(grant, "a1", 30))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(before) >= 30*time.Millisecond)
}
