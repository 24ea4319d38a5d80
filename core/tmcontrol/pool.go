package tmcontrol

import (
	"cmp"
	"math"
	"slices"

	"turmericmoor/core/tmevent"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmsizing"
)

const (
	// shrinkDelay is how long a pool must have needed fewer instances before one of
	// them moves to the standby pool.
	shrinkDelay = 2500 * tmclock.Millisecond
	// reserveDelay is the time after which a new owner starts to fill pools up to
	// their reserve. Until then it may not know the endpoints of all instances.
	reserveDelay = 3 * tmclock.Second
	// sizingInterval is the time between two decisions about the sizes of pools.
	sizingInterval = 100 * tmclock.Millisecond
	// moveOverhead is the time, on top of the move itself, before an instance runs
	// tasks of its new pool.
	moveOverhead = 300 * tmclock.Millisecond
	// poolLogInterval is the minimum time between two log lines about the size of one
	// pool.
	poolLogInterval = tmclock.Second
	// moveRetryDelay is the delay before an instance that could not be moved is tried
	// again.
	moveRetryDelay = 2 * tmclock.Second
	// unsentMoveDelay is the same if the order was not sent, because it had become old by the
	// time that it was stored or this owner was not confirmed.
	unsentMoveDelay = 300 * tmclock.Millisecond
	// minPoolSize is the minimum number of instances of a pool. reserveShare is the
	// fraction of an equal share of all instances that a pool keeps for the start of a
	// burst, which arrives faster than instances can be moved.
	minPoolSize  = 2
	reserveShare = 0.3
)

// move is the transfer of an instance to another pool.
type move struct {
	instance, pool string
	orderedAt      tmclock.Millis
	accepted       bool
	inFlight       bool
}

// poolSize holds the inputs of the sizing decision for one pool.
type poolSize struct {
	service string
	have    int
	want    int
	// target is what the pool gets of the fleet: want, or less while the pools want more than
	// there is.
	target int
	// need is what the division of the fleet needs to know.
	need tmsizing.Need
	// recentMax is the largest size that the pool has needed within shrinkDelay.
	recentMax int
	// forecast is the capacity that forecast work needs, capacity what the pool has.
	forecast, capacity tmjob.Resources
	// idle holds the endpoints that could leave the pool at once.
	idle []*endpoint
}

// standby returns the first pool by name whose instances are off, or "".
func (c *Controller) standby() string {
	name := ""
	for _, s := range c.rules.Services {
		if s.Standby && (name == "" || s.Name < name) {
			name = s.Name
		}
	}
	return name
}

// planPools moves instances to the pools that need them. It moves instances that no
// pool needs to the standby pool.
func (c *Controller) planPools(now tmclock.Millis, wall int64) {
	if now.Sub(c.fleet.sizedAt) < sizingInterval {
		return
	}
	c.fleet.sizedAt = now
	if c.fleet.firstSized == 0 {
		c.fleet.firstSized = now
		if len(c.jobs) > 0 || len(c.finalAt) > 0 {
			c.fleet.noShrinkBefore = now.Add(shrinkDelay)
		}
	}
	c.retryMoves(now)
	sizes := c.poolSizes(now)
	scarce := c.divideFleet(sizes, now, wall)
	for i := range sizes {
		for sizes[i].have < sizes[i].target && c.grow(&sizes[i], sizes, now) {
			sizes[i].have++
		}
	}
	c.vacate(sizes, scarce, now)
	standby := c.standby()
	if standby == "" {
		return
	}
	for i := range sizes {
		c.shrink(&sizes[i], standby, now)
	}
}

func (c *Controller) poolSizes(now tmclock.Millis) []poolSize {
	current := c.currentDemand()
	withoutEndpoint := c.instancesWithoutEndpoint()
	minSize := minPoolSize
	if now.Sub(c.fleet.firstSized) >= reserveDelay {
		minSize = max(minPoolSize, int(reserveShare*c.equalShare()))
	}
	var sizes []poolSize
	for _, s := range c.rules.Services {
		if s.Standby {
			continue
		}
		size := poolSize{service: s.Name}
		var capacity, need tmjob.Resources
		for _, e := range c.endpoints {
			// Instances that are about to leave or to go down don't count.
			if e.info.Service != s.Name || e.gone || !e.listed || e.info.Draining || e.ending || c.zonesOut[e.info.Zone] {
				continue
			}
			size.have++
			capacity = capacity.Add(e.info.Capacity)
			need = need.Add(e.longRunning)
			if e.longRunning != (tmjob.Resources{}) {
				size.need.Floor++
			}
			if e.answering && !e.reserved && len(e.runs) == 0 && e.info.Instance != "" {
				size.idle = append(size.idle, e)
			}
		}
		for _, i := range withoutEndpoint[s.Name] {
			size.have++
			capacity = capacity.Add(i.Capacity)
		}
		d := c.demandOf(s.Name)
		d.Decay(now)
		forecastNeed := tmjob.Resources{CPU: need.CPU + int64(d.Forecast(d.Horizon(c.bounds.Move+moveOverhead)))}
		need = need.Add(current[s.Name])
		size.want = max(minSize, 1+max(instances(need, capacity, size.have), instances(forecastNeed, capacity, size.have)))
		if n := c.fleet.shortages[s.Name]; n > 0 {
			size.want = max(size.want, size.have+n)
		}
		for _, m := range c.fleet.moves {
			if m.pool == s.Name {
				size.have++
			}
		}
		size.target = size.want
		size.need = tmsizing.Need{Floor: min(max(size.need.Floor, minSize), size.want), All: size.want}
		size.forecast, size.capacity = forecastNeed, capacity
		size.recentMax = d.recentMax(size.want, now)
		c.logPoolSize(&size, d, need, now)
		slices.SortFunc(size.idle, func(a, b *endpoint) int { return cmp.Compare(a.info.ID, b.info.ID) })
		sizes = append(sizes, size)
	}
	slices.SortFunc(sizes, func(a, b poolSize) int { return cmp.Compare(a.service, b.service) })
	clear(c.fleet.shortages)
	return sizes
}

