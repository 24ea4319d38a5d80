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

// Guards against more running tasks than slots when entries lease, renew,
// release and start tasks concurrently. It runs on the system clock.
func TestSlotsAreNeverExceeded(t *testing.T) {
	seed := uint64(time.Now().UnixNano())
	t.Logf("seed %d", seed)
	endpoint := tmfakeendpoint.New(tmfakeendpoint.Options{})
	defer endpoint.Close()
	c, address := newTestClient(t, endpoint)
	var wg sync.WaitGroup
	for holder := range 6 {
		rng := rand.New(rand.NewPCG(seed, uint64(holder)))
		wg.Go(func() {
			for i := range 40 {
				grant, err := c.Lease(ctx, address, fmt.Sprint(holder), rng.IntN(10))
				if err != nil {
					continue
				}
				for j := range rng.IntN(12) {
					attempt := task(grant, fmt.Sprintf("%d-%d-%d", holder, i, j), rng.IntN(5))
					wg.Go(func() { _, _ = c.Start(ctx, address, attempt) })
				}
				if rng.IntN(4) == 0 {
					_ = c.Release(ctx, address, grant.Lease)
				}
			}
		})
	}
	wg.Wait()
	starts, maxRunning := 0, 0
	for _, ev := range endpoint.Journal() {
		maxRunning = max(maxRunning, ev.Running)
		if ev.Kind == "start" {
			starts++
		}
	}
	assert.Assert(t, maxRunning <= tmfakeendpoint.DefaultSlots, "%d tasks ran concurrently", maxRunning)
	assert.Assert(t, starts > 100, "only %d tasks started", starts)
	report, err := c.State(ctx, address)
	assert.NilError(t, err)
	assert.Equal(t, report.Running, 0)
}

// Guards against tasks on the system clock that end only when a later call
// reaches the endpoint.
func TestTimerEndsTasks(t *testing.T) {
	endpoint := tmfakeendpoint.New(tmfakeendpoint.Options{})
	defer endpoint.Close()
	c, address := newTestClient(t, endpoint)
	grant, err := c.Lease(ctx, address, "entry-1", 1)
	assert.NilError(t, err)
	before := time.Now()
	_, err = c.Start(ctx, address, task(grant, "a1", 30))
	assert.NilError(t, err)
	assert.Assert(t, time.Since(before) >= 30*time.Millisecond)
}
