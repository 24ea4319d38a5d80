// Package tmcontrol decides what runs where. A Controller is the state machine
// of the one process that owns the fleet: jobs, configuration, lists of
// endpoints and answers go in; orders, changes to be stored and events come
// out. It does no I/O and never reads a clock.
//
// A placement is stored before the start order is sent, and an end is
// acknowledged to its endpoint only after its effects are stored. So a later
// owner that has read the store, and has shown its higher fencing token to an
// endpoint, knows every run that can exist there.
package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

// Controller is safe for use by one goroutine at a time.
type Controller struct {
	bounds Bounds
	token  int64
	rules  Rules
	note   func(tmevent.Event)

	jobs map[string]*job
	// order holds the jobs that are not final in order of arrival.
	order     []*job
	endpoints map[string]*endpoint
	// byID holds the endpoints in order of their id, unless resort is set;
	// onInstance holds them by instance.
	byID       []*endpoint
	resort     bool
	onInstance map[string][]*endpoint
	// now is the time of the last Tick, pastSwept that of the last look for jobs
	// to forget.
	now, pastSwept tmclock.Millis
	// past holds when jobs became final here: a feed may show them again.
	past     map[string]tmclock.Millis
	teams    map[string]tmjob.Resources
	shares   map[string]*shareMeter
	zonesOut map[string]bool
	runTimes map[string]*runTime

	dirty   []*job
	flushes int64
	// loaded says that all jobs of the store were taken in.
	loaded    bool
	starts    []StartOrder
	stops     []StopOrder
	paces     []PaceOrder
	questions []Question
	deposed   bool
	// confirmed is when the node was last seen to own the fleet.
	confirmed tmclock.Millis
	// pending counts the runs whose start was not answered yet.
	pending int
	// sent holds the first starts of runs in order of time, as far as some may be
	// pending.
	sent []*run

	fleet fleet
}

// New returns a controller of an owner with that fencing token. note receives
// every decision.
func New(bounds Bounds, token int64, note func(tmevent.Event)) *Controller {
	return &Controller{
		bounds: bounds, token: token, note: note,
		jobs: map[string]*job{}, endpoints: map[string]*endpoint{}, onInstance: map[string][]*endpoint{}, past: map[string]tmclock.Millis{},
		now: 1, teams: map[string]tmjob.Resources{}, shares: map[string]*shareMeter{}, zonesOut: map[string]bool{},
		runTimes: map[string]*runTime{},
		fleet:    newFleet(),
	}
}

// Deposed reports whether an endpoint has seen a higher fencing token.
func (c *Controller) Deposed() bool { return c.deposed }

func (c *Controller) event(name tmevent.Name, fields ...any) {
	c.note(tmevent.Event{Name: name, Fields: fields})
}

// SetRules installs a configuration.
func (c *Controller) SetRules(r Rules) {
	if r.Version <= c.rules.Version {
		return
	}
	c.rules = r
	c.event(tmevent.RulesInstalled, "version", r.Version, "queues", len(r.Queues), "teams", len(r.Teams))
}

// SetZoneOut takes an availability zone out, or puts it back.
func (c *Controller) SetZoneOut(zone string, out bool) {
	if c.zonesOut[zone] == out {
		return
	}
	c.zonesOut[zone] = out
	c.event(tmevent.ZoneOut, "zone", zone, "out", out)
}

// Submitted takes in a stored job. A job that is known is left as it is.
func (c *Controller) Submitted(spec tmjob.Job) {
	if _, ok := c.jobs[spec.ID]; ok || c.past[spec.ID] != 0 {
		return
	}
	j := newJob(spec)
	j.beyond = c.beyondShare(&j.spec)
	c.jobs[spec.ID] = j
	c.order = append(c.order, j)
}

// Cancelled takes in a stored cancellation.
func (c *Controller) Cancelled(id string) {
	j := c.jobs[id]
	if j == nil || j.final {
		return
	}
	j.cancel = true
	c.finish(j, tmjob.Cancelled, "cancelled by the caller")
}

// Finished takes in that an earlier owner has stored the outcome of a job.
func (c *Controller) Finished(id string) {
	c.past[id] = c.now
	if j := c.jobs[id]; j != nil {
		c.dropOrder(j)
		delete(c.jobs, id)
	}
}

// Removed takes in that the row of a job is gone: it is final.
func (c *Controller) Removed(id string) {
	if j := c.jobs[id]; j == nil || !j.final {
		c.past[id] = c.now
		if j != nil {
			c.finish(j, tmjob.Cancelled, "its row was removed")
		}
	}
}

