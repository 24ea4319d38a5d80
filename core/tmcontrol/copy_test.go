package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmstraggler"
)

// newCopyFixture returns a fixture whose tasks have the given number of attempts.
func newCopyFixture(t *testing.T, attempts int) *fixture {
	f := newFixture(t, 3)
	rules := testRules(2)
	q := rules.Queues["q"]
	q.Attempts = attempts
	rules.Queues["q"] = q
	f.c.SetRules(rules)
	return f
}

// straggle starts a step of twelve tasks, of which all but the last end after 800 ms. The last
// is at 12% after a second. It returns the starts that follow.
func (f *fixture) straggle(speculative, suspected bool, cpu int64) []StartOrder {
	j := oneTask("j")
	j.Steps[0].Count, j.Steps[0].Size, j.Steps[0].Speculative = 12, tmjob.Resources{CPU: cpu}, speculative
	f.c.Submitted(j)
	for started := 0; started < 12; {
		started += len(f.advance(1))
	}
	f.now += 800
	for id := range f.runs {
		for i := len(f.runs[id]) - 1; i >= 0; i-- {
			if r := f.runs[id][i]; r.Task.Job == "j" && r.Task.Index < 11 {
				f.end(id, r.Task, r.Run, EndDone)
			} else {
				f.runs[id][i].Percent = 12
			}
		}
	}
	f.now += 200
	for id := range f.runs {
		f.answerHold(id)
	}
	if suspected {
		f.suspectEndpointOf(11)
	}
	return f.advance(1)
}

// suspectEndpointOf makes the endpoint that runs a task of job j suspected of being slow. A pool of three
// permits no second suspect.
func (f *fixture) suspectEndpointOf(index int) {
	t := f.c.jobs["j"].task(tmjob.TaskID{Job: "j", Index: index})
	f.c.suspectEndpoint(t.active[0].ep, tmstraggler.Suspicion{Cause: tmstraggler.Slow, Severity: 5}, f.now)
}

// Guards against a task that runs twice although its step doesn't permit it, and against the
// long tasks of a speculative step that hold up their job.
func TestStragglerGetsCopyIfPermitted(t *testing.T) {
	for _, speculative := range []bool{true, false} {
		f := newCopyFixture(t, 3)
		starts := f.straggle(speculative, true, 1000)
		assert.Equal(t, len(starts) == 1, speculative)
		if !speculative {
			continue
		}
		last := f.c.jobs["j"].task(starts[0].Ref.Task)
		assert.Equal(t, len(last.active), 2)
		assert.Assert(t, last.active[0].ep != last.active[1].ep)
		f.end(starts[0].Ref.Endpoint, starts[0].Ref.Task, starts[0].Ref.Run, EndDone)
		_, stops, _ := f.c.TakeOrders(f.now)
		assert.Equal(t, len(stops), 1)
		assert.Equal(t, stops[0].Ref.Run, 1)
	}
}

// Guards against copies of tasks that are long by themselves and take as long elsewhere.
func TestNoCopyFromASoundEndpoint(t *testing.T) {
	f := newCopyFixture(t, 3)
	assert.Equal(t, len(f.straggle(true, false, 1000)), 0)
}

// Guards against a job that fails because of a copy: the failures of both runs would be all that its
// task has.
func TestNoCopyWithTheLastAttempts(t *testing.T) {
	f := newCopyFixture(t, 2)
	assert.Equal(t, len(f.straggle(true, true, 1000)), 0)
}

// Guards against copies that take what is left of the capacity of an almost full pool.
func TestNoCopyWithoutSpareCapacity(t *testing.T) {
	for others, copies := range map[int]int{4: 1, 6: 0} {
		f := newCopyFixture(t, 3)
		j := oneTask("other")
		j.Steps[0].Count, j.Steps[0].Size = others, tmjob.Resources{CPU: 3500}
		f.c.Submitted(j)
		f.advance(1)
		assert.Equal(t, len(f.straggle(true, true, 80)), copies, "%d other tasks", others)
	}
}

// Guards against copies of many tasks at once: more than a tenth of the runs.
func TestCopiesAreATenthOfTheRuns(t *testing.T) {
	f := newCopyFixture(t, 3)
	j := oneTask("j")
	j.Steps[0].Count, j.Steps[0].Size, j.Steps[0].Speculative = 30, tmjob.Resources{CPU: 100}, true
	f.c.Submitted(j)
	for started := 0; started < 30; {
		started += len(f.advance(1))
	}
	f.now += 800
	for id := range f.runs {
		for i := len(f.runs[id]) - 1; i >= 0; i-- {
			if r := f.runs[id][i]; r.Task.Index < 10 {
				f.end(id, r.Task, r.Run, EndDone)
			} else {
				f.runs[id][i].Percent = 12
			}
		}
	}
	f.now += 200
	for id := range f.runs {
		f.answerHold(id)
	}
	f.suspectEndpointOf(29)
	copies := 0
	for range 10 {
		copies += len(f.advance(1))
	}
	assert.Equal(t, copies, 3)
}
