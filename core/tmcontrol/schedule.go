package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmorder"
)

// This file passes the waiting jobs of each pool to package tmorder.

// waitingQueue holds the occurrences of one pool that have waiting tasks, with a job of
// tmorder for each.
type waitingQueue struct {
	occurrences []*occurrence
	jobs        []tmorder.Job
	// committed is the work that occurrences without a waiting task still have to bring,
	// agedCPU what the runs of aged jobs reserve.
	committed float64
	agedCPU   int64
	// teams has the room of each team.
	teams map[string]*teamRoom
	// smallest has the smallest reservation of a waiting task in each resource.
	smallest tmjob.Resources
}

// reset empties the queue. It keeps the memory, but no occurrence.
func (w *waitingQueue) reset() {
	clear(w.occurrences)
	clear(w.jobs)
	if w.teams == nil {
		w.teams = map[string]*teamRoom{}
	}
	clear(w.teams)
	*w = waitingQueue{occurrences: w.occurrences[:0], jobs: w.jobs[:0], teams: w.teams}
}

// poolOrder is what is known about the order of a pool after a pass.
type poolOrder struct {
	// blocked is set if a task fit on no endpoint, though it fits on an empty one.
	blocked bool
	// scarce is set if the last order was that of a scarce pool. loggedAt is when a change
	// of that was last logged, loggedScarce what it said.
	scarce, loggedScarce bool
	loggedAt             tmclock.Millis
	classes              [tmorder.Classes]int
	// orderer and queue are kept for their memory.
	orderer tmorder.Orderer
	queue   waitingQueue
	usage   tmorder.Usage
	// hasBlocked is set once a blocked step was found in the current pass that may have a
	// reservation. reservation is that of the pool, or nil; reservedAt is when it was planned.
	// lastReserved is the step that had the one before, which ended at lastReservedAt. If it
	// lasted too long there is none before noReservationBefore.
	hasBlocked                 bool
	reservation                *reservation
	lastReserved               *step
	reservedAt, lastReservedAt tmclock.Millis
	noReservationBefore        tmclock.Millis
}

// waitingQueues returns the waiting jobs by pool.
func (c *Controller) waitingQueues(jobs []*job, pools map[string]*pool, now tmclock.Millis, wall int64) map[string]*waitingQueue {
	queues := map[string]*waitingQueue{}
	var occurrences []*occurrence
	for service := range pools {
		state := c.orderOf(service)
		state.queue.reset()
		queues[service] = &state.queue
	}
	for _, j := range jobs {
		q, ok := c.rules.Queues[j.spec.Queue]
		if !ok || pools[q.Service] == nil || c.failExhausted(j, q) {
			continue
		}
		w := queues[q.Service]
		occurrences = j.inOrder(occurrences[:0])
		for _, o := range occurrences {
			c.addWaiting(w, o, q, now, wall)
		}
	}
	return queues
}

// addWaiting adds an occurrence to the queue of its pool if it has a waiting task.
func (c *Controller) addWaiting(w *waitingQueue, o *occurrence, q Queue, now tmclock.Millis, wall int64) {
	demand, first := o.waitingDemand(now)
	if first == nil && (o.runCount == 0 || o.job.longRunning) {
		return
	}
	j := o.job
	out := c.workload(o)
	objective := q.objective(out.fullCriticalPath)
	due := j.spec.Due(o.number)
	if !j.longRunning && o.runCount > 0 && tmorder.IsAged(wall, due, objective) {
		w.agedCPU += o.runningCPU()
	}
	if first == nil {
		w.committed += out.workNotReady
		return
	}
	if size := first.spec.Reservation(); len(w.occurrences) == 0 {
		w.smallest = size
	} else {
		w.smallest = w.smallest.Min(size)
	}
	w.occurrences = append(w.occurrences, o)
	w.jobs = append(w.jobs, tmorder.Job{
		PassedOver: wall < o.passedOverUntil,
		Queue:      j.spec.Queue, Team: j.spec.Team, Priority: q.Priority, LongRunning: j.longRunning, OverShare: j.overShare,
		Begun: j.begun && j.spec.Repeats == 0 || o.runCount > 0,
		Due:   due, Objective: objective, CriticalPath: out.criticalPath, Work: out.work, FullWork: out.fullWork, Demand: demand,
	})
	c.applyLimit(&w.jobs[len(w.jobs)-1], c.roomOf(w, j.spec.Team), first)
}

