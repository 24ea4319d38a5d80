package tmrequest

import (
	"fmt"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
)

// Code names a reason for which a caller gets no answer.
type Code string

// The codes that callers see.
const (
	NoKey            Code = "no_key"
	BadKey           Code = "bad_key"
	UnknownQueue     Code = "unknown_queue"
	TooLarge         Code = "too_large"
	BadRequest       Code = "bad_request"
	IDExpired        Code = "id_expired"
	IDReused         Code = "id_reused"
	NeverRuns        Code = "never_runs"
	InProgress       Code = "in_progress"
	Overloaded       Code = "overloaded"
	NotFresh         Code = "not_fresh"
	Stopping         Code = "stopping"
	StoreUnavailable Code = "store_unavailable"
	Deadline         Code = "deadline"
	AnswerBroken     Code = "answer_broken"
	TaskFailed       Code = "task_failed"
	AnswerLost       Code = "answer_lost"
	Cancelled        Code = "cancelled"
)

// Error is what a caller gets in place of an answer.
type Error struct {
	code       Code
	outcome    tmonce.Outcome
	message    string
	retryAfter tmclock.Span
}

// NewError returns an Error whose message is formatted as by fmt.Sprintf.
func NewError(code Code, outcome tmonce.Outcome, format string, args ...any) *Error {
	return &Error{code: code, outcome: outcome, message: fmt.Sprintf(format, args...)}
}

// Refuse returns an Error for a request that did not run and never will.
func Refuse(code Code, format string, args ...any) *Error {
	return NewError(code, tmonce.NotRun, format, args...)
}

// Code returns the reason.
func (e *Error) Code() Code { return e.code }

// Outcome says whether the request ran.
func (e *Error) Outcome() tmonce.Outcome { return e.outcome }

// Message returns the reason in words.
func (e *Error) Message() string { return e.message }

// RetryAfter returns how long the caller should wait before it tries again, 0
// when there is nothing to say.
func (e *Error) RetryAfter() tmclock.Span { return e.retryAfter }

// WithRetryAfter returns a copy of e that asks the caller to wait for d.
func (e *Error) WithRetryAfter(d tmclock.Span) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// About returns what may be said to the submitter of r. NotRun becomes Unknown
// for a request whose id its caller chose and whose runs are recorded: NotRun
// would speak of the id, and another submission under the same id may have run
// or may still run. The caller repeats the request under the same id.
func (e *Error) About(r Request) *Error {
	if !r.NeedsRecord() || e.outcome != tmonce.NotRun {
		return e
	}
	c := *e
	c.outcome = tmonce.Unknown
	c.message += "; another submission of this id may have run"
	return &c
}

// Error returns code, outcome and message.
func (e *Error) Error() string {
	return fmt.Sprintf("tmrequest: %s (%s): %s", e.code, e.outcome, e.message)
}
