package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

// maxAdviceEndpoints limits the endpoints named in one request to the placement
// policy.
const maxAdviceEndpoints = 100

// ticketMargin is the minimum remaining validity of a ticket that is used for a
// placement. The placement has to be stored and the start ordered before the ticket
// expires.
const ticketMargin = 300 * tmclock.Millisecond

// advice is what the placement policy has answered for a step.
type advice struct {
	tickets map[*endpoint]ticket
	asked   bool
	// next is the index of the endpoint of the pool with which the next request begins.
	next int
}

// ticket permits a step to run on one lifetime of an endpoint. A start order carries its token.
type ticket struct {
	token      string
	lifetime   int
	validUntil tmclock.Millis
}

// ticketFor returns the ticket of the step for the present lifetime of e, if it is valid.
func (a *advice) ticketFor(e *endpoint, now tmclock.Millis) (ticket, bool) {
	tk, ok := a.tickets[e]
	return tk, ok && tk.lifetime == e.lifetime && !now.After(tk.validUntil)
}

func (a *advice) removeTicket(e *endpoint) { delete(a.tickets, e) }

// hasTicket reports whether the step has a valid ticket for some endpoint.
func (a *advice) hasTicket(now tmclock.Millis) bool {
	for e := range a.tickets {
		if _, ok := a.ticketFor(e, now); ok {
			return true
		}
	}
	return false
}

// AdviceRequest asks the placement policy which endpoints may run a step.
type AdviceRequest struct {
	// Step is JOB.OCCURRENCE.STEP.
	Step      string
	Endpoints []string
	step      *step
	// subjects are the lifetimes of the endpoints at the time of the request.
	subjects []adviceSubject
}

// adviceSubject is one lifetime of an endpoint that the policy is asked about.
type adviceSubject struct {
	endpoint *endpoint
	lifetime int
}

// needsTicket reports whether tasks of the step start with a ticket of the placement policy only.
func (c *Controller) needsTicket(s *step) bool {
	return c.rules.Queues[s.occ.job.spec.Queue].NeedsAdvice
}

// policyPermits reports whether a task of the step may be placed on e as far as the placement
// policy of its queue is concerned.
func (c *Controller) policyPermits(s *step, e *endpoint) bool {
	if !c.needsTicket(s) {
		return true
	}
	_, ok := s.advice.ticketFor(e, c.now)
	return ok
}

// wantAdvice asks the placement policy about a step that it applies to, unless there is an answer
// that can be used.
func (c *Controller) wantAdvice(s *step, p *pool, now tmclock.Millis) {
	if c.needsTicket(s) && !s.advice.asked && !s.advice.hasTicket(now) {
		c.requestAdvice(s, p)
	}
}

// requestAdvice asks about as many endpoints of a pool as one request may name. The next
// request continues with the others.
func (c *Controller) requestAdvice(s *step, p *pool) {
	q := AdviceRequest{Step: s.tasks[0].id.StepName(), step: s}
	for range min(len(p.endpoints), maxAdviceEndpoints) {
		e := p.endpoints[s.advice.next%len(p.endpoints)]
		q.Endpoints = append(q.Endpoints, e.info.ID)
		q.subjects = append(q.subjects, adviceSubject{e, e.lifetime})
		s.advice.next++
	}
	s.advice.asked = true
	c.adviceRequests = append(c.adviceRequests, q)
}

// TakeAdviceRequests returns the requests issued since the last call.
func (c *Controller) TakeAdviceRequests() []AdviceRequest {
	q := c.adviceRequests
	c.adviceRequests = nil
	return q
}

// Advised handles the answer to a request that was sent at the time asked. The
// answer holds a ticket for each endpoint that may run the step. Tickets expire the
// time valid after asked. After a failed request tickets is nil.
func (c *Controller) Advised(q AdviceRequest, tickets map[string]string, valid tmclock.Span, asked tmclock.Millis) {
	a := &q.step.advice
	a.asked = false
	a.tickets = make(map[*endpoint]ticket, len(tickets))
	for _, subject := range q.subjects {
		if token, ok := tickets[subject.endpoint.info.ID]; ok {
			a.tickets[subject.endpoint] = ticket{token: token, lifetime: subject.lifetime, validUntil: asked.Add(valid - ticketMargin)}
		}
	}
	c.event(tmevent.Advice, "step", q.Step, "asked", len(q.Endpoints), "good", len(tickets), "valid_ms", int64(valid))
}
