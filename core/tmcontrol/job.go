package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// job is an accepted job that is not final, or whose last runs still stop.
type job struct {
	spec tmjob.Job
	long bool
	// occurrences holds those that are due and not yet done.
	occurrences map[int]*occurrence
	// next is the first occurrence that has not come due.
	next int
	// final is set when the outcome is decided; state is that outcome.
	final bool
	state tmjob.State
	// begun says that some task was started.
	begun bool
	dirty bool
	// cancel says that the caller cancelled the job.
	cancel bool
	cause  string
	// failed says that a run of some task has failed.
	failed bool
	// beyond says that the team was ahead of its share when the job arrived.
	beyond bool
}

type occurrence struct {
	job   *job
	k     int
	steps []*step
	left  int
}

type step struct {
	occ   *occurrence
	i     int
	spec  *tmjob.Step
	tasks []*task
	// left counts the tasks that are not done.
	left int
	// took is the mean run time of the tasks that are done.
	took runTime
	// advice is the answer of the external policy, where the queue needs it.
	advice advice
}

type task struct {
	id       tmjob.TaskID
	step     *step
	runs     int
	failures int
	done     bool
	saved    string
	active   []*run
	// notBefore delays the next start after a failure.
	notBefore tmclock.Millis
}

// phase is where a run is between the decision to start it and its end.
type phase int

const (
	// planned: placed, waiting for the placement to be stored.
	planned phase = iota
	// ordered: the start was sent, or is about to be.
	ordered
	// active: the endpoint confirmed the run.
	active
	// doubtful: known from the store after a change of owner.
	doubtful
)

// run is one start of a task at an endpoint. A run with stop set is to end.
type run struct {
	task  *task
	n     int
	ep    *endpoint
	room  tmjob.Resources
	size  tmjob.Resources
	team  string
	phase phase
	// pending says that the run counts among those whose start was not answered.
	pending bool
	// settled is when the last definite answer about the run arrived. Only
	// lists asked for later can show that the run is gone.
	settled tmclock.Millis
	// sentAt is when the last order was sent; inFlight says that its answer is
	// still awaited, doubt that an order got no answer.
	sentAt   tmclock.Millis
	inFlight bool
	doubt    bool
	tries    int
	began    tmclock.Millis
	percent  int
	// moved is when percent last changed.
	moved   tmclock.Millis
	usage   int64
	pace    int
	paced   tmclock.Millis
	ticket  string
	stop    bool
	stopAt  tmclock.Millis
	stopped bool
	why     string
}

func (r *run) key() runKey { return runKey{task: r.task.id, run: r.n} }

func newJob(spec tmjob.Job) *job {
	return &job{spec: spec, long: spec.LongRunning(), occurrences: map[int]*occurrence{}}
}

// open adds occurrence k with all tasks waiting.
func (j *job) open(k int) *occurrence {
	if o, ok := j.occurrences[k]; ok {
		return o
	}
	o := &occurrence{job: j, k: k, left: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		s := &step{occ: o, i: i, spec: &j.spec.Steps[i]}
		s.left = s.spec.Count
		for x := range s.spec.Count {
			id := tmjob.TaskID{Job: j.spec.ID, Occurrence: k, Step: i, Index: x}
			s.tasks = append(s.tasks, &task{id: id, step: s})
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences[k] = o
	if k >= j.next {
		j.next = k + 1
	}
	return o
}

func (j *job) task(id tmjob.TaskID) *task {
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// idle reports whether no run of the job is left.
func (j *job) idle() bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if len(t.active) > 0 {
					return false
				}
			}
		}
	}
	return true
}

// ready reports whether all steps that s runs after are done.
func (s *step) ready() bool {
	for _, a := range s.spec.After {
		if s.occ.steps[a].left > 0 {
			return false
		}
	}
	return true
}

func (t *task) waiting(now tmclock.Millis) bool {
	return !t.done && !now.Before(t.notBefore) && (len(t.active) == 0 || t.wantsCopy())
}

// wantsCopy reports whether a second copy of a task may and should run: the
// endpoint of the first one does not answer.
func (t *task) wantsCopy() bool {
	return t.step.spec.Speculative && !t.step.spec.Gang && len(t.active) == 1 &&
		t.active[0].phase != planned && !t.active[0].ep.answering
}

// atWork reports whether a long-running task serves its users, as far as its
// endpoint still answers.
func (t *task) atWork() bool {
	for _, r := range t.active {
		if r.phase == active && !r.stop && r.percent >= 100 && r.ep.answering {
			return true
		}
	}
	return false
}

func (t *task) drop(r *run) {
	for i, have := range t.active {
		if have == r {
			t.active = append(t.active[:i], t.active[i+1:]...)
			return
		}
	}
}

// progress returns what has to be stored of the job.
func (j *job) progress() tmjob.Progress {
	p := tmjob.Progress{ID: j.spec.ID}
	for k := range j.next {
		o := j.occurrences[k]
		if o == nil {
			// The occurrence is done: a record with step -1 stands for it.
			p.Tasks = append(p.Tasks, tmjob.TaskRecord{Occurrence: k, Step: -1, Done: true})
			continue
		}
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if r, ok := t.record(); ok {
					p.Tasks = append(p.Tasks, r)
				}
			}
		}
	}
	return p
}

func (t *task) record() (tmjob.TaskRecord, bool) {
	if t.runs == 0 && !t.done {
		return tmjob.TaskRecord{}, false
	}
	rec := tmjob.TaskRecord{
		Occurrence: t.id.Occurrence, Step: t.id.Step, Index: t.id.Index,
		Runs: t.runs, Failures: t.failures, Done: t.done, Checkpoint: t.saved,
	}
	for _, r := range t.active {
		rec.Placements = append(rec.Placements, tmjob.Placement{Run: r.n, Endpoint: r.ep.info.ID, EndpointStart: r.ep.info.Born})
	}
	return rec, true
}
