// Package tmfresh decides whether an entry is fresh, that is, whether it may
// act on its State, and since when a written version of the State is in force,
// that is, whether no fresh entry uses an older one.
//
// The package has one lock, that of Tracker, and calls nothing but the clock
// while it holds it.
package tmfresh

import "turmericmoor/core/tmclock"

// Time constants of the design. They hold for all entries and endpoints alike:
// a fleet with mixed values loses its guarantees.
const (
	// HeartbeatEvery is the time between two heartbeats to the same member.
	HeartbeatEvery = 500 * tmclock.Millisecond
	// FreshFor is F: how long a table read or a quorum of heartbeats keeps an
	// entry fresh, counted from when the question was sent.
	FreshFor = 2 * tmclock.Second
	// LeaseFor is L: how long an endpoint lease and its nonces are valid.
	LeaseFor = 1 * tmclock.Second
	// LeaseRenewEvery is the time between two renewals of an endpoint lease.
	LeaseRenewEvery = 400 * tmclock.Millisecond
	// TaskGrace is how long an endpoint keeps a task running after the last
	// renewal of its lease.
	TaskGrace = 10 * tmclock.Second
	// SilenceBeforeRemoval is how long a member answers no heartbeat before a
	// fresh entry removes it from the members.
	SilenceBeforeRemoval = 10 * tmclock.Second
	// SliceReclaimAfter is the time from when the removal of a member is in
	// force to when its slices of team limits are free.
	SliceReclaimAfter = 15 * tmclock.Second
	// ListEvery is the time between two reads of the instance list, and of
	// usage.
	ListEvery = 1 * tmclock.Second
	// WallClockError is the largest difference between two wall clocks.
	WallClockError = 1 * tmclock.Second
	// ConfirmWithin is the time in which an operator's change is accepted or
	// reported as stored but not confirmed.
	ConfirmWithin = 8 * tmclock.Second
	// ClockRateErrorPercent is the largest difference between the rates of two
	// clocks.
	ClockRateErrorPercent = 1
)

// observationGap is the longest time between two calls of a Tracker that
// counts as continuous observation. An entry that was paused for longer heard
// nothing meanwhile and must not conclude that the others were silent.
const observationGap = 2 * HeartbeatEvery

// Bounds are the time bounds of a Tracker.
type Bounds struct {
	fresh tmclock.Span
}

// DefaultBounds returns the bounds of the design.
func DefaultBounds() Bounds {
	return NewBounds(FreshFor)
}

// NewBounds returns bounds with another freshness bound. All entries of a
// fleet need the same.
func NewBounds(fresh tmclock.Span) Bounds {
	return Bounds{fresh: fresh}
}

// Fresh returns F.
func (b Bounds) Fresh() tmclock.Span { return b.fresh }

// ForceWait returns how long a version that blocks every majority waits until
// freshness gained earlier has expired on every clock: F plus the clock rate
// error, plus 1 ms because clocks show whole milliseconds.
func (b Bounds) ForceWait() tmclock.Span {
	return b.fresh + b.fresh*ClockRateErrorPercent/100 + tmclock.Millisecond
}
