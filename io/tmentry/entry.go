// Package tmentry is the entry daemon: it connects the decision logic of the
// core packages to the platform, the endpoints and the other entries.
//
// A fixed set of workers starts tasks from shared tables. Lock order: tables.mu
// before the lock of tmfresh.Tracker; runWriter.mu and membership.mu are never
// held together with another lock. No lock is held during I/O.
package tmentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmfresh"
	"turmericmoor/io/tmendpoint"
	"turmericmoor/io/tmoperator"
	"turmericmoor/io/tmpeer"
	"turmericmoor/io/tmplatform"
	"turmericmoor/io/tmstore"
	"turmericmoor/io/tmwaves"
)

// workers is the number of goroutines that run tasks, and so the largest number
// of tasks that an entry runs at a time.
const workers = 512

// Options are the settings of an Entry.
type Options struct {
	// Name is unique among entries; Zone is the availability zone.
	Name, Zone string
	// PeerListen is the IP:port to listen on for other entries. PeerAdvertise is
	// the IP:port at which they reach this entry; when empty it is PeerListen.
	PeerListen, PeerAdvertise string
	// PeerSecret is the secret that all entries share.
	PeerSecret []byte
	// PlatformURL is http://IP:port.
	PlatformURL     string
	PlatformTimeout tmclock.Span
	// QueueRequests and QueueBytes bound the queue.
	QueueRequests, QueueBytes int
	Log                       *log.Logger
	// PeerFilter drops traffic between entries in failure tests; see
	// tmpeer.Options.
	PeerFilter func(from, to string) bool
	// PeerConnections and PeerRefused are MaxConnections and Refused of tmpeer.Options.
	PeerConnections int
	PeerRefused     func(client string)
	// Collector has further metrics to export. It may be nil.
	Collector prometheus.Collector
	// wrapWaves replaces the dependencies of waves and moves in negative
	// controls of tests.
	wrapWaves func(tmwaves.Dependencies) tmwaves.Dependencies
}

// Entry is one running entry process. It is safe for concurrent use.
type Entry struct {
	opts      Options
	self      tmfleet.Member
	log       *log.Logger
	clock     tmclock.Clock
	tracker   *tmfresh.Tracker
	platform  *tmplatform.Client
	store     *tmstore.Store
	endpoints *tmendpoint.Client
	node      *tmpeer.Node
	tables    *tables
	leases    *leaseKeeper
	runs      *runWriter
	members   *membership
	metrics   *metrics
	waves     *tmwaves.Coordinator
	moves     *tmwaves.Mover
	// pushing is set while a goroutine pushes the installed version to the other
	// members.
	pushing atomic.Bool
	// starved is notified when a team has queued work but no units.
	starved    chan struct{}
	sliceCache sliceCache
	disabled   mechanisms
	// withdrawn is set once Withdraw was called, shortly before the entry stops.
	withdrawn atomic.Bool

	ctx        context.Context
	cancel     context.CancelFunc
	loops      sync.WaitGroup
	workerPool sync.WaitGroup
}

// Start starts an entry. It returns as soon as the peer listener is bound; the
// entry rejects requests until it has joined the members.
func Start(opts Options) (*Entry, error) {
	if opts.PeerAdvertise == "" {
		opts.PeerAdvertise = opts.PeerListen
	}
	clock := tmclock.NewSystem()
	incarnation := uuid.NewString()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		opts:    opts,
		self:    tmfleet.NewMember(opts.Name, incarnation, opts.PeerAdvertise, opts.Zone),
		log:     opts.Log.With("entry", opts.Name),
		clock:   clock,
		tracker: tmfresh.New(incarnation, clock, tmfresh.DefaultBounds()),
		platform: tmplatform.New(tmplatform.Options{
			BaseURL:  opts.PlatformURL,
			Instance: opts.Name,
			Timeout:  opts.PlatformTimeout,
		}),
		endpoints: tmendpoint.New(tmendpoint.Options{}),
		metrics:   newMetrics(),
		starved:   make(chan struct{}, 1),
		ctx:       ctx,
		cancel:    cancel,
	}
	if opts.Collector != nil {
		e.metrics.registry.MustRegister(opts.Collector)
	}
	e.store = tmstore.New(e.platform)
	e.tables = newTables(e, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	e.leases = newLeaseKeeper(e)
	e.runs = newRunWriter(e.store, clock, incarnation)
	e.members = newMembership(e)
	e.newWaves()
	node, err := tmpeer.Start(tmpeer.Options{
		Self:    tmpeer.Identity{Entry: opts.Name, Incarnation: incarnation},
		Listen:  opts.PeerListen,
		Secret:  opts.PeerSecret,
		Handler: peerHandler{e},
		Log:     e.log,
		Clock:   clock,
		Filter:  opts.PeerFilter,

		MaxConnections: opts.PeerConnections,
		Refused:        opts.PeerRefused,
	})
	if err != nil {
		cancel()
		e.platform.Close()
		e.endpoints.Close()
		return nil, fmt.Errorf("tmentry: start: %w", err)
	}
	e.node = node
	e.startLoops()
	e.log.Info("entry started", "incarnation", incarnation, "zone", opts.Zone, "peer_address", opts.PeerAdvertise)
	return e, nil
}

