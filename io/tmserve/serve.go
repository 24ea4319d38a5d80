// Package tmserve serves HTTP listeners and shuts them down gracefully.
package tmserve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"turmericmoor/internal/tmwait"
	"turmericmoor/io/tmguard"
)

const (
	// idleTimeout is how long an idle connection of a caller stays open.
	idleTimeout = 60 * time.Second
	// bindRetryInterval is the pause before an address that is taken is tried again.
	bindRetryInterval = 100 * time.Millisecond
	// waitReportInterval is the time between two calls of Reporter.Waits for an address.
	waitReportInterval = 10 * time.Second
)

// Reporter is told about addresses that are not free at once.
type Reporter struct {
	// Waits is called when an address is found to be taken, and at each
	// waitReportInterval for which it stays so.
	Waits func(address string, waited time.Duration, cause error)
	// Opens is called when such an address has become free and is served.
	Opens func(address string, waited time.Duration)
}

// Server serves a set of HTTP listeners. It is safe for concurrent use.
type Server struct {
	report  Reporter
	guard   *tmguard.Guard
	ctx     context.Context
	stop    context.CancelFunc
	serving sync.WaitGroup

	mu      sync.Mutex
	servers []*http.Server
	open    map[string]bool
}

// New returns a server without listeners. guard protects all of them; it stays open when the
// server is closed.
func New(report Reporter, guard *tmguard.Guard) *Server {
	s := &Server{report: report, guard: guard, open: map[string]bool{}}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// Add listens on an address and serves its requests with handler. class has the connections
// that the listener may have. While another process
// holds the address, or the process has no file descriptor left, Add returns at once and
// the address is tried again until it is free. Any other failure is returned.
func (s *Server) Add(address string, class tmguard.Class, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	switch {
	case err == nil:
		s.serve(address, listener, class, handler)
	case isTransient(err):
		s.serving.Go(func() { s.serveWhenFree(address, err, class, handler) })
	default:
		return fmt.Errorf("tmserve: %w", err)
	}
	return nil
}

// isTransient reports whether an address that could not be listened on may be later.
func isTransient(err error) bool {
	for _, cause := range []error{syscall.EADDRINUSE, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// serveWhenFree tries to listen on an address until it can, or until the server is closed.
func (s *Server) serveWhenFree(address string, cause error, class tmguard.Class, handler http.Handler) {
	began := time.Now()
	s.report.Waits(address, 0, cause)
	reported := began
	for tmwait.Pause(s.ctx, bindRetryInterval) {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			s.report.Opens(address, time.Since(began))
			s.serve(address, listener, class, handler)
			return
		}
		if time.Since(reported) >= waitReportInterval {
			reported = time.Now()
			s.report.Waits(address, time.Since(began), err)
		}
	}
}

func (s *Server) serve(address string, listener net.Listener, class tmguard.Class, handler http.Handler) {
	// The guard bounds the time for a header, by the time for which the process ran: a timeout that
	// expires during a pause would close connections with requests that are still to be read.
	srv := s.guard.Server(handler)
	srv.IdleTimeout = idleTimeout
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil {
		// Nothing was accepted, so that there is nothing to report.
		_ = listener.Close()
		return
	}
	s.servers = append(s.servers, srv)
	s.open[address] = true
	s.serving.Go(func() {
		// After Shutdown, Serve returns http.ErrServerClosed; any other error
		// ends the listener, which the load balancer detects.
		_ = srv.Serve(s.guard.Listen(listener, class))
	})
}

// IsOpen reports whether an address that was added is being served.
func (s *Server) IsOpen(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open[address]
}

// Close shuts all listeners down gracefully and waits for them to end. It closes
// the connections of requests that are still in progress after timeout.
func (s *Server) Close(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	s.mu.Lock()
	s.stop()
	servers := s.servers
	s.mu.Unlock()
	var errs []error
	for _, srv := range servers {
		if err := srv.Shutdown(ctx); err != nil {
			errs = append(errs, err, srv.Close())
		}
	}
	s.serving.Wait()
	return errors.Join(errs...)
}
