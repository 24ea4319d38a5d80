// Package tmfakeendpoint is a small stand-in for an endpoint: it leases slots,
// runs tasks that only take time, and keeps the journal that proofs judge by.
// It keeps to sections 3.4, 3.10 and 4.2 of the design and shows faults on
// request.
//
// On a system clock a timer ends and stops tasks when they are due. On another
// clock the test moves the time and calls Step.
package tmfakeendpoint

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"turmericmoor/core/tmclock"
)

// Times and sizes of an endpoint.
const (
	DefaultSlots      = 8
	DefaultCores      = 64
	DefaultRebootTime = 2 * tmclock.Second
	DefaultUsageLag   = 2 * tmclock.Second

	// LeaseTime is how long a lease keeps idle slots, and a nonce its value.
	LeaseTime = 1 * tmclock.Second
	// Grace is how long tasks run on after the last renewal of their lease.
	Grace = 10 * tmclock.Second

	maxBody = 4 << 20
)

// The states of an endpoint.
const (
	serving   = "serving"
	draining  = "draining"
	rebooting = "rebooting"
)

// Options configure an Endpoint. Zero values stand for the defaults.
type Options struct {
	Name  string
	Zone  string
	Slots int
	// Cores bounds the declared size of a task that can run here.
	Cores      float64
	Clock      tmclock.Clock
	RebootTime tmclock.Span
	UsageLag   tmclock.Span
	// Checkpoints may be shared by endpoints, so that a task continues at
	// another one.
	Checkpoints *Checkpoints
}

// Endpoint is an http.Handler. It is safe for concurrent use.
type Endpoint struct {
	opts  Options
	clock tmclock.Clock
	mux   *http.ServeMux
	epoch tmclock.Millis
	stop  chan struct{}
	once  sync.Once

	mu      sync.Mutex
	timer   *time.Timer
	state   string
	boots   int
	bootAt  tmclock.Millis
	leases  map[string]*lease
	tasks   map[*task]struct{}
	journal []Event
	samples []sample
	faults  Faults
	resumed chan struct{}
	last    *answer
}

// New returns an Endpoint that serves.
func New(opts Options) *Endpoint {
	timed := opts.Clock == nil
	setDefaults(&opts)
	e := &Endpoint{
		opts:    opts,
		clock:   opts.Clock,
		mux:     http.NewServeMux(),
		epoch:   tmclock.Wall() - opts.Clock.Now(),
		stop:    make(chan struct{}),
		state:   serving,
		boots:   1,
		leases:  make(map[string]*lease),
		tasks:   make(map[*task]struct{}),
		resumed: make(chan struct{}),
	}
	if timed {
		e.timer = time.AfterFunc(time.Hour, e.Step)
	}
	e.mux.HandleFunc("POST /v1/tasks", e.start)
	e.handle("POST /v1/leases", e.grant)
	e.handle("POST /v1/leases/{lease}/renew", e.renew)
	e.handle("DELETE /v1/leases/{lease}", e.release)
	e.handle("POST /v1/tasks/{attempt}/{verb}", e.signal)
	e.handle("GET /v1/usage", e.usage)
	e.handle("POST /v1/drain", e.drain)
	e.handle("POST /v1/undrain", e.undrain)
	e.handle("POST /v1/reboot", e.reboot)
	e.handle("GET /v1/state", e.report)
	e.mux.HandleFunc("GET /v1/journal", e.serveJournal)
	e.mux.HandleFunc("POST /v1/control", e.serveControl)
	return e
}

func setDefaults(opts *Options) {
	if opts.Clock == nil {
		opts.Clock = tmclock.NewSystem()
	}
	if opts.Slots <= 0 {
		opts.Slots = DefaultSlots
	}
	if opts.Cores <= 0 {
		opts.Cores = DefaultCores
	}
	if opts.RebootTime <= 0 {
		opts.RebootTime = DefaultRebootTime
	}
	if opts.UsageLag <= 0 {
		opts.UsageLag = DefaultUsageLag
	}
	if opts.Checkpoints == nil {
		opts.Checkpoints = NewCheckpoints()
	}
}

