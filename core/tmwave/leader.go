package tmwave

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
)

const (
	// RaiseEvery is how often the leader raises the counter.
	RaiseEvery = 2 * tmclock.Second
	// takeoverAfter is how long the counter has to stand still, on the own
	// clock, before another entry takes over.
	takeoverAfter = 10 * tmclock.Second
	// actFor is how long after its last raise a leader carries out steps. It
	// is below takeoverAfter by more than the clock rates differ.
	actFor = 6 * tmclock.Second
	// RowsKept is the number of wave rows that are kept.
	RowsKept = 32
)

// Lease is the part of a wave row that names the leader.
type Lease struct {
	Leader  string
	Counter uint64
}

// Leader watches the lease of one wave for one entry. It is not safe for
// concurrent use.
type Leader struct {
	self   string
	clock  tmclock.Clock
	seen   Lease
	since  tmclock.Millis
	raised tmclock.Millis
	known  bool

	// wait and act are takeoverAfter and actFor, except in negative controls.
	wait, act tmclock.Span
}

// NewLeader returns a Leader for the entry with the given incarnation.
func NewLeader(self string, clock tmclock.Clock) *Leader {
	return &Leader{self: self, clock: clock, wait: takeoverAfter, act: actFor}
}

// Observe notes the lease as it was read from the wave row. It returns the
// lease to write by compare-and-set on the row's revision, and whether one is
// to be written: the own lease with a raised counter, or a takeover. A lease
// without a leader is taken at once.
func (l *Leader) Observe(row Lease) (Lease, bool) {
	now := l.clock.Now()
	if !l.known || row != l.seen {
		l.known = true
		l.seen = row
		l.since = now
	}
	next := Lease{Leader: l.self, Counter: row.Counter + 1}
	switch row.Leader {
	case "":
		return next, true
	case l.self:
		return next, l.raised == 0 || now.Sub(l.raised) >= RaiseEvery
	default:
		return next, now.Sub(l.since) >= l.wait
	}
}

// Wrote notes that the own lease was committed by a transaction that was sent
// at the given time.
func (l *Leader) Wrote(lease Lease, sent tmclock.Millis) {
	l.known = true
	l.seen = lease
	l.since = sent
	l.raised = sent
}

// MayAct reports whether this entry carries out steps: it leads and its last
// raise is recent. A paused leader finds out here before it reads the row.
func (l *Leader) MayAct() bool {
	return l.known && l.seen.Leader == l.self && l.raised != 0 && l.clock.Now().Sub(l.raised) <= l.act
}

// RowAge is a wave row with the wall time of its creation.
type RowAge struct {
	Name    string
	Created tmclock.Millis
	Ended   bool
}

// Surplus returns the names of the rows to delete, oldest first, so that
// RowsKept remain. Waves that have not ended are kept.
func Surplus(rows []RowAge) []string {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b RowAge) int {
		return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.Name, b.Name))
	})
	var out []string
	for _, r := range sorted {
		if len(rows)-len(out) <= RowsKept {
			break
		}
		if r.Ended {
			out = append(out, r.Name)
		}
	}
	return out
}
