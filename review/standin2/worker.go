package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// startupTime is how long a task that lasts needs until it is at work, stopTime how long a
	// stop takes.
	startupTime = 500 * time.Millisecond
	stopTime    = 50 * time.Millisecond
	// heartbeat is heartbeatMs of the settings. An entry goes after three of silence.
	heartbeat = 1500 * time.Millisecond
	// maxHold is maxHoldMs of the settings.
	maxHold = 6 * time.Second
)

// capacity is that of every worker.
var capacity = map[string]int64{"cpu": 32000, "memMb": 128000, "gpu": 0}

// run is a task at work on a worker. Its spec is "last", or "ms=N" for a task of N ms.
type run struct {
	task  string
	n     int
	lasts bool
	took  time.Duration
	began time.Time
	ends  *time.Timer
}

func (r *run) percent() int {
	switch {
	case !r.lasts:
		return int(min(99, 100*time.Since(r.began)/max(r.took, 1)))
	case time.Since(r.began) >= startupTime:
		return 100
	}
	return 0
}

type runKey struct {
	task string
	n    int
}

// worker stands in for one worker: it has a life at a time, under one id and one address.
type worker struct {
	id, machine, zone, rack, service string
	st                               *store
	rec                              *record
	address                          string

	mu       sync.Mutex
	up       bool
	kind     string
	listener net.Listener
	server   *http.Server
	conns    map[net.Conn]bool
	born     time.Time
	token    int64
	lease    time.Time
	runs     map[runKey]*run
	ended    [][]any
	nextEnd  int64
	highest  map[string]int
	changed  chan struct{}
	life     int
	// unhealthy makes the worker refuse starts with 503. deaf holds the connections that are
	// silent for good.
	unhealthy bool
	// lost is set once the machine is gone for good, inUpkeep while it is down for its upkeep.
	lost, inUpkeep bool
	deaf           map[string]bool
}

func newWorker(st *store, rec *record, n int, service, kind string) *worker {
	return &worker{
		id: fmt.Sprintf("i-%02d", n), machine: fmt.Sprintf("m-%02d", n), zone: "zone-" + string(rune('a'+n%3)),
		rack: fmt.Sprintf("r%d-1", n), service: service, kind: kind, st: st, rec: rec,
	}
}

// start begins a life. The entry in the list follows after the given time.
func (w *worker) start(listLag time.Duration) {
	address := w.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	var l net.Listener
	for {
		var err error
		if l, err = net.Listen("tcp", address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address, w.listener, w.up, w.born = l.Addr().String(), l, true, time.Now()
	w.token, w.lease, w.nextEnd, w.ended = 0, time.Time{}, 0, nil
	w.runs, w.highest, w.conns, w.deaf = map[runKey]*run{}, map[string]int{}, map[net.Conn]bool{}, map[string]bool{}
	w.changed = make(chan struct{})
	w.life++
	life := w.life
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.guard(w.runStart))
	mux.HandleFunc("POST /-/run-stop", w.guard(w.runStop))
	mux.HandleFunc("POST /-/hold", w.guard(w.hold))
	mux.HandleFunc("POST /-/pace", w.guard(w.pace))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	w.server = &http.Server{Handler: mux, ConnState: func(c net.Conn, s http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if s == http.StateClosed {
			delete(w.conns, c)
		} else {
			w.conns[c] = true
		}
	}}
	go w.server.Serve(l)
	w.rec.add("worker", w.id, "starts", "life", life, "kind", w.kind)
	time.AfterFunc(listLag, func() { w.register(life) })
	go w.watchLease(life)
}

// register writes the entry of the worker.
func (w *worker) register(life int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up || w.life != life {
		return
	}
	w.st.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"coldLeftMs": 0, "capacity": capacity, "labels": []string{w.kind, w.rack}, "machine": w.machine,
		"born": w.born.UnixMilli(), "clockMs": w.clock(time.Now()), "seq": 1,
	})
	w.rec.add("worker", w.id, "is listed", "life", life, "kind", w.kind)
}

// crash ends the life. Connections are reset. The entry goes after three heartbeats.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up = false
	life := w.life
	w.rec.add("worker", w.id, "crashes", "runs", len(w.runs))
	for k, r := range w.runs {
		if r.ends != nil {
			r.ends.Stop()
		}
		w.rec.end(end{at: time.Now(), task: k.task, run: k.n, worker: w.id, how: "gone with its worker", atWork: r.lasts && r.percent() == 100})
	}
	w.runs = map[runKey]*run{}
	_ = w.listener.Close()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	close(w.changed)
	w.changed = make(chan struct{})
	time.AfterFunc(3*heartbeat, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up && w.life == life {
			w.st.remove("servers", w.id)
		}
	})
}

// silence makes all open connections silent for good. New ones work.
func (w *worker) silence() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		w.deaf[c.RemoteAddr().String()] = true
	}
	return len(w.conns)
}

func (w *worker) clock(now time.Time) int64 { return now.Sub(w.born).Milliseconds() + 1000 }

func (w *worker) timeOf(clock int64) time.Time {
	return w.born.Add(time.Duration(clock-1000) * time.Millisecond)
}

// guard checks the intended life, and leaves calls on silent connections without an answer.
func (w *worker) guard(next func(http.ResponseWriter, *http.Request, int)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		deaf, life := w.deaf[r.RemoteAddr], w.life
		w.mu.Unlock()
		if deaf {
			// The bytes never arrive, and nothing is said on this connection any more.
			<-r.Context().Done()
			return
		}
		if want := r.Header.Get("X-Expect-Instance"); want != "" && want != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		next(rw, r, life)
	}
}

