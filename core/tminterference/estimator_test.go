package tminterference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
)

// world is a simulated fleet with six workloads, w0 to w5. w1 is slowed by w0 and w3 by w2.
type world struct {
	clock  *tmclock.Manual
	random *rand.Rand
	est    *Estimator
	places []*Place
	// effects holds the true slowdowns by workload and neighbour.
	effects map[[2]int]float64
	// tail is the share of the runs that take seven times as long, slow the factor of the
	// first place.
	tail, slow float64
	// pause is the longest time between two runs in ms.
	pause int
}

func newWorld(seed uint64) *world {
	w := &world{
		clock: tmclock.NewManual(1000), random: rand.New(rand.NewPCG(seed, 1)), est: New(),
		effects: map[[2]int]float64{{1, 0}: 1.5, {3, 2}: 3}, tail: 0.03, slow: 2.5, pause: 10,
	}
	for range 10 {
		w.places = append(w.places, NewPlace())
	}
	return w
}

// run observes one run of a random workload beside up to three others.
func (w *world) run() {
	w.clock.Advance(tmclock.Span(w.pause))
	victim, place := w.random.IntN(6), w.random.IntN(len(w.places))
	// The heavy-tailed workload w4 and the slow place w.places[0] are decoys: w5 runs
	// mostly beside w4, and mostly in the slow place.
	if victim == 4 || victim == 5 {
		place = w.random.IntN(3)
	}
	took := 300 * float64(victim+1) * math.Exp(0.25*w.random.NormFloat64())
	if w.random.Float64() < w.tail || victim == 4 && w.random.Float64() < 2*w.tail {
		took *= 7
	}
	if place == 0 {
		took *= w.slow
	}
	o := Observation{Workload: name(victim), Weight: 1, Place: w.places[place]}
	for i, beside := range w.random.Perm(6)[:w.random.IntN(4)] {
		n := Neighbour{Workload: name(beside), Share: 1}
		if i > 0 {
			n.Share = w.random.Float64()
		}
		if f := w.effects[[2]int{victim, beside}]; f > 0 {
			took /= 1 - n.Share*(1-1/f)
		}
		o.Neighbours = append(o.Neighbours, n)
	}
	o.Millis = took
	w.est.Observe(o, w.clock.Now())
}

func name(i int) string { return fmt.Sprintf("w%d", i) }

func (w *world) known() map[string]float64 {
	found := map[string]float64{}
	for _, e := range w.est.Effects(w.clock.Now()) {
		found[e.Workload+" beside "+e.Beside] = e.Slowdown
	}
	return found
}

// assertFound fails unless both effects are known to within a factor of 1.28.
func (w *world) assertFound(t *testing.T) {
	t.Helper()
	const maxError = 0.25
	known := w.known()
	for pair, factor := range map[string]float64{"w1 beside w0": 1.5, "w3 beside w2": 3} {
		assert.Assert(t, math.Abs(math.Log(known[pair]/factor)) < maxError, "%v", known)
	}
}

// Guards against an estimator that does not find the two pairs of six workloads that disturb
// each other within 2,400 runs (about 100 of them of each pair), or that blames others for
// noise, a heavy tail or a slow endpoint, in these or 2,600 more runs.
func TestDisturbingPairsAreFound(t *testing.T) {
	const seeds, runs = 40, 2400
	for seed := range uint64(seeds) {
		w := newWorld(seed)
		t.Log("seed", seed)
		for i := range 5000 {
			w.run()
			if i%100 != 0 {
				continue
			}
			for pair := range w.known() {
				assert.Assert(t, pair == "w1 beside w0" || pair == "w3 beside w2", "seed %d, run %d: %s is blamed", seed, i, pair)
			}
			if i >= runs {
				w.assertFound(t)
			}
		}
	}
}

// Guards against effects where there are none.
func TestNothingIsBlamedWithoutAnEffect(t *testing.T) {
	for seed := range uint64(40) {
		w := newWorld(seed)
		w.effects = nil
		for i := range 5000 {
			w.run()
			if i%100 == 0 {
				assert.Equal(t, len(w.known()), 0, "seed %d, run %d: %v", seed, i, w.known())
			}
		}
	}
}

