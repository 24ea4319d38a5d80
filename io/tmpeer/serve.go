package tmpeer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"turmericmoor/core/tmfleet"
	"turmericmoor/io/tmcodec"
)

// Handler serves the requests of peers. Its methods are called concurrently.
// Their context is cancelled when the connection or the Node is closed.
type Handler interface {
	// Heartbeat handles the heartbeat of a peer and returns the version and the
	// incarnation of this entry.
	Heartbeat(ctx context.Context, from Identity, hb Heartbeat) (HeartbeatAnswer, error)
	// Fetch returns the installed State.
	Fetch(ctx context.Context, from Identity) (tmfleet.State, error)
	// Push handles a State from a peer and returns the version that is
	// installed afterwards.
	Push(ctx context.Context, from Identity, state tmfleet.State) (uint64, error)
	// Status returns the status of a request at this entry.
	Status(ctx context.Context, from Identity, q StatusQuery) (Status, error)
	// Forward serves a request that the peer could not serve itself.
	Forward(ctx context.Context, from Identity, w ForwardedRequest) (ForwardedAnswer, error)
}

const (
	// maxForwards and maxQueries are the maximum numbers of forwarded and of
	// other requests that are handled concurrently for one connection. They are
	// separate, so that forwarded requests, which may take minutes, can't use up
	// the slots of heartbeats.
	maxForwards = 256
	maxQueries  = 64
	// handshakeGrace is how long a connection may take for its handshake before it is closed in
	// favour of another one. A peer needs two round trips of a few ms for it.
	handshakeGrace = 200 * time.Millisecond
)

// inbound is a connection that a peer has dialled. The fields remote, local,
// authenticated and from belong to the goroutine that reads the connection until
// the handshake has succeeded, and don't change afterwards.
type inbound struct {
	node *Node
	// client is the address of the peer, number the order in which connections were accepted.
	client         string
	number         uint64
	opened         time.Time
	stream         *stream
	forwards       chan struct{}
	queries        chan struct{}
	handshakeTimer *time.Timer
	conn           *jsonrpc2.Conn

	remote        *wireHello
	local         wireHello
	authenticated bool
	// proved is authenticated for other goroutines.
	proved atomic.Bool
	from   Identity
	// demand decodes the demand of the heartbeats on this connection.
	demand demandReceiver
}

// accept returns the stream for an accepted connection, or nil if the Node is
// closed or has MaxConnections already, all of them from peers.
func (n *Node) accept(client string) *stream {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return nil
	}
	if len(n.inbound) >= n.opts.MaxConnections && !n.closeOldestUnproved() {
		n.opts.Refused(client)
		return nil
	}
	n.accepted++
	in := &inbound{
		node:     n,
		client:   client,
		number:   n.accepted,
		opened:   time.Now(),
		stream:   n.newStream(),
		forwards: make(chan struct{}, maxForwards),
		queries:  make(chan struct{}, maxQueries),
		local:    wireHello{Entry: n.opts.Self.Entry, Incarnation: n.opts.Self.Incarnation, Nonce: newNonce()},
	}
	n.inbound[in] = struct{}{}
	in.handshakeTimer = time.AfterFunc(handshakeTimeout, in.expire)
	in.conn = n.newConn(in.stream, in)
	n.goroutines.Go(in.removeWhenClosed)
	return in.stream
}

// closeOldestUnproved closes the connection that has been open longest without a proof of the
// secret, and at least for handshakeGrace. It returns false if there is none. n.mu is held.
func (n *Node) closeOldestUnproved() bool {
	var oldest *inbound
	for in := range n.inbound {
		if !in.proved.Load() && (oldest == nil || in.number < oldest.number) {
			oldest = in
		}
	}
	if oldest == nil || time.Since(oldest.opened) < handshakeGrace {
		return false
	}
	delete(n.inbound, oldest)
	n.opts.Refused(oldest.client)
	_ = oldest.stream.Close()
	return true
}

