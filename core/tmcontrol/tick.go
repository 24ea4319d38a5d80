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

const (
	// maxOpenOccurrences limits the occurrences of one job that are due and not done. Later
	// ones wait, so that a job whose start lies long ago doesn't flood its queue.
	maxOpenOccurrences = 50
	// maxOpenTasks limits the tasks of all occurrences that are open, which take about 300
	// bytes each. Beyond it only jobs without an open occurrence that are long-running
	// open one.
	maxOpenTasks = 100_000
	// feasibleTasks is the part of them that is kept for jobs that the fleet could run. Others stay
	// open until they are cancelled.
	feasibleTasks = maxOpenTasks / 2
)

// openAllDue opens the occurrences that have become due, in order of the arrival of their
// jobs.
func (c *Controller) openAllDue(now tmclock.Millis, wall int64) {
	room := maxOpenTasks
	for _, j := range c.openJobs {
		room -= len(j.occurrences) * j.tasksPerOccurrence
	}
	f := newFeasibility(c)
	for _, j := range c.openJobs {
		c.openDue(j, &room, f, now, wall)
	}
}

// openDue opens the due occurrences of a job as long as there is room for their tasks.
func (c *Controller) openDue(j *job, room *int, f *feasibility, now tmclock.Millis, wall int64) {
	for j.next < j.spec.Occurrences() && j.openOccurrences() < maxOpenOccurrences {
		if j.spec.Repeats > 0 && wall < j.spec.Due(j.next) {
			return
		}
		if *room < j.tasksPerOccurrence && (!j.longRunning || len(j.occurrences) > 0) {
			return
		}
		j.unpack()
		if *room-j.tasksPerOccurrence < feasibleTasks && !f.couldRun(j) {
			return
		}
		*room -= j.tasksPerOccurrence
		c.addOccurrence(j.open(j.next), now, wall)
	}
}
