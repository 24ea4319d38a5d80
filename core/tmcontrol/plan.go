package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

// pool holds the endpoints of one service that may get new tasks. It is built for one
// planning pass.
type pool struct {
	service   string
	endpoints []*endpoint
	// avoided holds those that get no tasks on suspicion, onTrial those of endpoints that get
	// one.
	avoided, onTrial []*endpoint
	// vacating holds those that get no tasks so that their instances can move.
	vacating []*endpoint
	// troubledRacks are the racks with recent failures, in all pools. troubles is found when a
	// task that has failed is placed.
	troubledRacks map[string]bool
	troubles      troubles
	// isolated is the number of endpoints that are set aside, isolatedFor holds one for
	// each suspect. hasOverdue is set if a suspect has waited for too long. All are known
	// while suspects are planned.
	isolated    int
	isolatedFor map[*task]*endpoint
	hasOverdue  bool
	// tooLarge holds reservations that fit on no endpoint for the rest of the pass.
	tooLarge []tmjob.Resources
	// held holds tasks that had room only where capacity is kept for others.
	held []heldSize
}

// heldSize is the size of a task and how long it is expected to run, in ms.
type heldSize struct {
	reservation tmjob.Resources
	takes       float64
}

// knownTooLarge reports whether an earlier search found no endpoint for the
// reservation or for a smaller one.
func (p *pool) knownTooLarge(reservation tmjob.Resources) bool {
	for _, f := range p.tooLarge {
		if f.Fits(reservation) {
			return true
		}
	}
	return false
}

// knownBlocked reports whether an earlier search shows that no endpoint may take a task of the
// step. A task that is as large as one that had to wait for a reservation has to wait as well if it
// takes as long.
func (c *Controller) knownBlocked(s *step, p *pool) bool {
	reservation := s.spec.Reservation()
	if p.knownTooLarge(reservation) {
		return true
	}
	if s.spec.LongRunning || len(p.held) == 0 {
		return false
	}
	takes := c.estimate(s.occ.job.spec.Queue, s.spec)
	return slices.ContainsFunc(p.held, func(h heldSize) bool { return h.reservation.Fits(reservation) && takes >= h.takes })
}

// addBlocked records that no endpoint may take a task of the step. A step that may not run on all
// endpoints says nothing about others.
func (c *Controller) addBlocked(s *step, p *pool) {
	reservation := s.spec.Reservation()
	hasRoom := func(e *endpoint) bool { return reservation.Fits(e.free()) }
	switch {
	case c.isRestricted(s):
	case slices.ContainsFunc(p.endpoints, hasRoom):
		p.held = append(p.held, heldSize{reservation, c.estimate(s.occ.job.spec.Queue, s.spec)})
	default:
		p.tooLarge = append(p.tooLarge, reservation)
	}
}

// Plan places waiting tasks. Placements become start orders once they are stored.
func (c *Controller) Plan(now tmclock.Millis, wall int64) {
	if !c.loaded || c.stale || c.deposed || c.rules.Version == 0 {
		return
	}
	c.attributeCrashes()
	c.planFleet(now, wall)
	pools := c.pools(now)
	if len(pools) == 0 {
		return
	}
	defer c.planQuotas(now, wall)
	c.planSuspects(pools, now)
	queues := c.waitingQueues(slices.Clone(c.openJobs), pools, now, wall)
	for service, w := range queues {
		p := pools[service]
		if !c.hasStartRoom() {
			return
		}
		for _, placed := range c.order(p, w, now, wall) {
			if !c.hasStartRoom() {
				return
			}
			c.placeOccurrence(w.occurrences[placed.Index], p, now)
		}
	}
	c.planCopies(pools, now)
}

// failExhausted fails a job that has a task with no attempts left. applyEnd doesn't
// fail such a job if the configuration had not been read when the run ended, or if
// the configuration lowered the number of attempts later.
func (c *Controller) failExhausted(j *job, q Queue) bool {
	if !j.failed || j.longRunning || q.Attempts == 0 {
		return false
	}
	for t := range j.tasks() {
		if !t.done && t.failures >= q.Attempts {
			c.finish(j, tmjob.Failed, "task "+t.id.String()+" failed too often")
			return true
		}
	}
	return false
}

func (c *Controller) pools(now tmclock.Millis) map[string]*pool {
	pools := map[string]*pool{}
	troubledRacks := map[string]bool{}
	for _, e := range c.sorted() {
		if e.info.Rack != "" && e.health.HadTrouble(now) {
			troubledRacks[e.info.Rack] = true
		}
		if !e.isAvailable(now) || c.zonesOut[e.info.Zone] {
			continue
		}
		p := pools[e.info.Service]
		if p == nil {
			p = &pool{service: e.info.Service, troubledRacks: troubledRacks}
			pools[e.info.Service] = p
		}
		p.add(e, now)
	}
	for _, p := range pools {
		c.boundAvoidance(p)
	}
	return pools
}

func (c *Controller) placeOccurrence(o *occurrence, p *pool, now tmclock.Millis) {
	for _, s := range o.steps {
		if s.left == 0 || !s.ready() {
			continue
		}
		if s.spec.Gang {
			c.placeGang(s, p, now)
			continue
		}
		for _, t := range s.tasks {
			if t.isSuspect() || !t.waiting(now) {
				continue
			}
			if !c.hasStartRoom() {
				return
			}
			if !c.place(t, p, now) && !t.isHeld(now) {
				break
			}
		}
	}
}

