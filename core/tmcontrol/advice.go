package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

// maxAdvised bounds the endpoints named in one question to the placement
// policy.
const maxAdvised = 100

// advice is what the placement policy said about a step.
type advice struct {
	tickets map[string]string
	until   tmclock.Millis
	asked   bool
}

func (a *advice) drop(endpoint string) { delete(a.tickets, endpoint) }

// Question asks the placement policy which endpoints may run a step.
type Question struct {
	// Step is JOB.OCCURRENCE.STEP.
	Step      string
	Endpoints []string
	step      *step
}

// adviceFor returns the filter that the policy of the queue imposes. Without
// an answer in force no endpoint passes, and a question is asked.
func (c *Controller) adviceFor(s *step, p *pool, now tmclock.Millis) func(*endpoint) bool {
	if !c.rules.Queues[s.occ.job.spec.Queue].NeedsAdvice {
		return func(*endpoint) bool { return true }
	}
	if now.After(s.advice.until) {
		s.advice.tickets = nil
	}
	if len(s.advice.tickets) == 0 && !s.advice.asked {
		c.ask(s, p)
	}
	return func(e *endpoint) bool {
		_, ok := s.advice.tickets[e.info.ID]
		return ok
	}
}

func (c *Controller) ask(s *step, p *pool) {
	q := Question{Step: s.tasks[0].id.StepName(), step: s}
	for _, e := range p.endpoints {
		if len(q.Endpoints) < maxAdvised {
			q.Endpoints = append(q.Endpoints, e.info.ID)
		}
	}
	s.advice.asked = true
	c.questions = append(c.questions, q)
}

// TakeQuestions returns the questions that came up since the last call.
func (c *Controller) TakeQuestions() []Question {
	q := c.questions
	c.questions = nil
	return q
}

// Advised takes in the answer to a question: a ticket for each endpoint that
// may run the step, valid for that long from asked on. A failed question has
// nil tickets.
func (c *Controller) Advised(q Question, tickets map[string]string, valid tmclock.Span, asked tmclock.Millis) {
	q.step.advice.asked = false
	q.step.advice.tickets = tickets
	q.step.advice.until = asked.Add(valid - ticketMargin)
	c.event(tmevent.Advice, "step", q.Step, "asked", len(q.Endpoints), "good", len(tickets), "valid_ms", int64(valid))
}

// ticketMargin is how long before its end a ticket is no longer used: the
// placement has to be stored and ordered first.
const ticketMargin = 300 * tmclock.Millisecond
