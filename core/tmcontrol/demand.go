package tmcontrol

import (
	"math"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmstraggler"
)

// demandTimeConstant is the time constant of the smoothed demand of a pool: long
// enough to average over jobs, short compared with a burst.
const demandTimeConstant = 800 * tmclock.Millisecond

// slackShare is the fraction of their slack that jobs may wait for instances. The
// rest is for run times that are longer than declared.
const slackShare = 0.25

// demand is the work that jobs bring to a pool, in thousandths of a core. Double
// exponential smoothing gives its trend, which is needed because an instance that
// is ordered now helps only when its move is over.
type demand struct {
	smoothed, doublySmoothed float64
	at                       tmclock.Millis
	// slack is the mean time in ms for which a job can wait and still meet its latency
	// objective.
	slack tmstraggler.Mean
	// recentSizes holds the sizes that the pool has needed within shrinkDelay in
	// decreasing order, each with the last time at which it was needed.
	recentSizes []wantedSize
	// loggedAt is when the size of the pool was last logged, loggedWant and loggedHave
	// the values logged then.
	loggedAt               tmclock.Millis
	loggedWant, loggedHave int
}

// wantedSize is a number of instances and when it was needed.
type wantedSize struct {
	n  int
	at tmclock.Millis
}

// horizon returns how far ahead demand has to be forecast if an ordered instance
// arrives after lead. It is shorter than lead, because jobs can wait for a fraction
// of their slack.
func (d *demand) horizon(lead tmclock.Span) tmclock.Span {
	return max(0, lead-tmclock.Span(slackShare*d.slack.Value()))
}

// recentMax records how many instances the pool needs now and returns the most
// that it has needed within shrinkDelay.
func (d *demand) recentMax(n int, now tmclock.Millis) int {
	for len(d.recentSizes) > 0 && d.recentSizes[len(d.recentSizes)-1].n <= n {
		d.recentSizes = d.recentSizes[:len(d.recentSizes)-1]
	}
	d.recentSizes = append(d.recentSizes, wantedSize{n: n, at: now})
	for now.Sub(d.recentSizes[0].at) > shrinkDelay {
		d.recentSizes = d.recentSizes[1:]
	}
	return d.recentSizes[0].n
}

func (d *demand) decay(now tmclock.Millis) {
	x := float64(now.Sub(d.at)) / float64(demandTimeConstant)
	left := math.Exp(-x)
	d.doublySmoothed = (d.doublySmoothed + d.smoothed*x) * left
	d.smoothed *= left
	d.at = now
}

// add records work, in thousandths of a core times ms, that arrived the time age
// ago. Without the age, jobs that were accepted while the store was slow or
// unavailable would look like a burst, because they become known all at once.
func (d *demand) add(work float64, age tmclock.Span, now tmclock.Millis) {
	d.decay(now)
	x := float64(age) / float64(demandTimeConstant)
	share := work / float64(demandTimeConstant) * math.Exp(-x)
	d.smoothed += share
	d.doublySmoothed += share * x
}

// forecast returns the expected demand at the given time from now. While demand
// falls, it returns the current demand.
func (d *demand) forecast(after tmclock.Span) float64 {
	lead := d.smoothed - d.doublySmoothed
	return math.Max(d.smoothed, d.smoothed+lead+lead*float64(after)/float64(demandTimeConstant))
}

func (c *Controller) demandOf(service string) *demand {
	d := c.fleet.demands[service]
	if d == nil {
		d = &demand{}
		c.fleet.demands[service] = d
	}
	return d
}

// addOccurrence adds the work of a new occurrence to the demand of its pool.
func (c *Controller) addOccurrence(o *occurrence, now tmclock.Millis, wall int64) {
	q, ok := c.rules.Queues[o.job.spec.Queue]
	if !ok || o.job.longRunning {
		return
	}
	if c.fleet.firstWorkAt == 0 {
		c.fleet.firstWorkAt = now
	}
	out := c.workload(o)
	d := c.demandOf(q.Service)
	// Wall clocks differ slightly between nodes.
	age := max(0, tmclock.Span(wall-o.job.spec.Due(o.number)))
	d.add(out.work, age, now)
	d.slack.Add(float64(q.Objective) + (q.Stretch-1)*out.fullCriticalPath)
}
