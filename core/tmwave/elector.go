package tmwave

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
)

const (
	// RenewInterval is how often the leader renews its lease by raising the
	// counter.
	RenewInterval = 2 * tmclock.Second
	// defaultLeaseDuration is how long the counter must stay unchanged, on the
	// clock of the observing entry, before that entry takes over.
	defaultLeaseDuration = 10 * tmclock.Second
	// defaultRenewDeadline is how long after its last renewal a leader carries
	// out steps. It is shorter than defaultLeaseDuration by more than the largest
	// difference between two clocks over that time, so that a leader stops before
	// another entry takes over.
	defaultRenewDeadline = 6 * tmclock.Second
	// RetainedRows is the number of wave rows that RowsToDelete retains.
	RetainedRows = 32
)

// Lease is the part of a wave row that names the leader. The leader raises
// Counter with each renewal.
type Lease struct {
	Leader  string
	Counter uint64
}

// Elector takes part in the leader election of one wave on behalf of one entry.
// It is not safe for concurrent use.
type Elector struct {
	self      string
	clock     tmclock.Clock
	last      Lease
	changedAt tmclock.Millis
	renewedAt tmclock.Millis
	hasLast   bool

	// Only negative controls in tests change these two from their defaults.
	leaseDuration, renewDeadline tmclock.Span
}

// NewElector returns an Elector for the entry whose incarnation, the ID of one
// start of its process, is self.
func NewElector(self string, clock tmclock.Clock) *Elector {
	return &Elector{self: self, clock: clock, leaseDuration: defaultLeaseDuration, renewDeadline: defaultRenewDeadline}
}

// Observe records the lease that was read from the wave row. It returns the
// lease to write by compare-and-set on the row's revision and whether to write
// it. The write either renews the entry's own lease or takes over an expired
// one. A lease without a leader is taken over at once.
func (e *Elector) Observe(row Lease) (Lease, bool) {
	now := e.clock.Now()
	if !e.hasLast || row != e.last {
		e.hasLast = true
		e.last = row
		e.changedAt = now
	}
	next := Lease{Leader: e.self, Counter: row.Counter + 1}
	switch row.Leader {
	case "":
		return next, true
	case e.self:
		return next, e.renewedAt == 0 || now.Sub(e.renewedAt) >= RenewInterval
	default:
		return next, now.Sub(e.changedAt) >= e.leaseDuration
	}
}

// Committed records that a transaction sent at the given time wrote this
// entry's lease.
func (e *Elector) Committed(lease Lease, sent tmclock.Millis) {
	e.hasLast = true
	e.last = lease
	e.changedAt = sent
	e.renewedAt = sent
}

// HoldsLease reports whether this entry may carry out steps: it is the leader
// and renewed its lease within the renew deadline. A leader that was paused
// learns from HoldsLease that its lease has expired, before it reads the row.
func (e *Elector) HoldsLease() bool {
	return e.hasLast && e.last.Leader == e.self && e.renewedAt != 0 && e.clock.Now().Sub(e.renewedAt) <= e.renewDeadline
}

// RowInfo describes a wave row. Created is wall time.
type RowInfo struct {
	Name    string
	Created tmclock.Millis
	Ended   bool
}

// RowsToDelete returns the names of the rows to delete, oldest first, so that
// RetainedRows remain. Rows of waves that have not ended are never deleted.
func RowsToDelete(rows []RowInfo) []string {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b RowInfo) int {
		return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.Name, b.Name))
	})
	var out []string
	for _, r := range sorted {
		if len(rows)-len(out) <= RetainedRows {
			break
		}
		if r.Ended {
			out = append(out, r.Name)
		}
	}
	return out
}
