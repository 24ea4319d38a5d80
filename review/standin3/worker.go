package main

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"regexp"
	"sort"
	"strconv"
	"sync"
	"time"
)

// A worker runs what it is told to start, as PROTOCOL says under "Running tasks". It doesn't
// guard its capacity. A crash closes its sockets and forgets all; restart begins a new lifetime
// under the same id at the same address.

type resources struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"memMb"`
	GPU int64 `json:"gpu"`
}

type runID struct {
	task string
	run  int
}

type running struct {
	id    runID
	began time.Time
	takes time.Duration // 0 if it lasts
	timer *time.Timer
}

type ended struct {
	n   int64
	id  runID
	how string
}

type worker struct {
	w       *world
	id      string
	machine string
	service string
	zone    string
	rack    string
	address string

	mu       sync.Mutex
	capacity resources
	labels   []string
	up       bool
	draining bool
	born     time.Time
	server   *http.Server
	fence    int64
	until    int64 // clock time at which the lease expires
	runs     map[runID]*running
	ends     []ended
	lastEnd  int64
	highest  map[string]int // highest run stopped or ended, by task
	changed  chan struct{}
	seq      int64
}

func (k *worker) start() {
	listener, err := net.Listen("tcp", k.address)
	for i := 0; err != nil && i < 50; i++ {
		time.Sleep(10 * time.Millisecond)
		listener, err = net.Listen("tcp", k.address)
	}
	if err != nil {
		panic(err)
	}
	k.mu.Lock()
	k.address = listener.Addr().String()
	k.up, k.draining, k.born = true, false, time.Now()
	k.fence, k.until, k.lastEnd, k.seq = 0, 0, 0, 0
	k.runs, k.ends, k.highest = map[runID]*running{}, nil, map[string]int{}
	k.changed = make(chan struct{})
	k.server = &http.Server{Handler: http.HandlerFunc(k.serve)}
	server, born := k.server, k.born
	k.mu.Unlock()
	k.w.note("worker %s up, born %d", k.id, born.UnixMilli())
	go func() { _ = server.Serve(listener) }()
	k.register()
	go k.beat(born)
	go k.watch(born)
}

func (k *worker) isUp() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.up
}

// crash ends the lifetime without notice.
func (k *worker) crash() {
	k.mu.Lock()
	if !k.up {
		k.mu.Unlock()
		return
	}
	k.up = false
	server := k.server
	for id, r := range k.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		k.w.judge.ended(k, id, "crash")
	}
	k.runs = map[runID]*running{}
	close(k.changed)
	k.changed = make(chan struct{})
	k.mu.Unlock()
	k.w.note("worker %s down", k.id)
	_ = server.Close()
}

// register writes the entry in the list of workers.
func (k *worker) register() {
	k.mu.Lock()
	state := "ready"
	if k.draining {
		state = "draining"
	}
	k.seq++
	entry := map[string]any{
		"service": k.service, "address": k.address, "zone": k.zone, "version": "1", "slots": 8, "state": state,
		"coldLeftMs": 0, "seq": k.seq, "capacity": k.capacity, "labels": k.labels, "machine": k.machine,
		"born": k.born.UnixMilli(),
	}
	up := k.up
	k.mu.Unlock()
	if !up {
		return
	}
	if late := k.w.store.putByWorker("servers", k.id, entry); late > 0 {
		k.w.note("entry of %s (born %d) is written %d ms late", k.id, entry["born"], late.Milliseconds())
	}
}

// watch ends what runs once the lease has expired.
func (k *worker) watch(born time.Time) {
	for {
		time.Sleep(20 * time.Millisecond)
		k.mu.Lock()
		if !k.up || !k.born.Equal(born) {
			k.mu.Unlock()
			return
		}
		k.lapse()
		k.mu.Unlock()
	}
}

// beat registers again every heartbeat for as long as the lifetime lasts.
func (k *worker) beat(born time.Time) {
	// The first heartbeat comes early, so that those of workers that start together spread.
	pause := rand.N(heartbeat)
	for {
		time.Sleep(pause)
		pause = heartbeat
		k.mu.Lock()
		ok := k.up && k.born.Equal(born)
		k.mu.Unlock()
		if !ok {
			return
		}
		k.register()
	}
}

// clock returns the reading of the worker's steady clock, which begins with its lifetime.
func (k *worker) clock() int64 { return time.Since(k.born).Milliseconds() + 1 }

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Until      int64  `json:"deadlineMs"`
	Token      int64  `json:"fencingToken"`
	Checkpoint string `json:"lastCheckpoint"`
	LastSeen   int64  `json:"lastSeen"`
	WaitMs     int64  `json:"waitMs"`
	Percent    int    `json:"percent"`
}

func (k *worker) serve(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != k.id {
		writeJSON(w, http.StatusMisdirectedRequest, nil)
		return
	}
	if (r.URL.Path == "/-/run-start" || r.URL.Path == "/-/run-stop") && k.w.isLate() {
		k.deliverLate(r.URL.Path, o)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	k.mu.Lock()
	if !k.up {
		k.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/-/hold" && o.Token >= k.fence {
		k.hold(w, r, o)
		return
	}
	reason := k.carryOut(r.URL.Path, o)
	body := map[string]any{"clockMs": k.clock()}
	k.mu.Unlock()
	if reason != "" {
		body["reason"] = reason
		writeJSON(w, http.StatusConflict, body)
		return
	}
	writeJSON(w, http.StatusOK, body)
}

// carryOut carries an order out, unless its fencing token is too low, and returns the reason for
// a refusal. The caller holds mu.
func (k *worker) carryOut(path string, o order) string {
	if o.Token < k.fence {
		return "fence"
	}
	k.fence = o.Token
	k.lapse()
	switch path {
	case "/-/run-start":
		return k.startRun(o)
	case "/-/run-stop":
		k.stopRun(runID{o.Task, o.Run})
	}
	return ""
}

// extend sets the end of the lease, which never shortens.
func (k *worker) extend(until int64) {
	if limit := k.clock() + maxHold.Milliseconds(); until > limit {
		until = limit
	}
	if until > k.until {
		k.until = until
	}
}

// lapse ends everything once the lease has expired.
func (k *worker) lapse() {
	if len(k.runs) > 0 && k.clock() > k.until {
		for id := range k.runs {
			k.end(id, "lapsed")
		}
	}
}

var takesPattern = regexp.MustCompile(`ms=(\d+)(?:-(\d+))?`)

func (k *worker) startRun(o order) string {
	id := runID{o.Task, o.Run}
	if _, ok := k.runs[id]; ok {
		k.extend(o.Until)
		return ""
	}
	if o.Run <= k.highest[o.Task] {
		k.extend(o.Until)
		return "old"
	}
	if o.Until < k.clock() {
		return "late"
	}
	k.extend(o.Until)
	r := &running{id: id, began: time.Now()}
	if m := takesPattern.FindStringSubmatch(o.Spec); m != nil {
		ms, _ := strconv.Atoi(m[1])
		if most, err := strconv.Atoi(m[2]); err == nil {
			ms += rand.IntN(most - ms)
		}
		r.takes = time.Duration(ms) * time.Millisecond
	}
	if r.takes > 0 {
		born := k.born
		r.timer = time.AfterFunc(r.takes, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.up && k.born.Equal(born) && k.runs[id] == r {
				k.lapse()
				if k.runs[id] == r {
					k.end(id, "done")
				}
			}
		})
	}
	k.runs[id] = r
	k.w.judge.started(k, id)
	return ""
}

func (k *worker) stopRun(id runID) {
	if id.run > k.highest[id.task] {
		k.highest[id.task] = id.run
	}
	if _, ok := k.runs[id]; ok {
		k.end(id, "stopped")
	}
}

// end removes a run and lists its end. The caller holds mu.
func (k *worker) end(id runID, how string) {
	r := k.runs[id]
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(k.runs, id)
	if id.run > k.highest[id.task] {
		k.highest[id.task] = id.run
	}
	k.lastEnd++
	k.ends = append(k.ends, ended{k.lastEnd, id, how})
	k.w.judge.ended(k, id, how)
	close(k.changed)
	k.changed = make(chan struct{})
}

// hold extends the lease, forgets the ends that the owner has seen and answers with the lists. The
// caller holds mu, which hold releases.
func (k *worker) hold(w http.ResponseWriter, r *http.Request, o order) {
	k.fence = o.Token
	k.lapse()
	if o.Until > 0 {
		k.extend(o.Until)
	}
	i := sort.Search(len(k.ends), func(i int) bool { return k.ends[i].n > o.LastSeen })
	for _, e := range k.ends[:i] {
		k.w.judge.noted(e)
	}
	k.ends = k.ends[i:]
	changed := k.changed
	waits := len(k.ends) == 0 && o.WaitMs > 0
	k.mu.Unlock()
	if waits {
		t := time.NewTimer(time.Duration(o.WaitMs) * time.Millisecond)
		defer t.Stop()
		select {
		case <-changed:
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up {
		panic(http.ErrAbortHandler)
	}
	k.lapse()
	runs, ends := [][]any{}, [][]any{}
	for id, run := range k.runs {
		percent := int64(100)
		if run.takes > 0 {
			percent = min(99, int64(100*time.Since(run.began)/run.takes))
		} else if time.Since(run.began) < 300*time.Millisecond {
			percent = 50
		}
		runs = append(runs, []any{id.task, id.run, "", percent, 100})
	}
	for _, e := range k.ends {
		if len(ends) < 500 {
			ends = append(ends, []any{e.n, e.id.task, e.id.run, e.how, ""})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": k.clock(), "born": k.born.UnixMilli(), "running": runs, "ended": ends})
}

// deliverLate carries an order out 2 to 12 s later, in whatever lifetime the worker has then.
func (k *worker) deliverLate(path string, o order) {
	after := 2*time.Second + rand.N(10*time.Second)
	k.w.note("held back %s %s run %d for %s by %d ms", path, o.Task, o.Run, k.id, after.Milliseconds())
	time.AfterFunc(after, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if !k.up {
			return
		}
		reason := k.carryOut(path, o)
		k.w.note("late %s %s run %d on %s (born %d): %q", path, o.Task, o.Run, k.id, k.born.UnixMilli(), reason)
	})
}
