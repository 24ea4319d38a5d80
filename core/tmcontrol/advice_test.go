package tmcontrol

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

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
	// rejected counts the starts that were rejected because of their ticket.
	rejected int
}

type issuedTicket struct {
	step, endpoint string
	lifetime       int64
	until          tmclock.Millis
}

func newPolicyFixture(t *testing.T, endpoints int, permitted ...string) *policyFixture {
	f := &policyFixture{fixture: newFixture(t, endpoints), valid: 3000, tickets: map[string]issuedTicket{}}
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

// advise answers the questions to the policy.
func (f *policyFixture) advise() {
	for _, q := range f.c.TakeAdviceRequests() {
		tickets := map[string]string{}
		for _, id := range q.Endpoints {
			if !f.permits(id) {
				continue
			}
			name := fmt.Sprintf("t-%d", len(f.tickets))
			f.tickets[name] = issuedTicket{step: q.Step, endpoint: id, lifetime: f.restarts[id], until: f.now.Add(f.valid)}
			tickets[id] = name
		}
		f.c.Advised(q, tickets, f.valid, f.now)
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
	tk, ok := f.tickets[s.Ticket]
	return ok && tk.step == s.Ref.Task.StepName() && tk.endpoint == s.Ref.Endpoint &&
		tk.lifetime == f.restarts[s.Ref.Endpoint] && f.now.Before(tk.until)
}

// planUntilStarted plans until the only task of a job runs, for at most d. It returns the endpoint
// of the run, or "".
func (f *policyFixture) planUntilStarted(job string, d tmclock.Span) string {
	const interval = 50 * tmclock.Millisecond
	for until := f.now.Add(d); f.now.Before(until) && f.placeOf(job) == ""; {
		f.plan(interval)
		f.work(interval)
	}
	return f.placeOf(job)
}

// Guards against a task that is started without a ticket for good, on an endpoint that has restarted
// under it and is set aside for it.
func TestSuspectIsStartedWithATicketOfTheLifetime(t *testing.T) {
	f := newPolicyFixture(t, 2, "e1")
	f.c.Submitted(oneTask("j"))
	assert.Equal(t, f.planUntilStarted("j", 1000), "e1")
	f.restart("e1")
	assert.Equal(t, f.planUntilStarted("j", 2000), "e1")
	assert.Equal(t, f.rejected, 0)
}

// Guards against the same after the ticket has expired while the endpoint that is set aside is busy.
func TestSuspectIsStartedWithAValidTicket(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1")
	f.c.Submitted(oneTask("other"))
	assert.Equal(t, f.planUntilStarted("other", 1000), "e1")
	other := f.runs["e1"][0]
	f.submitSuspect("j", suspectedInCompany)
	j := f.c.jobs["j"].open(0).steps[0]
	j.spec.Size.CPU = 8000
	for range 4 {
		f.plan(50)
	}
	assert.Assert(t, f.c.IsIsolated("e1"))
	f.work(f.valid)
	f.end("e1", other.Task, other.Run, EndDone)
	assert.Equal(t, f.planUntilStarted("j", 2000), "e1")
	assert.Equal(t, f.rejected, 0)
}

// Guards against a start with a ticket of an earlier lifetime.
func TestTicketEndsWithTheLifetime(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1")
	j := oneTask("j")
	j.Steps[0].Count = 2
	j.Steps[0].Size.CPU = 8000
	f.c.Submitted(j)
	assert.Equal(t, f.planUntilStarted("j", 1000), "e1")
	// The second task of the step, which is no suspect, waits.
	f.restart("e1")
	for range 20 {
		f.plan(50)
		f.work(MinWorkTime)
		for _, r := range slices.Clone(f.runs["e1"]) {
			f.end("e1", r.Task, r.Run, EndDone)
		}
	}
	assert.Equal(t, f.rejected, 0)
	assert.Equal(t, len(f.c.jobs), 0)
}

// Guards against a ticket that is used for the lifetime after the one that the policy was asked about.
func TestAnswerAboutAnEarlierLifetimeIsDropped(t *testing.T) {
	f := newPolicyFixture(t, 1, "e1")
	f.c.Submitted(oneTask("j"))
	f.order(10)
	questions := f.c.TakeAdviceRequests()
	assert.Equal(t, len(questions), 1)
	f.restart("e1")
	f.c.Advised(questions[0], map[string]string{"e1": "of the earlier lifetime"}, f.valid, f.now)
	assert.Equal(t, f.planUntilStarted("j", 1000), "e1")
	assert.Equal(t, f.rejected, 0)
}

// Guards against a step that never starts because its pool has more endpoints than a request
// for advice may name, and none of the first ones may run it.
func TestAdviceIsAskedAboutAllEndpoints(t *testing.T) {
	f := newFixture(t, 0)
	p := &pool{}
	for range maxAdviceEndpoints + 1 {
		p.endpoints = append(p.endpoints, newEndpoint(EndpointInfo{ID: string(rune(len(p.endpoints)))}))
	}
	f.c.Submitted(oneTask("j"))
	s := f.c.jobs["j"].open(0).steps[0]
	asked := map[string]bool{}
	for range 2 {
		f.c.requestAdvice(s, p)
		for _, q := range f.c.TakeAdviceRequests() {
			assert.Equal(t, len(q.Endpoints), maxAdviceEndpoints)
			for _, id := range q.Endpoints {
				asked[id] = true
			}
			f.c.Advised(q, nil, 0, f.now)
		}
	}
	assert.Equal(t, len(asked), len(p.endpoints))
}