// place assigns a task to an endpoint. It reports false if the task can't be
// placed now.
func (c *Controller) place(t *task, p *pool, now tmclock.Millis) bool {
	spec := t.step.spec
	if !c.withinLimit(t.step, 1) {
		c.reportQuotaShortage(t.step, t.step.waitingTasks(now), 1)
		return false
	}
	var e *endpoint
	blocked := c.knownBlocked(t.step, p)
	if !blocked || c.orderOf(p.service).hasReserved(t.step) {
		c.neighbours.beginSearch()
		e = c.chooseFor(t, p, now)
		if e == nil && !c.fitsAny(t.step, p) {
			blocked = true
			c.addBlocked(t.step, p)
			c.recordBlocked(t.step, p)
			c.reportBlocked(t.step, p, 1)
		}
	}
	if e == nil {
		e = c.chooseAvoided(t, p, now)
	} else {
		t.step.blockedSince = 0
	}
	if e == nil {
		if !blocked || t.step.advice.book.IsEmpty() {
			c.wantAdvice(t.step)
		}
		if blocked {
			c.reserve(t.step, p, 1, now)
		}
		if spec.LongRunning {
			c.reportShortage(p.service, t.step.endpointsNeeded(t.step.waitingTasks(now)))
		}
		return false
	}
	c.neighbours.countChange(e)
	c.assign(t, e, t.runs+1)
	return true
}

// waitingTasks counts the tasks of a step that could start now.
func (s *step) waitingTasks(now tmclock.Millis) int64 {
	waiting := int64(0)
	for _, t := range s.tasks {
		if t.waiting(now) {
			waiting++
		}
	}
	return waiting
}

// fitsAny reports whether a task of the step fits on some endpoint that is eligible for it, beside
// what is reserved there for others, regardless of other requirements.
func (c *Controller) fitsAny(s *step, p *pool) bool {
	for _, e := range p.endpoints {
		if c.isEligible(s, e) && s.spec.Reservation().Fits(e.free()) && c.mayBackfill(s, e) {
			return true
		}
	}
	return false
}

func (c *Controller) assign(t *task, e *endpoint, n int) {
	r := c.addRun(t, e, n)
	r.isolated = e.isolated != nil
	c.useSpare(r)
	r.pending = true
	if e.onTrial && e.trial == nil {
		e.trial = r
	}
	c.pending++
	t.runs, t.heldSince = n, 0
	c.copies.Run()
	r.ticket, _ = t.step.advice.book.Token(e.currentLifetime(), c.now)
	j := t.step.occ.job
	c.markDirty(t)
	c.event(tmevent.TaskPlaced, "task", t.id.String(), "run", n, "endpoint", e.info.ID,
		"free_cpu", e.free().CPU, "queue", j.spec.Queue, "team", j.spec.Team, "rules", c.rules.Version, "left", t.step.left)
}

// choose returns the endpoint with the highest score among those that may run a
// task of the step, or nil.
func (c *Controller) choose(s *step, p *pool) *endpoint {
	var best *endpoint
	var bestScore float64
	for _, e := range p.endpoints {
		if !c.allows(s, e) {
			continue
		}
		score := c.score(s, e)
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// hasOtherPlace reports whether a long-running task of the step could start in p now, so that it may
// be stopped where it runs. p is nil if the pool has no endpoints.
func (c *Controller) hasOtherPlace(s *step, p *pool) bool {
	if p == nil {
		return false
	}
	if c.choose(s, p) == nil {
		c.wantAdvice(s)
		return false
	}
	return true
}

// allows reports whether e may run one more task of the step that is not a suspect.
func (c *Controller) allows(s *step, e *endpoint) bool {
	return e.isolated == nil && e.admits() && c.fits(s, e) && c.mayBackfill(s, e)
}

// fits reports whether e has room for one more task of the step and may run it.
func (c *Controller) fits(s *step, e *endpoint) bool {
	return c.hasRoom(s, e) && c.policyPermits(s, e)
}

// hasRoom is like fits for an endpoint that the placement policy may not permit.
func (c *Controller) hasRoom(s *step, e *endpoint) bool {
	return !e.reserved && s.spec.Reservation().Fits(e.free()) && s.permits(e)
}

// permits reports whether the requirements of the step, other than room, permit one more
// of its tasks on e.
func (s *step) permits(e *endpoint) bool {
	if !s.labelPermits(e) {
		return false
	}
	return s.spec.PerEndpoint == 0 || e.stepRuns[s]+e.planned < s.spec.PerEndpoint
}

// rackPreference and spreadPenalty outweigh any difference in load.
const (
	rackPreference = 10.0
	spreadPenalty  = 5.0
	// longRunningPreference makes tasks prefer endpoints with long-running tasks. Those
	// endpoints can't leave their pool anyway, and the others become idle and can be
	// moved to other pools.
	longRunningPreference = 1.0
)

// score rates e as a place for a task of the step. Fuller endpoints score higher, so
// that other endpoints keep room for large tasks or stay idle and can be moved to
// other pools.
func (c *Controller) score(s *step, e *endpoint) float64 {
	capacity := float64(max(e.info.Capacity.CPU, 1))
	score := -float64(e.free().CPU) / capacity
	if e.longRunning != (tmjob.Resources{}) {
		score += longRunningPreference
	}
	if e.onTrial || e.hadTrouble {
		score += e.healthScore(s)
	}
	if s.spec.LongRunning {
		// The loss of one endpoint should leave half of the step's tasks running.
		score -= spreadPenalty * float64(e.stepRuns[s]/((s.spec.Count+1)/2))
	}
	if s.spec.DataRack != "" && e.info.hasLabel(s.spec.DataRack) {
		score += rackPreference
	}
	if s.spec.BestEffort || s.spec.LatencyTarget > 0 {
		score -= float64(interferingTasks(e, s.spec.BestEffort))
	}
	return c.weighNeighbours(s, e, score)
}
