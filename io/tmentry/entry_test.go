package tmentry_test

import (
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmrequest"
)

// freePort returns a loopback address with a port that was free a moment ago.
func freePort(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against a break anywhere between the submission of a request and its
// answer.
func TestRequestIsServedEndToEnd(t *testing.T) {
	f := newFleet(t, 3)
	f.configure(8)
	for i := range f.entries {
		answer, fail := f.submit(i, tmrequest.Params{}, 1)
		if fail != nil {
			t.Fatalf("entry %d: %v", i, fail)
		}
		assert.Assert(t, strings.Contains(string(answer.Body()), "echo"))
	}
}
