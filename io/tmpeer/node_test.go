package tmpeer

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmonce"
)

func TestMain(m *testing.M) {
	// gnet starts a package-wide pool of workers that it never stops.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreAnyFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"))
}

var testSecret = []byte("a secret for tests only")

// fakeEntry is a Handler for tests. Its Forward echoes the body after a delay; tests
// give the delay in milliseconds as the Size of the request.
type fakeEntry struct {
	name  string
	state atomic.Pointer[tmfleet.State]
}

func (f *fakeEntry) Heartbeat(_ context.Context, from Identity, hb Heartbeat) (HeartbeatAnswer, error) {
	if len(hb.Ejected) > 0 {
		return HeartbeatAnswer{}, fmt.Errorf("aside %v", hb.Ejected)
	}
	return HeartbeatAnswer{Version: hb.Version, Incarnation: f.name + "-1", Demand: hb.Demand, Leaving: from.Entry == "leaver"}, nil
}

func (f *fakeEntry) Fetch(context.Context, Identity) (tmfleet.State, error) {
	if s := f.state.Load(); s != nil {
		return *s, nil
	}
	return tmfleet.State{}, errors.New("no state")
}

func (f *fakeEntry) Push(_ context.Context, _ Identity, s tmfleet.State) (uint64, error) {
	f.state.Store(&s)
	return s.Version(), nil
}

func (f *fakeEntry) Status(_ context.Context, _ Identity, q StatusQuery) (Status, error) {
	return Status(q.RequestID), nil
}

func (f *fakeEntry) Forward(ctx context.Context, _ Identity, w ForwardedRequest) (ForwardedAnswer, error) {
	select {
	// Tests give the delay in milliseconds as Size.
	case <-time.After(time.Duration(w.Size) * time.Millisecond):
		return ForwardedAnswer{Body: w.Body, Outcome: tmonce.Ran}, nil
	case <-ctx.Done():
		return ForwardedAnswer{}, ctx.Err()
	}
}

func freeAddress(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer closeQuietly(l)
	return l.Addr().String()
}

func closeQuietly(c io.Closer) { _ = c.Close() }

func member(name, addr string) tmfleet.Member {
	return tmfleet.NewMember(name, name+"-1", addr, "zone-1")
}

// start starts a Node that is closed at the end of the test.
func start(t testing.TB, name, addr string, change func(*Options)) (*Node, tmfleet.Member) {
	opts := Options{
		Self:    Identity{Entry: name, Incarnation: name + "-1"},
		Listen:  addr,
		Secret:  testSecret,
		Handler: &fakeEntry{name: name},
	}
	if change != nil {
		change(&opts)
	}
	n, err := Start(opts)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, n.Close()) })
	return n, member(name, addr)
}

func pair(t testing.TB, change func(*Options)) (*Node, tmfleet.Member, *Node, tmfleet.Member) {
	a, ma := start(t, "a", freeAddress(t), change)
	b, mb := start(t, "b", freeAddress(t), change)
	return a, ma, b, mb
}

// waitForAnswer waits until a heartbeat from n to m is answered.
func waitForAnswer(t testing.TB, n *Node, m tmfleet.Member) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		_, err := n.Heartbeat(t.Context(), m, Heartbeat{Version: 1})
		if err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
}

