package tmfresh

import (
	"fmt"

	"pgregory.net/rapid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// step is one randomly drawn step of a run. Each number is taken modulo the
// number of choices.
type step struct{ action, a, b, n int }

const actions = 16

func steps() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			action: rapid.IntRange(0, actions-1).Draw(t, "action"),
			a:      rapid.IntRange(0, 11).Draw(t, "a"),
			b:      rapid.IntRange(0, 11).Draw(t, "b"),
			n:      rapid.IntRange(0, 11).Draw(t, "n"),
		}
	})
	return rapid.SliceOfN(one, 150, 150)
}

// entry is a process with a Tracker and a clock that runs at its own rate.
type entry struct {
	name        string
	alive       bool
	clock       *tmclock.Manual
	ratePercent int64
	remainder   int64
	*Tracker
}

type kind int

const (
	heartbeatRequest kind = iota
	heartbeatAnswer
	tableRequest
	tableAnswer
	statePush
)

// message is a message in flight. It may be delivered late, repeatedly or never.
type message struct {
	kind     kind
	from, to *entry
	sentAt   tmclock.Millis
	version  uint64
}

// simulation has the entries, the versions in the table and the messages in
// flight.
type simulation struct {
	disabled         ruleSet
	entries          []*entry
	versions         []tmfleet.State
	messages         []message
	accepted         uint64
	skipInForceCheck bool // membership changes don't wait for the earlier version
}

func newSimulation(disabled ruleSet, skipInForceCheck bool, size int) *simulation {
	sim := &simulation{disabled: disabled, skipInForceCheck: skipInForceCheck, versions: []tmfleet.State{{}}}
	members := map[string]tmfleet.Member{}
	for range size {
		e := sim.startEntry()
		members[e.name] = tmfleet.NewMember(e.name, e.name, "", "")
	}
	sim.versions = append(sim.versions, tmfleet.NewState(1, tmfleet.NewTable(members), tmfleet.NewTable(members), tmfleet.Config{}, nil))
	for _, e := range sim.entries {
		e.Install(sim.current())
	}
	return sim
}

func (sim *simulation) startEntry() *entry {
	n := len(sim.entries)
	clock := tmclock.NewManual(1000)
	e := &entry{name: fmt.Sprintf("e%d", n), alive: true, clock: clock, ratePercent: 100 + int64(n%2)}
	e.Tracker = New(e.name, clock, DefaultBounds())
	e.disabled = sim.disabled
	sim.entries = append(sim.entries, e)
	return e
}

// startNonMember starts an entry that has the current State and isn't a member.
func (sim *simulation) startNonMember() *simulation {
	sim.startEntry().Install(sim.current())
	return sim
}

func (sim *simulation) current() tmfleet.State { return sim.versions[len(sim.versions)-1] }

func (sim *simulation) advance(ms int64) {
	for _, e := range sim.entries {
		e.remainder += ms * e.ratePercent
		e.clock.Advance(tmclock.Span(e.remainder / 100))
		e.remainder %= 100
	}
}

// apply performs one step and returns an error when the property is violated.
func (sim *simulation) apply(s step) error {
	a, b := sim.entries[s.a%len(sim.entries)], sim.entries[s.b%len(sim.entries)]
	switch s.action {
	case 0, 1:
		sim.advance([]int64{1, 50, 200, 500, 900, 1500, 1999, 2001, 2050, 3000, 1, 30}[s.n])
	case 2, 3:
		sim.exchange(a, b)
	case 4:
		sim.send(a, message{kind: heartbeatRequest, from: a, to: b, sentAt: a.clock.Now()})
	case 5:
		if a.alive && s.n%2 == 0 {
			a.TableRead(a.clock.Now(), sim.current().Version())
			break
		}
		sim.send(a, message{kind: tableRequest, from: a, to: a, sentAt: a.clock.Now()})
	case 6, 7, 8, 9:
		sim.deliver(s.n+12*s.a, s.b%4 == 0)
	case 10:
		sim.write(a, a.State().Config(), a.State().Members(), false, s.n)
	case 11:
		sim.changeMembers(a, b, s.n)
	case 12:
		if s.n == 0 {
			a.alive = false
		}
	case 13:
		if !b.alive {
			a.MemberGone(b.name)
		}
	case 14:
		if s.n == 0 && len(sim.entries) < 7 {
			sim.startEntry()
		}
	case 15:
		sim.send(b, message{kind: statePush, from: b, to: a, version: b.State().Version()})
	}
	return sim.check()
}

