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
	// firstBackOff and maxBackOff bound the pause after a failed dial. The
	// longest is a heartbeat interval, so that a peer which is back is found
	// within the freshness bound.
	firstBackOff = 50 * tmclock.Millisecond
	maxBackOff   = 500 * tmclock.Millisecond
	// timeoutsBeforeRedial is how many calls in a row may time out before the
	// connection is given up.
	timeoutsBeforeRedial = 3
	// maxForwardBytes bounds the bodies of forwarded work under way to one
	// peer. They share the connection with heartbeats; decoding 1 MB takes
	// about 50 ms, so that a burst delays a heartbeat by half its timeout.
	maxForwardBytes = 8 << 20
)

// link is an open connection to a peer that has proved the secret.
type link struct {
	conn  *jsonrpc2.Conn
	found Identity
	dial  uint64
	// demand is what heartbeats on this connection have told the peer.
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

// peer is the outgoing side to one address. A call dials when there is no
// connection; while a dial runs or a back-off lasts there is no second one.
type peer struct {
	node *Node
	addr string

	mu       sync.Mutex
	closed   bool
	link     *link
	dialing  chan struct{}
	dials    uint64
	failure  error
	backOff  tmclock.Span
	retryAt  tmclock.Millis
	timeouts int

	// forwarded is the size of the bodies of forwarded work under way.
	forwarded int64
}

// peerAt returns the peer at an address.
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

// acquire returns the open connection, dialling if needed. It returns the
// failure of the last dial during the back-off.
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
	return nil, p.failure
}

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
		return nil, nil, p.failure
	}
	p.dialing = make(chan struct{})
	p.dials++
	go p.dial(entry, p.dials)
	return nil, p.dialing, nil
}

// dial opens a connection and records the result.
func (p *peer) dial(entry string, number uint64) {
	ctx, cancel := context.WithTimeout(p.node.ctx, handshakeTimeout)
	defer cancel()
	l, err := p.open(ctx, entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(p.dialing)
	p.timeouts = 0
	if err == nil {
		l.dial = number
		p.link = l
		p.backOff = 0
	} else {
		p.failure = fmt.Errorf("tmpeer: dial %s: %w", p.addr, err)
		p.backOff = min(max(2*p.backOff, firstBackOff), maxBackOff)
		p.retryAt = p.node.clock.Now().Add(p.backOff)
	}
	p.dialing = nil
}

// open dials and proves.
func (p *peer) open(ctx context.Context, entry string) (*link, error) {
	var dialer net.Dialer
	socket, err := dialer.DialContext(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	s := newStream(p.node.filter(), &p.node.sent)
	s.peer.Store(&entry)
	if _, err := p.node.client.EnrollContext(socket, s); err != nil {
		return nil, err
	}
	conn := jsonrpc2.NewConn(p.node.ctx, s, refuseAll{}, jsonrpc2.SetLogger(engineLog{}))
	found, err := p.node.introduce(ctx, conn)
	if err != nil {
		_ = conn.Close()
		return nil, callError(err)
	}
	s.proven()
	return &link{conn: conn, found: found}, nil
}

// introduce is the dialling side of the handshake.
func (n *Node) introduce(ctx context.Context, conn *jsonrpc2.Conn) (Identity, error) {
	own := wireHello{Entry: n.opts.Self.Entry, Incarnation: n.opts.Self.Incarnation, Nonce: newNonce()}
	var theirs wireHello
	if err := conn.Call(ctx, methodHello, own, &theirs); err != nil {
		return Identity{}, err
	}
	if len(theirs.Nonce) != nonceSize {
		return Identity{}, fmt.Errorf("%w: nonce of %d bytes, expected %d", ErrProtocol, len(theirs.Nonce), nonceSize)
	}
	var answer wireProof
	question := wireProof{Proof: prove(n.opts.Secret, roleDialer, own, theirs)}
	if err := conn.Call(ctx, methodProve, question, &answer); err != nil {
		return Identity{}, err
	}
	if !proves(answer.Proof, n.opts.Secret, roleListener, own, theirs) {
		return Identity{}, ErrSecret
	}
	return Identity{Entry: theirs.Entry, Incarnation: theirs.Incarnation}, nil
}

// call asks the member and waits for the answer.
func (n *Node) call(ctx context.Context, to tmfleet.Member, method string, question, answer any) error {
	p, l, err := n.linkTo(ctx, to)
	if err != nil {
		return err
	}
	return p.call(ctx, l, method, question, answer)
}

// linkTo returns a connection to the process that to names.
func (n *Node) linkTo(ctx context.Context, to tmfleet.Member) (*peer, *link, error) {
	p, err := n.peerAt(to.Address())
	if err != nil {
		return nil, nil, notSent(err)
	}
	l, err := p.reach(ctx, to)
	if err != nil {
		return nil, nil, err
	}
	return p, l, nil
}

// call asks on an open connection and waits for the answer.
func (p *peer) call(ctx context.Context, l *link, method string, question, answer any) error {
	waiter, err := l.conn.DispatchCall(ctx, method, question)
	if err != nil {
		return notSent(callError(err))
	}
	err = waiter.Wait(ctx, answer)
	p.finished(l, err)
	return callError(err)
}

// reach returns a connection to the process that to names. An open connection
// may lead to a process that has ended since, and whose end has not been
// noticed; only a dial that began after this call proves that another process
// has the address. Otherwise a new member would be reported as gone.
func (p *peer) reach(ctx context.Context, to tmfleet.Member) (*link, error) {
	p.mu.Lock()
	before := p.dials
	p.mu.Unlock()
	for {
		l, err := p.acquire(ctx, to.Name())
		if err != nil {
			return nil, notSent(err)
		}
		if to.Incarnation() == "" || to.Incarnation() == l.found.Incarnation {
			return l, nil
		}
		if l.dial > before {
			return nil, &IncarnationError{Expected: to.Incarnation(), Found: l.found}
		}
		p.drop(l)
	}
}

// drop closes a connection, so that the next call dials.
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

// finished gives up a connection on which several calls in a row timed out. A
// connection whose packets are lost would else be kept until TCP notices.
func (p *peer) finished(l *link, err error) {
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

// reserve counts the body of forwarded work. It returns false when too much is
// under way.
func (p *peer) reserve(size int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.forwarded+size > maxForwardBytes {
		return false
	}
	p.forwarded += size
	return true
}

func (p *peer) release(size int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forwarded -= size
}

// close refuses further calls, closes the connection and waits for a dial.
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

// refuseAll answers the requests that a peer sends on a connection which this
// side has dialled: such connections carry questions in one direction only.
type refuseAll struct{}

// Handle closes the connection.
func (refuseAll) Handle(_ context.Context, conn *jsonrpc2.Conn, _ *jsonrpc2.Request) {
	_ = conn.Close()
}
