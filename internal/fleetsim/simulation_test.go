package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"turmericmoor/core/tmaccess"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmshard"
	"turmericmoor/internal/emulator"
	"turmericmoor/io/tmintake"
	"turmericmoor/io/tmnode"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

const (
	// entryDelay is how long an endpoint that has started takes to put itself on the list of
	// endpoints.
	entryDelay = 100 * time.Millisecond
	// cancelTimeout is how long after the confirmation of a cancellation tasks of
	// the job may still start.
	cancelTimeout = 3 * time.Second
	// finishTimeout is how long after the last fault every job must be final.
	finishTimeout = 30 * time.Second
	nodeCount     = 3
	// outcomeRetention is longer than all simulations but one.
	outcomeRetention = 3 * time.Minute
	operatorTable    = "operator"
	endpointTable    = "workers"
)

// simulation is a whole fleet. Its mutex and the mutex of the fleet are never held
// together.
type simulation struct {
	t     *testing.T
	began time.Time
	// rng is used only by the goroutine of the test, orderRNG is guarded by mu.
	rng, orderRNG *rand.Rand
	store         store
	fleet         *emulator.Fleet

	mu                   sync.Mutex
	accepted             []string
	partitionedEndpoints map[string]bool
	// isolatedNode, if set, and isolatedEndpoints reach only each other.
	isolatedNode      string
	isolatedEndpoints map[string]bool
	lateOrderRatio    float64
	lostHoldRatio     float64
	// shapeStep changes the steps of the n-th job, if it is set.
	shapeStep func(n int, step *tmjob.Step)
	// answerDelay is the time from an order to its answer.
	answerDelay time.Duration
	// slots holds the ID of the endpoint in each slot of the fleet. An endpoint that is lost for
	// good is replaced by one with another ID.
	slots []string
	// policy is the placement policy of policyQueue, or nil.
	policy *emulator.Policy

	// linkMbps is what nodes know about their links, 0 for nothing. Links are not emulated.
	linkMbps float64
	// shards is the number of shards, limit the CPU limit of the team or 0 for none.
	shards int
	limit  int64
	// unweighted is set if the team has no weight, so that it is never over its share.
	unweighted bool
	// faults are the faults that injectFaults chooses from.
	faults []namedFault
	nodes  []*nodeProcess
	// work are the callers, the operator and the faults, lateOrders the orders that nodes
	// have sent and that arrive later.
	work, lateOrders sync.WaitGroup
	closed           chan struct{}
}

// process returns the current process of node i.
func (sim *simulation) process(i int) *nodeProcess {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.nodes[i%nodeCount]
}

// narrowLinkMbps makes flushes of a single page, and reads of a few rows at a time.
const narrowLinkMbps = 0.1

// endpointsPerShard is the average number of endpoints of a shard.
const endpointsPerShard = 6

// newSimulation returns a fleet with a number of shards that has not started yet.
func newSimulation(t *testing.T, seed uint64, shards int) *simulation {
	sim := &simulation{
		shards: shards,
		t:      t, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)), orderRNG: rand.New(rand.NewPCG(seed, 3)),
		fleet: emulator.NewFleet(), partitionedEndpoints: map[string]bool{}, closed: make(chan struct{}), faults: faults,
	}
	if seed%2 == 1 {
		sim.linkMbps = narrowLinkMbps
	}
	sim.store = store{emulator.Store{Table: emulator.NewTable(rand.New(rand.NewPCG(seed, 2)))}}
	sim.fleet.CancelTimeout = cancelTimeout
	sim.fleet.Restarted = func(id string) { time.AfterFunc(entryDelay, func() { sim.list(id) }) }
	// Fewer than an endpoint runs at a time, so that ends often don't fit.
	sim.fleet.MaxListedEnds = 4
	for i := range endpointsPerShard * shards {
		id := fmt.Sprintf("w%d", i)
		sim.fleet.AddEndpoint(id, "z", tmjob.Resources{CPU: 8000, Mem: 8000}, 0.98+0.02*sim.rng.Float64())
		sim.store.Set(endpointTable, id, []byte(id))
		sim.slots = append(sim.slots, id)
	}
	if shards > 1 {
		sim.store.Set(tmrecord.OwnerTable, tmrecord.LayoutKey().Key, tmrecord.EncodeLayout(shards))
	}
	sim.configure(1, 0)
	return sim
}

