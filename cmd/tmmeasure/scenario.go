package main

import (
	"fmt"
	"math"
	"slices"
	"sync"

	"turmericmoor/core/tmclock"
)

// Seeds used while the policy was made, and seeds kept back until it was
// final.
var (
	usedSeeds = []uint64{1, 2, 3, 4, 5, 6, 7}
	keptSeeds = []uint64{201, 202}
)

// parallelRuns bounds the runs at a time, because the machine is shared.
const parallelRuns = 5

// outcome is one figure of one run.
type outcome struct {
	value float64
	note  string
}

// measure is one row of the report.
type measure struct {
	name, policy, unit, target string
	// lowIsBad is true when the worst run is the one with the lowest value.
	lowIsBad bool
	used     []outcome
	kept     []outcome
}

// scenario makes the figures of one run.
type scenario struct {
	shape  shape
	policy policy
	run    func(sh shape, p policy, seed uint64) []outcome
	rows   []measure
}

// runAll runs the scenarios on all seeds.
func runAll(scenarios []*scenario) []measure {
	var wg sync.WaitGroup
	free := make(chan struct{}, parallelRuns)
	var mu sync.Mutex
	for _, sc := range scenarios {
		for i := range sc.rows {
			sc.rows[i].used = make([]outcome, len(usedSeeds))
			sc.rows[i].kept = make([]outcome, len(keptSeeds))
		}
		for i, seed := range slices.Concat(usedSeeds, keptSeeds) {
			wg.Go(func() {
				free <- struct{}{}
				defer func() { <-free }()
				out := sc.run(sc.shape, sc.policy, seed)
				mu.Lock()
				defer mu.Unlock()
				sc.put(i, out)
			})
		}
	}
	wg.Wait()
	var rows []measure
	for _, sc := range scenarios {
		rows = append(rows, sc.rows...)
	}
	return rows
}

func (sc *scenario) put(i int, out []outcome) {
	for r := range sc.rows {
		if i < len(usedSeeds) {
			sc.rows[r].used[i] = out[r]
		} else {
			sc.rows[r].kept[i-len(usedSeeds)] = out[r]
		}
	}
}

func ours() policy { return policy{name: "turmericmoor", preempt: true, targets: true} }

func fairness(sh shape) []*scenario {
	var out []*scenario
	for _, p := range []policy{
		ours(),
		{name: "no checkpoints", targets: true},
		{name: "no targets", preempt: true},
		{name: "equal split among entries", local: true},
		{name: "first in first out", fifo: true},
	} {
		out = append(out, &scenario{shape: sh, policy: p, run: runFairness, rows: []measure{
			{name: sh.name + ": worst deviation over 30 s", policy: p.name, unit: "%", target: "5"},
			{name: sh.name + ": time of a returning team to its share", policy: p.name, unit: "s", target: "5"},
		}})
	}
	return out
}

func runFairness(sh shape, p policy, seed uint64) []outcome {
	s := newSim(sh, p, seed)
	s.run(150 * tmclock.Second)
	worst, who, windows := s.stats.worstDeviation(sh.teams)
	back := 0
	for i, t := range sh.teams {
		if t.from > 0 {
			back = i
		}
	}
	value := 100 * worst
	if windows == 0 {
		value = math.NaN()
	}
	took := s.stats.timeToShare(back, returnsAt)
	seconds := float64(took) / 1000
	if took == never {
		seconds = math.Inf(1)
	}
	return []outcome{{value: value, note: fmt.Sprintf("%s, %d windows", who, windows)}, {value: seconds}}
}

// Times of the zone runs: zone 0 stops answering and answers again.
const (
	zoneLost     tmclock.Millis = 20_000
	zoneReturned tmclock.Millis = 45_000
	zoneRunEnds                 = 65 * tmclock.Second
)

func zoneChange(sh shape) []*scenario {
	var out []*scenario
	for _, p := range []policy{
		{name: "turmericmoor"},
		{name: "random", choose: chooseRandom},
		{name: "round robin", choose: chooseRoundRobin},
		{name: "least loaded as last seen", choose: chooseLeastLoaded},
	} {
		out = append(out, &scenario{shape: sh, policy: p, run: runZone, rows: []measure{
			{name: sh.name + ": work done while a zone leaves and returns", policy: p.name, unit: "% of best", target: "95", lowIsBad: true},
			{name: sh.name + ": refused sends per 100 tasks", policy: p.name, unit: "", target: "-"},
		}})
	}
	return out
}

func runZone(sh shape, p policy, seed uint64) []outcome {
	s := newSim(sh, p, seed)
	s.stats.workFrom = zoneLost
	s.onStep = func(s *sim, now tmclock.Millis) {
		for _, w := range s.workers {
			if w.zone == 0 {
				w.down = now >= zoneLost && now < zoneReturned
			}
		}
	}
	s.run(zoneRunEnds)
	st := s.stats
	refused := 0.0
	if st.sends > 0 {
		refused = 100 * float64(st.refusals) / float64(st.sends-st.refusals)
	}
	return []outcome{{value: 100 * st.workDone / st.workBest}, {value: refused}}
}

func urgency(sh shape) []*scenario {
	var out []*scenario
	for _, p := range []policy{ours(), {name: "no checkpoints", targets: true}, {name: "first in first out", fifo: true}} {
		out = append(out, &scenario{shape: sh, policy: p, run: runUrgent, rows: []measure{
			{name: sh.name + ": urgent start p99.9 on a full fleet", policy: p.name, unit: "ms", target: "1000"},
			{name: sh.name + ": checkpoints per urgent request", policy: p.name, unit: "", target: "-"},
		}})
	}
	return out
}

func runUrgent(sh shape, p policy, seed uint64) []outcome {
	s := newSim(sh, p, seed)
	s.run(70 * tmclock.Second)
	waits := s.stats.urgentWaits
	return []outcome{
		{value: quantile(waits, 0.999), note: fmt.Sprintf("%d urgent requests", len(waits))},
		{value: float64(s.stats.checkpoints) / float64(max(1, len(waits)))},
	}
}
