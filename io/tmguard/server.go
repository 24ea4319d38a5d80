package tmguard

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
)

// freeBody is the number of bytes of a body that is part of the cost of a connection.
const freeBody = 4096

// connKey is the context key of the connection of a request.
type connKey struct{}

// Server returns a server for a listener of the Guard. The caller sets its timeouts; it needs no
// ReadHeaderTimeout.
func (g *Guard) Server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        g.guarded(handler),
		MaxHeaderBytes: g.limits.HeaderBytes,
		ConnState:      setPhase,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
}

// setPhase follows the state that net/http gives to a connection: StateActive once a header was
// read, StateIdle once its response was sent.
func setPhase(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.begin()
	case http.StateIdle:
		c.end()
	}
}

// guarded returns a handler that charges headers and bodies to the budgets of the Guard.
func (g *Guard) guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if cost := headerCost(r.Header); cost > 0 && !g.hold(&g.header, c, &c.header, cost, HeaderMemory) {
			g.Refuse(HeaderMemory, r.RemoteAddr)
			w.Header().Set("Connection", "close")
			w.Header().Set("Retry-After", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.Body == nil || r.Body == http.NoBody {
			c.phase.Store(phaseServing)
		} else {
			// net/http looks at the body of its own request when the handler returns, and closes
			// the connection if the body is broken, so that the handler gets a copy.
			r = r.WithContext(r.Context())
			r.Body = &bodyReader{ReadCloser: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
	})
}

// headerCost returns the memory of a header beyond that of an ordinary one.
func headerCost(h http.Header) int64 {
	lines := 0
	for _, values := range h {
		lines += len(values)
	}
	return lineCosts(lines)
}

// bodyReader charges a body while it is read. What it holds is released with the response.
type bodyReader struct {
	io.ReadCloser
	conn *conn
	size int64
}

// Read implements io.Reader. It returns an error that wraps ErrMemory when there is no room for
// the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.size += int64(n)
	g := b.conn.guard
	if n > 0 && b.size > freeBody && !g.hold(&g.body, b.conn, &b.conn.body, b.size, BodyMemory) {
		g.Refuse(BodyMemory, b.conn.raw.RemoteAddr().String())
		return 0, ErrMemory
	}
	if errors.Is(err, io.EOF) {
		b.conn.phase.Store(phaseServing)
	}
	return n, err
}
