package tmchange

import (
	"fmt"

	"turmericmoor/core/tmfleet"
)

// MaxChanges is the maximum number of changes in one request. It keeps the State
// and its history within one transaction of the table service.
const MaxChanges = 1000

// Liveness reports whether the platform lists the instance with the given name as
// live.
type Liveness func(instance string) bool

// AllLive is a Liveness that reports every instance as live.
func AllLive(string) bool { return true }

// Apply returns the Config of s with all changes applied in order. If any change
// is invalid, it applies none and returns an *InvalidError with every problem
// found. A nil live reports no instance as live. An added instance that the
// platform does not list yet is not live either, so it counts against the budget
// until it is listed.
func Apply(s tmfleet.State, live Liveness, changes []Change) (tmfleet.Config, error) {
	return apply(s, live, changes, options{})
}

type options struct {
	// skipBudgetCheck disables the budget check for negative controls in tests.
	skipBudgetCheck bool
}

func apply(s tmfleet.State, live Liveness, changes []Change, o options) (tmfleet.Config, error) {
	if live == nil {
		live = func(string) bool { return false }
	}
	d := newDraft(s, live)
	if len(changes) == 0 || len(changes) > MaxChanges {
		d.addProblem(Problem{
			Kind:     ChangeCount,
			Field:    "changes",
			Message:  fmt.Sprintf("has %d changes", len(changes)),
			Expected: fmt.Sprintf("1 to %d changes", MaxChanges),
		})
		return tmfleet.Config{}, d.err()
	}
	for i, c := range changes {
		d.index = i
		if c == nil {
			d.reject(BadForm, "op", "is missing", "a known change")
			continue
		}
		c.apply(d)
	}
	d.checkPools()
	if !o.skipBudgetCheck {
		d.checkBudgets()
	}
	if err := d.err(); err != nil {
		return tmfleet.Config{}, err
	}
	return d.config, nil
}

// draft is a Config to which changes are being applied, with the problems found
// so far.
type draft struct {
	before      tmfleet.Config
	config      tmfleet.Config
	live        Liveness
	nextVersion uint64
	index       int
	problems    []Problem
	// budgetChange maps a pool to the index of the change that last set its
	// budget.
	budgetChange map[string]int
	// instanceChange maps an instance to the index of the change that last
	// modified it.
	instanceChange map[string]int
}

func newDraft(s tmfleet.State, live Liveness) *draft {
	return &draft{
		before:         s.Config(),
		config:         s.Config(),
		live:           live,
		nextVersion:    s.Version() + 1,
		budgetChange:   map[string]int{},
		instanceChange: map[string]int{},
	}
}

func (d *draft) addProblem(p Problem) {
	d.problems = append(d.problems, p)
}

func (d *draft) reject(kind ProblemKind, field, message, expected string) {
	d.addProblem(Problem{Kind: kind, Field: fieldPath(d.index, field), Message: message, Expected: expected})
}

func (d *draft) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: d.problems}
}

func fieldPath(index int, field string) string {
	return fmt.Sprintf("changes[%d].%s", index, field)
}
