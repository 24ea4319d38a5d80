package tminterference

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against times that are attributed to neighbours that were there before, later, or
// for a part of the time only, and against a task that counts as its own neighbour.
func TestSharesOfNeighbours(t *testing.T) {
	p := NewPlace()
	p.Enter("early", 0)
	p.Enter("a", 100)
	p.Leave("early", 100)
	mark := p.Mark(Mark{}, 100)
	p.Enter("half", 150)
	p.Enter("a", 175)
	p.Enter("late", 200)
	assert.DeepEqual(t, p.Since(mark, "a", 200, nil), []Neighbour{{"a", 0.25}, {"half", 0.5}})
	p.Leave("half", 200)
	assert.DeepEqual(t, p.Since(p.Mark(mark, 200), "a", 300, nil), []Neighbour{{"a", 1}, {"late", 1}})
}

// Guards against a place that grows with the workloads it has seen while a task stays.
func TestPlaceIsBounded(t *testing.T) {
	p := NewPlace()
	p.Enter("stays", 0)
	for i := range 1000 {
		p.Enter(fmt.Sprint(i), 1)
		p.Leave(fmt.Sprint(i), 2)
	}
	assert.Equal(t, len(p.entries), MaxWorkloads)
	assert.Equal(t, p.tasks, 1)
	mark := p.Mark(Mark{}, 10)
	p.Enter("last", 10)
	assert.DeepEqual(t, p.Since(mark, "stays", 20, nil), []Neighbour{{"last", 1}})
}

// Guards against costs that are counted for a place without the neighbour, or again for
// tasks that have such a neighbour already.
func TestCosts(t *testing.T) {
	costs := CostsOf([]Effect{{Workload: "slow", Beside: "noisy", Slowdown: 3}, {Workload: "self", Beside: "self", Slowdown: 1.5}})
	p := NewPlace()
	p.Enter("other", 0)
	assert.Equal(t, costs["slow"].At(p), 0.0)
	p.Enter("slow", 0)
	p.Enter("slow", 0)
	assert.Equal(t, costs["slow"].At(p), 0.0)
	assert.Equal(t, costs["noisy"].At(p), 4.0)
	p.Enter("noisy", 0)
	assert.Equal(t, costs["noisy"].At(p), 0.0)
	assert.Equal(t, costs["slow"].At(p), 2.0)
	assert.Equal(t, costs["self"].At(p), 0.0)
	p.Enter("self", 0)
	assert.Equal(t, costs["self"].At(p), 1.0)
	p.Enter("self", 0)
	assert.Equal(t, costs["self"].At(p), 0.5)
	assert.Assert(t, costs["other"] == nil)
}

// Guards against an endpoint that keeps the slowness of its earlier lifetime.
func TestRestartForgetsSlowness(t *testing.T) {
	w := newWorld(1)
	for range 3000 {
		w.run()
	}
	assert.Assert(t, w.places[0].slowness.value > 0.5)
	w.places[0].Restarted()
	assert.Equal(t, w.places[0].slowness.value, 0.0)
	assert.Equal(t, w.places[0].slowness.variance(), placeVariance)
}
