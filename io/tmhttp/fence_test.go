package tmhttp

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a transport that writes the request after the exchange was
// reported as not sent, and against earlier writes on a reused connection that
// count for this exchange.
func TestFence(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	conn := &countedConn{Conn: local}
	_, err := conn.Write([]byte("earlier exchange"))
	assert.NilError(t, err)
	var idle, used sentTrace
	used.gotConn(httptrace.GotConnInfo{Conn: conn})
	_, err = conn.Write([]byte("request"))
	assert.NilError(t, err)
	idle.gotConn(httptrace.GotConnInfo{Conn: conn})
	assert.Equal(t, idle.fence(), false)
	assert.Equal(t, used.fence(), true)
	_, err = conn.Write([]byte("late"))
	assert.ErrorIs(t, err, io.ErrClosedPipe)
}
