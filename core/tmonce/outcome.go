// Package tmonce has the rules for telling a caller whether its request ran,
// and the record that keeps a non-idempotent request from running twice.
//
// The order for a request with a caller's id is: ParseID and ID.CheckAge, read
// the row, Decide; on Start add a creation to the Batch; once it is committed
// call ID.CheckStart and only then send. A creation that meets an existing row
// is settled with Claim.Settle on a new read of that row. Attempts then says
// whether the request may be sent again and which outcome may be reported.
//
// Values are immutable and safe for concurrent use, except Batch, Sweeper and
// Attempts, which belong to one goroutine or need the lock of their owner.
package tmonce

import "fmt"

// Outcome says what is known about a request that got no complete answer.
type Outcome int

// The outcomes. NotRun may only be told when it is certain that the request
// did not run and never will under this attempt.
const (
	Unknown Outcome = iota
	NotRun
	Ran
)

var outcomeNames = [...]string{"unknown", "not_run", "ran"}

// String returns the name that callers and endpoints use.
func (o Outcome) String() string {
	if o < 0 || int(o) >= len(outcomeNames) {
		return outcomeNames[Unknown]
	}
	return outcomeNames[o]
}

// ParseOutcome returns the Outcome with the given name.
func ParseOutcome(name string) (Outcome, error) {
	for i, n := range outcomeNames {
		if n == name {
			return Outcome(i), nil
		}
	}
	return Unknown, fmt.Errorf("tmonce: unknown outcome %q, expected one of %v", name, outcomeNames)
}
