package tmguard

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against clients that never read their responses and hold all connections for good,
// because their requests count as being served.
func TestUnreadResponsesMakeRoom(t *testing.T) {
	limits := testLimits()
	limits.Connections = 4
	g := New(limits, nil)
	defer g.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var blocked atomic.Int64
	server := g.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			return
		}
		chunk := []byte(strings.Repeat("x", 1<<20))
		blocked.Add(1)
		for {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	}))
	go func() { _ = server.Serve(g.Listen(l, Callers)) }()
	defer func() { _ = server.Close() }()
	s := &served{guard: g, address: l.Addr().String()}
	for range limits.Connections {
		s.dial(t).send("GET /long HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	eventually(t, "not served", func() bool { return blocked.Load() == int64(limits.Connections) })
	eventually(t, "no room for an ordinary request", func() bool {
		g.advance(watchInterval)
		c := s.dial(t)
		if _, err := c.Write([]byte(get + "\r\n")); err != nil {
			return false
		}
		return c.status() == http.StatusOK
	})
	assert.Assert(t, g.Open(Callers) <= limits.Connections)
}

// Guards against a response that is cut off while its client reads it.
func TestResponseThatIsReadIsNotCutOff(t *testing.T) {
	limits := testLimits()
	limits.Connections = 1
	g := New(limits, nil)
	defer g.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	resume := make(chan struct{})
	server := g.Server(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", 1<<16)))
		<-resume
	}))
	go func() { _ = server.Serve(g.Listen(l, Callers)) }()
	defer func() { _ = server.Close() }()
	s := &served{guard: g, address: l.Addr().String()}
	c := s.dial(t)
	c.send(get + "\r\n")
	_, err = c.r.ReadByte()
	assert.NilError(t, err)
	g.advance(time.Hour)
	g.advance(time.Hour)
	assert.Equal(t, s.dial(t).status(), 0, "the newcomer was not refused")
	close(resume)
	assert.NilError(t, c.r.UnreadByte())
	assert.Equal(t, c.status(), http.StatusOK)
}
