package tmonce

// End is how one attempt to run a request ended.
type End int

// The ends of an attempt.
const (
	// Broken means that the answer is missing, incomplete or does not match.
	Broken End = iota
	// Unwritten means that the connection failed before the first byte of the
	// request was written.
	Unwritten
	// Refused means that the endpoint answered explicitly that it did not run.
	Refused
	// Answered means that the endpoint reported that the request ran.
	Answered
)

// Attempts is the series of attempts to run one request. The zero Attempts
// has none. It is not safe for concurrent use.
type Attempts struct {
	open   int
	broken int
	ran    int

	// resendBroken switches the resend rule off, as a negative control.
	resendBroken bool
	// brokenNotRun reports a broken attempt as not run, as a negative control.
	brokenNotRun bool
}

// Begin notes that an attempt is about to be sent.
func (a *Attempts) Begin() { a.open++ }

// Finish notes how the oldest open attempt ended.
func (a *Attempts) Finish(end End) {
	if a.open > 0 {
		a.open--
	}
	switch end {
	case Answered:
		a.ran++
	case Unwritten, Refused:
	default:
		a.broken++
	}
}

// Add notes an attempt made by another process that reported the outcome, for
// example a call through another entry.
func (a *Attempts) Add(o Outcome) {
	switch o {
	case Ran:
		a.ran++
	case NotRun:
	default:
		a.broken++
	}
}

// MayResend reports whether a further attempt is permitted. A non-idempotent
// request is sent again only when each earlier attempt certainly did not run.
func (a *Attempts) MayResend(idempotent bool) bool {
	if idempotent || a.resendBroken {
		return true
	}
	return a.Outcome() == NotRun
}

// Outcome returns what may be reported at this moment. It is NotRun when there
// was no attempt or when each one certainly did not run.
func (a *Attempts) Outcome() Outcome {
	switch {
	case a.ran > 0:
		return Ran
	case a.open == 0 && (a.broken == 0 || a.brokenNotRun):
		return NotRun
	default:
		return Unknown
	}
}
