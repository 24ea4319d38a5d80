package tmcaller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
)

// statusClientClosed is the status in logs and metrics of a request whose caller
// disconnected.
const statusClientClosed = 499

var statusOf = map[tmrequest.Code]int{
	tmrequest.NoKey:            http.StatusUnauthorized,
	tmrequest.BadKey:           http.StatusUnauthorized,
	tmrequest.UnknownQueue:     http.StatusNotFound,
	tmrequest.TooLarge:         http.StatusRequestEntityTooLarge,
	tmrequest.BadRequest:       http.StatusBadRequest,
	tmrequest.IDExpired:        http.StatusGone,
	tmrequest.IDReused:         http.StatusUnprocessableEntity,
	tmrequest.NeverRuns:        http.StatusUnprocessableEntity,
	tmrequest.InProgress:       http.StatusConflict,
	tmrequest.Overloaded:       http.StatusTooManyRequests,
	tmrequest.NotFresh:         http.StatusServiceUnavailable,
	tmrequest.Stopping:         http.StatusServiceUnavailable,
	tmrequest.StoreUnavailable: http.StatusServiceUnavailable,
	tmrequest.Deadline:         http.StatusGatewayTimeout,
	tmrequest.AnswerBroken:     http.StatusBadGateway,
	tmrequest.AnswerLost:       http.StatusBadGateway,
	tmrequest.TaskFailed:       http.StatusInternalServerError,
	tmrequest.Cancelled:        statusClientClosed,
}

type wireErrorBody struct {
	Error wireError `json:"error"`
}

type wireError struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id"`
}

func writeError(w http.ResponseWriter, requestID string, e *tmrequest.Error) {
	status, ok := statusOf[e.Code()]
	if !ok {
		status = http.StatusInternalServerError
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, e.Outcome().String())
	if requestID != "" {
		header.Set(HeaderRequestID, requestID)
	}
	if e.RetryAfter() > 0 {
		seconds := (e.RetryAfter() + tmclock.Second - 1) / tmclock.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(status)
	// A failed write means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(wireErrorBody{Error: wireError{
		Code:      string(e.Code()),
		Message:   e.Message(),
		Outcome:   e.Outcome().String(),
		RequestID: requestID,
	}})
}

// readError decodes the body of an error response. A body that does not have the
// documented format yields AnswerBroken with the outcome Unknown.
func readError(status int, body []byte) *tmrequest.Error {
	var w wireErrorBody
	if err := json.Unmarshal(body, &w); err != nil || w.Error.Code == "" {
		return tmrequest.NewError(tmrequest.AnswerBroken, tmonce.Unknown, "status %d with a body that is not an error in JSON", status)
	}
	outcome, err := tmonce.ParseOutcome(w.Error.Outcome)
	if err != nil {
		outcome = tmonce.Unknown
	}
	return tmrequest.NewError(tmrequest.Code(w.Error.Code), outcome, "%s", w.Error.Message)
}
