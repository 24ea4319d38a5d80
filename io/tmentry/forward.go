package tmentry

import (
	"context"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/core/tmshare"
	"turmericmoor/io/tmpeer"
)

const (
	// forwardDelay is how long a request waits for units or slots of this entry
	// before it is forwarded to an entry that has some.
	forwardDelay = 150 * tmclock.Millisecond
	// maxForwards bounds the forwarded requests in flight.
	maxForwards = 128
	// forwardsPerTick bounds the requests forwarded at a time, since the reports
	// of the other entries are up to a heartbeat old.
	forwardsPerTick = 8
	// forwardRetryDelay is the wait before a request whose forwarding failed is
	// queued again.
	forwardRetryDelay = 200 * tmclock.Millisecond
)

// forwardLocked forwards requests that can't start here, because this entry has
// no unused units of the team's limit or no slot in the pool, to entries that
// can probably start them. Forwarding a request is faster than moving units and
// slots, and works while the table service is down.
func (t *tables) forwardLocked(now tmclock.Millis) {
	starved := map[string]bool{}
	for key, load := range t.queue.Demand().All() {
		if load.Queued > 0 && (t.ledger.Available(key.Team) <= 0 || t.hasNoSlotsLocked(key.Pool)) {
			starved[key.Team+"/"+key.Pool] = true
		}
	}
	if len(starved) == 0 {
		return
	}
	sent := 0
	for _, j := range t.jobs {
		if sent >= forwardsPerTick || t.forwardsInFlight >= maxForwards {
			return
		}
		if !j.queued || j.fromPeer || j.owned() || !starved[j.team+"/"+j.pool] || now.Sub(j.arrived) < forwardDelay {
			continue
		}
		peer, ok := t.forwardTargetLocked(j)
		if !ok {
			continue
		}
		t.queue.Remove(j.id)
		j.queued = false
		t.forwardsInFlight++
		t.forwardedDemand[tmshare.PoolTeam{Pool: j.pool, Team: j.team}]++
		sent++
		t.e.loops.Go(func() { t.e.forward(j, peer) })
	}
}

// hasNoSlotsLocked reports whether this entry has no leased slot in the pool.
func (t *tables) hasNoSlotsLocked(pool string) bool {
	for _, l := range t.leases {
		if l.instance.Pool() == pool && l.slots > 0 {
			return false
		}
	}
	return true
}

// forwardTargetLocked returns the entry to forward a request to: the one with
// the most unused units of the team, which must have demand in the pool if this
// entry has no slot there. It lowers the reported units for each forwarded
// request.
func (t *tables) forwardTargetLocked(j *job) (tmfleet.Member, bool) {
	noSlots := t.hasNoSlotsLocked(j.pool)
	best := ""
	for incarnation, report := range t.peers {
		if report.unused[j.team] <= 0 || noSlots && report.pools[j.pool] == 0 {
			continue
		}
		if best == "" || report.unused[j.team] > t.peers[best].unused[j.team] {
			best = incarnation
		}
	}
	if best == "" {
		return tmfleet.Member{}, false
	}
	t.peers[best].unused[j.team]--
	return t.state.Members().Get(best)
}

// forward sends a request to a peer, and delivers its result or queues the
// request again.
func (e *Entry) forward(j *job, peer tmfleet.Member) {
	remaining := max(j.deadline.Sub(e.clock.Now()), tmclock.Millisecond)
	ctx, cancel := context.WithTimeout(e.ctx, (remaining + answerGrace).Duration())
	defer cancel()
	j.attempts.Begin()
	answer, err := e.node.Forward(ctx, peer, tmpeer.ForwardedRequest{
		RequestID:     j.req.ID(),
		CallerChoseID: j.req.CallerChoseID(),
		Team:          j.team,
		KeyHash:       j.req.KeyHash(),
		Queue:         j.req.Queue(),
		ContentType:   j.req.ContentType(),
		Idempotent:    j.req.Idempotent(),
		Urgent:        j.req.Urgent(),
		Preemptible:   j.req.Preemptible(),
		Size:          int64(j.req.Size()),
		Remaining:     remaining,
		Body:          j.req.Body(),
	})
	e.metrics.forwards.Inc()
	r, final := forwardResult(j, answer, err)
	t := e.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forwardsInFlight--
	key := tmshare.PoolTeam{Pool: j.pool, Team: j.team}
	if t.forwardedDemand[key]--; t.forwardedDemand[key] <= 0 {
		delete(t.forwardedDemand, key)
	}
	if final {
		t.finishLocked(j, r)
		return
	}
	t.requeueAfterLocked(j, forwardRetryDelay)
}

// forwardResult returns the result of a forwarded request, or false when the
// request may be tried again.
func forwardResult(j *job, answer tmpeer.ForwardedAnswer, err error) (result, bool) {
	if err != nil {
		if tmpeer.NotProcessed(err) {
			j.attempts.Finish(tmonce.NotSent)
			return result{}, false
		}
		j.attempts.Finish(tmonce.Indeterminate)
		if j.attempts.MayResend(j.req.Idempotent()) {
			return result{}, false
		}
		return j.fail(tmrequest.AnswerLost, "no answer from the entry that the request was forwarded to"), true
	}
	if answer.Code == "" {
		j.attempts.Finish(tmonce.Answered)
		return result{answer: tmrequest.NewAnswer("application/json", answer.Body, false)}, true
	}
	switch answer.Outcome {
	case tmonce.NotRun:
		j.attempts.Finish(tmonce.Refused)
		return result{}, false
	case tmonce.Ran:
		j.attempts.Finish(tmonce.Answered)
	default:
		j.attempts.Finish(tmonce.Indeterminate)
	}
	if answer.Code == string(tmrequest.Cancelled) {
		// The peer reports that its caller, this entry, stopped waiting. This
		// entry waits until the deadline.
		answer.Code = string(tmrequest.Deadline)
	}
	return result{fail: tmrequest.NewError(tmrequest.Code(answer.Code), answer.Outcome, "%s", answer.Message)}, true
}
