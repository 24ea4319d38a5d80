// Package tmdaemon runs an entry as a process, with its listeners for callers and
// operators and its graceful shutdown.
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
	"turmericmoor/io/tmguard"
	"turmericmoor/io/tmoperator"
	"turmericmoor/io/tmsettings"
	"turmericmoor/io/tmtls"
)

const (
	// bodyTimeout bounds reading a whole request.
	bodyTimeout = 60 * time.Second
	// unreadyDelay is how long the entry continues to serve after it starts to
	// report that it isn't healthy, so that the load balancer stops sending new
	// requests before the listeners close.
	unreadyDelay = 2 * tmclock.Second
	// metricsNamespace is the first part of the names of metrics.
	metricsNamespace = "turmericmoor"
)

// Daemon is a running entry with its listeners.
type Daemon struct {
	settings        tmsettings.Settings
	log             *log.Logger
	entry           *tmentry.Entry
	guard           *tmguard.Guard
	servers         []*http.Server
	serving         sync.WaitGroup
	callerAddress   string
	operatorAddress string
}

// Start binds the listeners and starts the entry.
func Start(settings tmsettings.Settings, logger *log.Logger) (*Daemon, error) {
	guard := tmguard.New(settings.Limits(), reportClients(logger))
	d, err := start(settings, logger, guard)
	if err != nil {
		guard.Close()
		return nil, err
	}
	return d, nil
}

// reportClients logs clients that exceed a limit.
func reportClients(logger *log.Logger) tmguard.Report {
	return func(kind tmguard.Kind, client string, total int64) {
		logger.Warn("client limited", "kind", kind.String(), "client", client, "total", total)
	}
}

func start(settings tmsettings.Settings, logger *log.Logger, guard *tmguard.Guard) (*Daemon, error) {
	callers, err := listen(settings.Callers(), guard, tmguard.Callers)
	if err != nil {
		return nil, fmt.Errorf("tmdaemon: callers: %w", err)
	}
	operators, err := listen(settings.Operators(), guard, tmguard.Control)
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
		PeerConnections: settings.PeerConnections(),
		PeerRefused:     func(client string) { guard.Refuse(tmguard.Handshake, client) },
		Collector:       guard.Collector(metricsNamespace),
	})
	if err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return nil, fmt.Errorf("tmdaemon: %w", err)
	}
	operatorHandler, err := tmoperator.NewHandler(entry, settings.OperatorKeyHash(), logger)
	if err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return nil, errors.Join(fmt.Errorf("tmdaemon: %w", err), entry.Close(context.Background()))
	}
	d := &Daemon{
		settings:        settings,
		log:             logger,
		entry:           entry,
		guard:           guard,
		callerAddress:   callers.Addr().String(),
		operatorAddress: operators.Addr().String(),
	}
	d.serve(callers, closeWhenWithdrawn(entry, tmcaller.NewHandler(entry, settings.MaxBodyBytes())))
	d.serve(operators, operatorHandler)
	logger.Info("listening", "callers", d.callerAddress, "operators", d.operatorAddress, "peers", settings.PeerListen())
	return d, nil
}

// CallerAddress returns IP:port of the listener for callers.
func (d *Daemon) CallerAddress() string { return d.callerAddress }

// OperatorAddress returns IP:port of the listener for operators.
func (d *Daemon) OperatorAddress() string { return d.operatorAddress }

func listen(l tmsettings.Listener, guard *tmguard.Guard, class tmguard.Class) (net.Listener, error) {
	listener, err := net.Listen("tcp", l.Address())
	if err != nil {
		return nil, err
	}
	if !l.TLS() {
		return guard.Listen(listener, class), nil
	}
	source, err := tmtls.New(l.CertFile(), l.KeyFile(), tmclock.NewSystem())
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return guard.ListenTLS(listener, class, source.Config()), nil
}

func (d *Daemon) serve(listener net.Listener, handler http.Handler) {
	// The guard bounds the time for a header, by the time for which the process ran.
	server := d.guard.Server(handler)
	server.ReadTimeout = bodyTimeout
	server.IdleTimeout = d.settings.IdleTimeout().Duration()
	server.ErrorLog = d.log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel})
	d.servers = append(d.servers, server)
	d.serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error("listener failed", "address", listener.Addr().String(), "error", err)
		}
	})
}

// closeWhenWithdrawn adds "Connection: close" to every response once the entry has
// withdrawn. Closing an idle connection instead could lose a request that the
// client is sending on it at that moment.
func closeWhenWithdrawn(entry *tmentry.Entry, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if entry.Withdrawn() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Close shuts down gracefully within the shutdown timeout of the settings: the
// health check fails first, then requests in progress are completed, then the
// entry leaves the fleet.
func (d *Daemon) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.ShutdownTimeout().Duration())
	defer cancel()
	d.log.Info("stopping")
	d.entry.Withdraw()
	waitFor(ctx, unreadyDelay)
	var errs []error
	for _, server := range d.servers {
		if err := server.Shutdown(ctx); err != nil {
			errs = append(errs, fmt.Errorf("tmdaemon: close: %w", err), server.Close())
		}
	}
	errs = append(errs, d.entry.Close(ctx))
	d.serving.Wait()
	d.guard.Close()
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
