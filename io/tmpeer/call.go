package tmpeer

import (
	"context"
	"fmt"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmonce"
	"turmericmoor/io/tmcodec"
)

// Methods of the protocol.
const (
	methodHello     = "peer.hello"
	methodProve     = "peer.prove"
	methodHeartbeat = "peer.heartbeat"
	methodFetch     = "state.fetch"
	methodPush      = "state.push"
	methodStatus    = "request.status"
	methodForward   = "work.forward"
)

const (
	// queryTimeout is the timeout of calls with a small answer. A heartbeat keeps an
	// entry fresh for a time that counts from before the call, so an answer that
	// takes longer leaves little of that time.
	queryTimeout = 1 * time.Second
	// stateTimeout is the timeout of calls that carry a State.
	stateTimeout = 2 * time.Second
	// forwardMargin is added to the remaining timeout of a forwarded request,
	// so that the peer's deadline error arrives before the call times out.
	forwardMargin = 500 * time.Millisecond
)

// Heartbeat sends hb to a member and returns the member's answer. The caller must
// read the clock before the call, because freshness counts from that time. An
// answer from an incarnation other than that of to is an error, unless to names no
// incarnation.
func (n *Node) Heartbeat(ctx context.Context, to tmfleet.Member, hb Heartbeat) (HeartbeatAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	p, l, err := n.linkTo(ctx, to)
	if err != nil {
		return HeartbeatAnswer{}, err
	}
	var answer wireHeartbeatAnswer
	update := l.demand.next(hb.Demand)
	params := wireHeartbeat{Version: hb.Version, Demand: update.wire, Aside: hb.Ejected, Leaving: hb.Leaving}
	err = p.call(ctx, l, methodHeartbeat, params, &answer)
	l.demand.done(update, err == nil)
	if err != nil {
		return HeartbeatAnswer{}, err
	}
	if to.Incarnation() != "" && answer.Incarnation != to.Incarnation() {
		return HeartbeatAnswer{}, fmt.Errorf("%w: heartbeat answered by incarnation %q, expected %q", ErrProtocol, answer.Incarnation, to.Incarnation())
	}
	demand, err := decodeDemand(answer.Demand)
	if err != nil {
		return HeartbeatAnswer{}, err
	}
	return HeartbeatAnswer{
		Version:     answer.Version,
		Incarnation: answer.Incarnation,
		Demand:      demand,
		Leaving:     answer.Leaving,
	}, nil
}

// Fetch returns the State that a member has installed.
func (n *Node) Fetch(ctx context.Context, to tmfleet.Member) (tmfleet.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	var answer wireState
	if err := n.call(ctx, to, methodFetch, nil, &answer); err != nil {
		return tmfleet.State{}, err
	}
	state, err := tmcodec.DecodeState(answer.State)
	if err != nil {
		return tmfleet.State{}, fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	return state, nil
}

// Push sends a State to a member and returns the version that the member has
// installed afterwards.
func (n *Node) Push(ctx context.Context, to tmfleet.Member, state tmfleet.State) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	data, err := tmcodec.EncodeState(state)
	if err != nil {
		return 0, notSent(err)
	}
	var answer wireVersion
	if err := n.call(ctx, to, methodPush, wireState{State: data}, &answer); err != nil {
		return 0, err
	}
	return answer.Version, nil
}

// Status asks a member for the status of a request.
func (n *Node) Status(ctx context.Context, to tmfleet.Member, q StatusQuery) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var answer wireStatus
	if err := n.call(ctx, to, methodStatus, q, &answer); err != nil {
		return "", err
	}
	switch answer.Status {
	case StatusQueued, StatusRunning, StatusNone:
		return answer.Status, nil
	default:
		return "", fmt.Errorf("%w: unknown status %q", ErrProtocol, answer.Status)
	}
}

// Forward sends a request to a member and waits for the answer. After an error
// the request may have run, unless NotProcessed(err) is true.
func (n *Node) Forward(ctx context.Context, to tmfleet.Member, w ForwardedRequest) (ForwardedAnswer, error) {
	if w.Remaining <= 0 {
		return ForwardedAnswer{}, notSent(context.DeadlineExceeded)
	}
	p, err := n.peerAt(to.Address())
	if err != nil {
		return ForwardedAnswer{}, notSent(err)
	}
	size := int64(len(w.Body))
	if !p.reserveForward(size) {
		return ForwardedAnswer{}, notSent(ErrOverloaded)
	}
	defer p.releaseForward(size)
	ctx, cancel := context.WithTimeout(ctx, w.Remaining.Duration()+forwardMargin)
	defer cancel()
	var answer wireForwardedAnswer
	if err := n.call(ctx, to, methodForward, encodeForwardedRequest(w), &answer); err != nil {
		return ForwardedAnswer{}, err
	}
	outcome, err := tmonce.ParseOutcome(answer.Outcome)
	if err != nil {
		return ForwardedAnswer{}, fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	return ForwardedAnswer{Body: answer.Body, Outcome: outcome, Code: answer.Code, Message: answer.Message}, nil
}

// maxRemaining is the maximum remaining timeout of a forwarded request: the
// longest timeout that a caller may ask for.
const maxRemaining = 300 * tmclock.Second
