// Package tmwaves leads maintenance waves and finishes moves between pools for
// one entry. The decisions of waves are made by core/tmwave; this package
// reads the rows and endpoints, and writes and calls what was decided.
//
// Every entry has a Keeper. It reads the open waves each second, and leads
// those whose lease it holds. The order within a turn is: read the row, read
// the State, write the row, write the State in a transaction that checks the
// revision of the row, call endpoints. An entry that was replaced as the
// leader therefore can't change the State, and its calls are covered by
// checks immediately before them.
//
// A Keeper has one goroutine, in Run. Its other methods and those of Mover are
// safe for concurrent use.
package tmwaves

import (
	"context"

	"github.com/charmbracelet/log"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/io/tmendpoint"
	"turmericmoor/io/tmstore"
)

// Host is the entry that a Keeper and a Mover work for. It is safe for
// concurrent use.
type Host interface {
	// Incarnation returns the id of this start of the entry.
	Incarnation() string
	// MayLead reports whether the entry may act on its State and is a member
	// that stays.
	MayLead() bool
	// State returns the installed State.
	State() tmfleet.State
	// ReadState reads the State from the table service and installs it. The
	// revision is 0 when none is written yet.
	ReadState(ctx context.Context) (tmfleet.State, uint64, error)
	// Live returns the present list of live instances.
	Live() tmchange.Liveness
	// Apply checks changes against a State, with the budgets, and applies them.
	Apply(state tmfleet.State, changes []tmchange.Change) (tmfleet.Config, error)
	// Install takes a State that was written.
	Install(state tmfleet.State)
	// Spread offers the installed State to all members without waiting.
	Spread()
	// InForce reports whether the version is in force.
	InForce(version uint64) bool
}

// Endpoints are the calls to endpoints. *tmendpoint.Client implements them.
type Endpoints interface {
	State(ctx context.Context, address string) (tmendpoint.Report, error)
	Drain(ctx context.Context, address string) error
	Undrain(ctx context.Context, address string) error
	Reboot(ctx context.Context, address string) error
}

// Parts are what a Keeper and a Mover work with.
type Parts struct {
	Host      Host
	Store     *tmstore.Store
	Endpoints Endpoints
	Clock     tmclock.Clock
	Log       *log.Logger
}
