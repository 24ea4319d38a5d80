package emulator

import (
	"time"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmjob"
)

// gangTimeout is how long the members of a gang wait for each other.
const gangTimeout = 3 * time.Second

// isGang reports whether a task is a member of a gang.
func (f *Fleet) isGang(t tmjob.TaskID) bool {
	s := f.step(t)
	return s != nil && s.Gang
}

// representative returns the task that stands for t: the first member of a gang, otherwise
// t itself.
func (f *Fleet) representative(t tmjob.TaskID) tmjob.TaskID {
	if f.isGang(t) {
		t.Index = 0
	}
	return t
}

// representedBy returns the tasks that are done once t is: all members of a gang, otherwise
// t alone.
func (f *Fleet) representedBy(t tmjob.TaskID) []tmjob.TaskID {
	if !f.isGang(t) {
		return []tmjob.TaskID{t}
	}
	tasks := make([]tmjob.TaskID, f.step(t).Count)
	for i := range tasks {
		tasks[i] = t
		tasks[i].Index = i
	}
	return tasks
}

// member is a run of a member of a gang at an endpoint.
type member struct {
	endpoint *Endpoint
	run      *activeRun
}

// members returns the active runs of the gang of a run.
func (f *Fleet) members(key taskRun) []member {
	var members []member
	gang := f.representative(key.task)
	for _, e := range f.endpoints {
		for other, r := range e.runs {
			if other.run == key.run && f.representative(other.task) == gang {
				members = append(members, member{endpoint: e, run: r})
			}
		}
	}
	return members
}

// joinGang lets a new run wait for the other members of its gang. Once all are there, they
// work for the run time of the first.
func (f *Fleet) joinGang(e *Endpoint, key taskRun) {
	r := e.runs[key]
	r.waiting, r.endsAt = true, time.Now().Add(gangTimeout)
	members := f.members(key)
	if len(members) < f.step(key.task).Count {
		return
	}
	endsAt := time.Now().Add(f.TaskDuration(f.representative(key.task)))
	for _, m := range members {
		if m.run.stopping {
			continue
		}
		m.run.waiting, m.run.endsAt = false, endsAt
		m.endpoint.notify()
	}
}

// breakGang ends the other members of a gang of which a run has ended.
func (f *Fleet) breakGang(key taskRun) {
	for _, m := range f.members(key) {
		m.endpoint.endRun(m.run.taskRun, tmcontrol.EndGangBroken)
	}
}

// awaitLostMember lets the other members of a gang wait for one whose endpoint has crashed.
func (f *Fleet) awaitLostMember(key taskRun) {
	for _, m := range f.members(key) {
		if !m.run.stopping {
			m.run.waiting, m.run.endsAt = true, time.Now().Add(gangTimeout)
		}
	}
}
