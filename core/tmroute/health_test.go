package tmroute

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/internal/tmseed"
)

const fixedSeed = 20260204

func TestMain(m *testing.M) { tmseed.MainFrom(m, fixedSeed) }

// newRand returns a source with the seed, which it prints.
func newRand(t testing.TB) *rand.Rand {
	t.Helper()
	t.Logf("seed %d", tmseed.First())
	return rand.New(rand.NewPCG(tmseed.First(), 1))
}

// fleet is a picker over one pool in 3 zones, racks of 4.
type fleet struct {
	clock  *tmclock.Manual
	health *Health
	ramps  *Ramps
	picker *Picker
	rng    *rand.Rand
}

func newFleet(t testing.TB, endpoints int) *fleet {
	t.Helper()
	f := &fleet{clock: tmclock.NewManual(1), rng: newRand(t)}
	f.health = NewHealth(f.clock, f.rng)
	f.ramps = NewRamps(f.clock)
	f.picker = NewPicker(f.clock, f.rng, f.health, f.ramps)
	for i := range endpoints {
		f.picker.Update(f.endpoint(i))
	}
	return f
}

func (f *fleet) endpoint(i int) Endpoint {
	return Endpoint{
		Name: fmt.Sprintf("w%d", i), Pool: "p", Zone: fmt.Sprintf("z%d", i%3),
		Rack: fmt.Sprintf("r%d", i/4), Leased: 8, Slots: 8, Usable: true,
	}
}

// run picks an endpoint for a task and ends it 10 ms later.
func (f *fleet) run(t testing.TB, kind Kind, fails func(endpoint string, kind Kind) bool) string {
	t.Helper()
	name, ok := f.picker.Pick(Want{Pool: "p", Idempotent: true})
	assert.Assert(t, ok)
	f.clock.Advance(10)
	f.picker.Ended(name, kind, fails(name, kind))
	return name
}

// TestBadWorkerIsSetAside guards against a worker that attracts work by failing
// fast. It has to be set aside within 10 tasks, at a cost under 1%.
func TestBadWorkerIsSetAside(t *testing.T) {
	f := newFleet(t, 40)
	bad := func(endpoint string, _ Kind) bool { return endpoint == "w7" }
	const tasks = 20_000
	failed, before := 0, 0
	for range tasks {
		if f.run(t, Kind{Team: "a", Queue: "q"}, bad) == "w7" {
			failed++
		}
		if !f.health.Aside("w7") {
			before = failed
		}
	}
	assert.Assert(t, before <= 10, "%d tasks before it was set aside", before)
	assert.Assert(t, failed*100 < tasks, "%d of %d tasks lost", failed, tasks)
}

// TestBadJobSetsNoWorkerAside guards against a job that fails everywhere and
// takes healthy workers out of service.
func TestBadJobSetsNoWorkerAside(t *testing.T) {
	for _, part := range []int{10, 30, 60} {
		f := newFleet(t, 20)
		job := Kind{Team: "a", Queue: "broken"}
		fails := func(_ string, k Kind) bool { return k == job }
		for range 5000 {
			kind := Kind{Team: "b", Queue: "fine"}
			if f.rng.IntN(100) < part {
				kind = job
			}
			f.run(t, kind, fails)
		}
		for i := range 20 {
			assert.Assert(t, !f.health.Aside(fmt.Sprintf("w%d", i)), "w%d with %d%% bad jobs", i, part)
		}
	}
}

// TestBadWorkerAmongBadJobs guards against a bad worker that hides behind a bad
// job.
func TestBadWorkerAmongBadJobs(t *testing.T) {
	f := newFleet(t, 20)
	job := Kind{Team: "a", Queue: "broken"}
	fails := func(e string, k Kind) bool { return k == job || e == "w3" }
	for i := range 2000 {
		kind := Kind{Team: "b", Queue: "fine"}
		if i%2 == 0 {
			kind = job
		}
		f.run(t, kind, fails)
	}
	assert.Assert(t, f.health.Aside("w3"))
	assert.Equal(t, f.health.pool("p").aside, 1)
}

// TestRepairedWorkerReturns guards against a worker that stays aside for good.
func TestRepairedWorkerReturns(t *testing.T) {
	f := newFleet(t, 10)
	broken := true
	fails := func(e string, _ Kind) bool { return broken && e == "w1" }
	for range 500 {
		f.run(t, Kind{}, fails)
	}
	assert.Assert(t, f.health.Aside("w1"))
	broken = false
	for range 12_000 {
		f.run(t, Kind{}, fails)
	}
	assert.Assert(t, !f.health.Aside("w1"))
}

// TestHalfOfAPoolStays guards against a fault elsewhere that takes a whole pool
// out of service.
func TestHalfOfAPoolStays(t *testing.T) {
	f := newFleet(t, 10)
	for i := range 10 {
		for range 10 {
			f.health.Ended(fmt.Sprintf("w%d", i), Kind{Queue: fmt.Sprint(i)}, true)
		}
	}
	assert.Equal(t, f.health.pool("p").aside, 5)
}

// TestLostEndpointReturnsWithItsLease guards against an endpoint that needs
// trial tasks after a mere loss of the connection.
func TestLostEndpointReturnsWithItsLease(t *testing.T) {
	f := newFleet(t, 4)
	f.health.Lost("w1")
	assert.Assert(t, f.health.Aside("w1") && !f.health.Due("w1", true))
	f.health.Renewed("w1")
	assert.Assert(t, f.health.Aside("w1"), "the back-off has not passed")
	f.clock.Advance(tmclock.Second)
	f.health.Renewed("w1")
	assert.Assert(t, !f.health.Aside("w1"))
}
