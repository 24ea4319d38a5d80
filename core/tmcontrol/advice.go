package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmticket"
)

// This file asks the placement policy of a queue on which endpoints a step may run, and keeps
// tasks off endpoints for which the step has no valid ticket.

// maxAdviceEndpoints limits the endpoints named in one request to the placement
// policy.
const maxAdviceEndpoints = 100

// failedAdvicePause is the pause after a failed request for a step, in which the policy is asked about
// others.
const failedAdvicePause = 500 * tmclock.Millisecond

// maxTicketWait is how long a run whose placement is stored keeps its room while it waits for a new
// ticket.
const maxTicketWait = tmclock.Second

// advice is what the placement policy has answered for a step.
type advice struct {
	book tmticket.Book[*endpoint]
	// wanted is set while the step waits for a request. There is none before askAfter.
	wanted   bool
	askAfter tmclock.Millis
	// needed is set if the queue has a placement policy by that version of the rules.
	needed       bool
	rulesVersion int64
}

// adviceQueue holds the steps that wait for a ticket of their placement policy. The policy answers one
// call at a time, so that a request that is sent while another is under way would only wait there.
type adviceQueue struct {
	// holding are steps with runs that hold room until there is a new ticket. They go first. steps
	// are those that the present planning pass has found no place for, in its order.
	holding, steps []*step
	// asked is set while a request is under way.
	asked bool
	// failures counts the requests that have failed in a row. Each halves the number of
	// endpoints that the next one names: an answer takes longer the more there are.
	failures int
}

// limit returns how many endpoints the next request may name.
func (q *adviceQueue) limit() int { return max(1, maxAdviceEndpoints>>min(q.failures, 16)) }

// take removes and returns the first step. The queue is not empty.
func (q *adviceQueue) take() *step {
	from := &q.steps
	if len(q.holding) > 0 {
		from = &q.holding
	}
	s := (*from)[0]
	*from = (*from)[1:]
	return s
}

func (q *adviceQueue) isEmpty() bool { return len(q.holding)+len(q.steps) == 0 }

// beginPass removes what the last planning pass has added.
func (q *adviceQueue) beginPass() {
	for _, s := range q.steps {
		s.advice.wanted = false
	}
	q.steps = q.steps[:0]
}

// AdviceRequest asks the placement policy which endpoints may run a step.
type AdviceRequest struct {
	// Step is JOB.OCCURRENCE.STEP.
	Step      string
	Endpoints []string
	step      *step
	// lifetimes are those of the endpoints at the time of the request.
	lifetimes []tmticket.Lifetime[*endpoint]
}

// AdviceAnswer is the answer of the placement policy to a request that was sent at AskedAt.
type AdviceAnswer struct {
	// Tickets holds, by endpoint, the token of each that may run the step.
	Tickets map[string]string
	// Validity is how long the tickets are valid.
	Validity tmclock.Span
	AskedAt  tmclock.Millis
	// Failed is set if the policy gave no answer. The other fields are not used then.
	Failed bool
}

// currentLifetime identifies the present lifetime of an endpoint.
func (e *endpoint) currentLifetime() tmticket.Lifetime[*endpoint] {
	return tmticket.Lifetime[*endpoint]{Endpoint: e, Number: e.lifetime}
}

// needsTicket reports whether tasks of the step start with a ticket of the placement policy only.
func (c *Controller) needsTicket(s *step) bool {
	if a := &s.advice; a.rulesVersion != c.rules.Version {
		a.needed, a.rulesVersion = c.rules.Queues[s.occ.job.spec.Queue].NeedsAdvice, c.rules.Version
	}
	return s.advice.needed
}

// policyPermits reports whether a task of the step may be placed on e as far as the placement
// policy of its queue is concerned: there is a valid ticket.
func (c *Controller) policyPermits(s *step, e *endpoint) bool {
	if !c.needsTicket(s) {
		return true
	}
	_, ok := s.advice.book.Token(e.currentLifetime(), c.now)
	return ok
}

// mayGetTicket reports whether the step has a valid ticket for e or will probably get one: the
// placement policy answers and is known to permit the step there.
func (c *Controller) mayGetTicket(s *step, e *endpoint) bool {
	if c.policyPermits(s, e) {
		return true
	}
	return c.advice.failures == 0 && s.advice.book.Permits(e.currentLifetime())
}

// wantAdvice makes the placement policy be asked about endpoints on which a step that waits could
// run if it had a ticket.
func (c *Controller) wantAdvice(s *step) {
	if c.needsTicket(s) && !s.advice.wanted {
		s.advice.wanted = true
		c.advice.steps = append(c.advice.steps, s)
	}
}

// NextAdviceRequest returns the request for the first step that waits for a ticket. It reports false if
// there is none or if another request is under way, until that is answered.
func (c *Controller) NextAdviceRequest(now tmclock.Millis) (AdviceRequest, bool) {
	if c.advice.asked {
		return AdviceRequest{}, false
	}
	for !c.advice.isEmpty() {
		s := c.advice.take()
		s.advice.wanted = false
		if now.Before(s.advice.askAfter) || s.occ.job.final {
			continue
		}
		if q, ok := c.adviceRequest(s, now); ok {
			c.advice.asked = true
			return q, true
		}
	}
	return AdviceRequest{}, false
}

