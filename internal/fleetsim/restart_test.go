package fleetsim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"turmericmoor/core/tmjob"
	"turmericmoor/internal/tmseed"
)

const (
	// slowAnswer is how late endpoints answer orders that they have carried out.
	slowAnswer = 60 * time.Millisecond
	// restartInterval is the time between the restarts of two endpoints, shortOutage the
	// time for which an endpoint is then down.
	restartInterval = 400 * time.Millisecond
	shortOutage     = 250 * time.Millisecond
)

// Guards against two runs of a task at once: an endpoint restarted while a start order was
// on its way, and the new lifetime carried the order out.
func TestOrdersOnTheirWayAtARestartRunOnce(t *testing.T) {
	playRestarts(t, func(sim *simulation) { sim.answerDelay = slowAnswer })
}

// Guards against two runs of a task: start orders without an answer were meant for a lifetime of
// an endpoint that has ended, and the next one carried them out late, while their tasks were at
// work elsewhere or done.
func TestLateOrdersReachNoLaterLifetime(t *testing.T) {
	playRestarts(t, func(sim *simulation) { sim.lateOrderRatio = 2 * lateRatio })
}

// playRestarts plays simulations in which endpoints restart one after the other while disturb has
// changed something. The changes end with the restarts.
func playRestarts(t *testing.T, disturb func(sim *simulation)) {
	for i := range uint64(fleetSeeds) {
		synctest.Test(t, func(t *testing.T) {
			sim := newSimulation(t, tmseed.First()+i, 1)
			sim.fleet.TaskDuration = func(tmjob.TaskID) time.Duration { return shortTask }
			sim.start()
			time.Sleep(warmupDuration)
			sim.mu.Lock()
			disturb(sim)
			sim.mu.Unlock()
			for n := range jobCount {
				sim.submit(n + 1)
				sim.restartAndList(fmt.Sprintf("w%d", sim.rng.IntN(endpointsPerShard)))
				time.Sleep(restartInterval)
			}
			sim.mu.Lock()
			sim.answerDelay, sim.lateOrderRatio = 0, 0
			sim.mu.Unlock()
			sim.awaitFinalStates()
			sim.close()
			for _, v := range sim.violations() {
				t.Errorf("seed %d: %s", tmseed.First()+i, v)
			}
		})
	}
}

// restartAndList lets an endpoint crash and restart, and put itself on the list of endpoints at once.
func (sim *simulation) restartAndList(id string) {
	sim.crash(id, shortOutage)
	sim.list(id)
}
