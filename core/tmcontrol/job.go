package tmcontrol

import (
	"cmp"
	"iter"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tminterference"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmlate"
	"turmericmoor/core/tmstraggler"
)

// job is an accepted job that is not final, or whose last runs are still stopping.
type job struct {
	spec tmjob.Job
	// packed holds the steps of a timed job while no occurrence is open, instead of spec.
	packed      tmjob.PackedSteps
	longRunning bool
	// tasksPerOccurrence is the number of tasks of one occurrence.
	tasksPerOccurrence int
	// occurrences holds, by number, the occurrences that have become due, except those
	// that are done and have no runs left.
	occurrences map[int]*occurrence
	// next is the number of the first occurrence that has not become due.
	next int
	// pages holds the pages of the progress by number.
	pages map[int]*page
	// final is set once the outcome is decided; state is that outcome.
	final bool
	state tmjob.State
	// begun is set once some task was started, by what its endpoint has said.
	begun bool
	// hasStoredRuns is set if the job is final and its progress is stored nevertheless,
	// because runs had not ended. rowsReleased is set once it is not needed any more.
	hasStoredRuns, rowsReleased bool
	// runCount is the number of runs.
	runCount int
	// cancelled is set if the caller cancelled the job.
	cancelled bool
	cause     string
	// failed is set if a run of some task has failed.
	failed bool
	// hasSuspects is set once some task has become a suspect.
	hasSuspects bool
	// speculative is set if some step permits second copies of its tasks.
	speculative bool
	// overShare is set if the team was over its share when the job arrived.
	overShare bool
	// deferred is set once the job waits behind others because it can't meet its objective.
	deferred bool
}

// occurrence is one execution of all steps of a job. A timed job has one for each
// time at which it is due; any other job has one.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	// left counts the steps that are not done, runCount the runs.
	left, runCount int
	// firstSince is since when the occurrence is among the first of its pool because it is
	// aged, 0 if it has started something since. passedOverUntil is until when others go
	// before it, because nothing of it could start. Both are wall-clock times.
	firstSince, passedOverUntil int64
}

type step struct {
	occ   *occurrence
	i     int
	spec  *tmjob.Step
	tasks []*task
	// left counts the tasks that are not done, runCount the runs.
	left, runCount int
	// took holds the run times of the tasks that are done.
	took tmstraggler.Times
	// blockedSince is since when the step has found no place while endpoints are avoided.
	blockedSince tmclock.Millis
	// group tells whether the tasks of the step take alike.
	group tminterference.Group
	// costs is what a task of the step and those beside it lose to each other, as of
	// costsVersion. It is nil if nothing is known.
	costs        *tminterference.Costs
	costsVersion int64
	// advice is the answer of the placement policy, where the queue needs it.
	advice advice
}

type task struct {
	id       tmjob.TaskID
	step     *step
	page     *page
	runs     int
	failures int
	// heldSince is since when the last attempt waits for an endpoint without recent failures.
	heldSince tmclock.Millis
	// hasFailed is set once this owner has seen a run fail, begun once an endpoint has started one.
	hasFailed, begun bool
	// crashes counts the endpoints that have crashed under the task. suspicions tells
	// how likely the task caused them by starting, from 0 to maxSuspicions.
	crashes, suspicions int
	// suspectedAt is when the task last became a suspect.
	suspectedAt tmclock.Millis
	done        bool
	checkpoint  string
	active      []*run
	// lapsed holds the runs whose lapse counts as a crash as long as their endpoints are
	// silent.
	lapsed []*run
	// notBefore is the earliest time of the next start after a start was refused.
	notBefore tmclock.Millis
}

// phase is the stage of a run between the decision to start it and its end.
type phase int

const (
	// planned: placed, but the placement is not stored yet.
	planned phase = iota
	// ordered: the start order was sent or is about to be.
	ordered
	// active: the endpoint has confirmed the run.
	active
	// unconfirmed: loaded from the store after a change of owner.
	unconfirmed
)

