package tmfresh

import (
	"fmt"

	"pgregory.net/rapid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// step is one drawn step of a run. The numbers are taken modulo what they
// choose from.
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

// entry is a process with a Tracker and a clock of its own rate.
type entry struct {
	name    string
	alive   bool
	clock   *tmclock.Manual
	percent int64
	rest    int64
	*Tracker
}

type kind int

const (
	question kind = iota
	answer
	tableQuestion
	tableAnswer
	push
)

// message is on its way. A message may be delivered late, twice or never.
type message struct {
	kind     kind
	from, to *entry
	sentAt   tmclock.Millis
	version  uint64
}

// fleet is some entries, the table and the messages between them.
type fleet struct {
	off      ruleSet
	entries  []*entry
	versions []tmfleet.State
	messages []message
	accepted uint64
	freely   bool // membership changes don't wait for the earlier version
}

func newFleet(off ruleSet, freely bool, size int) *fleet {
	f := &fleet{off: off, freely: freely, versions: []tmfleet.State{{}}}
	members := map[string]tmfleet.Member{}
	for range size {
		e := f.boot()
		members[e.name] = tmfleet.NewMember(e.name, e.name, "", "")
	}
	f.versions = append(f.versions, tmfleet.NewState(1, tmfleet.NewTable(members), tmfleet.NewTable(members), tmfleet.Config{}, nil))
	for _, e := range f.entries {
		e.Install(f.current())
	}
	return f
}

func (f *fleet) boot() *entry {
	n := len(f.entries)
	clock := tmclock.NewManual(1000)
	e := &entry{name: fmt.Sprintf("e%d", n), alive: true, clock: clock, percent: 100 + int64(n%2)}
	e.Tracker = New(e.name, clock, DefaultBounds())
	e.off = f.off
	f.entries = append(f.entries, e)
	return e
}

// bootJoiner starts an entry that has the current State and is no member.
func (f *fleet) bootJoiner() *fleet {
	f.boot().Install(f.current())
	return f
}

func (f *fleet) current() tmfleet.State { return f.versions[len(f.versions)-1] }

func (f *fleet) advance(ms int64) {
	for _, e := range f.entries {
		e.rest += ms * e.percent
		e.clock.Advance(tmclock.Span(e.rest / 100))
		e.rest %= 100
	}
}

// apply does one step and returns an error when the property is violated.
func (f *fleet) apply(s step) error {
	a, b := f.entries[s.a%len(f.entries)], f.entries[s.b%len(f.entries)]
	switch s.action {
	case 0, 1:
		f.advance([]int64{1, 50, 200, 500, 900, 1500, 1999, 2001, 2050, 3000, 1, 30}[s.n])
	case 2, 3:
		f.exchange(a, b)
	case 4:
		f.send(a, message{kind: question, from: a, to: b, sentAt: a.clock.Now()})
	case 5:
		if a.alive && s.n%2 == 0 {
			a.TableRead(a.clock.Now(), f.current().Version())
			break
		}
		f.send(a, message{kind: tableQuestion, from: a, to: a, sentAt: a.clock.Now()})
	case 6, 7, 8, 9:
		f.deliver(s.n+12*s.a, s.b%4 == 0)
	case 10:
		f.write(a, a.State().Config(), a.State().Members(), false, s.n)
	case 11:
		f.changeMembers(a, b, s.n)
	case 12:
		if s.n == 0 {
			a.alive = false
		}
	case 13:
		if !b.alive {
			a.MemberGone(b.name)
		}
	case 14:
		if s.n == 0 && len(f.entries) < 7 {
			f.boot()
		}
	case 15:
		f.send(b, message{kind: push, from: b, to: a, version: b.State().Version()})
	}
	return f.check()
}

func (f *fleet) send(from *entry, m message) {
	if from.alive {
		f.messages = append(f.messages, m)
	}
}

// exchange is a heartbeat whose question and answer arrive at once.
func (f *fleet) exchange(a, b *entry) {
	if a.alive && b.alive && a != b {
		a.HeartbeatAnswered(b.name, a.clock.Now(), b.State().Version())
	}
}

func (f *fleet) deliver(i int, again bool) {
	if len(f.messages) == 0 {
		return
	}
	i %= len(f.messages)
	m := f.messages[i]
	if !again {
		f.messages = append(f.messages[:i:i], f.messages[i+1:]...)
	}
	if m.to.alive {
		f.receive(m)
	}
}

func (f *fleet) receive(m message) {
	switch m.kind {
	case question:
		f.messages = append(f.messages, message{kind: answer, from: m.to, to: m.from, sentAt: m.sentAt, version: m.to.State().Version()})
	case answer:
		m.to.HeartbeatAnswered(m.from.name, m.sentAt, m.version)
	case tableQuestion:
		f.messages = append(f.messages, message{kind: tableAnswer, to: m.to, sentAt: m.sentAt, version: f.current().Version()})
	case tableAnswer:
		// Installing and recording are two steps; a pause may come between.
		m.to.TableRead(m.sentAt, m.version)
		f.messages = append(f.messages, message{kind: push, to: m.to, version: m.version})
	case push:
		m.to.Install(f.versions[m.version])
	}
}

// write is the compare-and-set. When its answer is lost, the writer learns of
// its version later, like everybody else.
func (f *fleet) write(a *entry, c tmfleet.Config, members tmfleet.Table[string, tmfleet.Member], membership bool, n int) {
	if !a.alive || a.State().Version() != f.current().Version() || len(f.versions) > 20 {
		return
	}
	next := a.State().Next("", c)
	if membership {
		next = a.State().NextMembers(members)
	}
	f.versions = append(f.versions, next)
	if n%4 != 0 {
		a.Install(next)
	}
	for _, e := range f.entries {
		f.send(a, message{kind: push, from: a, to: e, version: next.Version()})
	}
}

// changeMembers adds b or removes it.
func (f *fleet) changeMembers(a, b *entry, n int) {
	if !f.freely && !a.InForce() {
		return
	}
	members := a.State().Members()
	if members.Has(b.name) {
		members = members.Without(b.name)
	} else {
		members = members.With(b.name, tmfleet.NewMember(b.name, b.name, "", ""))
	}
	if members.Len() > 0 {
		f.write(a, a.State().Config(), members, true, n)
	}
}

// check looks at the property from outside of the Trackers: what one of them
// accepted, no other may contradict.
func (f *fleet) check() error {
	for _, e := range f.entries {
		if e.alive {
			f.accepted = max(f.accepted, e.InForceVersion())
		}
	}
	if f.accepted > f.current().Version() {
		return fmt.Errorf("version %d is accepted, the table has %d", f.accepted, f.current().Version())
	}
	for _, e := range f.entries {
		if e.alive && e.Fresh() && e.State().Version() < f.accepted {
			return fmt.Errorf("%s is fresh with version %d after %d was accepted", e.name, e.State().Version(), f.accepted)
		}
	}
	return nil
}
