package tmplatform_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"turmericmoor/core/tmclock"
	"turmericmoor/internal/standin/tmfakeplatform"
	"turmericmoor/io/tmplatform"
)

var ctx = context.Background()

func connect(t *testing.T, handler http.Handler, timeout tmclock.Span) *tmplatform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	c := tmplatform.New(tmplatform.Options{BaseURL: server.URL, Instance: "entry-1", Timeout: timeout})
	t.Cleanup(func() {
		c.Close()
		server.Close()
		goleak.VerifyNone(t)
	})
	return c
}

func startPlatform(t *testing.T, opts tmfakeplatform.Options) (*tmfakeplatform.Platform, *tmplatform.Client) {
	t.Helper()
	platform := tmfakeplatform.New(opts)
	return platform, connect(t, platform, 10*tmclock.Second)
}

func putIfRevision(key, value string, revision uint64) *tmplatform.Txn {
	txn := &tmplatform.Txn{}
	txn.Check("run", key, revision)
	txn.Put("run", key, json.RawMessage(value))
	return txn
}

// Guards against a write whose response was lost being reported as one without
// effect. The write took effect and must be readable.
func TestLostResponseIsUncertain(t *testing.T) {
	platform, c := startPlatform(t, tmfakeplatform.Options{})
	platform.SetControl(tmfakeplatform.Control{LoseAnswers: 1})
	_, err := c.Commit(ctx, putIfRevision("12/spares/a b", `"mine"`, 0))
	assert.ErrorIs(t, err, tmplatform.ErrUncertain)
	row, err := c.Read(ctx, "run", "12/spares/a b")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), `"mine"`)
	revision, err := c.Commit(ctx, putIfRevision("12/spares/a b", `"next"`, row.Revision))
	assert.NilError(t, err)
	assert.Equal(t, revision, row.Revision+1)
}

// Guards against a conflict after which some of the rows are written, and against
// an error that doesn't name the conflicting row.
func TestConflictNamesTheRowAndHasNoEffect(t *testing.T) {
	_, c := startPlatform(t, tmfakeplatform.Options{})
	first, err := c.Commit(ctx, putIfRevision("a", `1`, 0))
	assert.NilError(t, err)
	txn := putIfRevision("b", `2`, 0)
	txn.Check("run", "a", 0)
	txn.Put("run", "a", json.RawMessage(`2`))
	_, err = c.Commit(ctx, txn)
	var conflict *tmplatform.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "got %v", err)
	assert.DeepEqual(t, *conflict, tmplatform.ConflictError{Table: "run", Key: "a", Revision: first})
	_, err = c.Read(ctx, "run", "b")
	assert.ErrorIs(t, err, tmplatform.ErrNotFound)
}

// Guards against a write being reported as uncertain when the platform is down or
// serves only other entries. Such a write has no effect.
func TestPlatformDownIsUnavailable(t *testing.T) {
	platform, c := startPlatform(t, tmfakeplatform.Options{})
	for _, control := range []tmfakeplatform.Control{{Down: true}, {Only: []string{"entry-2"}}} {
		platform.SetControl(control)
		_, err := c.Commit(ctx, putIfRevision("a", `1`, 0))
		assert.ErrorIs(t, err, tmplatform.ErrUnavailable)
		assert.Assert(t, !errors.Is(err, tmplatform.ErrUncertain))
		_, err = c.Instances(ctx)
		assert.ErrorIs(t, err, tmplatform.ErrUnavailable)
	}
	platform.SetControl(tmfakeplatform.Control{})
	_, err := c.Read(ctx, "run", "a")
	assert.ErrorIs(t, err, tmplatform.ErrNotFound)
}

// Guards against a write that timed out being reported as one without effect.
func TestTimeoutIsUncertain(t *testing.T) {
	platform := tmfakeplatform.New(tmfakeplatform.Options{})
	defer platform.Close()
	c := connect(t, platform, 50)
	platform.SetControl(tmfakeplatform.Control{SlowMs: 3600_000})
	_, err := c.Commit(ctx, putIfRevision("a", `1`, 0))
	assert.ErrorIs(t, err, tmplatform.ErrUncertain)
	_, err = c.Read(ctx, "run", "a")
	assert.ErrorIs(t, err, tmplatform.ErrUnavailable)
}

