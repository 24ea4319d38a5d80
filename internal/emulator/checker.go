package emulator

import (
	"fmt"
	"time"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmjob"
)

// checker records the runs on all endpoints, independently of the state of the nodes.
type checker struct {
	// active holds the active runs of a task by endpoint, acknowledged the tasks whose
	// done end was acknowledged, finished all tasks of which a run ended as done.
	active       map[tmjob.TaskID]map[string]int
	acknowledged map[tmjob.TaskID]time.Time
	finished     map[tmjob.TaskID]bool
	failures     map[tmjob.TaskID]int
	// crashes counts the endpoints that a task has crashed, startsAfterCrashes its starts
	// since there were maxCrashes of them.
	crashes, startsAfterCrashes map[tmjob.TaskID]int
	// lastCrash is when a task last crashed its endpoint.
	lastCrash time.Time
	// losses counts the endpoints that have crashed under a task, whatever the cause,
	// soleLosses those of them on which no other task was starting.
	losses, soleLosses map[tmjob.TaskID]int
	// lostOrders holds the orders to crashed endpoints that are counted in losses.
	lostOrders map[lostOrder]bool
	starts     int
	violations []string
}

// lostOrder is a start of a task that was ordered at an endpoint after the end of its
// lifetime.
type lostOrder struct {
	task      tmjob.TaskID
	endpoint  string
	startedAt int64
}

func newChecker() checker {
	return checker{
		active: map[tmjob.TaskID]map[string]int{}, acknowledged: map[tmjob.TaskID]time.Time{},
		finished: map[tmjob.TaskID]bool{}, failures: map[tmjob.TaskID]int{},
		crashes: map[tmjob.TaskID]int{}, startsAfterCrashes: map[tmjob.TaskID]int{}, losses: map[tmjob.TaskID]int{}, soleLosses: map[tmjob.TaskID]int{},
		lostOrders: map[lostOrder]bool{},
	}
}

// copyTimeout is how long copies of a speculative task may start after its end was
// acknowledged.
const copyTimeout = time.Second

// maxEarlyMillis is how long before its due time a task may start, in milliseconds.
const maxEarlyMillis = 250

// maxAttempts is how many runs of a task may fail before its job fails.
const maxAttempts = 4

// A task that has crashed minCrashes endpoints may be given up. Once it has crashed
// maxCrashes, fewer than maxStartsAfterCrashes further starts are allowed.
const (
	minCrashes            = 2
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
	// A task that crashed none may be given up as well if as many endpoints have crashed
	// under it, and it was the only one that was starting on one of them, or if maxLosses
	// have.
	maxLosses = 5
	// startingTime is how long a run can't be told from one that crashes its endpoint,
	// unlistedTime the longest time for which it may be unlisted.
	startingTime = 200 * time.Millisecond
	unlistedTime = time.Second
)

