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

// answerMargin is waited for an answer after the task's own timeout, so that
// the endpoint can report that it stopped the task.
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
	// Timeout bounds the run. The endpoint stops a task that exceeds it.
	Timeout tmclock.Span
	// Size is the declared size in processor cores, 0 when none was declared.
	Size        float64
	Preemptible bool
	Body        []byte
}

// Answer is the complete answer of a task, whose attempt id and digest are
// verified.
type Answer struct {
	Body []byte
}

// Code says why an attempt brought no answer.
type Code string

// The codes. Those up to CodeNeverRuns are told by the endpoint in a refusal.
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
	// CodeStopped: the task ran and was stopped before its end.
	CodeStopped Code = "stopped"
	// CodeCheckpointed: the task ran up to a checkpoint. A start of the same
	// request id continues it.
	CodeCheckpointed Code = "checkpointed"
	// CodeNoAnswer: the request was sent and no answer came.
	CodeNoAnswer Code = "no_answer"
	// CodeBroken: the answer is incomplete, altered or that of another attempt.
	CodeBroken Code = "answer_broken"
)

// AttemptError says what is known about an attempt without an answer.
type AttemptError struct {
	Attempt string
	Outcome tmonce.Outcome
	Code    Code
	// Status is the HTTP status of the answer, 0 without one.
	Status int
	// Err is the cause, if there is one beyond the code.
	Err error
}

// Error names the attempt, the outcome and the code.
func (e *AttemptError) Error() string {
	text := fmt.Sprintf("tmendpoint: attempt %s: %s (outcome %s, status %d)", e.Attempt, e.Code, e.Outcome, e.Status)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Err }

// LeaseEnded reports whether the entry needs a new lease.
func (e *AttemptError) LeaseEnded() bool { return e.Code == CodeLeaseEnded }

// NonceExpired reports whether the nonce was too old.
func (e *AttemptError) NonceExpired() bool { return e.Code == CodeNonceExpired }

// NoSlot reports whether the lease had no idle slot.
func (e *AttemptError) NoSlot() bool { return e.Code == CodeNoSlot }

// Draining reports whether the endpoint takes no new tasks.
func (e *AttemptError) Draining() bool { return e.Code == CodeDraining }

// NeverRuns reports whether the task can never run at this endpoint.
func (e *AttemptError) NeverRuns() bool { return e.Code == CodeNeverRuns }

// Start runs a task and returns its answer. The error is an *AttemptError. Its
// outcome is NotRun only when no byte of the request was written, or when the
// endpoint refused this very attempt; Ran when the endpoint reported that this
// attempt ran; and Unknown otherwise. Canceling ctx doesn't stop the task.
// net/http never replays a start: POST without an idempotency key is not
// replayable, and tmhttp takes away the means to rewind the body.
func (c *Client) Start(ctx context.Context, address string, t Task) (Answer, error) {
	req, err := t.request(address)
	if err != nil {
		return Answer{}, &AttemptError{Attempt: t.Attempt, Outcome: tmonce.NotRun, Code: CodeNotSent, Err: err}
	}
	resp, err := c.tasks.Do(ctx, req, t.Timeout+answerMargin)
	if err != nil {
		return Answer{}, t.unanswered(err)
	}
	return readAnswer(t.Attempt, resp)
}

func (t Task) request(address string) (*http.Request, error) {
	if err := t.check(); err != nil {
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

func (t Task) check() error {
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
		return fmt.Errorf("tmendpoint: task has timeout %s, expected a positive one", t.Timeout)
	}
	return nil
}

func (t Task) unanswered(err error) *AttemptError {
	failed := &AttemptError{Attempt: t.Attempt, Outcome: tmonce.Unknown, Code: CodeNoAnswer, Err: err}
	var exchange *tmhttp.Error
	if errors.As(err, &exchange) && !exchange.Sent {
		failed.Outcome = tmonce.NotRun
		failed.Code = CodeNotSent
	}
	return failed
}
