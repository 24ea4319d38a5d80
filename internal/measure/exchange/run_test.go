package exchange

import (
	"math"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkRun prints the table, past the limit that testing has for its log.
func BenchmarkRun(b *testing.B) {
	for b.Loop() {
		if err := Run(os.Stdout); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a measurement whose methods are wrong by themselves: without
// loss both have to end with the true counts.
func TestViewsConvergeWithoutLoss(t *testing.T) {
	for _, w := range ways {
		samples := measure(setting{entries: 9, cells: 30, step: true}, w, 1).samples
		last := samples[len(samples)-1]
		assert.Assert(t, last.worst < 0.001, "%s: error %v", w.name, last.worst)
	}
}

// Guards against a variance that falls at another rate than that of the theory,
// 1/(2*sqrt(e)) per cycle.
func TestAveragingHasTheKnownRate(t *testing.T) {
	m := &epidemic{period: 500}
	f := newFleet(setting{entries: 1000, cells: 1}, 1, m)
	before := variance(m.mean)
	const cycles = 8
	f.advance(500 * cycles)
	rate := math.Pow(variance(m.mean)/before, 1.0/cycles)
	assert.Assert(t, math.Abs(rate-1/(2*math.Sqrt(math.E))) < 0.05, "variance falls by %v per cycle", rate)
}

func variance(mean [][]float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range mean {
		sum += v[0]
		squares += v[0] * v[0]
	}
	n := float64(len(mean))
	return squares/n - sum/n*sum/n
}
