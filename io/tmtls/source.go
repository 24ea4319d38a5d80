// Package tmtls serves TLS certificates from files that are read again when
// they change, so that a certificate is replaced without a restart.
package tmtls

import (
	"crypto/tls"
	"fmt"
	"os"
	"sync"

	"turmericmoor/core/tmclock"
)

// checkInterval is how long a certificate is used before its files are looked
// at again. It bounds the file system calls under many handshakes.
const checkInterval = tmclock.Second

// Source is a certificate and key in two PEM files. It is safe for concurrent
// use and has no goroutine of its own.
type Source struct {
	certFile string
	keyFile  string
	clock    tmclock.Clock

	mu      sync.Mutex
	cert    *tls.Certificate
	stamp   [2]stamp
	checked tmclock.Millis
	err     error
}

// stamp tells two contents of a file apart.
type stamp struct {
	modified int64
	size     int64
}

// New reads the files and returns an error when they are no certificate.
func New(certFile, keyFile string, clock tmclock.Clock) (*Source, error) {
	s := &Source{certFile: certFile, keyFile: keyFile, clock: clock}
	s.reload()
	if s.err != nil {
		return nil, s.err
	}
	return s, nil
}

// Config returns a server configuration that always uses the present
// certificate.
func (s *Source) Config() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.Certificate(), nil
		},
	}
}

// Certificate returns the present certificate. When the files have changed but
// can't be read, it stays the last good one, and Err has the reason.
func (s *Source) Certificate() *tls.Certificate {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.clock.Now().Sub(s.checked) >= checkInterval {
		s.reload()
	}
	return s.cert
}

// Err returns why the last read of the files failed, or nil.
func (s *Source) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// reload reads the files when they have changed. A pair of which only one file
// has been replaced so far doesn't match and is read again at the next check.
func (s *Source) reload() {
	s.checked = s.clock.Now()
	var now [2]stamp
	for i, path := range [...]string{s.certFile, s.keyFile} {
		info, err := os.Stat(path)
		if err != nil {
			s.err = fmt.Errorf("tmtls: %w", err)
			return
		}
		now[i] = stamp{info.ModTime().UnixNano(), info.Size()}
	}
	if s.cert != nil && s.err == nil && now == s.stamp {
		return
	}
	cert, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		s.err = fmt.Errorf("tmtls: certificate %s with key %s: %w", s.certFile, s.keyFile, err)
		return
	}
	s.cert, s.stamp, s.err = &cert, now, nil
}
