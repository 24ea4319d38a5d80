package tmguard

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testTimeout bounds each wait of a test.
const testTimeout = 10 * time.Second

// served is a guarded server that answers each request with the length of its body.
type served struct {
	guard   *Guard
	address string
	handled atomic.Int64
}

func serveGuarded(t *testing.T, limits Limits) *served {
	t.Helper()
	s := &served{guard: New(limits, nil)}
	t.Cleanup(s.guard.Close)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = l.Addr().String()
	server := s.guard.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.handled.Add(1)
		n, err := io.Copy(io.Discard, r.Body)
		if err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = fmt.Fprint(w, n)
	}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(s.guard.Listen(l, Callers))
	}()
	t.Cleanup(func() { _ = server.Close(); <-done })
	return s
}

// client is one connection to a server.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (s *served) dial(t *testing.T) *client {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	assert.NilError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = conn.Close() })
	return &client{t: t, Conn: conn, r: bufio.NewReader(conn)}
}

func (c *client) send(parts ...string) {
	c.t.Helper()
	for _, part := range parts {
		_, err := io.WriteString(c.Conn, part)
		assert.NilError(c.t, err)
	}
}

// status reads a response and returns its status, 0 if the connection was closed.
func (c *client) status() int {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// eventually waits until f is true.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !f(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), what)
	}
}

