package tmcontrol

import "turmericmoor/core/tmclock"

// Tick handles the passage of time: leases that have certainly expired, orders to
// repeat and occurrences that have become due.
func (c *Controller) Tick(now tmclock.Millis, wall int64) {
	c.now = now
	c.pruneFinal(now)
	c.refreshEffects(now)
	c.dropSlowStarts(now)
	c.advice.beginPass()
	c.retryAwaitingTicket(now)
	for _, e := range c.endpoints {
		if len(e.runs) > 0 && !e.answering && now.After(e.leaseExpiry) {
			c.lapse(e)
		}
		e.pruneLateStarts(now)
		if !e.listed && len(e.runs)+len(e.lateStarts) == 0 {
			c.removeEndpoint(e)
			continue
		}
		if e.info.Draining && e.listed {
			c.drainLongRunning(e, now)
		}
		if e.stopping == 0 {
			continue
		}
		for _, r := range e.runs {
			if r.stop {
				c.sendStop(r, now)
			}
		}
	}
	if !c.loaded {
		// Which occurrences are done is not known yet.
		return
	}
	c.openAllDue(now, wall)
}

// finalRetention is how long a final job is kept in finalAt. It is longer than the
// lag of any change feed of the store.
const finalRetention = 2 * tmclock.Minute

// pruneFinal deletes the records in finalAt that are older than finalRetention. It
// does so at most once in a quarter of finalRetention.
func (c *Controller) pruneFinal(now tmclock.Millis) {
	if now.Sub(c.finalPrunedAt) < finalRetention/4 {
		return
	}
	c.finalPrunedAt = now
	for id, at := range c.finalAt {
		if now.Sub(at) > finalRetention && c.jobs[id] == nil {
			delete(c.finalAt, id)
		}
	}
}
