package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

const (
	// slowestClock is the rate of the slowest clock of an endpoint.
	slowestClock = 0.98
	// lapseMargin covers the time an endpoint takes to end tasks whose lease
	// lapsed.
	lapseMargin = 100 * tmclock.Millisecond
	// startLife bounds how late an endpoint may carry out a start.
	startLife = 2500 * tmclock.Millisecond
	// avoidTime is how long an endpoint that failed an order gets no new tasks.
	avoidTime = 1500 * tmclock.Millisecond
)

// endpoint is one lifetime of a worker process that runs tasks.
type endpoint struct {
	info   Listing
	listed bool
	// listedAt is when this lifetime was first seen in the list.
	listedAt tmclock.Millis
	// fenced is true once this owner's fencing token was accepted, and
	// answering while calls are answered.
	fenced, answering bool
	// clock is a reading of the endpoint's clock, read at clockAt.
	clock   int64
	clockAt tmclock.Millis
	// lapse is when every grant ever sent has surely lapsed.
	lapse tmclock.Millis
	// seen is the highest number of an end that was taken in, acked the
	// highest whose effects are stored.
	seen, acked int64
	runs        map[runKey]*run
	// strange counts listed runs that no job explains; they occupy room of
	// unknown size.
	strange int
	used    tmjob.Amount
	// planned counts the tasks of the gang that is being placed here.
	planned int
	avoid   tmclock.Millis
	// reserved keeps new tasks away because the instance is about to be taken
	// down or moved.
	reserved bool
	// ending says that an order that ends everything here was sent.
	ending bool
	// failures counts consecutive runs that failed here.
	failures int
	gone     bool
}

type runKey struct {
	task tmjob.TaskID
	run  int
}

func newEndpoint(info Listing) *endpoint {
	return &endpoint{info: info, listed: true, runs: map[runKey]*run{}}
}

// clockNow estimates the endpoint's clock; it is at most 2% of the time since
// the last reading too high.
func (e *endpoint) clockNow(now tmclock.Millis) int64 {
	return e.clock + int64(now.Sub(e.clockAt))
}

// grant returns the end of a lease of length d on the endpoint's clock, and
// remembers until when it may be in force on ours.
func (e *endpoint) grant(d tmclock.Span, now tmclock.Millis) int64 {
	until := e.clockNow(now) + int64(d)
	e.coverUntil(e.clockAt.Add(tmclock.Span(float64(until-e.clock)/slowestClock) + lapseMargin))
	return until
}

func (e *endpoint) coverUntil(t tmclock.Millis) {
	if t.After(e.lapse) {
		e.lapse = t
	}
}

// free returns the room that is left.
func (e *endpoint) free() tmjob.Amount { return e.info.Capacity.Sub(e.used) }

// usable reports whether new tasks may be placed here at all.
func (e *endpoint) usable(now tmclock.Millis) bool {
	return e.fenced && e.answering && e.listed && !e.info.Draining && !e.reserved &&
		!e.gone && e.strange == 0 && !now.Before(e.avoid)
}

// stepRuns counts the runs of one step of one occurrence.
func (e *endpoint) stepRuns(s *step) int {
	n := 0
	for _, r := range e.runs {
		if r.task != nil && r.task.step == s {
			n++
		}
	}
	return n
}
