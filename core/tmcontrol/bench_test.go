package tmcontrol

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tminterference"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmshard"
)

// benchFleet returns a controller with that many endpoints in five pools, loaded with a
// backlog of jobs that fills them.
func benchFleet(endpoints, jobs int) (*Controller, tmclock.Millis) {
	c := New(tmshard.Whole, testBounds(), 1, func(tmevent.Event) {})
	rules := Rules{Version: 1, Queues: map[string]Queue{}, Services: map[string]Service{}, Teams: map[string]Team{"t": {Name: "t"}}}
	for i := range 5 {
		q := fmt.Sprintf("q%d", i)
		s := fmt.Sprintf("s%d", i)
		rules.Queues[q] = Queue{Name: q, Service: s, Attempts: 2, Stretch: 1.6, Objective: 600}
		rules.Services[s] = Service{Name: s}
	}
	now := tmclock.Millis(1000)
	c.Apply(DesiredState{Rules: rules}, now)
	for i := range endpoints {
		id := fmt.Sprintf("e%d", i)
		c.SetEndpoint(EndpointInfo{
			ID: id, Service: fmt.Sprintf("s%d", i%5), Address: "10.0.0.1:1", Instance: "i" + id,
			Capacity: tmjob.Resources{CPU: 64000, Mem: 128000}, StartedAt: 1,
		}, now)
	}
	c.Loaded()
	for i := range endpoints {
		id := fmt.Sprintf("e%d", i)
		c.HoldAnswered(id, HoldResponse{Clock: 1000, StartedAt: 1}, c.callTo(id, now), now)
	}
	for i := range jobs {
		c.Submitted(tmjob.Job{ID: fmt.Sprintf("j%d", i), Queue: fmt.Sprintf("q%d", i%5), Team: "t", Accepted: 1000, Steps: []tmjob.Step{
			{Count: 8, Size: tmjob.Resources{CPU: 6000, Mem: 3000}, Estimate: 1000},
			{Count: 8, Size: tmjob.Resources{CPU: 6000, Mem: 3000}, Estimate: 1000, After: []int{0}},
		}})
	}
	c.Tick(now, 1000)
	return c, now
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{50, 300, 740} {
		b.Run(fmt.Sprintf("%d_endpoints", n), func(b *testing.B) {
			c, now := benchFleet(n, 4*n)
			c.Plan(now, 1000)
			b.ResetTimer()
			for range b.N {
				now++
				c.Tick(now, int64(now))
				c.Plan(now, int64(now))
				c.TakeOrders(now)
			}
		})
	}
}

// BenchmarkPlanSuspects plans while a crash storm has left hundreds of suspects.
func BenchmarkPlanSuspects(b *testing.B) {
	for _, n := range []int{50, 300, 740} {
		b.Run(fmt.Sprintf("%d_endpoints", n), func(b *testing.B) {
			c, now := benchFleet(n, 4*n)
			suspects := 0
			for _, j := range c.openJobs {
				for _, t := range j.occurrences[0].steps[0].tasks {
					if suspects < 500 {
						t.crashes, t.suspicions, t.suspectedAt, j.hasSuspects = 1, maxSuspicions-1, now, true
						suspects++
					}
				}
			}
			c.Plan(now, 1000)
			b.ResetTimer()
			for range b.N {
				now++
				c.Tick(now, int64(now))
				c.Plan(now, int64(now))
				c.TakeOrders(now)
			}
		})
	}
}

// chooser returns a function that chooses an endpoint for a task of a step that is limited for
// each endpoint, while each endpoint has that many runs.
func chooser(runs int) func() {
	const endpoints = 20
	c, now := benchFleet(5*endpoints, 0)
	c.Submitted(tmjob.Job{ID: "wide", Queue: "q0", Team: "t", Accepted: 1000, Steps: []tmjob.Step{
		{Count: endpoints * runs, Size: tmjob.Resources{CPU: 1, Mem: 1}, Estimate: 100_000, PerEndpoint: runs + 1},
	}})
	c.Tick(now, 1000)
	p := c.pools(now)["s0"]
	s := c.openJobs[0].occurrences[0].steps[0]
	for i, t := range s.tasks {
		c.addRun(t, p.endpoints[i%endpoints], 1)
	}
	return func() { c.choose(s, p) }
}

