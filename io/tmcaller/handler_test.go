package tmcaller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/io/tmcaller"
)

// echoBackend returns the body of the request as its answer.
type echoBackend struct{ got []tmrequest.Request }

func (b *echoBackend) Submit(_ context.Context, r tmrequest.Request) (tmrequest.Answer, *tmrequest.Error) {
	b.got = append(b.got, r)
	return tmrequest.NewAnswer("text/plain", r.Body(), false), nil
}

func Example() {
	server := httptest.NewServer(tmcaller.NewHandler(&echoBackend{}, 0))
	defer server.Close()
	client := tmcaller.NewClient(server.URL)
	defer client.Close()
	r := tmrequest.New(tmrequest.Params{Queue: "scans", Body: []byte("step 7")})
	answer, err := client.Submit(context.Background(), "key", r)
	fmt.Println(string(answer.Body()), err)
	// Output: step 7 <nil>
}

// Guards against invalid input that reaches the backend, and against rejections
// that don't report that the request did not run.
func TestInvalidInputIsRejected(t *testing.T) {
	cases := []struct {
		name, path, header, value string
		body                      []byte
		status                    int
		code                      tmrequest.Code
	}{
		{"flag", "/v1/queues/q/requests", tmcaller.HeaderIdempotent, "yes", nil, 400, tmrequest.BadRequest},
		{"timeout zero", "/v1/queues/q/requests", tmcaller.HeaderTimeout, "0", nil, 400, tmrequest.BadRequest},
		{"timeout above the maximum", "/v1/queues/q/requests", tmcaller.HeaderTimeout, "300001", nil, 400, tmrequest.BadRequest},
		{"size", "/v1/queues/q/requests", tmcaller.HeaderSize, "-1", nil, 400, tmrequest.BadRequest},
		{"key form", "/v1/queues/q/requests", "Authorization", "Basic abc", nil, 401, tmrequest.BadKey},
		{"body", "/v1/queues/q/requests", "", "", make([]byte, tmrequest.MaxBodyBytes+1), 413, tmrequest.TooLarge},
		{"path", "/v1/dump", "", "", nil, 400, tmrequest.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			backend := &echoBackend{}
			r := httptest.NewRequest(http.MethodPost, c.path, bytes.NewReader(c.body))
			if c.header != "" {
				r.Header.Set(c.header, c.value)
			}
			w := httptest.NewRecorder()
			tmcaller.NewHandler(backend, 0).ServeHTTP(w, r)
			assert.Equal(t, w.Code, c.status)
			var got struct {
				Error struct{ Code, Outcome string }
			}
			assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &got))
			assert.Equal(t, got.Error.Code, string(c.code))
			assert.Equal(t, got.Error.Outcome, tmonce.NotRun.String())
			assert.Equal(t, len(backend.got), 0)
		})
	}
}

// Guards against a plain-text key that reaches the backend.
func TestOnlyHashOfKeyReachesBackend(t *testing.T) {
	backend := &echoBackend{}
	r := httptest.NewRequest(http.MethodPost, "/v1/queues/q/requests", strings.NewReader("x"))
	r.Header.Set("Authorization", "Bearer secret")
	tmcaller.NewHandler(backend, 0).ServeHTTP(httptest.NewRecorder(), r)
	assert.Equal(t, backend.got[0].KeyHash(), tmrequest.HashKey("secret"))
}

// Guards against a rejection that reports not_run for an id under which an earlier
// submission may have run.
func TestRejectionOfRecordedRequestIsUnknown(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/v1/queues/q/requests", strings.NewReader("x"))
	r.Header.Set(tmcaller.HeaderRequestID, "01a23fea-3586-74ec-b15f-41e59a40cb89")
	r.Header.Set(tmcaller.HeaderSize, "x")
	w := httptest.NewRecorder()
	tmcaller.NewHandler(&echoBackend{}, 0).ServeHTTP(w, r)
	assert.Equal(t, w.Header().Get(tmcaller.HeaderOutcome), tmonce.Unknown.String())
}

// Guards against a configured body limit that has no effect.
func TestMaxBody(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/v1/queues/q/requests", strings.NewReader("four"))
	w := httptest.NewRecorder()
	tmcaller.NewHandler(&echoBackend{}, 3).ServeHTTP(w, r)
	assert.Equal(t, w.Code, http.StatusRequestEntityTooLarge)
}
