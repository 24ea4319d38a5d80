package fleetsim

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/internal/emulator"
	"turmericmoor/internal/tmseed"
	"turmericmoor/io/tmrecord"
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
