package tmpeer

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against clients without the secret that hold all connections, so that no peer gets in,
// and against connections of peers that are closed for them.
func TestUnprovedConnectionsMakeRoomForPeers(t *testing.T) {
	t.Parallel()
	const connections = 4
	var refused atomic.Int64
	a, _ := start(t, "a", freeAddress(t), nil)
	b, mb := start(t, "b", freeAddress(t), func(o *Options) {
		o.MaxConnections = connections
		o.Refused = func(string) { refused.Add(1) }
	})
	waitForAnswer(t, a, mb)
	before := linkOf(a, mb)
	var silent []net.Conn
	for range connections - 1 {
		silent = append(silent, dialSilent(t, mb.Address()))
	}
	time.Sleep(handshakeGrace + 50*time.Millisecond)
	last := dialSilent(t, mb.Address())
	// The oldest is closed for the last one, long before the handshake times out.
	assert.NilError(t, silent[0].SetReadDeadline(time.Now().Add(handshakeTimeout/2)))
	_, err := silent[0].Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), err)
	assert.NilError(t, last.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = last.Read(make([]byte, 1))
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
	assert.Assert(t, refused.Load() >= 1)
	assert.NilError(t, heartbeat(a, mb))
	assert.Equal(t, linkOf(a, mb), before)
	b.mu.Lock()
	defer b.mu.Unlock()
	assert.Assert(t, len(b.inbound) <= connections, len(b.inbound))
}

func dialSilent(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { closeQuietly(c) })
	return c
}
