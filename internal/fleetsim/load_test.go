package fleetsim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
	"turmericmoor/internal/emulator"
	"turmericmoor/internal/tmseed"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

// Guards against an owner that waits for good for an answer about the stored progress,
// because the store fell silent while it loaded: it kept the shard and started nothing.
func TestOwnerLoadsAfterTheStoreFellSilent(t *testing.T) {
	for _, table := range []string{tmrecord.RunTable, tmrecord.ShardTable, tmrecord.JobTable(0)} {
		t.Run(table, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := newSimulation(t, tmseed.First(), 1)
				sim.start()
				time.Sleep(warmupDuration)
				for n := range 5 {
					sim.submit(n + 1)
				}
				time.Sleep(300 * time.Millisecond)
				sim.store.SetFaults(func(f *emulator.TableFaults) { f.UnreadTable = table })
				killOwner(sim)
				time.Sleep(4500 * time.Millisecond)
				sim.store.SetFaults(func(f *emulator.TableFaults) { f.UnreadTable = "" })
				sim.awaitFinalStates()
				sim.close()
				sim.fleet.Lock()
				defer sim.fleet.Unlock()
				assert.Equal(t, len(sim.fleet.Violations()), 0, "%q", sim.fleet.Violations())
			})
		})
	}
}

// Guards against tasks that run again after hand-overs: an owner stored a timed job as
// untouched before it had read what its predecessor had stored, and the owner after that
// began the job anew.
func TestHandoverKeepsTheProgressOfTimedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.fleet.TaskDuration = func(id tmjob.TaskID) time.Duration {
			return 500*time.Millisecond + time.Duration(id.Step)*12*time.Second
		}
		sim.start()
		time.Sleep(warmupDuration)
		j := tmjob.Job{
			ID: "00000000000000aa", Queue: "q", Team: "t", Accepted: time.Now().UnixMilli(), StartAt: time.Now().UnixMilli(),
			Repeats: 2, Interval: 20_000, Steps: []tmjob.Step{
				{Count: 3, Size: tmjob.Resources{CPU: 1000, Mem: 500}, Estimate: 500},
				{Count: 2, Size: tmjob.Resources{CPU: 1000, Mem: 500}, Estimate: 12000, After: []int{0}},
			},
		}
		sim.submitJob(j, 0, -1)
		time.Sleep(2 * time.Second)
		for range 2 {
			// The owner reads the jobs at once, and their progress later.
			sim.store.SetFaults(func(f *emulator.TableFaults) { f.UnreadTable = tmrecord.RunTable })
			killOwner(sim)
			time.Sleep(2 * time.Second)
			sim.store.SetFaults(func(f *emulator.TableFaults) { f.UnreadTable = "" })
			time.Sleep(2 * time.Second)
		}
		sim.awaitFinalStates()
		sim.close()
		sim.fleet.Lock()
		defer sim.fleet.Unlock()
		assert.Equal(t, len(sim.fleet.Violations()), 0, "%q", sim.fleet.Violations())
	})
}

// Guards against an owner that begins a job anew because it can't read the row of the job's
// progress. Other jobs go on.
func TestUnreadableRowStartsNothingAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.fleet.TaskDuration = func(id tmjob.TaskID) time.Duration {
			return 500*time.Millisecond + time.Duration(id.Step)*30*time.Second
		}
		sim.start()
		time.Sleep(warmupDuration)
		step := tmjob.Step{Count: 2, Size: tmjob.Resources{CPU: 1000, Mem: 500}, Estimate: 500}
		next := step
		next.After = []int{0}
		j := tmjob.Job{ID: "00000000000000aa", Queue: "q", Team: "t", Steps: []tmjob.Step{step, next}}
		sim.submitJob(j, 0, -1)
		time.Sleep(2 * time.Second)
		row := tmtable.Put{Key: tmrecord.ProgressKey(0, j.ID), Value: []byte(`{"t":7}`)}
		_, err := sim.store.Apply(tmtable.Txn{Puts: []tmtable.Put{row}})
		assert.NilError(t, err)
		killOwner(sim)
		time.Sleep(5 * time.Second)
		other := tmjob.Job{ID: "00000000000000ab", Queue: "q", Team: "t", Steps: []tmjob.Step{step}}
		sim.submitJob(other, 0, -1)
		time.Sleep(5 * time.Second)
		assert.Assert(t, sim.isFinal(other.ID))
		sim.close()
		sim.fleet.Lock()
		defer sim.fleet.Unlock()
		assert.Equal(t, len(sim.fleet.Violations()), 0, "%q", sim.fleet.Violations())
	})
}
