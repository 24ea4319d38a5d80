package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tminterference"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmstraggler"
)

const (
	// minClockRate is the lowest rate at which the clock of an endpoint may run.
	minClockRate = 0.98
	// expiryMargin covers the time that an endpoint takes to end tasks whose lease has
	// expired.
	expiryMargin = 100 * tmclock.Millisecond
	// startValidity limits how late an endpoint may carry out a start order.
	startValidity = 2500 * tmclock.Millisecond
	// avoidTime is how long an endpoint gets no new tasks after a start order to it
	// failed.
	avoidTime = 1500 * tmclock.Millisecond
)

// endpoint is one lifetime of an endpoint: one process, from its start to its exit.
type endpoint struct {
	info   EndpointInfo
	listed bool
	// entryStartedAt is the lifetime that has written info, 0 if that isn't known. A later one may
	// have another service, label and capacity.
	entryStartedAt int64
	// token is the fencing token of calls to the endpoint. It is higher than that of all calls
	// to earlier lifetimes.
	token int64
	// listedAt is when this lifetime was first seen in the list.
	listedAt tmclock.Millis
	// tokenAccepted is set once this lifetime has accepted token.
	// answering is set while the endpoint answers holds, answeredAt is when it last did,
	// silentAt when it last ceased to.
	tokenAccepted, answering bool
	answeredAt, silentAt     tmclock.Millis
	// orderAnsweredAt is when the endpoint last answered a start order.
	orderAnsweredAt tmclock.Millis
	// acksWithheld is set if the last hold carried no acknowledgement, because it might reach
	// another lifetime.
	acksWithheld bool
	// clock is the reading of the endpoint's clock at clockAt.
	clock   int64
	clockAt tmclock.Millis
	// leaseExpiry is when every lease that was ever granted has certainly expired.
	leaseExpiry tmclock.Millis
	// lifetime counts the restarts under the same ID. The numbers of ends start anew with
	// each.
	lifetime int
	// seen is the highest number of an end that was processed, acked the highest whose
	// effects are stored.
	seen, acked int64
	runs        map[runKey]*run
	// lateStarts holds the start orders of runs that are not in runs any more, as long as
	// another lifetime may carry them out.
	lateStarts []lateStart
	// stepRuns counts the runs by the step of one occurrence.
	stepRuns map[*step]int
	// unknownRuns counts the runs that the endpoint lists and the controller doesn't
	// know. How much of the capacity they take is unknown too.
	unknownRuns int
	// used is what all runs reserve, longRunning what the long-running runs reserve.
	// serving, bestEffort and stopping count the runs that serve users, the best-effort
	// runs and the runs that have to end.
	used, longRunning             tmjob.Resources
	serving, bestEffort, stopping int
	// planned counts the tasks of a gang that is being placed here.
	planned int
	// blockedUntil is until when the endpoint gets no new tasks because start orders to it
	// failed, avoidUntil until when it gets none because its runs are slow or fail.
	blockedUntil, avoidUntil tmclock.Millis
	// During a planning pass, onTrial is set if the endpoint gets one task as a trial, which is
	// trial, and hadTrouble if runs failed or stalled lately.
	onTrial, hadTrouble bool
	trial               *run
	// reserved keeps new tasks away because the instance is about to be taken down or
	// moved.
	reserved bool
	// vacatingSince is since when the endpoint gets no new tasks, so that its instance can
	// move to a pool that needs it more, 0 if it is not to be vacated.
	vacatingSince tmclock.Millis
	// noVacateBefore is until when the endpoint is not chosen again, because it was vacated in vain.
	noVacateBefore tmclock.Millis
	// reservedRoom is the part of a reservation for large tasks here, or nil.
	reservedRoom *reservedRoom
	// ending is set once an order was issued that ends all runs here.
	ending bool
	// isolated is the suspect for which the endpoint is set aside, or nil.
	isolated *task
	// lapsed holds the runs whose lease has lapsed here. They are among those that a crash
	// may be attributed to, if the endpoint turns out to have crashed.
	lapsed []*run
	// place records which workloads are present here and how slow the endpoint is.
	place *tminterference.Place
	// gone is set once the lifetime has ended.
	gone bool
	// health is what is known of the lifetime by its runs. It is large and comes last, because
	// the fields before it are read for each endpoint and placement.
	health tmstraggler.Health
}

type runKey struct {
	task tmjob.TaskID
	run  int
}

func newEndpoint(info EndpointInfo) *endpoint {
	return &endpoint{info: info, listed: true, runs: map[runKey]*run{}, stepRuns: map[*step]int{}, place: tminterference.NewPlace()}
}

// addEndpoint adds an endpoint that is not known yet.
func (c *Controller) addEndpoint(info EndpointInfo) *endpoint {
	e := newEndpoint(EndpointInfo{ID: info.ID})
	e.token = c.tokens.Current()
	c.endpoints[info.ID] = e
	c.byID, c.needsSort = append(c.byID, e), true
	c.setInfo(e, info)
	e.entryStartedAt = info.StartedAt
	return e
}

