package tmpeer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/sourcegraph/jsonrpc2"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

const (
	// minBackOff and maxBackOff bound the back-off after a failed dial, which
	// doubles with each failure. maxBackOff is one heartbeat interval, so that a
	// peer that is available again is reached within the freshness timeout.
	minBackOff = 50 * tmclock.Millisecond
	maxBackOff = 500 * tmclock.Millisecond
	// timeoutsBeforeRedial is the number of consecutive timeouts of calls after
	// which the connection is closed.
	timeoutsBeforeRedial = 3
	// maxForwardBytes is the maximum total size of the bodies of requests being
	// forwarded to one peer. The bodies share the connection with heartbeats.
	// Decoding 1 MB takes about 50 ms, so a burst delays a heartbeat by at most
	// about half the timeout of the heartbeat.
	maxForwardBytes = 8 << 20
)

// link is a dialled connection whose handshake has succeeded.
type link struct {
	conn    *jsonrpc2.Conn
	remote  Identity
	dialSeq uint64
	// demand encodes the demand of the heartbeats on this connection.
	demand demandSender
}

func (l *link) alive() bool {
	select {
	case <-l.conn.DisconnectNotify():
		return false
	default:
		return true
	}
}

// peer manages the outgoing connection to one address. A call dials if there is
// no open connection, but only one dial runs at a time, and none during the
// back-off after a failed dial.
type peer struct {
	node *Node
	addr string

	mu          sync.Mutex
	closed      bool
	link        *link
	dialing     chan struct{}
	lastDialSeq uint64
	dialErr     error
	backOff     tmclock.Span
	retryAt     tmclock.Millis
	timeouts    int

	// forwardBytes is the total size of the bodies of requests being forwarded.
	forwardBytes int64
}

// peerAt returns the peer for an address, creating it if needed.
func (n *Node) peerAt(addr string) (*peer, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil, ErrClosed
	}
	p, ok := n.peers[addr]
	if !ok {
		p = &peer{node: n, addr: addr}
		n.peers[addr] = p
	}
	return p, nil
}

// acquire returns the open connection, dialling if needed. During the back-off
// it returns the error of the last dial.
func (p *peer) acquire(ctx context.Context, entry string) (*link, error) {
	l, dialing, err := p.linkOrDial(entry)
	if l != nil || err != nil {
		return l, err
	}
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		return p.link, nil
	}
	return nil, p.dialErr
}

// linkOrDial returns the open connection, or a channel that is closed when the
// dial in progress ends. It starts a dial if none is in progress.
func (p *peer) linkOrDial(entry string) (*link, chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, nil, ErrClosed
	}
	if p.link != nil && p.link.alive() {
		return p.link, nil, nil
	}
	p.link = nil
	if p.dialing != nil {
		return nil, p.dialing, nil
	}
	if p.node.clock.Now().Before(p.retryAt) {
		return nil, nil, p.dialErr
	}
	p.dialing = make(chan struct{})
	p.lastDialSeq++
	go p.openLink(entry, p.lastDialSeq)
	return nil, p.dialing, nil
}

