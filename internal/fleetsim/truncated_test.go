package fleetsim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
)

// Guards against tasks that run twice because their ends did not fit into the list that an
// endpoint returned: the owner was killed, and more runs ended meanwhile than are listed
// at a time.
func TestEndsBeyondTheListAreNotTakenForGone(t *testing.T) {
	const count = 60
	duration := func(id tmjob.TaskID) time.Duration {
		return 1500*time.Millisecond + time.Duration(id.Index)*time.Millisecond
	}
	playScenario(t, duration, func(t *testing.T, sim *simulation) {
		sim.submitJob(tmjob.Job{ID: "00000000000000aa", Queue: "q", Team: "t", Steps: []tmjob.Step{
			{Count: count, Size: tmjob.Resources{CPU: 500, Mem: 100}, Estimate: 1500},
		}}, 0, -1)
		time.Sleep(1300 * time.Millisecond)
		killOwner(sim)
		sim.awaitFinalStates()
		assert.Equal(t, sim.starts(), count)
	})
}
