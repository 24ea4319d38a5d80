package tmchange

import (
	"errors"
	"strings"
)

// ErrBudget matches, by errors.Is, an error of Apply when at least one change
// would exceed an availability budget.
var ErrBudget = errors.New("tmchange: availability budget exceeded")

// ProblemKind is the stable name of a kind of Problem, in snake_case.
type ProblemKind string

// The kinds of problems, described in docs/CHECKS.md.
const (
	BadForm            ProblemKind = "bad_form"
	ChangeCount        ProblemKind = "change_count"
	BadName            ProblemKind = "bad_name"
	NameTaken          ProblemKind = "name_taken"
	UnknownName        ProblemKind = "unknown_name"
	OutOfRange         ProblemKind = "out_of_range"
	LimitAboveFleet    ProblemKind = "limit_above_fleet"
	BadAddress         ProblemKind = "bad_address"
	AddressTaken       ProblemKind = "address_taken"
	WrongState         ProblemKind = "wrong_state"
	InUse              ProblemKind = "in_use"
	TeamNotPermitted   ProblemKind = "team_not_permitted"
	BadHash            ProblemKind = "bad_hash"
	HashTaken          ProblemKind = "hash_taken"
	KeyAmbiguous       ProblemKind = "key_ambiguous"
	BudgetTooLarge     ProblemKind = "budget_too_large"
	BudgetBelowPlanned ProblemKind = "budget_below_planned"
	BudgetExceeded     ProblemKind = "budget_exceeded"
)

// Problem is one reason for which a request is refused.
type Problem struct {
	// Kind is empty in a Problem that was received from an entry, because the
	// operator protocol does not carry it.
	Kind ProblemKind
	// Field is the path of the field, for example "changes[2].pool".
	Field string
	// Message says what is wrong with the field.
	Message string
	// Expected describes a valid value.
	Expected string
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
		if p.Kind == BudgetBelowPlanned || p.Kind == BudgetExceeded {
			return true
		}
	}
	return false
}
