package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmshard"
	"turmericmoor/internal/emulator"
	"turmericmoor/internal/tmknownred"
	"turmericmoor/internal/tmseed"
	"turmericmoor/io/tmtable"
)

const (
	// policyQueue is the queue with a placement policy.
	policyQueue = "p"
	// decisionTime and timePerEndpoint are how long the policy takes for an answer.
	decisionTime    = 20 * time.Millisecond
	timePerEndpoint = time.Millisecond
	// calmTime is within how long after the last fault no task stands still: a lease that a
	// partitioned endpoint may hold has ended.
	calmTime          = 12 * time.Second
	standstillSamples = 200 * time.Millisecond
)

var errPolicyDown = errors.New("fleetsim: the placement policy is down")

// policyClient is the connection of one node to the placement policy, which handles one call at a
// time for each node.
type policyClient struct {
	sim      *simulation
	isKilled func() bool
	turn     chan struct{}
}

func newPolicyClient(sim *simulation, isKilled func() bool) *policyClient {
	return &policyClient{sim: sim, isKilled: isKilled, turn: make(chan struct{}, 1)}
}

// Advise implements tmowner.Advisor.
func (c *policyClient) Advise(ctx context.Context, step string, endpoints []string) (map[string]string, tmclock.Span, error) {
	if _, ok := ctx.Deadline(); !ok {
		c.sim.reportUnbounded("a call to the placement policy")
	}
	select {
	case <-ctx.Done():
		return nil, 0, errNoAnswer
	case c.turn <- struct{}{}:
	}
	defer func() { <-c.turn }()
	select {
	case <-ctx.Done():
		return nil, 0, errNoAnswer
	case <-time.After(decisionTime + time.Duration(len(endpoints))*timePerEndpoint):
	}
	if c.isKilled() {
		<-ctx.Done()
		return nil, 0, errNoAnswer
	}
	c.sim.fleet.Lock()
	defer c.sim.fleet.Unlock()
	p := c.sim.policy
	if p.Down {
		return nil, 0, errPolicyDown
	}
	return p.Advise(step, endpoints), tmclock.Span(p.SaidValidity().Milliseconds()), nil
}

// queueOf returns the queue of a job: every second one has a placement policy, if there is any.
func (sim *simulation) queueOf(id string) string {
	if sim.policy != nil && strings.ContainsRune("02468ace", rune(id[len(id)-1])) {
		return policyQueue
	}
	return "q"
}

// instanceOf returns the instance of an endpoint. An endpoint that replaces another one on an instance
// has its ID and a suffix.
func instanceOf(id string) string {
	name, _, _ := strings.Cut(id, ".")
	return "i-" + name
}

// usePolicy gives a queue a placement policy that permits each step on few endpoints of the fleet.
func usePolicy(sim *simulation) {
	sim.addPolicy(func(string) int { return 0 })
}

// usePolicyOfShards gives a queue a placement policy that permits each step on few endpoints of each
// shard.
func usePolicyOfShards(sim *simulation) {
	sim.addPolicy(func(id string) int {
		for i := range sim.shards {
			if tmshard.New(i, sim.shards).OwnsInstance(instanceOf(id)) {
				return i
			}
		}
		return 0
	})
}

// addPolicy gives a queue a placement policy that permits each step on few endpoints of each group,
// with tickets that are valid for a time that depends on the seed.
func (sim *simulation) addPolicy(group func(endpoint string) int) {
	validities := []time.Duration{300 * time.Millisecond, 3 * time.Second, time.Minute}
	sim.policy = sim.fleet.SetPolicy(emulator.Policy{
		Queue: policyQueue, Allowed: 1 + sim.rng.IntN(3), Validity: validities[sim.rng.IntN(len(validities))],
	})
	for _, id := range sim.slots {
		sim.policy.AddSlot(id, group(id))
	}
	sim.faults = []namedFault{
		{"kill the owner", killOwner},
		{"crash an endpoint", crashEndpoint},
		{"restart an endpoint", restartEndpoint},
		{"restart an endpoint", restartEndpoint},
		{"replace an endpoint", replaceEndpoint},
		{"partition an endpoint", partitionEndpoint},
		{"slow store", slowDownStore},
		{"late orders", delayOrders},
		{"placement policy down", stopPolicy},
	}
	sim.work.Go(func() { sim.watchStandstill() })
}

