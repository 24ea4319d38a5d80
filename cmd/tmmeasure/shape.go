package main

import (
	"fmt"
	"math/rand/v2"

	"turmericmoor/core/tmclock"
)

// Sizes of section 1.5 of the design page.
const (
	entriesToday   = 9
	slotsPerWorker = 8
)

// team is a row of the table of arrivals.
type team struct {
	name  string
	share int
	// factor is the arrival rate relative to the team's share of the fleet.
	// Burst teams have it as their mean.
	factor float64
	// burst makes 5 times the mean for burstSpan in each burstPeriod, and a
	// twentieth between.
	burst bool
	// from is when the team's arrivals begin.
	from tmclock.Millis
}

const (
	burstPeriod = 40 * tmclock.Second
	burstSpan   = 8 * tmclock.Second
	burstHigh   = 5.0
	burstLow    = 0.05
)

// shape is a customer's fleet and its tasks.
type shape struct {
	name  string
	zones int
	// pools has the number of workers of each pool.
	pools []int
	teams []team
	// A task takes shortMean on average, or longMean for longPart of them,
	// both exponentially distributed.
	shortMean, longMean tmclock.Span
	longPart            float64
	// urgentPart of the tasks of urgent teams is urgent.
	urgentPart float64
}

func (s shape) capacity() int {
	n := 0
	for _, workers := range s.pools {
		n += workers * slotsPerWorker
	}
	return n
}

func (s shape) shares() int {
	n := 0
	for _, t := range s.teams {
		n += t.share
	}
	return n
}

func (s shape) meanRun() float64 {
	return float64(s.shortMean)*(1-s.longPart) + float64(s.longMean)*s.longPart
}

func (s shape) drawRun(rng *rand.Rand) tmclock.Span {
	mean := s.shortMean
	if rng.Float64() < s.longPart {
		mean = s.longMean
	}
	return max(stepSpan, tmclock.Span(rng.ExpFloat64()*float64(mean)))
}

// rate returns the arrivals of team i per millisecond at the given time.
func (s shape) rate(i int, now tmclock.Millis) float64 {
	t := s.teams[i]
	if now.Before(t.from) {
		return 0
	}
	mean := t.factor * float64(s.capacity()) * float64(t.share) / float64(s.shares()) / s.meanRun()
	if !t.burst {
		return mean
	}
	phase := (tmclock.Span(now) + tmclock.Span(i)*burstPeriod/tmclock.Span(len(s.teams))) % burstPeriod
	if phase < burstSpan {
		return mean * burstHigh
	}
	return mean * burstLow
}

func poolName(i int) string { return fmt.Sprintf("p%d", i) }

// returnsAt is when the returning team of the fairness runs comes back.
const returnsAt tmclock.Millis = 60_000

// fairTeams has two large teams and one returning team with steady demand
// above their share, and three with bursts in turn.
func fairTeams() []team {
	return []team{
		{name: "large-1", share: 8, factor: 2},
		{name: "large-2", share: 6, factor: 2},
		{name: "returning", share: 4, factor: 2, from: returnsAt},
		{name: "burst-1", share: 3, factor: 1, burst: true},
		{name: "burst-2", share: 2, factor: 1, burst: true},
		{name: "burst-3", share: 1, factor: 1, burst: true},
	}
}

func perth(teams []team) shape {
	return shape{
		name: "Perth", zones: 3, pools: []int{8, 9, 10, 11, 12}, teams: teams,
		shortMean: 700, longMean: 4000, longPart: 0.1,
	}
}

func hsinchu(teams []team) shape {
	return shape{
		name: "Hsinchu", zones: 4, pools: []int{8, 9, 10, 11, 12}, teams: teams,
		shortMean: 200, longMean: 1500, longPart: 0.1,
	}
}

// steadyTeams offer the whole capacity of the fleet in proportion to shares.
func steadyTeams() []team {
	out := fairTeams()
	for i := range out {
		out[i].factor, out[i].burst, out[i].from = 1.05, false, 0
	}
	return out
}

// urgentShape has long tasks on all slots and 5% urgent requests, so that a run
// has enough of them for a quantile.
func urgentShape(sh shape) shape {
	sh.shortMean, sh.longMean = 1000, 15_000
	sh.urgentPart = 0.05
	for i := range sh.teams {
		sh.teams[i].factor = 1.3
	}
	return sh
}
