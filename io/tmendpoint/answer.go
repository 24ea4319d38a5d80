package tmendpoint

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"turmericmoor/core/tmonce"
	"turmericmoor/io/tmhttp"
)

// Causes of CodeBroken.
var (
	errOtherAttempt = errors.New("answer echoes another attempt")
	errNoLength     = errors.New("answer has no Content-Length")
	errDigest       = errors.New("body does not match its digest")
	errUnexpected   = errors.New("status and outcome do not go together")
)

type wireError struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readAnswer turns an answer into an Answer or an *AttemptError. Each answer,
// a refusal included, counts only when it echoes the attempt: one that was
// meant for another attempt says nothing about this one.
func readAnswer(attempt string, resp *tmhttp.Response) (Answer, error) {
	failed := &AttemptError{Attempt: attempt, Outcome: tmonce.Unknown, Code: CodeBroken, Status: resp.Status}
	if echo := resp.Header.Values("Tm-Attempt"); len(echo) != 1 || echo[0] != attempt {
		failed.Err = errOtherAttempt
		return Answer{}, failed
	}
	if resp.Status != http.StatusOK {
		return Answer{}, explain(failed, resp)
	}
	if failed.Err = checkBody(resp); failed.Err != nil {
		return Answer{}, failed
	}
	return Answer{Body: resp.Body}, nil
}

func checkBody(resp *tmhttp.Response) error {
	if resp.BodyErr != nil {
		return fmt.Errorf("body is incomplete: %w", resp.BodyErr)
	}
	if resp.Length < 0 || resp.Length != int64(len(resp.Body)) {
		return errNoLength
	}
	digest := resp.Header.Values("Tm-Digest")
	if len(digest) != 1 || digest[0] != Digest(resp.Body) {
		return errDigest
	}
	return nil
}

// Digest returns the form of the body's xxhash64 that Tm-Digest has: 16 lower
// case hex digits.
func Digest(body []byte) string {
	text := strconv.FormatUint(xxhash.Sum64(body), 16)
	return "0000000000000000"[len(text):] + text
}

// explain fills in what an answer other than 200 says. The outcome is taken
// from the header only together with a status that goes with it.
func explain(failed *AttemptError, resp *tmhttp.Response) *AttemptError {
	outcome := resp.Header.Values("Tm-Outcome")
	if len(outcome) != 1 {
		failed.Err = errUnexpected
		return failed
	}
	code, known := refusalCode(resp)
	switch {
	case known && outcome[0] == tmonce.NotRun.String():
		failed.Outcome, failed.Code = tmonce.NotRun, code
	case resp.Status == http.StatusInternalServerError && outcome[0] == tmonce.Ran.String():
		failed.Outcome, failed.Code = tmonce.Ran, failureCode(resp)
	default:
		failed.Err = errUnexpected
	}
	return failed
}

// refusalCode returns the code of a refusal, and whether the status is one. A
// refusal with 409 that names no reason counts as the end of the lease, after
// which the entry asks for a new one.
func refusalCode(resp *tmhttp.Response) (Code, bool) {
	switch resp.Status {
	case http.StatusConflict:
		if bodyCode(resp) == CodeNonceExpired {
			return CodeNonceExpired, true
		}
		return CodeLeaseEnded, true
	case http.StatusTooManyRequests:
		return CodeNoSlot, true
	case http.StatusServiceUnavailable:
		return CodeDraining, true
	case http.StatusUnprocessableEntity:
		return CodeNeverRuns, true
	}
	return "", false
}

func failureCode(resp *tmhttp.Response) Code {
	switch code := bodyCode(resp); code {
	case CodeStopped, CodeCheckpointed:
		return code
	default:
		return CodeTaskFailed
	}
}

func bodyCode(resp *tmhttp.Response) Code {
	var w wireError
	if resp.BodyErr != nil || json.Unmarshal(resp.Body, &w) != nil {
		return ""
	}
	return Code(w.Error.Code)
}