// say answers, unless the connection has fallen silent meanwhile.
func (w *worker) say(rw http.ResponseWriter, r *http.Request, status int, body map[string]any) {
	w.mu.Lock()
	deaf := w.deaf[r.RemoteAddr]
	body["clockMs"], body["born"] = w.clock(time.Now()), w.born.UnixMilli()
	w.mu.Unlock()
	if deaf {
		<-r.Context().Done()
		return
	}
	writeJSON(rw, status, body)
}

// fenced adopts a fence number. It reports true if a higher one was seen. The caller holds mu.
func (w *worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

// extend extends the lease. The caller holds mu.
func (w *worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	until := w.timeOf(deadline)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) runStart(rw http.ResponseWriter, r *http.Request, life int) {
	var q struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadlineMs"`
		Token    int64  `json:"fencingToken"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	status, reason := http.StatusOK, ""
	switch {
	case !w.up || w.life != life:
		status = http.StatusServiceUnavailable
	case w.unhealthy:
		status = http.StatusServiceUnavailable
	case w.fenced(q.Token):
		status, reason = http.StatusConflict, "fence"
	case q.Deadline <= w.clock(time.Now()):
		status, reason = http.StatusConflict, "late"
	case w.runs[runKey{q.Task, q.Run}] != nil:
		w.extend(q.Deadline)
	case q.Run <= w.highest[q.Task]:
		w.extend(q.Deadline)
		status, reason = http.StatusConflict, "old"
	default:
		w.extend(q.Deadline)
		w.begin(q.Task, q.Run, q.Spec)
	}
	w.mu.Unlock()
	if status == http.StatusServiceUnavailable {
		w.rec.add("start refused with 503", q.Task, "run", q.Run, "on", w.id)
	}
	body := map[string]any{}
	if reason != "" {
		body["reason"] = reason
	}
	w.say(rw, r, status, body)
}

// begin starts a run. The caller holds mu.
func (w *worker) begin(task string, n int, spec string) {
	run := &run{task: task, n: n, lasts: spec == "last", began: time.Now()}
	k := runKey{task, n}
	w.runs[k] = run
	w.rec.start(start{at: time.Now(), task: task, run: n, worker: w.id, kind: w.kind})
	if ms, ok := strings.CutPrefix(spec, "ms="); ok {
		took, _ := strconv.Atoi(ms)
		run.took = time.Duration(took) * time.Millisecond
		run.ends = time.AfterFunc(run.took, func() { w.end(k, run, "done") })
	}
}

// end lists the end of a run.
func (w *worker) end(k runKey, r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endLocked(k, r, how)
}

func (w *worker) endLocked(k runKey, r *run, how string) {
	if w.runs[k] != r || r == nil {
		return
	}
	if r.ends != nil {
		r.ends.Stop()
	}
	w.rec.end(end{at: time.Now(), task: k.task, run: k.n, worker: w.id, how: how, atWork: r.lasts && r.percent() == 100})
	delete(w.runs, k)
	w.highest[k.task] = max(w.highest[k.task], k.n)
	w.nextEnd++
	w.ended = append(w.ended, []any{w.nextEnd, k.task, k.n, how, ""})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) runStop(rw http.ResponseWriter, r *http.Request, _ int) {
	var q struct {
		Task  string `json:"task"`
		Run   int    `json:"run"`
		Token int64  `json:"fencingToken"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	status, body := http.StatusOK, map[string]any{}
	if w.fenced(q.Token) {
		status, body["reason"] = http.StatusConflict, "fence"
	} else {
		k := runKey{q.Task, q.Run}
		w.highest[q.Task] = max(w.highest[q.Task], q.Run)
		if run := w.runs[k]; run != nil {
			time.AfterFunc(stopTime, func() { w.end(k, run, "stopped") })
		}
	}
	w.mu.Unlock()
	w.say(rw, r, status, body)
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request, _ int) {
	w.say(rw, r, http.StatusOK, map[string]any{})
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, life int) {
	var q struct {
		Deadline int64 `json:"deadlineMs"`
		Token    int64 `json:"fencingToken"`
		Seen     int64 `json:"lastSeen"`
		Wait     int   `json:"waitMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	if w.fenced(q.Token) {
		w.mu.Unlock()
		w.say(rw, r, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.extend(q.Deadline)
	w.ended = w.ended[sort.Search(len(w.ended), func(i int) bool { return w.ended[i][0].(int64) > q.Seen }):]
	before, changed := len(w.ended), w.changed
	w.mu.Unlock()
	if before == 0 && q.Wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(min(q.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.mu.Lock()
	if w.life != life {
		w.mu.Unlock()
		return
	}
	running, ended := [][]any{}, w.ended[:min(len(w.ended), 500)]
	for k, run := range w.runs {
		running = append(running, []any{k.task, k.n, "", run.percent(), 0})
	}
	ended = append([][]any{}, ended...)
	w.mu.Unlock()
	w.say(rw, r, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// watchLease kills what runs when the lease expires.
func (w *worker) watchLease(life int) {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.life != life || !w.up {
			w.mu.Unlock()
			return
		}
		if len(w.runs) > 0 && time.Now().After(w.lease) {
			for k, r := range w.runs {
				w.endLocked(k, r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// running returns the tasks on the worker.
func (w *worker) running() []runKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	var keys []runKey
	for k := range w.runs {
		keys = append(keys, k)
	}
	return keys
}
