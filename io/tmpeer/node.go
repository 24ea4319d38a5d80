// Package tmpeer carries the conversations between entries: JSON-RPC in
// length-prefixed frames over gnet. Both sides prove that they know a shared
// secret before anything else is served. The proof covers the opening of a
// connection; the traffic after it is neither encrypted nor signed, so the
// network between the entries has to be trusted.
//
// Each Node dials one connection to every peer that it asks and serves the
// connections that peers dial to it. A peer that fails or is slow doesn't
// delay calls to others.
//
// Lock order: Node.mu, then peer.mu, then stream.mu.
package tmpeer

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/panjf2000/gnet/v2"
	"golang.org/x/time/rate"

	"turmericmoor/core/tmclock"
)

const (
	// handshakeTimeout bounds dialling and both proofs.
	handshakeTimeout = 1 * time.Second
	// stopTimeout bounds the stop of the event loops.
	stopTimeout = 5 * time.Second
	// maxConnections bounds the connections that are served at a time.
	maxConnections = 1024
	// keepAlive finds peers whose machine vanished.
	keepAlive = 5 * time.Second
	// keepAliveProbes is how many unanswered probes end a connection.
	keepAliveProbes = 3
)

// Options are the settings of a Node.
type Options struct {
	// Self names this process.
	Self Identity
	// Listen is IP:port of the peer listener.
	Listen string
	// Secret is shared by all entries; at least 16 bytes.
	Secret []byte
	// Handler answers the questions of peers.
	Handler Handler
	// Log receives lines about refused and broken connections, or is nil.
	Log *log.Logger
	// Clock is for the back-off of dialling; nil means the system's.
	Clock tmclock.Clock
	// Filter is for failure tests: frames from one entry to another for which
	// it returns false are dropped. Nil lets everything pass. It is called
	// concurrently, also from event loops, and must not wait.
	Filter func(from, to string) bool
}

// Node is the peer protocol of one entry. It is safe for concurrent use.
type Node struct {
	opts   Options
	log    *log.Logger
	logged *rate.Limiter
	clock  tmclock.Clock

	ctx    context.Context
	cancel context.CancelFunc
	work   sync.WaitGroup

	sent atomic.Int64

	server *events
	client *gnet.Client

	mu      sync.Mutex
	closed  bool
	peers   map[string]*peer
	inbound map[*inbound]struct{}
}

// Start listens and serves. It returns an error that names the option at fault
// when an option is missing or the address can't be bound.
func Start(opts Options) (*Node, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	n := &Node{
		opts:    opts,
		log:     opts.Log,
		logged:  rate.NewLimiter(rate.Every(time.Second), 10),
		clock:   opts.Clock,
		peers:   map[string]*peer{},
		inbound: map[*inbound]struct{}{},
	}
	if n.log == nil {
		n.log = log.New(discard{})
	}
	if n.clock == nil {
		n.clock = tmclock.NewSystem()
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.startClient(); err != nil {
		n.cancel()
		return nil, err
	}
	if err := n.startServer(); err != nil {
		n.cancel()
		_ = n.client.Stop()
		return nil, err
	}
	return n, nil
}

func (o Options) check() error {
	switch {
	case o.Self.Entry == "" || o.Self.Incarnation == "":
		return errors.New("tmpeer: Self: expected the entry name and its incarnation")
	case len(o.Secret) < minSecretSize:
		return fmt.Errorf("tmpeer: Secret: expected at least %d bytes, got %d", minSecretSize, len(o.Secret))
	case o.Handler == nil:
		return errors.New("tmpeer: Handler: expected a handler")
	}
	if _, err := netip.ParseAddrPort(o.Listen); err != nil {
		return fmt.Errorf("tmpeer: Listen: expected IP:port: %w", err)
	}
	return nil
}

func (n *Node) startClient() error {
	client, err := gnet.NewClient(&events{}, n.engineOptions()...)
	if err != nil {
		return fmt.Errorf("tmpeer: client: %w", err)
	}
	if err := client.Start(); err != nil {
		return fmt.Errorf("tmpeer: client: %w", err)
	}
	n.client = client
	return nil
}

func (n *Node) startServer() error {
	n.server = &events{accept: n.accept, booted: make(chan struct{})}
	failed := make(chan error, 1)
	n.work.Go(func() {
		failed <- gnet.Run(n.server, "tcp://"+n.opts.Listen, n.engineOptions()...)
	})
	select {
	case <-n.server.booted:
		return nil
	case err := <-failed:
		return fmt.Errorf("tmpeer: listen on %s: %w", n.opts.Listen, err)
	}
}

func (n *Node) engineOptions() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1),
		// Without SO_REUSEADDR a restarted process can't bind its port while
		// old connections are in TIME_WAIT.
		gnet.WithReuseAddr(true),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithTCPKeepAlive(keepAlive),
		gnet.WithTCPKeepInterval(keepAlive),
		gnet.WithTCPKeepCount(keepAliveProbes),
		gnet.WithLogger(engineLog{}),
	}
}

// BytesSent returns the bytes of all messages that were handed to TCP so far.
func (n *Node) BytesSent() int64 { return n.sent.Load() }

// Close ends all connections and waits until handlers, dials and event loops
// have ended. Handlers see their context cancelled.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	n.mu.Unlock()
	// Dials have to end first: gnet never answers the enrolment of a
	// connection after its event loop has stopped.
	n.cancel()
	n.waitForDials()
	err := n.client.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	err = errors.Join(err, n.server.engine.Stop(ctx))
	n.work.Wait()
	if err != nil {
		return fmt.Errorf("tmpeer: close: %w", err)
	}
	return nil
}

func (n *Node) waitForDials() {
	n.mu.Lock()
	peers := make([]*peer, 0, len(n.peers))
	for _, p := range n.peers {
		peers = append(peers, p)
	}
	n.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
}

// note logs a line about a connection. The rate is limited, because strangers
// can cause such lines.
func (n *Node) note(msg string, keyvals ...any) {
	if n.logged.Allow() {
		n.log.Warn(msg, keyvals...)
	}
}

// filter returns the test filter of a stream, or nil.
func (n *Node) filter() func(out bool, peer string) bool {
	if n.opts.Filter == nil {
		return nil
	}
	return func(out bool, peer string) bool {
		if out {
			return n.opts.Filter(n.opts.Self.Entry, peer)
		}
		return n.opts.Filter(peer, n.opts.Self.Entry)
	}
}