// Guards against a figure that becomes so certain by many runs that what the model leaves out
// counts as an effect.
func TestManyRunsBlameNobodyElse(t *testing.T) {
	for seed := range uint64(30) {
		w := newWorld(seed)
		for i := range 20_000 {
			w.pause = i % 2
			w.run()
			if i%500 == 0 && i >= 2400 {
				assert.Equal(t, len(w.known()), 2, "seed %d, run %d: %v", seed, i, w.known())
			}
		}
	}
}

// Guards against figures that outlive what they are based on: an effect ends, and a pair is
// not seen any more.
func TestEvidenceDecays(t *testing.T) {
	w := newWorld(1)
	for range 5000 {
		w.run()
	}
	assert.Equal(t, len(w.known()), 2)
	delete(w.effects, [2]int{3, 2})
	for range 5 * int(HalfLife/10) {
		w.run()
	}
	known := w.known()
	assert.Assert(t, known["w3 beside w2"] == 0 && known["w1 beside w0"] > 0, "%v", known)
	w.clock.Advance(10 * HalfLife)
	assert.Equal(t, len(w.known()), 0)
}

// Guards against a state that grows with the names that it has seen, and against the loss
// of those seen last.
func TestStateIsBounded(t *testing.T) {
	e, place := New(), NewPlace()
	for i := range 10_000 {
		var neighbours []Neighbour
		for k := range 40 {
			neighbours = append(neighbours, Neighbour{Workload: name(i + k), Share: 1})
		}
		for range firstValues + 1 {
			e.Observe(Observation{Workload: name(i), Millis: 100, Weight: 1, Neighbours: neighbours, Place: place}, tmclock.Millis(i+1))
		}
		workloads, pairs := e.Size()
		assert.Assert(t, workloads <= MaxWorkloads && pairs <= MaxPairs)
	}
	assert.Assert(t, e.workloads[name(9999)] != nil && e.workloads[name(9000)] == nil)
}

// Guards against figures that a nonsensical report turns into NaN or infinity.
func TestNonsenseIsIgnored(t *testing.T) {
	w := newWorld(1)
	for range 5000 {
		w.run()
	}
	for _, v := range []float64{math.NaN(), math.Inf(1), 0, -1} {
		n := []Neighbour{{Workload: "w2", Share: 1}}
		w.est.Observe(Observation{Workload: "w3", Millis: v, Weight: 1, Neighbours: n, Place: w.places[0]}, w.clock.Now())
		n[0].Share = v
		w.est.Observe(Observation{Workload: "w3", Millis: 100, Weight: 1, Neighbours: n, Place: w.places[0]}, w.clock.Now())
	}
	w.assertFound(t)
}

// BenchmarkObserve observes runs beside five other workloads.
func BenchmarkObserve(b *testing.B) {
	w := newWorld(1)
	o := Observation{Workload: "w0", Weight: 1, Place: w.places[0], Millis: 500}
	for i := range 5 {
		o.Neighbours = append(o.Neighbours, Neighbour{Workload: name(i), Share: 0.5})
	}
	for b.Loop() {
		w.est.Observe(o, w.clock.Now())
	}
}

// BenchmarkEffects looks at as many pairs as are kept.
func BenchmarkEffects(b *testing.B) {
	e, place := New(), NewPlace()
	for i := range MaxWorkloads {
		o := Observation{Workload: name(i), Weight: 1, Place: place, Millis: 500}
		for k := range MaxPairs / MaxWorkloads {
			o.Neighbours = append(o.Neighbours, Neighbour{Workload: name(k), Share: 1})
		}
		for range 20 {
			e.Observe(o, 1)
		}
	}
	_, pairs := e.Size()
	assert.Equal(b, pairs, MaxPairs)
	for b.Loop() {
		e.Effects(1000)
	}
}