// list puts an entry of an endpoint into the list of endpoints, unless it was replaced.
func (sim *simulation) list(id string) {
	sim.mu.Lock()
	isReplaced := !slices.Contains(sim.slots, id)
	sim.mu.Unlock()
	if !isReplaced {
		sim.store.Set(endpointTable, id, []byte(id))
	}
}

// drawEndpoint returns the ID of a random endpoint.
func (sim *simulation) drawEndpoint() string {
	slot := sim.store.IntN(endpointsPerShard * sim.shards)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.slots[slot]
}

// configure writes a version of the configuration with a limit of the team, 0 for none.
func (sim *simulation) configure(version int, limit int64) {
	sim.limit = limit
	sim.store.Set(operatorTable, "config", fmt.Appendf(nil, "%d %d", version, limit))
}

// checkLimit makes the checker verify the limit that was written last.
func (sim *simulation) checkLimit() {
	sim.fleet.Lock()
	defer sim.fleet.Unlock()
	sim.fleet.SetLimit("t", sim.limit)
}

// start starts all nodes.
func (sim *simulation) start() {
	for i := range nodeCount {
		// The order of nodes in an election depends on their names.
		sim.nodes = append(sim.nodes, sim.startNode(fmt.Sprintf("n%d-%d", i, sim.rng.IntN(1000))))
	}
}

// directory decodes the rows of the simulation.
type directory struct{ sim *simulation }

func (directory) EndpointTable() string { return endpointTable }
func (directory) OperatorTable() string { return operatorTable }

func (d directory) Endpoint(row tmtable.Row) (tmcontrol.EndpointInfo, error) {
	d.sim.fleet.Lock()
	defer d.sim.fleet.Unlock()
	return endpointInfo(d.sim.fleet.Endpoint(string(row.Value))), nil
}

func (directory) WaveStatus(wave string, _ bool) tmtable.Put {
	return tmtable.Put{Key: tmtable.Key{Table: "status", Key: wave}}
}

func (d directory) Operator(row tmtable.Row) (tmnode.OperatorEntry, error) {
	var version, limit int64
	if _, err := fmt.Sscan(string(row.Value), &version, &limit); err != nil {
		return tmnode.OperatorEntry{}, err
	}
	rules := tmcontrol.Rules{
		Version:  version,
		Queues:   map[string]tmcontrol.Queue{"q": {Name: "q", Service: "pool", Attempts: 4, Stretch: 2, Objective: 600}},
		Services: map[string]tmcontrol.Service{"pool": {Name: "pool"}},
		Teams:    map[string]tmcontrol.Team{"t": {Name: "t", Weight: 1, Limit: tmjob.Resources{CPU: limit}}},
	}
	if d.sim.unweighted {
		rules.Teams["t"] = tmcontrol.Team{Name: "t", Limit: tmjob.Resources{CPU: limit}}
	}
	if d.sim.policy != nil {
		rules.Queues[policyQueue] = tmcontrol.Queue{Name: policyQueue, Service: "pool", Attempts: 4, Stretch: 2, Objective: 600, NeedsAdvice: true}
	}
	return tmnode.OperatorEntry{Access: tmaccess.NewTable(version, nil, map[string]string{"k": "t"}, 1<<20), Rules: &rules}, nil
}

func (sim *simulation) startNode(name string) *nodeProcess {
	p := &nodeProcess{name: name, done: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.node = tmnode.New(tmnode.Options{
		Name: name, Store: &storeView{store: sim.store, partitioned: p.cannotReachStore, hasLost: p.hasLost, unbounded: sim.reportUnbounded, refused: sim.reportRefused, awaitTurn: p.awaitTurn}, Endpoints: &endpointClient{sim: sim, node: name, partitioned: p.isKilled, awaitTurn: p.awaitTurn},
		Advisor:   newPolicyClient(sim, p.isKilled),
		Directory: directory{sim}, Clock: tmclock.NewSystem(), BootClock: time.Now, MaxConfigAge: 3 * time.Second,
		Bounds:    tmcontrol.Bounds{Lease: 5000, MaxLease: 10000, HandoverDelay: 3000, Maintenance: 2000},
		Resources: tmshard.Node{Cores: 1, LinkMbps: sim.linkMbps}, KeepOutcomes: outcomeRetention,
		Emit: func(e tmevent.Event) {
			if testing.Verbose() {
				sim.t.Log(time.Since(sim.began), name, e.Name, e.Fields)
			}
		},
	})
	go func() {
		defer close(p.done)
		p.node.Run(ctx)
	}()
	return p
}

// kill ends node i without a graceful shutdown and starts it again after down.
func (sim *simulation) kill(i int, down time.Duration) {
	p := sim.process(i)
	p.markKilled()
	p.stop()
	<-p.done
	sim.sleep(down)
	next := sim.startNode(p.name)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.nodes[i] = next
}

// drawOrderDelay chooses at random whether an order is delayed in transit, and by how
// much.
func (sim *simulation) drawOrderDelay() (bool, time.Duration) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.orderRNG.Float64() >= sim.lateOrderRatio {
		return false, 0
	}
	return true, time.Duration(sim.orderRNG.Int64N(int64(4 * time.Second)))
}

