// Package tmcontrol schedules jobs and manages the instances of the fleet. A
// Controller is the state machine of the process that owns a shard of the fleet, or
// the whole fleet if it is not divided. Jobs,
// configuration, lists of endpoints and answers go in; orders, changes to be
// stored and events come out. It does no I/O and never reads a clock.
//
// A hold is the long-poll call to an endpoint that renews the endpoint's lease and
// returns its active runs and its ends. An end is the record of a run that has
// ended; the endpoint lists it until it is acknowledged.
//
// A placement is stored before its start order is sent, and the end of a run is
// acknowledged to its endpoint only after its effects are stored. A later owner
// that has read the store and has presented its higher fencing token to an
// endpoint therefore knows every run that can exist there.
package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmfence"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmquota"
	"turmericmoor/core/tmshard"
	"turmericmoor/core/tmstraggler"
)

// Controller is not safe for concurrent use: its methods must be called by one
// goroutine at a time.
type Controller struct {
	shard  tmshard.Shard
	bounds Bounds
	tokens tmfence.Tokens
	rules  Rules
	emit   func(tmevent.Event)

	jobs map[string]*job
	// openJobs holds the jobs that are not final in order of arrival.
	openJobs  []*job
	endpoints map[string]*endpoint
	// byID holds the endpoints in order of their id, unless needsSort is set;
	// onInstance holds them by instance.
	byID       []*endpoint
	needsSort  bool
	onInstance map[string][]*endpoint
	// now is the time of the last Tick, finalPrunedAt the time of the last pruning of
	// finalAt.
	now, finalPrunedAt tmclock.Millis
	// finalAt holds, by job id, when a job became final in this controller. A job is
	// kept here longer than in jobs, because a change feed of the store may deliver it
	// again.
	finalAt  map[string]tmclock.Millis
	teams    map[string]tmjob.Resources
	shares   map[string]*shareMeter
	zonesOut map[string]bool
	// orders holds by pool what the last pass found out about its order.
	orders map[string]*poolOrder
	// runTimes, failureRates and suspectPools hold what is learned from runs: by queue how
	// long they take and how often they fail, by pool the endpoints that are suspected.
	runTimes     map[string]*tmstraggler.Times
	failureRates map[string]*tmstraggler.Rate
	suspectPools map[string]*tmstraggler.Pool
	// copies bounds the second copies of straggling tasks.
	copies tmstraggler.Copies

	// dirty is the queue of the pages of progress to be stored. refused holds those that
	// the store has refused. flushLimit is the maximum number of entries of the next flush
	// after one was refused, 0 for no limit but that of the store.
	dirty, refused []*page
	flushLimit     int
	flushes        int64
	// loaded is set once all jobs of the store have been loaded, stale while the store has
	// not confirmed lately what the operator, the endpoints and callers have written.
	loaded, stale bool
	loadedAt      tmclock.Millis
	starts        []StartOrder
	stops         []StopOrder
	paces         []PaceOrder
	advice        adviceQueue
	// awaitingTicket holds the runs whose placement is stored and whose ticket has expired since.
	awaitingTicket []*run
	deposed        bool
	// confirmedAt is when this node was last confirmed as owner of the fleet.
	confirmedAt tmclock.Millis
	// pending counts the pending starts, from their placement until their order is answered or
	// overdue, overdue those whose order got no answer within slowStartAnswer. window limits
	// both.
	pending, overdue int
	window           startWindow
	// unansweredStarts holds the runs whose start order may be pending, in the order
	// in which the orders were sent.
	unansweredStarts []*run

	// endedLifetimes holds the endpoints of which a lifetime has ended since TakeEndedLifetimes was
	// last called.
	endedLifetimes []string
	// probing is the number of endpoints that are probed.
	probing int

	// newCrashes are the crashes of endpoints that are not attributed yet, recentCrashes
	// those within the last crashRetention.
	newCrashes, recentCrashes []*crash

	neighbours neighbours

	fleet fleet
	// quotas holds the shard's parts of the limits of teams, nil if the fleet is not
	// divided.
	quotas *tmquota.Ledger
}

// New returns a controller for the owner of a shard with that fencing token. emit
// receives every decision as an event.
func New(shard tmshard.Shard, bounds Bounds, token int64, emit func(tmevent.Event)) *Controller {
	c := &Controller{
		shard: shard, bounds: bounds, tokens: tmfence.New(token), emit: emit,
		jobs: map[string]*job{}, endpoints: map[string]*endpoint{}, onInstance: map[string][]*endpoint{}, finalAt: map[string]tmclock.Millis{},
		now: 1, teams: map[string]tmjob.Resources{}, shares: map[string]*shareMeter{}, zonesOut: map[string]bool{}, orders: map[string]*poolOrder{},
		runTimes: map[string]*tmstraggler.Times{}, failureRates: map[string]*tmstraggler.Rate{},
		suspectPools: map[string]*tmstraggler.Pool{}, window: newStartWindow(), neighbours: newNeighbours(),
		fleet: newFleet(),
	}
	if !shard.IsWhole() {
		c.quotas = tmquota.New(shard)
	}
	return c
}

// Deposed reports whether a call was rejected because of a higher fencing token.
func (c *Controller) Deposed() bool { return c.deposed }

func (c *Controller) event(name tmevent.Name, fields ...any) {
	c.emit(tmevent.Event{Name: name, Fields: fields})
}

