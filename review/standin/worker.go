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

// Figures of the installation, as in the settings of a small one.
const (
	maxHold     = 10 * time.Second
	stopTime    = 400 * time.Millisecond
	gangTimeout = 3 * time.Second
	saveEvery   = 500 * time.Millisecond
	restoreTime = 600 * time.Millisecond
	beat        = 1500 * time.Millisecond
	// endsAtATime: "The others are returned again (500 at a time)".
	endsAtATime = 500
)

type taskStep struct {
	job  string
	spec step
}

// run is one run of a task on a worker.
type run struct {
	task, step string
	n          int
	w          *worker
	startedAt  time.Time
	// worksFrom is when the run is at work, with the work already done before; zero while a
	// member of a gang waits for the others.
	worksFrom time.Time
	before    time.Duration
	duration  time.Duration
	lasts     bool
	gang      int
	start     string
	stoppedAt time.Time
	saves     bool
}

func (r *run) worked(now time.Time) time.Duration {
	if r.worksFrom.IsZero() || now.Before(r.worksFrom) {
		return r.before
	}
	return r.before + now.Sub(r.worksFrom)
}

// saved returns the newest checkpoint: the work done in ms and a part of the job's id, as
// in the example of PROTOCOL.md.
func (r *run) saved(now time.Time) string {
	if !r.saves {
		return ""
	}
	done := r.worked(now) / saveEvery * saveEvery
	if done == 0 {
		return r.start
	}
	return fmt.Sprintf("%08x%s", done.Milliseconds(), r.task[8:16])
}

func (r *run) percent(now time.Time) int {
	switch {
	case r.worksFrom.IsZero():
		return 0
	case r.lasts:
		return 100
	}
	return int(min(99, 100*r.worked(now)/max(r.duration, 1)))
}

type end struct {
	n               int64
	task            string
	run             int
	how, saved      string
	lapsedAfterward bool
}

// worker is one machine with the worker on it. It follows PROTOCOL.md.
type worker struct {
	f                           *fleet
	id, machine, address, label string
	cpu, mem                    int64
	born                        int64
	began                       time.Time
	seq                         int
	token                       int64
	lease                       time.Time
	runs                        map[string]*run
	ended                       []end
	lastEnd                     int64
	closed                      map[string]int
	up                          bool
	changed                     chan struct{}
	conns                       map[net.Conn]bool
}

// taskState is what the judge knows about a task.
type taskState struct {
	starts int
	// done holds the ends `done` by run, and noted whether one was taken note of.
	done    int
	doneAt  time.Time
	noted   bool
	started time.Time
	// startsAfterDone holds the runs that started after an end `done`.
	startsAfterDone []string
	concurrent      []string
	fails           int
}

// fleet holds all workers, the platform's list of machines and the judge.
type fleet struct {
	mu      sync.Mutex
	rec     *record
	store   *store
	workers []*worker
	jobs    map[string]*jobSpec
	tasks   map[string]*taskState
	service string
	// duration returns the run time of a task.
	duration func(task string) time.Duration
	// onStart and onEnd, if set, are called with the lock held.
	onStart func(r *run)
	onEnd   func(r *run, how string)
}

func newFleet(rec *record, s *store, service string) *fleet {
	f := &fleet{rec: rec, store: s, jobs: map[string]*jobSpec{}, tasks: map[string]*taskState{}, service: service}
	go func() {
		for range time.Tick(2 * time.Millisecond) {
			f.mu.Lock()
			f.advance(time.Now())
			f.mu.Unlock()
		}
	}()
	return f
}

func (f *fleet) state(task string) *taskState {
	t := f.tasks[task]
	if t == nil {
		t = &taskState{}
		f.tasks[task] = t
	}
	return t
}

