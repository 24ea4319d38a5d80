package tmfresh

import (
	"slices"
	"sync"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// Tracker holds the State that an entry has installed and what the entry has
// learned about the table and about the other members. It is safe for
// concurrent use. It starts nothing: its caller reads the table, sends the
// heartbeats and tells the Tracker the results, and in particular when each
// question was sent.
type Tracker struct {
	self   string
	clock  tmclock.Clock
	bounds Bounds
	off    ruleSet

	mu       sync.Mutex
	state    tmfleet.State
	table    tableRead
	reports  map[string]report
	gone     map[string]bool
	known    map[string]tmclock.Millis
	pending  []claim
	inForce  uint64
	lastCall tmclock.Millis
	observed tmclock.Millis
}

// tableRead is the latest read of the current row of the table.
type tableRead struct {
	ok      bool
	sentAt  tmclock.Millis
	version uint64
}

// report is what a member said about itself.
type report struct {
	sentAt  tmclock.Millis
	version uint64
	heardAt tmclock.Millis
	highest uint64
}

// New returns a Tracker with the empty State for the entry process with the
// given incarnation.
func New(self string, clock tmclock.Clock, bounds Bounds) *Tracker {
	now := clock.Now()
	return &Tracker{
		self:     self,
		clock:    clock,
		bounds:   bounds,
		reports:  map[string]report{},
		gone:     map[string]bool{},
		known:    map[string]tmclock.Millis{},
		lastCall: now,
		observed: now,
	}
}

// Install replaces the State if s has a higher version, and reports whether it
// did. Installed versions only rise.
func (t *Tracker) Install(s tmfleet.State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.touch()
	if s.Version() <= t.state.Version() {
		return false
	}
	t.state = s
	t.pending = append(t.pending, newClaim(s))
	if len(t.pending) > maxClaims {
		t.pending = slices.Delete(t.pending, 0, 1)
	}
	t.forget(now)
	t.settle(now)
	return true
}

// State returns the installed State.
func (t *Tracker) State() tmfleet.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// TableRead records that a read of the current row, begun at sentAt, returned
// the given version. The caller installs a higher version; it may do so before
// or after this call.
func (t *Tracker) TableRead(sentAt tmclock.Millis, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.touch()
	sentAt = t.questionTime(sentAt, now)
	if t.table.ok && sentAt < t.table.sentAt {
		return
	}
	t.table = tableRead{ok: true, sentAt: sentAt, version: version}
}

// HeartbeatAnswered records that the member process with the given incarnation
// answered a heartbeat (or any other question that returns its version) that
// was sent at sentAt, and which version it had installed. The answer also
// acknowledges that version and all lower ones.
func (t *Tracker) HeartbeatAnswered(incarnation string, sentAt tmclock.Millis, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.touch()
	sentAt = t.questionTime(sentAt, now)
	r, ok := t.reports[incarnation]
	if !ok || sentAt >= r.sentAt {
		r.sentAt = sentAt
		r.version = version
	}
	r.heardAt = now
	r.highest = max(r.highest, version)
	t.reports[incarnation] = r
	t.settle(now)
}

// MemberGone records that the process with the given incarnation no longer
// runs: the instance list no longer has its instance, or its address answers
// with another incarnation. It has no effect for a process that no State of
// this Tracker names, so callers repeat it after each read of the list.
func (t *Tracker) MemberGone(incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.touch()
	if _, ok := t.known[incarnation]; !ok || incarnation == t.self {
		return
	}
	t.gone[incarnation] = true
	t.settle(now)
}

// Fresh reports whether the entry may start tasks, accept keys and renew
// endpoint leases by its State.
func (t *Tracker) Fresh() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.touch()
	until, ok := t.freshUntil(now)
	return ok && now < until
}

// FreshUntil returns the time at which the entry stops being fresh unless it
// learns more. It returns false when the entry has never been fresh with its
// State.
func (t *Tracker) FreshUntil() (tmclock.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshUntil(t.touch())
}

// InForce reports whether the installed version is in force. Only then may
// the entry write a change of membership.
func (t *Tracker) InForce() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(t.touch())
	return t.inForce == t.state.Version()
}

// InForceVersion returns the highest version that is known to be in force. No
// fresh entry uses a lower one.
func (t *Tracker) InForceVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.settle(t.touch())
	return t.inForce
}

