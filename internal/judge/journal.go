// Package judge finds broken promises in what can be seen from outside: the
// journal of submissions that the load generator writes, the journals of
// endpoints, and the rows of the table service. It knows nothing about the
// inside of an entry.
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
// under the same id is one more Submission.
type Submission struct {
	Stream string `json:"stream"`
	Team   string `json:"team"`
	Queue  string `json:"queue"`
	// Echo is unique among all submissions of a request and its repetitions.
	Echo string `json:"echo"`
	// RequestID is the caller's id, or the one in the answer of the entry. It
	// is empty when the entry chose it and its answer was lost.
	RequestID string `json:"request_id"`
	OwnID     bool   `json:"own_id"`
	// Repetition counts the earlier submissions under the same id.
	Repetition int    `json:"repetition"`
	Idempotent bool   `json:"idempotent"`
	Urgent     bool   `json:"urgent"`
	Entry      string `json:"entry"`
	// IntendedUs, SentUs and EndedUs are in microseconds since the Unix epoch.
	IntendedUs int64 `json:"intended_us"`
	SentUs     int64 `json:"sent_us"`
	EndedUs    int64 `json:"ended_us"`
	// Code is "ok", the code of the error, or "not_sent" when the generator
	// had too many requests under way.
	Code string `json:"code"`
	// Outcome is ran, not_run or unknown.
	Outcome  string `json:"outcome"`
	Replayed bool   `json:"replayed,omitempty"`
	// Cut is set when the connection broke before the whole answer arrived.
	Cut bool `json:"cut,omitempty"`
	// AnswerEcho and AnswerID are what the answer says. They are empty without
	// an answer.
	AnswerEcho string `json:"answer_echo,omitempty"`
	AnswerID   string `json:"answer_id,omitempty"`
	Message    string `json:"message,omitempty"`
}

// Codes of a Submission beyond those of tmrequest.
const (
	CodeOK      = "ok"
	CodeNotSent = "not_sent"
	// CodeGivenUp is that of a request whose caller went away.
	CodeGivenUp = "given_up"
)

// Outcomes of a Submission.
const (
	Ran     = "ran"
	NotRun  = "not_run"
	Unknown = "unknown"
)

// Event is a row of an endpoint's journal.
type Event = tmfakeendpoint.Event

// ReadSubmissions reads a journal with one Submission in JSON on each line.
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
