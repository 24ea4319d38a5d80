package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmticket"
)

// This file asks the placement policy of a queue on which endpoints a step may run, and keeps
// tasks off endpoints for which the step has no valid ticket.

// maxAdviceEndpoints limits the endpoints named in one request to the placement
// policy.
const maxAdviceEndpoints = 100

// advice is what the placement policy has answered for a step.
type advice struct {
	book tmticket.Book[*endpoint]
	// wanted is set while the step waits for a request, asked while one is under way.
	wanted, asked bool
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
	return c.rules.Queues[s.occ.job.spec.Queue].NeedsAdvice
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

// mayGetTicket reports whether the placement policy is known to permit the step on e, whether its
// last ticket is still valid or not.
func (c *Controller) mayGetTicket(s *step, e *endpoint) bool {
	return !c.needsTicket(s) || s.advice.book.Permits(e.currentLifetime())
}

// wantAdvice makes the placement policy be asked about endpoints on which a step that waits could
// run if it had a ticket.
func (c *Controller) wantAdvice(s *step) {
	if c.needsTicket(s) && !s.advice.wanted && !s.advice.asked {
		s.advice.wanted = true
		c.adviceWanted = append(c.adviceWanted, s)
	}
}

// TakeAdviceRequests returns the requests for the steps that have waited for a ticket since the
// last call, in the order in which these were planned.
func (c *Controller) TakeAdviceRequests(now tmclock.Millis) []AdviceRequest {
	var requests []AdviceRequest
	for _, s := range c.adviceWanted {
		s.advice.wanted = false
		if q, ok := c.adviceRequest(s, now); ok {
			s.advice.asked = true
			requests = append(requests, q)
		}
	}
	c.adviceWanted = nil
	return requests
}

// adviceRequest returns a request about the endpoints of the pool for which the step has no valid
// ticket: first those with room for it, then those of which nothing is known. It reports false if
// there are none.
func (c *Controller) adviceRequest(s *step, now tmclock.Millis) (AdviceRequest, bool) {
	s.advice.book.Forget(func(e *endpoint) bool { return c.endpoints[e.info.ID] != e })
	service := c.rules.Queues[s.occ.job.spec.Queue].Service
	var withRoom, unknown []*endpoint
	for _, e := range c.sorted() {
		if e.info.Service != service || !e.isAvailable(now) || c.zonesOut[e.info.Zone] || !s.labelPermits(e) || !s.advice.book.MayAsk(e.currentLifetime(), now) {
			continue
		}
		switch {
		case c.hasRoom(s, e) && (e.isolated == nil || e.isolated.step == s):
			withRoom = append(withRoom, e)
		case !s.advice.book.IsKnown(e.currentLifetime()):
			unknown = append(unknown, e)
		}
	}
	q := AdviceRequest{Step: s.tasks[0].id.StepName(), step: s}
	for _, e := range append(withRoom, unknown...) {
		if len(q.Endpoints) == maxAdviceEndpoints {
			break
		}
		q.Endpoints = append(q.Endpoints, e.info.ID)
		q.lifetimes = append(q.lifetimes, e.currentLifetime())
	}
	return q, len(q.Endpoints) > 0
}

// Advised handles the answer to a request.
func (c *Controller) Advised(q AdviceRequest, a AdviceAnswer, now tmclock.Millis) {
	q.step.advice.asked = false
	if a.Failed {
		return
	}
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
