package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/internal/judge"
	"turmericmoor/io/tmcaller"
)

// runner executes a Plan.
type runner struct {
	plan     Plan
	clients  []*tmcaller.Client
	record   func(judge.Submission)
	rec      *recorder
	start    time.Time
	runID    string
	inFlight chan struct{}
	calls    sync.WaitGroup
}

// request is a request and its state across its submissions.
type request struct {
	stream      *Stream
	streamIndex int
	intended    time.Time
	id          string
	echo        string
	runTime     time.Duration
	entry       int
	// retryOffset selects the entry of a retry relative to the previous entry.
	retryOffset int
}

// Run sends the load and returns the report once all requests have finished. It
// calls record, unless that is nil, for every submission, one at a time. It stops
// sending when ctx is done.
func Run(ctx context.Context, plan Plan, record func(judge.Submission)) (*Report, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	if record == nil {
		record = func(judge.Submission) {}
	}
	r := &runner{
		plan:     plan,
		record:   record,
		rec:      newRecorder(plan),
		start:    time.Now(),
		runID:    uuid.NewString()[:8],
		inFlight: make(chan struct{}, plan.MaxOpenRequests),
	}
	for _, entry := range plan.Entries {
		client := tmcaller.NewClientConns(entry, plan.MaxConnsPerEntry)
		defer client.Close()
		r.clients = append(r.clients, client)
	}
	r.rec.start = r.start
	var streams sync.WaitGroup
	for i := range plan.Streams {
		streams.Go(func() { r.send(ctx, i) })
	}
	streams.Wait()
	r.calls.Wait()
	return r.rec.report(), nil
}

// send starts the requests of one stream at their intended times. Requests that
// would exceed MaxOpenRequests are recorded as not sent.
func (r *runner) send(ctx context.Context, index int) {
	stream := &r.plan.Streams[index]
	rng := rand.New(rand.NewPCG(r.plan.Seed, uint64(index)))
	next := r.start
	for n := 0; ; n++ {
		next = next.Add(stream.interval(rng))
		if next.Sub(r.start) >= r.plan.Duration || !sleepUntil(ctx, next) {
			return
		}
		q := &request{
			stream:      stream,
			streamIndex: index,
			intended:    next,
			echo:        fmt.Sprintf("%s-%d-%d", r.runID, index, n),
			runTime:     stream.RunTime.sample(rng),
			entry:       r.usableEntry(rng.IntN(len(r.clients))),
			retryOffset: rng.IntN(max(1, len(r.clients)-1)),
		}
		if stream.CallerChoosesIDs {
			q.id = newID()
		}
		select {
		case r.inFlight <- struct{}{}:
			r.calls.Go(func() {
				r.run(ctx, q)
				<-r.inFlight
			})
		default:
			r.recordNotSent(q)
		}
	}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		// NewV7 fails only when the system's random source does.
		panic(fmt.Sprintf("load: new request id: %v", err))
	}
	return id.String()
}

func (r *runner) recordNotSent(q *request) {
	s := q.submission(r.plan.Entries[q.entry], 0, q.intended)
	s.Code, s.Outcome = judge.CodeNotSent, judge.NotRun
	// The judge looks for a run only if the submission has an id.
	s.RequestID = ""
	r.recordSubmission(q, s, true)
}

// run submits a request until no retry is allowed or its retries are exhausted.
func (r *runner) run(ctx context.Context, q *request) {
	intended := q.intended
	for n := 0; ; n++ {
		s, retry := r.submit(q, n, intended)
		retry = retry && n < q.stream.Retries && ctx.Err() == nil
		r.recordSubmission(q, s, !retry)
		if !retry {
			return
		}
		intended = time.Now().Add(q.stream.RetryWait)
		sleepUntil(context.Background(), intended)
		q.entry = r.usableEntry(otherEntry(q.entry, q.retryOffset, len(r.clients)))
	}
}

// usableEntry returns the first usable entry from n on, cyclically, or n if none
// is usable.
func (r *runner) usableEntry(n int) int {
	if r.plan.Usable == nil {
		return n
	}
	for i := range r.clients {
		entry := (n + i) % len(r.clients)
		if r.plan.Usable(r.plan.Entries[entry]) {
			return entry
		}
	}
	return n
}

// otherEntry returns an entry other than last, if there is one.
func otherEntry(last, step, n int) int {
	return (last + 1 + step) % max(1, n)
}

// submit sends the request once and reports whether it may be retried.
func (r *runner) submit(q *request, n int, intended time.Time) (judge.Submission, bool) {
	stream := q.stream
	s := q.submission(r.plan.Entries[q.entry], n, intended)
	body := fmt.Appendf(nil, `{"run_ms":%d,"echo":%q}`, q.runTime.Milliseconds(), q.echo)
	ctx, cancel := stream.callContext()
	defer cancel()
	sent := time.Now()
	reply := r.clients[q.entry].Call(ctx, stream.Key, tmrequest.New(tmrequest.Params{
		ID:            q.id,
		CallerChoseID: stream.CallerChoosesIDs,
		Queue:         stream.Queue,
		ContentType:   "application/json",
		Size:          stream.Size,
		Idempotent:    stream.Idempotent,
		Urgent:        stream.Urgent,
		Preemptible:   stream.Preemptible,
		Timeout:       tmclock.SpanOf(stream.Timeout),
		Body:          body,
	}))
	s.SentUs, s.EndedUs = sent.UnixMicro(), time.Now().UnixMicro()
	if reply.RequestID != "" {
		s.RequestID = reply.RequestID
	}
	if reply.Err != nil && ctx.Err() != nil {
		s.Code, s.Outcome = judge.CodeGivenUp, judge.Unknown
		return s, false
	}
	s.Cut = reply.Interrupted
	if fail := reply.Err; fail != nil {
		s.Code, s.Outcome, s.Message = string(fail.Code()), fail.Outcome().String(), fail.Message()
		repeatable := stream.Idempotent || stream.CallerChoosesIDs
		return s, reply.NotSent || repeatable && fail.Outcome() == tmonce.Unknown
	}
	s.Code, s.Outcome, s.Replayed = judge.CodeOK, judge.Ran, reply.Answer.Replayed()
	var answer struct {
		Echo      string `json:"echo"`
		RequestID string `json:"request_id"`
	}
	if json.Unmarshal(reply.Answer.Body(), &answer) == nil {
		s.ResponseEcho, s.ResponseID = answer.Echo, answer.RequestID
	}
	return s, false
}

// callContext returns the context of one submission, which expires after
// GiveUpAfter if that is set.
func (s *Stream) callContext() (context.Context, context.CancelFunc) {
	if s.GiveUpAfter <= 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), s.GiveUpAfter)
}

func (q *request) submission(entry string, n int, intended time.Time) judge.Submission {
	return judge.Submission{
		Stream:        q.stream.Name,
		Team:          q.stream.Team,
		Queue:         q.stream.Queue,
		Echo:          q.echo,
		RequestID:     q.id,
		CallerChoseID: q.stream.CallerChoosesIDs,
		Repetition:    n,
		Idempotent:    q.stream.Idempotent,
		Urgent:        q.stream.Urgent,
		Entry:         entry,
		IntendedUs:    intended.UnixMicro(),
	}
}

// recordSubmission passes a submission to the callback and to the recorder.
func (r *runner) recordSubmission(q *request, s judge.Submission, final bool) {
	r.rec.mu.Lock()
	defer r.rec.mu.Unlock()
	r.record(s)
	r.rec.add(q, s, final)
}

// sleepUntil waits until at and returns false if ctx is done first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
