// Package tmhttp performs single HTTP exchanges for the clients of the platform
// and of endpoints. An exchange has a timeout, limits the size of the response
// body and follows no redirects. The error of a failed exchange tells whether any
// byte of the request was written to the network.
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

// Limits of every Client.
const (
	dialTimeout    = 1 * time.Second
	idleTimeout    = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

// ErrClosed is the cause of the Error that Do returns after Close.
var ErrClosed = errors.New("tmhttp: client is closed")

// errBodyTooLarge is the BodyErr of a body that exceeds Options.MaxBodyBytes.
var errBodyTooLarge = errors.New("tmhttp: body exceeds the bound")

// Options holds the limits of a Client. All of them must be positive.
type Options struct {
	// MaxConns is the maximum number of connections per host and port.
	MaxConns int
	// MaxIdleConns is the maximum number of idle connections per host and port.
	MaxIdleConns int
	// MaxBodyBytes is the maximum number of bytes read from a response body.
	MaxBodyBytes int64
}

// Client performs HTTP exchanges. It is safe for concurrent use.
type Client struct {
	transport    *http.Transport
	maxBodyBytes int64
	ctx          context.Context
	cancel       context.CancelFunc

	mu     sync.Mutex
	closed bool
	calls  sync.WaitGroup
}

// Response is an HTTP response whose header was received completely. Its body may
// be incomplete.
type Response struct {
	Status int
	Header http.Header
	// Length is the declared length of the body, or -1 if none was declared.
	Length int64
	// Body is the part of the body that was received.
	Body []byte
	// BodyErr is not nil if the body is incomplete or exceeds Options.MaxBodyBytes.
	BodyErr error
}

// Error is the error of an exchange without a response.
type Error struct {
	// Sent is false only if no byte of the request was written to the network and
	// none will be.
	Sent bool
	Err  error
}

// Error returns a message with the cause and whether the request was sent.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("tmhttp: no response: %v", e.Err)
	}
	return fmt.Sprintf("tmhttp: not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// New returns a Client with the given limits.
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
				return &countingConn{Conn: conn}, nil
			},
			// A response that the transport decompresses loses its declared length.
			DisableCompression:     true,
			MaxConnsPerHost:        opts.MaxConns,
			MaxIdleConnsPerHost:    opts.MaxIdleConns,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		maxBodyBytes: opts.MaxBodyBytes,
		ctx:          ctx,
		cancel:       cancel,
	}
}

// Do sends req and reads the response, within timeout and the deadline of ctx.
// Its error is an *Error. A redirect is returned as the response. If a connection
// fails after a byte of req was written, net/http sends req again only if the method
// is replayable (GET).
func (c *Client) Do(ctx context.Context, req *http.Request, timeout tmclock.Span) (*Response, error) {
	if !c.startCall() {
		return nil, &Error{Err: ErrClosed}
	}
	defer c.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	defer context.AfterFunc(c.ctx, cancel)()
	var sent sentTrace
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: sent.gotConn})
	req = req.WithContext(ctx)
	// Without GetBody the transport can't rewind the body to send it again.
	req.GetBody = nil
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return nil, &Error{Sent: sent.closeAndCheckSent(), Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, bodyErr := readBounded(resp.Body, c.maxBodyBytes)
	return &Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Length:  resp.ContentLength,
		Body:    body,
		BodyErr: bodyErr,
	}, nil
}

// Close cancels the exchanges in progress, waits for them to return and closes
// the idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.calls.Wait()
	c.transport.CloseIdleConnections()
}

func (c *Client) startCall() bool {
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
		return body[:limit], errBodyTooLarge
	}
	return body, nil
}

// countingConn counts the writes to a connection. It counts before it writes, so an
// unchanged count proves that nothing was written.
type countingConn struct {
	net.Conn
	writes atomic.Int64
}

// Write increments the count and writes p.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// sentTrace records the connections that one exchange used, each with its number
// of writes before the exchange.
type sentTrace struct {
	mu    sync.Mutex
	conns []connUse
}

type connUse struct {
	conn         *countingConn
	writesBefore int64
}

func (s *sentTrace) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, connUse{conn: conn, writesBefore: conn.writes.Load()})
}

// closeAndCheckSent closes the connections of a failed exchange and reports
// whether any byte of the request may have been written. The transport may still
// be about to write when RoundTrip returns, so each connection is closed before
// its count is read.
func (s *sentTrace) closeAndCheckSent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := false
	for _, u := range s.conns {
		_ = u.conn.Close()
		if u.conn.writes.Load() != u.writesBefore {
			sent = true
		}
	}
	return sent
}
