package tmfresh

import (
	"slices"
	"sync"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// Tracker holds the State that an entry has installed and what the entry knows
// about the table and about the other members. It is safe for concurrent use.
// It does no I/O and starts no goroutine: its caller reads the table, sends the
// heartbeats and records the results, in particular when each request was sent.
type Tracker struct {
	self   string
	clock  tmclock.Clock
	bounds Bounds
	// disabled is empty outside tests.
	disabled ruleSet

	mu        sync.Mutex
	state     tmfleet.State
	table     tableRead
	reports   map[string]report
	gone      map[string]bool
	firstSeen map[string]tmclock.Millis
	pending   []pendingVersion
	inForce   uint64
	lastCall  tmclock.Millis
	// observedSince is when the current period without a pause of this process
	// began.
	observedSince tmclock.Millis
}

// tableRead is the latest read of the current row of the table.
type tableRead struct {
	ok      bool
	sentAt  tmclock.Millis
	version uint64
}

// report is what a member reported about itself. The fields sentAt and version
// belong to the answer to the latest request, receivedAt is the time of the
// last answer, and highestVersion is the highest version of all answers.
type report struct {
	sentAt         tmclock.Millis
	version        uint64
	receivedAt     tmclock.Millis
	highestVersion uint64
}

// New returns a Tracker with the empty State for the entry process whose
// incarnation is self.
func New(self string, clock tmclock.Clock, bounds Bounds) *Tracker {
	now := clock.Now()
	return &Tracker{
		self:          self,
		clock:         clock,
		bounds:        bounds,
		reports:       map[string]report{},
		gone:          map[string]bool{},
		firstSeen:     map[string]tmclock.Millis{},
		lastCall:      now,
		observedSince: now,
	}
}

// Install replaces the State if s has a higher version, and reports whether it
// did. The installed version never decreases.
func (t *Tracker) Install(s tmfleet.State) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.observe()
	if s.Version() <= t.state.Version() {
		return false
	}
	t.state = s
	t.pending = append(t.pending, newPendingVersion(s))
	if len(t.pending) > maxPendingVersions {
		t.pending = slices.Delete(t.pending, 0, 1)
	}
	t.updateTracked(now)
	t.updateInForce(now)
	return true
}

// State returns the installed State.
func (t *Tracker) State() tmfleet.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state
}

// TableRead records that a read of the table's current row, which was sent at
// sentAt, returned the given version. If the version is higher than the installed
// one, the caller installs it before or after this call.
func (t *Tracker) TableRead(sentAt tmclock.Millis, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.observe()
	sentAt = t.requestTime(sentAt, now)
	if t.table.ok && sentAt < t.table.sentAt {
		return
	}
	t.table = tableRead{ok: true, sentAt: sentAt, version: version}
}

// HeartbeatAnswered records that the member process with the given incarnation
// answered a heartbeat (or any other request that returns its version) that was
// sent at sentAt, and which version it had installed. The answer also
// acknowledges that version and all lower ones.
func (t *Tracker) HeartbeatAnswered(incarnation string, sentAt tmclock.Millis, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.observe()
	sentAt = t.requestTime(sentAt, now)
	r, ok := t.reports[incarnation]
	if !ok || sentAt >= r.sentAt {
		r.sentAt = sentAt
		r.version = version
	}
	r.receivedAt = now
	r.highestVersion = max(r.highestVersion, version)
	t.reports[incarnation] = r
	t.updateInForce(now)
}

// MemberGone records that the process with the given incarnation no longer
// runs: its instance is missing from the instance list, or its address answers
// with another incarnation. The call has no effect for a process that is not a
// member in the installed State or in a version that is not yet in force, so
// callers repeat it after each read of the list.
func (t *Tracker) MemberGone(incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.observe()
	if _, ok := t.firstSeen[incarnation]; !ok || incarnation == t.self {
		return
	}
	t.gone[incarnation] = true
	t.updateInForce(now)
}

// Fresh reports whether the entry may start tasks, accept keys and renew
// endpoint leases on the basis of its State.
func (t *Tracker) Fresh() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.observe()
	until, ok := t.freshUntil(now)
	return ok && now < until
}

// FreshUntil returns the time at which freshness expires unless another answer
// or table read extends it. It returns false when the entry has never been
// fresh with its State.
func (t *Tracker) FreshUntil() (tmclock.Millis, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshUntil(t.observe())
}

// InForce reports whether the installed version is in force. Only then may the
// entry write a membership change.
func (t *Tracker) InForce() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateInForce(t.observe())
	return t.inForce == t.state.Version()
}

// InForceVersion returns the highest version that is known to be in force. No
// fresh entry uses a lower one.
func (t *Tracker) InForceVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateInForce(t.observe())
	return t.inForce
}

