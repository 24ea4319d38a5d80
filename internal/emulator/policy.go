package emulator

import (
	"fmt"
	"hash/fnv"
	"time"

	"turmericmoor/core/tmjob"
)

const (
	// ticketGrace is how long a start order may take to arrive after its ticket has expired, or
	// after its endpoint has restarted, so that its sender can't have known.
	ticketGrace = time.Second
	// standstillTimeout is how long a task may have no run while an endpoint that may run it is
	// idle.
	standstillTimeout = 3 * time.Second
)

// Policy emulates the placement policy of a queue, which permits each step on some endpoints. It is
// guarded by the mutex of its fleet.
type Policy struct {
	// Queue is the queue that the policy applies to.
	Queue string
	// Allowed is the number of slots of each group on which a step may run.
	Allowed int
	// Validity is how long a ticket is valid.
	Validity time.Duration
	// Down makes all requests fail. Overstated, if it is not 0, is what answers say instead of
	// Validity.
	Down       bool
	Overstated time.Duration

	fleet    *Fleet
	slots    map[string]policySlot
	groups   map[int]int
	tickets  map[string]policyTicket
	rejected int
	// idleSince is since when a task could run on an idle endpoint.
	idleSince map[tmjob.TaskID]time.Time
}

// policySlot is a place in a group of endpoints. An endpoint that replaces another one has its slot.
type policySlot struct{ group, index int }

type policyTicket struct {
	step, endpoint string
	startedAt      int64
	until          time.Time
}

// SetPolicy gives the fleet a placement policy.
func (f *Fleet) SetPolicy(p Policy) *Policy {
	p.fleet, p.slots, p.groups, p.tickets, p.idleSince = f, map[string]policySlot{}, map[int]int{}, map[string]policyTicket{}, map[tmjob.TaskID]time.Time{}
	f.policy = &p
	return f.policy
}

// AddSlot puts an endpoint into a new slot of a group.
func (p *Policy) AddSlot(endpoint string, group int) {
	p.slots[endpoint] = policySlot{group: group, index: p.groups[group]}
	p.groups[group]++
}

// Replace puts an endpoint into the slot of another one.
func (p *Policy) Replace(old, endpoint string) { p.slots[endpoint] = p.slots[old] }

// permits reports whether the policy permits a step, JOB.OCCURRENCE.STEP, on an endpoint.
func (p *Policy) permits(step, endpoint string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step))
	slot := p.slots[endpoint]
	count := p.groups[slot.group]
	first := int(h.Sum32() % uint32(count))
	return (slot.index-first+count)%count < p.Allowed
}

// Advise returns a ticket for each of the endpoints that may run the step and are up.
func (p *Policy) Advise(step string, endpoints []string) map[string]string {
	out := map[string]string{}
	for _, id := range endpoints {
		e := p.fleet.endpoints[id]
		if e == nil || e.down || !p.permits(step, id) {
			continue
		}
		name := fmt.Sprintf("ticket-%d", len(p.tickets))
		p.tickets[name] = policyTicket{step: step, endpoint: id, startedAt: e.startedAt, until: time.Now().Add(p.Validity)}
		out[id] = name
	}
	return out
}

// SaidValidity returns how long tickets are valid by the answers of the policy.
func (p *Policy) SaidValidity() time.Duration {
	if p.Overstated != 0 {
		return p.Overstated
	}
	return p.Validity
}

// Rejected returns how many starts were rejected because of their ticket.
func (p *Policy) Rejected() int { return p.rejected }

func (p *Policy) appliesTo(t tmjob.TaskID) bool {
	j := p.fleet.jobs[t.Job]
	return j != nil && j.Queue == p.Queue
}

// accepts checks the ticket of a start order. That an order is rejected is a violation if its sender
// must have known that the ticket is not valid.
func (p *Policy) accepts(e *Endpoint, t tmjob.TaskID, name string, late bool) bool {
	if !p.appliesTo(t) {
		return true
	}
	now := time.Now()
	tk, ok := p.tickets[name]
	forStep := ok && tk.step == t.StepName() && tk.endpoint == e.id
	if forStep && tk.startedAt == e.startedAt && now.Before(tk.until) {
		return true
	}
	p.rejected++
	switch age := now.Sub(time.UnixMilli(e.startedAt)); {
	case !forStep:
		p.fleet.ReportViolation("%s starts on %s with ticket %q, which is not for it", t, e.id, name)
	case late:
	case tk.startedAt != e.startedAt && age > ticketGrace:
		p.fleet.ReportViolation("%s starts on %s with a ticket for a lifetime that ended %v ago", t, e.id, age)
	case now.Sub(tk.until) > ticketGrace:
		p.fleet.ReportViolation("%s starts on %s with a ticket that expired %v ago", t, e.id, now.Sub(tk.until))
	}
	return false
}

// CheckStandstill reports the tasks of the given jobs that have had no run for standstillTimeout
// although they may run and an endpoint is idle that may run them. It is called again and again
// while nothing disturbs the fleet.
func (p *Policy) CheckStandstill(jobs []string) {
	for _, id := range jobs {
		j := p.fleet.jobs[id]
		if _, ok := p.fleet.cancelled[id]; ok || j.Queue != p.Queue {
			continue
		}
		for _, t := range tasksOf(j) {
			p.checkTask(j, t)
		}
	}
}

func (p *Policy) checkTask(j *tmjob.Job, t tmjob.TaskID) {
	idle := p.idleEndpoint(j, t)
	if idle == "" {
		delete(p.idleSince, t)
		return
	}
	since, ok := p.idleSince[t]
	if !ok {
		p.idleSince[t] = time.Now()
		return
	}
	if still := time.Since(since); still > standstillTimeout {
		p.fleet.ReportViolation("%s has no run for %v while %s is idle", t, still, idle)
		p.idleSince[t] = time.Now()
	}
}

// idleEndpoint returns an idle endpoint that may run a task, or "". A task whose turn has not come, or
// that has run or runs, needs none.
func (p *Policy) idleEndpoint(j *tmjob.Job, t tmjob.TaskID) string {
	c := &p.fleet.checker
	if c.finished[t] || len(c.active[t]) > 0 || c.mayBeGivenUp(t) || j.Due(t.Occurrence) > time.Now().UnixMilli() {
		return ""
	}
	for _, a := range j.Steps[t.Step].After {
		for i := range j.Steps[a].Count {
			if !c.finished[tmjob.TaskID{Job: t.Job, Occurrence: t.Occurrence, Step: a, Index: i}] {
				return ""
			}
		}
	}
	for id, e := range p.fleet.endpoints {
		if !e.down && len(e.runs) == 0 && p.permits(t.StepName(), id) {
			return id
		}
	}
	return ""
}
