package tmendpoint

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/io/tmhttp"
)

// answerMargin is how much longer than the task's timeout Start waits for the
// answer, so that the endpoint can report that it stopped the task.
const answerMargin = 1 * tmclock.Second

// Task is one attempt to run a request. All fields but Size, Preemptible and
// Body are required.
type Task struct {
	Lease     string
	Nonce     string
	Attempt   string
	RequestID string
	Team      string
	Queue     string
	// Timeout limits the run time. The endpoint stops a task that exceeds it.
	Timeout tmclock.Span
	// Size is the declared size in processor cores, or 0 if none was declared.
	Size        float64
	Preemptible bool
	Body        []byte
}

// Answer is the complete answer of a task. Its attempt id and digest have been
// verified.
type Answer struct {
	Body []byte
}

// Code is the reason why an attempt returned no answer.
type Code string

// The codes. The endpoint rejects a start with one of those up to CodeNeverRuns.
const (
	CodeLeaseEnded   Code = "lease_ended"
	CodeNonceExpired Code = "nonce_expired"
	CodeNoSlot       Code = "no_slot"
	CodeDraining     Code = "draining"
	CodeNeverRuns    Code = "never_runs"
	// CodeNotSent: no byte of the request was written.
	CodeNotSent Code = "not_sent"
	// CodeTaskFailed: the task ran and failed.
	CodeTaskFailed Code = "task_failed"
	// CodeStopped: the task ran and was stopped before it completed.
	CodeStopped Code = "stopped"
	// CodeCheckpointed: the task ran up to a checkpoint. A start with the same
	// request id resumes it.
	CodeCheckpointed Code = "checkpointed"
	// CodeNoAnswer: the request was sent and no response arrived.
	CodeNoAnswer Code = "no_answer"
	// CodeAnswerBroken: the response is incomplete or corrupted, or belongs to
	// another attempt.
	CodeAnswerBroken Code = "answer_broken"
)

// AttemptError describes an attempt that returned no answer.
type AttemptError struct {
	Attempt string
	Outcome tmonce.Outcome
	Code    Code
	// Status is the HTTP status of the response, or 0 if none arrived.
	Status int
	// Err is the underlying error, or nil if there is none beyond the code.
	Err error
}

// Error returns the attempt, the code, the outcome, the status and the cause.
func (e *AttemptError) Error() string {
	text := fmt.Sprintf("tmendpoint: attempt %s: %s (outcome %s, status %d)", e.Attempt, e.Code, e.Outcome, e.Status)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns Err.
func (e *AttemptError) Unwrap() error { return e.Err }

// LeaseEnded reports whether the entry needs a new lease.
func (e *AttemptError) LeaseEnded() bool { return e.Code == CodeLeaseEnded }

// NonceExpired reports whether the nonce had expired.
func (e *AttemptError) NonceExpired() bool { return e.Code == CodeNonceExpired }

// NoSlot reports whether the lease had no idle slot.
func (e *AttemptError) NoSlot() bool { return e.Code == CodeNoSlot }

// Draining reports whether the endpoint accepts no new tasks.
func (e *AttemptError) Draining() bool { return e.Code == CodeDraining }

// NeverRuns reports whether the task can never run at this endpoint.
func (e *AttemptError) NeverRuns() bool { return e.Code == CodeNeverRuns }

// Start runs a task and returns its answer. The error is an *AttemptError. Its
// outcome is NotRun only if no byte of the request was written or the endpoint
// rejected this attempt, Ran if the endpoint reported that this attempt ran, and
// Unknown otherwise. Canceling ctx doesn't stop the task.
// net/http never sends a start again: a POST without an idempotency key is not
// replayable, and tmhttp clears GetBody, so that the body can't be rewound.
func (c *Client) Start(ctx context.Context, address string, t Task) (Answer, error) {
	req, err := t.newRequest(address)
	if err != nil {
		return Answer{}, &AttemptError{Attempt: t.Attempt, Outcome: tmonce.NotRun, Code: CodeNotSent, Err: err}
	}
	resp, err := c.tasks.Do(ctx, req, t.Timeout+answerMargin)
	if err != nil {
		return Answer{}, t.noAnswerError(err)
	}
	return readAnswer(t.Attempt, resp)
}

func (t Task) newRequest(address string) (*http.Request, error) {
	if err := t.validate(); err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/tasks", bytes.NewReader(t.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Tm-Lease", t.Lease)
	req.Header.Set("Tm-Nonce", t.Nonce)
	req.Header.Set("Tm-Attempt", t.Attempt)
	req.Header.Set("Tm-Request-Id", t.RequestID)
	req.Header.Set("Tm-Team", t.Team)
	req.Header.Set("Tm-Queue", t.Queue)
	req.Header.Set("Tm-Timeout-Ms", strconv.FormatInt(int64(t.Timeout), 10))
	req.Header.Set("Tm-Preemptible", strconv.FormatBool(t.Preemptible))
	if t.Size > 0 {
		req.Header.Set("Tm-Size", strconv.FormatFloat(t.Size, 'g', -1, 64))
	}
	return req, nil
}

func (t Task) validate() error {
	required := []struct{ name, value string }{
		{"lease", t.Lease},
		{"nonce", t.Nonce},
		{"attempt", t.Attempt},
		{"request id", t.RequestID},
		{"team", t.Team},
		{"queue", t.Queue},
	}
	for _, r := range required {
		if r.value == "" {
			return fmt.Errorf("tmendpoint: task has no %s", r.name)
		}
	}
	if t.Timeout <= 0 {
		return fmt.Errorf("tmendpoint: task has timeout %s, expected a positive duration", t.Timeout)
	}
	return nil
}

func (t Task) noAnswerError(err error) *AttemptError {
	attemptErr := &AttemptError{Attempt: t.Attempt, Outcome: tmonce.Unknown, Code: CodeNoAnswer, Err: err}
	var httpErr *tmhttp.Error
	if errors.As(err, &httpErr) && !httpErr.Sent {
		attemptErr.Outcome = tmonce.NotRun
		attemptErr.Code = CodeNotSent
	}
	return attemptErr
}
