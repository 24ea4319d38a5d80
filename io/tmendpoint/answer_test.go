package tmendpoint

import (
	"errors"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmonce"
	"turmericmoor/io/tmhttp"
)

func response(status int, body string, header map[string]string) *tmhttp.Response {
	resp := &tmhttp.Response{Status: status, Header: http.Header{}, Length: int64(len(body)), Body: []byte(body)}
	for name, value := range header {
		resp.Header.Set(name, value)
	}
	return resp
}

// Guards against a wrong outcome: not_run requires a rejection that echoes this
// attempt and has a matching status; any inconsistent response is unknown.
func TestOutcomeOfAnswers(t *testing.T) {
	const body = `{"error":{"code":"nonce_expired"}}`
	notRun := map[string]string{"Tm-Attempt": "a1", "Tm-Outcome": "not_run"}
	ran := map[string]string{"Tm-Attempt": "a1", "Tm-Outcome": "ran"}
	for _, tc := range []struct {
		name    string
		resp    *tmhttp.Response
		outcome tmonce.Outcome
		code    Code
	}{
		{"rejection", response(409, body, notRun), tmonce.NotRun, CodeNonceExpired},
		{"rejection without reason", response(409, "", notRun), tmonce.NotRun, CodeLeaseEnded},
		{"rejection with a truncated body", &tmhttp.Response{
			Status: 503, Header: response(0, "", notRun).Header, Length: 9, BodyErr: errContentLength,
		}, tmonce.NotRun, CodeDraining},
		{"rejection of another attempt", response(409, body, map[string]string{"Tm-Attempt": "a2", "Tm-Outcome": "not_run"}), tmonce.Unknown, CodeAnswerBroken},
		{"rejection without attempt", response(503, body, map[string]string{"Tm-Outcome": "not_run"}), tmonce.Unknown, CodeAnswerBroken},
		{"rejection without outcome", response(503, body, map[string]string{"Tm-Attempt": "a1"}), tmonce.Unknown, CodeAnswerBroken},
		{"500 with not_run", response(500, body, notRun), tmonce.Unknown, CodeAnswerBroken},
		{"409 with ran", response(409, body, ran), tmonce.Unknown, CodeAnswerBroken},
		{"500 with ran", response(500, "", ran), tmonce.Ran, CodeTaskFailed},
		{"200 without digest", response(200, "x", ran), tmonce.Unknown, CodeAnswerBroken},
		{"200 with another digest", response(200, "x", map[string]string{"Tm-Attempt": "a1", "Tm-Digest": Digest([]byte("y"))}), tmonce.Unknown, CodeAnswerBroken},
		{"200 without length", &tmhttp.Response{
			Status: 200, Length: -1, Body: []byte("x"),
			Header: response(0, "", map[string]string{"Tm-Attempt": "a1", "Tm-Digest": Digest([]byte("x"))}).Header,
		}, tmonce.Unknown, CodeAnswerBroken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := readAnswer("a1", tc.resp)
			var attemptErr *AttemptError
			assert.Assert(t, errors.As(err, &attemptErr), "got %v", err)
			assert.Equal(t, attemptErr.Outcome, tc.outcome)
			assert.Equal(t, attemptErr.Code, tc.code)
		})
	}
}

// Guards against panics and against outcomes that the response does not prove.
func FuzzReadAnswer(f *testing.F) {
	f.Add(200, "a1", "ran", Digest([]byte("body")), []byte("body"), int64(4), false)
	f.Add(409, "a1", "not_run", "", []byte(`{"error":{"code":"nonce_expired"}}`), int64(34), false)
	f.Add(500, "a1", "ran", "", []byte(`{"error":null}`), int64(-1), true)
	f.Fuzz(func(t *testing.T, status int, attempt, outcome, digest string, body []byte, length int64, truncated bool) {
		resp := response(status, string(body), map[string]string{"Tm-Attempt": attempt, "Tm-Outcome": outcome, "Tm-Digest": digest})
		resp.Length = length
		if truncated {
			resp.BodyErr = errContentLength
		}
		answer, err := readAnswer("a1", resp)
		if err == nil {
			assert.Assert(t, status == 200 && attempt == "a1" && !truncated && length == int64(len(body)) && digest == Digest(answer.Body))
			return
		}
		var attemptErr *AttemptError
		assert.Assert(t, errors.As(err, &attemptErr))
		if attemptErr.Outcome == tmonce.Unknown {
			return
		}
		assert.Assert(t, attempt == "a1" && status != 200 && outcome == attemptErr.Outcome.String())
	})
}
