package tmguard

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkRequest measures a request with a small body on a connection that stays open, with
// and without a guard.
func BenchmarkRequest(b *testing.B) {
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	b.Run("plain", func(b *testing.B) {
		benchmarkServer(b, &http.Server{Handler: handler}, func(l net.Listener) net.Listener { return l })
	})
	b.Run("guarded", func(b *testing.B) {
		g := New(DefaultLimits(Machine{}), nil)
		defer g.Close()
		benchmarkServer(b, g.Server(handler), func(l net.Listener) net.Listener { return g.Listen(l, Callers) })
	})
}

func benchmarkServer(b *testing.B, server *http.Server, wrap func(net.Listener) net.Listener) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	go func() { _ = server.Serve(wrap(l)) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	request, answer := []byte(post(strings.Repeat("x", 500))), make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Write(request); err != nil {
			b.Fatal(err)
		}
		if _, err := conn.Read(answer); err != nil {
			b.Fatal(err)
		}
	}
}
