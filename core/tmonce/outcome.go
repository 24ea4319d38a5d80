// Package tmonce determines whether a caller may be told that its request ran,
// and keeps the records that prevent a non-idempotent request from running
// twice.
//
// An entry is a process that accepts requests from callers and sends them to
// endpoints. An incarnation is the ID of one start of an entry's process. The row
// of a request is a record in the table service, which all entries share.
//
// A request with a caller's id is handled in this order: ParseID and
// ID.CheckAge, read the row, Decide; on Start, add a creation to the Batch; once
// it is committed, call ID.CheckSend and only then send the request. If the
// creation conflicts with an existing row, read that row again and call
// Claim.ResolveConflict. Attempts then determines whether the request may be
// sent again and which outcome may be reported.
//
// Values are immutable and safe for concurrent use, except Batch, Sweeper and
// Attempts, which belong to one goroutine or must be guarded by a lock.
package tmonce

import "fmt"

// Outcome is what is known about whether a request ran.
type Outcome int

// The outcomes. NotRun may be reported only if it is certain that the request
// did not run and that no attempt which is still in flight will run it.
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
