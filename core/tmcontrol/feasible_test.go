package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
)

// Guards against jobs that never start because others, which no instance can run, hold the room of
// all open tasks.
func TestJobsThatCannotRunLeaveRoom(t *testing.T) {
	hopeless := map[string]func(s *tmjob.Step){
		"no instance has the label": func(s *tmjob.Step) { s.Label = "missing" },
		"no instance is so large":   func(s *tmjob.Step) { s.Size.CPU = 9000 },
		"the limit is too low":      func(s *tmjob.Step) { s.Size.CPU = 5000 },
		"the gang is too wide":      func(s *tmjob.Step) { s.Gang = true },
	}
	for name, change := range hopeless {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 2)
			rules := testRules(2)
			rules.Teams["t"] = Team{Name: "t", Weight: 1, Limit: tmjob.Resources{CPU: 4000}}
			rules.Teams["other"] = Team{Name: "other", Weight: 1}
			f.c.SetRules(rules)
			for n := range 2 * maxOpenTasks / tmjob.MaxTasks {
				j := oneTask(fmt.Sprintf("wide%d", n))
				j.Steps[0].Count, j.Steps[0].Size.CPU = tmjob.MaxTasks, 100
				if name == "no instance is so large" {
					j.Team = "other"
				}
				change(&j.Steps[0])
				f.c.Submitted(j)
			}
			f.c.Submitted(oneTask("j"))
			starts := f.advance(10)
			assert.Equal(t, len(starts), 1)
			assert.Equal(t, starts[0].Ref.Task.Job, "j")
		})
	}
}

// Guards against jobs that are never opened because the only instance that could run them is in
// another pool, or not up at the moment.
func TestJobsForAnotherPoolAreOpened(t *testing.T) {
	f := newFixture(t, 1)
	f.c.SetInstances([]Instance{{ID: "i9", Pool: "spare", State: InstanceDown, Labels: []string{"big"}, Capacity: tmjob.Resources{CPU: 8000, Mem: 8000}}}, f.now)
	for n := range maxOpenTasks / tmjob.MaxTasks {
		j := oneTask(fmt.Sprintf("wide%d", n))
		j.Steps[0].Count, j.Steps[0].Label = tmjob.MaxTasks, "big"
		f.c.Submitted(j)
	}
	f.advance(10)
	for _, j := range f.c.openJobs {
		assert.Equal(t, len(j.occurrences), 1)
	}
}
