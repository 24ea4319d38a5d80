package tmentry

import "sync/atomic"

// rules are mechanisms that tests switch off to show that their judge finds the
// violation which the mechanism prevents. They can't be set from outside the
// package.
type rules struct {
	// freshness lets an entry act on a State of any age.
	freshness atomic.Bool
	// confirmation accepts a change as soon as it is stored.
	confirmation atomic.Bool
	// slices lets an entry start tasks without units of the team's limit.
	slices atomic.Bool
	// list ignores the platform's list of instances.
	list atomic.Bool
	// record sends non-idempotent requests without a record.
	record atomic.Bool
}
