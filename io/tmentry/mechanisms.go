package tmentry

import "sync/atomic"

// mechanisms has a switch for each mechanism that negative controls disable, to
// show that the check of a test detects the violation that the mechanism
// prevents. Each field says what happens when it is set. The switches can't be
// set from outside the package.
type mechanisms struct {
	// freshness makes the entry act on a State of any age.
	freshness atomic.Bool
	// confirmation makes a change count as accepted as soon as it is stored.
	confirmation atomic.Bool
	// slices makes the entry start tasks without units of the team's limit.
	slices atomic.Bool
	// list makes the entry ignore the platform's list of instances.
	list atomic.Bool
	// record makes the entry send non-idempotent requests without a record.
	record atomic.Bool
}
