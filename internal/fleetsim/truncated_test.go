package fleetsim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
	"turmericmoor/internal/tmseed"
)

// Guards against tasks that run twice because their ends did not fit into the list that an
// endpoint returned: the owner was killed, and more runs ended meanwhile than are listed
// at a time.
func TestEndsBeyondTheListAreNotTakenForGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.fleet.MaxListedEnds = 2
		sim.fleet.TaskDuration = func(id tmjob.TaskID) time.Duration {
			return 1500*time.Millisecond + time.Duration(id.Index)*time.Millisecond
		}
		sim.start()
		time.Sleep(warmupDuration)
		sim.submitJob(tmjob.Job{ID: "00000000000000aa", Queue: "q", Team: "t", Steps: []tmjob.Step{
			{Count: 60, Size: tmjob.Resources{CPU: 500, Mem: 100}, Estimate: 1500},
		}}, 0, -1)
		time.Sleep(1300 * time.Millisecond)
		killOwner(sim)
		sim.awaitFinalStates()
		sim.close()
		sim.fleet.Lock()
		defer sim.fleet.Unlock()
		assert.Equal(t, len(sim.fleet.Violations()), 0, "%q", sim.fleet.Violations())
		assert.Equal(t, sim.fleet.Starts(), 60)
	})
}
