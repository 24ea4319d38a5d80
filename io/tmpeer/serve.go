package tmpeer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"turmericmoor/core/tmfleet"
	"turmericmoor/io/tmcodec"
)

// Handler answers the questions of peers. Its methods are called concurrently.
// The context ends with the connection or the Node.
type Handler interface {
	// Heartbeat returns what this entry says about itself.
	Heartbeat(ctx context.Context, from Identity, hb Heartbeat) (HeartbeatAnswer, error)
	// Fetch returns the installed State.
	Fetch(ctx context.Context, from Identity) (tmfleet.State, error)
	// Push offers a State and returns the version installed afterwards.
	Push(ctx context.Context, from Identity, state tmfleet.State) (uint64, error)
	// Status returns where a request is.
	Status(ctx context.Context, from Identity, q StatusQuestion) (Status, error)
	// Forward serves a request that the peer could not serve.
	Forward(ctx context.Context, from Identity, w Work) (WorkAnswer, error)
}

const (
	// maxForwards and maxQuestions bound the requests of one peer that are
	// handled at a time. They are separate, so that forwarded work, which may
	// take minutes, doesn't keep heartbeats from being answered.
	maxForwards  = 256
	maxQuestions = 64
)

// inbound is a connection that a peer has dialled. The fields after mustProve
// belong to the reading goroutine of the connection until the secret is
// proved, and don't change afterwards.
type inbound struct {
	node      *Node
	stream    *stream
	forwards  chan struct{}
	questions chan struct{}
	mustProve *time.Timer
	conn      *jsonrpc2.Conn

	hello   *wireHello
	own     wireHello
	trusted bool
	from    Identity
	// demand is what the heartbeats of the peer have told on this connection.
	demand demandReceiver
}

// accept makes the stream of an accepted connection, or returns nil when there
// are too many.
func (n *Node) accept() *stream {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed || len(n.inbound) >= maxConnections {
		return nil
	}
	in := &inbound{
		node:      n,
		stream:    newStream(n.filter(), &n.sent),
		forwards:  make(chan struct{}, maxForwards),
		questions: make(chan struct{}, maxQuestions),
		own:       wireHello{Entry: n.opts.Self.Entry, Incarnation: n.opts.Self.Incarnation, Nonce: newNonce()},
	}
	n.inbound[in] = struct{}{}
	in.mustProve = time.AfterFunc(handshakeTimeout, in.expire)
	in.conn = jsonrpc2.NewConn(n.ctx, in.stream, in, jsonrpc2.SetLogger(engineLog{}))
	go in.retire()
	return in.stream
}

// expire closes a connection whose peer has not proved the secret in time.
func (in *inbound) expire() {
	in.node.note("peer connection closed", "reason", "no proof of the peer secret")
	_ = in.stream.Close()
}

// retire forgets the connection after its end.
func (in *inbound) retire() {
	<-in.conn.DisconnectNotify()
	in.mustProve.Stop()
	in.node.mu.Lock()
	defer in.node.mu.Unlock()
	delete(in.node.inbound, in)
}

// Handle serves one request. The handshake is served in order, everything else
// in a goroutine of its own.
func (in *inbound) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if !in.trusted {
		in.handshake(ctx, conn, req)
		return
	}
	slots := in.questions
	if req.Method == methodForward {
		slots = in.forwards
	}
	select {
	case slots <- struct{}{}:
	default:
		in.refuse(ctx, conn, req, codeOverloaded, "too many requests at a time")
		return
	}
	started := in.node.begin(func() {
		defer func() { <-slots }()
		in.answer(ctx, conn, req)
	})
	if !started {
		<-slots
	}
}

// begin runs f in a goroutine that Close waits for. It returns false when the
// Node is being closed.
func (n *Node) begin(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.work.Go(f)
	return true
}

func (in *inbound) handshake(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	err := in.step(ctx, conn, req)
	if err == nil {
		return
	}
	in.node.note("peer refused", "reason", err, "method", req.Method)
	code := int64(codeNotProven)
	if errors.Is(err, ErrSecret) {
		code = codeSecret
	}
	in.refuse(ctx, conn, req, code, err.Error())
	_ = conn.Close()
}