// adviceRequest returns a request about the endpoints of the pool for which the step has no valid
// ticket: first those with room for it, then those of which nothing is known. It reports false if
// there are none.
func (c *Controller) adviceRequest(s *step, now tmclock.Millis) (AdviceRequest, bool) {
	s.advice.book.Forget(func(e *endpoint) bool { return c.endpoints[e.info.ID] != e })
	service := c.rules.Queues[s.occ.job.spec.Queue].Service
	var withRoom, unknown []*endpoint
	for _, e := range c.sorted() {
		if e.info.Service != service || !s.advice.book.MayAsk(e.currentLifetime(), now) {
			continue
		}
		switch {
		case e.hasAwaitingTicket(s):
			withRoom = append(withRoom, e)
		case !e.isAvailable(now) || c.zonesOut[e.info.Zone] || !s.labelPermits(e):
		case c.hasRoom(s, e) && (e.isolated == nil || e.isolated.step == s):
			withRoom = append(withRoom, e)
		case !s.advice.book.IsKnown(e.currentLifetime()):
			unknown = append(unknown, e)
		}
	}
	q := AdviceRequest{Step: s.tasks[0].id.StepName(), step: s}
	for _, e := range append(withRoom, unknown...) {
		if len(q.Endpoints) == c.advice.limit() {
			break
		}
		q.Endpoints = append(q.Endpoints, e.info.ID)
		q.lifetimes = append(q.lifetimes, e.currentLifetime())
	}
	return q, len(q.Endpoints) > 0
}

// Advised handles the answer to a request.
func (c *Controller) Advised(q AdviceRequest, a AdviceAnswer, now tmclock.Millis) {
	c.advice.asked = false
	if a.Failed {
		c.advice.failures++
		q.step.advice.askAfter = now.Add(failedAdvicePause)
		return
	}
	c.advice.failures = 0
	book := &q.step.advice.book
	for _, l := range q.lifetimes {
		if token, ok := a.Tickets[l.Endpoint.info.ID]; ok {
			book.Permit(l, tmticket.Ticket{Token: token, Validity: a.Validity, AskedAt: a.AskedAt, AnsweredAt: now})
		} else {
			book.Refuse(l, now)
		}
	}
	c.event(tmevent.Advice, "step", q.Step, "asked", len(q.Endpoints), "good", len(a.Tickets), "valid_ms", int64(a.Validity))
}

// renewTicket gives a run whose start is about to be ordered the present ticket for its endpoint. It
// reports false if there is none that is valid.
func (c *Controller) renewTicket(r *run, now tmclock.Millis) bool {
	token, ok := r.task.step.advice.book.StartToken(r.ep.currentLifetime(), now)
	if !ok && c.needsTicket(r.task.step) {
		return false
	}
	r.ticket, r.ticketWantedAt = token, 0
	return true
}

// mayAwaitTicket makes the policy be asked for a new ticket for a run. It reports false if the run
// has waited for too long.
func (c *Controller) mayAwaitTicket(r *run, now tmclock.Millis) bool {
	if !r.awaitsTicket() {
		r.ticketWantedAt = now
	}
	if s := r.task.step; !slices.Contains(c.advice.holding, s) {
		c.advice.holding = append(c.advice.holding, s)
	}
	return now.Sub(r.ticketWantedAt) < maxTicketWait
}

// awaitTickets keeps runs that start together until there are new tickets, or releases them if they
// have waited for too long.
func (c *Controller) awaitTickets(runs []*run, now tmclock.Millis) {
	mayAwait := true
	for _, r := range runs {
		mayAwait = c.mayAwaitTicket(r, now) && mayAwait
	}
	for _, r := range runs {
		switch {
		case !mayAwait:
			c.release(r)
		case !slices.Contains(c.awaitingTicket, r):
			c.awaitingTicket = append(c.awaitingTicket, r)
		}
	}
}

// retryAwaitingTicket orders the starts for which there is a new ticket.
func (c *Controller) retryAwaitingTicket(now tmclock.Millis) {
	runs := c.awaitingTicket
	c.awaitingTicket = nil
	c.startPlaced(runs, now)
}

// awaitsTicket reports whether a run waits for a new ticket.
func (r *run) awaitsTicket() bool { return r.ticketWantedAt != 0 }

// hasAwaitingTicket reports whether a run of the step waits for a ticket for e.
func (e *endpoint) hasAwaitingTicket(s *step) bool {
	if e.stepRuns[s] == 0 {
		return false
	}
	for _, r := range e.runs {
		if r.task.step == s && r.awaitsTicket() {
			return true
		}
	}
	return false
}

// recordTicket records whether an endpoint has accepted the ticket of a start.
func (c *Controller) recordTicket(r *run, a Answer, now tmclock.Millis) {
	if r.ticket == "" {
		return
	}
	book := &r.task.step.advice.book
	switch a {
	case Accepted:
		book.Accepted(r.ep.currentLifetime())
	case BadTicket:
		book.Rejected(r.ep.currentLifetime(), r.ticket, now)
	}
}
