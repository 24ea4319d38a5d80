package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// This file opens jobs: it makes their tasks known to the planner, as far as the memory of an owner
// has room for them.

const (
	// maxOpenOccurrences limits the occurrences of one job that are due and not done. Later
	// ones wait, so that a job whose start lies long ago doesn't flood its queue.
	maxOpenOccurrences = 50
	// maxOpenTasks limits the open tasks of all long-running jobs, and those of all others. A task
	// takes about 300 bytes.
	maxOpenTasks = 100_000
	// feasibleTasks is the part of them that is kept for jobs that could start: the fleet could run
	// them, and they don't wait behind others of the same kind. The rest stays open until it is
	// cancelled.
	feasibleTasks = maxOpenTasks / 2
)

// openRoom is for how many more tasks there is room.
type openRoom struct {
	short, longRunning int
}

// of returns the room that the tasks of a job take.
func (r *openRoom) of(j *job) *int {
	if j.longRunning {
		return &r.longRunning
	}
	return &r.short
}

// openAllDue opens the occurrences that have become due, in order of the arrival of their
// jobs.
func (c *Controller) openAllDue(now tmclock.Millis, wall int64) {
	room := openRoom{short: maxOpenTasks, longRunning: maxOpenTasks}
	for _, j := range c.openJobs {
		*room.of(j) -= len(j.occurrences) * j.tasksPerOccurrence
	}
	f := newFeasibility(c)
	for _, j := range c.openJobs {
		c.openDue(j, room.of(j), f, now, wall)
	}
}

// openDue opens the due occurrences of a job as long as there is room for their tasks.
func (c *Controller) openDue(j *job, room *int, f *feasibility, now tmclock.Millis, wall int64) {
	for j.next < j.spec.Occurrences() && j.openOccurrences() < maxOpenOccurrences {
		if j.spec.Repeats > 0 && wall < j.spec.Due(j.next) {
			return
		}
		if *room < j.tasksPerOccurrence {
			return
		}
		j.unpack()
		if *room-j.tasksPerOccurrence < feasibleTasks && (!f.couldRun(j) || !f.couldStart(j)) {
			return
		}
		*room -= j.tasksPerOccurrence
		c.addOccurrence(j.open(j.next), now, wall)
		f.opened(j)
	}
}

// taskKind is what decides when tasks can start: those of a kind wait for the same.
type taskKind struct {
	team, queue, label string
	longRunning        bool
	reservation        tmjob.Resources
}

func kindOf(j *job, s *tmjob.Step) taskKind {
	return taskKind{team: j.spec.Team, queue: j.spec.Queue, label: s.Label, longRunning: s.LongRunning, reservation: s.Reservation()}
}

// waitingTasks counts the open tasks by kind that are ready and have no run.
func (c *Controller) waitingTasks() map[taskKind]int64 {
	waiting := map[taskKind]int64{}
	for _, j := range c.openJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if n := s.left - s.runCount; n > 0 && s.ready() {
					waiting[kindOf(j, s.spec)] += int64(n)
				}
			}
		}
	}
	return waiting
}

// couldStart reports whether a first step of a job does not certainly wait behind open tasks of the
// same kind.
func (f *feasibility) couldStart(j *job) bool {
	if f.waiting == nil {
		f.waiting = f.c.waitingTasks()
	}
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		if len(s.After) == 0 && !f.waitsBehind(j, s) {
			return true
		}
	}
	return false
}

// waitsBehind reports whether so many tasks of the kind of a step wait that its own would wait
// behind them. Long-running tasks that run make room for none. Others end, so that those of a
// team wait for certain only if the limit of the team is the cause. A placement policy permits each
// step elsewhere.
func (f *feasibility) waitsBehind(j *job, s *tmjob.Step) bool {
	if f.c.rules.Queues[j.spec.Queue].NeedsAdvice {
		return false
	}
	waiting := f.waiting[kindOf(j, s)]
	if s.LongRunning || waiting == 0 {
		return waiting > 0
	}
	return !times(s.Size, waiting).Within(f.c.rules.Teams[j.spec.Team].Limit)
}

// opened counts the tasks of an occurrence that has just been opened.
func (f *feasibility) opened(j *job) {
	if f.waiting == nil {
		return
	}
	for i := range j.spec.Steps {
		if s := &j.spec.Steps[i]; len(s.After) == 0 {
			f.waiting[kindOf(j, s)] += int64(s.Count)
		}
	}
}
