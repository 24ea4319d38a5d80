// Package tmwave plans maintenance waves: it drains, reboots and returns to
// service a set of instances within the availability budgets of their pools.
//
// The leader of a wave calls Runner.Next about once a second with the Progress
// from the wave's row and a fresh View. It writes the returned Progress by
// compare-and-set before it carries out the steps. A step that changes the
// State is written in a transaction that also checks the revision of the wave
// row, so that a leader that has been replaced can't change the State. With a
// MarkServing step that transaction also writes Progress.Served. Every step may
// be carried out again, and one that was lost is returned again.
//
// Values are immutable and safe for concurrent use, except Runner and Leader,
// which belong to one goroutine.
package tmwave

import (
	"errors"
	"fmt"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

const (
	// drainTimeout is how long a wave waits for the tasks of an instance. It
	// is above the longest timeout of a request, 5 minutes.
	drainTimeout = 10 * tmclock.Minute
	// returnTimeout is how long an instance may take to serve again after the
	// start of its reboot before it counts as failed.
	returnTimeout = 10 * tmclock.Minute
	// absentTimeout is how long a wave waits for an instance that is down for
	// another reason before it skips it.
	absentTimeout = 30 * tmclock.Minute
	// maxTries is how often an instance is drained in vain before it is
	// skipped.
	maxTries = 2
	// maxFailedInRow stops a wave whose instances one after another did not
	// come back.
	maxFailedInRow = 3
	// maxFailedPart stops a wave when this part of the finished instances, and
	// at least maxFailedInRow of them, did not come back.
	maxFailedPart = 0.1
	// canaryPart is the part of the instances that have to come back before
	// the wave uses the whole budgets. It bounds what a faulty update costs.
	canaryPart = 0.02
	// minCanaries is the least number of such instances.
	minCanaries = 2
)

// ErrNoInstances means that a plan selects no instance.
var ErrNoInstances = errors.New("tmwave: the plan selects no instance; expected pools that have instances")

// UnknownPoolError names a pool that does not exist.
type UnknownPoolError struct {
	Pool string
}

// Error returns the message.
func (e *UnknownPoolError) Error() string {
	return fmt.Sprintf("tmwave: unknown pool %q in field pools", e.Pool)
}

// BudgetError names a pool whose budget permits no maintenance.
type BudgetError struct {
	Pool string
}

// Error returns the message.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("tmwave: pool %q has a budget of 0, expected at least 1 for a wave", e.Pool)
}

// Plan is what a wave is to do. It does not change during the wave.
type Plan struct {
	instances []string
	deadline  tmclock.Millis
	cycle     tmclock.Span
}

// PlanParams are the fields of a Plan.
type PlanParams struct {
	// Pools selects instances by their pool at the time of planning. Empty
	// means all pools.
	Pools []string
	// Deadline is the wall time before which the wave should end, or 0. While
	// there is slack, pools above their usual load wait for the trough.
	Deadline tmclock.Millis
	// Cycle is the expected time from draining to serving again.
	Cycle tmclock.Span
}

// NewPlan returns a Plan for the instances of cfg. Errors are ErrNoInstances,
// *UnknownPoolError and *BudgetError.
func NewPlan(cfg tmfleet.Config, p PlanParams) (Plan, error) {
	for _, name := range p.Pools {
		if !cfg.Pools().Has(name) {
			return Plan{}, &UnknownPoolError{Pool: name}
		}
	}
	var names []string
	for name, in := range cfg.Instances().All() {
		if len(p.Pools) > 0 && !slices.Contains(p.Pools, in.Pool()) {
			continue
		}
		if pool, ok := cfg.Pools().Get(in.Pool()); !ok || pool.Budget().MaxUnavailable() < 1 {
			return Plan{}, &BudgetError{Pool: in.Pool()}
		}
		names = append(names, name)
	}
	if len(names) == 0 {
		return Plan{}, ErrNoInstances
	}
	return Plan{instances: names, deadline: p.Deadline, cycle: p.Cycle}, nil
}

// RestorePlan returns a Plan as it is read from a codec.
func RestorePlan(instances []string, deadline tmclock.Millis, cycle tmclock.Span) Plan {
	return Plan{instances: slices.Clone(instances), deadline: deadline, cycle: cycle}
}

// Instances returns the names in ascending order. The caller owns the slice.
func (p Plan) Instances() []string { return slices.Clone(p.instances) }

// Deadline returns the wall time before which the wave should end, or 0.
func (p Plan) Deadline() tmclock.Millis { return p.deadline }

// Cycle returns the expected time from draining to serving again.
func (p Plan) Cycle() tmclock.Span { return p.cycle }

// canaries returns how many instances have to come back before the wave uses
// the whole budgets.
func (p Plan) canaries() int {
	return max(minCanaries, int(canaryPart*float64(len(p.instances))))
}