// SilentMembers returns the members, except the entry itself, that have
// answered nothing for at least the given time, in the order of their
// incarnations. It returns none while the entry hears no majority: an entry
// that is cut off from its peers but reads the table would otherwise remove
// everybody else.
func (t *Tracker) SilentMembers(since tmclock.Span) []tmfleet.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.touch()
	until, ok := t.quorumUntil(now)
	if !ok || now >= until {
		return nil
	}
	var silent []tmfleet.Member
	for incarnation, m := range t.state.Members().All() {
		if incarnation != t.self && now.Sub(t.lastSign(incarnation)) >= since {
			silent = append(silent, m)
		}
	}
	return silent
}

// GoneMembers returns the members that are known to be gone, in the order of
// their incarnations.
func (t *Tracker) GoneMembers() []tmfleet.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []tmfleet.Member
	for incarnation, m := range t.state.Members().All() {
		if t.gone[incarnation] {
			out = append(out, m)
		}
	}
	return out
}

// lastSign returns the time from which the silence of a member counts.
func (t *Tracker) lastSign(incarnation string) tmclock.Millis {
	return max(t.reports[incarnation].heardAt, t.known[incarnation], t.observed)
}

// touch returns the present time and notices pauses of this process.
func (t *Tracker) touch() tmclock.Millis {
	now := t.clock.Now()
	if now.Sub(t.lastCall) > observationGap {
		t.observed = now
	}
	t.lastCall = now
	return now
}

// questionTime returns the time from which freshness counts. A question can't
// have been sent in the future.
func (t *Tracker) questionTime(sentAt, now tmclock.Millis) tmclock.Millis {
	if t.off.has(ruleQuestionTime) {
		return now
	}
	return min(sentAt, now)
}

func (t *Tracker) freshUntil(now tmclock.Millis) (tmclock.Millis, bool) {
	if !t.state.Members().Has(t.self) && !t.off.has(ruleMembersOnly) {
		return 0, false
	}
	byTable, okTable := t.tableUntil()
	byQuorum, okQuorum := t.quorumUntil(now)
	switch {
	case okTable && okQuorum:
		return max(byTable, byQuorum), true
	case okTable:
		return byTable, true
	default:
		return byQuorum, okQuorum
	}
}

func (t *Tracker) tableUntil() (tmclock.Millis, bool) {
	if !t.table.ok {
		return 0, false
	}
	if t.table.version != t.state.Version() && !t.off.has(ruleTableVersion) {
		return 0, false
	}
	return t.table.sentAt.Add(t.bounds.fresh), true
}

// quorumUntil returns how long the answers of a majority keep the entry fresh:
// F from the sending of the oldest question that the majority needs.
func (t *Tracker) quorumUntil(now tmclock.Millis) (tmclock.Millis, bool) {
	members := t.state.Members()
	if !members.Has(t.self) {
		return 0, false
	}
	needed := majority(members.Len()) - 1
	if t.off.has(ruleMajority) {
		needed = min(needed, 1)
	}
	if needed == 0 {
		return now.Add(t.bounds.fresh), true
	}
	asked := t.countedAnswers(members)
	if len(asked) < needed {
		return 0, false
	}
	slices.Sort(asked)
	return asked[len(asked)-needed].Add(t.bounds.fresh), true
}

// countedAnswers returns the times at which the questions were sent that
// members answered with a version not above the installed one.
func (t *Tracker) countedAnswers(members tmfleet.Table[string, tmfleet.Member]) []tmclock.Millis {
	asked := make([]tmclock.Millis, 0, members.Len())
	for incarnation, r := range t.reports {
		if incarnation == t.self || !members.Has(incarnation) {
			continue
		}
		if r.version > t.state.Version() && !t.off.has(ruleAnswerVersion) {
			continue
		}
		asked = append(asked, r.sentAt)
	}
	return asked
}

// forget drops what is recorded about processes that no State in use names,
// and notes when a member was first seen.
func (t *Tracker) forget(now tmclock.Millis) {
	names := t.names()
	for incarnation := range t.reports {
		if !names[incarnation] {
			delete(t.reports, incarnation)
		}
	}
	for incarnation := range t.known {
		if !names[incarnation] {
			delete(t.known, incarnation)
			delete(t.gone, incarnation)
		}
	}
	for incarnation := range names {
		if _, ok := t.known[incarnation]; !ok {
			t.known[incarnation] = now
		}
	}
}

// names returns the incarnations in the installed State and in the versions
// that are not yet in force.
func (t *Tracker) names() map[string]bool {
	names := map[string]bool{}
	for _, table := range []tmfleet.Table[string, tmfleet.Member]{t.state.Members(), t.state.PreviousMembers()} {
		for incarnation := range table.All() {
			names[incarnation] = true
		}
	}
	for _, c := range t.pending {
		for _, incarnation := range slices.Concat(c.members, c.previous) {
			names[incarnation] = true
		}
	}
	return names
}
