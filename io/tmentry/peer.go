package tmentry

import (
	"context"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/io/tmpeer"
)

// peerHandler answers the requests of other entries.
type peerHandler struct {
	e *Entry
}

// Heartbeat implements tmpeer.Handler. The answer has no demand, because every
// entry reports its demand in its own heartbeats.
func (h peerHandler) Heartbeat(_ context.Context, from tmpeer.Identity, hb tmpeer.Heartbeat) (tmpeer.HeartbeatAnswer, error) {
	// The heartbeat of a peer acknowledges its version. It does not extend the
	// freshness of this entry, which counts from when its own requests were
	// sent, so the time passed is 0.
	h.e.tracker.HeartbeatAnswered(from.Incarnation, 0, hb.Version)
	h.e.tables.updatePeerDemand(from.Incarnation, hb.Demand)
	h.e.tables.updatePeerEjections(from.Incarnation, hb.Ejected)
	return tmpeer.HeartbeatAnswer{
		Version:     h.e.tracker.State().Version(),
		Incarnation: h.e.self.Incarnation(),
		Leaving:     h.e.members.isLeaving(),
	}, nil
}

// Fetch implements tmpeer.Handler.
func (h peerHandler) Fetch(context.Context, tmpeer.Identity) (tmfleet.State, error) {
	return h.e.tracker.State(), nil
}

// Push implements tmpeer.Handler.
func (h peerHandler) Push(_ context.Context, _ tmpeer.Identity, state tmfleet.State) (uint64, error) {
	h.e.install(state)
	return h.e.tracker.State().Version(), nil
}

// Status implements tmpeer.Handler.
func (h peerHandler) Status(_ context.Context, _ tmpeer.Identity, q tmpeer.StatusQuery) (tmpeer.Status, error) {
	return h.e.tables.status(q.Team, q.RequestID), nil
}

// Forward implements tmpeer.Handler. A forwarded request is served here or
// rejected, but never forwarded again.
func (h peerHandler) Forward(ctx context.Context, _ tmpeer.Identity, w tmpeer.ForwardedRequest) (tmpeer.ForwardedAnswer, error) {
	r := tmrequest.New(tmrequest.Params{
		ID:            w.RequestID,
		CallerChoseID: w.CallerChoseID,
		KeyHash:       w.KeyHash,
		Queue:         w.Queue,
		ContentType:   w.ContentType,
		Size:          int(w.Size),
		Idempotent:    w.Idempotent,
		Urgent:        w.Urgent,
		Preemptible:   w.Preemptible,
		Timeout:       max(w.Remaining, tmclock.Millisecond),
		Body:          w.Body,
	})
	answer, fail := h.e.serve(ctx, r, true)
	if fail != nil {
		return tmpeer.ForwardedAnswer{
			Outcome: fail.Outcome(),
			Code:    string(fail.Code()),
			Message: fail.Message(),
		}, nil
	}
	return tmpeer.ForwardedAnswer{Body: answer.Body(), Outcome: tmonce.Ran}, nil
}
