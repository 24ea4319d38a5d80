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

func start(t *testing.T, opts tmfakeplatform.Options) (*tmfakeplatform.Platform, *tmplatform.Client) {
	t.Helper()
	platform := tmfakeplatform.New(opts)
	return platform, connect(t, platform, 10*tmclock.Second)
}

func put(key, value string, revision uint64) *tmplatform.Txn {
	txn := &tmplatform.Txn{}
	txn.Check("run", key, revision)
	txn.Put("run", key, json.RawMessage(value))
	return txn
}

// Guards against a lost answer that counts as no effect.
func TestLostAnswerIsUncertainAndTookEffect(t *testing.T) {
	platform, c := start(t, tmfakeplatform.Options{})
	platform.SetControl(tmfakeplatform.Control{LoseAnswers: 1})
	_, err := c.Commit(ctx, put("12/spares/a b", `"mine"`, 0))
	assert.ErrorIs(t, err, tmplatform.ErrUncertain)
	row, err := c.Read(ctx, "run", "12/spares/a b")
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), `"mine"`)
	revision, err := c.Commit(ctx, put("12/spares/a b", `"next"`, row.Revision))
	assert.NilError(t, err)
	assert.Equal(t, revision, row.Revision+1)
}

// Guards against a conflict that has an effect on some of the rows, or that
// doesn't tell which row to read.
func TestConflictNamesTheRowAndHasNoEffect(t *testing.T) {
	_, c := start(t, tmfakeplatform.Options{})
	first, err := c.Commit(ctx, put("a", `1`, 0))
	assert.NilError(t, err)
	txn := put("b", `2`, 0)
	txn.Check("run", "a", 0)
	txn.Put("run", "a", json.RawMessage(`2`))
	_, err = c.Commit(ctx, txn)
	var conflict *tmplatform.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "got %v", err)
	assert.DeepEqual(t, *conflict, tmplatform.ConflictError{Table: "run", Key: "a", Revision: first})
	_, err = c.Read(ctx, "run", "b")
	assert.ErrorIs(t, err, tmplatform.ErrNotFound)
}

// Guards against a platform that is down, or that answers only some entries,
// being taken for a write that may have taken effect.
func TestDownIsUnavailableWithoutEffect(t *testing.T) {
	platform, c := start(t, tmfakeplatform.Options{})
	for _, control := range []tmfakeplatform.Control{{Down: true}, {Only: []string{"entry-2"}}} {
		platform.SetControl(control)
		_, err := c.Commit(ctx, put("a", `1`, 0))
		assert.ErrorIs(t, err, tmplatform.ErrUnavailable)
		assert.Assert(t, !errors.Is(err, tmplatform.ErrUncertain))
		_, err = c.Instances(ctx)
		assert.ErrorIs(t, err, tmplatform.ErrUnavailable)
	}
	platform.SetControl(tmfakeplatform.Control{})
	_, err := c.Read(ctx, "run", "a")
	assert.ErrorIs(t, err, tmplatform.ErrNotFound)
}

// Guards against a late write being reported as one without effect.
func TestTimeoutIsUncertain(t *testing.T) {
	platform := tmfakeplatform.New(tmfakeplatform.Options{})
	defer platform.Close()
	c := connect(t, platform, 50)
	platform.SetControl(tmfakeplatform.Control{SlowMs: 3600_000})
	_, err := c.Commit(ctx, put("a", `1`, 0))
	assert.ErrorIs(t, err, tmplatform.ErrUncertain)
	_, err = c.Read(ctx, "run", "a")
	assert.ErrorIs(t, err, tmplatform.ErrUnavailable)
}

// Guards against a stand-in that drops a write when its client gives up, which
// would hide that a read after ErrUncertain may come before the write.
func TestWriteTakesEffectAfterTheClientGaveUp(t *testing.T) {
	platform := tmfakeplatform.New(tmfakeplatform.Options{})
	defer platform.Close()
	c := connect(t, platform, 200)
	platform.SetControl(tmfakeplatform.Control{SlowMs: 3600_000})
	_, err := c.Commit(ctx, put("a", `1`, 0))
	assert.ErrorIs(t, err, tmplatform.ErrUncertain)
	platform.SetControl(tmfakeplatform.Control{})
	_, err = c.Read(ctx, "run", "a")
	assert.ErrorIs(t, err, tmplatform.ErrNotFound)
	// Close ends the delay of the write.
	platform.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := c.Read(ctx, "run", "a"); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// Guards against rates above those that the platform sustains.
func TestRatesAreLimited(t *testing.T) {
	clock := tmclock.NewManual(1000)
	platform, c := start(t, tmfakeplatform.Options{Clock: clock, WritesPerSecond: 20})
	for range 2 {
		for i := range 2 {
			assert.NilError(t, c.PutObject(ctx, fmt.Sprintf("plan/%d", i), []byte("x")))
		}
		assert.ErrorIs(t, c.PutObject(ctx, "plan/x", nil), tmplatform.ErrUnavailable)
		clock.Advance(100)
	}
	assert.DeepEqual(t, platform.Stats(), tmfakeplatform.Stats{Writes: 4, Limited: 2})
}

// Guards against answers that are broken being read as answers.
func TestBrokenAnswers(t *testing.T) {
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
			_, err := c.Commit(ctx, put("a", `1`, 0))
			assert.ErrorIs(t, err, tc.write)
			_, err = c.Instances(ctx)
			assert.Assert(t, err != nil, "a broken answer became an empty list")
		})
	}
}

// Guards against transactions that the platform refuses being sent at all.
func TestTxnLimits(t *testing.T) {
	platform, c := start(t, tmfakeplatform.Options{})
	txn := &tmplatform.Txn{}
	for i := range tmplatform.MaxTxnRows + 1 {
		txn.Delete("run", fmt.Sprint(i))
	}
	_, err := c.Commit(ctx, txn)
	assert.ErrorIs(t, err, tmplatform.ErrRejected)
	_, err = c.Commit(ctx, put("a", fmt.Sprintf("%q", make([]byte, tmplatform.MaxTxnBytes)), 0))
	assert.ErrorIs(t, err, tmplatform.ErrRejected)
	assert.Equal(t, platform.Stats().Writes, 0)
}

// Guards against pages that lose or repeat rows.
func TestListPages(t *testing.T) {
	_, c := start(t, tmfakeplatform.Options{})
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

// Guards against a list of instances that is ahead of its lag.
func TestInstancesLag(t *testing.T) {
	clock := tmclock.NewManual(1000)
	platform, c := start(t, tmfakeplatform.Options{Clock: clock})
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

// Guards against objects that change on the way.
func TestObjects(t *testing.T) {
	_, c := start(t, tmfakeplatform.Options{})
	assert.NilError(t, c.PutObject(ctx, "plans/week 1", []byte{0, 1, 255}))
	data, err := c.GetObject(ctx, "plans/week 1")
	assert.NilError(t, err)
	assert.DeepEqual(t, data, []byte{0, 1, 255})
	assert.NilError(t, c.DeleteObject(ctx, "plans/week 1"))
	_, err = c.GetObject(ctx, "plans/week 1")
	assert.ErrorIs(t, err, tmplatform.ErrNotFound)
}
