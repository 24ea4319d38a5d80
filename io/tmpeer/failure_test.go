package tmpeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// stopTimeout is how long Close may wait for the event loops to stop.
const stopTimeout = 5 * time.Second

// Guards against a restarted process that can't bind its port, and against a
// restarted member that is mistaken for the previous incarnation.
func TestRestartOnTheSamePort(t *testing.T) {
	t.Parallel()
	a, _, b, mb := pair(t, nil)
	for round := range 3 {
		waitForAnswer(t, a, mb)
		assert.NilError(t, b.Close())
		b, _ = start(t, "b", mb.Address(), nil)
		t.Logf("restart %d", round)
	}
	waitForAnswer(t, a, mb)
	assert.NilError(t, b.Close())
	start(t, "b", mb.Address(), func(o *Options) { o.Self.Incarnation = "b-2" })
	var incErr *IncarnationError
	deadline := time.Now().Add(10 * time.Second)
	for !errors.As(heartbeat(a, mb), &incErr) {
		assert.Assert(t, time.Now().Before(deadline))
	}
	assert.Equal(t, incErr.Found.Incarnation, "b-2")
}

// Guards against a new member that is reported as gone because the connection
// to the previous incarnation at the same address is still open.
func TestStaleConnectionIsNotMistakenForNewMember(t *testing.T) {
	t.Parallel()
	a, _, _, mb := pair(t, nil)
	waitForAnswer(t, a, mb)
	p, err := a.peerAt(mb.Address())
	assert.NilError(t, err)
	p.mu.Lock()
	p.link = &link{conn: p.link.conn, dialSeq: p.link.dialSeq, remote: Identity{Entry: "b", Incarnation: "b-0"}}
	p.mu.Unlock()
	assert.NilError(t, heartbeat(a, mb))
}

func heartbeat(n *Node, m tmfleet.Member) error {
	_, err := n.Heartbeat(context.Background(), m, Heartbeat{Version: 1})
	return err
}

// Guards against calls to a healthy peer that are delayed by another peer which
// accepts connections and never answers, or by one that doesn't exist.
func TestSlowPeerDoesNotDelayOthers(t *testing.T) {
	a, _, _, mb := pair(t, nil)
	waitForAnswer(t, a, mb)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer closeQuietly(silent)
	var calls sync.WaitGroup
	stop := make(chan struct{})
	for _, m := range []tmfleet.Member{member("silent", silent.Addr().String()), member("none", freeAddress(t))} {
		calls.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					assert.Check(t, heartbeat(a, m) != nil)
				}
			}
		})
	}
	var slowest time.Duration
	for range 50 {
		began := time.Now()
		assert.NilError(t, heartbeat(a, mb))
		slowest = max(slowest, time.Since(began))
	}
	close(stop)
	calls.Wait()
	assert.Assert(t, slowest < 500*time.Millisecond, "slowest heartbeat took %v", slowest)
}

// Guards against a call that takes longer than its timeout, and against calls
// that block during the back-off instead of failing at once.
func TestCallsRespectTimeoutAndBackOff(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer closeQuietly(silent)
	a, _ := start(t, "a", freeAddress(t), nil)
	m := member("silent", silent.Addr().String())
	began := time.Now()
	err = heartbeat(a, m)
	assert.Assert(t, NotProcessed(err), "%v", err)
	assert.Assert(t, time.Since(began) < 2*queryTimeout)
	began = time.Now()
	for range 1000 {
		assert.Assert(t, heartbeat(a, m) != nil)
		if time.Since(began) > minBackOff.Duration()/2 {
			break
		}
	}
	assert.Assert(t, time.Since(began) < minBackOff.Duration(), "calls blocked during the back-off")
}

// Guards against an Options.Filter that doesn't drop frames, and against a
// connection that isn't restored when the filter lets frames pass again.
func TestFilterDropsOneDirectionOrBoth(t *testing.T) {
	t.Parallel()
	var cutAB, cutBA atomic.Bool
	filter := func(from, _ string) bool {
		return (from != "a" || !cutAB.Load()) && (from != "b" || !cutBA.Load())
	}
	a, ma, b, mb := pair(t, func(o *Options) { o.Filter = filter })
	for _, cut := range []func(bool){
		cutAB.Store, cutBA.Store,
		func(on bool) { cutAB.Store(on); cutBA.Store(on) },
	} {
		waitForAnswer(t, a, mb)
		waitForAnswer(t, b, ma)
		cut(true)
		for range timeoutsBeforeRedial + 1 {
			var calls sync.WaitGroup
			calls.Go(func() { assert.Check(t, heartbeat(a, mb) != nil) })
			calls.Go(func() { assert.Check(t, heartbeat(b, ma) != nil) })
			calls.Wait()
		}
		cut(false)
		began := time.Now()
		waitForAnswer(t, a, mb)
		waitForAnswer(t, b, ma)
		assert.Assert(t, time.Since(began) < 4*time.Second, "heartbeats succeeded only %v after the cut", time.Since(began))
	}
}

// Guards against Close that returns while handlers run, or that hangs while
// calls, dials and handlers are in progress.
func TestCloseWaitsForHandlersAndEndsCalls(t *testing.T) {
	t.Parallel()
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer closeQuietly(silent)
	a, _, b, mb := pair(t, nil)
	waitForAnswer(t, a, mb)
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			_, err := a.Forward(context.Background(), mb, ForwardedRequest{Size: 60000, Remaining: 60 * tmclock.Second})
			assert.Check(t, err != nil)
		})
		calls.Go(func() { assert.Check(t, heartbeat(a, member("silent", silent.Addr().String())) != nil) })
	}
	began := time.Now()
	assert.NilError(t, b.Close())
	assert.NilError(t, a.Close())
	calls.Wait()
	assert.Assert(t, time.Since(began) < stopTimeout)
	assert.ErrorIs(t, heartbeat(a, mb), ErrClosed)
	assert.NilError(t, a.Close())
}

// Guards against memory that grows without bound when an authenticated peer sends
// requests and never reads the answers.
func TestPeerThatNeverReadsIsDisconnected(t *testing.T) {
	t.Parallel()
	_, ma := start(t, "a", freeAddress(t), nil)
	c, err := net.Dial("tcp", ma.Address())
	assert.NilError(t, err)
	defer closeQuietly(c)
	handshakeOnSocket(t, c)
	body := `{"jsonrpc":"2.0","id":3,"method":"work.forward","params":{"remaining_ms":1000,"body":"` +
		string(base64Zeros(2<<20)) + `"}}`
	assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
	for range 200 {
		if err = writeFrame(c, []byte(body)); err != nil {
			break
		}
	}
	var timeout net.Error
	assert.Assert(t, err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()), "got %v", err)
}

func base64Zeros(n int) []byte {
	b := make([]byte, n)
	for i := range b {
		b[i] = 'A'
	}
	return b
}
