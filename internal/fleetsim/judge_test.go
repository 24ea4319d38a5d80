package fleetsim

import (
	"fmt"
	"time"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmjob"
)

// judge notes what workers ran, and what breaks a promise. The world's mutex
// guards it.
type judge struct {
	w *world
	// active are the workers that run a task, done the tasks whose end as done
	// was acknowledged, ended those that ended so.
	active   map[tmjob.TaskID]map[string]int
	done     map[tmjob.TaskID]bool
	finished map[tmjob.TaskID]bool
	starts   map[tmjob.TaskID]int
	broken   []string
}

func newJudge(w *world) *judge {
	return &judge{
		w: w, active: map[tmjob.TaskID]map[string]int{}, done: map[tmjob.TaskID]bool{},
		finished: map[tmjob.TaskID]bool{}, starts: map[tmjob.TaskID]int{},
	}
}

func (j *judge) fail(format string, args ...any) {
	at := time.Since(j.w.began).Round(time.Millisecond)
	j.broken = append(j.broken, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

func (j *judge) started(k *worker, key taskRun, step *tmjob.Step) {
	if j.active[key.task] == nil {
		j.active[key.task] = map[string]int{}
	}
	for other := range j.active[key.task] {
		j.fail("%s runs twice at once, on %s and %s", key.task, other, k.id)
	}
	if j.done[key.task] {
		j.fail("%s starts again though its end was acknowledged", key.task)
	}
	job := j.w.jobs[key.task.Job]
	if job == nil {
		j.fail("%s starts and nobody submitted it", key.task)
		return
	}
	for _, a := range step.After {
		for i := range job.Steps[a].Count {
			if !j.finished[tmjob.TaskID{Job: key.task.Job, Step: a, Index: i}] {
				j.fail("%s starts before step %d is done", key.task, a)
			}
		}
	}
	var used tmjob.Amount
	for _, r := range k.runs {
		used = used.Add(r.size)
	}
	if !used.Fits(k.capacity) {
		j.fail("%s brings %s over its capacity", key.task, k.id)
	}
	if at, ok := j.w.cancelled[key.task.Job]; ok && time.Since(at) > cancelBound {
		j.fail("%s starts %v after its job was cancelled", key.task, time.Since(at))
	}
	j.active[key.task][k.id] = key.run
	j.starts[key.task]++
}

func (j *judge) ended(k *worker, key taskRun, how tmcontrol.End) {
	delete(j.active[key.task], k.id)
	if how == tmcontrol.EndDone {
		j.finished[key.task] = true
	}
}

func (j *judge) gone(k *worker, key taskRun) { delete(j.active[key.task], k.id) }

// noted takes in that an end was acknowledged to its worker.
func (j *judge) noted(e tmcontrol.Ended) {
	if e.How == tmcontrol.EndDone {
		j.done[e.Task] = true
	}
}

// shown checks a state that a caller was told.
func (j *judge) shown(id string, state tmjob.State) {
	if state != tmjob.Completed {
		return
	}
	job := j.w.jobs[id]
	for s := range job.Steps {
		for i := range job.Steps[s].Count {
			t := tmjob.TaskID{Job: id, Step: s, Index: i}
			if !j.finished[t] {
				j.fail("%s is shown as completed and %s is not done", id, t)
			}
		}
	}
}
