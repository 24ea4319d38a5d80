package tmfakeendpoint

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"turmericmoor/core/tmclock"
)

// Why a task ended before its time.
const (
	reasonDone       = ""
	reasonFailed     = "failed"
	reasonTimeout    = "timeout"
	reasonLease      = "lease_not_renewed"
	reasonStop       = "stop"
	reasonCheckpoint = "checkpoint"
	reasonReboot     = "reboot"
)

// Checkpoints keep the remaining run time of tasks by request id. They are safe
// for concurrent use.
type Checkpoints struct {
	mu        sync.Mutex
	remaining map[string]tmclock.Span
}

// NewCheckpoints returns an empty set.
func NewCheckpoints() *Checkpoints {
	return &Checkpoints{remaining: make(map[string]tmclock.Span)}
}

func (c *Checkpoints) save(requestID string, left tmclock.Span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remaining[requestID] = left
}

func (c *Checkpoints) load(requestID string) (tmclock.Span, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	left, found := c.remaining[requestID]
	return left, found
}

func (c *Checkpoints) forget(requestID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.remaining, requestID)
}

type task struct {
	attempt   string
	requestID string
	team      string
	queue     string
	lease     *lease
	cores     float64
	endsAt    tmclock.Millis
	deadline  tmclock.Millis
	throttled bool
	echo      json.RawMessage
	// reason is set before done is closed.
	reason string
	done   chan struct{}
}

// due returns when the task ends or is stopped, and why.
func (t *task) due() (tmclock.Millis, string) {
	at, reason := t.endsAt, reasonDone
	if t.deadline.Before(at) {
		at, reason = t.deadline, reasonTimeout
	}
	if lapse := t.lease.renewed.Add(Grace); lapse.Before(at) {
		at, reason = lapse, reasonLease
	}
	return at, reason
}

type taskBody struct {
	RunMs      int64           `json:"run_ms"`
	Echo       json.RawMessage `json:"echo"`
	SizeFactor float64         `json:"size_factor"`
}

// start runs a task and answers when it has ended. The task goes on when the
// caller leaves.
func (e *Endpoint) start(w http.ResponseWriter, r *http.Request) {
	body := readBody(w, r)
	e.waitWhileHung(r)
	e.enter()
	t, refusal := e.admit(r, body)
	e.leave()
	if t == nil {
		refusal.send(w)
		return
	}
	select {
	case <-t.done:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-e.stop:
		panic(http.ErrAbortHandler)
	}
	if t.reason == reasonReboot {
		panic(http.ErrAbortHandler)
	}
	e.sendFaulty(w, r, t.answer())
}

// admit starts the task, or returns the refusal.
func (e *Endpoint) admit(r *http.Request, body []byte) (*task, answer) {
	now := e.clock.Now()
	t := &task{
		attempt:   r.Header.Get("Tm-Attempt"),
		requestID: r.Header.Get("Tm-Request-Id"),
		team:      r.Header.Get("Tm-Team"),
		queue:     r.Header.Get("Tm-Queue"),
		lease:     e.leases[r.Header.Get("Tm-Lease")],
		done:      make(chan struct{}),
	}
	var b taskBody
	size, sizeErr := parseSize(r.Header.Get("Tm-Size"))
	timeout, timeoutErr := strconv.ParseInt(r.Header.Get("Tm-Timeout-Ms"), 10, 64)
	broken := json.Unmarshal(body, &b) != nil || sizeErr != nil || timeoutErr != nil || timeout <= 0
	switch l := t.lease; {
	case broken || size > e.opts.Cores:
		return nil, e.refuse(t, http.StatusUnprocessableEntity, "never_runs")
	case e.state != serving:
		return nil, e.refuse(t, http.StatusServiceUnavailable, draining)
	case l == nil || l.released:
		return nil, e.refuse(t, http.StatusConflict, "lease_ended")
	case !l.valid(r.Header.Get("Tm-Nonce"), now):
		return nil, e.refuse(t, http.StatusConflict, "nonce_expired")
	case l.running >= l.slots || len(e.tasks) >= e.opts.Slots:
		return nil, e.refuse(t, http.StatusTooManyRequests, "no_slot")
	}
	t.echo = b.Echo
	t.cores = size * max(b.SizeFactor, 0)
	if b.SizeFactor == 0 {
		t.cores = size
	}
	t.deadline = now.Add(tmclock.Span(timeout))
	e.begin(t, tmclock.Span(max(b.RunMs, 0)))
	return t, answer{}
}

