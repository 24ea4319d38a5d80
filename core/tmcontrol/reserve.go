package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmorder"
)

// This file keeps capacity of a scarce pool for tasks that are too large for what is free, so
// that smaller ones, which always fit first, don't keep them waiting. Each pool has one
// reservation at a time, for the first step in its order that is blocked.

const (
	// reservationUpdate is the time after which a reservation is planned anew, because runs
	// have ended earlier or later than expected. Planning looks at all runs of the pool.
	reservationUpdate = 250 * tmclock.Millisecond
	// maxReservation is how long a reservation may keep capacity from others, and how long the
	// step then gets no other one. It bounds the loss when run times are far off.
	maxReservation = 5 * tmclock.Second
	// reservationPause is for how long a pool has no reservation after one that lasted too long,
	// so that the other tasks get what was kept from them.
	reservationPause = 2 * tmclock.Second
	// minReservedUse is the fraction of a resource of the pool that must be in use. A job
	// must not stand still for a reservation while a pool is half empty.
	minReservedUse = 0.5
	// maxIdleReservation is how long a reservation may last while the pool is below that. A
	// wide step may have to empty more than half of a pool, but a job must not stand still
	// for 3 s there.
	maxIdleReservation = 2 * tmclock.Second
	// overdueEnd is when a run that has exceeded its estimate is expected to end, as a
	// fraction of the estimate from now.
	overdueEnd = 0.25
)

// reservedRoom is the part of a reservation on one endpoint.
type reservedRoom struct {
	step *step
	// at is when the reserved tasks are expected to start, spare what is left then.
	at    tmclock.Millis
	spare tmjob.Resources
}

// reservation is the capacity that is kept for the tasks of a step.
type reservation struct {
	step      *step
	since     tmclock.Millis
	endpoints []*endpoint
	// halfEmptySince is since when the pool has been below minReservedUse, 0 if it is not.
	halfEmptySince tmclock.Millis
}

// reserve keeps capacity for that many tasks of a step, which are blocked, if it is the first
// step in the order of its pool of which that is true and which others would always precede.
func (c *Controller) reserve(s *step, p *pool, tasks int64, now tmclock.Millis) {
	state := c.orderOf(p.service)
	if state.hasBlocked || !state.scarce || s.tasks[0].isSuspect() || !state.precedes(s, tasks) || !c.isHalfUsedFor(s, p) {
		return
	}
	state.hasBlocked = true
	if now.Before(state.noReservationBefore) || now.Sub(state.reservedAt) < reservationUpdate || state.lastReserved == s && now.Sub(state.lastReservedAt) < maxReservation {
		return
	}
	state.reservedAt = now
	r := state.reservation
	switch {
	case r == nil:
		r = &reservation{step: s, since: now}
	case r.step != s:
		// Steps that take turns keep no capacity for longer than one.
		r.release()
		r = &reservation{step: s, since: r.since, halfEmptySince: r.halfEmptySince}
	}
	c.planReservation(r, p, tasks, now)
	if state.reservation != r && len(r.endpoints) > 0 {
		c.event(tmevent.CapacityReserved, "job", s.occ.job.spec.ID, "step", s.i, "pool", p.service, "tasks", tasks,
			"endpoints", len(r.endpoints), "after_ms", int64(r.endpoints[0].reservedRoom.at.Sub(now)))
	}
	state.reservation = r
}

// hasReserved reports whether the step has the reservation of the pool.
func (o *poolOrder) hasReserved(s *step) bool { return o.reservation != nil && o.reservation.step == s }

// precedes reports whether smaller tasks than those of the step wait, which would take
// whatever capacity becomes free before it is enough for the step.
func (o *poolOrder) precedes(s *step, tasks int64) bool {
	size := s.spec.Reservation()
	return tasks > 1 || size.CPU > o.queue.smallest.CPU || size.Mem > o.queue.smallest.Mem
}

// planReservation chooses the endpoints of a reservation, those that it has if they suffice:
// on others, less of the capacity would be free by now.
func (c *Controller) planReservation(r *reservation, p *pool, tasks int64, now tmclock.Millis) {
	held := slices.Clone(r.endpoints)
	r.release()
	held = slices.DeleteFunc(held, func(e *endpoint) bool { return !slices.Contains(p.endpoints, e) })
	if !c.reserveEndpoints(r, held, tasks, now) {
		c.reserveEndpoints(r, p.endpoints, tasks, now)
	}
}

// reserveEndpoints reserves some of the endpoints. It reports false if they don't suffice.
func (c *Controller) reserveEndpoints(r *reservation, from []*endpoint, tasks int64, now tmclock.Millis) bool {
	s := r.step
	var endpoints []*endpoint
	var places []tmorder.Place
	for _, e := range from {
		if e.isolated == nil && !e.reserved && c.isEligible(s, e) {
			endpoints = append(endpoints, e)
			places = append(places, c.placeOn(e, s, now))
		}
	}
	found, ok := tmorder.Reserve(tasks, s.spec.Reservation(), places, now)
	if !ok {
		return false
	}
	for i, n := range found.Counts {
		if n > 0 {
			endpoints[i].reservedRoom = &reservedRoom{step: s, at: found.At, spare: found.Spare[i]}
			r.endpoints = append(r.endpoints, endpoints[i])
		}
	}
	return true
}

