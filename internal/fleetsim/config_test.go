package fleetsim

import (
	"testing"
	"testing/synctest"
	"time"

	"turmericmoor/internal/tmseed"
)

// Guards against an owner that acts on an old configuration: a node that could not read
// the table of the operator for a while took over, and started tasks by a limit that had
// been lowered long before.
func TestOwnerWithAnOldConfigurationStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.configure(1, raisedLimit)
		sim.start()
		time.Sleep(warmupDuration)
		stale := (sim.owner() + 1) % nodeCount
		sim.process(stale).setLostTable(operatorTable)
		// The call in progress still gets its answer.
		time.Sleep(configTimeout)
		sim.configure(2, loweredLimit)
		time.Sleep(configTimeout)
		sim.checkLimit()
		for i := range nodeCount {
			if i != stale {
				p := sim.process(i)
				p.markKilled()
				p.stop()
				<-p.done
			}
		}
		for n := range jobCount {
			sim.submit(n + 1)
		}
		time.Sleep(configTimeout)
		if n := sim.starts(); n > 0 {
			t.Errorf("%d tasks started without a current configuration", n)
		}
		sim.process(stale).setLostTable("")
		time.Sleep(configTimeout)
		sim.close()
		if sim.starts() == 0 {
			t.Error("no task started after the node had read the configuration")
		}
		for _, v := range sim.violations() {
			t.Error(v)
		}
	})
}
