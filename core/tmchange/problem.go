package tmchange

import (
	"errors"
	"strings"
)

// ErrBudget is matched by an error of Apply when at least one change would
// exceed an availability budget.
var ErrBudget = errors.New("tmchange: availability budget exceeded")

// Problem is one reason why a request is refused.
type Problem struct {
	// Field is the path of the field, for example "changes[2].pool".
	Field string
	// Message says what is wrong with the field.
	Message string
	// Expected says what would be right.
	Expected string

	overBudget bool
}

// String returns the problem as one line.
func (p Problem) String() string {
	return p.Field + ": " + p.Message + ", expected " + p.Expected
}

// InvalidError lists every problem of a request. Nothing of the request has
// been applied.
type InvalidError struct {
	Problems []Problem
}

// Error returns all problems, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return "tmchange: request refused: " + strings.Join(lines, "\n")
}

// Is reports whether target is ErrBudget and a problem is about a budget.
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