// logPoolSize logs the target size of a pool when it changes, at most once in
// poolLogInterval.
func (c *Controller) logPoolSize(size *poolSize, d *demand, need tmjob.Resources, now tmclock.Millis) {
	if size.want == d.loggedWant && size.have == d.loggedHave || now.Sub(d.loggedAt) < poolLogInterval {
		return
	}
	d.loggedAt, d.loggedWant, d.loggedHave = now, size.want, size.have
	c.event(tmevent.PoolSized, "pool", size.service, "have", size.have, "want", size.want, "idle", len(size.idle),
		"need_cpu", need.CPU, "forecast_cpu", int64(d.Forecast(d.Horizon(c.bounds.Move+moveOverhead))))
}

// instancesWithoutEndpoint returns, by pool, the instances that are up but whose
// endpoint is not known yet. Without counting them, a new owner would add
// instances to pools that need none.
func (c *Controller) instancesWithoutEndpoint() map[string][]Instance {
	out := map[string][]Instance{}
	for id, i := range c.fleet.instances {
		if i.State == InstanceUp && !c.zonesOut[i.Zone] && c.fleet.moves[id] == nil && c.endpointOn(id) == nil {
			out[i.Pool] = append(out[i.Pool], i)
		}
	}
	return out
}

// equalShare returns how many instances each pool other than standby pools would
// have if all instances were distributed evenly.
func (c *Controller) equalShare() float64 {
	pools := 0
	for _, s := range c.rules.Services {
		if !s.Standby {
			pools++
		}
	}
	return float64(len(c.fleet.instances)) / float64(max(pools, 1))
}

// instances returns how many instances of average size provide the needed amount.
func instances(need, capacity tmjob.Resources, have int) int {
	if have == 0 {
		return 0
	}
	n := 0.0
	for _, part := range [][2]int64{{need.CPU, capacity.CPU}, {need.Mem, capacity.Mem}, {need.GPU, capacity.GPU}} {
		if part[1] > 0 {
			n = math.Max(n, float64(part[0])*float64(have)/float64(part[1]))
		}
	}
	return int(math.Ceil(n))
}

// currentDemand returns the reservations of the tasks that run or could start now,
// by pool. It leaves out running long-running tasks, which are counted per endpoint,
// and tasks beyond the limit of their team.
func (c *Controller) currentDemand() map[string]tmjob.Resources {
	out := map[string]tmjob.Resources{}
	waiting := map[string]int64{}
	for _, j := range c.openJobs {
		service := c.rules.Queues[j.spec.Queue].Service
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.left == 0 || !s.ready() {
					continue
				}
				for _, t := range s.tasks {
					switch {
					case t.done, len(t.active) > 0 && s.spec.LongRunning:
					case len(t.active) > 0:
						out[service] = out[service].Add(s.spec.Reservation())
					case c.withinCPULimit(j.spec.Team, waiting[j.spec.Team]+s.spec.Size.CPU):
						waiting[j.spec.Team] += s.spec.Size.CPU
						out[service] = out[service].Add(s.spec.Reservation())
					}
				}
			}
		}
	}
	return out
}

// grow adds one instance to a pool: one from the standby pool, else an idle one
// from the pool with the largest surplus.
func (c *Controller) grow(to *poolSize, sizes []poolSize, now tmclock.Millis) bool {
	if id := c.standbyInstance(to.service, now); id != "" {
		c.startMove(id, to.service, now)
		return true
	}
	var from *poolSize
	for i := range sizes {
		s := &sizes[i]
		if s.service != to.service && s.have > s.target && len(s.idle) > 0 &&
			(from == nil || s.have-s.target > from.have-from.target) {
			from = s
		}
	}
	if from == nil {
		return false
	}
	for len(from.idle) > 0 {
		e := from.idle[0]
		from.idle = from.idle[1:]
		if c.movable(e.info.Instance, to.service, now) {
			from.have--
			c.startMove(e.info.Instance, to.service, now)
			return true
		}
	}
	return false
}

