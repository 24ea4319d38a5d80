package fleetsim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"turmericmoor/core/tmjob"
	"turmericmoor/internal/tmseed"
)

// capacityTimeout is how long tasks may still start by a capacity that has shrunk.
const capacityTimeout = 4500 * time.Millisecond

// Guards against an owner that fills endpoints by a list of endpoints that it can't read
// any more, while the rest of the store answers.
func TestOwnerWithAnOldListOfEndpointsStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.start()
		time.Sleep(warmupDuration)
		for i := range nodeCount {
			sim.process(i).setLostTable(endpointTable)
		}
		sim.fleet.Lock()
		for i := range endpointsPerShard {
			sim.fleet.Endpoint(fmt.Sprintf("w%d", i)).SetCapacity(tmjob.Resources{CPU: 100, Mem: 100})
		}
		sim.fleet.Unlock()
		time.Sleep(capacityTimeout)
		for n := range jobCount {
			sim.submit(n + 1)
		}
		time.Sleep(capacityTimeout)
		sim.close()
		for _, v := range sim.violations() {
			t.Error(v)
		}
	})
}
