package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
	"turmericmoor/internal/tmseed"
	"turmericmoor/io/tmintake"
	"turmericmoor/io/tmrecord"
)

// eightTasks returns a job that keeps an endpoint busy for a second.
func eightTasks(n int) tmjob.Job {
	return tmjob.Job{ID: fmt.Sprintf("%016x", n), Queue: "q", Team: "t", Accepted: time.Now().UnixMilli(), Steps: []tmjob.Step{
		{Count: 8, Size: tmjob.Resources{CPU: 1000, Mem: 100}, Estimate: 1000},
	}}
}

// submitTo submits a job to node i.
func (sim *simulation) submitTo(i int, j tmjob.Job) error {
	ctx, cancel := context.WithTimeout(context.Background(), 2900*time.Millisecond)
	defer cancel()
	return sim.process(i).node.Submit(ctx, j)
}

// Guards against nodes that accept what can't be served in time, against a refusal of what was
// accepted, and against nodes that refuse on after the pool is free again.
func TestNodesRefuseWhatAFullPoolCannotServeInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.unweighted = true
		sim.fleet.TaskDuration = func(tmjob.TaskID) time.Duration { return time.Second }
		sim.start()
		time.Sleep(warmupDuration)
		// The endpoints need 25 s for these jobs, whose objective is 2.6 s from a time after the
		// submissions, so that none is late yet when the next ones come.
		const accepted = 150
		for n := range accepted {
			j := eightTasks(n + 1)
			j.Accepted += 1000
			sim.submitJob(j, 0, -1)
		}
		time.Sleep(1500 * time.Millisecond)
		for i := range nodeCount {
			var backlog *tmintake.BacklogError
			j := eightTasks(1000 + i)
			err := sim.submitTo(i, j)
			assert.Assert(t, errors.As(err, &backlog), "node %d: %v", i, err)
			assert.Assert(t, backlog.RetryAfter >= tmclock.Second && backlog.RetryAfter <= 30*tmclock.Second)
			_, stored := sim.store.Get(tmrecord.JobKey(0, j.ID))
			assert.Assert(t, !stored)
			assert.NilError(t, sim.submitTo(i, eightTasks(1+i)), "a job that is stored")
		}
		time.Sleep(30 * time.Second)
		for i := range nodeCount {
			assert.NilError(t, sim.submitTo(i, eightTasks(1000+i)))
		}
		time.Sleep(5 * time.Second)
		sim.close()
		assert.Equal(t, len(sim.accepted), accepted)
	})
}

// Guards against nodes that refuse by what an owner said that is gone, or that can't reach the
// store any more.
func TestNodesAdmitWithoutANewReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.unweighted = true
		sim.fleet.TaskDuration = func(tmjob.TaskID) time.Duration { return 5 * time.Second }
		sim.start()
		time.Sleep(warmupDuration)
		for n := range 150 {
			j := eightTasks(n + 1)
			j.Accepted += 10_000
			sim.submitJob(j, 0, -1)
		}
		time.Sleep(1500 * time.Millisecond)
		owner := sim.owner()
		other := (owner + 1) % nodeCount
		var backlog *tmintake.BacklogError
		assert.Assert(t, errors.As(sim.submitTo(other, eightTasks(1000)), &backlog))
		sim.process(owner).setStorePartitioned(true)
		time.Sleep(1600 * time.Millisecond)
		assert.NilError(t, sim.submitTo(other, eightTasks(1000)))
		sim.process(owner).setStorePartitioned(false)
		sim.close()
	})
}
