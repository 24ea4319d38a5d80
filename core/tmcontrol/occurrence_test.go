package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// Guards against a timed job whose start lies long ago: all its occurrences became due at
// once and held up the jobs of the queue. Later ones follow as earlier ones end.
func TestFewOccurrencesAreOpenAtOnce(t *testing.T) {
	f := newFixture(t, 4)
	j := oneTask("j")
	j.Repeats, j.Interval, j.StartAt = 400, 1, 1
	f.c.Submitted(j)
	starts := f.advance(1000)
	open := f.c.jobs["j"]
	assert.Equal(t, len(open.occurrences), maxOpenOccurrences)
	assert.Equal(t, open.next, maxOpenOccurrences)
	assert.Assert(t, len(starts) > 0)
	first := starts[0].Ref
	f.c.Started(first, Accepted, f.now)
	f.end(first.Endpoint, first.Task, first.Run, EndDone)
	f.advance(100)
	assert.Equal(t, len(open.occurrences), maxOpenOccurrences)
	assert.Equal(t, open.next, maxOpenOccurrences+1)
	done := first.Task.Occurrence
	assert.DeepEqual(t, open.doneRanges(), []tmjob.OccurrenceRange{{First: done, Last: done}})
}

// Guards against occurrences that never run although the job is shown as completed: they
// waited, while a later one had started, when the owner changed.
func TestWaitingOccurrencesOutliveAHandover(t *testing.T) {
	f := newFixture(t, 1)
	c := f.newController(2)
	c.Submitted(timedJob("j", 4))
	task := tmjob.TaskRecord{Occurrence: 3, Runs: 1, Done: true}
	c.Restore(tmjob.Progress{ID: "j", Done: []tmjob.OccurrenceRange{{First: 0, Last: 0}}, Tasks: []tmjob.TaskRecord{task}}, f.now)
	c.Loaded()
	j := c.jobs["j"]
	assert.Assert(t, !j.final)
	for k, waiting := range []bool{false, true, true, false} {
		assert.Equal(t, j.occurrences[k] != nil, waiting, "occurrence %d", k)
	}
	assert.DeepEqual(t, storedProgress(j).Done, []tmjob.OccurrenceRange{{First: 0, Last: 0}, {First: 3, Last: 3}})
}

// Guards against an owner whose memory is exhausted by jobs for a later time, and against one whose
// steps are missing once it is due.
func TestTimedJobIsPackedUntilItIsDue(t *testing.T) {
	f := newFixture(t, 2)
	j := oneTask("j")
	j.Repeats, j.StartAt, j.Interval = 2, int64(f.now)+1000, 60_000
	first := j.Steps[0]
	for i := range minPackedSteps - 1 {
		s := first
		s.After = []int{i}
		j.Steps = append(j.Steps, s)
	}
	f.c.Submitted(j)
	known := f.c.jobs["j"]
	for n := range j.Repeats {
		assert.Assert(t, known.spec.Steps == nil && !known.packed.IsEmpty())
		assert.Equal(t, len(f.advance(100)), 0)
		f.now += tmclock.Millis(1000 + n*60_000)
		f.answerHold("e1")
		f.answerHold("e2")
		for i := range j.Steps {
			starts := f.advance(10)
			assert.Equal(t, len(starts), 1)
			assert.Equal(t, starts[0].Ref.Task.Step, i)
			f.end(starts[0].Ref.Endpoint, starts[0].Ref.Task, 1, EndDone)
		}
	}
	f.advance(10)
	assert.Assert(t, f.c.finalAt["j"] != 0)
}
