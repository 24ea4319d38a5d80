package tmserve_test

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/io/tmguard"
	"turmericmoor/io/tmserve"
)

// servedWithin is the time within which a listener is served after its address became free.
const servedWithin = 5 * time.Second

// counts counts what a Reporter is told.
type counts struct{ waits, opens atomic.Int32 }

func (c *counts) reporter() tmserve.Reporter {
	return tmserve.Reporter{
		Waits: func(string, time.Duration, error) { c.waits.Add(1) },
		Opens: func(string, time.Duration) { c.opens.Add(1) },
	}
}

// takeAddress holds a free address until it is closed.
func takeAddress(t *testing.T) (net.Listener, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	return l, l.Addr().String()
}

func newGuard(t *testing.T) *tmguard.Guard {
	g := tmguard.New(tmguard.DefaultLimits(tmguard.Machine{}), nil)
	t.Cleanup(g.Close)
	return g
}

var hello = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "hello") })

// Guards against a process that ends for good because another one, such as its predecessor,
// holds one of its ports for a moment.
func TestAddressIsServedOnceItIsFree(t *testing.T) {
	holder, taken := takeAddress(t)
	var c counts
	s := tmserve.New(c.reporter(), newGuard(t))
	assert.NilError(t, s.Add(taken, tmguard.Callers, hello))
	free, freeAddress := takeAddress(t)
	assert.NilError(t, free.Close())
	assert.NilError(t, s.Add(freeAddress, tmguard.Callers, hello))
	assert.Assert(t, s.IsOpen(freeAddress), "an address that is taken holds up another one")
	assert.Assert(t, !s.IsOpen(taken))

	assert.NilError(t, holder.Close())
	for deadline := time.Now().Add(servedWithin); !s.IsOpen(taken); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "not served %v after the address became free", servedWithin)
	}
	resp, err := http.Get("http://" + taken)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, string(body), "hello")
	assert.Equal(t, c.waits.Load(), int32(1))
	assert.Equal(t, c.opens.Load(), int32(1))
	assert.NilError(t, s.Close(servedWithin))
}

// Guards against a stop that waits for an address that never becomes free.
func TestCloseEndsTheWaitForAnAddress(t *testing.T) {
	_, taken := takeAddress(t)
	var c counts
	s := tmserve.New(c.reporter(), newGuard(t))
	assert.NilError(t, s.Add(taken, tmguard.Callers, hello))
	began := time.Now()
	assert.NilError(t, s.Close(servedWithin))
	assert.Assert(t, time.Since(began) < time.Second)
	assert.Assert(t, !s.IsOpen(taken))
}

// Guards against a wrong address in the settings that is tried again for good.
func TestAddressThatNeverWorksIsAnError(t *testing.T) {
	var c counts
	s := tmserve.New(c.reporter(), newGuard(t))
	assert.ErrorContains(t, s.Add("192.0.2.1:80", tmguard.Callers, hello), "tmserve")
	assert.ErrorContains(t, s.Add("127.0.0.1:none", tmguard.Callers, hello), "tmserve")
	assert.NilError(t, s.Close(servedWithin))
}
