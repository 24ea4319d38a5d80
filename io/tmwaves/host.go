// Package tmwaves runs maintenance waves and completes moves between pools for
// one entry, a process that serves callers. Package core/tmwave decides the steps
// of a wave. This package reads the wave rows and the endpoints, writes the
// decisions to the store and calls the endpoints.
//
// Every entry has a Coordinator. It reads the open waves each second and leads
// those whose lease it holds. For each wave it reads the row, reads the State,
// writes the row, writes the State in a transaction that checks the revision of
// the row, and calls the endpoints, in this order. An entry that is no longer
// the leader therefore can't change the State. Calls to endpoints aren't part of
// the transaction, so the lease and the endpoint are checked immediately before
// each call.
//
// A Coordinator has one goroutine, in Run. Its other methods and those of Mover
// are safe for concurrent use.
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

// Host is the entry on whose behalf a Coordinator and a Mover act. It is safe
// for concurrent use.
type Host interface {
	// Incarnation returns the id of this start of the entry's process.
	Incarnation() string
	// MayLead reports whether the entry may act on its State and is a member
	// that isn't leaving.
	MayLead() bool
	// State returns the State that the entry has installed.
	State() tmfleet.State
	// ReadState reads the State from the table service, installs it and returns
	// it with its revision. The revision is 0 if no State has been written yet.
	ReadState(ctx context.Context) (tmfleet.State, uint64, error)
	// Live returns the current list of live instances.
	Live() tmchange.Liveness
	// Apply checks changes against a State and its budgets and returns the
	// resulting Config.
	Apply(state tmfleet.State, changes []tmchange.Change) (tmfleet.Config, error)
	// Install installs a State that has been committed to the table service.
	Install(state tmfleet.State)
	// PushState sends the installed State to all members in the background.
	PushState()
	// InForce reports whether the given version of the State is in force, which
	// means that no entry which may act on its State uses an older version.
	InForce(version uint64) bool
}

// Endpoints calls endpoints by address. *tmendpoint.Client implements it.
type Endpoints interface {
	State(ctx context.Context, address string) (tmendpoint.Report, error)
	Drain(ctx context.Context, address string) error
	Undrain(ctx context.Context, address string) error
	Reboot(ctx context.Context, address string) error
}

// Dependencies are the collaborators of a Coordinator and a Mover.
type Dependencies struct {
	Host      Host
	Store     *tmstore.Store
	Endpoints Endpoints
	Clock     tmclock.Clock
	Log       *log.Logger
}