// placeOn describes an endpoint to package tmorder.
func (c *Controller) placeOn(e *endpoint, s *step, now tmclock.Millis) tmorder.Place {
	place := tmorder.Place{Free: e.free(), Max: int64(s.spec.PerEndpoint)}
	for _, r := range e.runs {
		if r.task.step.spec.LongRunning {
			continue
		}
		place.Ends = append(place.Ends, tmorder.End{At: c.expectedEnd(r, now), Frees: r.reservation})
	}
	return place
}

// expectedEnd returns when a run is expected to end. One that has exceeded its estimate ends some
// time after now.
func (c *Controller) expectedEnd(r *run, now tmclock.Millis) tmclock.Millis {
	s := r.task.step
	takes := c.estimate(s.occ.job.spec.Queue, s.spec)
	began := cmp.Or(max(r.startedAt, r.sentAt), now)
	if end := began.Add(tmclock.Span(takes)); end.After(now) {
		return end
	}
	return now.Add(tmclock.Span(overdueEnd * takes))
}

// release gives up the capacity.
func (r *reservation) release() {
	for _, e := range r.endpoints {
		e.reservedRoom = nil
	}
	r.endpoints = nil
}

// checkReservation ends the reservation of a pool once its step has no waiting task, when it
// has lasted too long, or when the pool has room or has been half empty for too long.
func (c *Controller) checkReservation(state *poolOrder, p *pool, now tmclock.Millis) {
	r := state.reservation
	if r == nil {
		return
	}
	j := r.step.occ.job
	tooLong := now.Sub(r.since) >= maxReservation || r.isIdle(p, now)
	if state.scarce && !j.final && r.step.left > 0 && r.step.hasWaiting(now) && !tooLong && len(r.endpoints) > 0 {
		return
	}
	r.release()
	state.reservation, state.lastReserved, state.lastReservedAt = nil, r.step, now
	if tooLong {
		state.noReservationBefore = now.Add(reservationPause)
	}
}

// isIdle reports whether the pool has been half empty for maxIdleReservation.
func (r *reservation) isIdle(p *pool, now tmclock.Millis) bool {
	if p.isHalfUsed() {
		r.halfEmptySince = 0
		return false
	}
	if r.halfEmptySince == 0 {
		r.halfEmptySince = now
	}
	return now.Sub(r.halfEmptySince) >= maxIdleReservation
}

// mayBackfill reports whether a task of the step may start on e without delaying the tasks
// that e is reserved for.
func (c *Controller) mayBackfill(s *step, e *endpoint) bool {
	h := e.reservedRoom
	return h == nil || h.step == s || s.spec.LongRunning || c.endsBefore(s, h) || s.spec.Reservation().Fits(h.spare)
}

// endsBefore reports whether a task of the step that starts now ends before the reserved
// tasks start.
func (c *Controller) endsBefore(s *step, h *reservedRoom) bool {
	return !c.now.Add(tmclock.Span(c.estimate(s.occ.job.spec.Queue, s.spec))).After(h.at)
}

// useSpare takes a run from the capacity that is reserved where it was placed, or from what
// is spare beside that.
func (c *Controller) useSpare(r *run) {
	h := r.ep.reservedRoom
	switch {
	case h == nil:
	case h.step == r.task.step:
		r.ep.reservedRoom = nil
	case !c.endsBefore(r.task.step, h):
		h.spare = h.spare.Sub(r.reservation)
	}
}

// isHalfUsedFor is like isHalfUsed for the endpoints that are eligible for the step. They may be
// full while the rest of the pool is idle, for at most maxIdleReservation.
func (c *Controller) isHalfUsedFor(s *step, p *pool) bool {
	if !c.isRestricted(s) {
		return p.isHalfUsed()
	}
	eligible := func(endpoints []*endpoint) []*endpoint {
		var out []*endpoint
		for _, e := range endpoints {
			if c.isEligible(s, e) {
				out = append(out, e)
			}
		}
		return out
	}
	part := pool{service: p.service, endpoints: eligible(p.endpoints), vacating: eligible(p.vacating)}
	return part.isHalfUsed()
}

// isHalfUsed reports whether half of some resource of the pool is in use, vacated endpoints
// included.
func (p *pool) isHalfUsed() bool {
	var used, capacity tmjob.Resources
	for _, endpoints := range [][]*endpoint{p.endpoints, p.vacating} {
		for _, e := range endpoints {
			used, capacity = used.Add(e.used), capacity.Add(e.info.Capacity)
		}
	}
	half := func(used, capacity int64) bool {
		return capacity > 0 && float64(used) >= minReservedUse*float64(capacity)
	}
	return half(used.CPU, capacity.CPU) || half(used.Mem, capacity.Mem) || half(used.GPU, capacity.GPU)
}