// restartEndpoint crashes an endpoint, which is back soon.
func restartEndpoint(sim *simulation) { sim.crash(sim.drawEndpoint(), 400*time.Millisecond) }

// replaceEndpoint crashes an endpoint for good. Another one comes in its place.
func replaceEndpoint(sim *simulation) {
	slot := sim.store.IntN(endpointsPerShard * sim.shards)
	sim.mu.Lock()
	old := sim.slots[slot]
	id := old + ".1"
	sim.slots[slot] = id
	sim.mu.Unlock()
	sim.fleet.Lock()
	sim.fleet.Endpoint(old).Crash()
	sim.fleet.Unlock()
	sim.sleep(2 * time.Second)
	_, _ = sim.store.Apply(tmtable.Txn{Removes: []tmtable.Key{{Table: endpointTable, Key: old}}})
	sim.fleet.Lock()
	sim.fleet.AddEndpoint(id, "z", tmjob.Resources{CPU: 8000, Mem: 8000}, 0.99)
	if sim.policy != nil {
		sim.policy.Replace(old, id)
	}
	sim.fleet.Unlock()
	sim.store.Set(endpointTable, id, []byte(id))
}

// stopPolicy makes the placement policy answer no request for a while.
func stopPolicy(sim *simulation) {
	sim.setPolicyDown(true)
	sim.sleep(4 * time.Second)
	sim.setPolicyDown(false)
}

func (sim *simulation) setPolicyDown(down bool) {
	sim.fleet.Lock()
	defer sim.fleet.Unlock()
	sim.policy.Down = down
}

// watchStandstill looks for tasks that stand still beside idle endpoints, from calmTime after the
// last fault on.
func (sim *simulation) watchStandstill() {
	const longestFault = 10 * time.Second
	if !sim.sleep(warmupDuration + faultPhaseDuration + longestFault + calmTime) {
		return
	}
	for sim.sleep(standstillSamples) {
		sim.mu.Lock()
		accepted := append([]string(nil), sim.accepted...)
		sim.mu.Unlock()
		sim.fleet.Lock()
		sim.policy.CheckStandstill(accepted)
		sim.fleet.Unlock()
	}
}

// Guards against tasks of a queue with a placement policy that stand still while an endpoint that may
// run them is idle, and against starts without a valid ticket: tickets are valid for short or long, few
// endpoints are permitted, and endpoints restart, are replaced or are cut off while owners change.
func TestPlacementPolicyInvariants(t *testing.T) {
	runPolicySimulations(t, 1, usePolicy)
}

// Guards against the same in a fleet that is divided into shards.
func TestPlacementPolicyInvariantsInShards(t *testing.T) {
	runPolicySimulations(t, shardCount, usePolicyOfShards)
}

// Guards against a job that never runs because the endpoints that may run it are in another shard.
func TestPlacementPolicyOfOtherShards(t *testing.T) {
	tmknownred.SkipListed(t)
	runPolicySimulations(t, shardCount, usePolicy)
}

func runPolicySimulations(t *testing.T, shards int, prepare func(sim *simulation)) {
	for i := range uint64(seedCount()) {
		seed := tmseed.First() + i
		for _, v := range runSimulation(t, seed, shards, prepare) {
			t.Errorf("seed %d: %s", seed, v)
		}
	}
}

// Guards against a checker that misses starts with a ticket that has expired, and tasks that stand
// still.
func TestCheckerDetectsPolicyFaults(t *testing.T) {
	controls := map[string]func(sim *simulation){
		"with a ticket that expired": func(sim *simulation) {
			sim.policy.Validity, sim.policy.Overstated = 300*time.Millisecond, time.Minute
		},
		"is idle": func(sim *simulation) {
			sim.faults = []namedFault{{"placement policy down", stopPolicy}}
			sim.work.Go(func() {
				sim.sleep(warmupDuration + faultPhaseDuration/2)
				for sim.sleep(10 * time.Millisecond) {
					sim.setPolicyDown(true)
				}
			})
		},
	}
	for text, control := range controls {
		t.Run(text, func(t *testing.T) {
			found := runSimulation(t, tmseed.First(), 1, func(sim *simulation) {
				usePolicy(sim)
				control(sim)
			})
			assert.Assert(t, strings.Contains(strings.Join(found, "\n"), text), fmt.Sprint(found))
		})
	}
}
