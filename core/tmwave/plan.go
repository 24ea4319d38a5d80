// Package tmwave plans maintenance waves, which drain and reboot a set of
// instances and return them to service within the availability budgets of their
// pools.
//
// The entries, which are the processes that accept requests, elect one of
// themselves as the leader of a wave. The State is the versioned configuration
// that all entries agree on (see tmfleet.State).
//
// The leader of a wave calls Runner.Next about once a second with the Progress
// from the wave's row and a current View. It writes the returned Progress by
// compare-and-set before it carries out the steps. A step that changes the
// State is written in a transaction that also checks the revision of the wave
// row, so that a replaced leader can't change the State. For a MarkServing step
// that transaction also writes Progress.WithServing. Steps are idempotent. Next
// returns a step again until it has taken effect.
//
// Values are immutable and safe for concurrent use, except Runner and Elector,
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
	// drainTimeout is how long a wave waits for the running tasks of an instance
	// to end. It exceeds the longest request timeout, 5 minutes.
	drainTimeout = 10 * tmclock.Minute
	// rebootTimeout is how long an instance may take from the start of its
	// reboot until it serves again before it counts as failed.
	rebootTimeout = 10 * tmclock.Minute
	// unavailableTimeout is how long a wave waits for an instance that is down
	// for another reason before it skips the instance.
	unavailableTimeout = 30 * tmclock.Minute
	// maxDrainAttempts is the number of drain timeouts after which an instance
	// is skipped.
	maxDrainAttempts = 2
	// maxFailedInRow is the number of consecutive failed instances that stops a
	// wave.
	maxFailedInRow = 3
	// maxFailedFraction is the fraction of the finished instances above which
	// failures stop a wave, if at least maxFailedInRow instances failed.
	maxFailedFraction = 0.1
	// canaryFraction is the fraction of the instances that must return to service
	// before the wave uses the full budgets. It bounds the number of instances
	// that a faulty update takes down.
	canaryFraction = 0.02
	// minCanaries is the lower limit of the number of canaries.
	minCanaries = 2
)

// ErrNoInstances reports that a plan selects no instance.
var ErrNoInstances = errors.New("tmwave: the plan selects no instance; expected pools that have instances")

// UnknownPoolError reports a pool that does not exist.
type UnknownPoolError struct {
	Pool string
}

// Error returns the message.
func (e *UnknownPoolError) Error() string {
	return fmt.Sprintf("tmwave: unknown pool %q in field pools", e.Pool)
}

// BudgetError reports a pool whose budget is 0, which permits no maintenance.
type BudgetError struct {
	Pool string
}

// Error returns the message.
func (e *BudgetError) Error() string {
	return fmt.Sprintf("tmwave: pool %q has a budget of 0, expected at least 1 for a wave", e.Pool)
}

// Plan lists the instances that a wave maintains. It does not change during the
// wave.
type Plan struct {
	instances []string
	deadline  tmclock.Millis
	// cycle is the expected time for one instance from draining to serving again.
	cycle tmclock.Span
}

// PlanParams are the fields of a Plan.
type PlanParams struct {
	// Pools selects the instances that are in these pools at the time of
	// planning. Empty means all pools.
	Pools []string
	// Deadline is the wall time before which the wave should end, or 0. As long
	// as a pool has time to wait, it is not drained above its off-peak load.
	Deadline tmclock.Millis
	// Cycle is the expected time for one instance from draining to serving again.
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

// RestorePlan returns a Plan with the given fields, for decoders of stored data.
func RestorePlan(instances []string, deadline tmclock.Millis, cycle tmclock.Span) Plan {
	return Plan{instances: slices.Clone(instances), deadline: deadline, cycle: cycle}
}

// Instances returns the instance names in ascending order. The caller owns the
// slice.
func (p Plan) Instances() []string { return slices.Clone(p.instances) }

// Deadline returns the wall time before which the wave should end, or 0.
func (p Plan) Deadline() tmclock.Millis { return p.deadline }

// Cycle returns the expected time for one instance from draining to serving again.
func (p Plan) Cycle() tmclock.Span { return p.cycle }

// canaries returns how many instances must return to service before the wave
// uses the full budgets.
func (p Plan) canaries() int {
	return max(minCanaries, int(canaryFraction*float64(len(p.instances))))
}
