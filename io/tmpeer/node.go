// Package tmpeer implements the protocol between entries, the processes that serve
// callers: JSON-RPC in length-prefixed frames over gnet. Both sides prove in a
// handshake that they know a shared secret before any other request is served. Only
// the handshake is authenticated; the traffic after it is neither encrypted nor
// signed, so the network between the entries must be trusted.
//
// Each Node dials one connection to every peer that it calls and serves the
// connections that peers dial to it. A failing or slow peer doesn't delay calls
// to others.
//
// Lock order: Node.mu, then peer.mu, then stream.mu.
package tmpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/panjf2000/gnet/v2"
	"github.com/sourcegraph/jsonrpc2"
	"golang.org/x/time/rate"

	"turmericmoor/core/tmclock"
)

const (
	// handshakeTimeout is the timeout of dialling and the handshake together.
	// An accepted connection has as long for its handshake.
	handshakeTimeout = 1 * time.Second
	// defaultMaxConnections is the maximum number of accepted connections unless Options give
	// another one.
	defaultMaxConnections = 1024
	// keepAliveInterval is the idle time before the first TCP keep-alive probe
	// and the time between probes. The probes detect a peer whose host has
	// disappeared without closing the connection.
	keepAliveInterval = 5 * time.Second
	// keepAliveProbes is the number of unanswered probes after which a
	// connection is closed.
	keepAliveProbes = 3
)

// Options are the settings of a Node.
type Options struct {
	// Self identifies this process.
	Self Identity
	// Listen is the address of the peer listener, as IP:port.
	Listen string
	// Secret is shared by all entries. It has at least 16 bytes.
	Secret []byte
	// Handler serves the requests of peers.
	Handler Handler
	// Log receives lines about failed handshakes. It may be nil.
	Log *log.Logger
	// Clock measures the back-off between dials. Nil means the system clock.
	Clock tmclock.Clock
	// Filter simulates network failures in tests: a frame from one entry to
	// another is dropped if Filter returns false. Nil passes every frame. It is
	// called concurrently, also from event loops, and must not block.
	Filter func(from, to string) bool
	// MaxConnections is the maximum number of accepted connections. 0 or less means 1024. When
	// it is reached, the oldest connection without a proof of the secret is closed for a new one
	// if it had 200 ms for it; otherwise the new one is closed.
	MaxConnections int
	// Refused is called with the address of each client that is refused or disconnected because
	// it has not proved the secret. It may be nil, and must not block.
	Refused func(client string)
}

// Node is the client and the server of the peer protocol in one entry. It is
// safe for concurrent use.
type Node struct {
	opts       Options
	log        *log.Logger
	logLimiter *rate.Limiter
	clock      tmclock.Clock

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	bytesSent atomic.Int64

	listener net.Listener
	accepts  sync.WaitGroup
	// server has the accepted connections, client the dialled ones, each with its own event loop.
	server, client *gnet.Client

	mu      sync.Mutex
	closed  bool
	peers   map[string]*peer
	inbound map[*inbound]struct{}
	// accepted counts the accepted connections.
	accepted uint64
}

// Start starts a Node that listens and serves. The error for a missing or
// invalid option names the option. The error for an address that can't be bound
// names the address.
func Start(opts Options) (*Node, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	n := &Node{
		opts:       opts,
		log:        opts.Log,
		logLimiter: rate.NewLimiter(rate.Every(time.Second), 10),
		clock:      opts.Clock,
		peers:      map[string]*peer{},
		inbound:    map[*inbound]struct{}{},
	}
	if n.log == nil {
		n.log = log.New(discardWriter{})
	}
	if n.opts.MaxConnections <= 0 {
		n.opts.MaxConnections = defaultMaxConnections
	}
	if n.opts.Refused == nil {
		n.opts.Refused = func(string) {}
	}
	if n.clock == nil {
		n.clock = tmclock.NewSystem()
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.start(); err != nil {
		n.cancel()
		return nil, err
	}
	return n, nil
}

func (o Options) validate() error {
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

// start listens and starts the event loops.
func (n *Node) start() error {
	var err error
	if n.listener, err = net.Listen("tcp", n.opts.Listen); err != nil {
		return fmt.Errorf("tmpeer: listen on %s: %w", n.opts.Listen, err)
	}
	if n.client, err = startLoop(); err != nil {
		return errors.Join(err, n.listener.Close())
	}
	if n.server, err = startLoop(); err != nil {
		return errors.Join(err, n.client.Stop(), n.listener.Close())
	}
	n.accepts.Go(n.acceptAll)
	return nil
}

// startLoop starts an event loop for connections that are enrolled.
func startLoop() (*gnet.Client, error) {
	loop, err := gnet.NewClient(&eventHandler{}, loopOptions()...)
	if err != nil {
		return nil, fmt.Errorf("tmpeer: event loop: %w", err)
	}
	if err := loop.Start(); err != nil {
		return nil, fmt.Errorf("tmpeer: event loop: %w", err)
	}
	return loop, nil
}

func loopOptions() []gnet.Option {
	return []gnet.Option{
		gnet.WithNumEventLoop(1),
		gnet.WithTCPNoDelay(gnet.TCPNoDelay),
		gnet.WithTCPKeepAlive(keepAliveInterval),
		gnet.WithTCPKeepInterval(keepAliveInterval),
		gnet.WithTCPKeepCount(keepAliveProbes),
		gnet.WithLogger(discardLogger{}),
	}
}

func (n *Node) newStream() *stream { return newStream(n.ctx.Done(), n.filter(), &n.bytesSent) }

// newConn starts to read the messages of a stream. Close waits for the reader: decoding a
// large message takes a while. The caller makes sure that Close has not begun to wait.
func (n *Node) newConn(s *stream, h jsonrpc2.Handler) *jsonrpc2.Conn {
	n.goroutines.Add(1)
	s.readerEnded = sync.OnceFunc(n.goroutines.Done)
	return jsonrpc2.NewConn(n.ctx, s, h, jsonrpc2.SetLogger(discardLogger{}))
}

// BytesSent returns the total size of the frames that were queued for sending,
// with their headers.
func (n *Node) BytesSent() int64 { return n.bytesSent.Load() }

// Close closes all connections and waits until readers, handlers, dials and event loops
// have ended. It cancels the contexts of handlers.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	n.mu.Unlock()
	// Dials and accepts must end before the event loops stop: after that, gnet never
	// completes the enrolment of a connection.
	n.cancel()
	n.closePeers()
	err := n.listener.Close()
	n.accepts.Wait()
	err = errors.Join(err, n.client.Stop(), n.server.Stop())
	n.goroutines.Wait()
	if err != nil {
		return fmt.Errorf("tmpeer: close: %w", err)
	}
	return nil
}

// closePeers closes all peers, which waits for dials in progress.
func (n *Node) closePeers() {
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

// warnLimited logs a warning about a connection. The rate is limited, because
// clients that don't know the secret can cause such lines.
func (n *Node) warnLimited(msg string, keyvals ...any) {
	if n.logLimiter.Allow() {
		n.log.Warn(msg, keyvals...)
	}
}

// filter returns Options.Filter in the form that streams use, or nil. The
// result takes the direction of a frame and the name of the peer.
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