// openLink opens a connection and records the result.
func (p *peer) openLink(entry string, seq uint64) {
	ctx, cancel := context.WithTimeout(p.node.ctx, handshakeTimeout)
	defer cancel()
	l, err := p.dial(ctx, entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(p.dialing)
	p.timeouts = 0
	if err == nil {
		l.dialSeq = seq
		p.link = l
		p.backOff = 0
	} else {
		p.dialErr = fmt.Errorf("tmpeer: dial %s: %w", p.addr, err)
		p.backOff = min(max(2*p.backOff, minBackOff), maxBackOff)
		p.retryAt = p.node.clock.Now().Add(p.backOff)
	}
	p.dialing = nil
}

// dial opens a connection and runs the handshake.
func (p *peer) dial(ctx context.Context, entry string) (*link, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	s := p.node.newStream()
	s.peerName.Store(&entry)
	if _, err := p.node.client.EnrollContext(socket, s); err != nil {
		return nil, err
	}
	conn := p.node.newConn(s, closeOnRequest{})
	remote, err := p.node.dialerHandshake(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return nil, callError(err)
	}
	s.raiseFrameLimit()
	return &link{conn: conn, remote: remote}, nil
}

// dialerHandshake runs the dialling side of the handshake and returns the
// identity of the peer.
func (n *Node) dialerHandshake(ctx context.Context, conn *jsonrpc2.Conn) (Identity, error) {
	local := wireHello{Entry: n.opts.Self.Entry, Incarnation: n.opts.Self.Incarnation, Nonce: newNonce()}
	var remote wireHello
	if err := conn.Call(ctx, methodHello, local, &remote); err != nil {
		return Identity{}, err
	}
	if len(remote.Nonce) != nonceSize {
		return Identity{}, fmt.Errorf("%w: nonce of %d bytes, expected %d", ErrProtocol, len(remote.Nonce), nonceSize)
	}
	var answer wireProof
	params := wireProof{Proof: computeProof(n.opts.Secret, roleDialer, local, remote)}
	if err := conn.Call(ctx, methodProve, params, &answer); err != nil {
		return Identity{}, err
	}
	if !verifyProof(answer.Proof, n.opts.Secret, roleListener, local, remote) {
		return Identity{}, ErrSecretMismatch
	}
	return Identity{Entry: remote.Entry, Incarnation: remote.Incarnation}, nil
}

// call calls a method of the member and stores the answer in result.
func (n *Node) call(ctx context.Context, to tmfleet.Member, method string, params, result any) error {
	p, l, err := n.linkTo(ctx, to)
	if err != nil {
		return err
	}
	return p.call(ctx, l, method, params, result)
}

// linkTo returns a connection to the process that to identifies.
func (n *Node) linkTo(ctx context.Context, to tmfleet.Member) (*peer, *link, error) {
	p, err := n.peerAt(to.Address())
	if err != nil {
		return nil, nil, notSent(err)
	}
	l, err := p.connect(ctx, to)
	if err != nil {
		return nil, nil, err
	}
	return p, l, nil
}

// call calls a method on an open connection and stores the answer in result.
func (p *peer) call(ctx context.Context, l *link, method string, params, result any) error {
	waiter, err := l.conn.DispatchCall(ctx, method, params)
	if err != nil {
		return notSent(callError(err))
	}
	err = waiter.Wait(ctx, result)
	p.recordResult(l, err)
	return callError(err)
}

// connect returns a connection to the process that to identifies. An open
// connection may lead to an earlier process at the same address whose end has
// not been detected yet. Only a dial that started after this call proves that
// another process has the address; without this rule a new member would be
// reported as gone.
func (p *peer) connect(ctx context.Context, to tmfleet.Member) (*link, error) {
	p.mu.Lock()
	seqBefore := p.lastDialSeq
	p.mu.Unlock()
	for {
		l, err := p.acquire(ctx, to.Name())
		if err != nil {
			return nil, notSent(err)
		}
		if to.Incarnation() == "" || to.Incarnation() == l.remote.Incarnation {
			return l, nil
		}
		if l.dialSeq > seqBefore {
			return nil, &IncarnationError{Expected: to.Incarnation(), Found: l.remote}
		}
		p.drop(l)
	}
}

// drop closes a connection, so that the next call dials again.
func (p *peer) drop(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link == l {
		p.link = nil
	}
	_ = l.conn.Close()
}

func notSent(err error) error {
	return fmt.Errorf("%w: %w", ErrNotSent, err)
}

// recordResult counts consecutive timeouts of calls and closes the connection
// after timeoutsBeforeRedial timeouts. Otherwise a connection whose packets are lost
// would stay in use until TCP detects the loss.
func (p *peer) recordResult(l *link, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var answered *jsonrpc2.Error
	if err == nil || errors.As(err, &answered) {
		p.timeouts = 0
		return
	}
	if !errors.Is(err, context.DeadlineExceeded) {
		return
	}
	p.timeouts++
	if p.timeouts >= timeoutsBeforeRedial && p.link == l {
		p.link = nil
		p.timeouts = 0
		_ = l.conn.Close()
	}
}

// reserveForward reserves size bytes of maxForwardBytes for the body of a
// forwarded request. It returns false if there are too few left.
func (p *peer) reserveForward(size int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwardBytes+size > maxForwardBytes {
		return false
	}
	p.forwardBytes += size
	return true
}

// releaseForward releases bytes that reserveForward has reserved.
func (p *peer) releaseForward(size int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwardBytes -= size
}

// close rejects further calls, waits for a dial in progress and closes the
// connection.
func (p *peer) close() {
	p.mu.Lock()
	p.closed = true
	dialing := p.dialing
	p.mu.Unlock()
	if dialing != nil {
		<-dialing
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil {
		_ = p.link.conn.Close()
	}
}

// closeOnRequest handles requests that a peer sends on a connection which this
// side has dialled. Such connections carry requests from the dialling side only,
// so a request from the peer closes the connection.
type closeOnRequest struct{}

// Handle closes the connection.
func (closeOnRequest) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	_ = conn.Close()
}