func BenchmarkChoose(b *testing.B) {
	choose := chooser(600)
	for b.Loop() {
		choose()
	}
}

// BenchmarkPlanBurst places 200 tasks in one pass, 40 in each of five pools.
func BenchmarkPlanBurst(b *testing.B) {
	for _, n := range []int{350, 3000} {
		b.Run(fmt.Sprintf("%d_endpoints", n), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				c, now := benchFleet(n, 100)
				c.window.limit = maxStartWindow
				b.StartTimer()
				c.Plan(now, 1000)
			}
		})
	}
}

// BenchmarkChooseBesideOthers chooses among 350 endpoints with six workloads each.
func BenchmarkChooseBesideOthers(b *testing.B) {
	effects := map[string][]tminterference.Effect{
		"nothing_known":    nil,
		"others_disturb":   {{Workload: "w1", Beside: "w2", Slowdown: 2}},
		"workload_suffers": {{Workload: "q0", Beside: "w2", Slowdown: 2}},
	}
	for _, name := range slices.Sorted(maps.Keys(effects)) {
		b.Run(name, func(b *testing.B) {
			c, now := benchFleet(5*350, 1)
			c.neighbours.costs, c.neighbours.version = tminterference.CostsOf(effects[name]), 1
			p, s := c.pools(now)["s0"], c.openJobs[0].occurrences[0].steps[0]
			for _, e := range p.endpoints {
				for i := range 6 {
					e.place.Enter(fmt.Sprintf("w%d", i), now)
				}
			}
			for b.Loop() {
				c.choose(s, p)
			}
		})
	}
}

// Guards against an owner whose passes take the longer the more it has placed: with 600 runs
// on each of 21 endpoints a choice took over a millisecond, and no renewal came in time.
func TestCostOfAChoiceDoesNotGrowWithTheRuns(t *testing.T) {
	const maxRatio = 10
	fastest := func(runs int) time.Duration {
		choose := chooser(runs)
		best := time.Hour
		for range 20 {
			began := time.Now()
			for range 20 {
				choose()
			}
			best = min(best, time.Since(began))
		}
		return best
	}
	few, many := fastest(5), fastest(2000)
	assert.Assert(t, many < maxRatio*few, "%v with 5 runs, %v with 2,000", few, many)
}

// fillFleet occupies all endpoints and adds that many waiting tasks, in jobs of 8 by 20 teams.
func fillFleet(c *Controller, waiting int, now tmclock.Millis) {
	c.Submitted(tmjob.Job{ID: "filler", Queue: "q0", Team: "t", Accepted: 1000, Steps: []tmjob.Step{
		{Count: len(c.endpoints), Size: tmjob.Resources{CPU: 62_000, Mem: 3000}, Estimate: 100_000},
	}})
	for i := range waiting / 8 {
		c.Submitted(tmjob.Job{ID: fmt.Sprintf("w%d", i), Queue: fmt.Sprintf("q%d", i%5), Team: fmt.Sprintf("t%d", i%20), Accepted: 1000, Steps: []tmjob.Step{
			{Count: 8, Size: tmjob.Resources{CPU: int64(5000 + i%2000), Mem: 3000}, Estimate: 1000},
		}})
	}
	c.Tick(now, 1000)
	for i, t := range c.jobs["filler"].occurrences[0].steps[0].tasks {
		c.addRun(t, c.endpoints[fmt.Sprintf("e%d", i)], 1)
	}
}

// BenchmarkPlanFullPool plans while nothing can be placed, which is when a pass is longest.
func BenchmarkPlanFullPool(b *testing.B) {
	for _, endpoints := range []int{350, 3000} {
		for _, waiting := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("%d_endpoints_%d_tasks", endpoints, waiting), func(b *testing.B) {
				c, now := benchFleet(endpoints, 0)
				fillFleet(c, waiting, now)
				b.ReportAllocs()
				for b.Loop() {
					now += 20
					c.Plan(now, int64(now))
				}
			})
		}
	}
}
