package tmcontrol

import (
	"cmp"
	"math"
	"slices"

	"turmericmoor/core/tmevent"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

const (
	// shrinkAfter is for how long a pool must have wanted fewer instances before it
	// parks one.
	shrinkAfter = 2500 * tmclock.Millisecond
	// reserveAfter is when a new owner begins to fill pools up to their reserve. It
	// does not know the endpoints of all instances before.
	reserveAfter = 3 * tmclock.Second
	// sizeEvery is the time between two decisions about the sizes of pools.
	sizeEvery = 100 * tmclock.Millisecond
	// moveSlack is how much longer than the move itself it takes until an instance
	// runs tasks of its new pool.
	moveSlack = 300 * tmclock.Millisecond
	// noteEvery is the least time between two lines about the size of one pool.
	noteEvery = tmclock.Second
	// moveRetry is the time after which an instance that could not be moved is
	// tried again.
	moveRetry = 2 * tmclock.Second
	// minPool is how many instances a pool keeps at least; reserveShare is the part
	// of an equal share of all instances that it keeps for the start of a burst,
	// which comes faster than instances can.
	minPool      = 2
	reserveShare = 0.3
)

// move is an instance on its way to another pool.
type move struct {
	instance, pool string
	ordered        tmclock.Millis
	accepted       bool
	inFlight       bool
}

// poolSize is what a decision about one pool rests on.
type poolSize struct {
	service string
	have    int
	want    int
	// keep is the most that the pool has wanted of late.
	keep int
	// idle are the endpoints that could leave the pool at once.
	idle []*endpoint
}

// standby returns the pool whose instances are off, or "".
func (c *Controller) standby() string {
	name := ""
	for _, s := range c.rules.Services {
		if s.Standby && (name == "" || s.Name < name) {
			name = s.Name
		}
	}
	return name
}

// planPools moves instances to the pools that need them, and those that no pool
// needs to the standby pool.
func (c *Controller) planPools(now tmclock.Millis) {
	if now.Sub(c.fleet.sizedAt) < sizeEvery {
		return
	}
	c.fleet.sizedAt = now
	if c.fleet.firstSized == 0 {
		c.fleet.firstSized = now
		if len(c.jobs) > 0 || len(c.past) > 0 {
			c.fleet.keepUntil = now.Add(shrinkAfter)
		}
	}
	c.repeatMoves(now)
	sizes := c.poolSizes(now)
	for i := range sizes {
		for sizes[i].have < sizes[i].want && c.grow(&sizes[i], sizes, now) {
			sizes[i].have++
		}
	}
	standby := c.standby()
	if standby == "" {
		return
	}
	for i := range sizes {
		c.shrink(&sizes[i], standby, now)
	}
}

func (c *Controller) poolSizes(now tmclock.Millis) []poolSize {
	present := c.present()
	unseen := c.unseen()
	least := minPool
	if now.Sub(c.fleet.firstSized) >= reserveAfter {
		least = max(minPool, int(reserveShare*c.equalShare()))
	}
	var sizes []poolSize
	for _, s := range c.rules.Services {
		if s.Standby {
			continue
		}
		size := poolSize{service: s.Name}
		var capacity, need tmjob.Resources
		for _, e := range c.endpoints {
			// Instances that are about to leave, or to go down, don't count.
			if e.info.Service != s.Name || e.gone || !e.listed || e.info.Draining || e.ending || c.zonesOut[e.info.Zone] {
				continue
			}
			size.have++
			capacity = capacity.Add(e.info.Capacity)
			need = need.Add(e.long)
			if e.answering && !e.reserved && len(e.runs) == 0 && e.info.Instance != "" {
				size.idle = append(size.idle, e)
			}
		}
		for _, i := range unseen[s.Name] {
			size.have++
			capacity = capacity.Add(i.Capacity)
		}
		d := c.demandOf(s.Name)
		d.decay(now)
		rising := tmjob.Resources{CPU: need.CPU + int64(d.forecast(d.horizon(c.bounds.Move+moveSlack)))}
		need = need.Add(present[s.Name])
		size.want = max(least, 1+max(instances(need, capacity, size.have), instances(rising, capacity, size.have)))
		if n := c.fleet.starved[s.Name]; n > 0 {
			size.want = max(size.want, size.have+n)
		}
		for _, m := range c.fleet.moves {
			if m.pool == s.Name {
				size.have++
			}
		}
		size.keep = d.keep(size.want, now)
		c.notePool(&size, d, need, now)
		slices.SortFunc(size.idle, func(a, b *endpoint) int { return cmp.Compare(a.info.ID, b.info.ID) })
		sizes = append(sizes, size)
	}
	slices.SortFunc(sizes, func(a, b poolSize) int { return cmp.Compare(a.service, b.service) })
	clear(c.fleet.starved)
	return sizes
}

// notePool logs the size that a pool is to have when it changes, now and then.
func (c *Controller) notePool(size *poolSize, d *demand, need tmjob.Resources, now tmclock.Millis) {
	if size.want == d.notedWant && size.have == d.notedHave || now.Sub(d.noted) < noteEvery {
		return
	}
	d.noted, d.notedWant, d.notedHave = now, size.want, size.have
	c.event(tmevent.PoolSized, "pool", size.service, "have", size.have, "want", size.want, "idle", len(size.idle),
		"need_cpu", need.CPU, "forecast_cpu", int64(d.forecast(d.horizon(c.bounds.Move+moveSlack))))
}

// unseen returns the instances that are up but whose endpoint is not known yet, by
// pool. They count, or a new owner would fill pools that need nothing.
func (c *Controller) unseen() map[string][]Instance {
	out := map[string][]Instance{}
	for id, i := range c.fleet.instances {
		if i.State == InstanceUp && !c.zonesOut[i.Zone] && c.fleet.moves[id] == nil && c.endpointOn(id) == nil {
			out[i.Pool] = append(out[i.Pool], i)
		}
	}
	return out
}

// equalShare returns how many instances each pool in use would have if all were
// dealt out.
func (c *Controller) equalShare() float64 {
	pools := 0
	for _, s := range c.rules.Services {
		if !s.Standby {
			pools++
		}
	}
	return float64(len(c.fleet.instances)) / float64(max(pools, 1))
}

// instances returns how many instances of the mean size hold an amount.
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

// present returns what the tasks that run or could start now take, by pool. Tasks
// beyond the limit of their team count for nothing.
func (c *Controller) present() map[string]tmjob.Resources {
	out := map[string]tmjob.Resources{}
	waiting := map[string]int64{}
	for _, j := range c.order {
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
					case c.roomFor(j.spec.Team, waiting[j.spec.Team]+s.spec.Size.CPU):
						waiting[j.spec.Team] += s.spec.Size.CPU
						out[service] = out[service].Add(s.spec.Reservation())
					}
				}
			}
		}
	}
	return out
}

