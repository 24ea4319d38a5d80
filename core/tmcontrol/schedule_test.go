package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmorder"
	"turmericmoor/core/tmshard"
)

// sized returns a job of that many tasks of one core that was accepted at a time.
func sized(id, team string, tasks int, accepted int64) tmjob.Job {
	j := oneTask(id)
	j.Team, j.Accepted, j.Steps[0].Count = team, accepted, tasks
	return j
}

// startsByJob counts the start orders of one pass by job.
func (f *fixture) startsByJob() map[string]int {
	n := map[string]int{}
	for _, s := range f.advance(10) {
		n[s.Ref.Task.Job]++
	}
	return n
}

// Guards against jobs that end too late for their callers in any case ahead of those that
// could still be in time, or at least late: the smallest went first.
func TestHopelessJobsGoLast(t *testing.T) {
	f := newFixture(t, 1)
	f.now = 10_000
	f.answerHold("e1")
	f.c.Submitted(sized("hopeless", "t", 4, 5000))
	f.c.Submitted(sized("late", "t", 6, 8000))
	f.c.Submitted(sized("meets", "t", 7, 10_000))
	got := f.startsByJob()
	assert.DeepEqual(t, got, map[string]int{"meets": 7, "late": 1})
	assert.Equal(t, f.c.jobs["hopeless"].deferred, true)
	assert.DeepEqual(t, f.c.Dump().Pools["s"].Ordered, [tmorder.Classes]int{tmorder.Meets: 1, tmorder.Late: 1, tmorder.Hopeless: 1})
}

// Guards against jobs that are left half done while they could still be in time: the tasks
// of new, smaller jobs went before their later steps.
func TestBegunJobGoesOn(t *testing.T) {
	f := newFixture(t, 1)
	two := sized("two", "t", 8, 1000)
	two.Steps = append(two.Steps, tmjob.Step{Count: 8, Size: two.Steps[0].Size, Estimate: 500, After: []int{0}})
	f.c.Submitted(two)
	starts := f.advance(10)
	assert.Equal(t, len(starts), 8)
	for i := range 20 {
		f.c.Submitted(sized(fmt.Sprintf("new%02d", i), "t", 1, 1020))
	}
	for _, s := range starts {
		f.end("e1", s.Ref.Task, 1, EndDone)
	}
	assert.DeepEqual(t, f.startsByJob(), map[string]int{"two": 8})
}

// Guards against a team that keeps a full pool to itself with few, large jobs: their number
// was compared with its share. The next owner knows the usage from the runs that it reads.
func TestTeamThatHoldsThePoolWaits(t *testing.T) {
	for _, newOwner := range []bool{false, true} {
		f := newFixture(t, 1)
		submit := func() {
			for i := range 4 {
				f.c.Submitted(sized(fmt.Sprintf("hot%d", i), "t", 8, 1000))
			}
			calm := sized("calm", "u", 5, 1050)
			calm.Steps[0].Estimate = 1000
			f.c.Submitted(calm)
		}
		f.c.Submitted(sized("hot0", "t", 8, 1000))
		starts := f.advance(50)
		assert.Equal(t, len(starts), 8)
		submit()
		if newOwner {
			progress := storedProgress(f.c.jobs["hot0"])
			f.c = New(tmshard.Whole, testBounds(), 2, func(tmevent.Event) {})
			f.c.OwnershipConfirmed(f.now)
			submit()
			f.c.Restore(progress, f.now)
			f.c.Apply(DesiredState{Rules: testRules(1)}, f.now)
			f.c.SetEndpoint(f.endpointInfo(1), f.now)
			f.c.Loaded()
			f.answerHold("e1")
		}
		for _, s := range starts[:4] {
			f.end("e1", s.Ref.Task, 1, EndDone)
		}
		assert.DeepEqual(t, f.startsByJob(), map[string]int{"calm": 4})
	}
}

// Guards against another order after a change of owner, which has only what is stored, and
// against a task that a lowered limit or an unavailable store forbids.
func TestOrderAfterChanges(t *testing.T) {
	submit := func(c *Controller) {
		c.Submitted(sized("hopeless", "t", 4, 5000))
		c.Submitted(sized("meets", "t", 8, 10_000))
		c.Submitted(sized("other", "u", 8, 10_000))
	}
	limited := testRules(2)
	limited.Teams["t"] = Team{Name: "t", Weight: 1, Limit: tmjob.Resources{CPU: 1000}}
	for name, test := range map[string]struct {
		change func(f *fixture)
		want   map[string]int
	}{
		"new owner": {func(f *fixture) {
			f.c = f.newController(2)
			f.c.SetEndpoint(f.endpointInfo(1), f.now)
			submit(f.c)
			f.c.Loaded()
			f.answerHold("e1")
		}, map[string]int{"meets": 8}},
		"limit lowered":     {func(f *fixture) { f.c.SetRules(limited) }, map[string]int{"meets": 1, "other": 7}},
		"store unavailable": {func(f *fixture) { f.c.SetStale(true) }, map[string]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1)
			f.now = 10_000
			f.answerHold("e1")
			submit(f.c)
			test.change(f)
			assert.DeepEqual(t, f.startsByJob(), test.want)
		})
	}
}

// Guards against aged jobs that never start because one goes first that fits nowhere.
func TestAgedJobThatCannotStartIsPassedOver(t *testing.T) {
	f := newFixture(t, 1)
	f.now = 40_000
	f.answerHold("e1")
	never := sized("never", "t", 8, 1000)
	never.Steps[0].Label = "none"
	f.c.Submitted(never)
	f.c.Submitted(sized("aged", "t", 1, 2000))
	started := map[string]int{}
	for i := range 80 {
		f.c.Submitted(sized(fmt.Sprintf("new%d", i), "t", 8, int64(f.now)))
		starts := f.advance(100)
		for _, s := range starts {
			started[s.Ref.Task.Job]++
			f.end("e1", s.Ref.Task, 1, EndDone)
		}
	}
	assert.Equal(t, started["aged"], 1)
}

// Guards against another order in a pool with room, because a team requests more than its
// limit permits.
func TestRequestsBeyondALimitMakeNoPoolScarce(t *testing.T) {
	f := newFixture(t, 2)
	rules := testRules(2)
	rules.Teams["t"] = Team{Name: "t", Weight: 1, Limit: tmjob.Resources{CPU: 4000}}
	f.c.SetRules(rules)
	f.c.Submitted(sized("wide", "t", 50, 1000))
	f.c.Submitted(sized("more", "t", 50, 1000))
	assert.Equal(t, len(f.advance(10)), 4)
	assert.Assert(t, !f.c.orders["s"].scarce)
}
