package tmmove

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/internal/tmseed"
)

func TestMain(m *testing.M) { tmseed.Main(m) }

// countBurstMoves simulates 10 minutes in which the queues burst one after the
// other, and returns the number of moves.
func countBurstMoves(policy Policy, seed uint64) int {
	rng := rand.New(rand.NewPCG(seed, 4))
	clock := tmclock.NewManual(1)
	m := NewMover(policy, clock)
	moves := 0
	for s := range 600 {
		clock.Advance(tmclock.Second)
		var ds []Demand
		for p := range 5 {
			offered := 0.05 * 8
			if s/6%5 == p {
				offered = 4.8 * 8 * (0.9 + 0.2*rng.Float64())
			}
			ds = append(ds, Demand{Pool: fmt.Sprint("p", p), Instances: 10, OfferedLoad: offered, DrainBudget: 2})
		}
		moves += len(m.Decide(ds))
	}
	return moves
}

// TestNoMoveOnBursts guards against moves in response to bursts of seconds.
func TestNoMoveOnBursts(t *testing.T) {
	assert.Equal(t, countBurstMoves(DefaultPolicy(), tmseed.First()), 0)
	eager := DefaultPolicy()
	eager.Window, eager.ShortageDelay, eager.Cooldown = tmclock.Second, 0, 0
	assert.Assert(t, countBurstMoves(eager, tmseed.First()) > 100, "negative control: no hysteresis")
}

// TestMoverBounds guards against moves that exceed a budget or empty a pool, and
// against a lasting shortage while another pool could give instances.
func TestMoverBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := tmclock.NewManual(1)
		m := NewMover(DefaultPolicy(), clock)
		sizes := rapid.SliceOfN(rapid.IntRange(1, 12), 2, 6).Draw(t, "sizes")
		utilization := rapid.SliceOfN(rapid.Float64Range(0, 3), len(sizes), len(sizes)).Draw(t, "use")
		for range 400 {
			clock.Advance(tmclock.Second)
			var ds []Demand
			for i, n := range sizes {
				ds = append(ds, Demand{Pool: fmt.Sprint(i), Instances: n, OfferedLoad: utilization[i] * float64(n), DrainBudget: 1})
			}
			donated := map[string]int{}
			for _, mv := range m.Decide(ds) {
				donated[mv.From] += mv.Count
				assert.Assert(t, mv.From != mv.To && donated[mv.From] <= 1, "move exceeds the drain budget: %v", mv)
				var from, to int
				_, _ = fmt.Sscan(mv.From, &from)
				_, _ = fmt.Sscan(mv.To, &to)
				assert.Assert(t, sizes[from] > 1, "move empties the pool: %v", mv)
				utilization[from] *= float64(sizes[from]) / float64(sizes[from]-1)
				utilization[to] *= float64(sizes[to]) / float64(sizes[to]+1)
				sizes[from]--
				sizes[to]++
			}
		}
		for i := range sizes {
			for j := range sizes {
				left := utilization[j] * float64(sizes[j])
				spare := sizes[j] > 1 && left/float64(sizes[j]-1) < 0.5
				assert.Assert(t, utilization[i] < 1 || !spare, "pool %d is short although pool %d has spare instances", i, j)
			}
		}
	})
}

// TestChooseInstances guards against a move that takes instances out of two
// zones.
func TestChooseInstances(t *testing.T) {
	var cfg tmfleet.Config
	for i, zone := range []string{"a", "b", "b"} {
		cfg = cfg.WithZones(cfg.Zones().With(zone, tmfleet.NewZone(zone, "west", false)))
		name := fmt.Sprint("w", i)
		in := tmfleet.NewInstance(tmfleet.InstanceParams{Name: name, Zone: zone, Pool: "p"})
		cfg = cfg.WithInstances(cfg.Instances().With(name, in))
	}
	assert.DeepEqual(t, ChooseInstances(cfg, "p", 3, map[string]int{"w1": 5}), []string{"w2", "w1"})
}

// TestCalendar guards against accepting a holiday that does not end after it
// begins.
func TestCalendar(t *testing.T) {
	_, err := NewCalendar(Holiday{From: 5, Return: 5})
	assert.ErrorIs(t, err, ErrHoliday)
}

// TestEarlyReturn guards against waiting for the calendar when demand has already
// returned, and against a reserve too small for the urgent work.
func TestEarlyReturn(t *testing.T) {
	day := tmclock.Millis(24 * tmclock.Hour)
	c, err := NewCalendar(Holiday{From: 7 * day, Return: 16 * day, MaxEarly: tmclock.Hour})
	assert.NilError(t, err)
	a := NewScheduledProvisioner(c, 10*tmclock.Minute)
	want := func(at tmclock.Millis, demand float64) int {
		return a.DesiredInstances(Observation{Wall: at, Demand: demand, UrgentDemand: demand / 10, Total: 20})
	}
	for h := range tmclock.Millis(7 * 24) {
		assert.Equal(t, want(h*day/24, 12), 20)
	}
	assert.Equal(t, want(8*day, 0.5), 9)
	assert.Equal(t, want(9*day, 8), 20)
	assert.Equal(t, want(10*day, 1), 20)
	scheduled := NewScheduledProvisioner(c, 10*tmclock.Minute)
	scheduled.DesiredInstances(Observation{Wall: 6 * day, Demand: 12, UrgentDemand: 1, Total: 20})
	at := 16*day - tmclock.Millis(tmclock.Hour+10*tmclock.Minute+startMargin)
	assert.Equal(t, scheduled.DesiredInstances(Observation{Wall: at - 1, Demand: 1, Total: 20}), 8)
	assert.Equal(t, scheduled.DesiredInstances(Observation{Wall: at, Demand: 1, Total: 20}), 20)
}

func ExampleMover_Decide() {
	clock := tmclock.NewManual(1)
	m := NewMover(DefaultPolicy(), clock)
	for range 120 {
		clock.Advance(tmclock.Second)
		moves := m.Decide([]Demand{
			{Pool: "scans", Instances: 8, OfferedLoad: 9, DrainBudget: 2},
			{Pool: "reports", Instances: 10, OfferedLoad: 5, DrainBudget: 2},
		})
		for _, mv := range moves {
			fmt.Println(mv.Count, "from", mv.From, "to", mv.To)
		}
		if len(moves) > 0 {
			break
		}
	}
	// Output: 2 from reports to scans
}