// Guards against a fake platform that drops a write when its client times out. Tests
// with such a platform could not show that a write may take effect after a read that
// followed ErrUncertain.
func TestWriteTakesEffectAfterTimeout(t *testing.T) {
	platform := tmfakeplatform.New(tmfakeplatform.Options{})
	defer platform.Close()
	c := connect(t, platform, 200)
	platform.SetControl(tmfakeplatform.Control{SlowMs: 3600_000})
	_, err := c.Commit(ctx, putIfRevision("a", `1`, 0))
	assert.ErrorIs(t, err, tmplatform.ErrUncertain)
	platform.SetControl(tmfakeplatform.Control{})
	_, err = c.Read(ctx, "run", "a")
	assert.ErrorIs(t, err, tmplatform.ErrNotFound)
	// Close ends the delay, whereupon the write takes effect.
	platform.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := c.Read(ctx, "run", "a"); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// Guards against a fake platform that accepts more writes per second than its
// configured limit.
func TestRatesAreLimited(t *testing.T) {
	clock := tmclock.NewManual(1000)
	platform, c := startPlatform(t, tmfakeplatform.Options{Clock: clock, WritesPerSecond: 20})
	for range 2 {
		for i := range 2 {
			assert.NilError(t, c.PutObject(ctx, fmt.Sprintf("plan/%d", i), []byte("x")))
		}
		assert.ErrorIs(t, c.PutObject(ctx, "plan/x", nil), tmplatform.ErrUnavailable)
		clock.Advance(100)
	}
	assert.DeepEqual(t, platform.Stats(), tmfakeplatform.Stats{Writes: 4, Limited: 2})
}

// Guards against malformed responses and error statuses being taken for results,
// and against wrong classification of writes that may have taken effect.
func TestMalformedResponses(t *testing.T) {
	for _, tc := range []struct {
		status int
		body   string
		write  error
	}{
		{200, `{"revision":`, tmplatform.ErrUncertain},
		{200, `{}`, tmplatform.ErrUncertain},
		{409, `{}`, tmplatform.ErrUncertain},
		{500, `{"revision":3}`, tmplatform.ErrUncertain},
		{307, ``, tmplatform.ErrUncertain},
		{429, ``, tmplatform.ErrUnavailable},
		{503, ``, tmplatform.ErrUnavailable},
		{400, ``, tmplatform.ErrRejected},
	} {
		t.Run(fmt.Sprintf("%d %s", tc.status, tc.body), func(t *testing.T) {
			c := connect(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tc.status)
				_, _ = w.Write([]byte(tc.body))
			}), tmclock.Second)
			_, err := c.Commit(ctx, putIfRevision("a", `1`, 0))
			assert.ErrorIs(t, err, tc.write)
			_, err = c.Instances(ctx)
			assert.Assert(t, err != nil, "malformed response was taken for an empty list")
		})
	}
}

// Guards against sending transactions that exceed the limits of the platform.
func TestTxnLimits(t *testing.T) {
	platform, c := startPlatform(t, tmfakeplatform.Options{})
	txn := &tmplatform.Txn{}
	for i := range tmplatform.MaxTxnRows + 1 {
		txn.Delete("run", fmt.Sprint(i))
	}
	_, err := c.Commit(ctx, txn)
	assert.ErrorIs(t, err, tmplatform.ErrRejected)
	_, err = c.Commit(ctx, putIfRevision("a", fmt.Sprintf("%q", make([]byte, tmplatform.MaxTxnBytes)), 0))
	assert.ErrorIs(t, err, tmplatform.ErrRejected)
	assert.Equal(t, platform.Stats().Writes, 0)
}

// Guards against rows that are missing or repeated between pages.
func TestListPages(t *testing.T) {
	_, c := startPlatform(t, tmfakeplatform.Options{})
	txn := &tmplatform.Txn{}
	for _, key := range []string{"7/a/x", "7/b", "8/a", "7/a"} {
		txn.Put("run", key, json.RawMessage(`{}`))
	}
	_, err := c.Commit(ctx, txn)
	assert.NilError(t, err)
	var keys []string
	for after := ""; ; {
		rows, err := c.List(ctx, "run", "7/", after, 2)
		assert.NilError(t, err)
		if len(rows) == 0 {
			break
		}
		for _, row := range rows {
			keys = append(keys, row.Key)
			after = row.Key
		}
	}
	assert.DeepEqual(t, keys, []string{"7/a", "7/a/x", "7/b"})
}

// Guards against a fake platform whose list of instances shows a change before
// the configured lag has passed.
func TestInstancesLag(t *testing.T) {
	clock := tmclock.NewManual(1000)
	platform, c := startPlatform(t, tmfakeplatform.Options{Clock: clock})
	platform.SetControl(tmfakeplatform.Control{ListLagMs: 3000})
	platform.SetInstance(tmfakeplatform.Instance{Name: "w1", Address: "127.0.0.1:1", State: "live"})
	for _, want := range []int{0, 1} {
		list, err := c.Instances(ctx)
		assert.NilError(t, err)
		assert.Equal(t, len(list), want)
		clock.Advance(3000)
	}
	platform.SetInstance(tmfakeplatform.Instance{Name: "w1", State: "gone"})
	list, err := c.Instances(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, list, []tmplatform.Instance{{Name: "w1", Address: "127.0.0.1:1"}})
	clock.Advance(3000)
	list, err = c.Instances(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
}

// Guards against objects whose data changes in transit, and against deleted
// objects that remain readable.
func TestObjects(t *testing.T) {
	_, c := startPlatform(t, tmfakeplatform.Options{})
	assert.NilError(t, c.PutObject(ctx, "plans/week 1", []byte{0, 1, 255}))
	data, err := c.GetObject(ctx, "plans/week 1")
	assert.NilError(t, err)
	assert.DeepEqual(t, data, []byte{0, 1, 255})
	assert.NilError(t, c.DeleteObject(ctx, "plans/week 1"))
	_, err = c.GetObject(ctx, "plans/week 1")
	assert.ErrorIs(t, err, tmplatform.ErrNotFound)
}
