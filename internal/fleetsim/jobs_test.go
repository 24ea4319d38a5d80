package fleetsim

import (
	"fmt"
	"testing"
	"time"

	"turmericmoor/core/tmjob"
	"turmericmoor/io/tmrecord"
)

// Guards against an owner that starts tasks of a job long after it was cancelled, because it can't
// read the table of jobs while the rest of the store answers, or not before it orders what it had
// planned before an outage.
func TestOwnerWithAnOldTableOfJobsStartsNothing(t *testing.T) {
	const feedTime = 2 * time.Second
	playScenario(t, durationByStep(time.Second, 0), func(t *testing.T, sim *simulation) {
		owner := sim.owner()
		j := tmjob.Job{ID: fmt.Sprintf("%016x", 1), Queue: "q", Team: "t", Accepted: time.Now().UnixMilli()}
		j.Steps = []tmjob.Step{{Count: 600, Size: tmjob.Resources{CPU: 1000, Mem: 500}, Estimate: 1000}}
		sim.submitJob(j, (owner+1)%nodeCount, feedTime+time.Second)
		time.Sleep(time.Second)
		if sim.starts() == 0 {
			t.Error("no task has started")
		}
		sim.process(owner).setLostTable(tmrecord.JobTable(0))
		time.Sleep(feedTime + 2*cancelTimeout)
		sim.process(owner).setLostTable("")
		time.Sleep(cancelTimeout)
	})
}
