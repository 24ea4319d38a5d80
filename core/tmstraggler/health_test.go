package tmstraggler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
)

// observe returns runs of a workload with that share of long ones, of which the first are long.
func observe(runs, long int, tail float64) []Observation {
	out := make([]Observation, runs)
	for i := range out {
		out[i] = Observation{StartedAt: 1000, Ratio: 1, TailShare: tail}
		if i < long {
			out[i].Ratio = 7
		}
	}
	return out
}

// Guards against endpoints that are avoided as slow because they run some long tasks: the
// long ones of a heavy tail, alone or as all that is left of many.
func TestLongTasksAreNoSlowEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		ended, runs, long int
		tail              float64
		slow              bool
	}{
		"one long task":                   {runs: 1, long: 1, tail: 0.01},
		"long tasks that are left":        {ended: 30, runs: 2, long: 2, tail: 0.03},
		"few of many":                     {runs: 10, long: 4, tail: 0.01},
		"all tasks of a slow endpoint":    {runs: 3, long: 3, tail: 0.03, slow: true},
		"endpoint that has become slow":   {ended: 20, runs: 10, long: 10, tail: 0.03, slow: true},
		"slow endpoint with a known tail": {runs: 8, long: 6, tail: 0.1, slow: true},
	} {
		h := &Health{}
		for range c.ended {
			h.Done(1000, 1500, false)
		}
		_, slow := h.Judge(observe(c.runs, c.long, c.tail))
		assert.Equal(t, slow, c.slow, name)
	}
}

// Guards against estimates that follow the tail of a workload, and against a median that hides
// one of two kinds of tasks.
func TestTypicalTimeIsRobust(t *testing.T) {
	var tail, kinds Times
	for i := range 300 {
		ms := 800.0
		if i%33 == 20 {
			ms = 5600
		}
		tail.Add(ms)
		kinds.Add([]float64{300, 300, 3000}[i%3])
	}
	assert.Equal(t, tail.Typical(), 800.0)
	assert.Assert(t, tail.TailShare() > 0.015 && tail.TailShare() < 0.06, "%v", tail.TailShare())
	assert.Equal(t, kinds.Typical(), kinds.Mean())
}

// Guards against tasks that use up their attempts on an endpoint that fails all it starts, and
// against endpoints that are avoided for workloads that fail everywhere.
func TestFailingEndpoint(t *testing.T) {
	for _, c := range []struct {
		elsewhere float64
		needed    int
	}{{0, 2}, {0.1, 2}, {0.3, 4}, {0.9, maxFailures}, {1, maxFailures}} {
		h, n := &Health{}, 0
		for found := false; !found; n++ {
			_, found = h.Failed(1000, c.elsewhere)
			assert.Assert(t, h.HadTrouble(1001))
		}
		assert.Equal(t, n, c.needed, "elsewhere %v", c.elsewhere)
	}
}

// Guards against runs that were started before an endpoint began to fail and count as a proof
// that it works.
func TestOnlyLaterSuccessClears(t *testing.T) {
	h, p := &Health{}, &Pool{}
	p.SetUsable(4)
	h.Failed(1000, 0)
	assert.Assert(t, !h.Done(900, 1100, false))
	s, found := h.Failed(1200, 0)
	assert.Assert(t, found)
	avoided, _ := p.Suspect("e", h, s, 1200)
	assert.Assert(t, avoided)
	assert.Assert(t, !h.Done(1100, 1300, false))
	assert.Assert(t, !h.OnTrial(1300))
	assert.Assert(t, h.OnTrial(1200+2000))
	assert.Assert(t, h.Done(3300, 3400, false))
	assert.Assert(t, !h.IsSuspected())
}

// Guards against an endpoint that fails for long and gets a task again and again.
func TestFailedTrialsAreSpacedOut(t *testing.T) {
	h, p := &Health{}, &Pool{}
	h.Failed(1000, 0)
	now, trials := tmclock.Millis(1000), 0
	for now < 31000 {
		s, found := h.Failed(now, 0)
		assert.Assert(t, found)
		p.Suspect("e", h, s, now)
		now = h.AvoidedUntil()
		trials++
	}
	assert.Assert(t, trials <= 6, "%d trials", trials)
}

// Guards against a pool that stands still because all its endpoints are suspected.
func TestHalfOfAPoolIsAvoided(t *testing.T) {
	for usable, most := range map[int]int{1: 1, 2: 1, 3: 1, 8: 4} {
		p := &Pool{}
		p.SetUsable(usable)
		healths := make([]Health, usable)
		for i := range healths {
			p.Suspect(fmt.Sprint(i), &healths[i], Suspicion{Cause: Slow, Severity: float64(i)}, 1000)
		}
		assert.Equal(t, len(p.Suspects()), most, "of %d", usable)
		worst := &Health{}
		avoided, released := p.Suspect("worst", worst, Suspicion{Cause: Failing, Severity: 2}, 1000)
		assert.Assert(t, avoided && released != "", "the worst is avoided")
		assert.Equal(t, len(p.Suspects()), most, "of %d", usable)
	}
}

// Guards against endpoints that are removed or start anew and keep others from being avoided.
func TestNewLifetimeIsNoSuspect(t *testing.T) {
	p := &Pool{}
	p.SetUsable(2)
	var a, b Health
	p.Suspect("a", &a, Suspicion{Cause: Failing, Severity: 3}, 1000)
	a = Health{}
	avoided, released := p.Suspect("b", &b, Suspicion{Cause: Slow, Severity: 3}, 1000)
	assert.Assert(t, avoided && released == "")
}

// Guards against copies beyond a tenth of the runs.
func TestCopiesAreBounded(t *testing.T) {
	var c Copies
	copies := 0
	for range 500 {
		c.Run()
		if c.MayTake() {
			c.Take()
			copies++
		}
	}
	assert.Assert(t, copies <= 50 && copies >= 48, "%d", copies)
}

// Guards against copies of long tasks that are about to end.
func TestStraggler(t *testing.T) {
	var times Times
	assert.Assert(t, !times.IsStraggler(100, 10000))
	for range 4 {
		times.Add(800)
	}
	assert.Assert(t, times.IsStraggler(2000, 5600))
	assert.Assert(t, !times.IsStraggler(5000, 5600))
	assert.Assert(t, !times.IsStraggler(700, 1500))
}
