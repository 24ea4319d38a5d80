package main

import (
	"math"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmshare"
)

const (
	sampleSpan = 500 * tmclock.Millisecond
	windowSpan = 30 * tmclock.Second
	// settleSpan is what a returning team is given to reach its share.
	settleSpan = 5 * tmclock.Second
	// warmUp is left out at the start of each run.
	warmUp tmclock.Millis = 10_000
	// fullPart is the part of the slots that is busy when all is full.
	fullPart = 0.99
)

// sample is the mean of one interval.
type sample struct {
	at       tmclock.Millis
	running  []float64
	entitled []float64
	busy     float64
}

// stats collects what the runs are judged by.
type stats struct {
	samples     []sample
	now         sample
	steps       int
	workDone    float64
	workBest    float64
	workFrom    tmclock.Millis
	urgentWaits []float64
	checkpoints int
	sends       int
	refusals    int
}

const never = tmclock.Span(math.MaxInt32)

func (st *stats) begun(j *job, now tmclock.Millis) {
	if j.urgent && now > warmUp {
		st.urgentWaits = append(st.urgentWaits, float64(now.Sub(j.arrived)))
	}
}

func (st *stats) done(j *job, now tmclock.Millis) {
	if now >= st.workFrom {
		st.workDone += float64(j.run)
	}
}

// sample adds one step.
func (st *stats) sample(s *sim, now tmclock.Millis) {
	if st.steps == 0 {
		st.now = sample{at: now, running: make([]float64, len(s.running)), entitled: make([]float64, len(s.running))}
	}
	up, busy := 0, 0
	for _, w := range s.workers {
		if !w.down {
			up += slotsPerWorker
			busy += len(w.running)
		}
	}
	if now >= st.workFrom {
		st.workBest += float64(up) * float64(stepSpan)
	}
	n := float64(sampleSpan / stepSpan)
	parts := tmshare.Divide(float64(up), s.claims())
	for i, part := range parts {
		st.now.running[i] += float64(s.running[i]) / n
		st.now.entitled[i] += part / n
	}
	st.now.busy += float64(busy) / float64(up) / n
	st.steps++
	if st.steps == int(n) {
		st.samples = append(st.samples, st.now)
		st.steps = 0
	}
}

// worstDeviation returns the largest deviation of a team from its entitlement
// over any 30 s in which all is full. Windows that have the first 5 s after a
// team's return don't count for that team.
func (st *stats) worstDeviation(teams []team) (worst float64, who string, windows int) {
	size := int(windowSpan / sampleSpan)
	for from := 0; from+size <= len(st.samples); from++ {
		w := st.samples[from : from+size]
		if w[0].at < warmUp || slices.ContainsFunc(w, func(s sample) bool { return s.busy < fullPart }) {
			continue
		}
		windows++
		for i, t := range teams {
			settled := t.from.Add(settleSpan)
			if t.from > 0 && w[0].at < settled && w[size-1].at >= t.from {
				continue
			}
			if d := deviation(w, i); d > worst {
				worst, who = d, t.name
			}
		}
	}
	return worst, who, windows
}

func deviation(w []sample, i int) float64 {
	running, entitled := 0.0, 0.0
	for _, s := range w {
		running += s.running[i]
		entitled += s.entitled[i]
	}
	if entitled < float64(len(w)) {
		return 0
	}
	return math.Abs(running-entitled) / entitled
}

// timeToShare returns the time from a team's return until it runs 95% of its
// entitlement, in steps of 500 ms.
func (st *stats) timeToShare(i int, from tmclock.Millis) tmclock.Span {
	for _, s := range st.samples {
		if s.at >= from && s.running[i] >= 0.95*s.entitled[i] && s.entitled[i] > 1 {
			return s.at.Add(sampleSpan).Sub(from)
		}
	}
	return never
}

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
