package tmchange

import (
	"fmt"

	"turmericmoor/core/tmfleet"
)

// MaxChanges bounds the number of changes in one request, so that the State
// and its history stay within one transaction of the table service.
const MaxChanges = 1000

// Liveness reports whether the instance with the given name is live according
// to the platform's list.
type Liveness func(instance string) bool

// AllLive is a Liveness for which every instance is live.
func AllLive(string) bool { return true }

// Apply returns the Config of s with all changes applied in their order. It
// returns an *InvalidError with every problem found, and then nothing is
// applied. A nil live counts no instance as live. An instance that has been added
// but is not yet on the platform's list is not live either, so it counts against
// the budget until the list has it.
func Apply(s tmfleet.State, live Liveness, changes []Change) (tmfleet.Config, error) {
	return apply(s, live, changes, options{})
}

type options struct {
	// skipBudget switches the budget check off for negative controls.
	skipBudget bool
}

func apply(s tmfleet.State, live Liveness, changes []Change, o options) (tmfleet.Config, error) {
	if live == nil {
		live = func(string) bool { return false }
	}
	d := newDraft(s, live)
	if len(changes) == 0 || len(changes) > MaxChanges {
		d.refuse(Problem{
			Field:    "changes",
			Message:  fmt.Sprintf("has %d changes", len(changes)),
			Expected: fmt.Sprintf("1 to %d changes", MaxChanges),
		})
		return tmfleet.Config{}, d.err()
	}
	for i, c := range changes {
		d.index = i
		if c == nil {
			d.problem("op", "is missing", "a known change")
			continue
		}
		c.apply(d)
	}
	d.checkPools()
	if !o.skipBudget {
		d.checkBudgets()
	}
	if err := d.err(); err != nil {
		return tmfleet.Config{}, err
	}
	return d.config, nil
}

// draft is a Config while changes are being applied, with the problems found
// so far.
type draft struct {
	before      tmfleet.Config
	config      tmfleet.Config
	live        Liveness
	nextVersion uint64
	index       int
	problems    []Problem
	// budgetSet has the index of the change that last set the budget of a pool.
	budgetSet map[string]int
	// touched has the index of the change that last changed an instance.
	touched map[string]int
}

func newDraft(s tmfleet.State, live Liveness) *draft {
	return &draft{
		before:      s.Config(),
		config:      s.Config(),
		live:        live,
		nextVersion: s.Version() + 1,
		budgetSet:   map[string]int{},
		touched:     map[string]int{},
	}
}

func (d *draft) refuse(p Problem) {
	d.problems = append(d.problems, p)
}

func (d *draft) problem(field, message, expected string) {
	d.refuse(Problem{Field: fieldOf(d.index, field), Message: message, Expected: expected})
}

func (d *draft) err() error {
	if len(d.problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: d.problems}
}

func fieldOf(index int, field string) string {
	return fmt.Sprintf("changes[%d].%s", index, field)
}