func (sim *simulation) send(from *entry, m message) {
	if from.alive {
		sim.messages = append(sim.messages, m)
	}
}

// exchange is a heartbeat whose request and answer arrive at once.
func (sim *simulation) exchange(a, b *entry) {
	if a.alive && b.alive && a != b {
		a.HeartbeatAnswered(b.name, a.clock.Now(), b.State().Version())
	}
}

func (sim *simulation) deliver(i int, duplicate bool) {
	if len(sim.messages) == 0 {
		return
	}
	i %= len(sim.messages)
	m := sim.messages[i]
	if !duplicate {
		sim.messages = append(sim.messages[:i:i], sim.messages[i+1:]...)
	}
	if m.to.alive {
		sim.receive(m)
	}
}

func (sim *simulation) receive(m message) {
	switch m.kind {
	case heartbeatRequest:
		sim.messages = append(sim.messages, message{kind: heartbeatAnswer, from: m.to, to: m.from, sentAt: m.sentAt, version: m.to.State().Version()})
	case heartbeatAnswer:
		m.to.HeartbeatAnswered(m.from.name, m.sentAt, m.version)
	case tableRequest:
		sim.messages = append(sim.messages, message{kind: tableAnswer, to: m.to, sentAt: m.sentAt, version: sim.current().Version()})
	case tableAnswer:
		// Recording and installing are two steps; other steps may come between.
		m.to.TableRead(m.sentAt, m.version)
		sim.messages = append(sim.messages, message{kind: statePush, to: m.to, version: m.version})
	case statePush:
		m.to.Install(sim.versions[m.version])
	}
}

// write is the compare-and-set of the table. When its answer is lost, the
// writer receives its version later, like every other entry.
func (sim *simulation) write(a *entry, c tmfleet.Config, members tmfleet.Table[string, tmfleet.Member], membership bool, n int) {
	if !a.alive || a.State().Version() != sim.current().Version() || len(sim.versions) > 20 {
		return
	}
	next := a.State().Next("", c)
	if membership {
		next = a.State().NextMembers(members)
	}
	sim.versions = append(sim.versions, next)
	if n%4 != 0 {
		a.Install(next)
	}
	for _, e := range sim.entries {
		sim.send(a, message{kind: statePush, from: a, to: e, version: next.Version()})
	}
}

// changeMembers removes b if it is a member and adds it otherwise.
func (sim *simulation) changeMembers(a, b *entry, n int) {
	if !sim.skipInForceCheck && !a.InForce() {
		return
	}
	members := a.State().Members()
	if members.Has(b.name) {
		members = members.Without(b.name)
	} else {
		members = members.With(b.name, tmfleet.NewMember(b.name, b.name, "", ""))
	}
	if members.Len() > 0 {
		sim.write(a, a.State().Config(), members, true, n)
	}
}

// check verifies the property across all Trackers: no entry is fresh with a
// version below one that another entry has accepted as in force.
func (sim *simulation) check() error {
	for _, e := range sim.entries {
		if e.alive {
			sim.accepted = max(sim.accepted, e.InForceVersion())
		}
	}
	if sim.accepted > sim.current().Version() {
		return fmt.Errorf("version %d is accepted, the table has %d", sim.accepted, sim.current().Version())
	}
	for _, e := range sim.entries {
		if e.alive && e.Fresh() && e.State().Version() < sim.accepted {
			return fmt.Errorf("%s is fresh with version %d after %d was accepted", e.name, e.State().Version(), sim.accepted)
		}
	}
	return nil
}