// teamRoom is what the limit of a team permits in one pass.
type teamRoom struct {
	limit, used tmjob.Resources
	// requested is the CPU that the jobs so far request.
	requested int64
}

// roomOf returns the room of a team.
func (c *Controller) roomOf(w *waitingQueue, team string) *teamRoom {
	room := w.teams[team]
	if room == nil {
		room = &teamRoom{limit: c.rules.Teams[team].Limit, used: c.teams[team]}
		w.teams[team] = room
	}
	return room
}

// applyLimit sets what the limit of the team means for a job: whether it permits a further
// task of the step, and which part of the demand it permits beside that of the jobs before.
// Requests beyond the limit don't make a pool scarce.
func (c *Controller) applyLimit(j *tmorder.Job, room *teamRoom, s *step) {
	requested := room.requested
	room.requested += j.Demand.CPU
	j.Permitted = j.Demand
	switch {
	case c.quotas != nil:
		j.Held = !c.withinLimit(s, 1)
		if !c.withinCPULimit(j.Team, room.requested) {
			j.Permitted = tmjob.Resources{}
		}
	case room.limit != tmjob.Resources{}:
		j.Held = !room.used.Add(s.spec.Size).Within(room.limit)
		if left := room.limit.CPU - room.used.CPU - requested; room.limit.CPU > 0 && left < j.Demand.CPU {
			j.Permitted = tmjob.Resources{CPU: max(0, left)}
		}
	}
}

// waitingDemand returns what the waiting tasks of the occurrence reserve, and the first step
// that has one. Tasks that have to wait after a refused start count as well, as long as
// others don't: counting each task would cost more than the order.
func (o *occurrence) waitingDemand(now tmclock.Millis) (tmjob.Resources, *step) {
	var demand tmjob.Resources
	var first *step
	for _, s := range o.steps {
		if s.left == 0 || !s.ready() {
			continue
		}
		if !s.hasWaiting(now) {
			continue
		}
		demand = demand.Add(times(s.spec.Reservation(), int64(max(1, s.left-s.runCount))))
		if first == nil {
			first = s
		}
	}
	return demand, first
}

// hasWaiting reports whether a task of the step could start now.
func (s *step) hasWaiting(now tmclock.Millis) bool {
	for _, t := range s.tasks {
		if t.waiting(now) {
			return true
		}
	}
	return false
}

// runningCPU returns the CPU that the runs of the occurrence reserve.
func (o *occurrence) runningCPU() int64 {
	sum := int64(0)
	for t := range o.tasks() {
		for _, r := range t.active {
			sum += r.reservation.CPU
		}
	}
	return sum
}

// orderOf returns what is known about the order of a pool.
func (c *Controller) orderOf(service string) *poolOrder {
	state := c.orders[service]
	if state == nil {
		state = &poolOrder{}
		c.orders[service] = state
	}
	return state
}

// addUsage adds a run to what its team uses of the pool of its queue. Long-running tasks are
// left out, as they are in the capacity that teams share.
func (c *Controller) addUsage(r *run) {
	q, ok := c.rules.Queues[r.task.step.occ.job.spec.Queue]
	if r.pool != "" || !ok || r.task.step.spec.LongRunning {
		return
	}
	r.pool = q.Service
	c.orderOf(r.pool).usage.Add(r.team, r.reservation, c.now)
}

// subUsage undoes addUsage.
func (c *Controller) subUsage(r *run) {
	if r.pool != "" {
		c.orderOf(r.pool).usage.Sub(r.team, r.reservation, c.now)
		r.pool = ""
	}
}

// addRestoredUsage adds the runs that were loaded before the configuration was known.
func (c *Controller) addRestoredUsage() {
	for _, e := range c.endpoints {
		for _, r := range e.runs {
			c.addUsage(r)
		}
	}
}