// parseSize returns the declared size in cores, 1 when none is declared.
func parseSize(text string) (float64, error) {
	if text == "" {
		return 1, nil
	}
	size, err := strconv.ParseFloat(text, 64)
	if err == nil && !(size > 0) {
		err = fmt.Errorf("tmfakeendpoint: size %q, expected a positive number of cores", text)
	}
	return size, err
}

func (e *Endpoint) begin(t *task, run tmclock.Span) {
	now := e.clock.Now()
	reason := ""
	if left, found := e.opts.Checkpoints.load(t.requestID); found {
		run, reason = left, "resumed"
	}
	t.endsAt = now.Add(run)
	t.lease.running++
	e.tasks[t] = struct{}{}
	e.recordTask("start", t, reason)
	e.takeSample()
	switch {
	case e.faults.FailAll:
		e.finish(t, reasonFailed)
	case run == 0:
		e.finish(t, reasonDone)
	}
}

// finish ends a task, frees its slot and wakes the waiting call.
func (e *Endpoint) finish(t *task, reason string) {
	delete(e.tasks, t)
	t.lease.running--
	t.reason = reason
	kind := "stop"
	switch reason {
	case reasonDone, reasonFailed:
		kind = "end"
		e.opts.Checkpoints.forget(t.requestID)
	case reasonCheckpoint:
		e.opts.Checkpoints.save(t.requestID, max(0, t.endsAt.Sub(e.clock.Now())))
	}
	e.recordTask(kind, t, reason)
	e.takeSample()
	close(t.done)
}

func (e *Endpoint) refuse(t *task, status int, code string) answer {
	e.recordTask("refuse", t, code)
	ans := failure(status, code)
	ans.header["Tm-Attempt"] = t.attempt
	ans.header["Tm-Outcome"] = "not_run"
	return ans
}

func (t *task) answer() answer {
	var ans answer
	switch t.reason {
	case reasonDone:
		ans = ok(map[string]any{"echo": t.echo, "request_id": t.requestID})
		ans.header["Tm-Digest"] = fmt.Sprintf("%016x", xxhash.Sum64(ans.body))
	case reasonFailed:
		ans = failure(http.StatusInternalServerError, "task_failed")
	case reasonCheckpoint:
		ans = failure(http.StatusInternalServerError, "checkpointed")
	default:
		ans = failure(http.StatusInternalServerError, "stopped")
	}
	ans.header["Tm-Attempt"] = t.attempt
	ans.header["Tm-Outcome"] = "ran"
	return ans
}

// signal stops, checkpoints or throttles a running task.
func (e *Endpoint) signal(r *http.Request, _ []byte) answer {
	found := false
	verb := r.PathValue("verb")
	for t := range e.tasks {
		if t.attempt != r.PathValue("attempt") {
			continue
		}
		found = true
		switch verb {
		case "stop":
			e.finish(t, reasonStop)
		case "checkpoint":
			e.finish(t, reasonCheckpoint)
		case "throttle":
			e.throttle(t)
		default:
			return failure(http.StatusNotFound, "not_found")
		}
	}
	return ok(map[string]bool{"was_running": found})
}

// throttle lets the task run at half its speed, once.
func (e *Endpoint) throttle(t *task) {
	if t.throttled {
		return
	}
	t.throttled = true
	t.cores /= 2
	now := e.clock.Now()
	t.endsAt = now.Add(2 * t.endsAt.Sub(now))
	e.takeSample()
}
