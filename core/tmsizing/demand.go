package tmsizing

import (
	"math"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmstraggler"
)

const (
	// timeConstant is the time constant of the smoothed demand of a pool: long enough to
	// average over jobs, short compared with a burst.
	timeConstant = 800 * tmclock.Millisecond
	// slackShare is the fraction of their slack that jobs may wait for instances. The rest is
	// for run times that are longer than declared.
	slackShare = 0.25
	// trendJobs is the number of jobs of similar work at which half of a trend is believed. A
	// single large job is no trend, but looks like the steepest one.
	trendJobs = 1.0
)

// Demand is the work that jobs bring to a pool, in thousandths of a core. Double exponential
// smoothing (Brown 1959) gives its trend, which is needed because an instance that is ordered
// now helps only when its move is over. Times must not decrease. The zero value has no demand.
type Demand struct {
	smoothed, doublySmoothed float64
	// sum and squares are the decayed sums of the works and of their squares.
	sum, squares float64
	at           tmclock.Millis
	// slack is the mean time in ms for which a job can wait and still meet its latency
	// objective.
	slack tmstraggler.Mean
}

// Add records work, in thousandths of a core times ms, that arrived the time age ago. Without
// the age, jobs that were accepted while the store was slow or unavailable would look like a
// burst, because they become known all at once.
func (d *Demand) Add(work float64, age tmclock.Span, now tmclock.Millis) {
	d.Decay(now)
	x := float64(age) / float64(timeConstant)
	left := math.Exp(-x)
	share := work / float64(timeConstant) * left
	d.smoothed += share
	d.doublySmoothed += share * x
	d.sum += work * left
	d.squares += work * left * work * left
}

// AddSlack records for how many ms a job can wait and still meet its objective.
func (d *Demand) AddSlack(ms float64) { d.slack.Add(ms) }

// Decay advances the smoothed demand to now.
func (d *Demand) Decay(now tmclock.Millis) {
	x := float64(now.Sub(d.at)) / float64(timeConstant)
	left := math.Exp(-x)
	d.doublySmoothed = (d.doublySmoothed + d.smoothed*x) * left
	d.smoothed *= left
	d.sum *= left
	d.squares *= left * left
	d.at = now
}

// Current returns the smoothed demand.
func (d *Demand) Current() float64 { return d.smoothed }

// Horizon returns how far ahead demand has to be forecast if an ordered instance arrives after
// lead. It is shorter than lead, because jobs can wait for a fraction of their slack.
func (d *Demand) Horizon(lead tmclock.Span) tmclock.Span {
	return max(0, lead-tmclock.Span(slackShare*d.slack.Value()))
}

// Forecast returns the expected demand at the given time from now. While demand falls, it
// returns the current demand.
func (d *Demand) Forecast(after tmclock.Span) float64 {
	lead := (d.smoothed - d.doublySmoothed) * d.trendWeight()
	expected := d.smoothed + lead + lead*float64(after)/float64(timeConstant)
	return max(d.smoothed, expected)
}

// trendWeight tells how far the trend is believed, from 0 to 1. It grows with the effective
// number of recent jobs (Kish 1965).
func (d *Demand) trendWeight() float64 {
	if d.squares <= 0 {
		return 0
	}
	n := d.sum * d.sum / d.squares
	return n / (n + trendJobs)
}
