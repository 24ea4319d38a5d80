package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmevent"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// rank orders occurrences for placement, smaller first.
type rank struct {
	occ *occurrence
	// long-running work goes first: it has to be restarted however full the
	// pool is.
	long bool
	// beyond: the team is ahead of its share, so that others go first.
	beyond bool
	// hopeless occurrences can no longer meet their objective.
	hopeless bool
	priority int
	work     float64
	due      int64
}

func compareRanks(a, b rank) int {
	if a.long != b.long {
		return boolOrder(a.long)
	}
	if a.beyond != b.beyond {
		return -boolOrder(a.beyond)
	}
	if a.hopeless != b.hopeless {
		return -boolOrder(a.hopeless)
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.work, b.work), cmp.Compare(a.due, b.due))
}

func boolOrder(first bool) int {
	if first {
		return -1
	}
	return 1
}

// pool is the endpoints of one service that may get new tasks, for one pass.
type pool struct {
	service   string
	endpoints []*endpoint
	// full holds rooms that no endpoint has any more.
	full []tmjob.Resources
}

// hasNoRoom reports whether it is known that no endpoint has that room.
func (p *pool) hasNoRoom(room tmjob.Resources) bool {
	for _, f := range p.full {
		if f.Fits(room) {
			return true
		}
	}
	return false
}

// maxPending bounds the runs whose start was not answered yet. More orders at once
// would wait for the processor until their endpoints take them for late.
const maxPending = 200

// Plan places waiting tasks. Placements become orders once they are stored.
func (c *Controller) Plan(now tmclock.Millis, wall int64) {
	if !c.loaded || c.deposed || c.rules.Version == 0 {
		return
	}
	c.planFleet(now, wall)
	pools := c.pools(now)
	if len(pools) == 0 {
		return
	}
	byService := map[string][]rank{}
	for _, j := range slices.Clone(c.order) {
		q, ok := c.rules.Queues[j.spec.Queue]
		if !ok || pools[q.Service] == nil {
			continue
		}
		if c.failExhausted(j, q) {
			continue
		}
		for _, o := range j.occurrences {
			if o.hasWaiting(now) {
				byService[q.Service] = append(byService[q.Service], c.rank(o, q, wall))
			}
		}
	}
	for service, ranks := range byService {
		slices.SortStableFunc(ranks, compareRanks)
		for _, r := range ranks {
			if c.pending >= maxPending {
				return
			}
			c.placeOccurrence(r.occ, pools[service], now)
		}
	}
}

// failExhausted fails a job with a task that must not start again. That is not known at
// the end of a run when the configuration has not been read yet, or lowers the number
// of attempts later.
func (c *Controller) failExhausted(j *job, q Queue) bool {
	if !j.failed || j.long || q.Attempts == 0 {
		return false
	}
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if !t.done && t.failures >= q.Attempts {
					c.finish(j, tmjob.Failed, "task "+t.id.String()+" failed too often")
					return true
				}
			}
		}
	}
	return false
}

func (c *Controller) pools(now tmclock.Millis) map[string]*pool {
	pools := map[string]*pool{}
	for _, e := range c.sorted() {
		if !e.usable(now) || c.zonesOut[e.info.Zone] {
			continue
		}
		p := pools[e.info.Service]
		if p == nil {
			p = &pool{service: e.info.Service}
			pools[e.info.Service] = p
		}
		p.endpoints = append(p.endpoints, e)
	}
	return pools
}

func (o *occurrence) hasWaiting(now tmclock.Millis) bool {
	for _, s := range o.steps {
		if s.left > 0 && s.ready() {
			for _, t := range s.tasks {
				if t.waiting(now) {
					return true
				}
			}
		}
	}
	return false
}

func (c *Controller) rank(o *occurrence, q Queue, wall int64) rank {
	j := o.job
	out := c.outlook(o)
	objective := float64(j.spec.Due(o.k)) + q.Stretch*out.total + float64(q.Objective)
	return rank{
		occ: o, long: j.long, beyond: j.beyond, priority: q.Priority, work: out.work, due: j.spec.Due(o.k),
		hopeless: !j.long && float64(wall)+out.chain > objective,
	}
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
			if t.waiting(now) && !c.place(t, p, now) {
				break
			}
		}
	}
}

// place finds an endpoint for a task. It reports false when there is none.
func (c *Controller) place(t *task, p *pool, now tmclock.Millis) bool {
	spec := t.step.spec
	if !c.withinLimit(t.step, 1) {
		return false
	}
	var e *endpoint
	if !p.hasNoRoom(spec.Reservation()) {
		e = c.choose(t.step, p, now)
		if e == nil && !p.anyRoom(spec.Reservation()) {
			p.full = append(p.full, spec.Reservation())
		}
	}
	if e == nil {
		if spec.LongRunning {
			c.starve(p.service, t.step.endpointsWanted(now))
		}
		return false
	}
	c.assign(t, e, t.runs+1)
	return true
}

// starve notes that long-running tasks need that many more endpoints in a pool, for
// a reason that sums of capacity need not show.
func (c *Controller) starve(service string, endpoints int) {
	c.fleet.starved[service] = max(c.fleet.starved[service], endpoints)
}

// endpointsWanted returns how many more endpoints the waiting tasks of a step need.
func (s *step) endpointsWanted(now tmclock.Millis) int {
	if s.spec.PerEndpoint == 0 {
		return 1
	}
	waiting := 0
	for _, t := range s.tasks {
		if t.waiting(now) {
			waiting++
		}
	}
	return (waiting + s.spec.PerEndpoint - 1) / s.spec.PerEndpoint
}

