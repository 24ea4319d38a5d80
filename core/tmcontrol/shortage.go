package tmcontrol

// This file tells when a pool needs more endpoints although it has capacity enough in total.

// reportShortage records that the pool needs the given number of additional endpoints,
// although the pool's total capacity may be sufficient.
func (c *Controller) reportShortage(service string, endpoints int) {
	c.fleet.shortages[service] = max(c.fleet.shortages[service], endpoints)
}

// endpointsNeeded returns how many more endpoints the waiting tasks of a step need.
func (s *step) endpointsNeeded(waiting int64) int {
	if s.spec.PerEndpoint == 0 {
		return 1
	}
	return (int(waiting) + s.spec.PerEndpoint - 1) / s.spec.PerEndpoint
}

// reportBlocked reports a shortage if a number of tasks of a step would not fit into the pool
// at once even after all tasks but the long-running ones have ended, so that waiting does not
// help. Tasks that fit on no endpoint at all are left out.
func (c *Controller) reportBlocked(s *step, p *pool, tasks int64) {
	reservation := s.spec.Reservation()
	slots, fits := int64(0), false
	for _, e := range p.endpoints {
		if !s.labelPermits(e) {
			continue
		}
		fits = fits || reservation.Fits(e.info.Capacity)
		slots += s.atMostPerEndpoint(reservation.CountIn(e.info.Capacity.Sub(e.longRunning), tasks))
	}
	if fits && slots < tasks {
		c.reportShortage(p.service, int(tasks-slots))
	}
}

// atMostPerEndpoint limits a number of tasks to what the step allows on one endpoint.
func (s *step) atMostPerEndpoint(n int64) int64 {
	if s.spec.PerEndpoint > 0 {
		return min(n, int64(s.spec.PerEndpoint))
	}
	return n
}