// ServeHTTP answers one call.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mux.ServeHTTP(w, r)
}

// Close ends all waiting, so that a server can shut down. Tasks don't end.
func (e *Endpoint) Close() {
	e.once.Do(func() { close(e.stop) })
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timer != nil {
		e.timer.Stop()
	}
}

// Step ends and stops what is due. Tests call it after they moved the clock.
func (e *Endpoint) Step() {
	e.enter()
	e.leave()
}

// handle registers a call that hangs while the fault is set and runs with the
// lock held. The body is read before, because the server notices that a client
// has left only then.
func (e *Endpoint) handle(pattern string, op func(r *http.Request, body []byte) answer) {
	e.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		body := readBody(w, r)
		e.waitWhileHung(r)
		e.enter()
		ans := op(r, body)
		e.leave()
		ans.send(w)
	})
}

func readBody(w http.ResponseWriter, r *http.Request) []byte {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return body
}

// enter takes the lock and brings tasks and leases up to the present time.
func (e *Endpoint) enter() {
	e.mu.Lock()
	now := e.clock.Now()
	if e.state == rebooting && !now.Before(e.bootAt) {
		e.state = serving
		e.boots++
		e.record(Event{Kind: "boot"})
	}
	for t := range e.tasks {
		if at, reason := t.due(); !now.Before(at) {
			e.finish(t, reason)
		}
	}
	for id, l := range e.leases {
		e.expire(id, l, now)
	}
}

// leave sets the timer to the next due time and gives the lock back.
func (e *Endpoint) leave() {
	defer e.mu.Unlock()
	if e.timer == nil {
		return
	}
	now := e.clock.Now()
	next := now.Add(tmclock.Minute)
	if e.state == rebooting {
		next = min(next, e.bootAt)
	}
	for t := range e.tasks {
		at, _ := t.due()
		next = min(next, at)
	}
	select {
	case <-e.stop:
	default:
		e.timer.Reset(max(0, next.Sub(now)).Duration())
	}
}

func (e *Endpoint) drain(*http.Request, []byte) answer {
	if e.state == serving {
		e.state = draining
	}
	e.record(Event{Kind: "drain"})
	return ok(nil)
}

func (e *Endpoint) undrain(*http.Request, []byte) answer {
	if e.state == draining {
		e.state = serving
	}
	e.record(Event{Kind: "undrain"})
	return ok(nil)
}

// reboot stops all tasks and ends all leases. The endpoint serves again when
// the time of a reboot has passed, also when it was draining before.
func (e *Endpoint) reboot(*http.Request, []byte) answer {
	if e.state == rebooting {
		return ok(nil)
	}
	e.state = rebooting
	e.bootAt = e.clock.Now().Add(e.opts.RebootTime)
	for t := range e.tasks {
		e.finish(t, reasonReboot)
	}
	for id, l := range e.leases {
		e.endLease(id, l, reasonReboot)
	}
	e.record(Event{Kind: "reboot"})
	return ok(nil)
}

func (e *Endpoint) report(*http.Request, []byte) answer {
	return ok(map[string]any{"state": e.state, "running": len(e.tasks), "boots": e.boots})
}

// answer is what a call answers.
type answer struct {
	status int
	header map[string]string
	body   []byte
}

func ok(value any) answer {
	return withStatus(http.StatusOK, value)
}

func withStatus(status int, value any) answer {
	ans := answer{status: status, header: map[string]string{}}
	if value != nil {
		ans.body, _ = json.Marshal(value)
		ans.header["Content-Type"] = "application/json"
	}
	return ans
}

func failure(status int, code string) answer {
	return withStatus(status, map[string]any{"error": map[string]string{"code": code}})
}

func (a answer) send(w http.ResponseWriter) {
	a.sendHeader(w)
	_, _ = w.Write(a.body)
}

func (a answer) sendHeader(w http.ResponseWriter) {
	for name, value := range a.header {
		w.Header().Set(name, value)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
}
