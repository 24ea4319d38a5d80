package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmsizing"
)

// demand is the demand of a pool and what is known of the sizes that it has needed.
type demand struct {
	tmsizing.Demand
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
	d.Add(out.work, age, now)
	d.AddSlack(float64(q.Objective) + (q.Stretch-1)*out.fullCriticalPath)
}