// expire closes the connection because its handshake has timed out.
func (in *inbound) expire() {
	in.node.opts.Refused(in.client)
	in.node.warnLimited("peer connection closed", "reason", "no proof of the peer secret")
	_ = in.stream.Close()
}

// removeWhenClosed waits until the connection is closed and removes it from the
// Node.
func (in *inbound) removeWhenClosed() {
	<-in.conn.DisconnectNotify()
	in.handshakeTimer.Stop()
	in.node.mu.Lock()
	defer in.node.mu.Unlock()
	delete(in.node.inbound, in)
}

// Handle serves one request: the handshake synchronously, any other request in
// its own goroutine.
func (in *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !in.authenticated {
		in.handshake(ctx, conn, req)
		return
	}
	slots := in.queries
	if req.Method == methodForward {
		slots = in.forwards
	}
	select {
	case slots <- struct{}{}:
	default:
		in.replyError(ctx, conn, req, codeOverloaded, "too many requests at a time")
		return
	}
	started := in.node.spawn(func() {
		defer func() { <-slots }()
		in.serve(ctx, conn, req)
	})
	if !started {
		<-slots
	}
}

// spawn runs f in a goroutine that Close waits for. It returns false if the Node
// is closed.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.goroutines.Go(f)
	return true
}

// handshake serves a request of the handshake. If it fails, the connection is
// closed after the error has been sent.
func (in *inbound) handshake(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	err := in.handshakeStep(ctx, conn, req)
	if err == nil {
		return
	}
	in.node.opts.Refused(in.client)
	in.node.warnLimited("peer handshake rejected", "reason", err, "method", req.Method)
	code := int64(codeUnauthenticated)
	if errors.Is(err, ErrSecretMismatch) {
		code = codeSecretMismatch
	}
	in.replyError(ctx, conn, req, code, err.Error())
	_ = conn.Close()
}

// handshakeStep serves hello, then prove. Any other request is an error.
func (in *inbound) handshakeStep(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	switch {
	case req.Notif || req.Params == nil:
		return fmt.Errorf("%w: expected hello or prove with parameters", ErrProtocol)
	case req.Method == methodHello && in.remote == nil:
		return in.handleHello(ctx, conn, req)
	case req.Method == methodProve && in.remote != nil:
		return in.handleProve(ctx, conn, req)
	default:
		return fmt.Errorf("%w: the peer secret has to be proved first", ErrProtocol)
	}
}

func (in *inbound) handleHello(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	var hello wireHello
	if err := json.Unmarshal(*req.Params, &hello); err != nil {
		return fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	if hello.Entry == "" || hello.Incarnation == "" || len(hello.Nonce) != nonceSize {
		return fmt.Errorf("%w: expected entry, incarnation and a nonce of %d bytes", ErrProtocol, nonceSize)
	}
	in.remote = &hello
	in.stream.peerName.Store(&hello.Entry)
	if !in.stream.filterAllows(false) {
		return nil
	}
	return conn.Reply(ctx, req.ID, in.local)
}

func (in *inbound) handleProve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	var proof wireProof
	if err := json.Unmarshal(*req.Params, &proof); err != nil {
		return fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	if !verifyProof(proof.Proof, in.node.opts.Secret, roleDialer, *in.remote, in.local) {
		return ErrSecretMismatch
	}
	in.authenticated = true
	in.proved.Store(true)
	in.from = Identity{Entry: in.remote.Entry, Incarnation: in.remote.Incarnation}
	in.handshakeTimer.Stop()
	in.stream.raiseFrameLimit()
	localProof := computeProof(in.node.opts.Secret, roleListener, *in.remote, in.local)
	return conn.Reply(ctx, req.ID, wireProof{Proof: localProof})
}

// serve serves one request of an authenticated peer and sends the answer.
func (in *inbound) serve(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := in.dispatch(ctx, req)
	if err != nil {
		in.replyHandlerError(ctx, conn, req, err)
		return
	}
	if req.Notif {
		return
	}
	if err := conn.Reply(ctx, req.ID, result); errors.Is(err, ErrTooLarge) {
		in.replyError(ctx, conn, req, codeTooLarge, err.Error())
	}
}

// replyHandlerError sends err, with its own code if it is a jsonrpc2.Error.
func (in *inbound) replyHandlerError(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, err error) {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		in.replyError(ctx, conn, req, remote.Code, remote.Message)
		return
	}
	in.replyError(ctx, conn, req, codeHandlerError, err.Error())
}

