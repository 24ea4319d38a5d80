package tmcontrol

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmadmit"
)

const (
	// minReportedWait is the shortest wait in ms that is reported. Shorter ones refuse nobody.
	minReportedWait = 500
	// waitIterations is how often the wait is corrected for the limits of teams.
	waitIterations = 8
)

// poolBacklog is the short work in a pool and what it has for it.
type poolBacklog struct {
	// cores is what the pool has for short work now, free what of it is not reserved, and
	// readyCPU what the tasks need that could start now, all in thousandths of a core.
	cores, free, readyCPU float64
	// arrivals are the instances that move to the pool.
	arrivals []arrival
	queues   map[string]*queueBacklog
}

// arrival is capacity that a pool gets after a time, in thousandths of a core.
type arrival struct {
	after, cores float64
}

// queueBacklog is the remaining work of the jobs of a queue by team, in thousandths of a core
// times ms. fresh is that of the jobs that can still meet their objective, all that of all jobs.
type queueBacklog struct {
	fresh, all map[string]float64
	// jobs counts the jobs, work and path are the sums of their work and of their critical paths.
	jobs, work, path float64
}

func (q *queueBacklog) meanWork() float64 { return q.work / max(q.jobs, 1) }

// Backlogs predicts the wait of a new job for each queue whose pool is full, in the order in which
// the planner places jobs. wall is the time in milliseconds since the Unix epoch. Before all jobs
// are loaded it predicts nothing.
func (c *Controller) Backlogs(wall int64) map[string]tmadmit.Backlog {
	if !c.loaded {
		return nil
	}
	pools := c.shortWork(wall)
	if len(pools) == 0 {
		return nil
	}
	c.addPoolCores(pools)
	out := map[string]tmadmit.Backlog{}
	for name, q := range c.rules.Queues {
		p := pools[q.Service]
		if p == nil || p.readyCPU <= p.free || p.cores <= 0 {
			continue
		}
		if b := c.backlogOf(name, p); b.Wait >= minReportedWait {
			out[name] = b
		}
	}
	return out
}

// shortWork returns the work of the short jobs by pool, for pools that have any.
func (c *Controller) shortWork(wall int64) map[string]*poolBacklog {
	pools := map[string]*poolBacklog{}
	for _, j := range c.openJobs {
		q, ok := c.rules.Queues[j.spec.Queue]
		if !ok || j.longRunning {
			continue
		}
		p := pools[q.Service]
		if p == nil {
			p = &poolBacklog{queues: map[string]*queueBacklog{}}
			pools[q.Service] = p
		}
		for _, o := range j.occurrences {
			if o.left > 0 {
				c.addShortWork(p, o, q, wall)
			}
		}
	}
	return pools
}

// addShortWork adds the work of an occurrence to that of its pool. Jobs of teams that are over
// their share wait for all others, so that no new job has to wait for them.
func (c *Controller) addShortWork(p *poolBacklog, o *occurrence, q Queue, wall int64) {
	j := o.job
	load := c.workload(o)
	work := load.work - c.runningWork(o)/2
	p.readyCPU += o.readyCPU()
	b := p.queues[j.spec.Queue]
	if b == nil {
		b = &queueBacklog{fresh: map[string]float64{}, all: map[string]float64{}}
		p.queues[j.spec.Queue] = b
	}
	b.jobs++
	b.work += work
	b.path += load.fullCriticalPath
	if j.overShare {
		return
	}
	b.all[j.spec.Team] += work
	due := float64(j.spec.Due(o.number)) + q.Stretch*load.fullCriticalPath + float64(q.Objective)
	if float64(wall)+load.criticalPath <= due {
		b.fresh[j.spec.Team] += work
	}
}

// runningWork returns the work of the tasks of an occurrence that run, of which about half is
// done.
func (c *Controller) runningWork(o *occurrence) float64 {
	if o.idle() {
		return 0
	}
	sum := 0.0
	for t := range o.tasks() {
		if !t.done && len(t.active) > 0 {
			sum += c.estimate(o.job.spec.Queue, t.step.spec) * float64(max(t.step.spec.Size.CPU, 100))
		}
	}
	return sum
}

