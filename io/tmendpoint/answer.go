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

// Causes of CodeAnswerBroken.
var (
	errAttemptMismatch = errors.New("header Tm-Attempt is missing or names another attempt")
	errContentLength   = errors.New("header Content-Length is missing or does not match the body")
	errDigestMismatch  = errors.New("header Tm-Digest is missing or does not match the body")
	errOutcomeMismatch = errors.New("header Tm-Outcome is missing or does not match the status")
)

type wireError struct {
	Error struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readAnswer decodes a response into an Answer or an *AttemptError. Every
// response, including a rejection, must echo the attempt id: a response meant for
// another attempt proves nothing about this one, so its outcome is Unknown.
func readAnswer(attempt string, resp *tmhttp.Response) (Answer, error) {
	attemptErr := &AttemptError{Attempt: attempt, Outcome: tmonce.Unknown, Code: CodeAnswerBroken, Status: resp.Status}
	if echo := resp.Header.Values("Tm-Attempt"); len(echo) != 1 || echo[0] != attempt {
		attemptErr.Err = errAttemptMismatch
		return Answer{}, attemptErr
	}
	if resp.Status != http.StatusOK {
		return Answer{}, decodeFailure(attemptErr, resp)
	}
	if attemptErr.Err = checkBody(resp); attemptErr.Err != nil {
		return Answer{}, attemptErr
	}
	return Answer{Body: resp.Body}, nil
}

func checkBody(resp *tmhttp.Response) error {
	if resp.BodyErr != nil {
		return fmt.Errorf("body is incomplete: %w", resp.BodyErr)
	}
	if resp.Length < 0 || resp.Length != int64(len(resp.Body)) {
		return errContentLength
	}
	digest := resp.Header.Values("Tm-Digest")
	if len(digest) != 1 || digest[0] != Digest(resp.Body) {
		return errDigestMismatch
	}
	return nil
}

// Digest returns the xxhash64 of body in the format of the Tm-Digest header: 16
// lower-case hex digits.
func Digest(body []byte) string {
	text := strconv.FormatUint(xxhash.Sum64(body), 16)
	return "0000000000000000"[len(text):] + text
}

// decodeFailure sets the outcome and code of a response other than 200. It trusts
// the outcome in the header only if the status matches it.
func decodeFailure(attemptErr *AttemptError, resp *tmhttp.Response) *AttemptError {
	outcome := resp.Header.Values("Tm-Outcome")
	if len(outcome) != 1 {
		attemptErr.Err = errOutcomeMismatch
		return attemptErr
	}
	code, isRejection := rejectionCode(resp)
	switch {
	case isRejection && outcome[0] == tmonce.NotRun.String():
		attemptErr.Outcome, attemptErr.Code = tmonce.NotRun, code
	case resp.Status == http.StatusInternalServerError && outcome[0] == tmonce.Ran.String():
		attemptErr.Outcome, attemptErr.Code = tmonce.Ran, failureCode(resp)
	default:
		attemptErr.Err = errOutcomeMismatch
	}
	return attemptErr
}

// rejectionCode returns the code of a rejection, and whether the status is one. A
// 409 that names no known reason is treated as the end of the lease, after which
// the entry requests a new one.
func rejectionCode(resp *tmhttp.Response) (Code, bool) {
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
