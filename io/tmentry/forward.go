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
	// forwardAfter is how long a request waits for units or slots of this
	// entry before it is handed to an entry that has some.
	forwardAfter = 150 * tmclock.Millisecond
	// maxForwards bounds the requests that are with other entries.
	maxForwards = 128
	// forwardsPerTick bounds how many are handed over at a time, since the
	// reports of the other entries are up to a heartbeat old.
	forwardsPerTick = 8
	// forwardWait is the wait after an entry has refused a forwarded request.
	forwardWait = 200 * tmclock.Millisecond
)

// forwardLocked hands requests that can't start here to entries that have
// unused units of the team's limit, or tasks in a pool where this entry has no
// slot at all. Moving the request is faster than moving units and slots, and
// works while the table service is down.
func (t *tables) forwardLocked(now tmclock.Millis) {
	starved := map[string]bool{}
	for cell, load := range t.queue.Demand().All() {
		if load.Queued > 0 && (t.ledger.Available(cell.Team) <= 0 || t.slotlessLocked(cell.Pool)) {
			starved[cell.Team+"/"+cell.Pool] = true
		}
	}
	if len(starved) == 0 {
		return
	}
	handed := 0
	for _, j := range t.jobs {
		if handed >= forwardsPerTick || t.forwarding >= maxForwards {
			return
		}
		if !j.queued || j.local || j.owned() || !starved[j.team+"/"+j.pool] || now.Sub(j.arrived) < forwardAfter {
			continue
		}
		peer, ok := t.helperLocked(j)
		if !ok {
			continue
		}
		t.queue.Remove(j.id)
		j.queued = false
		t.forwarding++
		t.forwarded[tmshare.PoolTeam{Pool: j.pool, Team: j.team}]++
		handed++
		t.e.loops.Go(func() { t.e.forward(j, peer) })
	}
}

// slotlessLocked reports whether this entry has no leased slot in the pool.
func (t *tables) slotlessLocked(pool string) bool {
	for _, l := range t.leases {
		if l.instance.Pool() == pool && l.slots > 0 {
			return false
		}
	}
	return true
}

// helperLocked returns the entry that can best start a request: it has unused
// units of the team, and tasks in the pool if this entry has no slot there.
// The reported units are lowered by each request handed over.
func (t *tables) helperLocked(j *job) (tmfleet.Member, bool) {
	slotless := t.slotlessLocked(j.pool)
	best := ""
	for incarnation, report := range t.peers {
		if report.unused[j.team] <= 0 || slotless && report.pools[j.pool] == 0 {
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

func (e *Entry) forward(j *job, peer tmfleet.Member) {
	remaining := max(j.deadline.Sub(e.clock.Now()), tmclock.Millisecond)
	ctx, cancel := context.WithTimeout(e.ctx, (remaining + answerSlack).Duration())
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
	r, final := judgeForward(j, answer, err)
	t := e.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forwarding--
	cell := tmshare.PoolTeam{Pool: j.pool, Team: j.team}
	if t.forwarded[cell]--; t.forwarded[cell] <= 0 {
		delete(t.forwarded, cell)
	}
	if final {
		t.finishLocked(j, r)
		return
	}
	t.parkLocked(j, forwardWait)
}

// judgeForward returns the result of a forwarded request, or false when it may
// be tried again.
func judgeForward(j *job, answer tmpeer.ForwardedAnswer, err error) (result, bool) {
	if err != nil {
		if tmpeer.NotProcessed(err) {
			j.attempts.Finish(tmonce.NotSent)
			return result{}, false
		}
		j.attempts.Finish(tmonce.Indeterminate)
		if j.attempts.MayResend(j.req.Idempotent()) {
			return result{}, false
		}
		return j.fail(tmrequest.AnswerLost, "no answer from the entry that has the request"), true
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
		// The other entry saw this entry's wait end, which is the deadline.
		answer.Code = string(tmrequest.Deadline)
	}
	return result{fail: tmrequest.NewError(tmrequest.Code(answer.Code), answer.Outcome, "%s", answer.Message)}, true
}