// anyRoom reports whether some endpoint has that room, whatever else it lacks.
func (p *pool) anyRoom(room tmjob.Resources) bool {
	for _, e := range p.endpoints {
		if room.Fits(e.free()) {
			return true
		}
	}
	return false
}

func (c *Controller) assign(t *task, e *endpoint, n int) {
	r := c.addRun(t, e, n)
	r.pending = true
	c.pending++
	t.runs = n
	if tk, ok := t.step.advice.tickets[e.info.ID]; ok {
		r.ticket = tk
	}
	j := t.step.occ.job
	j.begun = true
	c.touch(j)
	c.event(tmevent.TaskPlaced, "task", t.id.String(), "run", n, "endpoint", e.info.ID,
		"free_cpu", e.free().CPU, "queue", j.spec.Queue, "team", j.spec.Team, "rules", c.rules.Version, "left", t.step.left)
}

// withinLimit reports whether the team of the step's job may run n more of its
// tasks.
func (c *Controller) withinLimit(s *step, n int64) bool {
	name := s.occ.job.spec.Team
	team, ok := c.rules.Teams[name]
	if !ok {
		return true
	}
	size := s.spec.Size
	more := tmjob.Resources{CPU: size.CPU * n, Mem: size.Mem * n, GPU: size.GPU * n}
	return c.teams[name].Add(more).Within(team.Limit)
}

// choose returns the endpoint with the best score among those that may run a
// task of the step.
func (c *Controller) choose(s *step, p *pool, now tmclock.Millis) *endpoint {
	var best *endpoint
	var bestScore float64
	advised := c.adviceFor(s, p, now)
	for _, e := range p.endpoints {
		if !c.allows(s, e) || !advised(e) {
			continue
		}
		score := c.score(s, e)
		if best == nil || score > bestScore {
			best, bestScore = e, score
		}
	}
	return best
}

// allows reports whether one more task of the step may run at e.
func (c *Controller) allows(s *step, e *endpoint) bool {
	spec := s.spec
	if e.reserved {
		return false
	}
	if spec.Label != "" && !e.info.hasLabel(spec.Label) {
		return false
	}
	if !spec.Reservation().Fits(e.free()) {
		return false
	}
	return spec.PerEndpoint == 0 || e.stepRuns(s)+e.planned < spec.PerEndpoint
}

// rackPreference and spreadPenalty outweigh any difference in load.
const (
	rackPreference = 10.0
	spreadPenalty  = 5.0
	// anchorPreference draws work to endpoints that long-running tasks keep in
	// their pool anyway, so that others stay idle and can be lent.
	anchorPreference = 1.0
)

// score says how well a task of the step would be placed at e. Fuller endpoints
// are better: large tasks find room, and idle instances can serve other pools.
func (c *Controller) score(s *step, e *endpoint) float64 {
	capacity := float64(max(e.info.Capacity.CPU, 1))
	score := -float64(e.free().CPU) / capacity
	if e.long != (tmjob.Resources{}) {
		score += anchorPreference
	}
	if s.spec.LongRunning {
		// The loss of one endpoint should leave half of the step at work.
		score -= spreadPenalty * float64(e.stepRuns(s)/((s.spec.Count+1)/2))
	}
	if s.spec.DataRack != "" && e.info.hasLabel(s.spec.DataRack) {
		score += rackPreference
	}
	if s.spec.BestEffort || s.spec.LatencyTarget > 0 {
		score -= float64(c.disturbers(e, s.spec.BestEffort))
	}
	return score
}

// disturbers counts the tasks at e that a filling task would disturb, or that
// would disturb a task that serves users.
func (c *Controller) disturbers(e *endpoint, fills bool) int {
	n := 0
	for _, r := range e.runs {
		other := r.task.step.spec
		if fills && other.LatencyTarget > 0 || !fills && other.BestEffort {
			n++
		}
	}
	return n
}

// placeGang places all tasks of a gang at once, or none.
func (c *Controller) placeGang(s *step, p *pool, now tmclock.Millis) {
	n := 0
	for _, t := range s.tasks {
		if !t.waiting(now) {
			return
		}
		n = max(n, t.runs)
	}
	if p.hasNoRoom(s.spec.Reservation()) {
		return
	}
	if !c.withinLimit(s, int64(len(s.tasks))) {
		return
	}
	if s.spec.SameRack {
		for _, rack := range racksOf(p) {
			if c.tryGang(s, &pool{service: p.service, endpoints: rack}, n+1, now) {
				return
			}
		}
	}
	c.tryGang(s, p, n+1, now)
}

func racksOf(p *pool) [][]*endpoint {
	byRack := map[string][]*endpoint{}
	var names []string
	for _, e := range p.endpoints {
		if byRack[e.info.Rack] == nil {
			names = append(names, e.info.Rack)
		}
		byRack[e.info.Rack] = append(byRack[e.info.Rack], e)
	}
	slices.Sort(names)
	racks := make([][]*endpoint, 0, len(names))
	for _, name := range names {
		racks = append(racks, byRack[name])
	}
	return racks
}

// tryGang places a gang on the endpoints of p, if all its tasks fit at once.
func (c *Controller) tryGang(s *step, p *pool, n int, now tmclock.Millis) bool {
	room := s.spec.Reservation()
	places := make([]*endpoint, 0, len(s.tasks))
	for range s.tasks {
		e := c.choose(s, p, now)
		if e == nil {
			break
		}
		e.used = e.used.Add(room)
		e.planned++
		places = append(places, e)
	}
	for _, e := range places {
		e.used = e.used.Sub(room)
		e.planned--
	}
	if len(places) < len(s.tasks) {
		return false
	}
	for i, t := range s.tasks {
		c.assign(t, places[i], n)
	}
	return true
}
