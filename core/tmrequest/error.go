package tmrequest

import (
	"fmt"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
)

// Code identifies the reason why a caller gets no answer.
type Code string

// The codes that are reported to callers.
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

// Error is the error that a caller gets instead of an answer.
type Error struct {
	code       Code
	outcome    tmonce.Outcome
	message    string
	retryAfter tmclock.Span
}

// NewError returns an Error. It formats the message like fmt.Sprintf.
func NewError(code Code, outcome tmonce.Outcome, format string, args ...any) *Error {
	return &Error{code: code, outcome: outcome, message: fmt.Sprintf(format, args...)}
}

// Refuse returns an Error with the outcome NotRun, for a request that did not run
// and never will.
func Refuse(code Code, format string, args ...any) *Error {
	return NewError(code, tmonce.NotRun, format, args...)
}

// Code returns the code of the reason.
func (e *Error) Code() Code { return e.code }

// Outcome returns whether the request ran.
func (e *Error) Outcome() tmonce.Outcome { return e.outcome }

// Message returns the description of the reason.
func (e *Error) Message() string { return e.message }

// RetryAfter returns how long the caller should wait before it tries again, or 0
// when no delay is suggested.
func (e *Error) RetryAfter() tmclock.Span { return e.retryAfter }

// WithRetryAfter returns a copy of e that asks the caller to wait for d before it
// tries again.
func (e *Error) WithRetryAfter(d tmclock.Span) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// ForCaller returns the error to report to the caller that submitted r. For a
// request that needs a record, the outcome NotRun becomes Unknown: the caller
// would take NotRun to hold for the id, but another submission of the same id may
// have run or may still run. The caller then repeats the request under the same
// id.
func (e *Error) ForCaller(r Request) *Error {
	if !r.NeedsRecord() || e.outcome != tmonce.NotRun {
		return e
	}
	c := *e
	c.outcome = tmonce.Unknown
	c.message += "; another submission of this id may have run"
	return &c
}

// Error returns the code, the outcome and the message.
func (e *Error) Error() string {
	return fmt.Sprintf("tmrequest: %s (%s): %s", e.code, e.outcome, e.message)
}
