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

// Guards against a wrong outcome: not_run needs a refusal that echoes this
// attempt with a status that goes with it; everything doubtful is unknown.
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
		{"refusal", response(409, body, notRun), tmonce.NotRun, CodeNonceExpired},
		{"refusal without reason", response(409, "", notRun), tmonce.NotRun, CodeLeaseEnded},
		{"refusal with a cut body", &tmhttp.Response{
			Status: 503, Header: response(0, "", notRun).Header, Length: 9, BodyErr: errNoLength,
		}, tmonce.NotRun, CodeDraining},
		{"refusal of another attempt", response(409, body, map[string]string{"Tm-Attempt": "a2", "Tm-Outcome": "not_run"}), tmonce.Unknown, CodeBroken},
		{"refusal without attempt", response(503, body, map[string]string{"Tm-Outcome": "not_run"}), tmonce.Unknown, CodeBroken},
		{"refusal without outcome", response(503, body, map[string]string{"Tm-Attempt": "a1"}), tmonce.Unknown, CodeBroken},
		{"500 with not_run", response(500, body, notRun), tmonce.Unknown, CodeBroken},
		{"409 with ran", response(409, body, ran), tmonce.Unknown, CodeBroken},
		{"500 with ran", response(500, "", ran), tmonce.Ran, CodeTaskFailed},
		{"200 without digest", response(200, "x", ran), tmonce.Unknown, CodeBroken},
		{"200 with another digest", response(200, "x", map[string]string{"Tm-Attempt": "a1", "Tm-Digest": Digest([]byte("y"))}), tmonce.Unknown, CodeBroken},
		{"200 without length", &tmhttp.Response{
			Status: 200, Length: -1, Body: []byte("x"),
			Header: response(0, "", map[string]string{"Tm-Attempt": "a1", "Tm-Digest": Digest([]byte("x"))}).Header,
		}, tmonce.Unknown, CodeBroken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := readAnswer("a1", tc.resp)
			var failed *AttemptError
			assert.Assert(t, errors.As(err, &failed), "got %v", err)
			assert.Equal(t, failed.Outcome, tc.outcome)
			assert.Equal(t, failed.Code, tc.code)
		})
	}
}

// Guards against panics and against outcomes that the answer does not support.
func FuzzReadAnswer(f *testing.F) {
	f.Add(200, "a1", "ran", Digest([]byte("body")), []byte("body"), int64(4), false)
	f.Add(409, "a1", "not_run", "", []byte(`{"error":{"code":"nonce_expired"}}`), int64(34), false)
	f.Add(500, "a1", "ran", "", []byte(`{"error":null}`), int64(-1), true)
	f.Fuzz(func(t *testing.T, status int, attempt, outcome, digest string, body []byte, length int64, cut bool) {
		resp := response(status, string(body), map[string]string{"Tm-Attempt": attempt, "Tm-Outcome": outcome, "Tm-Digest": digest})
		resp.Length = length
		if cut {
			resp.BodyErr = errNoLength
		}
		answer, err := readAnswer("a1", resp)
		if err == nil {
			assert.Assert(t, status == 200 && attempt == "a1" && !cut && length == int64(len(body)) && digest == Digest(answer.Body))
			return
		}
		var failed *AttemptError
		assert.Assert(t, errors.As(err, &failed))
		if failed.Outcome == tmonce.Unknown {
			return
		}
		assert.Assert(t, attempt == "a1" && status != 200 && outcome == failed.Outcome.String())
	})
}
