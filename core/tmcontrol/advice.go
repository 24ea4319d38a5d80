package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

// maxAdviceEndpoints limits the endpoints named in one request to the placement
// policy.
const maxAdviceEndpoints = 100

// advice is the answer of the placement policy for a step. Its tickets are tokens, by
// endpoint, that permit the step to run there; a start order carries the ticket.
type advice struct {
	tickets    map[string]string
	validUntil tmclock.Millis
	asked      bool
	// next is the index of the endpoint of the pool with which the next request begins.
	next int
}

func (a *advice) removeTicket(endpoint string) { delete(a.tickets, endpoint) }

// AdviceRequest asks the placement policy which endpoints may run a step.
type AdviceRequest struct {
	// Step is JOB.OCCURRENCE.STEP.
	Step      string
	Endpoints []string
	step      *step
}

// adviceFor returns the filter that the placement policy of the queue imposes.
// Without a valid answer no endpoint passes, and the policy is asked.
func (c *Controller) adviceFor(s *step, p *pool, now tmclock.Millis) func(*endpoint) bool {
	if !c.rules.Queues[s.occ.job.spec.Queue].NeedsAdvice {
		return func(*endpoint) bool { return true }
	}
	if now.After(s.advice.validUntil) {
		s.advice.tickets = nil
	}
	if len(s.advice.tickets) == 0 && !s.advice.asked {
		c.requestAdvice(s, p)
	}
	return func(e *endpoint) bool {
		_, ok := s.advice.tickets[e.info.ID]
		return ok
	}
}

// requestAdvice asks about as many endpoints of a pool as one request may name. The next
// request continues with the others.
func (c *Controller) requestAdvice(s *step, p *pool) {
	q := AdviceRequest{Step: s.tasks[0].id.StepName(), step: s}
	for range min(len(p.endpoints), maxAdviceEndpoints) {
		q.Endpoints = append(q.Endpoints, p.endpoints[s.advice.next%len(p.endpoints)].info.ID)
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
	q.step.advice.asked = false
	q.step.advice.tickets = tickets
	q.step.advice.validUntil = asked.Add(valid - ticketMargin)
	c.event(tmevent.Advice, "step", q.Step, "asked", len(q.Endpoints), "good", len(tickets), "valid_ms", int64(valid))
}

// ticketMargin is the minimum remaining validity of a ticket that is used for a
// placement. The placement has to be stored and the start ordered before the ticket
// expires.
const ticketMargin = 300 * tmclock.Millisecond
