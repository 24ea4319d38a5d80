package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
)

// openTasks counts the tasks that the planner knows.
func (f *fixture) openTasks() int {
	n := 0
	for _, j := range f.c.openJobs {
		n += len(j.occurrences) * j.tasksPerOccurrence
	}
	return n
}

// submitWide submits jobs of many small tasks of a team, as many as have n tasks.
func (f *fixture) submitWide(team string, longRunning bool, n int) {
	for i := range n / tmjob.MaxTasks {
		j := oneTask(fmt.Sprintf("%s%d", team, i))
		j.Team, j.Steps[0].Count, j.Steps[0].Size.CPU, j.Steps[0].LongRunning = team, tmjob.MaxTasks, 100, longRunning
		f.c.Submitted(j)
	}
}

// Guards against an owner that exceeds its memory because it knows all tasks of long-running jobs, and
// against short jobs and jobs of other teams that never start because of those.
func TestLongRunningTasksAreBounded(t *testing.T) {
	f := newFixture(t, 2)
	f.submitWide("t", true, 15*maxOpenTasks)
	f.advance(10)
	assert.Assert(t, f.openTasks() <= maxOpenTasks, "%d tasks", f.openTasks())
	f.c.Submitted(oneTask("short"))
	other := oneTask("other")
	other.Team, other.Steps[0].LongRunning = "other", true
	f.c.Submitted(other)
	f.advance(10)
	assert.Equal(t, len(f.c.jobs["short"].occurrences), 1)
	assert.Equal(t, len(f.c.jobs["other"].occurrences), 1)
}

// Guards against a long-running job that never starts because earlier ones of its kind were opened
// before it, although they are at work.
func TestLongRunningJobIsOpenedOnceNoneOfItsKindWaits(t *testing.T) {
	f := newFixture(t, 2)
	f.submitWide("t", true, maxOpenTasks)
	f.advance(10)
	last := fmt.Sprintf("t%d", maxOpenTasks/tmjob.MaxTasks-1)
	assert.Equal(t, len(f.c.jobs[last].occurrences), 0)
	for n := range maxOpenTasks/tmjob.MaxTasks - 1 {
		f.c.Cancelled(fmt.Sprintf("t%d", n))
	}
	f.advance(10)
	assert.Equal(t, len(f.c.jobs[last].occurrences), 1)
}

// Guards against jobs that never start because those of a team at its limit hold the room of all open
// tasks.
func TestJobsOfATeamAtItsLimitLeaveRoom(t *testing.T) {
	f := newFixture(t, 2)
	rules := testRules(2)
	rules.Teams["t"] = Team{Name: "t", Weight: 1, Limit: tmjob.Resources{CPU: 400}}
	rules.Teams["other"] = Team{Name: "other", Weight: 1}
	f.c.SetRules(rules)
	f.submitWide("t", false, 2*maxOpenTasks)
	j := oneTask("j")
	j.Team = "other"
	f.c.Submitted(j)
	f.advance(10)
	assert.Equal(t, f.c.jobs["j"].runCount, 1)
}
