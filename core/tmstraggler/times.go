// Package tmstraggler tells uneven work from uneven endpoints. It keeps robust statistics of
// run times, judges endpoints by their runs, and bounds how many of them are avoided on
// suspicion.
//
// A heavy tail makes means of run times misleading, and of the runs of a step the long ones
// remain, so that after a while they are all that a healthy endpoint runs. An endpoint is
// therefore judged by how improbable its long runs are, given how often runs of their workload
// are long, and by how improbable its failures are, given how often runs of their workload
// fail elsewhere.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package tmstraggler

import (
	"math"
	"slices"
)

const (
	// minSampleWeight is the minimum weight of the newest value in a moving mean.
	minSampleWeight = 0.05
	// recentTimes is the number of run times of which the median is taken.
	recentTimes = 32
	// minTailWeight is the minimum weight of the newest run in the share of long runs. A
	// tail of 3 in 100 runs is not seen in fewer runs.
	minTailWeight = 0.01
	// LongFactor is the ratio of a run time to the median of its workload from which on the
	// run is long.
	LongFactor = 2.5
	// maxTailShare is the share of long runs up to which they are the tail of a workload.
	// Beyond it the workload has several kinds of tasks, of which the median shows only one.
	maxTailShare = 0.1
	// maxLongShare is the highest probability of a long run: at most half of the runs are above
	// the median.
	maxLongShare = 0.5
)

// Mean is a moving mean.
type Mean struct {
	value float64
	count int
}

// Add adds a value.
func (m *Mean) Add(v float64) {
	m.count++
	m.value += (v - m.value) * math.Max(minSampleWeight, 1/float64(m.count))
}

// Value returns the mean, or 0 before the first value.
func (m *Mean) Value() float64 { return m.value }

// Times summarizes the run times of one workload, in milliseconds.
type Times struct {
	mean Mean
	// recent is a ring of the latest run times, sorted holds the same in increasing order.
	recent, sorted []float64
	next           int
	longShare      float64
}

// Add adds the duration of a run.
func (t *Times) Add(ms float64) {
	if len(t.recent) >= MinPeers {
		long := 0.0
		if t.IsLong(ms) {
			long = 1
		}
		n := float64(t.Count() - MinPeers + 1)
		t.longShare += (long - t.longShare) * math.Max(minTailWeight, 1/n)
	}
	t.mean.Add(ms)
	if len(t.recent) < recentTimes {
		t.recent = append(t.recent, ms)
	} else {
		i, _ := slices.BinarySearch(t.sorted, t.recent[t.next])
		t.sorted = slices.Delete(t.sorted, i, i+1)
		t.recent[t.next] = ms
		t.next = (t.next + 1) % recentTimes
	}
	i, _ := slices.BinarySearch(t.sorted, ms)
	t.sorted = slices.Insert(t.sorted, i, ms)
}

// Count returns the number of runs.
func (t *Times) Count() int { return t.mean.count }

// Mean returns the moving mean.
func (t *Times) Mean() float64 { return t.mean.value }

// Median returns the median of the latest run times, or 0 without any.
func (t *Times) Median() float64 {
	n := len(t.sorted)
	if n == 0 {
		return 0
	}
	return (t.sorted[(n-1)/2] + t.sorted[n/2]) / 2
}

// Typical returns the run time to be expected of one task: the median if the workload has a
// heavy tail, otherwise the mean.
func (t *Times) Typical() float64 {
	if t.longShare > 0 && t.longShare <= maxTailShare {
		return t.Median()
	}
	return t.mean.value
}

// MinPeers is the minimum number of runs with which another is compared.
const MinPeers = 2

// CanCompare reports whether enough runs are known to compare another with them.
func (t *Times) CanCompare() bool { return t.Count() >= MinPeers }

// Ratio returns the ratio of a run time to the median.
func (t *Times) Ratio(ms float64) float64 { return ms / math.Max(t.Median(), 1) }

// IsLong reports whether a run time is far above the median.
func (t *Times) IsLong(ms float64) bool { return t.Ratio(ms) > LongFactor }

// TailKnown reports whether the share of long runs was observed on enough runs to see a tail of
// 3 in 100.
func (t *Times) TailKnown() bool { return t.Count() >= 1/minTailWeight }

// LongShare returns the probability that a run is long, with tasks of all kinds.
func (t *Times) LongShare() float64 {
	return math.Min(maxLongShare, math.Max(minTailWeight, t.longShare))
}

// TailShare returns the probability that a run is long. It is above 0, because a workload of
// which no long run is known may have some, and at most maxTailShare, because long runs on slow
// endpoints count as well.
func (t *Times) TailShare() float64 {
	n := math.Min(float64(t.Count()), 1/minTailWeight)
	return math.Min(maxTailShare, math.Max(minTailWeight, (t.longShare*n+0.5)/(n+1)))
}
