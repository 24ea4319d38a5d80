package tmcontrol

import (
	"fmt"
	"slices"
	"testing"

	"turmericmoor/core/tmclock"
)

// policyFixture is a fixture whose queue q has a placement policy. Its endpoints reject starts
// without a valid ticket.
type policyFixture struct {
	*fixture
	// permits is the policy. valid is how long tickets are valid.
	permits func(endpoint string) bool
	valid   tmclock.Span
	// tickets holds what the policy has issued.
	tickets map[string]issuedTicket
	// distrusts makes endpoints reject all tickets.
	distrusts bool
	// lost holds the endpoints that are lost for good.
	lost map[string]bool
	// rejected counts the starts that were rejected because of their ticket, questions the
	// requests to the policy.
	rejected, questions int
}

type issuedTicket struct {
	step, endpoint string
	lifetime       int64
	until          tmclock.Millis
}

func newPolicyFixture(t *testing.T, endpoints int, permitted ...string) *policyFixture {
	f := &policyFixture{fixture: newFixture(t, endpoints), valid: 3000, tickets: map[string]issuedTicket{}, lost: map[string]bool{}}
	f.permits = func(endpoint string) bool { return slices.Contains(permitted, endpoint) }
	f.c.Apply(DesiredState{Rules: policyRules(2)}, f.now)
	return f
}

// policyRules are the rules of the fixture with a placement policy for queue q.
func policyRules(version int64) Rules {
	rules := testRules(version)
	q := rules.Queues["q"]
	q.NeedsAdvice = true
	rules.Queues["q"] = q
	return rules
}

// addPlainQueue adds queue "other", which has no placement policy and shares the endpoints of queue q.
func (f *policyFixture) addPlainQueue() {
	rules := policyRules(3)
	rules.Queues["other"] = Queue{Name: "other", Service: "s", Attempts: 2, Stretch: 1.6, Objective: 600}
	f.c.Apply(DesiredState{Rules: rules}, f.now)
}

// advise answers the questions to the policy.
func (f *policyFixture) advise() {
	for q, ok := f.c.NextAdviceRequest(f.now); ok; q, ok = f.c.NextAdviceRequest(f.now) {
		f.questions++
		tickets := map[string]string{}
		for _, id := range q.Endpoints {
			if !f.permits(id) {
				continue
			}
			name := fmt.Sprintf("t-%d", len(f.tickets))
			f.tickets[name] = issuedTicket{step: q.Step, endpoint: id, lifetime: f.restarts[id], until: f.now.Add(f.valid)}
			tickets[id] = name
		}
		f.c.Advised(q, AdviceAnswer{Tickets: tickets, Validity: f.valid, AskedAt: f.now}, f.now)
	}
}

// plan runs a planning pass after d, carries out its start orders if their tickets are valid, and
// answers the questions to the policy.
func (f *policyFixture) plan(d tmclock.Span) {
	f.start(f.order(d))
	f.advise()
}

// start carries out start orders with a valid ticket and rejects the others.
func (f *policyFixture) start(starts []StartOrder) {
	for _, s := range starts {
		if !f.isValid(s) {
			f.rejected++
			f.c.Started(s.Ref, BadTicket, f.now)
			continue
		}
		f.c.Started(s.Ref, Accepted, f.now)
		f.runs[s.Ref.Endpoint] = append(f.runs[s.Ref.Endpoint], ActiveRun{Task: s.Ref.Task, Run: s.Ref.Run, Percent: 100})
	}
}

func (f *policyFixture) isValid(s StartOrder) bool {
	if q := f.c.jobs[s.Ref.Task.Job].spec.Queue; !f.c.rules.Queues[q].NeedsAdvice {
		return true
	}
	tk, ok := f.tickets[s.Ticket]
	return ok && !f.distrusts && tk.step == s.Ref.Task.StepName() && tk.endpoint == s.Ref.Endpoint &&
		tk.lifetime == f.restarts[s.Ref.Endpoint] && f.now.Before(tk.until)
}

// workUp lets d pass, and the endpoints that are not lost list their runs.
func (f *policyFixture) workUp(d tmclock.Span) {
	f.now = f.now.Add(d)
	for _, e := range f.c.sorted() {
		if !f.lost[e.info.ID] {
			f.answerHold(e.info.ID)
		}
	}
}

// planUntilStarted plans until the only task of a job runs, for at most d. It returns the endpoint
// of the run, or "".
func (f *policyFixture) planUntilStarted(job string, d tmclock.Span) string {
	const interval = 50 * tmclock.Millisecond
	for until := f.now.Add(d); f.now.Before(until) && f.placeOf(job) == ""; {
		f.plan(interval)
		f.workUp(interval)
	}
	return f.placeOf(job)
}
