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

// runner is one run of a Plan.
type runner struct {
	plan    Plan
	clients []*tmcaller.Client
	record  func(judge.Submission)
	rec     *recorder
	start   time.Time
	name    string
	open    chan struct{}
	calls   sync.WaitGroup
}

// request is one request with its state over all its submissions.
type request struct {
	stream   *Stream
	index    int
	intended time.Time
	id       string
	echo     string
	runTime  time.Duration
	entry    int
	// other picks the entry of the next submission.
	other int
}

// Run sends the load and returns the report when all requests have ended.
// Every submission is handed to record, one at a time, unless it is nil. It
// stops sending when ctx ends.
func Run(ctx context.Context, plan Plan, record func(judge.Submission)) (*Report, error) {
	if err := plan.Check(); err != nil {
		return nil, err
	}
	if record == nil {
		record = func(judge.Submission) {}
	}
	r := &runner{
		plan:   plan,
		record: record,
		rec:    newRecorder(plan),
		start:  time.Now(),
		name:   uuid.NewString()[:8],
		open:   make(chan struct{}, plan.Open),
	}
	for _, entry := range plan.Entries {
		client := tmcaller.NewClientConns(entry, plan.Conns)
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

// send starts the requests of one stream at their intended times.
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
			stream:   stream,
			index:    index,
			intended: next,
			echo:     fmt.Sprintf("%s-%d-%d", r.name, index, n),
			runTime:  stream.RunTime.draw(rng),
			entry:    r.usable(rng.IntN(len(r.clients))),
			other:    rng.IntN(max(1, len(r.clients)-1)),
		}
		if stream.OwnIDs {
			q.id = newID()
		}
		select {
		case r.open <- struct{}{}:
			r.calls.Go(func() {
				r.run(ctx, q)
				<-r.open
			})
		default:
			r.notSent(q)
		}
	}
}

func newID() string {
	id, err := uuid.NewV7()
	if err != nil {
		// The random source of the system is broken.
		panic(fmt.Sprintf("load: new request id: %v", err))
	}
	return id.String()
}

func (r *runner) notSent(q *request) {
	s := q.submission(r.plan.Entries[q.entry], 0, q.intended)
	s.Code, s.Outcome = judge.CodeNotSent, judge.NotRun
	// Without an id the judge doesn't look for a run.
	s.RequestID = ""
	r.keep(q, s, true)
}

// run submits a request until it is answered or its retries are used up.
func (r *runner) run(ctx context.Context, q *request) {
	intended := q.intended
	for n := 0; ; n++ {
		s, again := r.submit(q, n, intended)
		again = again && n < q.stream.Retries && ctx.Err() == nil
		r.keep(q, s, !again)
		if !again {
			return
		}
		intended = time.Now().Add(q.stream.RetryWait)
		sleepUntil(context.Background(), intended)
		q.entry = r.usable(another(q.entry, q.other, len(r.clients)))
	}
}

// usable returns the first usable entry from n on.
func (r *runner) usable(n int) int {
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

// another returns an entry other than the last one, if there is one.
func another(last, step, n int) int {
	return (last + 1 + step) % max(1, n)
}

// submit sends the request once. It reports whether it may be sent again.
func (r *runner) submit(q *request, n int, intended time.Time) (judge.Submission, bool) {
	stream := q.stream
	s := q.submission(r.plan.Entries[q.entry], n, intended)
	body := fmt.Appendf(nil, `{"run_ms":%d,"echo":%q}`, q.runTime.Milliseconds(), q.echo)
	ctx, cancel := stream.callContext()
	defer cancel()
	sent := time.Now()
	reply := r.clients[q.entry].Call(ctx, stream.Key, tmrequest.New(tmrequest.Params{
		ID:            q.id,
		CallerChoseID: stream.OwnIDs,
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
		repeatable := stream.Idempotent || stream.OwnIDs
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

// callContext returns the context of one submission.
func (s *Stream) callContext() (context.Context, context.CancelFunc) {
	if s.GiveUp <= 0 {
		return context.WithCancel(context.Background())
	}
	return context.WithTimeout(context.Background(), s.GiveUp)
}

func (q *request) submission(entry string, n int, intended time.Time) judge.Submission {
	return judge.Submission{
		Stream:        q.stream.Name,
		Team:          q.stream.Team,
		Queue:         q.stream.Queue,
		Echo:          q.echo,
		RequestID:     q.id,
		CallerChoseID: q.stream.OwnIDs,
		Repetition:    n,
		Idempotent:    q.stream.Idempotent,
		Urgent:        q.stream.Urgent,
		Entry:         entry,
		IntendedUs:    intended.UnixMicro(),
	}
}

func (r *runner) keep(q *request, s judge.Submission, final bool) {
	r.rec.mu.Lock()
	defer r.rec.mu.Unlock()
	r.record(s)
	r.rec.add(q, s, final)
}

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
