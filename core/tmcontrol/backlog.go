package tmcontrol

import (
	"cmp"
	"maps"
	"slices"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmjob"
)

const (
	// minReportedWait is the shortest wait in ms that is reported. Shorter ones refuse nobody.
	minReportedWait = 500
	// waitIterations is how often the wait is corrected for the limits of teams.
	waitIterations = 8
	// sameWait is the fraction of the wait of a queue from which a team counts as having it. The
	// difference is within the margin that nodes leave to an estimate.
	sameWait = 1 / tmadmit.RefusalMargin
	// fullShare is the fraction of its cores that a full pool has free at most. Tasks that wait
	// although more is free wait for something else, such as a label, memory or the limit of
	// their team, and a new job need not wait for them.
	fullShare = 0.1
)

// poolBacklog is the short work in a pool and what it has for it.
type poolBacklog struct {
	// cores is what the pool has for short work now, free what of it is not reserved, and
	// readyCPU what the tasks need that could start now, all in thousandths of a core.
	cores, free, readyCPU float64
	// smallest is the least that one of these tasks reserves, 0 if there is none.
	smallest int64
	// endpoints are those that take short work.
	endpoints []*endpoint
	// bySize holds the capacities for short work by label, "" for all endpoints, without those
	// that another one covers. Those of labels are added when a step asks for one.
	bySize     map[string][]tmjob.Resources
	isLabelled bool
	// arrivals are the instances that move to the pool.
	arrivals []arrival
	queues   map[string]*queueBacklog
}

// arrival is capacity that a pool gets after a time, in thousandths of a core.
type arrival struct {
	after, cores float64
}

// queueBacklog is the remaining work of the jobs of a queue by team, in thousandths of a core
// times ms. timely is that of the jobs that can still meet their objective, useful that of the jobs
// that can end within tmadmit.UsefulObjectives times as much, all that of all jobs.
type queueBacklog struct {
	timely, useful, all map[string]float64
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
	if len(c.openJobs) == 0 {
		return nil
	}
	pools := c.poolCores()
	c.addWork(pools, wall)
	maps.DeleteFunc(pools, func(_ string, p *poolBacklog) bool { return !p.isFull() })
	out := map[string]tmadmit.Backlog{}
	for name, q := range c.rules.Queues {
		p := pools[q.Service]
		if p == nil {
			continue
		}
		if b := c.backlogOf(name, p); b.Wait >= minReportedWait {
			out[name] = b
		}
	}
	return out
}

// addWork adds the work of the short jobs to their pools, as far as these have endpoints.
func (c *Controller) addWork(pools map[string]*poolBacklog, wall int64) {
	for _, j := range c.openJobs {
		q, ok := c.rules.Queues[j.spec.Queue]
		p := pools[q.Service]
		if !ok || p == nil || j.longRunning {
			continue
		}
		for _, o := range j.occurrences {
			if o.left > 0 {
				c.addShortWork(p, o, q, wall)
			}
		}
	}
}

