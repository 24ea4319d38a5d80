package tmhttp

import (
	"io"
	"net"
	"net/http/httptrace"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a request that the transport writes after its exchange was reported
// as not sent. Also guards against counting the writes of earlier exchanges on a
// reused connection for this exchange.
func TestNotSentConnectionIsClosed(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	conn := &countingConn{Conn: local}
	_, err := conn.Write([]byte("earlier exchange"))
	assert.NilError(t, err)
	var unsent, sent sentTrace
	sent.gotConn(httptrace.GotConnInfo{Conn: conn})
	_, err = conn.Write([]byte("request"))
	assert.NilError(t, err)
	unsent.gotConn(httptrace.GotConnInfo{Conn: conn})
	assert.Equal(t, unsent.closeAndCheckSent(), false)
	assert.Equal(t, sent.closeAndCheckSent(), true)
	_, err = conn.Write([]byte("late"))
	assert.ErrorIs(t, err, io.ErrClosedPipe)
}
