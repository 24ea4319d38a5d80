package tmguard

import (
	"container/list"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// refusalTimeout bounds sending a refusal.
const refusalTimeout = time.Second

// unreadTime is how long a response waits for its client to read before the connection may be
// closed for another one. Only time in which the process ran counts.
const unreadTime = 2 * time.Second

// Phases of a connection.
const (
	// phaseHeader: idle, or the header of a request is being read.
	phaseHeader int32 = iota
	// phaseBody: the body of a request is being read.
	phaseBody
	// phaseServing: a request was read and is being served.
	phaseServing
)

// listener accepts guarded connections.
type listener struct {
	net.Listener
	guard *Guard
	class Class
	tls   *tls.Config
}

// ListenTLS is Listen for a listener whose connections are encrypted. What is counted is what
// was decrypted.
func (g *Guard) ListenTLS(inner net.Listener, class Class, config *tls.Config) net.Listener {
	return &listener{Listener: inner, guard: g, class: class, tls: config}
}

// Accept implements net.Listener. A connection for which there is no room is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
				l.guard.closeOldest(l.class)
			}
			return nil, err
		}
		c := newConn(l.guard, l.class, raw, l.tls)
		if l.guard.add(c) {
			return c, nil
		}
		l.guard.cut(c, Connections)
	}
}

// conn is a guarded connection. Reads are made by one goroutine at a time, as net/http does.
type conn struct {
	// Conn is the connection after decryption, raw the one below it.
	net.Conn
	raw   net.Conn
	guard *Guard
	class Class
	phase atomic.Int32
	// waitsSince is the value of Guard.ran when the connection was accepted, or -1 once a request
	// was answered. headerSince is the one when the header began, or -1.
	waitsSince, headerSince atomic.Int64
	// writesSince is the one when the write in progress began, or -1.
	writesSince atomic.Int64
	count       headerCount
	// refused is set once a refusal was sent.
	refused bool

	// Guarded by Guard.mu. element is nil when the connection is closed.
	element      *list.Element
	header, body charge
}

func newConn(g *Guard, class Class, raw net.Conn, config *tls.Config) *conn {
	c := &conn{Conn: raw, raw: raw, guard: g, class: class, count: headerCount{limits: &g.limits}}
	if config != nil {
		c.Conn = tls.Server(raw, config)
	}
	c.waitsSince.Store(g.ran.Load())
	c.headerSince.Store(-1)
	c.writesSince.Store(-1)
	return c
}

// Read implements net.Conn. It refuses a header that exceeds a limit.
func (c *conn) Read(p []byte) (int, error) {
	if c.phase.Load() != phaseHeader {
		n, err := c.Conn.Read(p)
		c.count.addOther(p[:n], len(p))
		return n, err
	}
	if c.refused {
		// net/http may read again after an error.
		return 0, io.EOF
	}
	if kind, over := c.count.beforeRead(len(p)); over {
		return 0, c.refuse(kind)
	}
	// What was read ahead has to be charged before a read that may wait for long.
	if !c.charge() {
		return 0, c.refuse(HeaderMemory)
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.headerSince.Load() < 0 {
		c.headerSince.Store(c.guard.ran.Load())
	}
	c.count.add(p[:n])
	if !c.charge() {
		return 0, c.refuse(HeaderMemory)
	}
	return n, err
}

// charge charges the header that is being read. It returns false if there is no room for it.
func (c *conn) charge() bool {
	cost := c.count.cost()
	return cost == 0 || c.guard.hold(&c.guard.header, c, &c.header, cost, HeaderMemory)
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writesSince.Store(c.guard.ran.Load())
	defer c.writesSince.Store(-1)
	return c.Conn.Write(p)
}

// waits reports whether the client is waited for: for a request, or to read its response.
func (c *conn) waits() bool {
	if c.phase.Load() != phaseServing {
		return true
	}
	since := c.writesSince.Load()
	return since >= 0 && c.guard.ran.Load()-since >= unreadTime.Milliseconds()
}

// SetReadDeadline implements net.Conn. It counts the calls.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.count.deadlines++
	return c.Conn.SetReadDeadline(t)
}

// responses are the answers to refused requests. None of them was carried out.
var responses = map[Kind]string{
	HeaderBytes:  "431 Request Header Fields Too Large",
	HeaderLines:  "431 Request Header Fields Too Large",
	LeadBytes:    "400 Bad Request",
	HeaderMemory: "503 Service Unavailable\r\nRetry-After: 1",
}

// refuse answers a request that is not read on. It returns io.EOF, on which net/http closes the
// connection without another answer.
func (c *conn) refuse(kind Kind) error {
	c.refused = true
	c.guard.Refuse(kind, c.raw.RemoteAddr().String())
	// The client may be gone or not reading; the connection is closed in any case.
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 "+responses[kind]+"\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
	return io.EOF
}

// CloseWrite lets net/http send a last response before it closes a connection on which the
// client still sends.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.forget(c)
	return c.Conn.Close()
}

// begin notes that a request was read up to its body.
func (c *conn) begin() {
	c.headerSince.Store(-1)
	c.phase.Store(phaseBody)
	c.guard.wait(c, false)
}

// end notes that a request was answered and the next one is waited for.
func (c *conn) end() {
	c.count.reset()
	c.waitsSince.Store(-1)
	c.phase.Store(phaseHeader)
	c.guard.wait(c, true)
}

// wait makes a connection the last of those that are waited for. If release is set, the
// connection holds nothing any more.
func (g *Guard) wait(c *conn, release bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.element == nil {
		return
	}
	g.pools[c.class].conns.MoveToBack(c.element)
	if release {
		g.header.set(c, &c.header, 0)
		g.body.set(c, &c.body, 0)
	}
}
