// Package tmsettings reads the INI settings of one entry. Unknown sections and
// keys are rejected with file and line, durations and sizes need a unit, and an
// error lists every problem together with the expected value.
// docs/entry.example.ini has all keys with their defaults.
package tmsettings

import (
	"errors"
	"fmt"
	"path/filepath"

	"github.com/charmbracelet/log"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmguard"
	"turmericmoor/io/tmini"
)

// InvalidError lists every problem of a settings file.
type InvalidError = tmini.InvalidError

// Problem is one problem of a settings file.
type Problem = tmini.Problem

// Listener holds the address and the TLS files of the listener for one kind of
// client. It is immutable.
type Listener struct {
	listenAddress string
	certFile      string
	keyFile       string
}

// Address returns IP:port. Port 0 lets the system choose a port.
func (l Listener) Address() string { return l.listenAddress }

// TLS reports whether the listener has a certificate.
func (l Listener) TLS() bool { return l.certFile != "" }

// CertFile returns the path of the certificate in PEM form, or "".
func (l Listener) CertFile() string { return l.certFile }

// KeyFile returns the path of the private key in PEM form, or "".
func (l Listener) KeyFile() string { return l.keyFile }

// Settings are the settings of one entry. They are immutable and safe for
// concurrent use.
type Settings struct {
	name     string
	zone     string
	logLevel log.Level

	callers       Listener
	operators     Listener
	peerListen    string
	peerAdvertise string

	platformURL     string
	peerSecret      string
	operatorKeyHash string

	platformTimeout tmclock.Span
	idleTimeout     tmclock.Span
	shutdownTimeout tmclock.Span

	queueRequests int
	queueBytes    int64
	maxBodyBytes  int64

	limits          tmguard.Limits
	peerConnections int
}

// Name returns the name of the entry, which is unique among entries.
func (s Settings) Name() string { return s.name }

// Zone returns the availability zone that the entry runs in.
func (s Settings) Zone() string { return s.zone }

// LogLevel returns the lowest level that is logged.
func (s Settings) LogLevel() log.Level { return s.logLevel }

// Callers returns the listener for callers.
func (s Settings) Callers() Listener { return s.callers }

// Operators returns the listener for operators.
func (s Settings) Operators() Listener { return s.operators }

// PeerListen returns IP:port of the listener for other entries.
func (s Settings) PeerListen() string { return s.peerListen }

// PeerAdvertise returns the IP:port at which other entries reach this one.
func (s Settings) PeerAdvertise() string { return s.peerAdvertise }

// PlatformURL returns the base URL of the platform, without a slash at the end.
func (s Settings) PlatformURL() string { return s.platformURL }

// PeerSecret returns the secret that all entries share. It is not logged.
func (s Settings) PeerSecret() string { return s.peerSecret }

// OperatorKeyHash returns the SHA-256 of the operator key in lower-case hex.
func (s Settings) OperatorKeyHash() string { return s.operatorKeyHash }

// PlatformTimeout returns the timeout of one call to the platform.
func (s Settings) PlatformTimeout() tmclock.Span { return s.platformTimeout }

// IdleTimeout returns how long an idle connection of a client stays open.
func (s Settings) IdleTimeout() tmclock.Span { return s.idleTimeout }

// ShutdownTimeout returns the timeout of a graceful shutdown.
func (s Settings) ShutdownTimeout() tmclock.Span { return s.shutdownTimeout }

// QueueRequests returns the maximum number of queued requests.
func (s Settings) QueueRequests() int { return s.queueRequests }

// QueueBytes returns the maximum total size of queued request bodies in bytes.
func (s Settings) QueueBytes() int64 { return s.queueBytes }

// MaxBodyBytes returns the largest permitted request body in bytes.
func (s Settings) MaxBodyBytes() int64 { return s.maxBodyBytes }

// Limits returns the limits of clients of the listeners for callers and operators.
func (s Settings) Limits() tmguard.Limits { return s.limits }

// PeerConnections returns the maximum number of connections that other entries dial.
func (s Settings) PeerConnections() int { return s.peerConnections }

// Load reads the settings file at path. It returns an *InvalidError with every
// problem found. Relative paths are resolved against the directory of the file.
func Load(path string) (Settings, error) {
	entries, err := tmini.Load(path)
	if err != nil {
		return Settings{}, wrap(err)
	}
	return build(path, filepath.Dir(path), entries)
}

// Parse reads settings from the contents of a file. The name is used in
// errors. Relative paths are resolved against the working directory.
func Parse(name string, data []byte) (Settings, error) {
	entries, err := tmini.Parse(name, data)
	if err != nil {
		return Settings{}, wrap(err)
	}
	return build(name, ".", entries)
}

func wrap(err error) error {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return err
	}
	return fmt.Errorf("tmsettings: %w", err)
}

func build(file, dir string, entries []tmini.Entry) (Settings, error) {
	r := newReader(file, dir, entries)
	s := Settings{
		name:            r.name("entry", "name"),
		zone:            r.name("entry", "zone"),
		logLevel:        r.level("entry", "log_level", log.InfoLevel),
		callers:         r.listener("callers"),
		operators:       r.listener("operators"),
		peerListen:      r.address("peers", "listen", requirePort),
		operatorKeyHash: r.hash("operators", "operator_key_hash"),
		platformURL:     r.url("platform", "url"),
		platformTimeout: r.span("platform", 2*tmclock.Second),
		idleTimeout:     r.span("idle", tmclock.Minute),
		shutdownTimeout: r.span("shutdown", 30*tmclock.Second),
		queueRequests:   r.count("queue", "max_requests", 10_000),
		queueBytes:      r.size("queue", "max_size", 64*megabyte),
		maxBodyBytes:    r.size("callers", "max_body", megabyte),
	}
	s.limits = r.limits(s.queueRequests, s.queueBytes)
	s.peerConnections = r.count("limits", "peer_connections", defaultPeerConnections)
	s.peerAdvertise = r.advertise(s.peerListen)
	s.peerSecret = r.secret()
	r.rejectUnknown()
	if s.maxBodyBytes > s.queueBytes {
		r.addProblem("callers", "max_body", "is above queue.max_size", "at most the size of the queue")
	}
	if len(r.problems) > 0 {
		return Settings{}, &InvalidError{Problems: r.problems}
	}
	return s, nil
}