// step serves hello, then prove. Anything else is an error.
func (in *inbound) step(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	switch {
	case req.Notif || req.Params == nil:
		return fmt.Errorf("%w: expected hello or prove with parameters", ErrProtocol)
	case req.Method == methodHello && in.hello == nil:
		return in.greet(ctx, conn, req)
	case req.Method == methodProve && in.hello != nil:
		return in.checkProof(ctx, conn, req)
	default:
		return fmt.Errorf("%w: the peer secret has to be proved first", ErrProtocol)
	}
}

func (in *inbound) greet(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	var hello wireHello
	if err := json.Unmarshal(*req.Params, &hello); err != nil {
		return fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	if hello.Entry == "" || hello.Incarnation == "" || len(hello.Nonce) != nonceSize {
		return fmt.Errorf("%w: expected entry, incarnation and a nonce of %d bytes", ErrProtocol, nonceSize)
	}
	in.hello = &hello
	in.stream.peer.Store(&hello.Entry)
	if !in.stream.passes(false) {
		return nil
	}
	return conn.Reply(ctx, req.ID, in.own)
}

func (in *inbound) checkProof(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) error {
	var proof wireProof
	if err := json.Unmarshal(*req.Params, &proof); err != nil {
		return fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	if !proves(proof.Proof, in.node.opts.Secret, roleDialer, *in.hello, in.own) {
		return ErrSecret
	}
	in.trusted = true
	in.from = Identity{Entry: in.hello.Entry, Incarnation: in.hello.Incarnation}
	in.mustProve.Stop()
	in.stream.proven()
	own := prove(in.node.opts.Secret, roleListener, *in.hello, in.own)
	return conn.Reply(ctx, req.ID, wireProof{Proof: own})
}

// answer serves one request of a trusted peer.
func (in *inbound) answer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := in.dispatch(ctx, req)
	if err != nil {
		in.refuseWith(ctx, conn, req, err)
		return
	}
	if req.Notif {
		return
	}
	if err := conn.Reply(ctx, req.ID, result); errors.Is(err, ErrTooLarge) {
		in.refuse(ctx, conn, req, codeTooLarge, err.Error())
	}
}

func (in *inbound) refuseWith(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, err error) {
	var remote *jsonrpc2.Error
	if errors.As(err, &remote) {
		in.refuse(ctx, conn, req, remote.Code, remote.Message)
		return
	}
	in.refuse(ctx, conn, req, codeHandler, err.Error())
}

func (in *inbound) refuse(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request, code int64, msg string) {
	if !req.Notif {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: msg})
	}
}

func (in *inbound) dispatch(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	h := in.node.opts.Handler
	switch req.Method {
	case methodHeartbeat:
		return ask(req, func(w wireHeartbeat) (wireHeartbeatAnswer, error) {
			return in.heartbeat(ctx, w)
		})
	case methodFetch:
		return in.fetch(ctx)
	case methodPush:
		return ask(req, func(w wireState) (wireVersion, error) {
			return in.push(ctx, w)
		})
	case methodStatus:
		return ask(req, func(q StatusQuestion) (wireStatus, error) {
			status, err := h.Status(ctx, in.from, q)
			return wireStatus{Status: status}, err
		})
	case methodForward:
		return ask(req, func(w wireWork) (wireWorkAnswer, error) {
			return in.forward(ctx, w)
		})
	default:
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + req.Method}
	}
}

// ask decodes the parameters of req and calls f with them.
func ask[Q, A any](req *jsonrpc2.Request, f func(Q) (A, error)) (any, error) {
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
	question := Heartbeat{Version: w.Version, Demand: demand, Aside: w.Aside, Leaving: w.Leaving}
	a, err := in.node.opts.Handler.Heartbeat(ctx, in.from, question)
	return wireHeartbeatAnswer{
		Version:     a.Version,
		Incarnation: a.Incarnation,
		Demand:      encodeDemand(a.Demand),
		Leaving:     a.Leaving,
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

func (in *inbound) forward(ctx context.Context, w wireWork) (wireWorkAnswer, error) {
	work := decodeWork(w)
	work.Remaining = min(work.Remaining, maxRemaining)
	ctx, cancel := context.WithTimeout(ctx, work.Remaining.Duration())
	defer cancel()
	answer, err := in.node.opts.Handler.Forward(ctx, in.from, work)
	if err != nil {
		return wireWorkAnswer{}, err
	}
	return wireWorkAnswer{
		Body:    answer.Body,
		Outcome: answer.Outcome.String(),
		Code:    answer.Code,
		Message: answer.Message,
	}, nil
}