// SetRules installs a configuration that is newer than the current one.
func (c *Controller) SetRules(r Rules) {
	if r.Version <= c.rules.Version {
		return
	}
	isFirst := c.rules.Version == 0
	c.rules = r
	if isFirst {
		c.addRestoredUsage()
	}
	c.setQuotas(r.Teams)
	c.event(tmevent.RulesInstalled, "version", r.Version, "queues", len(r.Queues), "teams", len(r.Teams))
}

// SetZoneOut takes an availability zone out of service or puts it back.
func (c *Controller) SetZoneOut(zone string, out bool) {
	if c.zonesOut[zone] == out {
		return
	}
	c.zonesOut[zone] = out
	c.event(tmevent.ZoneOut, "zone", zone, "out", out)
}

// Submitted adds a stored job. A known job is left unchanged.
func (c *Controller) Submitted(spec tmjob.Job) {
	if _, ok := c.jobs[spec.ID]; ok || c.finalAt[spec.ID] != 0 {
		return
	}
	j := newJob(spec)
	j.overShare = c.exceedsShare(&j.spec)
	c.jobs[spec.ID] = j
	c.openJobs = append(c.openJobs, j)
}

// Cancelled cancels a job whose cancellation is stored.
func (c *Controller) Cancelled(id string) {
	j := c.jobs[id]
	if j == nil || j.final {
		return
	}
	j.cancelled = true
	c.finish(j, tmjob.Cancelled, "cancelled by the caller")
}

// Finished loads the outcome of a job that an earlier owner has stored, after its progress.
// It reports whether the job has no runs and no rows of progress left. Otherwise these are
// stopped and removed, and a later flush has the outcome again.
func (c *Controller) Finished(id string, state tmjob.State) (idle bool) {
	c.finalAt[id] = c.now
	j := c.jobs[id]
	if j == nil {
		return true
	}
	c.removeOpenJob(j)
	c.markClean(j)
	if j.idle() && !j.hasRows() {
		delete(c.jobs, id)
		return true
	}
	j.final, j.state, j.hasStoredRuns = true, state, true
	c.stopRuns(j)
	if j.idle() {
		c.markPageDirty(j.head())
	}
	return false
}

// Removed records that the row of a job is gone, which makes the job final.
func (c *Controller) Removed(id string) {
	if j := c.jobs[id]; j == nil || !j.final {
		c.finalAt[id] = c.now
		if j != nil {
			c.finish(j, tmjob.Cancelled, "job row was removed")
		}
	}
}

// SetStale records whether what the operator, the endpoints and callers have written may have
// changed without this owner's knowledge. While it may have, nothing starts.
func (c *Controller) SetStale(stale bool) { c.stale = stale }

func (c *Controller) addRun(t *task, e *endpoint, n int) *run {
	j := t.step.occ.job
	r := &run{
		task: t, n: n, ep: e, team: j.spec.Team,
		reservation: t.step.spec.Reservation(), size: t.step.spec.Size, pace: 100,
	}
	t.addRun(r)
	e.addRun(r)
	c.enterPlace(r)
	c.teams[r.team] = c.teams[r.team].Add(r.size)
	c.addUsage(r)
	return r
}

// release takes a run off its endpoint once it certainly no longer runs there.
func (c *Controller) release(r *run) {
	if r.ep.runs[r.key()] != r {
		return
	}
	r.ep.dropRun(r)
	r.ep.keepLateStart(r, c.now)
	c.leavePlace(r)
	c.markAnswered(r)
	c.teams[r.team] = c.teams[r.team].Sub(r.size)
	c.subUsage(r)
	r.task.removeRun(r)
	j := r.task.step.occ.job
	switch {
	case !j.final:
		c.markDirty(r.task)
		c.closeIfIdle(r.task.step.occ)
	case j.hasStoredRuns && j.idle():
		c.markPageDirty(j.head())
	default:
		c.removeIfIdle(j)
	}
}

// markAnswered removes a run from the counts of pending and overdue starts.
func (c *Controller) markAnswered(r *run) {
	if r.pending {
		r.pending = false
		c.pending--
	}
	if r.overdue {
		r.overdue = false
		c.overdue--
	}
}

// finish sets the outcome of a job and stops its runs.
func (c *Controller) finish(j *job, state tmjob.State, cause string) {
	if j.final {
		return
	}
	j.final, j.state, j.cause = true, state, cause
	c.finalAt[j.spec.ID] = c.now
	c.event(tmevent.JobFinal, "job", j.spec.ID, "queue", j.spec.Queue, "team", j.spec.Team, "state", state.String(), "cause", cause)
	c.stopRuns(j)
	c.removeOpenJob(j)
	c.markPageDirty(j.head())
}

// stopRuns stops all runs of a final job.
func (c *Controller) stopRuns(j *job) {
	for r := range j.runs() {
		c.stopRun(r, "job "+j.state.String())
	}
}

func (c *Controller) removeOpenJob(j *job) {
	for i, have := range c.openJobs {
		if have == j {
			c.openJobs = append(c.openJobs[:i], c.openJobs[i+1:]...)
			return
		}
	}
}

// removeIfIdle drops a final job that is stored and has no runs left.
func (c *Controller) removeIfIdle(j *job) {
	if j.final && !j.isDirty() && j.idle() {
		delete(c.jobs, j.spec.ID)
	}
}

// Waiting returns the number of jobs without a started task, by queue.
func (c *Controller) Waiting() map[string]int {
	n := map[string]int{}
	for _, j := range c.openJobs {
		if !j.begun {
			n[j.spec.Queue]++
		}
	}
	return n
}
