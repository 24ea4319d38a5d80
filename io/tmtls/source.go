// Package tmtls serves TLS certificates from files and reloads them when the files
// change, so that a certificate can be replaced without a restart.
package tmtls

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"

	"turmericmoor/core/tmclock"
)

// checkInterval is how long a certificate is used before its files are checked
// for changes. It bounds the rate of file system calls under many handshakes.
const checkInterval = tmclock.Second

// Source is a certificate and key in two PEM files. It is safe for concurrent
// use and starts no goroutine.
type Source struct {
	certFile string
	keyFile  string
	clock    tmclock.Clock

	mu        sync.Mutex
	cert      *tls.Certificate
	versions  [2]fileVersion
	checkedAt tmclock.Millis
	err       error
}

// fileVersion identifies the contents of a file by modification time and size.
type fileVersion struct {
	modified int64
	size     int64
}

// New reads the files and returns an error if they are not a certificate and its
// key.
func New(certFile, keyFile string, clock tmclock.Clock) (*Source, error) {
	s := &Source{certFile: certFile, keyFile: keyFile, clock: clock}
	s.reload()
	if s.err != nil {
		return nil, s.err
	}
	return s, nil
}

// Config returns a server configuration that uses the current certificate for
// every handshake.
func (s *Source) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.Certificate(), nil
		},
	}
}

// Certificate returns the current certificate. If the files have changed but can't
// be loaded, it returns the last valid certificate, and Err returns the reason.
func (s *Source) Certificate() *tls.Certificate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Now().Sub(s.checkedAt) >= checkInterval {
		s.reload()
	}
	return s.cert
}

// Err returns the error of the last attempt to load the files, or nil.
func (s *Source) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// reload loads the files if they have changed. A pair of which only one file has
// been replaced so far doesn't match and is loaded again at the next check.
func (s *Source) reload() {
	s.checkedAt = s.clock.Now()
	var current [2]fileVersion
	for i, path := range [...]string{s.certFile, s.keyFile} {
		info, err := os.Stat(path)
		if err != nil {
			s.err = fmt.Errorf("tmtls: %w", err)
			return
		}
		current[i] = fileVersion{info.ModTime().UnixNano(), info.Size()}
	}
	if s.cert != nil && s.err == nil && current == s.versions {
		return
	}
	cert, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		s.err = fmt.Errorf("tmtls: certificate %s with key %s: %w", s.certFile, s.keyFile, err)
		return
	}
	s.cert, s.versions, s.err = &cert, current, nil
}
