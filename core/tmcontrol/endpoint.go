package tmcontrol

import (
	"cmp"
	"slices"

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
	// used is the room that all runs take, long that of the long-running ones;
	// serving, filling and stopping count the runs that serve users, that fill
	// and that are to end.
	used, long                 tmjob.Resources
	serving, filling, stopping int
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

// addEndpoint adds an endpoint that isn't known yet.
func (c *Controller) addEndpoint(l Listing) *endpoint {
	e := newEndpoint(Listing{ID: l.ID})
	c.endpoints[l.ID] = e
	c.byID, c.resort = append(c.byID, e), true
	c.setInfo(e, l)
	return e
}

// setInfo replaces what an endpoint says of itself.
func (c *Controller) setInfo(e *endpoint, l Listing) {
	if l.Instance != e.info.Instance {
		c.leaveInstance(e)
		if l.Instance != "" {
			c.onInstance[l.Instance] = append(c.onInstance[l.Instance], e)
		}
	}
	e.info = l
}

func (c *Controller) leaveInstance(e *endpoint) {
	id := e.info.Instance
	c.onInstance[id] = slices.DeleteFunc(c.onInstance[id], func(other *endpoint) bool { return other == e })
	if len(c.onInstance[id]) == 0 {
		delete(c.onInstance, id)
	}
}

func (c *Controller) removeEndpoint(e *endpoint) {
	c.leaveInstance(e)
	delete(c.endpoints, e.info.ID)
	c.byID = slices.DeleteFunc(c.byID, func(other *endpoint) bool { return other == e })
}

// sorted returns all endpoints in order of their id.
func (c *Controller) sorted() []*endpoint {
	if c.resort {
		c.resort = false
		slices.SortFunc(c.byID, func(a, b *endpoint) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return c.byID
}

func (e *endpoint) addRun(r *run) {
	e.runs[r.key()] = r
	e.used = e.used.Add(r.room)
	e.count(r, 1)
}

func (e *endpoint) dropRun(r *run) {
	delete(e.runs, r.key())
	e.used = e.used.Sub(r.room)
	if r.stop {
		e.stopping--
	}
	e.count(r, -1)
}

// count adds n times a run to the sums by kind of task.
func (e *endpoint) count(r *run, n int) {
	spec := r.task.step.spec
	if spec.LongRunning {
		e.long = tmjob.Resources{
			CPU: e.long.CPU + int64(n)*r.room.CPU, Mem: e.long.Mem + int64(n)*r.room.Mem, GPU: e.long.GPU + int64(n)*r.room.GPU,
		}
	}
	if spec.LatencyTarget > 0 {
		e.serving += n
	}
	if spec.BestEffort {
		e.filling += n
	}
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
func (e *endpoint) free() tmjob.Resources { return e.info.Capacity.Sub(e.used) }

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
