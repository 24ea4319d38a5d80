// Package tmhttp performs single HTTP exchanges for the clients of the platform
// and of endpoints. An exchange has a time limit and a bounded answer, follows
// no redirect, and a failed one says whether any byte of the request was
// written to the network.
package tmhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"turmericmoor/core/tmclock"
)

// Limits that every Client has.
const (
	dialTimeout    = 1 * time.Second
	idleTimeout    = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// ErrClosed is the cause of an Error after Close.
var ErrClosed = errors.New("tmhttp: client is closed")

// errTooLong is the cause of a broken body that exceeds the bound.
var errTooLong = errors.New("tmhttp: body exceeds the bound")

// Options are the bounds of a Client. All of them must be positive.
type Options struct {
	// MaxConns is the number of connections per host and port.
	MaxConns int
	// MaxIdle is the number of idle connections kept per host and port.
	MaxIdle int
	// MaxBody is the number of bytes that are read of one answer.
	MaxBody int64
}

// Client performs exchanges. It is safe for concurrent use.
type Client struct {
	transport *http.Transport
	maxBody   int64
	ctx       context.Context
	cancel    context.CancelFunc

	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup
}

// Response is an answer whose header has arrived.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, or -1 without one.
	Length int64
	// Body is what arrived of the body.
	Body []byte
	// BodyErr is not nil when the body is incomplete or exceeds the bound.
	BodyErr error
}

// Error is an exchange that brought no answer.
type Error struct {
	// Sent is false only when no byte of the request was written to the
	// network and none will be.
	Sent bool
	Err  error
}

// Error returns the cause.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("tmhttp: no answer: %v", e.Err)
	}
	return fmt.Sprintf("tmhttp: not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a Client.
func New(opts Options) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				conn, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countedConn{Conn: conn}, nil
			},
			// A transparently decompressed answer loses its declared length.
			DisableCompression:     true,
			MaxConnsPerHost:        opts.MaxConns,
			MaxIdleConnsPerHost:    opts.MaxIdle,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		maxBody: opts.MaxBody,
		ctx:     ctx,
		cancel:  cancel,
	}
}

// Do sends req and reads the answer, within limit and the deadline of ctx. An
// error is an *Error. A redirect is returned as the answer. Only a request
// with a replayable method (GET) is sent again by net/http after a byte of it
// was written.
func (c *Client) Do(ctx context.Context, req *http.Request, limit tmclock.Span) (*Response, error) {
	if !c.begin() {
		return nil, &Error{Err: ErrClosed}
	}
	defer c.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, limit.Duration())
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	var sent sentTrace
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	req = req.WithContext(ctx)
	// Without GetBody the transport can't rewind the body to send it again.
	req.GetBody = nil
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, &Error{Sent: sent.fence(), Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, bodyErr := readBounded(resp.Body, c.maxBody)
	return &Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Length:  resp.ContentLength,
		Body:    body,
		BodyErr: bodyErr,
	}, nil
}

// Close cancels the exchanges under way, waits for them and closes the idle
// connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.calls.Wait()
	c.transport.CloseIdleConnections()
}

func (c *Client) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.calls.Add(1)
	return true
}

func readBounded(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return body, err
	}
	if int64(len(body)) > limit {
		return body[:limit], errTooLong
	}
	return body, nil
}

// countedConn counts the writes on a connection before they happen.
type countedConn struct {
	net.Conn
	writes atomic.Int64
}

// Write counts and writes.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// sentTrace records the connections that one exchange used and how many writes
// they had seen by then.
type sentTrace struct {
	mu    sync.Mutex
	conns []usedConn
}

type usedConn struct {
	conn   *countedConn
	before int64
}

func (s *sentTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, usedConn{conn: conn, before: conn.writes.Load()})
}

// fence closes the connections of a failed exchange and reports whether any
// byte may have been written. The transport may still be about to write when
// RoundTrip returns, so the count is read after the connection is closed.
func (s *sentTrace) fence() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := false
	for _, u := range s.conns {
		_ = u.conn.Close()
		if u.conn.writes.Load() != u.before {
			sent = true
		}
	}
	return sent
}