func testLimits() Limits {
	l := DefaultLimits(Machine{MemoryMB: 184, Files: 4100})
	l.Connections, l.Reserved = 8, 2
	return l
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n"

func post(body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// headerOf returns a complete header of a number of bytes in lines of the shortest form.
func headerOf(size int) string {
	header := get + strings.Repeat("a:\n", (size-len(get)-2)/3)
	return header + strings.Repeat(" ", size-len(header)-2) + "\r\n"
}

// Guards against limits that a single request of legal size reaches.
func TestRequestsWithinTheLimitsAreServed(t *testing.T) {
	s := serveGuarded(t, testLimits())
	header := get + "X: " + strings.Repeat("x", 16_384-len(get)-len("X: ")-4) + "\r\n\r\n"
	for _, request := range []string{header, headerOf(16_383), post(strings.Repeat("\n", 262_144))} {
		c := s.dial(t)
		for range 3 {
			c.send(request)
			assert.Equal(t, c.status(), http.StatusOK, "%d bytes", len(request))
		}
	}
	for _, kind := range Kinds() {
		assert.Equal(t, s.guard.Refusals(kind), int64(0), kind)
	}
}

// Guards against a body of many lines that is counted as part of a header, also when requests
// follow each other without a pause and are cut into any pieces.
func TestPipelinedBodiesAreNotCountedAsHeaders(t *testing.T) {
	limits := testLimits()
	limits.HeaderLines, limits.HeaderBytes = 10, 512
	s := serveGuarded(t, limits)
	requests := strings.Repeat(post(strings.Repeat("\n", 5000))+get+"\r\n", 20)
	for _, piece := range []int{1000, 4095, 4096, 4097, len(requests)} {
		c := s.dial(t)
		go func() {
			for rest := requests; rest != ""; {
				n := min(piece, len(rest))
				if _, err := io.WriteString(c.Conn, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
			}
		}()
		for i := range 40 {
			assert.Equal(t, c.status(), http.StatusOK, "answer %d, pieces of %d", i, piece)
		}
	}
}

// Guards against a header over a limit that is read on, and against an answer that does not
// say so.
func TestHeadersOverALimitAreRefused(t *testing.T) {
	limits := testLimits()
	limits.HeaderBytes, limits.HeaderLines = 8192, 100
	s := serveGuarded(t, limits)
	for name, tc := range map[string]struct {
		message string
		status  int
		kind    Kind
	}{
		"bytes":     {get + "X: " + strings.Repeat("x", 50_000), http.StatusRequestHeaderFieldsTooLarge, HeaderBytes},
		"lines":     {get + strings.Repeat("a:\r\n", 2000), http.StatusRequestHeaderFieldsTooLarge, HeaderLines},
		"pipelined": {get + "\r\n" + get + strings.Repeat("a:\r\n", 4000), http.StatusRequestHeaderFieldsTooLarge, HeaderLines},
	} {
		t.Run(name, func(t *testing.T) {
			before := s.guard.Refusals(tc.kind)
			c := s.dial(t)
			go func() { _, _ = io.WriteString(c.Conn, tc.message) }()
			status := c.status()
			if name == "pipelined" && status == http.StatusOK {
				status = c.status()
			}
			// The refusal is lost when the client still sends while the connection is closed.
			assert.Assert(t, status == tc.status || status == 0, status)
			eventually(t, "not counted", func() bool { return s.guard.Refusals(tc.kind) == before+1 })
		})
	}
}

// Guards against a guard that misjudges what net/http has read ahead, because net/http uses
// another buffer than the guard assumes.
func TestReadBufferOfServer(t *testing.T) {
	sizes := make(chan int, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	go func() { _ = server.Serve(sizeListener{l, sizes}) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.Equal(t, <-sizes, readBufferSize)
}

type sizeListener struct {
	net.Listener
	sizes chan int
}

func (l sizeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &sizeConn{Conn: c, sizes: l.sizes}, err
}

type sizeConn struct {
	net.Conn
	sizes chan int
}

func (c *sizeConn) Read(p []byte) (int, error) {
	select {
	case c.sizes <- len(p):
	default:
	}
	return c.Conn.Read(p)
}

// Guards against a header that arrives in pieces and is cut because the process was paused
// between them, and against one that is never cut.
func TestOnlyTimeInWhichTheProcessRanCounts(t *testing.T) {
	s := serveGuarded(t, testLimits())
	c := s.dial(t)
	c.send(get)
	eventually(t, "the header has not begun", s.headerBegan)
	s.guard.advance(time.Hour)
	c.send("\r\n")
	assert.Equal(t, c.status(), http.StatusOK)

	c.send(get)
	eventually(t, "the header has not begun", s.headerBegan)
	for range 1 + int(defaultHeaderTime/watchInterval) {
		s.guard.advance(watchInterval)
	}
	assert.Equal(t, c.status(), 0)
	assert.Equal(t, s.guard.Refusals(HeaderTime), int64(1))
}

// headerBegan reports whether a header is being read.
func (s *served) headerBegan() bool {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	for e := s.guard.pools[Callers].conns.Front(); e != nil; e = e.Next() {
		if e.Value.(*conn).headerSince.Load() >= 0 {
			return true
		}
	}
	return false
}

// Guards against connections that take the place of others for good, and against a request
// being served that is cut off for them.
func TestOldestWaitingConnectionIsClosedFirst(t *testing.T) {
	limits := testLimits()
	s := serveGuarded(t, limits)
	body := s.dial(t)
	body.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n1")
	eventually(t, "no request", func() bool { return s.handled.Load() == 1 })
	idle := s.dial(t)
	idle.send(get + "\r\n")
	assert.Equal(t, idle.status(), http.StatusOK)
	for range limits.Connections - 2 {
		s.dial(t).send("G")
	}
	eventually(t, "not accepted", func() bool { return s.guard.Open(Callers) == limits.Connections })
	last := s.dial(t)
	last.send(get + "\r\n")
	assert.Equal(t, last.status(), http.StatusOK)
	assert.Equal(t, body.status(), 0, "the oldest unfinished request was not the one that was closed")
	idle.send(get + "\r\n")
	assert.Equal(t, idle.status(), http.StatusOK)
	assert.Equal(t, s.guard.Refusals(Connections), int64(1))
	assert.Equal(t, s.guard.Open(Callers), limits.Connections)
}

// Guards against bodies that together take more memory than allowed, and against a single one
// that is refused although it is alone.
func TestBodiesShareABudget(t *testing.T) {
	limits := testLimits()
	limits.BodyMemory = 100_000
	s := serveGuarded(t, limits)
	alone := s.dial(t)
	alone.send(post(strings.Repeat("x", 262_144)))
	assert.Equal(t, alone.status(), http.StatusOK)
	// The budget is released after the response was sent.
	eventually(t, "not released", func() bool { return s.bodies() == 0 })

	first := s.dial(t)
	first.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 80000\r\n\r\n" + strings.Repeat("x", 70_000))
	eventually(t, "not charged", func() bool { return s.bodies() == 70_000 })
	second := s.dial(t)
	second.send(post(strings.Repeat("x", 60_000)))
	assert.Equal(t, second.status(), http.StatusOK)
	assert.Equal(t, first.status(), 0)
	assert.Equal(t, s.guard.Refusals(BodyMemory), int64(1))
	eventually(t, "not released", func() bool { return s.bodies() == 0 })
}

func (s *served) bodies() int64 {
	s.guard.mu.Lock()
	defer s.guard.mu.Unlock()
	return s.guard.body.used
}

// Guards against lines that are not charged because they were read together with the request
// before them, and against a charge for the body of a request that nothing follows.
func TestLinesReadAheadAreCharged(t *testing.T) {
	s := serveGuarded(t, testLimits())
	c := s.dial(t)
	c.send(get + "\r\n" + get + strings.Repeat("a:\r\n", 500) + "b")
	assert.Equal(t, c.status(), http.StatusOK)
	eventually(t, "not charged", s.holds(1))
	c.send(":\r\n\r\n")
	assert.Equal(t, c.status(), http.StatusOK)
	c.send(post(strings.Repeat("\n", 3000)))
	assert.Equal(t, c.status(), http.StatusOK)
	c.send(get)
	eventually(t, "the header has not begun", s.headerBegan)
	assert.Assert(t, s.holds(0)())
}

// Guards against the lines of unfinished headers that together take more memory than allowed.
func TestHeadersShareABudget(t *testing.T) {
	limits := testLimits()
	limits.HeaderMemory = 2 * 1000 * lineCost
	s := serveGuarded(t, limits)
	lines := strings.Repeat("a:\r\n", 900)
	first, second, third := s.dial(t), s.dial(t), s.dial(t)
	first.send(get + lines)
	eventually(t, "not charged", s.holds(1))
	second.send(get + lines)
	eventually(t, "not charged", s.holds(2))
	third.send(get + lines + "\r\n")
	assert.Equal(t, third.status(), http.StatusOK)
	assert.Equal(t, first.status(), 0)
	second.send("\r\n")
	assert.Equal(t, second.status(), http.StatusOK)
	assert.Equal(t, s.guard.Refusals(HeaderMemory), int64(1))
}

func (s *served) holds(n int) func() bool {
	return func() bool {
		s.guard.mu.Lock()
		defer s.guard.mu.Unlock()
		return s.guard.header.holders.Len() == n
	}
}