// shrink moves idle instances to the standby pool while the pool has more than it
// has recently needed. Before the first work nothing is known about the demand, so the
// pools keep the sizes that the operator gave them.
func (c *Controller) shrink(s *poolSize, standby string, now tmclock.Millis) {
	if c.fleet.firstWorkAt == 0 || now.Before(max(c.fleet.noShrinkBefore, c.fleet.firstWorkAt.Add(shrinkDelay))) {
		return
	}
	for s.have > s.recentMax && len(s.idle) > 0 {
		e := s.idle[0]
		s.idle = s.idle[1:]
		if c.movable(e.info.Instance, standby, now) {
			s.have--
			c.startMove(e.info.Instance, standby, now)
		}
	}
}

// standbyInstance returns an instance of a standby pool that may move to the given
// pool, or "".
func (c *Controller) standbyInstance(pool string, now tmclock.Millis) string {
	best := ""
	for id, i := range c.fleet.instances {
		if c.rules.Services[i.Pool].Standby && (best == "" || id < best) && c.movable(id, pool, now) {
			best = id
		}
	}
	return best
}

// movable reports whether an instance may be ordered to move to a pool now.
func (c *Controller) movable(id, pool string, now tmclock.Millis) bool {
	i, ok := c.fleet.instances[id]
	if !ok || i.State != InstanceUp || i.Pool == pool || c.zonesOut[i.Zone] || c.fleet.moves[id] != nil ||
		c.fleet.refusedMoves[refusedMove{id, pool}] || now.Before(c.fleet.moveRetryAt[id]) || now.Before(c.fleet.earliestOrder[id]) {
		return false
	}
	for _, w := range c.fleet.waves {
		for _, it := range w.items {
			if it.id == id && it.state != itemDue && it.state != itemDone {
				return false
			}
		}
	}
	return true
}

// refusedMove is a move that the platform has permanently refused.
type refusedMove struct{ instance, pool string }

func (c *Controller) startMove(id, pool string, now tmclock.Millis) {
	m := &move{instance: id, pool: pool}
	c.fleet.moves[id] = m
	if e := c.endpointOn(id); e != nil {
		e.reserved, e.ending = true, true
	}
	c.event(tmevent.InstanceMoves, "instance", id, "from", c.fleet.instances[id].Pool, "to", pool)
	c.orderMove(m, now)
}

func (c *Controller) orderMove(m *move, now tmclock.Millis) {
	m.orderedAt, m.inFlight = now, true
	c.orderInstance(InstanceOrder{Instance: m.instance, Token: c.tokens.First(), Pool: m.pool})
}

// retryMoves repeats move orders that got no answer. The platform also accepts the
// order of a move that is already done.
func (c *Controller) retryMoves(now tmclock.Millis) {
	for _, m := range c.fleet.moves {
		if !m.accepted && !m.inFlight && now.Sub(m.orderedAt) >= orderRetryInterval {
			c.orderMove(m, now)
		}
	}
}

// moveAnswer handles the answer to a move order.
func (c *Controller) moveAnswer(o InstanceOrder, a Answer, now tmclock.Millis) {
	m := c.fleet.moves[o.Instance]
	if m == nil || m.pool != o.Pool {
		return
	}
	m.inFlight = false
	switch a {
	case Accepted:
		m.accepted, m.orderedAt = true, now
	case NoAnswer:
	case Fenced:
		c.OwnerFenced(o.Instance)
	default:
		if a == Refused {
			c.fleet.refusedMoves[refusedMove{m.instance, m.pool}] = true
		}
		if a == NotSent {
			c.fleet.moveRetryAt[m.instance] = now.Add(unsentMoveDelay)
		} else {
			c.fleet.moveRetryAt[m.instance] = now.Add(moveRetryDelay)
		}
		c.endMove(m)
	}
}

func (c *Controller) endMove(m *move) {
	delete(c.fleet.moves, m.instance)
	if e := c.endpointOn(m.instance); e != nil {
		e.reserved, e.ending = false, false
	}
}

// checkMove determines the progress of a move from the list of instances.
func (c *Controller) checkMove(m *move, sentAt tmclock.Millis) {
	if !m.accepted || !sentAt.After(m.orderedAt) {
		return
	}
	i, ok := c.fleet.instances[m.instance]
	e := c.endpointOn(m.instance)
	if e != nil && sentAt.After(e.listedAt) && e.info.Service != m.pool && (!ok || i.State != InstanceUp || i.Pool == m.pool) {
		c.endLifetime(e, causeMoved)
	}
	if !ok || i.State == InstanceUp || i.State == InstanceDown {
		c.endMove(m)
	}
}
