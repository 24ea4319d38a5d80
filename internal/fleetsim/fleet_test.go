package fleetsim

import (
	"os"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"turmericmoor/internal/emulator"
	"turmericmoor/internal/tmseed"
	"turmericmoor/io/tmrecord"
)

// fleetSeeds is the number of simulations in CI, extendedFleetSeeds the number with
// TM_FLEET_SEEDS=more.
const (
	fleetSeeds         = 12
	extendedFleetSeeds = 150
	jobCount           = 60
	warmupDuration     = 5 * time.Second
	faultPhaseDuration = 25 * time.Second
)

func seedCount() int {
	if os.Getenv("TM_FLEET_SEEDS") == "more" {
		return extendedFleetSeeds
	}
	return fleetSeeds
}

// fault injects one fault for a limited time.
type fault func(sim *simulation)

func killOwner(sim *simulation) {
	if i := sim.owner(); i >= 0 {
		sim.kill(i, 700*time.Millisecond)
	}
}

func killAllNodes(sim *simulation) {
	for i := range nodeCount {
		sim.process(i).markKilled()
	}
	for i := range nodeCount {
		sim.kill(i, 200*time.Millisecond)
	}
}

func partitionOwnerFromStore(sim *simulation) {
	i := sim.owner()
	if i < 0 {
		return
	}
	p := sim.process(i)
	p.setStorePartitioned(true)
	sim.sleep(5 * time.Second)
	p.setStorePartitioned(false)
}

func loseResponses(sim *simulation) {
	sim.store.SetFaults(func(f *emulator.TableFaults) { f.LostResponses = 0.3 })
	sim.sleep(4 * time.Second)
	sim.store.SetFaults(func(f *emulator.TableFaults) { f.LostResponses = 0 })
}

func slowDownStore(sim *simulation) {
	sim.store.SetFaults(func(f *emulator.TableFaults) { f.ExtraLatency = 240 * time.Millisecond })
	sim.sleep(4 * time.Second)
	sim.store.SetFaults(func(f *emulator.TableFaults) { f.ExtraLatency = 0 })
}

// makeStoreUnavailable makes the store reject all calls for a while.
func makeStoreUnavailable(sim *simulation) {
	sim.store.SetFaults(func(f *emulator.TableFaults) { f.Unavailable = true })
	sim.sleep(4 * time.Second)
	sim.store.SetFaults(func(f *emulator.TableFaults) { f.Unavailable = false })
}

// silenceStore makes the store answer no call for a while.
func silenceStore(sim *simulation) {
	sim.store.SetFaults(func(f *emulator.TableFaults) { f.Silent = true })
	sim.sleep(4 * time.Second)
	sim.store.SetFaults(func(f *emulator.TableFaults) { f.Silent = false })
}

func dropStoreHistory(sim *simulation) { sim.store.DropHistory() }

func crashEndpoint(sim *simulation) { sim.crash(sim.drawEndpoint(), 3*time.Second) }

// crash ends the process of an endpoint, which is back under its ID after the outage.
func (sim *simulation) crash(id string, outage time.Duration) {
	sim.fleet.Lock()
	e := sim.fleet.Endpoint(id)
	e.Crash()
	sim.fleet.Unlock()
	sim.sleep(outage)
	sim.fleet.Lock()
	e.Restart()
	sim.fleet.Unlock()
}

func partitionEndpoint(sim *simulation) {
	id := sim.drawEndpoint()
	sim.mu.Lock()
	sim.partitionedEndpoints[id] = true
	sim.mu.Unlock()
	sim.sleep(7 * time.Second)
	sim.mu.Lock()
	delete(sim.partitionedEndpoints, id)
	sim.mu.Unlock()
}