// setInfo replaces the list entry of an endpoint.
func (c *Controller) setInfo(e *endpoint, info EndpointInfo) {
	if info.Instance != e.info.Instance {
		c.detachInstance(e)
		if info.Instance != "" {
			c.onInstance[info.Instance] = append(c.onInstance[info.Instance], e)
		}
	}
	e.info = info
}

func (c *Controller) detachInstance(e *endpoint) {
	id := e.info.Instance
	c.onInstance[id] = slices.DeleteFunc(c.onInstance[id], func(other *endpoint) bool { return other == e })
	if len(c.onInstance[id]) == 0 {
		delete(c.onInstance, id)
	}
}

func (c *Controller) removeEndpoint(e *endpoint) {
	c.settleLapse(e)
	e.forgetHealth()
	c.detachInstance(e)
	delete(c.endpoints, e.info.ID)
	c.byID = slices.DeleteFunc(c.byID, func(other *endpoint) bool { return other == e })
}

// sorted returns all endpoints in order of their id.
func (c *Controller) sorted() []*endpoint {
	if c.needsSort {
		c.needsSort = false
		slices.SortFunc(c.byID, func(a, b *endpoint) int { return cmp.Compare(a.info.ID, b.info.ID) })
	}
	return c.byID
}

func (e *endpoint) addRun(r *run) {
	e.runs[r.key()] = r
	e.stepRuns[r.task.step]++
	e.used = e.used.Add(r.reservation)
	e.adjustCounts(r, 1)
}

func (e *endpoint) dropRun(r *run) {
	delete(e.runs, r.key())
	e.stepRuns[r.task.step]--
	if e.stepRuns[r.task.step] == 0 {
		delete(e.stepRuns, r.task.step)
	}
	e.used = e.used.Sub(r.reservation)
	if r.stop {
		e.stopping--
	}
	if e.trial == r {
		e.trial = nil
	}
	e.adjustCounts(r, -1)
}

// adjustCounts adds n times a run to the sums by kind of task.
func (e *endpoint) adjustCounts(r *run, n int) {
	spec := r.task.step.spec
	if spec.LongRunning {
		e.longRunning = tmjob.Resources{
			CPU: e.longRunning.CPU + int64(n)*r.reservation.CPU, Mem: e.longRunning.Mem + int64(n)*r.reservation.Mem, GPU: e.longRunning.GPU + int64(n)*r.reservation.GPU,
		}
	}
	if spec.LatencyTarget > 0 {
		e.serving += n
	}
	if spec.BestEffort {
		e.bestEffort += n
	}
}

// estimatedClock estimates the current reading of the endpoint's clock. The estimate
// exceeds the true reading by at most 2% of the time since the last reading.
func (e *endpoint) estimatedClock(now tmclock.Millis) int64 {
	return e.clock + int64(now.Sub(e.clockAt))
}

// grantLease returns the end of a lease of length d on the endpoint's clock, and
// records until when the lease may be in force on the local clock.
func (e *endpoint) grantLease(d tmclock.Span, now tmclock.Millis) int64 {
	until := e.estimatedClock(now) + int64(d)
	e.extendLeaseExpiry(e.clockAt.Add(maxLeaseTime(tmclock.Span(until - e.clock))))
	return until
}

// maxLeaseTime returns how long a lease of length d may last on the local clock.
func maxLeaseTime(d tmclock.Span) tmclock.Span {
	return tmclock.Span(float64(d)/minClockRate) + expiryMargin
}

// silentSince returns since when the endpoint doesn't answer, or now.
func (e *endpoint) silentSince(now tmclock.Millis) tmclock.Millis {
	if !e.silentAt.Before(e.answeredAt) {
		return e.silentAt
	}
	return now
}

func (e *endpoint) extendLeaseExpiry(t tmclock.Millis) {
	if t.After(e.leaseExpiry) {
		e.leaseExpiry = t
	}
}

// free returns the remaining capacity.
func (e *endpoint) free() tmjob.Resources { return e.info.Capacity.Sub(e.used) }

// isOvercommitted reports whether the runs reserve more than the capacity, which may have
// shrunk since they were placed.
func (e *endpoint) isOvercommitted() bool {
	free := e.free()
	return free.CPU < 0 || free.Mem < 0 || free.GPU < 0
}

// mayStart reports whether a task that was placed on e may still be started there.
func (e *endpoint) mayStart() bool {
	return e.answering && !e.gone && e.isDescribed() && !e.info.Draining && !e.isOvercommitted()
}

// isDescribed reports whether info was written by the present lifetime.
func (e *endpoint) isDescribed() bool {
	return e.entryStartedAt == 0 || e.entryStartedAt == e.info.StartedAt
}

// usable reports whether new tasks may be placed here, unless suspicion forbids.
func (e *endpoint) usable(now tmclock.Millis) bool {
	return e.vacatingSince == 0 && e.isAvailable(now)
}

// isAvailable is like usable for an endpoint that may be vacated.
func (e *endpoint) isAvailable(now tmclock.Millis) bool {
	return e.tokenAccepted && e.answering && e.listed && e.isDescribed() && !e.info.Draining && !e.reserved &&
		!e.gone && e.unknownRuns == 0 && !now.Before(e.blockedUntil)
}
