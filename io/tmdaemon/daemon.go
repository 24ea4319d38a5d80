// Package tmdaemon runs an entry as a process: its listeners for callers and
// operators, and its graceful shutdown.
package tmdaemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmcaller"
	"turmericmoor/io/tmentry"
	"turmericmoor/io/tmoperator"
	"turmericmoor/io/tmsettings"
	"turmericmoor/io/tmtls"
)

const (
	// headerTimeout bounds reading the header of a request.
	headerTimeout = 10 * time.Second
	// bodyTimeout bounds reading a whole request.
	bodyTimeout = 60 * time.Second
	// unreadyTime is how long the entry still serves after it has reported
	// that it isn't healthy, so that the balancer sends nothing new.
	unreadyTime = 2 * tmclock.Second
	// maxHeader bounds the header of a request in bytes.
	maxHeader = 16 << 10
)

// Daemon is a running entry with its listeners.
type Daemon struct {
	settings tmsettings.Settings
	log      *log.Logger
	entry    *tmentry.Entry
	servers  []*http.Server
	serving  sync.WaitGroup
	callers  string
	admins   string
}

// Start binds the listeners and starts the entry.
func Start(settings tmsettings.Settings, logger *log.Logger) (*Daemon, error) {
	callers, err := listen(settings.Callers())
	if err != nil {
		return nil, fmt.Errorf("tmdaemon: callers: %w", err)
	}
	operators, err := listen(settings.Operators())
	if err != nil {
		_ = callers.Close()
		return nil, fmt.Errorf("tmdaemon: operators: %w", err)
	}
	entry, err := tmentry.Start(tmentry.Options{
		Name:            settings.Name(),
		Zone:            settings.Zone(),
		PeerListen:      settings.PeerListen(),
		PeerAdvertise:   settings.PeerAdvertise(),
		PeerSecret:      []byte(settings.PeerSecret()),
		PlatformURL:     settings.PlatformURL(),
		PlatformTimeout: settings.PlatformTimeout(),
		QueueRequests:   settings.QueueRequests(),
		QueueBytes:      int(settings.QueueBytes()),
		Log:             logger,
	})
	if err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return nil, fmt.Errorf("tmdaemon: %w", err)
	}
	admin, err := tmoperator.NewHandler(entry, settings.OperatorKeyHash(), logger)
	if err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return nil, errors.Join(fmt.Errorf("tmdaemon: %w", err), entry.Close(context.Background()))
	}
	d := &Daemon{
		settings: settings,
		log:      logger,
		entry:    entry,
		callers:  callers.Addr().String(),
		admins:   operators.Addr().String(),
	}
	d.serve(callers, closing(entry, tmcaller.NewHandler(entry, settings.BodyBytes())))
	d.serve(operators, admin)
	logger.Info("listening", "callers", d.callers, "operators", d.admins, "peers", settings.PeerListen())
	return d, nil
}

// CallerAddress returns IP:port of the listener for callers.
func (d *Daemon) CallerAddress() string { return d.callers }

// OperatorAddress returns IP:port of the listener for operators.
func (d *Daemon) OperatorAddress() string { return d.admins }

func listen(l tmsettings.Listener) (net.Listener, error) {
	listener, err := net.Listen("tcp", l.Address())
	if err != nil {
		return nil, err
	}
	if !l.TLS() {
		return listener, nil
	}
	source, err := tmtls.New(l.CertFile(), l.KeyFile(), tmclock.NewSystem())
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return newTLSListener(listener, source), nil
}

func (d *Daemon) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       d.settings.IdleTimeout().Duration(),
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          d.log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
	d.servers = append(d.servers, server)
	d.serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener failed", "address", listener.Addr().String(), "error", err)
		}
	})
}

// closing ends the connection after each answer once the entry has withdrawn.
// A connection that is closed while idle may cut a request that is just being
// sent on it.
func closing(entry *tmentry.Entry, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if entry.Withdrawn() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Close shuts down gracefully within the time from the settings: the health
// check fails first, requests under way are answered, then the entry leaves.
func (d *Daemon) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout().Duration())
	defer cancel()
	d.log.Info("stopping")
	d.entry.Withdraw()
	waitFor(ctx, unreadyTime)
	var errs []error
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil {
			errs = append(errs, fmt.Errorf("tmdaemon: close: %w", err), server.Close())
		}
	}
	errs = append(errs, d.entry.Close(ctx))
	d.serving.Wait()
	return errors.Join(errs...)
}

func waitFor(ctx context.Context, d tmclock.Span) {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