// readyCPU returns what the tasks reserve that wait and depend on nothing more.
func (o *occurrence) readyCPU() float64 {
	sum := 0.0
	for _, s := range o.steps {
		if s.left == 0 || !s.ready() {
			continue
		}
		waiting := s.left
		if !o.idle() {
			waiting = 0
			for _, t := range s.tasks {
				if !t.done && len(t.active) == 0 {
					waiting++
				}
			}
		}
		sum += float64(waiting) * float64(s.spec.Reservation().CPU)
	}
	return sum
}

// addPoolCores adds what the pools have for short work. An endpoint that is only avoided for a
// time counts, because the wait is longer than that.
func (c *Controller) addPoolCores(pools map[string]*poolBacklog) {
	for _, e := range c.endpoints {
		p := pools[e.info.Service]
		if p == nil || !e.listed || e.reserved || e.ending || !e.mayStart() || c.zonesOut[e.info.Zone] {
			continue
		}
		p.cores += float64(max(0, e.info.Capacity.CPU-e.longRunning.CPU))
		p.free += float64(e.free().CPU)
	}
	for id, m := range c.fleet.moves {
		if p := pools[m.pool]; p != nil {
			after := m.orderedAt.Add(c.bounds.Move + moveOverhead).Sub(c.now)
			p.arrivals = append(p.arrivals, arrival{after: float64(max(0, after)), cores: float64(c.fleet.instances[id].Capacity.CPU)})
		}
	}
	for _, p := range pools {
		slices.SortFunc(p.arrivals, func(a, b arrival) int { return cmp.Compare(a.after, b.after) })
	}
}

// backlogOf predicts the wait of a new job of a queue. If it can meet its objective it goes before
// the jobs that can't, else it waits for them as well.
func (c *Controller) backlogOf(name string, p *poolBacklog) tmadmit.Backlog {
	q := c.rules.Queues[name]
	own := p.queues[name]
	fresh, all := map[string]float64{}, map[string]float64{}
	for other, load := range p.queues {
		if c.goesBefore(other, name, p) {
			addTeams(fresh, load.fresh)
			addTeams(all, load.all)
		}
	}
	path := 0.0
	if own != nil {
		path = own.path / max(own.jobs, 1)
	}
	wait, work := c.waitFor(fresh, p)
	if wait+path > q.Stretch*path+float64(q.Objective) {
		wait, work = c.waitFor(all, p)
	}
	b := tmadmit.Backlog{Wait: wait, Work: work / 1000}
	if wait > 0 {
		b.Drain = b.Work / wait
	}
	if t := c.runTimes[name]; t != nil && t.count >= 5 {
		b.Run = t.mean
	}
	return b
}

// goesBefore reports whether the jobs of a queue go before a new job of another one of the same
// pool: more urgent ones, and equally urgent ones that are not larger. How large the jobs of a
// queue are is known while some wait.
func (c *Controller) goesBefore(queue, other string, p *poolBacklog) bool {
	if queue == other {
		return true
	}
	mine, others := c.rules.Queues[queue].Priority, c.rules.Queues[other].Priority
	own := p.queues[other]
	return mine < others || mine == others && own != nil && p.queues[queue].meanWork() <= own.meanWork()
}

func addTeams(sum, more map[string]float64) {
	for team, work := range more {
		sum[team] += work
	}
}

// waitFor returns how long the pool works on the work that goes first, and how much of it counts:
// the work of a team beyond what its limit lets run meanwhile holds nobody else up.
func (c *Controller) waitFor(byTeam map[string]float64, p *poolBacklog) (wait, work float64) {
	teams := make([]string, 0, len(byTeam))
	for team := range byTeam {
		teams = append(teams, team)
	}
	slices.Sort(teams)
	for i := range waitIterations {
		before := work
		work = 0
		for _, team := range teams {
			amount := byTeam[team]
			if limit := c.rules.Teams[team].Limit.CPU; limit > 0 && i > 0 {
				amount = min(amount, wait*float64(limit)/float64(c.shard.Count()))
			}
			work += amount
		}
		if wait = p.timeFor(work); work == before {
			break
		}
	}
	return wait, work
}

// timeFor returns how long the pool needs for some work, with what moves to it meanwhile.
func (p *poolBacklog) timeFor(work float64) float64 {
	cores, at := p.cores, 0.0
	for _, a := range p.arrivals {
		if at+work/cores <= a.after {
			break
		}
		work -= cores * (a.after - at)
		at = a.after
		cores += a.cores
	}
	return at + work/cores
}
