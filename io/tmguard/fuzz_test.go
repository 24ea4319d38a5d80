package tmguard

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scriptConn is a connection on which a fixed input arrives in pieces.
type scriptConn struct {
	net.Conn
	mu     sync.Mutex
	input  []byte
	piece  int
	closed chan struct{}
	once   sync.Once
}

func newScriptConn(input []byte, piece int) *scriptConn {
	return &scriptConn{input: input, piece: piece, closed: make(chan struct{})}
}

func (c *scriptConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.input) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.piece)], c.input)
	c.input = c.input[n:]
	return n, nil
}

func (c *scriptConn) Write(p []byte) (int, error)      { return len(p), nil }
func (c *scriptConn) Close() error                     { c.once.Do(func() { close(c.closed) }); return nil }
func (c *scriptConn) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (c *scriptConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (c *scriptConn) SetDeadline(time.Time) error      { return nil }
func (c *scriptConn) SetReadDeadline(time.Time) error  { return nil }
func (c *scriptConn) SetWriteDeadline(time.Time) error { return nil }

// oneListener accepts one connection.
type oneListener struct{ conns chan net.Conn }

func (l oneListener) Accept() (net.Conn, error) {
	c, ok := <-l.conns
	if !ok {
		return nil, errors.New("closed")
	}
	return c, nil
}
func (l oneListener) Close() error   { return nil }
func (l oneListener) Addr() net.Addr { return &net.TCPAddr{} }

// play serves an input and returns, for each request, its target and the number of its header
// lines.
func play(t *testing.T, input []byte, piece int, g *Guard) (targets []string, lines []int) {
	t.Helper()
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		targets = append(targets, r.Method+" "+r.RequestURI)
		n := 0
		for _, values := range r.Header {
			n += len(values)
		}
		lines = append(lines, n)
	})
	conn := newScriptConn(input, piece)
	l := oneListener{make(chan net.Conn, 1)}
	l.conns <- conn
	close(l.conns)
	server, listener := &http.Server{Handler: handler}, net.Listener(l)
	if g != nil {
		server, listener = g.Server(handler), g.Listen(l, Callers)
	}
	server.ErrorLog = nil
	_ = server.Serve(listener)
	select {
	case <-conn.closed:
	case <-time.After(testTimeout):
		t.Fatal("the connection was not closed")
	}
	return targets, lines
}

// FuzzStream checks that the guard changes nothing for a client whose headers are within the
// limits, and that no header far over the limits is served, whatever a client sends and in
// whatever pieces.
func FuzzStream(f *testing.F) {
	f.Add([]byte(get+"\r\n"+post("{\n}\n")+get+"a:\n\n"), 7)
	f.Add([]byte("\r\n\r\n"+get+"\r\n"), 1)
	f.Add([]byte(post("")+"\r\n\r\n"+get+" folded\r\n \r\n\r\n"), 4096)
	f.Add([]byte(get+strings.Repeat("a:\n", 3000)+"\n"+get+"\r\n"), 5000)
	f.Add([]byte("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\n\n\n\r\n0\r\nt: 1\r\n\r\n"+get+"\r\n"), 3)
	f.Add([]byte(get+"\r\n"+get+strings.Repeat("b:\r\n", 900)+"\r\n"+post(strings.Repeat("\n", 5000))), 4096)
	f.Fuzz(func(t *testing.T, input []byte, piece int) {
		piece = min(max(piece, 1), 8192)
		guard := New(DefaultLimits(Machine{}), nil)
		defer guard.Close()
		if len(input) <= defaultHeaderBytes {
			plain, _ := play(t, input, piece, nil)
			guarded, _ := play(t, input, piece, guard)
			assert.DeepEqual(t, guarded, plain)
		}
		limits := DefaultLimits(Machine{})
		limits.HeaderLines, limits.HeaderBytes, limits.LeadBytes = 20, 512, 4
		strict := New(limits, nil)
		defer strict.Close()
		_, lines := play(t, input, piece, strict)
		for _, n := range lines {
			// Two reads are not judged: the one with the end of the header, and what is read ahead.
			assert.Assert(t, n <= limits.HeaderLines+2*readBufferSize/shortestLine+1, "%d lines", n)
		}
		assert.Equal(t, strict.Open(Callers), 0)
		assert.Equal(t, strict.header.used+strict.body.used, int64(0))
	})
}
