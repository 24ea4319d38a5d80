package fleetsim

import (
	"testing"
	"testing/synctest"
	"time"

	"turmericmoor/core/tmfence"
	"turmericmoor/internal/tmseed"
	"turmericmoor/io/tmrecord"
)

const (
	shardCount = 3
	// raisedLimit and loweredLimit are limits of the team in thousandths of a core that
	// its jobs reach.
	raisedLimit  = 40_000
	loweredLimit = 20_000
	// configTimeout is how long an older limit may still be used after a change.
	configTimeout = 4 * time.Second
	// restartTime is within how long after its restart an owner has its shard back.
	restartTime = 500 * time.Millisecond
)

// changeLimit lowers and raises the limit of the team. The checker verifies the
// lowered limit from configTimeout on.
func changeLimit(sim *simulation) {
	for version := 2; ; version++ {
		limit := int64(raisedLimit)
		if version%2 == 0 {
			limit = loweredLimit
		}
		sim.configure(version, limit)
		if limit == raisedLimit {
			sim.checkLimit()
		}
		if !sim.sleep(configTimeout) {
			return
		}
		sim.checkLimit()
		if !sim.sleep(configTimeout) {
			return
		}
	}
}

// limitTeam gives the team a limit that changes during the simulation.
func limitTeam(sim *simulation) {
	sim.configure(1, raisedLimit)
	sim.checkLimit()
	sim.work.Go(func() { changeLimit(sim) })
}

// Guards against a limit that is exceeded because several owners start tasks of one
// team, a job that two shards run or that none runs, and an endpoint with two owners,
// while owners are killed or partitioned and the store loses responses.
func TestShardedFleetInvariants(t *testing.T) {
	for i := range uint64(seedCount()) {
		seed := tmseed.First() + i
		for _, b := range runSimulation(t, seed, shardCount, limitTeam) {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}

// Guards against a fleet in which one node owns all shards, so that its loss stops all
// of them and it carries the work of all.
func TestShardsSpreadOverNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), shardCount)
		sim.start()
		time.Sleep(warmupDuration)
		for i := range nodeCount {
			if n := len(sim.process(i).node.Dumps()); n != 1 {
				t.Errorf("node %d owns %d shards, expected 1 of %d", i, n, shardCount)
			}
		}
		sim.close()
	})
}

// Guards against nodes that disagree on the number of shards, and against a number that
// changes when all nodes restart: a job would then be looked for in another shard.
func TestLayoutIsDecidedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.start()
		time.Sleep(warmupDuration)
		before, _ := sim.store.Get(tmrecord.LayoutKey())
		killAllNodes(sim)
		time.Sleep(warmupDuration)
		after, _ := sim.store.Get(tmrecord.LayoutKey())
		if before.Version == 0 || before.Version != after.Version {
			t.Errorf("the layout has version %d, and %d after a restart of all nodes", before.Version, after.Version)
		}
		sim.close()
	})
}

// Guards against a slow restart: a node whose process was restarted counted the shard that
// its row still named as one that it owned already, and let others take over first.
func TestRestartedOwnerTakesItsShardBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.start()
		time.Sleep(warmupDuration)
		i, before := sim.owner(), sim.store.ownerToken()
		killed := sim.process(i)
		killed.markKilled()
		restarted := sim.startNode(killed.name)
		sim.mu.Lock()
		sim.nodes[i] = restarted
		sim.mu.Unlock()
		time.Sleep(restartTime)
		if after := sim.store.ownerToken(); after != tmfence.NextTerm(before) || sim.owner() != i {
			t.Errorf("the token was %d and is %d, and node %d owns the fleet instead of %d", before, after, sim.owner(), i)
		}
		killed.stop()
		<-killed.done
		sim.close()
	})
}