// add starts a worker with that capacity.
func (f *fleet) add(i int, cpu, mem int64, label string) error {
	w := &worker{f: f, id: fmt.Sprintf("i-%08x", 0x7f3a9100+i), machine: fmt.Sprintf("m-%05x", 0x0a3f1+i), cpu: cpu, mem: mem, label: label, conns: map[net.Conn]bool{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = l.Addr().String()
	srv := &http.Server{
		Handler: http.HandlerFunc(w.serve),
		ConnState: func(c net.Conn, s http.ConnState) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if s == http.StateClosed || s == http.StateHijacked {
				delete(w.conns, c)
			} else {
				w.conns[c] = true
			}
		},
	}
	go func() { _ = srv.Serve(l) }()
	f.mu.Lock()
	f.workers = append(f.workers, w)
	w.boot()
	f.mu.Unlock()
	go func() {
		for {
			f.mu.Lock()
			if w.up {
				w.report()
			}
			f.mu.Unlock()
			time.Sleep(beat)
		}
	}()
	return nil
}

func (w *worker) boot() {
	w.began = time.Now()
	w.born = w.began.UnixMilli()
	w.seq, w.token, w.lastEnd, w.lease = 0, 0, 0, time.Time{}
	w.runs, w.ended, w.closed = map[string]*run{}, nil, map[string]int{}
	w.changed = make(chan struct{})
	w.up = true
}

// report writes the entry of the worker into the store. While the store is down the
// report is lost, and the store keeps the entry that it has.
func (w *worker) report() {
	if w.f.store.isDown() {
		return
	}
	w.seq++
	w.f.store.set("servers", w.id, map[string]any{
		"service": w.f.service, "address": w.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "coldLeftMs": 0,
		"capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "labels": []string{w.label, "r1-1"},
		"machine": w.machine, "clockMs": w.clock(), "seq": w.seq, "born": w.born,
	})
}

func (w *worker) clock() int64 { return time.Since(w.began).Milliseconds() }

func (w *worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// crash ends the worker and all that runs on it. Its entry leaves the store after three
// missed reports.
func (f *fleet) crash(i int) {
	f.mu.Lock()
	w := f.workers[i]
	f.rec.add("worker %s crashes with %d runs", w.id, len(w.runs))
	w.up = false
	var broken []*run
	for _, r := range w.runs {
		f.rec.quiet("lost with its worker: %s run %d", r.task, r.n)
		if r.gang > 0 {
			broken = append(broken, f.members(r)...)
		}
	}
	w.runs = map[string]*run{}
	now := time.Now()
	for _, r := range broken {
		if r.w != w {
			r.w.finish(r, "broken", now)
		}
	}
	born := w.born
	for c := range w.conns {
		_ = c.Close()
	}
	f.mu.Unlock()
	time.AfterFunc(3*beat, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !w.up && w.born == born {
			f.store.set("servers", w.id, nil)
		}
	})
}

// restart starts a crashed worker again under its id.
func (f *fleet) restart(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[i]
	w.boot()
	w.report()
	f.rec.add("worker %s is up again, born %d", w.id, w.born)
}

func (f *fleet) advance(now time.Time) {
	for _, w := range f.workers {
		if !w.up {
			continue
		}
		lapsed := !w.lease.IsZero() && now.After(w.lease)
		if lapsed {
			for i := range w.ended {
				w.ended[i].lapsedAfterward = true
			}
		}
		for _, r := range w.runs {
			switch {
			case lapsed:
				w.finish(r, "lapsed", now)
			case !r.stoppedAt.IsZero():
				if now.Sub(r.stoppedAt) >= stopTime/4 {
					w.finish(r, "stopped", now)
				}
			case r.worksFrom.IsZero():
				if now.Sub(r.startedAt) >= gangTimeout {
					w.finish(r, "alone", now)
				}
			case !r.lasts && r.worked(now) >= r.duration:
				w.finish(r, "done", now)
			}
		}
	}
}

// finish lists the end of a run.
func (w *worker) finish(r *run, how string, now time.Time) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.lastEnd++
	w.ended = append(w.ended, end{n: w.lastEnd, task: r.task, run: r.n, how: how, saved: r.saved(now)})
	w.closed[r.task] = max(w.closed[r.task], r.n)
	w.f.rec.quiet("end %d on %s: %s run %d %s %s", w.lastEnd, w.id, r.task, r.n, how, r.saved(now))
	t := w.f.state(r.task)
	if how == "done" && t.done == 0 {
		t.done, t.doneAt = r.n, now
	}
	if how == "failed" {
		t.fails++
	}
	if w.f.onEnd != nil {
		w.f.onEnd(r, how)
	}
	w.notify()
	if r.gang > 0 && how != "done" && how != "alone" && how != "broken" {
		for _, m := range w.f.members(r) {
			m.w.finish(m, "broken", now)
		}
	}
}