// partitionZone separates the owner and half of the endpoints from the store and from
// the other nodes and endpoints. They still reach each other.
func partitionZone(sim *simulation) {
	i := sim.owner()
	if i < 0 {
		return
	}
	p := sim.process(i)
	p.setStorePartitioned(true)
	sim.mu.Lock()
	sim.isolatedNode, sim.isolatedEndpoints = p.name, map[string]bool{"w0": true, "w1": true, "w2": true}
	sim.mu.Unlock()
	sim.sleep(9 * time.Second)
	sim.mu.Lock()
	sim.isolatedNode = ""
	sim.mu.Unlock()
	p.setStorePartitioned(false)
}

// starveOwner gives the owner time for few calls, fewer than it makes with many tasks to start.
func starveOwner(sim *simulation) {
	i := sim.owner()
	if i < 0 {
		return
	}
	p := sim.process(i)
	p.setCallTime(15 * time.Millisecond)
	sim.sleep(5 * time.Second)
	p.setCallTime(0)
}

func delayOrders(sim *simulation) {
	sim.mu.Lock()
	sim.lateOrderRatio = 0.2
	sim.mu.Unlock()
	sim.sleep(4 * time.Second)
	sim.mu.Lock()
	sim.lateOrderRatio = 0
	sim.mu.Unlock()
}

// namedFault is a fault with its name in logs.
type namedFault struct {
	name   string
	inject fault
}

var faults = []namedFault{
	{"kill the owner", killOwner},
	{"kill all nodes", killAllNodes},
	{"partition the owner from the store", partitionOwnerFromStore},
	{"lose responses", loseResponses},
	{"slow store", slowDownStore},
	{"drop the store history", dropStoreHistory},
	{"store unavailable", makeStoreUnavailable},
	{"silent store", silenceStore},
	{"crash an endpoint", crashEndpoint},
	{"partition an endpoint", partitionEndpoint},
	{"late orders", delayOrders},
	{"partition a zone with the owner", partitionZone},
	{"starve the owner", starveOwner},
}

// runSimulation runs one simulation and returns the violations.
func runSimulation(t *testing.T, seed uint64, shards int, prepare func(sim *simulation)) []string {
	var violations []string
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, seed, shards)
		if prepare != nil {
			prepare(sim)
		}
		sim.start()
		time.Sleep(warmupDuration)
		sim.work.Go(func() { sim.injectFaults() })
		for n := range jobCount {
			time.Sleep(time.Duration(sim.rng.Int64N(int64(800 * time.Millisecond))))
			sim.submit(n + 1)
		}
		time.Sleep(faultPhaseDuration / 2)
		sim.awaitFinalStates()
		sim.close()
		violations = sim.violations()
	})
	return violations
}

// injectFaults injects random faults one after another until the fault phase ends.
func (sim *simulation) injectFaults() {
	for until := time.Now().Add(faultPhaseDuration); time.Now().Before(until); {
		f := sim.faults[sim.store.IntN(len(sim.faults))]
		gap := time.Duration(sim.store.IntN(int(2 * time.Second)))
		if testing.Verbose() {
			sim.t.Log(time.Since(sim.began), "FAULT", f.name)
		}
		f.inject(sim)
		if !sim.sleep(gap) {
			return
		}
	}
}

