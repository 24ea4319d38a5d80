package load_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/internal/judge"
	"turmericmoor/internal/load"
	"turmericmoor/io/tmcaller"
)

// backend answers requests with submit in place of an endpoint.
type backend struct {
	submit func(r tmrequest.Request) (tmrequest.Answer, *tmrequest.Error)
}

func (b backend) Submit(_ context.Context, r tmrequest.Request) (tmrequest.Answer, *tmrequest.Error) {
	return b.submit(r)
}

func entry(t *testing.T, submit func(r tmrequest.Request) (tmrequest.Answer, *tmrequest.Error)) string {
	server := httptest.NewServer(tmcaller.NewHandler(backend{submit}, 0))
	t.Cleanup(server.Close)
	return server.URL
}

func echo(r tmrequest.Request) (tmrequest.Answer, *tmrequest.Error) {
	var b struct {
		Echo string `json:"echo"`
	}
	if err := json.Unmarshal(r.Body(), &b); err != nil {
		return tmrequest.Answer{}, tmrequest.Refuse(tmrequest.BadRequest, "%v", err)
	}
	return tmrequest.NewAnswer("application/json", fmt.Appendf(nil, `{"echo":%q,"request_id":%q}`, b.Echo, r.ID()), false), nil
}

func plan(entries ...string) load.Plan {
	return load.Plan{
		Entries:  entries,
		Duration: 400 * time.Millisecond,
		Seed:     1,
		Streams:  []load.Stream{{Name: "s", Team: "crews", Key: "key", Queue: "scans", Rate: 100, ConstantInterval: true, CallerChoosesIDs: true, Retries: 1, RetryWait: time.Millisecond}},
	}
}

// Guards against coordinated omission: a stall must not delay the sending of later
// requests and so disappear from the latencies.
func TestStallShowsInAllLatencies(t *testing.T) {
	start := time.Now()
	const stall = 500 * time.Millisecond
	url := entry(t, func(r tmrequest.Request) (tmrequest.Answer, *tmrequest.Error) {
		time.Sleep(time.Until(start.Add(stall)))
		return echo(r)
	})
	p := plan(url)
	p.MaxConnsPerEntry = 1
	report, err := load.Run(context.Background(), p, nil)
	assert.NilError(t, err)
	assert.Equal(t, report.Total.Requests, 39)
	assert.Equal(t, report.Total.Codes[judge.CodeOK], 39)
	// All requests were due within 400 ms, before the stall ended.
	assert.Assert(t, report.Total.Answered.P50Ms >= 100, "%+v", report.Total.Answered)
}

// Guards against a retry through the same entry or under another id, and against
// retries counted as requests.
func TestRetriesUseOtherEntry(t *testing.T) {
	lost := func(tmrequest.Request) (tmrequest.Answer, *tmrequest.Error) {
		return tmrequest.Answer{}, tmrequest.NewError(tmrequest.AnswerLost, tmonce.Unknown, "lost")
	}
	p := plan(entry(t, lost), entry(t, echo))
	var all []judge.Submission
	report, err := load.Run(context.Background(), p, func(s judge.Submission) { all = append(all, s) })
	assert.NilError(t, err)
	first := map[string]judge.Submission{}
	for _, s := range all {
		if f, found := first[s.Echo]; found {
			assert.Equal(t, s.RequestID, f.RequestID)
			assert.Assert(t, s.Entry != f.Entry)
			continue
		}
		first[s.Echo] = s
	}
	assert.Equal(t, report.Total.Requests, 39)
	assert.Equal(t, len(first), 39)
	assert.Equal(t, report.Total.Submissions, len(all))
	assert.Assert(t, report.Total.Retries > 0)
	assert.Equal(t, len(judge.Check(judge.History{Submissions: all})), 0)
}

// Guards against a broken connection that isn't counted as a cut request, and
// against an unreachable entry that is.
func TestCutAndUnreachable(t *testing.T) {
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	gone := httptest.NewServer(nil)
	gone.Close()
	for url, want := range map[string]int{cut.URL: 39, gone.URL: 0} {
		p := plan(url)
		p.Streams[0].Retries = 0
		report, err := load.Run(context.Background(), p, nil)
		assert.NilError(t, err)
		assert.Equal(t, report.Total.Cut, want)
		assert.Equal(t, report.Total.Outcomes[judge.Unknown], 39)
	}
}

// Guards against answers to other requests that are counted as correct.
func TestCrossedAnswersAreCounted(t *testing.T) {
	var n atomic.Int64
	url := entry(t, func(tmrequest.Request) (tmrequest.Answer, *tmrequest.Error) {
		return tmrequest.NewAnswer("application/json", fmt.Appendf(nil, `{"echo":"%d"}`, n.Add(1)), false), nil
	})
	report, err := load.Run(context.Background(), plan(url), nil)
	assert.NilError(t, err)
	assert.Equal(t, report.Total.WrongAnswers, 39)
	assert.Equal(t, report.Total.Goodput(0, 1), 0.0)
}

// Guards against running an invalid plan or accepting an invalid run time.
func TestBadPlans(t *testing.T) {
	_, err := load.Run(context.Background(), load.Plan{Streams: []load.Stream{{Name: "s"}}}, nil)
	for _, want := range []string{"no entries", "duration", "no queue", "rate"} {
		assert.ErrorContains(t, err, want)
	}
	for _, text := range []string{"", "fixed", "normal:1ms", "uniform:5ms", "uniform:5ms-1ms", "exp:-1s"} {
		_, err := load.ParseRunTime(text)
		assert.ErrorContains(t, err, "expected")
	}
}
