package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
)

func timedJob(id string, repeats int) tmjob.Job {
	j := oneTask(id)
	j.Repeats, j.StartAt, j.Interval = repeats, 1000, 1000
	return j
}

// Guards against an owner that replaces what an earlier one has stored by what it knows
// before it has read that: a timed job that is due and a cancelled one.
func TestNothingIsStoredBeforeAllIsLoaded(t *testing.T) {
	f := newFixture(t, 1)
	c := f.newController(2)
	c.Submitted(timedJob("timed", 3))
	c.Submitted(oneTask("cancelled"))
	c.Cancelled("cancelled")
	c.Tick(f.now, int64(f.now))
	c.Plan(f.now, int64(f.now))
	assert.Assert(t, c.TakeFlush(f.now) == nil)
	c.Restore(tmjob.Progress{ID: "timed", Tasks: []tmjob.TaskRecord{{Runs: 4}}}, f.now)
	c.Loaded()
	const secondDue = 2000
	c.Tick(f.now, secondDue)
	flush := c.TakeFlush(f.now)
	var timed, others []tmjob.TaskRecord
	for _, change := range flush.Changes {
		switch {
		case change.Progress == nil:
			assert.Equal(t, change.Job, "cancelled")
		case change.Job == "timed":
			timed = append(timed, change.Progress.Tasks...)
		default:
			others = append(others, change.Progress.Tasks...)
		}
	}
	assert.DeepEqual(t, timed, []tmjob.TaskRecord{{Runs: 4}})
	assert.Equal(t, len(others), 0)
}

// Guards against an outcome that changes: a job had completed when its cancellation was
// stored, and the next owner read the cancellation first.
func TestStoredOutcomeStays(t *testing.T) {
	f := newFixture(t, 1)
	c := f.newController(2)
	c.Submitted(oneTask("j"))
	c.Cancelled("j")
	assert.Assert(t, c.Finished("j", tmjob.Completed))
	c.Loaded()
	assert.Assert(t, c.TakeFlush(f.now) == nil)
}

// Guards against a job that begins anew because the row of its progress can't be read, and
// against a new row in place of that one. It can still be cancelled.
func TestUnreadableProgressIsNotTakenForNone(t *testing.T) {
	f := newFixture(t, 1)
	f.c = f.newController(2)
	f.c.SetEndpoint(f.endpointInfo(1), f.now)
	f.c.Submitted(oneTask("j"))
	f.c.Submitted(oneTask("other"))
	f.c.Withhold("j", []int{0})
	f.c.Loaded()
	f.answerHold("e1")
	for _, s := range f.advance(10) {
		assert.Equal(t, s.Ref.Task.Job, "other")
	}
	assert.Assert(t, f.c.jobs["j"] != nil && !f.c.jobs["j"].isDirty())
	f.c.Cancelled("j")
	assert.Equal(t, f.c.TakeFlush(f.now).Changes[0].Final, tmjob.Cancelled)
}

// Guards against a team that exceeds its limit, and an endpoint its capacity, after a
// hand-over: a job was cancelled, and its runs, which had not ended yet, were forgotten.
func TestRunsOfAFinalJobOutliveAHandover(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	first := f.advance(10)[0].Ref
	f.c.Cancelled("j")
	change := f.c.TakeFlush(f.now).Changes[0]
	assert.Equal(t, change.Final, tmjob.Cancelled)

	f.c = f.newController(2)
	rules := testRules(2)
	rules.Teams["t"] = Team{Name: "t", Weight: 1, Limit: tmjob.Resources{CPU: 1000}}
	f.c.SetRules(rules)
	f.c.Submitted(oneTask("j"))
	f.c.Submitted(oneTask("other"))
	f.c.SetEndpoint(f.endpointInfo(1), f.now)
	f.c.SetEndpoint(f.endpointInfo(2), f.now)
	f.c.Restore(*change.Progress, f.now)
	assert.Assert(t, !f.c.Finished("j", change.Final))
	f.c.Loaded()
	f.answerHold("e1")
	f.answerHold("e2")
	assert.Equal(t, len(f.order(10)), 0)
	f.end(first.Endpoint, first.Task, first.Run, EndStopped)
	f.c.Tick(f.now, int64(f.now))
	f.c.Plan(f.now, int64(f.now))
	for _, c := range f.c.TakeFlush(f.now).Changes {
		if c.Job == "j" {
			assert.Assert(t, c.Progress == nil && c.Final == tmjob.Cancelled)
		}
	}
	assert.Assert(t, !f.c.jobs["other"].idle())
}