// addShortWork adds the work of an occurrence to that of its pool.
func (c *Controller) addShortWork(p *poolBacklog, o *occurrence, q Queue, wall int64) {
	j := o.job
	load := c.workload(o)
	work := max(0, load.work-c.runningWork(o)/2-c.blockedWork(o, p))
	p.addReady(o)
	b := p.queues[j.spec.Queue]
	if b == nil {
		b = &queueBacklog{timely: map[string]float64{}, useful: map[string]float64{}, all: map[string]float64{}}
		p.queues[j.spec.Queue] = b
	}
	b.jobs++
	b.work += work
	b.path += load.fullCriticalPath
	b.all[j.spec.Team] += work
	objective := q.objective(load.fullCriticalPath)
	end := float64(wall) + load.criticalPath - float64(j.spec.Due(o.number))
	if end <= tmadmit.UsefulObjectives*objective {
		b.useful[j.spec.Team] += work
	}
	if end <= objective {
		b.timely[j.spec.Team] += work
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

// blockedWork returns the work of the steps that no endpoint of the pool could take, and of those
// that depend on them. Nobody waits for it.
func (c *Controller) blockedWork(o *occurrence, p *poolBacklog) float64 {
	var blocked map[int]bool
	sum := 0.0
	for i, s := range o.steps {
		isBlocked := s.left > 0 && !p.couldTake(s)
		for _, a := range s.spec.After {
			isBlocked = isBlocked || blocked[a]
		}
		if !isBlocked {
			continue
		}
		if blocked == nil {
			blocked = map[int]bool{}
		}
		blocked[i] = true
		sum += c.meanEstimate(o.job.spec.Queue, s.spec) * float64(max(s.spec.Size.CPU, 100)) * float64(s.left)
	}
	return sum
}

// addReady adds what the tasks reserve that wait, depend on nothing more and have an endpoint that
// could take them.
func (p *poolBacklog) addReady(o *occurrence) {
	for _, s := range o.steps {
		if s.left == 0 || !s.ready() || !p.couldTake(s) {
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
		cpu := s.spec.Reservation().CPU
		if waiting > 0 && cpu > 0 && (p.smallest == 0 || cpu < p.smallest) {
			p.smallest = cpu
		}
		p.readyCPU += float64(waiting) * float64(cpu)
	}
}

// poolCores returns what each pool has for short work. An endpoint that is only avoided for a
// time counts, because the wait is longer than that.
func (c *Controller) poolCores() map[string]*poolBacklog {
	pools := map[string]*poolBacklog{}
	for _, e := range c.endpoints {
		if !e.listed || e.reserved || e.ending || !e.mayStart() || c.zonesOut[e.info.Zone] {
			continue
		}
		p := pools[e.info.Service]
		if p == nil {
			p = &poolBacklog{queues: map[string]*queueBacklog{}, bySize: map[string][]tmjob.Resources{}}
			pools[e.info.Service] = p
		}
		p.endpoints = append(p.endpoints, e)
		p.addSize("", e)
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
	return pools
}

// addSize adds what an endpoint has for short work to the capacities of a label.
func (p *poolBacklog) addSize(label string, e *endpoint) {
	size := e.info.Capacity.Sub(e.longRunning)
	for _, larger := range p.bySize[label] {
		if size.Fits(larger) {
			return
		}
	}
	others := slices.DeleteFunc(p.bySize[label], func(other tmjob.Resources) bool { return other.Fits(size) })
	p.bySize[label] = append(others, size)
}

// couldTake reports whether some endpoint of the pool could run a task of the step if no other
// short task ran there.
func (p *poolBacklog) couldTake(s *step) bool {
	if s.spec.Label != "" && !p.isLabelled {
		p.isLabelled = true
		for _, e := range p.endpoints {
			for _, label := range e.info.Labels {
				p.addSize(label, e)
			}
		}
	}
	return slices.ContainsFunc(p.bySize[s.spec.Label], s.spec.Reservation().Fits)
}

// isFull reports whether tasks wait for cores. What is free on an endpoint doesn't count if it is
// too little for any task that waits.
func (p *poolBacklog) isFull() bool {
	if p.cores <= 0 || p.readyCPU <= p.free {
		return false
	}
	usable := 0.0
	for _, e := range p.endpoints {
		if free := e.free().CPU; free > 0 && free >= p.smallest {
			usable += float64(free)
		}
	}
	return usable <= fullShare*p.cores
}

// backlogOf predicts the wait of a new job of a queue. If it can meet its objective it goes before
// the jobs that can't, if it can be of use at all before those that can't, and else it waits for
// all.
func (c *Controller) backlogOf(name string, p *poolBacklog) tmadmit.Backlog {
	q := c.rules.Queues[name]
	own := p.queues[name]
	timely, useful, all := map[string]float64{}, map[string]float64{}, map[string]float64{}
	for other, load := range p.queues {
		if c.goesBefore(other, name, p) {
			addTeams(timely, load.timely)
			addTeams(useful, load.useful)
			addTeams(all, load.all)
		}
	}
	path := 0.0
	if own != nil {
		path = own.path / max(own.jobs, 1)
	}
	objective := q.objective(path)
	ahead := c.waitFor(timely, p)
	if ahead.wait+path > objective {
		ahead = c.waitFor(useful, p)
	}
	if ahead.wait+path > tmadmit.UsefulObjectives*objective {
		ahead = c.waitFor(all, p)
	}
	b := tmadmit.Backlog{Wait: ahead.wait, Work: ahead.work / 1000}
	if b.Wait < minReportedWait {
		return b
	}
	b.Drain = b.Work / b.Wait
	b.Teams = c.teamsThatWait(ahead)
	if t := c.runTimes[name]; t != nil && t.Count() >= minEstimateRuns {
		b.Run = t.Mean()
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

// workAhead is the work that goes before a new job, and how long the pool needs for it.
type workAhead struct {
	wait, work float64
	// teams are sorted, amounts has what each adds to work.
	teams   []string
	amounts []float64
}

// waitFor returns how long the pool works on the work that goes first. The work of a team beyond
// what its limit lets run meanwhile doesn't count, since it holds nobody else up.
func (c *Controller) waitFor(byTeam map[string]float64, p *poolBacklog) workAhead {
	a := workAhead{teams: slices.Sorted(maps.Keys(byTeam)), amounts: make([]float64, len(byTeam))}
	for i := range waitIterations {
		before := a.work
		a.work = 0
		for k, team := range a.teams {
			a.amounts[k] = byTeam[team]
			if limit := c.rules.Teams[team].Limit.CPU; limit > 0 && i > 0 {
				a.amounts[k] = min(a.amounts[k], a.wait*float64(limit)/float64(c.shard.Count()))
			}
			a.work += a.amounts[k]
		}
		if a.wait = p.timeFor(a.work); a.work == before {
			break
		}
	}
	return a
}

// teamsThatWait returns the teams whose new jobs have to wait for about as long as all the work
// takes. While the pool is divided by the weights of the teams, those with less work for their
// weight are done earlier, and a new job of a team without work doesn't wait.
func (c *Controller) teamsThatWait(a workAhead) []string {
	weights := c.teamWeights(a.teams)
	left := slices.Clone(a.amounts)
	rate := a.work / a.wait
	for at := 0.0; ; {
		// The team that is done next, and the weights of those that are not done.
		next, sum := -1, 0.0
		for k, amount := range left {
			if amount > 0 {
				sum += weights[k]
				if next < 0 || amount/weights[k] < left[next]/weights[next] {
					next = k
				}
			}
		}
		if next < 0 {
			return nil
		}
		each := left[next] / weights[next]
		at += each * sum / rate
		if at >= sameWait*a.wait {
			return remaining(a.teams, left)
		}
		for k := range left {
			left[k] = max(0, left[k]-each*weights[k])
		}
		left[next] = 0
	}
}

// remaining returns the teams that have something left.
func remaining(teams []string, left []float64) []string {
	var out []string
	for k, amount := range left {
		if amount > 0 {
			out = append(out, teams[k])
		}
	}
	return out
}

// teamWeights returns the weights of teams. A team without one counts with the mean of the others.
func (c *Controller) teamWeights(teams []string) []float64 {
	out := make([]float64, len(teams))
	sum, n := 0.0, 0.0
	for k, team := range teams {
		if out[k] = c.rules.Teams[team].Weight; out[k] > 0 {
			sum += out[k]
			n++
		}
	}
	for k := range out {
		if out[k] <= 0 {
			out[k] = 1
			if n > 0 {
				out[k] = sum / n
			}
		}
	}
	return out
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
