// Package judge checks the guarantees of a fleet against what is visible from
// outside: the journal of submissions that the load generator writes, the
// journals of endpoints, and the rows of the table service. It doesn't depend on
// the internal state of an entry.
package judge

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"turmericmoor/internal/standin/tmfakeendpoint"
)

// Submission is one request as its caller saw it. A request that is sent again
// with the same ID is a separate Submission.
type Submission struct {
	Stream string `json:"stream"`
	Team   string `json:"team"`
	Queue  string `json:"queue"`
	// Echo is unique among all submissions of a request and its repetitions.
	Echo string `json:"echo"`
	// RequestID is the ID that the caller chose, or the one in the response of the
	// entry. It is empty when the entry chose it and its response was lost.
	RequestID     string `json:"request_id"`
	CallerChoseID bool   `json:"own_id"`
	// Repetition is the number of earlier submissions with the same ID.
	Repetition int    `json:"repetition"`
	Idempotent bool   `json:"idempotent"`
	Urgent     bool   `json:"urgent"`
	Entry      string `json:"entry"`
	// IntendedUs, SentUs and EndedUs are in microseconds since the Unix epoch.
	IntendedUs int64 `json:"intended_us"`
	SentUs     int64 `json:"sent_us"`
	EndedUs    int64 `json:"ended_us"`
	// Code is "ok", the error code, or "not_sent" when the generator had too many
	// requests in flight.
	Code string `json:"code"`
	// Outcome is ran, not_run or unknown.
	Outcome  string `json:"outcome"`
	Replayed bool   `json:"replayed,omitempty"`
	// Cut is set when the connection broke before the response was complete.
	Cut bool `json:"cut,omitempty"`
	// ResponseEcho and AnswerID are the echo and the request ID in the response.
	// They are empty without a response.
	ResponseEcho string `json:"answer_echo,omitempty"`
	ResponseID   string `json:"answer_id,omitempty"`
	Message      string `json:"message,omitempty"`
}

// Codes of a Submission in addition to the error codes of tmrequest.
const (
	CodeOK      = "ok"
	CodeNotSent = "not_sent"
	// CodeGivenUp is the code of a request whose caller stopped waiting for it.
	CodeGivenUp = "given_up"
)

// Outcomes of a Submission.
const (
	Ran     = "ran"
	NotRun  = "not_run"
	Unknown = "unknown"
)

// Event is a row of the journal of an endpoint.
type Event = tmfakeendpoint.Event

// ReadSubmissions reads a journal with one Submission per line, in JSON.
func ReadSubmissions(r io.Reader) ([]Submission, error) {
	decoder := json.NewDecoder(bufio.NewReader(r))
	var list []Submission
	for {
		var s Submission
		err := decoder.Decode(&s)
		if errors.Is(err, io.EOF) {
			return list, nil
		}
		if err != nil {
			return nil, fmt.Errorf("judge: journal, submission %d: %w", len(list)+1, err)
		}
		list = append(list, s)
	}
}