func (sim *simulation) currentAnswerDelay() time.Duration {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.answerDelay
}

// drawLostHold chooses at random whether a hold gets no answer.
func (sim *simulation) drawLostHold() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.lostHoldRatio > 0 && sim.orderRNG.Float64() < sim.lostHoldRatio
}

func (sim *simulation) sleep(d time.Duration) bool {
	select {
	case <-sim.closed:
		return false
	case <-time.After(d):
		return true
	}
}

// owner returns a node that owns a shard, or -1.
func (sim *simulation) owner() int {
	first := sim.store.IntN(nodeCount)
	for n := range nodeCount {
		i := (first + n) % nodeCount
		p := sim.process(i)
		if len(p.node.Dumps()) > 0 && !p.isKilled() {
			return i
		}
	}
	return -1
}

// awaitFinalStates waits until every accepted job is reported as final. A task that crashes
// its endpoint is a fault as well.
func (sim *simulation) awaitFinalStates() {
	since := time.Now()
	for i := 0; ; i++ {
		sim.mu.Lock()
		if i == len(sim.accepted) {
			sim.mu.Unlock()
			return
		}
		id := sim.accepted[i]
		sim.mu.Unlock()
		for !sim.isFinal(id) {
			if time.Since(sim.lastFault(since)) > finishTimeout {
				sim.reportViolation("job %s is not final %v after the last fault", id, finishTimeout)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// lastFault returns when an endpoint last crashed under a task, or since if that is later.
func (sim *simulation) lastFault(since time.Time) time.Time {
	sim.fleet.Lock()
	defer sim.fleet.Unlock()
	if crash := sim.fleet.LastCrash(); crash.After(since) {
		return crash
	}
	return since
}

func (sim *simulation) reportViolation(format string, args ...any) {
	sim.fleet.Lock()
	defer sim.fleet.Unlock()
	sim.fleet.ReportViolation(format, args...)
}

// reportRefused reports a transaction that the store refuses whenever it is sent: a node has
// to know the limits of the store.
func (sim *simulation) reportRefused(err error) {
	sim.reportViolation("a transaction was refused: %v", err)
}

// reportUnbounded reports a call of a node that has no time limit: if it got no answer, the
// node would wait for good.
func (sim *simulation) reportUnbounded(what string) {
	sim.reportViolation("%s has no time limit", what)
}

func (sim *simulation) isFinal(id string) bool {
	for i := range nodeCount {
		p := sim.process(i)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		state, err := p.node.State(ctx, sim.queueOf(id), id)
		cancel()
		if errors.Is(err, tmintake.ErrNoJob) {
			sim.reportViolation("job %s was accepted but is unknown", id)
			return true
		}
		if err == nil {
			sim.fleet.Lock()
			sim.fleet.CheckReportedState(id, state)
			sim.fleet.Unlock()
			return state.Final()
		}
	}
	return false
}

// close stops all nodes and waits for them.
func (sim *simulation) close() {
	close(sim.closed)
	sim.work.Wait()
	for i := range nodeCount {
		p := sim.process(i)
		p.stop()
		<-p.done
	}
	sim.lateOrders.Wait()
}

// violations returns the violations of guarantees that the checker has found.
func (sim *simulation) violations() []string {
	sim.fleet.Lock()
	defer sim.fleet.Unlock()
	return sim.fleet.Violations()
}

// starts returns how many runs were started.
func (sim *simulation) starts() int {
	sim.fleet.Lock()
	defer sim.fleet.Unlock()
	return sim.fleet.Starts()
}
