package tmchange

import (
	"errors"
	"strings"
)

// ErrBudget matches, by errors.Is, an error of Apply when at least one change
// would exceed an availability budget.
var ErrBudget = errors.New("tmchange: availability budget exceeded")

// Problem is one reason for which a request is refused.
type Problem struct {
	// Field is the path of the field, for example "changes[2].pool".
	Field string
	// Message says what is wrong with the field.
	Message string
	// Expected describes a valid value.
	Expected string

	overBudget bool
}

// String returns the problem as one line.
func (p Problem) String() string {
	return p.Field + ": " + p.Message + ", expected " + p.Expected
}

// InvalidError lists every problem of a request, of which no change has been
// applied.
type InvalidError struct {
	Problems []Problem
}

// Error returns all problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return "tmchange: request refused: " + strings.Join(lines, "\n")
}

// Is reports whether target is ErrBudget and a problem is an exceeded budget.
func (e *InvalidError) Is(target error) bool {
	if target != ErrBudget {
		return false
	}
	for _, p := range e.Problems {
		if p.overBudget {
			return true
		}
	}
	return false
}
