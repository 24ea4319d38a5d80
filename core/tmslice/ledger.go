package tmslice

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// Ledger tracks the units that one entry holds of each team's limit and how
// many of them are in use.
type Ledger struct {
	clock tmclock.Clock
	own   Row
	free  Row
	state tmfleet.State
	// inUse is the number of units in use by team, including quarantined ones.
	inUse map[string]int
	// quarantined has the units of attempts without an answer, by attempt ID.
	quarantined map[string]quarantinedUnit
	// lastRenewal is when the last lease or renewal was sent, by endpoint.
	lastRenewal map[string]tmclock.Millis
	pending     *Transfer
	onAvailable func(team string)
	// absentSince is when PlanReclaim first found that the owner of a row is no
	// longer a member, by the owner's incarnation.
	absentSince map[string]tmclock.Millis
	// ceilings limit the units in use per team while other entries are short
	// of units.
	ceilings map[string]int
	// disabled is empty outside tests.
	disabled disabledRules
}

// disabledRules names the safety rules that a test disables. Tests disable one
// rule at a time to check that the resulting violation is detected; no field is
// set outside tests.
type disabledRules struct {
	lowerAfterWrite       bool
	countBeforeRead       bool
	reclaimImmediately    bool
	acceptOldLimitVersion bool
	trustUnchangedRow     bool
	ignoreDraining        bool
	releaseOnTimeout      bool
}

// NewLedger returns the Ledger of the entry with the given incarnation. It
// holds no units until rows are installed. It calls onAvailable when a team may
// have unused units again; onAvailable may be nil.
func NewLedger(clock tmclock.Clock, incarnation string, onAvailable func(team string)) *Ledger {
	if onAvailable == nil {
		onAvailable = func(string) {}
	}
	return &Ledger{
		clock:       clock,
		own:         NewRow(incarnation, 0, Row{}.teams),
		free:        NewRow(Free, 0, Row{}.teams),
		inUse:       map[string]int{},
		quarantined: map[string]quarantinedUnit{},
		lastRenewal: map[string]tmclock.Millis{},
		onAvailable: onAvailable,
		absentSince: map[string]tmclock.Millis{},

		ceilings: map[string]int{},
	}
}

// Install updates the ledger with the State that the entry uses and with rows read
// from the table, in any order and number. It ignores rows of other entries, and
// any State or row that is not newer than the installed one.
func (l *Ledger) Install(state tmfleet.State, rows ...Row) {
	if state.Version() > l.state.Version() {
		l.state = state
	}
	for _, r := range rows {
		switch {
		case r.key == l.own.key && r.revision > l.own.revision:
			l.installOwnRow(r)
		case r.key == l.own.key && l.disabled.trustUnchangedRow && l.pending != nil && l.pending.uncertain:
			l.pending = nil
		case r.key == Free && r.revision > l.free.revision:
			l.free = r
		}
	}
	for name := range l.state.Config().Teams().All() {
		if l.Available(name) > 0 {
			l.onAvailable(name)
		}
	}
}

// installOwnRow also ends an uncertain transfer. The transaction of that transfer
// checks an older revision of the row, so it has been committed or never will be.
func (l *Ledger) installOwnRow(r Row) {
	l.own = r
	if l.pending != nil && l.pending.uncertain {
		l.pending = nil
	}
}

// Stale reports whether the ledger refuses to start tasks of the team until
// newer rows are read, because its rows are older than the limit in its State.
func (l *Ledger) Stale(team string) bool {
	t, ok := l.state.Config().Teams().Get(team)
	if !ok || l.disabled.acceptOldLimitVersion {
		return false
	}
	own, held := l.own.teams.Get(team)
	return held && own.LimitVersion < t.LimitVersion() ||
		l.free.Holding(team).LimitVersion < t.LimitVersion()
}

// Available returns the number of units that new tasks of the team may use.
func (l *Ledger) Available(team string) int {
	if !l.state.Config().Teams().Has(team) || l.Stale(team) {
		return 0
	}
	// Free is negative while the units of the entries, including draining ones,
	// exceed the limit. A new task could then exceed it too.
	if l.free.Holding(team).Held < 0 && !l.disabled.ignoreDraining {
		return 0
	}
	usable := l.usableUnits(team)
	if ceiling, ok := l.ceilings[team]; ok {
		usable = min(usable, ceiling)
	}
	return max(0, usable-l.inUse[team])
}

// Acquire takes one unit for a task that is about to start. It returns false
// when no unit is available.
func (l *Ledger) Acquire(team string) bool {
	if l.Available(team) == 0 {
		return false
	}
	l.inUse[team]++
	return true
}

// Release frees a unit after the complete answer of the task was received, or
// when the task was refused or never sent.
func (l *Ledger) Release(team string) {
	if l.inUse[team] == 0 {
		return
	}
	l.inUse[team]--
	if l.inUse[team] == 0 {
		delete(l.inUse, team)
	}
	if l.Available(team) > 0 {
		l.onAvailable(team)
	}
}

// InUse returns the units in use, including those in quarantine.
func (l *Ledger) InUse(team string) int { return l.inUse[team] }

// OwnRow returns the row of this entry as last read or written.
func (l *Ledger) OwnRow() Row { return l.own }

// usableUnits returns the held units of the own row without those that the
// pending transfer gives away.
func (l *Ledger) usableUnits(team string) int {
	held := l.own.Holding(team).Held
	if l.pending == nil {
		return held
	}
	if l.disabled.countBeforeRead {
		held += l.pending.taken[team]
	}
	if l.disabled.lowerAfterWrite {
		return held
	}
	return held - l.pending.given[team]
}
