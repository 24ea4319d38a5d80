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

// newRand returns a random source with the seed of the run, which it logs.
func newRand(t testing.TB) *rand.Rand {
	t.Helper()
	t.Logf("seed %d", tmseed.First())
	return rand.New(rand.NewPCG(tmseed.First(), 1))
}

// fleet is a Picker with one pool in 3 zones and racks of 4 endpoints.
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

// run picks an endpoint for a task, finishes the task 10 ms later, and returns
// the endpoint.
func (f *fleet) run(t testing.TB, kind Kind, fails func(endpoint string, kind Kind) bool) string {
	t.Helper()
	name, ok := f.picker.Pick(Criteria{Pool: "p", Idempotent: true})
	assert.Assert(t, ok)
	f.clock.Advance(10)
	f.picker.Finish(name, kind, fails(name, kind))
	return name
}

// TestFailingWorkerIsEjected guards against a worker that attracts work by failing
// fast. It has to be ejected within 10 tasks, and fewer than 1% of all tasks may
// fail.
func TestFailingWorkerIsEjected(t *testing.T) {
	f := newFleet(t, 40)
	fails := func(endpoint string, _ Kind) bool { return endpoint == "w7" }
	const tasks = 20_000
	failed, before := 0, 0
	for range tasks {
		if f.run(t, Kind{Team: "a", Queue: "q"}, fails) == "w7" {
			failed++
		}
		if !f.health.Ejected("w7") {
			before = failed
		}
	}
	assert.Assert(t, before <= 10, "%d tasks failed before the worker was ejected", before)
	assert.Assert(t, failed*100 < tasks, "%d of %d tasks failed", failed, tasks)
}

// TestFailingJobEjectsNoWorker guards against the ejection of healthy workers
// because of a job that fails everywhere.
func TestFailingJobEjectsNoWorker(t *testing.T) {
	for _, failingPercent := range []int{10, 30, 60} {
		f := newFleet(t, 20)
		job := Kind{Team: "a", Queue: "broken"}
		fails := func(_ string, k Kind) bool { return k == job }
		for range 5000 {
			kind := Kind{Team: "b", Queue: "fine"}
			if f.rng.IntN(100) < failingPercent {
				kind = job
			}
			f.run(t, kind, fails)
		}
		for i := range 20 {
			assert.Assert(t, !f.health.Ejected(fmt.Sprintf("w%d", i)), "w%d is ejected with %d%% failing jobs", i, failingPercent)
		}
	}
}

// TestFailingWorkerAmongFailingJobs guards against a failing worker that isn't
// ejected because a job fails everywhere at the same time.
func TestFailingWorkerAmongFailingJobs(t *testing.T) {
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
	assert.Assert(t, f.health.Ejected("w3"))
	assert.Equal(t, f.health.pool("p").ejected, 1)
}

// TestRepairedWorkerIsRestored guards against a worker that stays ejected after
// its fault was repaired.
func TestRepairedWorkerIsRestored(t *testing.T) {
	f := newFleet(t, 10)
	broken := true
	fails := func(e string, _ Kind) bool { return broken && e == "w1" }
	for range 500 {
		f.run(t, Kind{}, fails)
	}
	assert.Assert(t, f.health.Ejected("w1"))
	broken = false
	for range 12_000 {
		f.run(t, Kind{}, fails)
	}
	assert.Assert(t, !f.health.Ejected("w1"))
}

// TestAtMostHalfOfAPoolIsEjected guards against the ejection of a whole pool
// because of a fault that lies elsewhere.
func TestAtMostHalfOfAPoolIsEjected(t *testing.T) {
	f := newFleet(t, 10)
	for i := range 10 {
		for range 10 {
			f.health.RecordOutcome(fmt.Sprintf("w%d", i), Kind{Queue: fmt.Sprint(i)}, true)
		}
	}
	assert.Equal(t, f.health.pool("p").ejected, 5)
}

// TestLostEndpointIsRestoredByRenewal guards against an endpoint that needs
// probes after a lost connection, although no task has failed there.
func TestLostEndpointIsRestoredByRenewal(t *testing.T) {
	f := newFleet(t, 4)
	f.health.LeaseLost("w1")
	assert.Assert(t, f.health.Ejected("w1") && !f.health.ProbeDue("w1", true))
	f.health.LeaseRenewed("w1")
	assert.Assert(t, f.health.Ejected("w1"), "restored before the backoff has passed")
	f.clock.Advance(tmclock.Second)
	f.health.LeaseRenewed("w1")
	assert.Assert(t, !f.health.Ejected("w1"))
}
