// Package tmfresh decides whether an entry is fresh and whether a version of the
// State is in force.
//
// An entry is a process that accepts requests. The State is the versioned
// membership and configuration that all entries agree on; members are the entries
// in it. An entry is fresh, that is, it may act on its State, while a recent read
// of the table or recent heartbeat answers of a majority have shown no newer
// version. A version is in force once no fresh entry uses an older one.
//
// The package has one lock, that of Tracker. While it is held, only the clock
// is called.
package tmfresh

import "turmericmoor/core/tmclock"

// Time constants of the design. All entries and endpoints of a fleet need the
// same values: with mixed values the guarantees don't hold.
const (
	// HeartbeatInterval is the time between two heartbeats to the same member.
	HeartbeatInterval = 500 * tmclock.Millisecond
	// FreshnessTimeout is F: how long a table read or a quorum of heartbeats
	// keeps an entry fresh, counted from when the request was sent.
	FreshnessTimeout = 2 * tmclock.Second
	// LeaseDuration is L: how long an endpoint lease and its nonces are valid.
	LeaseDuration = 1 * tmclock.Second
	// LeaseRenewInterval is the time between two renewals of an endpoint lease.
	LeaseRenewInterval = 400 * tmclock.Millisecond
	// TaskGracePeriod is how long an endpoint keeps a task running after the
	// last renewal of its lease.
	TaskGracePeriod = 10 * tmclock.Second
	// RemovalTimeout is how long a member may leave all heartbeats unanswered
	// before another entry, which must be fresh, removes it from the members.
	RemovalTimeout = 10 * tmclock.Second
	// SliceReclaimDelay is the time from when the removal of a member is in
	// force until its slices of team limits are reclaimed.
	SliceReclaimDelay = 15 * tmclock.Second
	// ListInterval is the time between two reads of the instance list, and
	// between two reads of usage.
	ListInterval = 1 * tmclock.Second
	// MaxWallClockSkew is the largest difference between two wall clocks.
	MaxWallClockSkew = 1 * tmclock.Second
	// ConfirmTimeout is the time within which an operator's change is either
	// accepted or reported as stored but not confirmed.
	ConfirmTimeout = 8 * tmclock.Second
	// MaxClockDriftPercent is the largest difference between the rates of two
	// clocks.
	MaxClockDriftPercent = 1
)

// maxObservationGap is the longest time between two calls of a Tracker for which
// the observation of the other members counts as continuous. An entry that was
// paused for longer has received nothing in that time and must not conclude that
// the other members were silent.
const maxObservationGap = 2 * HeartbeatInterval

// Bounds are the time bounds of a Tracker.
type Bounds struct {
	fresh tmclock.Span
}

// DefaultBounds returns the bounds of the design.
func DefaultBounds() Bounds {
	return NewBounds(FreshnessTimeout)
}

// NewBounds returns bounds with the given freshness timeout. All entries of a
// fleet need the same bounds.
func NewBounds(fresh tmclock.Span) Bounds {
	return Bounds{fresh: fresh}
}

// Fresh returns F, the freshness timeout.
func (b Bounds) Fresh() tmclock.Span { return b.fresh }

// ExpiryWait returns the time from when every majority includes a member that has
// acknowledged a version until the freshness that entries gained before has expired
// on every clock: F plus the largest clock drift, plus 1 ms because clocks have a
// resolution of 1 ms.
func (b Bounds) ExpiryWait() tmclock.Span {
	return b.fresh + b.fresh*MaxClockDriftPercent/100 + tmclock.Millisecond
}
