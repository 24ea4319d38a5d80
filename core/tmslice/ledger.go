package tmslice

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// Ledger has the slices that one entry holds and the units it has in use.
type Ledger struct {
	clock  tmclock.Clock
	own    Row
	free   Row
	state  tmfleet.State
	inUse  map[string]int
	doubts map[string]doubt
	sent   map[string]tmclock.Millis
	out    *Transfer
	onGain func(team string)
	absent map[string]tmclock.Millis
	// ceilings bound what is used of a team's units while others lack some.
	ceilings map[string]int
	rules    rules
}

// rules are the safety rules of the ledger. The negative controls of the tests
// switch them off one by one.
type rules struct {
	lowerAfterWrite  bool
	countBeforeRead  bool
	reclaimAtOnce    bool
	countOldVersion  bool
	trustReadBack    bool
	ignoreDraining   bool
	releaseOnTimeout bool
}

// NewLedger returns the Ledger of the entry with the given incarnation. It
// holds nothing until rows are installed. A Ledger that calls onGain does so
// when a team without unused units may have some again; onGain may be nil.
func NewLedger(clock tmclock.Clock, incarnation string, onGain func(team string)) *Ledger {
	if onGain == nil {
		onGain = func(string) {}
	}
	return &Ledger{
		clock:  clock,
		own:    NewRow(incarnation, 0, Row{}.teams),
		free:   NewRow(Free, 0, Row{}.teams),
		inUse:  map[string]int{},
		doubts: map[string]doubt{},
		sent:   map[string]tmclock.Millis{},
		onGain: onGain,
		absent: map[string]tmclock.Millis{},

		ceilings: map[string]int{},
	}
}

// Install takes the State of the entry and rows as read from the table, in any
// order and number; rows of other entries are ignored, and so is everything
// older than what is installed already.
func (l *Ledger) Install(state tmfleet.State, rows ...Row) {
	if state.Version() > l.state.Version() {
		l.state = state
	}
	for _, r := range rows {
		switch {
		case r.key == l.own.key && r.revision > l.own.revision:
			l.installOwn(r)
		case r.key == l.own.key && l.rules.trustReadBack && l.out != nil && l.out.uncertain:
			l.out = nil
		case r.key == Free && r.revision > l.free.revision:
			l.free = r
		}
	}
	for name := range l.state.Config().Teams().All() {
		if l.Available(name) > 0 {
			l.onGain(name)
		}
	}
}

// installOwn also settles a transfer in doubt: its transaction has checked an
// older revision of the row, so it has either been written or never will be.
func (l *Ledger) installOwn(r Row) {
	l.own = r
	if l.out != nil && l.out.uncertain {
		l.out = nil
	}
}

// Stale reports whether the ledger refuses new starts of the team until newer
// rows are read, because they are older than the limit in its State.
func (l *Ledger) Stale(team string) bool {
	t, ok := l.state.Config().Teams().Get(team)
	if !ok || l.rules.countOldVersion {
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
	if l.free.Holding(team).Held < 0 && !l.rules.ignoreDraining {
		return 0
	}
	usable := l.holding(team)
	if ceiling, ok := l.ceilings[team]; ok {
		usable = min(usable, ceiling)
	}
	return max(0, usable-l.inUse[team])
}

// Acquire takes one unit for a task that is about to start. Without unused
// units it returns false.
func (l *Ledger) Acquire(team string) bool {
	if l.Available(team) == 0 {
		return false
	}
	l.inUse[team]++
	return true
}

// Release returns a unit after the complete answer of the task, or when the
// task was refused or never sent.
func (l *Ledger) Release(team string) {
	if l.inUse[team] == 0 {
		return
	}
	l.inUse[team]--
	if l.inUse[team] == 0 {
		delete(l.inUse, team)
	}
	if l.Available(team) > 0 {
		l.onGain(team)
	}
}

// InUse returns the units in use, including those in quarantine.
func (l *Ledger) InUse(team string) int { return l.inUse[team] }

// Own returns the row of this entry as last read or written.
func (l *Ledger) Own() Row { return l.own }

// holding is what the entry may count on: the row without the units that it
// is giving away.
func (l *Ledger) holding(team string) int {
	held := l.own.Holding(team).Held
	if l.out == nil {
		return held
	}
	if l.rules.countBeforeRead {
		held += l.out.taken[team]
	}
	if l.rules.lowerAfterWrite {
		return held
	}
	return held - l.out.given[team]
}
