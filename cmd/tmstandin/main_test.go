package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmendpoint"
	"turmericmoor/io/tmplatform"
)

// run starts a command and returns its addresses and a function that stops it
// and returns its error.
func run(t *testing.T, args ...string) ([]string, func() error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	r, w := io.Pipe()
	cmd := rootCommand()
	cmd.SetArgs(args)
	cmd.SetOut(w)
	done := make(chan error, 1)
	go func() {
		err := cmd.ExecuteContext(ctx)
		_ = w.CloseWithError(io.EOF)
		done <- err
	}()
	line, err := bufio.NewReader(r).ReadBytes('\n')
	assert.NilError(t, err)
	var got ready
	assert.NilError(t, json.Unmarshal(line, &got))
	assert.Equal(t, got.Address, got.Addresses[0])
	return got.Addresses, func() error {
		cancel()
		return <-done
	}
}

// Guards against a platform process that leaves something behind when it is
// stopped, or that stops with an error.
func TestPlatformCommand(t *testing.T) {
	defer goleak.VerifyNone(t)
	addresses, stop := run(t, "platform", "--list-lag", "1h")
	c := tmplatform.New(tmplatform.Options{BaseURL: "http://" + addresses[0], Instance: "entry-1"})
	assert.NilError(t, c.PutObject(context.Background(), "x", nil))
	assert.NilError(t, stop())
	c.Close()
	// A pooled connection may take a write before its end is noticed, which is
	// rightly uncertain. A new connection has to be refused.
	c = tmplatform.New(tmplatform.Options{BaseURL: "http://" + addresses[0], Instance: "entry-1"})
	assert.ErrorIs(t, c.PutObject(context.Background(), "x", nil), tmplatform.ErrUnavailable)
	c.Close()
}

// Guards against endpoint processes that wait for their running tasks when
// they are stopped, and against endpoints of one process that share slots.
func TestEndpointCommand(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx := context.Background()
	addresses, stop := run(t, "endpoint", "--count", "2", "--zone", "a")
	assert.Equal(t, len(addresses), 2)
	c := tmendpoint.New(tmendpoint.Options{})
	for _, address := range addresses {
		grant, err := c.Lease(ctx, address, "entry-1", 8)
		assert.NilError(t, err)
		assert.Equal(t, grant.Slots, 8)
	}
	assert.NilError(t, stop())
	c.Close()
}

// Guards against an endpoint that takes more than its connections, and against
// one that takes none after some have been closed.
func TestConnectionsAreLimited(t *testing.T) {
	listener, err := listenLimited("127.0.0.1:0", 1)
	assert.NilError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	first, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	second, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = second.Close() }()
	_, err = second.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	assert.NilError(t, err)
	buf := make([]byte, 1)
	assert.NilError(t, second.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = second.Read(buf)
	assert.ErrorContains(t, err, "timeout")
	assert.NilError(t, first.Close())
	assert.NilError(t, second.SetReadDeadline(time.Now().Add((10 * tmclock.Second).Duration())))
	_, err = second.Read(buf)
	assert.NilError(t, err)
}

// Guards against a wrong address that is accepted or reported unclearly.
func TestBadFlags(t *testing.T) {
	for _, args := range [][]string{
		{"endpoint", "--listen", "localhost:1"},
		{"endpoint", "--listen", "127.0.0.1:65535", "--count", "2"},
		{"endpoint", "--count", "0"},
	} {
		cmd := rootCommand()
		cmd.SetArgs(args)
		cmd.SetOut(io.Discard)
		cmd.SetErr(io.Discard)
		assert.ErrorContains(t, cmd.Execute(), "--")
	}
}
