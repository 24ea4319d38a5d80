package tmguard

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against limits that are counted in encrypted bytes, or not at all, on a listener with
// TLS, and against a handshake that is waited for without end.
func TestLimitsCountWhatIsDecrypted(t *testing.T) {
	certificates := httptest.NewUnstartedServer(nil)
	certificates.StartTLS()
	defer certificates.Close()
	limits := testLimits()
	limits.HeaderLines = 100
	g := New(limits, nil)
	defer g.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := g.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "ok") }))
	config := &tls.Config{Certificates: certificates.TLS.Certificates}
	go func() { _ = server.Serve(g.ListenTLS(l, Callers, config)) }()
	defer func() { _ = server.Close() }()

	s := &served{guard: g, address: l.Addr().String()}
	secure := func() *client {
		c := s.dial(t)
		conn := tls.Client(c.Conn, &tls.Config{InsecureSkipVerify: true})
		assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
		c.Conn = conn
		c.r.Reset(conn)
		return c
	}
	c := secure()
	for range 3 {
		c.send(get + "\r\n")
		assert.Equal(t, c.status(), http.StatusOK)
	}
	c.send(get)
	// Each write is a record of its own.
	for range 20 {
		if _, err := c.Write([]byte(strings.Repeat("a:\r\n", 400))); err != nil {
			break
		}
	}
	c = secure()
	// The refusal may come while the client still sends, and is lost then.
	if _, err := c.Write([]byte(get + strings.Repeat("a:\r\n", 1500))); err == nil {
		status := c.status()
		assert.Assert(t, status == http.StatusRequestHeaderFieldsTooLarge || status == 0, status)
	}
	eventually(t, "not counted", func() bool { return g.Refusals(HeaderLines) == 2 })

	silent := s.dial(t)
	eventually(t, "not accepted", func() bool { return g.Open(Callers) > 0 })
	for range 1 + int(emptyTime/watchInterval) {
		g.advance(watchInterval)
	}
	assert.Equal(t, silent.status(), 0)
}