// Guards against violations of a fleet's guarantees while owners are killed,
// partitioned or restarted, the store loses responses and history, and endpoints crash,
// are partitioned, or receive orders late.
func TestFleetInvariants(t *testing.T) {
	for i := range uint64(seedCount()) {
		seed := tmseed.First() + i
		for _, b := range runSimulation(t, seed, 1, nil) {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}

// Guards against a checker that misses violations: with a mechanism disabled, it must
// find a violation with at least one of the seeds.
func TestCheckerDetectsMissingMechanisms(t *testing.T) {
	controls := map[string]func(sim *simulation){
		// The fencing token rejects late start orders of an owner that was killed.
		"endpoints ignore fencing tokens": func(sim *simulation) {
			sim.fleet.IgnoreTokens, sim.lateOrderRatio = true, 0.5
			sim.faults = []namedFault{{"kill the owner", killOwner}}
		},
		// Tasks of a partitioned endpoint run again elsewhere once its lease has expired.
		"leases last longer than requested": func(sim *simulation) {
			sim.fleet.LongLeases = true
			sim.faults = []namedFault{{"partition an endpoint", partitionEndpoint}}
		},
		"the store ignores conditions": func(sim *simulation) {
			sim.store.SetFaults(func(f *emulator.TableFaults) { f.IgnoreConditions = true })
		},
	}
	for name, control := range controls {
		t.Run(name, func(t *testing.T) {
			for i := range uint64(4 * fleetSeeds) {
				if len(runSimulation(t, tmseed.First()+i, 1, control)) > 0 {
					return
				}
			}
			t.Error("no violation was found")
		})
	}
}

// Guards against outcomes that stay in the store forever. After the retention time
// no row of a job may be left.
func TestOldOutcomesAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.start()
		time.Sleep(warmupDuration)
		for n := range 10 {
			sim.submit(n + 1)
		}
		time.Sleep(faultPhaseDuration)
		sim.awaitFinalStates()
		if n := sim.store.Count(tmrecord.JobTable(0)); n == 0 {
			t.Error("no outcome is stored, expected the rows of 10 jobs")
		}
		time.Sleep(2 * outcomeRetention)
		if n := sim.store.Count(tmrecord.JobTable(0)); n != 0 {
			t.Errorf("%d rows of jobs are left after the retention time", n)
		}
		sim.close()
	})
}

// Guards against a change of owner after an outage of the store. The owner could not
// renew its lease during the outage, so the first node that reached the store again
// took over: two changes of owner after each outage, and no order to an instance for
// three seconds.
func TestOwnerSurvivesAnOutageOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, tmseed.First(), 1)
		sim.start()
		time.Sleep(warmupDuration)
		before := sim.store.ownerToken()
		for i := range 6 {
			// The outages end at different points of the owner's renewal interval.
			sim.store.SetFaults(func(f *emulator.TableFaults) { f.Unavailable = true })
			time.Sleep(3*time.Second + time.Duration(i)*90*time.Millisecond)
			sim.store.SetFaults(func(f *emulator.TableFaults) { f.Unavailable = false })
			// The first write after the outage wakes the followers of the owner table.
			node := tmrecord.EncodeNode(tmrecord.Node{Cores: 0.1})
			sim.store.Set(tmrecord.OwnerTable, tmrecord.NodeKey("starting").Key, node)
			time.Sleep(2 * time.Second)
		}
		if after := sim.store.ownerToken(); after != before || before == 0 {
			t.Errorf("the fencing token was %d before the outages and is %d after them", before, after)
		}
		sim.close()
	})
}

// TestOneWorld runs only the seed in TM_FLEET_SEED, for example to read its log. With
// TM_FLEET_SHARDED=1 the fleet is divided into shards, with TM_FLEET_CRASHES=1 some tasks
// crash their endpoints, with TM_FLEET_CRASHES=gangs some gangs and speculative tasks, with
// TM_FLEET_POLICY=1 a queue has a placement policy.
func TestOneWorld(t *testing.T) {
	text := os.Getenv("TM_FLEET_SEED")
	if text == "" {
		t.Skip("TM_FLEET_SEED is not set")
	}
	seed, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	shards, prepare := 1, func(*simulation) {}
	if os.Getenv("TM_FLEET_SHARDED") != "" {
		shards, prepare = shardCount, limitTeam
	}
	switch os.Getenv("TM_FLEET_CRASHES") {
	case "":
	case "gangs":
		prepare = crashGangsAndCopies
	default:
		prepare = crashEndpoints
	}
	if os.Getenv("TM_FLEET_POLICY") != "" {
		prepare = usePolicyOfShards
	}
	for _, b := range runSimulation(t, seed, shards, prepare) {
		t.Error(b)
	}
}