// members returns the other members of a gang that are there with the same run.
func (f *fleet) members(r *run) []*run {
	var all []*run
	for _, w := range f.workers {
		for _, other := range w.runs {
			if other != r && other.step == r.step && other.n == r.n {
				all = append(all, other)
			}
		}
	}
	return all
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	w.f.mu.Lock()
	up := w.up
	w.f.mu.Unlock()
	if !up {
		if c, _, err := rw.(http.Hijacker).Hijack(); err == nil {
			_ = c.Close()
		}
		return
	}
	if id := r.Header.Get("X-Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/-/run-start":
		w.start(rw, o)
	case "/-/run-stop":
		w.stop(rw, o)
	case "/-/pace":
		w.f.mu.Lock()
		defer w.f.mu.Unlock()
		w.reply(rw, "")
	case "/-/hold":
		w.hold(rw, r, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Checkpoint string `json:"lastCheckpoint"`
	LastSeen   int64  `json:"lastSeen"`
	Wait       int64  `json:"waitMs"`
}

// reply answers an order. The caller holds the lock.
func (w *worker) reply(rw http.ResponseWriter, reason string) {
	if reason == "" {
		respond(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born})
		return
	}
	respond(rw, http.StatusConflict, map[string]any{"clockMs": w.clock(), "born": w.born, "reason": reason})
}

func (w *worker) fenced(token int64) bool {
	if token < w.token {
		return true
	}
	w.token = token
	return false
}

func (w *worker) extend(deadline int64) {
	until := w.began.Add(time.Duration(deadline) * time.Millisecond)
	if limit := time.Now().Add(maxHold); until.After(limit) {
		until = limit
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

func (w *worker) start(rw http.ResponseWriter, o order) {
	f := w.f
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	f.advance(now)
	if w.fenced(o.Token) {
		w.reply(rw, "fence")
		return
	}
	if o.Deadline < w.clock() {
		w.reply(rw, "late")
		return
	}
	w.extend(o.Deadline)
	if have := w.runs[o.Task]; have != nil && have.n == o.Run {
		w.reply(rw, "")
		return
	}
	if o.Run <= w.closed[o.Task] || w.runs[o.Task] != nil {
		w.reply(rw, "old")
		return
	}
	s, j := f.stepOf(o.Task)
	if s == nil || o.Spec != j.Spec {
		f.rec.add("UNASKED: %s run %d is told to start on %s", o.Task, o.Run, w.id)
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	r := &run{
		task: o.Task, step: o.Task[:strings.LastIndex(o.Task, ".")], n: o.Run, w: w, startedAt: now, worksFrom: now,
		duration: f.duration(o.Task), lasts: s.LongRunning, start: o.Checkpoint, saves: s.Checkpoint,
	}
	if o.Checkpoint != "" {
		ms, _ := strconv.ParseInt(o.Checkpoint[:8], 16, 64)
		r.before, r.worksFrom = time.Duration(ms)*time.Millisecond, now.Add(restoreTime)
	}
	t := f.state(o.Task)
	t.starts++
	t.started = now
	f.rec.quiet("start on %s: %s run %d checkpoint %q fence %d", w.id, o.Task, o.Run, o.Checkpoint, o.Token)
	if t.done > 0 {
		t.startsAfterDone = append(t.startsAfterDone, fmt.Sprintf("run %d on %s, %d ms after run %d had ended done", o.Run, w.id, now.Sub(t.doneAt).Milliseconds(), t.done))
	}
	for _, other := range f.workers {
		if x := other.runs[o.Task]; x != nil && other.up {
			t.concurrent = append(t.concurrent, fmt.Sprintf("run %d on %s beside run %d on %s", o.Run, w.id, x.n, other.id))
		}
	}
	w.runs[o.Task] = r
	if s.Gang {
		r.gang = s.Count
		f.joinGang(r, now)
	}
	if f.onStart != nil {
		f.onStart(r)
	}
	w.notify()
	w.reply(rw, "")
}

// joinGang lets a member of a gang wait until all tasks of the run are present. "The value
// from any member of a gang is valid for that gang, and all must carry the same value", so
// members that were told to resume from different points don't work together.
func (f *fleet) joinGang(r *run, now time.Time) {
	r.worksFrom = time.Time{}
	present := append(f.members(r), r)
	if len(present) < r.gang {
		return
	}
	values := map[string]int{}
	for _, m := range present {
		values[m.start]++
	}
	if len(values) > 1 {
		var list []string
		for v, n := range values {
			list = append(list, fmt.Sprintf("%d x %q", n, v))
		}
		sort.Strings(list)
		f.rec.add("gang %s run %d: all members are present, but don't carry the same lastCheckpoint: %s", r.step, r.n, strings.Join(list, ", "))
		return
	}
	f.rec.add("gang %s run %d works, lastCheckpoint %q", r.step, r.n, r.start)
	for _, m := range present {
		m.worksFrom = now
		if m.start != "" {
			m.worksFrom = now.Add(restoreTime)
		}
		m.w.notify()
	}
}

func (w *worker) stop(rw http.ResponseWriter, o order) {
	w.f.mu.Lock()
	defer w.f.mu.Unlock()
	w.f.advance(time.Now())
	if w.fenced(o.Token) {
		w.reply(rw, "fence")
		return
	}
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	if r := w.runs[o.Task]; r != nil && r.n <= o.Run && r.stoppedAt.IsZero() {
		r.stoppedAt = time.Now()
		w.f.rec.quiet("stop on %s: %s run %d", w.id, o.Task, o.Run)
	}
	w.reply(rw, "")
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	deadline := time.After(min(time.Duration(o.Wait), 2000) * time.Millisecond)
	born := int64(0)
	for first := true; ; first = false {
		w.f.mu.Lock()
		now := time.Now()
		w.f.advance(now)
		if born == 0 {
			born = w.born
		}
		if !w.up || w.born != born {
			w.f.mu.Unlock()
			if c, _, err := rw.(http.Hijacker).Hijack(); err == nil {
				_ = c.Close()
			}
			return
		}
		if w.fenced(o.Token) {
			w.reply(rw, "fence")
			w.f.mu.Unlock()
			return
		}
		if first {
			if o.Deadline > 0 {
				w.extend(o.Deadline)
			}
			w.note(o.LastSeen)
		}
		var timeout bool
		select {
		case <-deadline:
			timeout = true
		default:
		}
		if len(w.ended) > 0 || timeout || o.Wait == 0 {
			w.list(rw, now)
			w.f.mu.Unlock()
			return
		}
		changed := w.changed
		w.f.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-deadline:
			o.Wait = 0
		}
	}
}

// note forgets the ends up to lastSeen.
func (w *worker) note(lastSeen int64) {
	kept := w.ended[:0:0]
	for _, e := range w.ended {
		if e.n > lastSeen {
			kept = append(kept, e)
			continue
		}
		w.f.rec.quiet("end %d of %s is taken note of", e.n, w.id)
		if t := w.f.state(e.task); e.how == "done" && !e.lapsedAfterward && t.done == e.run {
			t.noted = true
		}
	}
	w.ended = kept
}

func (w *worker) list(rw http.ResponseWriter, now time.Time) {
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		usage := int64(100)
		running = append(running, []any{r.task, r.n, r.saved(now), r.percent(now), usage})
	}
	for _, e := range w.ended {
		if len(ended) == endsAtATime {
			w.f.rec.quiet("%s lists 500 of %d ends", w.id, len(w.ended))
			break
		}
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	respond(rw, http.StatusOK, map[string]any{"clockMs": w.clock(), "born": w.born, "running": running, "ended": ended})
}

// serveCloud serves the list of machines. There is one pool, so no machine can move.
func (f *fleet) serveCloud() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	h := func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/-/machines" {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		f.mu.Lock()
		defer f.mu.Unlock()
		list := []map[string]any{}
		for _, w := range f.workers {
			state := "up"
			if !w.up {
				state = "down"
			}
			list = append(list, map[string]any{
				"machine": w.machine, "pool": f.service, "state": state, "zone": "zone-a", "labels": []string{w.label, "r1-1"},
				"capacity": map[string]any{"cpu": w.cpu, "memMb": w.mem, "gpu": 0}, "id": w.id,
			})
		}
		respond(rw, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
	}
	go func() { _ = (&http.Server{Handler: http.HandlerFunc(h)}).Serve(l) }()
	return l.Addr().String(), nil
}
