package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
)

// placeGang places all tasks of a gang at once, or none.
func (c *Controller) placeGang(s *step, p *pool, now tmclock.Millis) {
	n := 0
	for _, t := range s.tasks {
		if !t.waiting(now) {
			return
		}
		n = max(n, t.runs)
	}
	if n := int64(len(s.tasks)); !c.withinLimit(s, n) {
		c.reportQuotaShortage(s, n, n)
		return
	}
	if p.knownTooLarge(s.spec.Reservation()) && !c.orderOf(p.service).hasReserved(s) {
		c.reserve(s, p, int64(len(s.tasks)), now)
		return
	}
	if s.tasks[0].isSuspect() && c.tryGang(s, p.quietEndpoints(), n+1) {
		s.isolateGang()
		return
	}
	if s.spec.SameRack {
		for _, rack := range racksOf(p) {
			if c.tryGang(s, &pool{service: p.service, endpoints: rack}, n+1) {
				return
			}
		}
	}
	if s.hasFailed() && c.tryGang(s, &pool{service: p.service, endpoints: p.endpointsWithoutTrouble(now)}, n+1) {
		return
	}
	if !c.tryGang(s, p, n+1) {
		c.wantAdvice(s)
		c.recordBlocked(s, p)
		c.reserve(s, p, int64(len(s.tasks)), now)
		c.reportBlocked(s, p, int64(len(s.tasks)))
	}
}

// hasFailed reports whether a run of some task of the step has failed.
func (s *step) hasFailed() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.failures > 0 })
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

// tryGang places a gang on the endpoints of p if all its tasks fit at once.
func (c *Controller) tryGang(s *step, p *pool, n int) bool {
	reservation := s.spec.Reservation()
	places := make([]*endpoint, 0, len(s.tasks))
	for range s.tasks {
		e := c.choose(s, p)
		if e == nil {
			break
		}
		e.used = e.used.Add(reservation)
		e.planned++
		places = append(places, e)
	}
	for _, e := range places {
		e.used = e.used.Sub(reservation)
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
