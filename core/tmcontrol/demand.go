package tmcontrol

import (
	"math"

	"turmericmoor/core/tmclock"
)

// demandMemory is the time constant of the demand of a pool: long enough to average over
// jobs, short against a burst.
const demandMemory = 800 * tmclock.Millisecond

// waitShare is the part of the slack of jobs that they may wait for instances; the
// rest is for run times that are longer than declared.
const waitShare = 0.25

// demand is the work that jobs bring to a pool, in thousandths of a core. It is
// smoothed twice, so that its trend is known: an instance that is ordered now helps
// only when its move is over.
type demand struct {
	once, twice float64
	at          tmclock.Millis
	// slack is how long jobs can wait on the average and still meet their objective,
	// in ms.
	slack runTime
	// wants holds the sizes that the pool has wanted within shrinkAfter, falling,
	// each with the last time at which it was wanted.
	wants []wanted
	// noted is when the size of the pool was last logged, notedWant and notedHave
	// what was said then.
	noted                tmclock.Millis
	notedWant, notedHave int
}

// wanted is a number of instances and when it was wanted.
type wanted struct {
	n  int
	at tmclock.Millis
}

// horizon returns how far ahead demand has to be known for an instance to arrive in
// time, if that takes lead. Jobs can wait for a part of their slack.
func (d *demand) horizon(lead tmclock.Span) tmclock.Span {
	return max(0, lead-tmclock.Span(waitShare*d.slack.mean))
}

// keep takes in how many instances the pool wants now and returns the most that it
// has wanted within shrinkAfter.
func (d *demand) keep(n int, now tmclock.Millis) int {
	for len(d.wants) > 0 && d.wants[len(d.wants)-1].n <= n {
		d.wants = d.wants[:len(d.wants)-1]
	}
	d.wants = append(d.wants, wanted{n: n, at: now})
	for now.Sub(d.wants[0].at) > shrinkAfter {
		d.wants = d.wants[1:]
	}
	return d.wants[0].n
}

func (d *demand) decay(now tmclock.Millis) {
	x := float64(now.Sub(d.at)) / float64(demandMemory)
	left := math.Exp(-x)
	d.twice = (d.twice + d.once*x) * left
	d.once *= left
	d.at = now
}

// add takes in work, in thousandths of a core times ms, that arrived some time ago. Jobs
// that were accepted while the store was slow or away become known at once, which is
// no burst.
func (d *demand) add(work float64, age tmclock.Span, now tmclock.Millis) {
	d.decay(now)
	x := float64(age) / float64(demandMemory)
	share := work / float64(demandMemory) * math.Exp(-x)
	d.once += share
	d.twice += share * x
}

// forecast returns the demand to be expected after a time. While it falls, the
// present demand is returned.
func (d *demand) forecast(after tmclock.Span) float64 {
	lead := d.once - d.twice
	return math.Max(d.once, d.once+lead+lead*float64(after)/float64(demandMemory))
}

func (c *Controller) demandOf(service string) *demand {
	d := c.fleet.demands[service]
	if d == nil {
		d = &demand{}
		c.fleet.demands[service] = d
	}
	return d
}

// arrived counts the work of a new occurrence for its pool.
func (c *Controller) arrived(o *occurrence, now tmclock.Millis, wall int64) {
	q, ok := c.rules.Queues[o.job.spec.Queue]
	if !ok || o.job.long {
		return
	}
	out := c.outlook(o)
	d := c.demandOf(q.Service)
	// Clocks of day differ a little between nodes.
	age := max(0, tmclock.Span(wall-o.job.spec.Due(o.k)))
	d.add(out.work, age, now)
	d.slack.add(float64(q.Objective) + (q.Stretch-1)*out.total)
}
