package fleetsim

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"turmericmoor/core/tmjob"
	"turmericmoor/internal/tmseed"
	"turmericmoor/io/tmnode"
)

const (
	shortTask = 300 * time.Millisecond
	// promptTime is within how long nearly all jobs of one step of shortTask have to be
	// done, and promptRatio what nearly all means.
	promptTime  = time.Second
	promptRatio = 0.95
	// lateRatio is the fraction of orders that endpoints leave unanswered.
	lateRatio = 0.06
)

// Guards against jobs that wait for one unanswered start order: with a few percent of
// such orders, half of the jobs had a task among them that started seconds late, and the
// endpoints concerned got no other tasks meanwhile.
func TestUnansweredOrdersDelayFewJobs(t *testing.T) {
	checkPromptJobs(t, func(sim *simulation) { sim.lateOrderRatio = lateRatio })
}

// Guards against ends that are noticed late because one hold got no answer: the owner
// waited for the timeout of the long poll before it asked again.
func TestUnansweredHoldsDelayFewJobs(t *testing.T) {
	checkPromptJobs(t, func(sim *simulation) { sim.lostHoldRatio = lateRatio })
}

// checkPromptJobs runs one job after another while some calls get no answer.
func checkPromptJobs(t *testing.T, lose func(sim *simulation)) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.fleet.TaskDuration = func(tmjob.TaskID) time.Duration { return shortTask }
		sim.start()
		time.Sleep(warmupDuration)
		sim.mu.Lock()
		lose(sim)
		sim.mu.Unlock()
		prompt := 0
		for n := range jobCount {
			if sim.runJob(fmt.Sprintf("%016x", n+1)) <= promptTime {
				prompt++
			}
		}
		if float64(prompt) < promptRatio*jobCount {
			t.Errorf("%d of %d jobs were done within %v", prompt, jobCount, promptTime)
		}
		sim.close()
		for _, v := range sim.violations() {
			t.Error(v)
		}
	})
}

// runJob submits a job of one wide step and returns how long it takes.
func (sim *simulation) runJob(id string) time.Duration {
	j := tmjob.Job{ID: id, Queue: "q", Team: "t", Accepted: time.Now().UnixMilli(), Steps: []tmjob.Step{
		{Count: 8, Size: tmjob.Resources{CPU: 1000, Mem: 100}, Estimate: 300},
	}}
	sim.fleet.Lock()
	sim.fleet.Submitted(&j)
	sim.fleet.Unlock()
	began := time.Now()
	if !sim.call(0, func(ctx context.Context, n *tmnode.Node) error { return n.Submit(ctx, j) }) {
		return time.Hour
	}
	for !sim.isFinal(id) && time.Since(began) < finishTimeout {
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(began)
}