// Guards against a method that loses or changes a field of its request or of its
// answer.
func TestMethodsRoundTrip(t *testing.T) {
	a, _, b, mb := pair(t, nil)
	demand := Demand{PoolTeams: []PoolTeamDemand{{Pool: "p", Team: "t", Queued: 3}}, Units: []Units{{Team: "t", Unused: 2}}}
	hb, err := a.Heartbeat(t.Context(), mb, Heartbeat{Version: 7, Demand: demand})
	assert.NilError(t, err)
	assert.DeepEqual(t, hb, HeartbeatAnswer{Version: 7, Incarnation: "b-1", Demand: demand})
	var remote *RemoteError
	_, err = a.Heartbeat(t.Context(), mb, Heartbeat{Ejected: []string{"w1", "w2"}})
	assert.Assert(t, errors.As(err, &remote))
	assert.Equal(t, remote.Message, "aside [w1 w2]")

	_, err = a.Fetch(t.Context(), mb)
	assert.Assert(t, errors.As(err, &remote))
	assert.Equal(t, remote.Message, "no state")
	version, err := a.Push(t.Context(), mb, tmfleet.State{}.Next("c1", tmfleet.Config{}))
	assert.NilError(t, err)
	assert.Equal(t, version, uint64(1))
	state, err := a.Fetch(t.Context(), mb)
	assert.NilError(t, err)
	assert.Assert(t, state.HasChange("c1"))

	status, err := a.Status(t.Context(), mb, StatusQuery{Team: "t", RequestID: "queued"})
	assert.NilError(t, err)
	assert.Equal(t, status, StatusQueued)
	_, err = a.Status(t.Context(), mb, StatusQuery{RequestID: "lost"})
	assert.ErrorIs(t, err, ErrProtocol)

	// A body of 1 MB takes over 1 s each way under the race detector.
	work := ForwardedRequest{RequestID: "r", Remaining: 20 * tmclock.Second, Body: make([]byte, 1<<20)}
	answer, err := a.Forward(t.Context(), mb, work)
	assert.NilError(t, err)
	assert.Equal(t, answer.Outcome, tmonce.Ran)
	assert.Equal(t, len(answer.Body), 1<<20)
	assert.NilError(t, b.Close())
	_, err = a.Forward(t.Context(), mb, work)
	assert.Assert(t, err != nil)
}

// Guards against invalid options that are accepted, and against errors that don't
// name the option.
func TestStartErrorNamesInvalidOption(t *testing.T) {
	valid := Options{Self: Identity{Entry: "a", Incarnation: "i"}, Listen: "127.0.0.1:0", Secret: testSecret, Handler: &fakeEntry{}}
	for field, invalidate := range map[string]func(*Options){
		"Self":    func(o *Options) { o.Self.Incarnation = "" },
		"Secret":  func(o *Options) { o.Secret = []byte("short") },
		"Handler": func(o *Options) { o.Handler = nil },
		"Listen":  func(o *Options) { o.Listen = "localhost" },
	} {
		opts := valid
		invalidate(&opts)
		_, err := Start(opts)
		assert.ErrorContains(t, err, field)
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer closeQuietly(taken)
	valid.Listen = taken.Addr().String()
	_, err = Start(valid)
	assert.ErrorContains(t, err, "listen on")
}

// Guards against an entry that serves or calls a process which doesn't know the
// secret.
func TestWrongSecretIsRefused(t *testing.T) {
	t.Parallel()
	a, ma := start(t, "a", freeAddress(t), nil)
	b, mb := start(t, "b", freeAddress(t), func(o *Options) { o.Secret = []byte("another secret for tests") })
	_, err := a.Heartbeat(t.Context(), mb, Heartbeat{})
	assert.ErrorIs(t, err, ErrSecretMismatch)
	assert.Assert(t, NotProcessed(err))
	_, err = b.Heartbeat(t.Context(), ma, Heartbeat{})
	assert.ErrorIs(t, err, ErrSecretMismatch)
}

// Guards against a dialler that accepts its own proof, sent back by a listener
// that doesn't know the secret.
func TestReflectedProofIsRefused(t *testing.T) {
	t.Parallel()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer closeQuietly(l)
	var served sync.WaitGroup
	served.Go(func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer closeQuietly(c)
		_ = reply(c, wireHello{Entry: "x", Incarnation: "x-1", Nonce: newNonce()})
		_ = reply(c, nil)
	})
	a, _ := start(t, "a", freeAddress(t), nil)
	_, err = a.Heartbeat(t.Context(), member("x", l.Addr().String()), Heartbeat{})
	assert.ErrorIs(t, err, ErrSecretMismatch)
	served.Wait()
}

// reply answers the next request on c with result, or with the parameters of the
// request if result is nil.
func reply(c net.Conn, result any) error {
	body, err := readFrame(c)
	if err != nil {
		return err
	}
	var req struct {
		ID     uint64          `json:"id"`
		Params json.RawMessage `json:"params"`
	}
	if err := json.Unmarshal(body, &req); err != nil {
		return err
	}
	if result == nil {
		result = req.Params
	}
	out, err := json.Marshal(map[string]any{"jsonrpc": "2.0", "id": req.ID, "result": result})
	if err != nil {
		return err
	}
	return writeFrame(c, out)
}

func readFrame(r io.Reader) ([]byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	body := make([]byte, binary.BigEndian.Uint32(header[:]))
	_, err := io.ReadFull(r, body)
	return body, err
}