// replyError sends an error unless req is a notification.
func (in *inbound) replyError(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, msg string) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: msg})
	}
}

func (in *inbound) dispatch(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	h := in.node.opts.Handler
	switch req.Method {
	case methodHeartbeat:
		return decodeAndCall(req, func(w wireHeartbeat) (wireHeartbeatAnswer, error) {
			return in.heartbeat(ctx, w)
		})
	case methodFetch:
		return in.fetch(ctx)
	case methodPush:
		return decodeAndCall(req, func(w wireState) (wireVersion, error) {
			return in.push(ctx, w)
		})
	case methodStatus:
		return decodeAndCall(req, func(q StatusQuery) (wireStatus, error) {
			status, err := h.Status(ctx, in.from, q)
			return wireStatus{Status: status}, err
		})
	case methodForward:
		return decodeAndCall(req, func(w wireForwardedRequest) (wireForwardedAnswer, error) {
			return in.forward(ctx, w)
		})
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
}

// decodeAndCall decodes the parameters of req and calls f with them.
func decodeAndCall[Q, A any](req *jsonrpc2.Request, f func(Q) (A, error)) (any, error) {
	var q Q
	if req.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: req.Method + ": expected parameters"}
	}
	if err := json.Unmarshal(*req.Params, &q); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: req.Method + ": " + err.Error()}
	}
	return f(q)
}

func (in *inbound) heartbeat(ctx context.Context, w wireHeartbeat) (wireHeartbeatAnswer, error) {
	demand, err := in.demand.apply(w.Demand)
	if err != nil {
		return wireHeartbeatAnswer{}, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	hb := Heartbeat{Version: w.Version, Demand: demand, Ejected: w.Aside, Leaving: w.Leaving}
	answer, err := in.node.opts.Handler.Heartbeat(ctx, in.from, hb)
	return wireHeartbeatAnswer{
		Version:     answer.Version,
		Incarnation: answer.Incarnation,
		Demand:      encodeDemand(answer.Demand),
		Leaving:     answer.Leaving,
	}, err
}

func (in *inbound) fetch(ctx context.Context) (any, error) {
	state, err := in.node.opts.Handler.Fetch(ctx, in.from)
	if err != nil {
		return nil, err
	}
	data, err := tmcodec.EncodeState(state)
	if err != nil {
		return nil, err
	}
	return wireState{State: data}, nil
}

func (in *inbound) push(ctx context.Context, w wireState) (wireVersion, error) {
	state, err := tmcodec.DecodeState(w.State)
	if err != nil {
		return wireVersion{}, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	version, err := in.node.opts.Handler.Push(ctx, in.from, state)
	return wireVersion{Version: version}, err
}

func (in *inbound) forward(ctx context.Context, w wireForwardedRequest) (wireForwardedAnswer, error) {
	request := decodeForwardedRequest(w)
	request.Remaining = min(request.Remaining, maxRemaining)
	ctx, cancel := context.WithTimeout(ctx, request.Remaining.Duration())
	defer cancel()
	answer, err := in.node.opts.Handler.Forward(ctx, in.from, request)
	if err != nil {
		return wireForwardedAnswer{}, err
	}
	return wireForwardedAnswer{
		Body:    answer.Body,
		Outcome: answer.Outcome.String(),
		Code:    answer.Code,
		Message: answer.Message,
	}, nil
}
