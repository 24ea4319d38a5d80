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
	// shortCall is the timeout of questions with a small answer. An answer
	// that takes longer gives little freshness.
	shortCall = 1 * time.Second
	// stateCall is the timeout of calls that carry a State.
	stateCall = 2 * time.Second
	// forwardMargin is added to the remaining timeout of forwarded work, so
	// that the peer's own answer about the deadline arrives.
	forwardMargin = 500 * time.Millisecond
)

// Heartbeat asks a member for its version. The caller notes the time before
// the call, because freshness counts from there. The answer has been checked
// to come from the incarnation of to, unless that is empty.
func (n *Node) Heartbeat(ctx context.Context, to tmfleet.Member, hb Heartbeat) (HeartbeatAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, shortCall)
	defer cancel()
	p, l, err := n.linkTo(ctx, to)
	if err != nil {
		return HeartbeatAnswer{}, err
	}
	var answer wireHeartbeatAnswer
	update := l.demand.next(hb.Demand)
	question := wireHeartbeat{Version: hb.Version, Demand: update.wire, Aside: hb.Aside, Leaving: hb.Leaving}
	err = p.call(ctx, l, methodHeartbeat, question, &answer)
	l.demand.done(update, err == nil)
	if err != nil {
		return HeartbeatAnswer{}, err
	}
	if to.Incarnation() != "" && answer.Incarnation != to.Incarnation() {
		return HeartbeatAnswer{}, fmt.Errorf("%w: heartbeat answered by incarnation %q", ErrProtocol, answer.Incarnation)
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

// Fetch asks a member for its State.
func (n *Node) Fetch(ctx context.Context, to tmfleet.Member) (tmfleet.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateCall)
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
// installed then.
func (n *Node) Push(ctx context.Context, to tmfleet.Member, state tmfleet.State) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, stateCall)
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

// Status asks a member for a request.
func (n *Node) Status(ctx context.Context, to tmfleet.Member, q StatusQuestion) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, shortCall)
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

// Forward hands a request to a member and waits for its answer. After an error
// the request may have run unless NotSeen(err).
func (n *Node) Forward(ctx context.Context, to tmfleet.Member, w Work) (WorkAnswer, error) {
	if w.Remaining <= 0 {
		return WorkAnswer{}, notSent(context.DeadlineExceeded)
	}
	p, err := n.peerAt(to.Address())
	if err != nil {
		return WorkAnswer{}, notSent(err)
	}
	size := int64(len(w.Body))
	if !p.reserve(size) {
		return WorkAnswer{}, notSent(ErrOverloaded)
	}
	defer p.release(size)
	ctx, cancel := context.WithTimeout(ctx, w.Remaining.Duration()+forwardMargin)
	defer cancel()
	var answer wireWorkAnswer
	if err := n.call(ctx, to, methodForward, encodeWork(w), &answer); err != nil {
		return WorkAnswer{}, err
	}
	outcome, err := tmonce.ParseOutcome(answer.Outcome)
	if err != nil {
		return WorkAnswer{}, fmt.Errorf("%w: %w", ErrProtocol, err)
	}
	return WorkAnswer{Body: answer.Body, Outcome: outcome, Code: answer.Code, Message: answer.Message}, nil
}

// maxRemaining bounds the remaining timeout of forwarded work: the longest
// timeout that a caller may ask for.
const maxRemaining = 300 * tmclock.Second
