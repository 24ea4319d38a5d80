package tmtls_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmtls"
)

// writePair writes a self-signed certificate with the given serial number.
func writePair(t *testing.T, cert, key string, serial int64) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "entry"},
		NotAfter:     time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(private)
	assert.NilError(t, err)
	writePEM(t, cert, "CERTIFICATE", der, serial)
	writePEM(t, key, "EC PRIVATE KEY", keyDER, serial)
}

// writePEM sets a different modification time for each serial number, because two
// writes can get the same time from the file system's clock.
func writePEM(t *testing.T, path, kind string, der []byte, serial int64) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	assert.NilError(t, os.WriteFile(path, data, 0o600))
	modified := time.Unix(1_000_000+serial, 0)
	assert.NilError(t, os.Chtimes(path, modified, modified))
}

func serial(t *testing.T, s *tmtls.Source) int64 {
	leaf, err := x509.ParseCertificate(s.Certificate().Certificate[0])
	assert.NilError(t, err)
	return leaf.SerialNumber.Int64()
}

// Guards against a renewed certificate that is not served, and against an invalid
// file that makes the last valid certificate unavailable.
func TestReload(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem")
	clock := tmclock.NewManual(1)
	_, err := tmtls.New(cert, key, clock)
	assert.ErrorContains(t, err, "c.pem")
	writePair(t, cert, key, 1)
	s, err := tmtls.New(cert, key, clock)
	assert.NilError(t, err)
	writePair(t, cert, key, 2)
	clock.Advance(tmclock.Second)
	assert.Equal(t, serial(t, s), int64(2))
	assert.NilError(t, os.WriteFile(cert, []byte("broken"), 0o600))
	clock.Advance(tmclock.Second)
	assert.Equal(t, serial(t, s), int64(2))
	assert.ErrorContains(t, s.Err(), "c.pem")
	writePair(t, cert, key, 3)
	clock.Advance(tmclock.Second)
	assert.Equal(t, serial(t, s), int64(3))
	assert.NilError(t, s.Err())
}

// Guards against a handshake that doesn't use the current certificate.
func TestHandshake(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "c.pem"), filepath.Join(dir, "k.pem")
	writePair(t, cert, key, 1)
	clock := tmclock.NewManual(1)
	s, err := tmtls.New(cert, key, clock)
	assert.NilError(t, err)
	server := httptest.NewUnstartedServer(http.NotFoundHandler())
	server.TLS = s.Config()
	server.StartTLS()
	t.Cleanup(server.Close)
	for _, want := range []int64{1, 2} {
		writePair(t, cert, key, want)
		clock.Advance(tmclock.Second)
		conn, err := tls.Dial("tcp", server.Listener.Addr().String(), &tls.Config{InsecureSkipVerify: true, ServerName: "entry"})
		assert.NilError(t, err)
		got := conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
		assert.NilError(t, conn.Close())
		assert.Equal(t, got, want)
	}
}