// roomFor reports whether a team may run more of that processor share.
func (c *Controller) roomFor(team string, more int64) bool {
	limit := c.rules.Teams[team].Limit.CPU
	return limit == 0 || c.teams[team].CPU+more <= limit
}

// grow finds one instance for a pool: from the standby pool, else an idle one of
// the pool that has most to spare.
func (c *Controller) grow(to *poolSize, sizes []poolSize, now tmclock.Millis) bool {
	if id := c.parked(to.service, now); id != "" {
		c.startMove(id, to.service, now)
		return true
	}
	var from *poolSize
	for i := range sizes {
		s := &sizes[i]
		if s.service != to.service && s.have > s.want && len(s.idle) > 0 &&
			(from == nil || s.have-s.want > from.have-from.want) {
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

// shrink parks an idle instance of a pool that has had too many for a while.
func (c *Controller) shrink(s *poolSize, standby string, now tmclock.Millis) {
	if now.Before(c.fleet.keepUntil) {
		return
	}
	for s.have > s.keep && len(s.idle) > 0 {
		e := s.idle[0]
		s.idle = s.idle[1:]
		if c.movable(e.info.Instance, standby, now) {
			s.have--
			c.startMove(e.info.Instance, standby, now)
		}
	}
}

// parked returns an instance of a standby pool that may move to a pool, or "".
func (c *Controller) parked(pool string, now tmclock.Millis) string {
	best := ""
	for id, i := range c.fleet.instances {
		if c.rules.Services[i.Pool].Standby && (best == "" || id < best) && c.movable(id, pool, now) {
			best = id
		}
	}
	return best
}

// movable reports whether an instance can be ordered to a pool now.
func (c *Controller) movable(id, pool string, now tmclock.Millis) bool {
	i, ok := c.fleet.instances[id]
	if !ok || i.State != InstanceUp || i.Pool == pool || c.zonesOut[i.Zone] || c.fleet.moves[id] != nil ||
		c.fleet.barred[barredMove{id, pool}] || now.Before(c.fleet.moveAfter[id]) || now.Before(c.fleet.orderAfter[id]) {
		return false
	}
	for _, w := range c.fleet.waves {
		for _, it := range w.items {
			if it.id == id && it.state != dutyDue && it.state != dutyDone {
				return false
			}
		}
	}
	return true
}

// barredMove is a move that the platform refused for good.
type barredMove struct{ instance, pool string }

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
	m.ordered, m.inFlight = now, true
	c.orderInstance(InstanceOrder{Instance: m.instance, Token: c.token, Pool: m.pool}, now)
}

// repeatMoves sends orders without an answer again: a move that is done is
// accepted once more.
func (c *Controller) repeatMoves(now tmclock.Millis) {
	for _, m := range c.fleet.moves {
		if !m.accepted && !m.inFlight && now.Sub(m.ordered) >= orderAgain {
			c.orderMove(m, now)
		}
	}
}

// moveAnswer takes in the answer to the order of a move.
func (c *Controller) moveAnswer(o InstanceOrder, a Answer, now tmclock.Millis) {
	m := c.fleet.moves[o.Instance]
	if m == nil || m.pool != o.Pool {
		return
	}
	m.inFlight = false
	switch a {
	case Accepted:
		m.accepted, m.ordered = true, now
	case NoAnswer:
	case Fenced:
		c.Fence(o.Instance)
	default:
		if a == Refused {
			c.fleet.barred[barredMove{m.instance, m.pool}] = true
		}
		c.fleet.moveAfter[m.instance] = now.Add(moveRetry)
		c.endMove(m)
	}
}

func (c *Controller) endMove(m *move) {
	delete(c.fleet.moves, m.instance)
	if e := c.endpointOn(m.instance); e != nil {
		e.reserved, e.ending = false, false
	}
}

// checkMove finds out from the list of instances how far a move is.
func (c *Controller) checkMove(m *move, sentAt tmclock.Millis) {
	if !m.accepted || !sentAt.After(m.ordered) {
		return
	}
	i, ok := c.fleet.instances[m.instance]
	e := c.endpointOn(m.instance)
	if e != nil && sentAt.After(e.listedAt) && e.info.Service != m.pool && (!ok || i.State != InstanceUp || i.Pool == m.pool) {
		c.endLife(e, "moved to another pool")
	}
	if !ok || i.State == InstanceUp || i.State == InstanceDown {
		c.endMove(m)
	}
}