func writeFrame(w io.Writer, body []byte) error {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(body)))
	_, err := w.Write(append(frame, body...))
	return err
}

// Guards against methods that are served before the handshake has succeeded, and
// against a client that keeps a connection open without sending a proof.
func TestNothingIsServedBeforeAuthentication(t *testing.T) {
	t.Parallel()
	_, ma := start(t, "a", freeAddress(t), nil)
	for _, first := range []string{
		`{"jsonrpc":"2.0","id":1,"method":"state.fetch","params":{}}`,
		`{"jsonrpc":"2.0","id":1,"method":"peer.prove","params":{"proof":""}}`,
		`{"jsonrpc":"2.0","method":"peer.hello","params":{}}`,
		`{"jsonrpc":"2.0","id":1,"method":"peer.hello","params":{"entry":"x"}}`,
		`[]`, `null`, `not json`, ``,
	} {
		c, err := net.Dial("tcp", ma.Address())
		assert.NilError(t, err)
		assert.NilError(t, writeFrame(c, []byte(first)))
		assert.NilError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
		got, err := io.ReadAll(c)
		assert.NilError(t, err, "the connection is still open after %q", first)
		assert.Assert(t, len(got) == 0 || json.Valid(got[headerSize:]), "%q", got)
		assert.NilError(t, c.Close())
	}
	silent, err := net.Dial("tcp", ma.Address())
	assert.NilError(t, err)
	defer closeQuietly(silent)
	assert.NilError(t, silent.SetReadDeadline(time.Now().Add(5*time.Second)))
	_, err = silent.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
}

// Guards against an oversized frame that is read into memory or that affects
// connections other than its own.
func TestOversizedFrameClosesOnlyItsConnection(t *testing.T) {
	a, _, _, mb := pair(t, nil)
	waitForAnswer(t, a, mb)
	before := linkOf(a, mb)
	c, err := net.Dial("tcp", mb.Address())
	assert.NilError(t, err)
	defer closeQuietly(c)
	_, err = c.Write(binary.BigEndian.AppendUint32(nil, maxHandshakeFrame+1))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(500*time.Millisecond)))
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	_, err = a.Forward(t.Context(), mb, ForwardedRequest{Remaining: tmclock.Second, Body: make([]byte, maxFrame)})
	assert.ErrorIs(t, err, ErrTooLarge)
	assert.Assert(t, NotProcessed(err))
	waitForAnswer(t, a, mb)
	assert.Assert(t, linkOf(a, mb) == before, "the connection between the nodes was replaced")
}

func linkOf(n *Node, m tmfleet.Member) *link {
	p, _ := n.peerAt(m.Address())
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.link
}

// Guards against answers that are delivered to the wrong call when many calls run
// concurrently and finish out of order, also with more calls than the queue of
// frames holds.
func TestAnswersMatchTheirRequests(t *testing.T) {
	a, _, b, mb := pair(t, nil)
	ma := member("a", a.opts.Listen)
	var calls sync.WaitGroup
	for i := range 400 {
		calls.Go(func() {
			n, to := a, mb
			if i%2 == 0 {
				n, to = b, ma
			}
			body := fmt.Sprintf("request %d", i)
			answer, err := n.Forward(t.Context(), to, ForwardedRequest{Size: int64(i*7%40 + 1), Remaining: 20 * tmclock.Second, Body: []byte(body)})
			assert.Check(t, err)
			assert.Check(t, string(answer.Body) == body, "%q got %q", body, answer.Body)
		})
	}
	calls.Wait()
}

// Guards against heartbeats that wait for forwarded requests, and against
// forwarded requests above maxForwards that are queued instead of rejected.
func TestForwardsDoNotDelayHeartbeats(t *testing.T) {
	a, _, _, mb := pair(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	var rejected atomic.Int64
	for range maxForwards + 50 {
		calls.Go(func() {
			_, err := a.Forward(ctx, mb, ForwardedRequest{Size: 30000, Remaining: 30 * tmclock.Second})
			if errors.Is(err, ErrOverloaded) && NotProcessed(err) {
				rejected.Add(1)
			}
		})
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if rejected.Load() == 50 {
			return poll.Success()
		}
		return poll.Continue("%d rejected", rejected.Load())
	})
	_, err := a.Heartbeat(t.Context(), mb, Heartbeat{})
	assert.NilError(t, err)
	cancel()
	calls.Wait()
}
