package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"turmericmoor/core/tmaccess"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/internal/emulator"
	"turmericmoor/io/tmintake"
	"turmericmoor/io/tmnode"
	"turmericmoor/io/tmtable"
)

const (
	// cancelBound is after what time from its confirmation a cancellation must
	// have taken effect.
	cancelBound = 3 * time.Second
	// finishBound is within what time after the last fault every job is final.
	finishBound = 30 * time.Second
	nodeCount   = 3
	// keepOutcomes is longer than any of the worlds but one.
	keepOutcomes = 3 * time.Minute
	operators    = "operator"
	listTable    = "workers"
)

// world is a whole fleet. Its mutex and that of the fleet are never held together.
type world struct {
	t     *testing.T
	began time.Time
	// rng is for the goroutine of the test, orders is guarded by the mutex.
	rng, orders *rand.Rand
	store       store
	fleet       *emulator.Fleet

	mu        sync.Mutex
	accepted  []string
	workerCut map[string]bool
	// island is a node that reaches only the workers on it, and they only it.
	island     string
	onIsland   map[string]bool
	lateOrders float64

	// faults are those that trouble draws from.
	faults []namedFault
	nodes  []*nodeProcess
	work   sync.WaitGroup
	ended  chan struct{}
}

// nodeProcess is a node and its faults.
type nodeProcess struct {
	name string
	node *tmnode.Node
	mu   sync.Mutex
	// dead processes reach nobody; storeCut ones don't reach the store.
	dead, storeCut bool
	stop           context.CancelFunc
	done           chan struct{}
}

func (p *nodeProcess) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *nodeProcess) die() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

// process returns the present process of node i.
func (w *world) process(i int) *nodeProcess {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[i%nodeCount]
}

func (p *nodeProcess) noStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead || p.storeCut
}

func (p *nodeProcess) setStoreCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeCut = cut
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 1)), orders: rand.New(rand.NewPCG(seed, 3)),
		fleet: emulator.NewFleet(), workerCut: map[string]bool{}, ended: make(chan struct{}), faults: faults,
	}
	w.store = store{emulator.NewTable(rand.New(rand.NewPCG(seed, 2)))}
	w.fleet.CancelBound = cancelBound
	for i := range 6 {
		id := fmt.Sprintf("w%d", i)
		w.fleet.AddEndpoint(id, "z", tmjob.Resources{CPU: 8000, Mem: 8000}, 0.98+0.02*w.rng.Float64())
		w.store.Set(listTable, id, []byte(id))
	}
	w.store.Set(operators, "config", []byte("1"))
	return w
}

// start starts all nodes.
func (w *world) start() {
	for i := range nodeCount {
		w.nodes = append(w.nodes, w.startNode(fmt.Sprintf("n%d", i), w.rng.Float64()))
	}
}

// directory translates the world's own rows.
type directory struct{ w *world }

func (directory) EndpointTable() string { return listTable }
func (directory) OperatorTable() string { return operators }

func (d directory) Endpoint(row tmtable.Row) (tmcontrol.EndpointInfo, error) {
	d.w.fleet.Lock()
	defer d.w.fleet.Unlock()
	return listing(d.w.fleet.Endpoint(string(row.Value))), nil
}

func (directory) WaveStatus(wave string, _ bool) tmtable.Put {
	return tmtable.Put{Key: tmtable.Key{Table: "status", Key: wave}}
}

func (directory) Operator(tmtable.Row) (tmnode.OperatorEntry, error) {
	rules := tmcontrol.Rules{
		Version:  1,
		Queues:   map[string]tmcontrol.Queue{"q": {Name: "q", Service: "pool", Attempts: 4, Stretch: 2, Objective: 600}},
		Services: map[string]tmcontrol.Service{"pool": {Name: "pool"}},
		Teams:    map[string]tmcontrol.Team{"t": {Name: "t", Weight: 1}},
	}
	return tmnode.OperatorEntry{Access: tmaccess.NewTable(1, nil, map[string]string{"k": "t"}, 1<<20), Rules: &rules}, nil
}

func (w *world) startNode(name string, stagger float64) *nodeProcess {
	p := &nodeProcess{name: name, done: make(chan struct{})}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.node = tmnode.New(tmnode.Options{
		Name: name, Store: &view{store: w.store, cut: p.noStore}, Endpoints: &caller{w: w, node: name, cut: p.isDead},
		Directory: directory{w}, Clock: tmclock.NewSystem(), BootClock: time.Now, MaxConfigAge: 3 * time.Second,
		Bounds:  tmcontrol.Bounds{Lease: 5000, HandoverDelay: 3000, Maintenance: 2000},
		Stagger: stagger, Cores: 1, KeepOutcomes: keepOutcomes,
		Emit: func(e tmevent.Event) {
			if testing.Verbose() {
				w.t.Log(time.Since(w.began), name, e.Name, e.Fields)
			}
		},
	})
	go func() {
		defer close(p.done)
		p.node.Run(ctx)
	}()
	return p
}

