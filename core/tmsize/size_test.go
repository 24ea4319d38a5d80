package tmsize_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmsize"
	"turmericmoor/internal/tmseed"
)

func TestMain(m *testing.M) { tmseed.Main(m) }

func ExampleEstimator() {
	e := tmsize.NewEstimator()
	workload := tmsize.Workload{Team: "crews", Queue: "scans"}
	declared := tmsize.Size{Cores: 1, MemoryMB: 512}
	for range 20 {
		e.Observe(workload, declared, tmsize.Size{Cores: 4, MemoryMB: 600})
	}
	fmt.Println(e.Correct(workload, declared))
	// Output: {4 512}
}

// TestRobust guards against corrections that are distorted by outliers, up to a
// quarter of the samples, or by the samples of another workload.
func TestRobust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		truth := rapid.Float64Range(0.1, 10).Draw(t, "factor")
		e := tmsize.NewEstimator()
		workload, other := tmsize.Workload{Team: "a", Queue: "q"}, tmsize.Workload{Team: "b", Queue: "q"}
		declared := tmsize.Size{Cores: 2, MemoryMB: 1000}
		for i := range 64 {
			ratio := truth * (0.9 + 0.2*rng.Float64())
			if i%4 == 0 {
				ratio = []float64{0.001, 1000}[rng.IntN(2)]
			}
			e.Observe(workload, declared, tmsize.Size{Cores: 2 * ratio, MemoryMB: 1000 * truth})
			e.Observe(other, declared, tmsize.Size{Cores: 100, MemoryMB: 9e6})
		}
		got := e.Correct(workload, declared)
		if truth > 1.7 || truth < 0.6 {
			assert.Assert(t, got.Cores > 2*truth*0.85 && got.Cores < 2*truth*1.15, "corrected size %v for a true factor of %v", got, truth)
			assert.Assert(t, got.MemoryMB > 999*truth && got.MemoryMB < 1001*truth)
		}
		bounded := e.Correct(other, declared)
		assert.Assert(t, bounded.MemoryMB <= 16*declared.MemoryMB)
	})
}

// TestNeverRuns guards against retrying a task that fits on no instance forever,
// and against refusing a task permanently after one small instance rejected it.
func TestNeverRuns(t *testing.T) {
	fleet := []tmsize.Size{{Cores: 32, MemoryMB: 64e3}, {Cores: 64, MemoryMB: 32e3}}
	assert.Assert(t, tmsize.NeverRuns(tmsize.Size{Cores: 64, MemoryMB: 64e3}, fleet))
	assert.Assert(t, !tmsize.NeverRuns(tmsize.Size{Cores: 64, MemoryMB: 1}, fleet))
	var rejections tmsize.Rejections
	for i, want := range []bool{false, false, true} {
		name := fmt.Sprint("w", i)
		assert.Equal(t, rejections.Add(name, 10), want)
		assert.Equal(t, rejections.Add(name, 10), want)
		assert.Assert(t, rejections.Contains(name))
	}
	var few tmsize.Rejections
	assert.Assert(t, few.Add("w0", 1))
	_, err := tmsize.New(-1, 5)
	assert.ErrorIs(t, err, tmsize.ErrSize)
}