// startLoops starts the periodic loops and the workers.
func (e *Entry) startLoops() {
	loops := []struct {
		every tmclock.Span
		run   func(context.Context)
	}{
		{tmfresh.HeartbeatInterval, e.members.refresh},
		{tmfresh.HeartbeatInterval, e.members.heartbeat},
		{tmfresh.ListInterval, e.readInstanceList},
		{tickInterval, e.tables.tick},
		{planInterval, e.planSlots},
		{tmfresh.HeartbeatInterval, e.rebalanceTeams},
		{quarantineInterval, e.resolveQuarantine},
		{sweepInterval, e.sweepRuns},
		{tmwaves.MoveInterval, e.moves.Step},
	}
	for _, l := range loops {
		e.loops.Go(func() { every(e.ctx, l.every, l.run) })
	}
	e.loops.Go(func() { e.runs.loop(e.ctx) })
	e.loops.Go(func() { e.sliceLoop(e.ctx) })
	e.loops.Go(func() { e.waves.Run(e.ctx) })
	for range workers {
		e.workerPool.Go(e.work)
	}
}

// Incarnation returns the id of this lifetime of the entry process.
func (e *Entry) Incarnation() string {
	return e.self.Incarnation()
}

// fresh reports whether the entry may act on its State.
func (e *Entry) fresh() bool {
	return e.disabled.freshness.Load() || e.tracker.Fresh()
}

// Ready reports whether the entry accepts work: it is fresh and not stopping.
func (e *Entry) Ready() bool {
	return e.fresh() && !e.Withdrawn() && !e.tables.isStopping()
}

// State returns the installed State, or ErrNotFresh when none is installed yet.
func (e *Entry) State(context.Context) (tmfleet.State, error) {
	state := e.tracker.State()
	if state.Version() == 0 {
		return tmfleet.State{}, tmoperator.ErrNotFresh
	}
	return state, nil
}

// Withdraw makes Healthy fail while the entry still serves requests, so that
// the load balancer stops sending new ones before the entry stops.
func (e *Entry) Withdraw() {
	e.withdrawn.Store(true)
}

// Withdrawn reports whether Withdraw was called.
func (e *Entry) Withdrawn() bool {
	return e.withdrawn.Load()
}

// Close shuts down gracefully: it rejects new requests, waits until the open
// ones are answered or ctx ends, returns leases and slices, and leaves the
// members. Then it waits for all goroutines.
func (e *Entry) Close(ctx context.Context) error {
	e.tables.stop()
	err := e.tables.drain(ctx)
	e.leases.releaseAll(ctx)
	e.runs.flush(ctx)
	e.returnSlices(ctx)
	e.members.leave(ctx)
	e.cancel()
	e.tables.close()
	e.workerPool.Wait()
	e.leases.wait()
	e.loops.Wait()
	if nodeErr := e.node.Close(); nodeErr != nil {
		err = errors.Join(err, fmt.Errorf("tmentry: close: %w", nodeErr))
	}
	e.platform.Close()
	e.endpoints.Close()
	e.log.Info("entry stopped")
	return err
}