// SilentMembers returns the members, except the entry itself, that have
// answered nothing for at least the given time, in the order of their
// incarnations. It returns none while the entry has no answers from a majority:
// an entry that is partitioned from its peers but reads the table would
// otherwise remove all other members.
func (t *Tracker) SilentMembers(timeout tmclock.Span) []tmfleet.Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.observe()
	until, ok := t.quorumFreshUntil(now)
	if !ok || now >= until {
		return nil
	}
	var silent []tmfleet.Member
	for incarnation, m := range t.state.Members().All() {
		if incarnation != t.self && now.Sub(t.silentSince(incarnation)) >= timeout {
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

// silentSince returns the time since which a member has not answered. It is
// never before the last pause of this process.
func (t *Tracker) silentSince(incarnation string) tmclock.Millis {
	return max(t.reports[incarnation].receivedAt, t.firstSeen[incarnation], t.observedSince)
}

// observe returns the current time and detects pauses of this process.
func (t *Tracker) observe() tmclock.Millis {
	now := t.clock.Now()
	if now.Sub(t.lastCall) > maxObservationGap {
		t.observedSince = now
	}
	t.lastCall = now
	return now
}

// requestTime returns the time from which freshness counts. A request can't
// have been sent in the future.
func (t *Tracker) requestTime(sentAt, now tmclock.Millis) tmclock.Millis {
	if t.disabled.has(ruleRequestTime) {
		return now
	}
	return min(sentAt, now)
}

func (t *Tracker) freshUntil(now tmclock.Millis) (tmclock.Millis, bool) {
	if !t.state.Members().Has(t.self) && !t.disabled.has(ruleMembersOnly) {
		return 0, false
	}
	byTable, okTable := t.tableFreshUntil()
	byQuorum, okQuorum := t.quorumFreshUntil(now)
	switch {
	case okTable && okQuorum:
		return max(byTable, byQuorum), true
	case okTable:
		return byTable, true
	default:
		return byQuorum, okQuorum
	}
}

func (t *Tracker) tableFreshUntil() (tmclock.Millis, bool) {
	if !t.table.ok {
		return 0, false
	}
	if t.table.version != t.state.Version() && !t.disabled.has(ruleTableVersion) {
		return 0, false
	}
	return t.table.sentAt.Add(t.bounds.fresh), true
}

// quorumFreshUntil returns how long the answers of a majority keep the entry
// fresh: F from when the oldest request that the majority needs was sent.
func (t *Tracker) quorumFreshUntil(now tmclock.Millis) (tmclock.Millis, bool) {
	members := t.state.Members()
	if !members.Has(t.self) {
		return 0, false
	}
	needed := majority(members.Len()) - 1
	if t.disabled.has(ruleMajority) {
		needed = min(needed, 1)
	}
	if needed == 0 {
		return now.Add(t.bounds.fresh), true
	}
	sentTimes := t.answeredRequestTimes(members)
	if len(sentTimes) < needed {
		return 0, false
	}
	slices.Sort(sentTimes)
	return sentTimes[len(sentTimes)-needed].Add(t.bounds.fresh), true
}

// answeredRequestTimes returns the send times of the requests that members
// answered with a version not higher than the installed one.
func (t *Tracker) answeredRequestTimes(members tmfleet.Table[string, tmfleet.Member]) []tmclock.Millis {
	sentTimes := make([]tmclock.Millis, 0, members.Len())
	for incarnation, r := range t.reports {
		if incarnation == t.self || !members.Has(incarnation) {
			continue
		}
		if r.version > t.state.Version() && !t.disabled.has(ruleAnswerVersion) {
			continue
		}
		sentTimes = append(sentTimes, r.sentAt)
	}
	return sentTimes
}

// updateTracked deletes the records of processes that are members neither in the
// installed State nor in a version that is not yet in force. It records when each
// other process was first seen as a member.
func (t *Tracker) updateTracked(now tmclock.Millis) {
	known := t.knownIncarnations()
	for incarnation := range t.reports {
		if !known[incarnation] {
			delete(t.reports, incarnation)
		}
	}
	for incarnation := range t.firstSeen {
		if !known[incarnation] {
			delete(t.firstSeen, incarnation)
			delete(t.gone, incarnation)
		}
	}
	for incarnation := range known {
		if _, ok := t.firstSeen[incarnation]; !ok {
			t.firstSeen[incarnation] = now
		}
	}
}

// knownIncarnations returns the incarnations in the installed State and in the
// versions that are not yet in force.
func (t *Tracker) knownIncarnations() map[string]bool {
	known := map[string]bool{}
	for _, table := range []tmfleet.Table[string, tmfleet.Member]{t.state.Members(), t.state.PreviousMembers()} {
		for incarnation := range table.All() {
			known[incarnation] = true
		}
	}
	for _, p := range t.pending {
		for _, incarnation := range slices.Concat(p.members, p.previous) {
			known[incarnation] = true
		}
	}
	return known
}
