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
	// process pause that a node has to survive: a timeout that expires during the
	// pause would close connections with requests that are still to be read.
	headerTimeout = 60 * time.Second
	// idleTimeout is how long an idle connection of a caller stays open.
	idleTimeout = 60 * time.Second
)

// Server serves a set of HTTP listeners.
type Server struct {
	servers []*http.Server
	serving sync.WaitGroup
}

// Add listens on an address and serves its requests with handler.
func (s *Server) Add(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("tmserve: %w", err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	s.servers = append(s.servers, srv)
	s.serving.Go(func() {
		// After Shutdown, Serve returns http.ErrServerClosed; any other error
		// ends the listener, which the load balancer detects.
		_ = srv.Serve(listener)
	})
	return nil
}

// Close shuts all listeners down gracefully and waits for them to end. It closes
// the connections of requests that are still in progress after timeout.
func (s *Server) Close(timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var errs []error
	for _, srv := range s.servers {
		if err := srv.Shutdown(ctx); err != nil {
			errs = append(errs, err, srv.Close())
		}
	}
	s.serving.Wait()
	return errors.Join(errs...)
}
