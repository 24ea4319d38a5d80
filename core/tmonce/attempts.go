package tmonce

// AttemptResult is the result of one attempt to run a request.
type AttemptResult int

// The results of an attempt.
const (
	// Indeterminate means that the answer is missing, incomplete or does not
	// match, so it is not known whether the request ran.
	Indeterminate AttemptResult = iota
	// NotSent means that the connection failed before the first byte of the
	// request was written.
	NotSent
	// Refused means that the endpoint reported that the request did not run.
	Refused
	// Answered means that the endpoint reported that the request ran.
	Answered
)

// Attempts counts the attempts to run one request by their results. The zero
// Attempts has none. It is not safe for concurrent use.
type Attempts struct {
	inFlight      int
	indeterminate int
	ran           int

	// resendIndeterminate disables the check in MayResend, for a negative control.
	resendIndeterminate bool
	// indeterminateAsNotRun reports an indeterminate attempt as not run, for
	// a negative control.
	indeterminateAsNotRun bool
}

// Begin records that an attempt is about to be sent.
func (a *Attempts) Begin() { a.inFlight++ }

// Finish records the result of one attempt in flight. Only the numbers of results
// are kept, so it doesn't matter which attempt it is.
func (a *Attempts) Finish(result AttemptResult) {
	if a.inFlight > 0 {
		a.inFlight--
	}
	switch result {
	case Answered:
		a.ran++
	case NotSent, Refused:
	default:
		a.indeterminate++
	}
}

// Add records an attempt by another process that reported its outcome, for
// example a call through another entry.
func (a *Attempts) Add(o Outcome) {
	switch o {
	case Ran:
		a.ran++
	case NotRun:
	default:
		a.indeterminate++
	}
}

// MayResend reports whether another attempt is permitted. A non-idempotent
// request is sent again only if it is certain that no earlier attempt ran.
func (a *Attempts) MayResend(idempotent bool) bool {
	if idempotent || a.resendIndeterminate {
		return true
	}
	return a.Outcome() == NotRun
}

// Outcome returns the outcome that may be reported now. It is NotRun if there
// was no attempt or if it is certain that none ran.
func (a *Attempts) Outcome() Outcome {
	switch {
	case a.ran > 0:
		return Ran
	case a.inFlight == 0 && (a.indeterminate == 0 || a.indeterminateAsNotRun):
		return NotRun
	default:
		return Unknown
	}
}
