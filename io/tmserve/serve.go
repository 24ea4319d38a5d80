// Package tmserve serves HTTP listeners and shuts them down gracefully.
package tmserve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// headerTimeout bounds reading the header of a request. It is longer than any
	// pause that a node is meant to outlast: a limit that passes meanwhile cuts
	// requests that wait to be read.
	headerTimeout = 60 * time.Second
	// idleTimeout is how long an unused connection of a caller stays open.
	idleTimeout = 60 * time.Second
)

// Server is a set of listeners.
type Server struct {
	servers []*http.Server
	work    sync.WaitGroup
}

// Add listens at an address and serves it.
func (s *Server) Add(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("tmserve: %w", err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	s.servers = append(s.servers, srv)
	s.work.Go(func() {
		// After Shutdown, Serve returns http.ErrServerClosed; any other error
		// ends the listener, which the balancer notices.
		_ = srv.Serve(listener)
	})
	return nil
}

// Close lets requests under way end, for at most that long, and waits.
func (s *Server) Close(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	var errs []error
	for _, srv := range s.servers {
		if err := srv.Shutdown(ctx); err != nil {
			errs = append(errs, err, srv.Close())
		}
	}
	s.work.Wait()
	return errors.Join(errs...)
}