// run is one attempt at a task at an endpoint. A run with stop set has to end.
type run struct {
	task        *task
	n           int
	ep          *endpoint
	reservation tmjob.Resources
	size        tmjob.Resources
	team        string
	// pool is the pool of which the run counts as usage of its team, or "".
	pool  string
	phase phase
	// placementStored is set once the placement is stored.
	placementStored bool
	// gangCheckpoint is the checkpoint that all members of the gang of the run start from.
	gangCheckpoint string
	// pending and overdue are set while the run counts as a pending or an overdue start.
	pending, overdue bool
	// settledAt is when the last order or hold about the run was answered or timed out.
	// A list of runs shows that the run is gone only if it was requested later.
	settledAt tmclock.Millis
	// sentAt is when the last start order was sent. inFlight is set while the answer to
	// that order is outstanding. unanswered is set if a start order got no answer and
	// may have been carried out.
	sentAt     tmclock.Millis
	inFlight   bool
	unanswered bool
	tries      int
	// sends counts the sends of the start order.
	sends     tmlate.Sends
	startedAt tmclock.Millis
	// begun is set once the endpoint has accepted or listed the run.
	begun bool
	// atWork is set once the endpoint has listed the run MinWorkTime after its start.
	atWork bool
	// listed is set once the endpoint has listed the run as active. crashed is set if the
	// endpoint has crashed since the start order; the run may have started late, on the new
	// lifetime.
	listed, crashed bool
	// isolated is set if the task was started in isolation. counted is set if the run is
	// already counted as one under which an endpoint has crashed.
	isolated, counted bool
	percent           int
	// progressedAt is when percent last changed.
	progressedAt tmclock.Millis
	usage        int64
	pace         int
	pacedAt      tmclock.Millis
	// ticket is the token of the placement policy that the start order carries, or "".
	// ticketWantedAt is since when it has expired, 0 if it has not.
	ticket         string
	ticketWantedAt tmclock.Millis
	// mark is the moment from which the neighbours of the run count.
	mark          tminterference.Mark
	stop          bool
	stopSentAt    tmclock.Millis
	stopConfirmed bool
	stopReason    string
}

// markBegun records that the endpoint has accepted or listed the run.
func (r *run) markBegun() {
	r.begun, r.task.begun = true, true
	r.sends.CarriedOut()
	r.task.step.occ.job.begun = true
}

func (r *run) key() runKey { return runKey{task: r.task.id, run: r.n} }

func newJob(spec tmjob.Job) *job {
	j := &job{spec: spec, longRunning: spec.LongRunning(), tasksPerOccurrence: spec.Tasks(), occurrences: map[int]*occurrence{}, pages: map[int]*page{}}
	j.speculative = slices.ContainsFunc(spec.Steps, func(s tmjob.Step) bool { return s.Speculative })
	j.page(0)
	j.pack()
	return j
}

// minPackedSteps is the number of steps from which on a timed job is packed.
const minPackedSteps = 32

// pack packs the steps of a timed job of which no occurrence is open. Very many such jobs may wait
// for a later time.
func (j *job) pack() {
	if j.spec.Repeats == 0 || len(j.occurrences) > 0 || len(j.spec.Steps) < minPackedSteps {
		return
	}
	if packed, err := tmjob.PackSteps(j.spec.Steps); err == nil {
		j.packed, j.spec.Steps = packed, nil
	}
}

// unpack restores the steps.
func (j *job) unpack() {
	if j.packed.IsEmpty() {
		return
	}
	steps, err := j.packed.Unpack()
	if err != nil {
		panic("tmcontrol: " + err.Error())
	}
	j.spec.Steps, j.packed = steps, tmjob.PackedSteps{}
}

// open adds occurrence k with all tasks waiting, unless it exists.
func (j *job) open(k int) *occurrence {
	if o, ok := j.occurrences[k]; ok {
		return o
	}
	j.unpack()
	o := &occurrence{job: j, number: k, left: len(j.spec.Steps)}
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
	j.addPages(o)
	j.next = max(j.next, k+1)
	return o
}

// restore opens the occurrences that had become due by the time of the last one with a
// record and are not done. Some have no record themselves: their tasks are waiting. It
// reports false if there are more than owners open.
func (j *job) restore(p *tmjob.Progress) bool {
	for _, r := range p.Done {
		j.next = max(j.next, min(r.Last, j.spec.Occurrences()-1)+1)
	}
	for i := range p.Tasks {
		if k := p.Tasks[i].Occurrence; k < j.spec.Occurrences() {
			j.next = max(j.next, k+1)
		}
	}
	gaps := tmjob.Gaps(p.Done, j.next)
	open := 0
	for _, g := range gaps {
		open += g.Last - g.First + 1
	}
	if open > maxRestoredOccurrences {
		return false
	}
	for _, g := range gaps {
		for k := g.First; k <= g.Last; k++ {
			j.open(k)
		}
	}
	return true
}

// isDone reports whether all occurrences of the job are done.
func (j *job) isDone() bool {
	for _, o := range j.occurrences {
		if o.left > 0 {
			return false
		}
	}
	return j.next == j.spec.Occurrences()
}

// openOccurrences counts the occurrences that are due and not done.
func (j *job) openOccurrences() int {
	if j.spec.Repeats == 0 {
		return 0
	}
	n := 0
	for _, o := range j.occurrences {
		if o.left > 0 {
			n++
		}
	}
	return n
}

