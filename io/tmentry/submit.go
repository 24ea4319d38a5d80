package tmentry

import (
	"context"

	"github.com/google/uuid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmrequest"
)

// Submit implements tmcaller.Backend.
func (e *Entry) Submit(ctx context.Context, r tmrequest.Request) (tmrequest.Answer, *tmrequest.Error) {
	start := e.clock.Now()
	answer, fail := e.serve(ctx, r, false)
	code := "ok"
	if fail != nil {
		code = string(fail.Code())
		e.log.Info("request not answered", "request_id", r.ID(), "queue", r.Queue(),
			"code", code, "outcome", fail.Outcome(), "error", fail.Message())
	} else {
		e.log.Debug("request answered", "request_id", r.ID(), "queue", r.Queue())
	}
	e.metrics.observeRequest(code, e.clock.Now().Sub(start))
	return answer, fail
}

// serve runs a request from a caller or, when forwarded is set, from a peer.
func (e *Entry) serve(ctx context.Context, r tmrequest.Request, forwarded bool) (tmrequest.Answer, *tmrequest.Error) {
	if !e.fresh() {
		fail := tmrequest.Refuse(tmrequest.NotFresh, "entry %s is partitioned from the table service and its peers", e.opts.Name)
		return tmrequest.Answer{}, fail.WithRetryAfter(tmclock.Second).ForCaller(r)
	}
	team, queue, fail := authorize(e.tracker.State(), r)
	if fail != nil {
		return tmrequest.Answer{}, fail.ForCaller(r)
	}
	j := &job{
		id:       uuid.NewString(),
		req:      r,
		team:     team.Name(),
		pool:     queue.Pool(),
		arrived:  e.clock.Now(),
		deadline: e.clock.Now().Add(r.Timeout()),
		done:     make(chan result, 1),
		fromPeer: forwarded,
	}
	if r.CallerChoseID() {
		answered, answer, fail := e.checkID(ctx, j)
		if answered || fail != nil {
			return answer, fail
		}
	}
	if fail := e.tables.add(j); fail != nil {
		return tmrequest.Answer{}, fail.ForCaller(r)
	}
	res, ok := j.wait(ctx)
	if !ok {
		outcome := e.tables.abandon(j)
		return tmrequest.Answer{}, tmrequest.NewError(tmrequest.Cancelled, outcome, "the caller has disconnected").ForCaller(r)
	}
	if res.fail != nil {
		return tmrequest.Answer{}, res.fail.ForCaller(r)
	}
	return res.answer, nil
}

// authorize returns the team and the queue of a request by the given State, or
// why the request is rejected.
func authorize(state tmfleet.State, r tmrequest.Request) (tmfleet.Team, tmfleet.Queue, *tmrequest.Error) {
	config := state.Config()
	name := ""
	if r.KeyHash() != "" {
		// The look-up uses the hash of a random key of 256 bits instead of the
		// key itself, so that its timing reveals nothing about stored keys.
		key, ok := config.Keys().Get(r.KeyHash())
		if !ok {
			return tmfleet.Team{}, tmfleet.Queue{}, tmrequest.Refuse(tmrequest.BadKey, "the key is unknown or withdrawn")
		}
		name = key.Team()
	}
	queue, ok := config.Queues().Get(r.Queue())
	if !ok {
		if name == "" {
			return tmfleet.Team{}, tmfleet.Queue{}, tmrequest.Refuse(tmrequest.NoKey, "the request has no key")
		}
		return tmfleet.Team{}, tmfleet.Queue{}, tmrequest.Refuse(tmrequest.UnknownQueue, "there is no queue %q", r.Queue())
	}
	if name == "" {
		if !queue.Open() {
			return tmfleet.Team{}, tmfleet.Queue{}, tmrequest.Refuse(tmrequest.NoKey, "queue %q takes no work without a key", queue.Name())
		}
		name = queue.Team()
	}
	team, ok := config.Teams().Get(name)
	if !ok {
		return tmfleet.Team{}, tmfleet.Queue{}, tmrequest.Refuse(tmrequest.BadKey, "the team of the key no longer exists")
	}
	if r.Urgent() && !team.Urgent() {
		return tmfleet.Team{}, tmfleet.Queue{}, tmrequest.Refuse(tmrequest.BadRequest, "team %q may not mark requests as urgent", name)
	}
	return team, queue, nil
}