// ReportViolation records the violation of a guarantee.
func (f *Fleet) ReportViolation(format string, args ...any) {
	at := time.Since(f.began).Round(time.Millisecond)
	f.checker.violations = append(f.checker.violations, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// Violations returns the recorded violations.
func (f *Fleet) Violations() []string { return f.checker.violations }

// Crashes returns how many endpoints a task has crashed.
func (f *Fleet) Crashes(t tmjob.TaskID) int { return f.checker.crashes[t] }

// LastCrash returns when a task last crashed its endpoint, the zero time if none has.
func (f *Fleet) LastCrash() time.Time { return f.checker.lastCrash }

// Starts returns how many runs were started.
func (f *Fleet) Starts() int { return f.checker.starts }

// recordStart records and checks a run that has just started. The timeouts after a
// cancellation and an evacuation don't apply to orders that were delayed in transit.
func (f *Fleet) recordStart(e *Endpoint, key taskRun, step *tmjob.Step, late bool) {
	c := &f.checker
	if c.active[key.task] == nil {
		c.active[key.task] = map[string]int{}
	}
	for other := range c.active[key.task] {
		if !step.Speculative {
			f.ReportViolation("%s runs on two endpoints at once, %s and %s", key.task, other, e.id)
		}
	}
	if at, ok := c.acknowledged[key.task]; ok && (!step.Speculative || !late && time.Since(at) > copyTimeout) {
		f.ReportViolation("%s starts again after its end was acknowledged", key.task)
	}
	if c.crashes[key.task] >= maxCrashes && !late {
		c.startsAfterCrashes[key.task]++
		if c.startsAfterCrashes[key.task] == maxStartsAfterCrashes {
			f.ReportViolation("%s starts %d times after it has crashed %d endpoints", key.task, maxStartsAfterCrashes, maxCrashes)
		}
	}
	job := f.jobs[key.task.Job]
	if early := job.Due(key.task.Occurrence) - time.Now().UnixMilli(); early > maxEarlyMillis {
		f.ReportViolation("%s starts %d ms before it is due", key.task, early)
	}
	for _, a := range step.After {
		for i := range job.Steps[a].Count {
			if !c.finished[tmjob.TaskID{Job: key.task.Job, Occurrence: key.task.Occurrence, Step: a, Index: i}] {
				f.ReportViolation("%s starts before step %d is done", key.task, a)
			}
		}
	}
	f.checkResources(e, key, job, step)
	if at, ok := f.cancelled[key.task.Job]; ok && !late && time.Since(at) > f.CancelTimeout {
		f.ReportViolation("%s starts %v after its job was cancelled", key.task, time.Since(at))
	}
	if at, ok := f.zonesOutOfService[e.zone]; ok && !late && time.Since(at) > f.EvacuationTimeout {
		f.ReportViolation("%s starts %v after zone %s was taken out of service", key.task, time.Since(at), e.zone)
	}
	c.active[key.task][e.id] = key.run
	c.starts++
}

// limitOverageRatio is how far a team may exceed its limit, as a part of the limit.
const limitOverageRatio = 0.1

func (f *Fleet) checkResources(e *Endpoint, key taskRun, job *tmjob.Job, step *tmjob.Step) {
	var used tmjob.Resources
	for _, r := range e.runs {
		used = used.Add(r.size)
	}
	if !used.Fits(e.capacity) {
		f.ReportViolation("start of %s exceeds the capacity of endpoint %s", key.task, e.id)
	}
	limit, ok := f.limits[job.Team]
	if !ok {
		return
	}
	var running int64
	for _, other := range f.endpoints {
		for k, r := range other.runs {
			if f.jobs[k.task.Job].Team == job.Team {
				running += r.size.CPU
			}
		}
	}
	if allowed := int64(float64(limit)*(1+limitOverageRatio)) + step.Size.CPU; running > allowed {
		f.ReportViolation("start of %s brings the running CPU of team %s to %d, at most %d allowed", key.task, job.Team, running, allowed)
	}
}

func (f *Fleet) recordEnd(e *Endpoint, key taskRun, reason tmcontrol.EndReason) {
	c := &f.checker
	delete(c.active[key.task], e.id)
	switch reason {
	case tmcontrol.EndDone:
		for _, t := range f.representedBy(key.task) {
			c.finished[t] = true
		}
	case tmcontrol.EndFailed:
		c.failures[key.task]++
	case tmcontrol.EndStopped, tmcontrol.EndLapsed, tmcontrol.EndGangBroken, tmcontrol.EndGangIncomplete:
	}
}

// recordLosses records the runs that end as their endpoint crashes.
func (c *checker) recordLosses(e *Endpoint) {
	now := time.Now()
	lost := map[tmjob.TaskID]bool{}
	for key, r := range e.runs {
		delete(c.active[key.task], e.id)
		t := e.fleet.representative(key.task)
		if lost[t] {
			continue
		}
		lost[t] = true
		c.losses[t]++
		if now.Sub(r.startedAt) < unlistedTime && !e.startedBeside(t, now.Add(-startingTime)) {
			c.soleLosses[t]++
		}
	}
}

// RecordOrder records a start order that is about to be sent. One to an endpoint that is
// down may have arrived just before the crash, as far as its sender can tell.
func (e *Endpoint) RecordOrder(t tmjob.TaskID) {
	order := lostOrder{task: e.fleet.representative(t), endpoint: e.id, startedAt: e.startedAt}
	if c := &e.fleet.checker; e.down && !c.lostOrders[order] {
		c.lostOrders[order] = true
		c.losses[order.task]++
	}
}

// startedBeside reports whether another task than t, or than the gang of t, has started
// since a time.
func (e *Endpoint) startedBeside(t tmjob.TaskID, since time.Time) bool {
	for other, r := range e.runs {
		if e.fleet.representative(other.task) != t && r.startedAt.After(since) {
			return true
		}
	}
	return false
}

// mayBeGivenUp reports whether a job may fail because of endpoints that crashed under a task.
func (c *checker) mayBeGivenUp(t tmjob.TaskID) bool {
	losses := c.losses[t]
	return c.crashes[t] >= minCrashes || losses >= minCrashes && c.soleLosses[t] > 0 || losses >= maxLosses
}

// recordAcknowledgement records that the owner acknowledged an end to its endpoint.
func (f *Fleet) recordAcknowledgement(end tmcontrol.EndedRun) {
	if end.Reason != tmcontrol.EndDone {
		return
	}
	for _, t := range f.representedBy(end.Task) {
		if _, ok := f.checker.acknowledged[t]; !ok {
			f.checker.acknowledged[t] = time.Now()
		}
	}
}

// tasksOf returns the tasks of all occurrences of a job.
func tasksOf(j *tmjob.Job) []tmjob.TaskID {
	var tasks []tmjob.TaskID
	for k := range j.Occurrences() {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				tasks = append(tasks, tmjob.TaskID{Job: j.ID, Occurrence: k, Step: s, Index: i})
			}
		}
	}
	return tasks
}

// CheckReportedState checks a job state that was reported to a caller.
func (f *Fleet) CheckReportedState(id string, state tmjob.State) {
	failed := false
	for _, t := range tasksOf(f.jobs[id]) {
		failed = failed || f.checker.failures[t] >= maxAttempts || f.checker.mayBeGivenUp(f.representative(t))
		if state == tmjob.Completed && !f.checker.finished[t] {
			f.ReportViolation("job %s is reported as completed but task %s is not done", id, t)
		}
	}
	if state == tmjob.Failed && !failed {
		f.ReportViolation("job %s is reported as failed but none of its tasks failed %d times or crashed %d endpoints", id, maxAttempts, minCrashes)
	}
}