func (j *job) task(id tmjob.TaskID) *task {
	o := j.occurrences[id.Occurrence]
	if o == nil || id.Step < 0 || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return o.steps[id.Step].tasks[id.Index]
}

// tasks returns the tasks of an occurrence, step by step.
func (o *occurrence) tasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// inOrder appends the occurrences that are known to list, which is empty, by their number.
func (j *job) inOrder(list []*occurrence) []*occurrence {
	for _, o := range j.occurrences {
		list = append(list, o)
	}
	if len(list) > 1 {
		slices.SortFunc(list, func(a, b *occurrence) int { return cmp.Compare(a.number, b.number) })
	}
	return list
}

// tasks returns the tasks of the occurrences that are known, in their order.
func (j *job) tasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		var one [1]*occurrence // Most jobs have one.
		for _, o := range j.inOrder(one[:0]) {
			for t := range o.tasks() {
				if !yield(t) {
					return
				}
			}
		}
	}
}

// runs returns the runs of the job. No run may be added or removed meanwhile.
func (j *job) runs() iter.Seq[*run] {
	return func(yield func(*run) bool) {
		for t := range j.tasks() {
			for _, r := range t.active {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// idle reports whether the job has no runs left.
func (j *job) idle() bool { return j.runCount == 0 }

// idle reports whether the occurrence has no runs left.
func (o *occurrence) idle() bool { return o.runCount == 0 }

// ready reports whether all steps that s depends on are done.
func (s *step) ready() bool {
	for _, a := range s.spec.After {
		if s.occ.steps[a].left > 0 {
			return false
		}
	}
	return true
}

// setCheckpoint records a checkpoint that a run of the task has reported, if it is not "".
// That of any member is valid for a gang; the first task keeps it.
func (t *task) setCheckpoint(checkpoint string) {
	if checkpoint != "" {
		t.members()[0].checkpoint = checkpoint
	}
}

// gangCheckpoint returns the checkpoint of the gang, or "". Earlier versions kept one for
// each member.
func (s *step) gangCheckpoint() string {
	for _, t := range s.tasks {
		if t.checkpoint != "" {
			return t.checkpoint
		}
	}
	return ""
}

func (t *task) waiting(now tmclock.Millis) bool {
	return !t.done && !t.page.refused && !now.Before(t.notBefore) && (len(t.active) == 0 || t.wantsCopy())
}

// wantsCopy reports whether a speculative copy of a task should run because the
// endpoint of its first run doesn't answer. A task under which an endpoint has crashed
// gets none.
func (t *task) wantsCopy() bool {
	return t.step.spec.Speculative && !t.step.spec.Gang && len(t.active) == 1 && t.crashes == 0 &&
		t.active[0].phase != planned && !t.active[0].ep.answering
}

// isServing reports whether a long-running task serves its users. Runs on an
// endpoint that doesn't answer don't count.
func (t *task) isServing() bool {
	for _, r := range t.active {
		if r.phase == active && !r.stop && r.percent >= 100 && r.ep.answering {
			return true
		}
	}
	return false
}

func (t *task) addRun(r *run) {
	t.active = append(t.active, r)
	t.step.runCount++
	t.step.occ.firstSince = 0
	t.step.occ.runCount++
	t.step.occ.job.runCount++
}

func (t *task) removeRun(r *run) {
	i := slices.Index(t.active, r)
	if i < 0 {
		return
	}
	t.active = append(t.active[:i], t.active[i+1:]...)
	t.step.runCount--
	t.step.occ.runCount--
	t.step.occ.job.runCount--
}

func (r *run) placement() tmjob.Placement {
	return tmjob.Placement{Run: r.n, Endpoint: r.ep.info.ID, EndpointStart: r.ep.info.StartedAt, Isolated: r.isolated}
}

func (t *task) record() (tmjob.TaskRecord, bool) {
	if t.runs == 0 && !t.done && t.crashes == 0 {
		return tmjob.TaskRecord{}, false
	}
	rec := tmjob.TaskRecord{
		Occurrence: t.id.Occurrence, Step: t.id.Step, Index: t.id.Index,
		Runs: t.runs, Failures: t.failures, Crashes: t.crashes, Suspicions: t.suspicions, Done: t.done, Begun: t.begun && !t.done,
		Checkpoint: t.checkpoint,
	}
	for _, r := range t.active {
		rec.Placements = append(rec.Placements, r.placement())
	}
	for _, r := range t.lapsed[max(0, len(t.lapsed)-maxStoredLapses):] {
		place := r.placement()
		place.Lapsed = true
		rec.Placements = append(rec.Placements, place)
	}
	return rec, true
}