// order returns the waiting jobs of a pool in the order in which they are placed.
func (c *Controller) order(p *pool, w *waitingQueue, now tmclock.Millis, wall int64) []tmorder.Placed {
	state := c.orderOf(p.service)
	in := tmorder.Pool{
		Now: wall, Blocked: state.blocked, Committed: w.committed, AgedCPU: w.agedCPU,
		Usage: &state.usage, UsageAt: c.now,
		Weight: func(team string) float64 { return c.rules.Teams[team].Weight },
	}
	for _, e := range p.endpoints {
		if e.isolated == nil {
			in.Capacity = in.Capacity.Add(e.info.Capacity.Sub(e.longRunning))
			in.Free = in.Free.Add(e.free().Max(tmjob.Resources{}))
		}
	}
	// What is on its way to the pool is there in time for jobs that can wait for it.
	incoming := c.incomingCapacity(p.service)
	in.Capacity, in.Free = in.Capacity.Add(incoming), in.Free.Add(incoming)
	placed, scarce := state.orderer.Order(in, w.jobs)
	state.blocked, state.hasBlocked, state.scarce = false, false, scarce
	c.checkReservation(state, p, now)
	c.recordOrder(p.service, state, w, placed, now, wall)
	return placed
}

// incomingCapacity returns the capacity of the instances that are moving to a pool.
func (c *Controller) incomingCapacity(pool string) tmjob.Resources {
	var sum tmjob.Resources
	for id, m := range c.fleet.moves {
		if m.pool == pool {
			sum = sum.Add(c.fleet.instances[id].Capacity)
		}
	}
	return sum
}

// recordOrder counts the jobs of a pool by class and logs what changed.
func (c *Controller) recordOrder(service string, state *poolOrder, w *waitingQueue, placed []tmorder.Placed, now tmclock.Millis, wall int64) {
	state.classes = [tmorder.Classes]int{}
	for _, p := range placed {
		state.classes[p.Class]++
		if p.Class == tmorder.Aged {
			w.occurrences[p.Index].passOver(wall)
		}
		j := w.occurrences[p.Index].job
		if !j.deferred && (p.Class == tmorder.Late || p.Class == tmorder.Hopeless) {
			j.deferred = true
			c.event(tmevent.JobDeferred, "job", j.spec.ID, "queue", j.spec.Queue, "team", j.spec.Team, "class", p.Class.String(), "end_ms", int64(p.End))
		}
	}
	if state.scarce == state.loggedScarce || now.Sub(state.loggedAt) < poolLogInterval {
		return
	}
	state.loggedAt, state.loggedScarce = now, state.scarce
	n := state.classes
	c.event(tmevent.PoolScarce, "pool", service, "scarce", state.scarce, "waiting", len(placed),
		"aged", n[tmorder.Aged], "meets", n[tmorder.Meets], "late", n[tmorder.Late], "hopeless", n[tmorder.Hopeless])
}

// maxAgedTurn is how long an aged occurrence may be among the first without a start before
// it is passed over for as long. It has time for a reservation.
const maxAgedTurn = int64(maxReservation)

// passOver passes an aged occurrence over for a time if nothing of it could start.
func (o *occurrence) passOver(wall int64) {
	switch {
	case o.firstSince == 0:
		o.firstSince = wall
	case wall-o.firstSince >= maxAgedTurn:
		o.firstSince, o.passedOverUntil = 0, wall+maxAgedTurn
	}
}

// recordBlocked records that a task of the step fits on no endpoint of the pool now. If it
// fits on an empty one, the pool is scarce although it may have enough free capacity in total.
func (c *Controller) recordBlocked(s *step, p *pool) {
	state := c.orders[p.service]
	if s.spec.LongRunning || state == nil || state.blocked {
		return
	}
	for _, e := range p.endpoints {
		if s.spec.Reservation().Fits(e.info.Capacity.Sub(e.longRunning)) && c.isEligible(s, e) {
			state.blocked = true
			return
		}
	}
}

// isRestricted reports whether some endpoints may not be eligible for the step.
func (c *Controller) isRestricted(s *step) bool { return s.spec.Label != "" || c.needsTicket(s) }

// isEligible reports whether tasks of the step may run on e as far as its label and the placement
// policy are concerned. An endpoint that the policy was not asked about is eligible.
func (c *Controller) isEligible(s *step, e *endpoint) bool {
	return s.labelPermits(e) && (!c.needsTicket(s) || !s.advice.book.Refuses(e.currentLifetime(), c.now))
}

// labelPermits reports whether e has the label that the step requires.
func (s *step) labelPermits(e *endpoint) bool {
	return s.spec.Label == "" || e.info.hasLabel(s.spec.Label)
}