// Restore takes in the stored progress of a job that was submitted to an
// earlier owner. Its open runs are in doubt until their endpoint answers.
func (c *Controller) Restore(p tmjob.Progress, now tmclock.Millis) {
	j := c.jobs[p.ID]
	if j == nil {
		return
	}
	for _, rec := range p.Tasks {
		if rec.Step < 0 {
			delete(j.occurrences, rec.Occurrence)
			j.next = max(j.next, rec.Occurrence+1)
			continue
		}
		j.open(rec.Occurrence)
		t := j.task(tmjob.TaskID{Job: p.ID, Occurrence: rec.Occurrence, Step: rec.Step, Index: rec.Index})
		if t == nil {
			c.event(tmevent.RecordIgnored, "job", p.ID, "step", rec.Step, "index", rec.Index)
			continue
		}
		j.begun = true
		t.runs, t.failures, t.saved = rec.Runs, rec.Failures, rec.Checkpoint
		j.failed = j.failed || t.failures > 0
		if rec.Done {
			t.done = true
			t.step.left--
			if t.step.left == 0 {
				t.step.occ.left--
			}
			continue
		}
		for _, place := range rec.Placements {
			c.restoreRun(t, place, now)
		}
	}
}

func (c *Controller) restoreRun(t *task, place tmjob.Placement, now tmclock.Millis) {
	e := c.endpoints[place.Endpoint]
	if e != nil && place.EndpointStart != 0 && e.info.Born > place.EndpointStart {
		// The endpoint has started again since, so the run is gone.
		c.event(tmevent.RunGone, "task", t.id.String(), "run", place.Run, "endpoint", place.Endpoint, "cause", "endpoint restarted")
		return
	}
	if e == nil {
		e = c.addEndpoint(Listing{ID: place.Endpoint, Born: place.EndpointStart})
		e.listed = false
	}
	// The earlier owner may go on renewing the lease where this one does not reach.
	e.coverUntil(now.Add(blindTime + tmclock.Span(float64(c.bounds.Lease)/slowestClock) + lapseMargin))
	r := c.addRun(t, e, place.Run)
	r.phase = doubtful
	if t.step.occ.job.final {
		c.stopRun(r, "job "+t.step.occ.job.state.String())
	}
}

// Loaded says that all stored jobs were taken in, so that placements may begin.
func (c *Controller) Loaded() { c.loaded = true }

func (c *Controller) addRun(t *task, e *endpoint, n int) *run {
	j := t.step.occ.job
	r := &run{
		task: t, n: n, ep: e, team: j.spec.Team,
		room: t.step.spec.Reservation(), size: t.step.spec.Size, pace: 100,
	}
	t.active = append(t.active, r)
	e.addRun(r)
	c.teams[r.team] = c.teams[r.team].Add(r.size)
	return r
}

// release takes a run off its endpoint once it surely is not running there.
func (c *Controller) release(r *run) {
	if r.ep.runs[r.key()] != r {
		return
	}
	r.ep.dropRun(r)
	c.answered(r)
	c.teams[r.team] = c.teams[r.team].Sub(r.size)
	r.task.drop(r)
	j := r.task.step.occ.job
	if j.final {
		c.forgetIfIdle(j)
		return
	}
	c.touch(j)
}

// answered takes a run out of those whose start was not answered.
func (c *Controller) answered(r *run) {
	if r.pending {
		r.pending = false
		c.pending--
	}
}

func (c *Controller) touch(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// finish decides the outcome of a job and stops what runs of it.
func (c *Controller) finish(j *job, state tmjob.State, cause string) {
	if j.final {
		return
	}
	j.final, j.state, j.cause = true, state, cause
	c.past[j.spec.ID] = c.now
	c.event(tmevent.JobFinal, "job", j.spec.ID, "queue", j.spec.Queue, "team", j.spec.Team, "state", state.String(), "cause", cause)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range append([]*run(nil), t.active...) {
					c.stopRun(r, "job "+state.String())
				}
			}
		}
	}
	c.dropOrder(j)
	c.touch(j)
}

func (c *Controller) dropOrder(j *job) {
	for i, have := range c.order {
		if have == j {
			c.order = append(c.order[:i], c.order[i+1:]...)
			return
		}
	}
}

// forgetIfIdle drops a final job that is stored and has no runs left.
func (c *Controller) forgetIfIdle(j *job) {
	if j.final && !j.dirty && j.idle() {
		delete(c.jobs, j.spec.ID)
	}
}

// Waiting returns for each queue the number of jobs of which no task has
// started.
func (c *Controller) Waiting() map[string]int {
	n := map[string]int{}
	for _, j := range c.order {
		if !j.begun {
			n[j.spec.Queue]++
		}
	}
	return n
}
