package tmroute

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmclock"
)

// TestEntriesSpreadTheirChoices guards against a herd effect: independent entries
// that all pick the endpoint that was idle in the last report.
func TestEntriesSpreadTheirChoices(t *testing.T) {
	counts := map[string]int{}
	for entry := range uint64(9) {
		f := newFleet(t, 40)
		f.picker.rng = rand.New(rand.NewPCG(entry, fixedSeed))
		for i := range 40 {
			e := f.endpoint(i)
			e.Busy = 6
			if i == 0 {
				e.Busy = 0
			}
			f.picker.Update(e)
		}
		for range 10 {
			name, ok := f.picker.Pick(Criteria{Pool: "p"})
			assert.Assert(t, ok)
			counts[name]++
		}
	}
	assert.Assert(t, counts["w0"] <= 16, "%d of 90 tasks on the idle endpoint with 8 slots", counts["w0"])
}

// TestPickStaysWithinLeasedSlots guards against more tasks than leased slots, a
// choice of an unusable endpoint, and a retry at an endpoint where the request
// has failed.
func TestPickStaysWithinLeasedSlots(t *testing.T) {
	f := newFleet(t, 6)
	for i := range 3 {
		e := f.endpoint(i)
		e.Usable = i == 2
		f.picker.Update(e)
	}
	name, ok := f.picker.Pick(Criteria{Pool: "p", Avoid: []string{"w2", "w3", "w4"}})
	assert.Assert(t, ok && name == "w5")
	for range 4*8 - 1 {
		_, ok = f.picker.Pick(Criteria{Pool: "p"})
		assert.Assert(t, ok)
	}
	_, ok = f.picker.Pick(Criteria{Pool: "p"})
	assert.Assert(t, !ok)
	f.picker.Release("w5")
	name, ok = f.picker.Pick(Criteria{Pool: "p"})
	assert.Assert(t, ok && name == "w5")
	f.picker.Remove("w5")
	f.picker.Release("w5")
	assert.Equal(t, f.picker.IdleEndpoints("p"), 0)
}

// TestReturnedZoneRampsUp guards against full load on a zone as soon as it is
// back in service.
func TestReturnedZoneRampsUp(t *testing.T) {
	f := newFleet(t, 3)
	f.ramps.Start("z0")
	f.picker.Refresh()
	for range 100 {
		f.picker.Pick(Criteria{Pool: "p"})
	}
	assert.Equal(t, f.picker.Running("w0"), 2)
	assert.Equal(t, f.picker.Running("w1"), 8)
	f.clock.Advance(rampDuration)
	f.picker.Refresh()
	assert.Equal(t, f.picker.IdleEndpoints("p"), 1)
}

// TestTargets guards against targets that exceed the slots of an endpoint,
// entries with demand but no slot, and leases that move on small changes of
// demand.
func TestTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		endpoints := make([]EndpointSlots, rapid.IntRange(1, 40).Draw(t, "endpoints"))
		total := 0
		for i := range endpoints {
			endpoints[i] = EndpointSlots{Name: fmt.Sprint(i), Slots: rapid.IntRange(0, 8).Draw(t, "slots")}
			total += endpoints[i].Slots
		}
		demand := map[string]int{}
		for i := range rapid.IntRange(1, 9).Draw(t, "entries") {
			demand[fmt.Sprintf("e%d", i)] = rapid.IntRange(0, 500).Draw(t, "demand")
		}
		planner := NewPlanner()
		targets := planner.Plan(endpoints, demand)
		got := map[string]int{}
		withDemand := 0
		for _, e := range endpoints {
			sum := 0
			for entry := range demand {
				sum += targets.Get(e.Name, entry)
				got[entry] += targets.Get(e.Name, entry)
			}
			assert.Assert(t, sum <= e.Slots)
		}
		for _, n := range demand {
			withDemand += min(n, 1)
		}
		for entry, n := range demand {
			assert.Assert(t, n == 0 || withDemand > total || got[entry] > 0, "%s has no slot", entry)
			assert.Assert(t, n > 0 || got[entry] == 0)
		}
		for entry, n := range demand {
			demand[entry] = n + n/20
		}
		again := planner.Plan(endpoints, demand)
		for key, n := range targets.slots {
			assert.Equal(t, again.slots[key], n)
		}
	})
}

// TestTargetsSpread guards against an entry whose slots are concentrated at a
// few endpoints, and so could all be lost with one zone.
func TestTargetsSpread(t *testing.T) {
	endpoints := make([]EndpointSlots, 12)
	for i := range endpoints {
		endpoints[i] = EndpointSlots{Name: fmt.Sprintf("z%d-%d", i/4, i), Slots: 8}
	}
	demand := map[string]int{}
	for i := range 8 {
		demand[fmt.Sprint(i)] = 10
	}
	targets := NewPlanner().Plan(endpoints, demand)
	for _, e := range endpoints {
		for entry := range demand {
			assert.Equal(t, targets.Get(e.Name, entry), 1)
		}
	}
}

// TestForwardToPeerWithHeadroom guards against forwarding an urgent request to
// an entry that can't start it either.
func TestForwardToPeerWithHeadroom(t *testing.T) {
	rng := newRand(t)
	peers := []Peer{{Name: "a"}, {Name: "b", Headroom: 1}, {Name: "c", Headroom: -1}}
	name, ok := ChoosePeer(peers, rng)
	assert.Assert(t, ok && name == "b")
	_, ok = ChoosePeer(peers[2:], rng)
	assert.Assert(t, !ok)
}

// TestRetriesStayBelowATenth guards against retries that amplify an overload.
func TestRetriesStayBelowATenth(t *testing.T) {
	b := NewRetryBudget()
	retries := 0
	for range 10_000 {
		b.RecordRequest()
		for b.AllowRetry() {
			retries++
		}
	}
	assert.Assert(t, retries > 900 && retries <= 1001, "%d retries", retries)
}

// TestBackoffStaysInBounds guards against an overflow after many failures.
func TestBackoffStaysInBounds(t *testing.T) {
	rng := newRand(t)
	b := Backoff{Base: 100, Max: 5 * tmclock.Second}
	for failures := range 200 {
		d := b.Delay(failures, rng)
		assert.Assert(t, d >= 50 && d <= 5000)
	}
	assert.Equal(t, Surplus(2, 5, 4), 1)
	assert.Equal(t, Surplus(2, 5, 0), 3)
	assert.Equal(t, Surplus(6, 5, 0), 0)
}
