package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

// This file keeps the suspicions against tasks under which endpoints have crashed. Suspects
// start again in isolation, see isolation.go. The job of a suspect fails if its endpoint
// crashes there as well. A task that lasts is cleared.

// MinWorkTime is how long after its start a run must be listed by its endpoint to count as
// being at work.
const MinWorkTime = 200 * tmclock.Millisecond

const (
	// watchedCrashes is the number of crashes from which on a task is isolated for as long
	// as it runs. It may need a while to cause a crash.
	watchedCrashes = 3
	// maxCrashes is the number of crashes under a task after which its job fails whatever
	// else may have caused them.
	maxCrashes = 5
	// What a crash holds against a task that was starting: suspectedWeakly or more if it may
	// not have begun or may have been at work, otherwise suspectedInCompany or more, and
	// suspicionAlone on top of the earlier ones if it was isolated. The job fails at
	// maxSuspicions, so not before two endpoints have crashed under the task.
	suspectedWeakly    = 1
	suspectedInCompany = 2
	suspicionAlone     = 2
	maxSuspicions      = 4
	// maxStartingTime is the most time between a start and the first sign of a crash for
	// which a task that was not listed meanwhile was certainly starting.
	maxStartingTime = 2 * MinWorkTime
	// minCrashDelay is the time after which a long-running task starts again that would fail its job
	// if it were not to run until that is cancelled. It doubles with each further crash, up to
	// maxCrashDelay.
	minCrashDelay = 1000 * tmclock.Millisecond
	maxCrashDelay = 8000 * tmclock.Millisecond
	// exonerationTime is how long a run must last for the earlier crashes under its task
	// to be forgotten. A healthy task meets few crashes so soon after its starts.
	exonerationTime = 2 * tmclock.Second
)

// suspectedTask is a task that became more suspicious by a crash, and how much.
type suspectedTask struct {
	task  *task
	added int
}

// suspicionsAfter returns the suspicions of a task that was starting, the crash included. A
// run that was at work adds none, nor one that an earlier owner started, of which that is
// not known.
func (cr *crash) suspicionsAfter(t *task, starting int) int {
	n := t.suspicions
	for _, r := range cr.runs {
		switch {
		case r.task.culprit() != t || r.sentAt == 0 || r.atWork:
		case !r.begun || cr.mayHaveBeenAtWork(r):
			n = max(n, suspectedWeakly)
		case !r.isolated || starting > 1:
			n = max(n, suspectedInCompany)
		default:
			return n + suspicionAlone
		}
	}
	return n
}

// mayHaveBeenAtWork reports whether the owner could not see the endpoint for so long after the
// start of a run that the run may have been at work. In isolation that was asked for.
func (cr *crash) mayHaveBeenAtWork(r *run) bool {
	return !r.isolated && cr.noticedAt.Sub(r.startedAt) > maxStartingTime
}

// culprit returns the task to which a crash under t is attributed. All members of a gang
// start together, so the first stands for all.
func (t *task) culprit() *task {
	if t.step.spec.Gang {
		return t.step.tasks[0]
	}
	return t
}

// members returns the tasks that start together with t.
func (t *task) members() []*task {
	if t.step.spec.Gang {
		return t.step.tasks
	}
	return []*task{t}
}

// isStarting reports whether a run may still crash its endpoint by starting.
func (r *run) isStarting() bool {
	return !r.atWork || r.task.culprit().crashes >= watchedCrashes
}

// isSuspect reports whether a task may be the cause of a crash. It starts in isolation only.
func (t *task) isSuspect() bool {
	u := t.culprit()
	return u.suspicions > 0 || u.crashes >= watchedCrashes
}

// recordCrashUnder stores that an endpoint has crashed under a task, and fails the job of
// the task if that was once too often. A long-running task starts again in any case, alone on its
// endpoint, and later each time.
func (c *Controller) recordCrashUnder(t *task, endpoint string) {
	isBlamed := t.suspicions >= maxSuspicions || t.crashes >= maxCrashes
	if !isBlamed || t.step.spec.LongRunning {
		c.suspect(t, endpoint)
	}
	switch {
	case !isBlamed:
	case t.step.spec.LongRunning:
		t.suspicions = min(t.suspicions, maxSuspicions)
		t.notBefore = max(t.notBefore, c.now.Add(crashDelay(t.crashes)))
	default:
		c.markDirty(t)
		c.finish(t.step.occ.job, tmjob.Failed, "endpoints crashed under task "+t.id.String())
		c.explainCrashes(t)
	}
}

// crashDelay returns how long a long-running task waits after that many crashes.
func crashDelay(crashes int) tmclock.Span {
	delay := minCrashDelay
	for range max(0, crashes-maxCrashes) {
		delay = min(2*delay, maxCrashDelay)
	}
	return delay
}

// suspect stores that an endpoint has, or may have, crashed under a task.
func (c *Controller) suspect(t *task, endpoint string) {
	j := t.step.occ.job
	t.suspectedAt = c.now
	c.markDirty(t)
	if t.isSuspect() {
		j.hasSuspects = true
		c.event(tmevent.TaskSuspected, "task", t.id.String(), "endpoint", endpoint, "crashes", t.crashes, "suspicions", t.suspicions)
	}
}

// explainCrashes takes back the suspicions that the crashes caused by a task have added to
// others.
func (c *Controller) explainCrashes(cause *task) {
	for _, cr := range c.recentCrashes {
		if !slices.ContainsFunc(cr.suspected, func(s suspectedTask) bool { return s.task == cause }) {
			continue
		}
		for _, s := range cr.suspected {
			s.task.suspicions -= s.added
			c.markDirty(s.task)
		}
		cr.suspected = nil
	}
}

// exonerate forgets the crashes under a task that has lasted long enough.
func (c *Controller) exonerate(t *task) {
	if t.crashes == 0 && t.suspicions == 0 || !t.hasLasted() {
		return
	}
	t.crashes, t.suspicions = 0, 0
	for _, m := range t.members() {
		m.forgetLapses()
		c.markDirty(m)
	}
	for _, cr := range c.recentCrashes {
		cr.suspected = slices.DeleteFunc(cr.suspected, func(s suspectedTask) bool { return s.task == t })
	}
}

// hasLasted reports whether an endpoint has listed a run of the task for exonerationTime. In
// a gang each member must have lasted, since the others wait for one that has crashed its
// endpoint.
func (t *task) hasLasted() bool {
	for _, m := range t.members() {
		if !slices.ContainsFunc(m.active, (*run).hasLasted) {
			return false
		}
	}
	return true
}

func (r *run) hasLasted() bool {
	return r.atWork && r.settledAt.Sub(r.startedAt) >= exonerationTime
}