// kill ends node i at once, without a word to anybody, and starts it again after
// a while.
func (w *world) kill(i int, down time.Duration) {
	p := w.process(i)
	p.die()
	p.stop()
	<-p.done
	w.sleep(down)
	next := w.startNode(p.name, w.store.Float())
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[i] = next
}

// lateness draws whether an order is late on its way, and by how much.
func (w *world) lateness() (bool, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.orders.Float64() >= w.lateOrders {
		return false, 0
	}
	return true, time.Duration(w.orders.Int64N(int64(4 * time.Second)))
}

func (w *world) sleep(d time.Duration) bool {
	select {
	case <-w.ended:
		return false
	case <-time.After(d):
		return true
	}
}

// owner returns the node that owns the fleet, or -1.
func (w *world) owner() int {
	for i := range nodeCount {
		p := w.process(i)
		if _, ok := p.node.Dump(); ok && !p.isDead() {
			return i
		}
	}
	return -1
}

// submit hands a job in until some node gives a definite answer.
func (w *world) submit(n int) {
	j := tmjob.Job{ID: fmt.Sprintf("%016x", n), Queue: "q", Team: "t", Accepted: time.Now().UnixMilli()}
	for s := range 1 + w.rng.IntN(3) {
		step := tmjob.Step{Count: 1 + w.rng.IntN(6), Size: tmjob.Resources{CPU: 1000 + 500*w.rng.Int64N(3), Mem: 500}, Estimate: 800}
		if s > 0 {
			step.After = []int{s - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	w.fleet.Lock()
	w.fleet.Submitted(&j)
	w.fleet.Unlock()
	first := w.rng.IntN(nodeCount)
	cancelAfter := time.Duration(-1)
	if w.rng.IntN(8) == 0 {
		cancelAfter = time.Duration(w.rng.Int64N(int64(2 * time.Second)))
	}
	w.work.Go(func() {
		if !w.call(first, func(ctx context.Context, n *tmnode.Node) error { return n.Submit(ctx, j) }) {
			return
		}
		w.mu.Lock()
		w.accepted = append(w.accepted, j.ID)
		w.mu.Unlock()
		if cancelAfter >= 0 && w.sleep(cancelAfter) {
			w.cancel(first, j.ID)
		}
	})
}

func (w *world) cancel(first int, id string) {
	ok := w.call(first, func(ctx context.Context, n *tmnode.Node) error {
		err := n.Cancel(ctx, "q", id)
		if errors.Is(err, tmintake.ErrNoJob) {
			return nil
		}
		return err
	})
	if ok {
		w.fleet.Lock()
		w.fleet.Cancelled(id)
		w.fleet.Unlock()
	}
}

// call tries nodes in turn until one answers.
func (w *world) call(first int, do func(ctx context.Context, n *tmnode.Node) error) bool {
	for i := first; ; i++ {
		p := w.process(i)
		if !p.isDead() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			err := do(ctx, p.node)
			cancel()
			if err == nil {
				return true
			}
		}
		if !w.sleep(100 * time.Millisecond) {
			return false
		}
	}
}

// awaitAll waits until every accepted job is shown as final.
func (w *world) awaitAll() {
	deadline := time.Now().Add(finishBound)
	for i := 0; ; i++ {
		w.mu.Lock()
		if i == len(w.accepted) {
			w.mu.Unlock()
			return
		}
		id := w.accepted[i]
		w.mu.Unlock()
		for !w.isFinal(id) {
			if time.Now().After(deadline) {
				w.fail("%s is not final %v after the last fault", id, finishBound)
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	w.fleet.Lock()
	defer w.fleet.Unlock()
	w.fleet.Fail(format, args...)
}

func (w *world) isFinal(id string) bool {
	for i := range nodeCount {
		p := w.process(i)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		state, err := p.node.State(ctx, "q", id)
		cancel()
		if errors.Is(err, tmintake.ErrNoJob) {
			w.fail("%s is accepted and not known", id)
			return true
		}
		if err == nil {
			w.fleet.Lock()
			w.fleet.Shown(id, state)
			w.fleet.Unlock()
			return state.Final()
		}
	}
	return false
}

// close ends all nodes and waits.
func (w *world) close() {
	close(w.ended)
	w.work.Wait()
	for i := range nodeCount {
		p := w.process(i)
		p.stop()
		<-p.done
	}
}
