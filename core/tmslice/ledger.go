package tmslice

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// Ledger tracks the units that one entry holds of each team's limit and how
// many of them are in use.
type Ledger struct {
	clock       tmclock.Clock
	own         Row
	free        Row
	state       tmfleet.State
	inUse       map[string]int
	quarantined map[string]quarantinedUnit
	lastRenewal map[string]tmclock.Millis
	pending     *Transfer
	onAvailable func(team string)
	absentSince map[string]tmclock.Millis
	// ceilings limit the units in use per team while other entries are short
	// of units.
	ceilings  map[string]int
	mutations mutations
}

// mutations disable single safety rules of the ledger. Tests set one at a time
// to check that the violation is detected; all are false outside tests.
type mutations struct {
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

// Install updates the ledger with the State of the entry and with rows read
// from the table, in any order and number. It ignores rows of other entries and
// everything older than what is already installed.
func (l *Ledger) Install(state tmfleet.State, rows ...Row) {
	if state.Version() > l.state.Version() {
		l.state = state
	}
	for _, r := range rows {
		switch {
		case r.key == l.own.key && r.revision > l.own.revision:
			l.installOwnRow(r)
		case r.key == l.own.key && l.mutations.trustUnchangedRow && l.pending != nil && l.pending.uncertain:
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

// installOwnRow also ends an uncertain transfer: its transaction checks an
// older revision of the row, so it has either been committed or always fails.
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
	if !ok || l.mutations.acceptOldLimitVersion {
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
	if l.free.Holding(team).Held < 0 && !l.mutations.ignoreDraining {
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
	if l.mutations.countBeforeRead {
		held += l.pending.taken[team]
	}
	if l.mutations.lowerAfterWrite {
		return held
	}
	return held - l.pending.given[team]
}
