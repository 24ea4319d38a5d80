package tmsizing_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmsizing"
)

// Guards against ordering instances for the current demand of a burst: it had doubled by
// the time they arrived. The forecast has to be the demand at the end of a move.
func TestForecastFollowsARamp(t *testing.T) {
	const slope, move = 5.0, 1800.0
	d := &tmsizing.Demand{}
	for now := tmclock.Millis(10); now <= 5000; now += 10 {
		d.Add(slope*float64(now)*10, 0, now)
	}
	truth := slope * (5000 + move)
	assert.Assert(t, math.Abs(d.Forecast(tmclock.Span(move))-truth) < 0.05*truth, "forecast %.0f, expected %.0f", d.Forecast(tmclock.Span(move)), truth)
}

// Guards against a forecast that differs from a steady demand, or is below a falling one.
func TestForecastOfSteadyAndFallingDemand(t *testing.T) {
	d := &tmsizing.Demand{}
	now := tmclock.Millis(10)
	for ; now <= 10000; now += 10 {
		d.Add(1000*10, 0, now)
	}
	assert.Assert(t, math.Abs(d.Forecast(1800)-1000) < 50, "%.0f", d.Forecast(1800))
	d.Decay(now + 500)
	assert.Equal(t, d.Forecast(1800), d.Current())
}

// Guards against mistaking delayed jobs for a burst: jobs accepted over eight seconds
// while the store was slow became known all at once and looked like a demand of
// several times the fleet.
func TestDelayedJobsAreNoBurst(t *testing.T) {
	d := &tmsizing.Demand{}
	now := tmclock.Millis(10000)
	for age := tmclock.Span(0); age < 8000; age += 10 {
		d.Add(1000*10, age, now)
	}
	assert.Assert(t, d.Forecast(1800) < 1.1*1000, "%.0f", d.Forecast(1800))
}

// Guards against instances that are ordered for one large job as if more of its kind would follow: they
// arrived when it had ended, and left again.
func TestOneLargeJobIsNoTrend(t *testing.T) {
	const work, move = 100_000_000, 1800
	d := &tmsizing.Demand{}
	d.Add(work, 0, 10)
	assert.Assert(t, d.Forecast(move) < 3*d.Current(), "%.0f for a demand of %.0f", d.Forecast(move), d.Current())
}
