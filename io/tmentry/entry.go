// Package tmentry is the entry daemon: it wires the decisions of core to the
// peers in io.
//
// A pool of workers starts tasks from shared tables. Lock order: tables.mu
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

// workers is the number of tasks that an entry has under way at most.
const workers = 512

// Options configure an Entry.
type Options struct {
	// Name is unique among entries; Zone is the availability zone.
	Name, Zone string
	// PeerListen is IP:port to listen on for other entries. PeerAdvertise is
	// the IP:port at which they reach it; when empty it is PeerListen.
	PeerListen, PeerAdvertise string
	// PeerSecret is shared by all entries.
	PeerSecret []byte
	// PlatformURL is http://IP:port.
	PlatformURL     string
	PlatformTimeout tmclock.Span
	// QueueRequests and QueueBytes bound the queue.
	QueueRequests, QueueBytes int
	Log                       *log.Logger
	// PeerFilter is for failure tests; see tmpeer.Options.
	PeerFilter func(from, to string) bool
	// wrapWaves is for negative controls in tests of waves and moves.
	wrapWaves func(tmwaves.Dependencies) tmwaves.Dependencies
}

// Entry is one running entry. It is safe for concurrent use.
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
	// spreading is set while an installed version is being pushed.
	spreading atomic.Bool
	// starved is poked when a team has queued work but no units.
	starved    chan struct{}
	sliceCache sliceCache
	disabled   rules
	// withdrawn is set when the entry is about to stop.
	withdrawn atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
	pool   sync.WaitGroup
}

// Start starts an entry. It returns as soon as the peer listener is bound;
// the entry refuses work until it has joined.
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

func (e *Entry) startLoops() {
	loops := []struct {
		every tmclock.Span
		run   func(context.Context)
	}{
		{tmfresh.HeartbeatInterval, e.members.refresh},
		{tmfresh.HeartbeatInterval, e.members.heartbeat},
		{tmfresh.ListInterval, e.readInstanceList},
		{tickEvery, e.tables.tick},
		{planEvery, e.planSlots},
		{tmfresh.HeartbeatInterval, e.rebalanceTeams},
		{doubtEvery, e.resolveDoubts},
		{sweepEvery, e.sweepRuns},
		{tmwaves.MoveInterval, e.moves.Step},
	}
	for _, l := range loops {
		e.loops.Go(func() { every(e.ctx, l.every, l.run) })
	}
	e.loops.Go(func() { e.runs.loop(e.ctx) })
	e.loops.Go(func() { e.keepSlices(e.ctx) })
	e.loops.Go(func() { e.waves.Run(e.ctx) })
	for range workers {
		e.pool.Go(e.work)
	}
}

// Incarnation returns the id of this start of the entry.
func (e *Entry) Incarnation() string {
	return e.self.Incarnation()
}

// fresh reports whether the entry may act on its State.
func (e *Entry) fresh() bool {
	return e.disabled.freshness.Load() || e.tracker.Fresh()
}

// Ready reports whether the entry takes work: it is fresh and not stopping.
func (e *Entry) Ready() bool {
	return e.fresh() && !e.Withdrawn() && !e.tables.isStopping()
}

// State returns the installed State, or ErrNotFresh before there is one.
func (e *Entry) State(context.Context) (tmfleet.State, error) {
	state := e.tracker.State()
	if state.Version() == 0 {
		return tmfleet.State{}, tmoperator.ErrNotFresh
	}
	return state, nil
}

// Withdraw makes Healthy fail while the entry still takes requests, so that
// the balancer sends no new ones before it stops.
func (e *Entry) Withdraw() {
	e.withdrawn.Store(true)
}

// Withdrawn reports whether Withdraw was called.
func (e *Entry) Withdrawn() bool {
	return e.withdrawn.Load()
}

// Close shuts down gracefully: it refuses new requests, waits until those it
// has are answered or ctx ends, gives back leases and slices, and leaves the
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
	e.pool.Wait()
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
