package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// expiry is after what silence the store drops the entry of a worker.
	expiry      = 3 * heartbeat
	maxHold     = 10 * time.Second
	stopTime    = 100 * time.Millisecond
	maxWait     = 2000
	maxEnds     = 500
	clockStart  = 1000
	workerZones = 3
)

// resources are those of a worker or a task.
type resources struct {
	CPU int64 `json:"cpu"`
	Mem int64 `json:"memMb"`
	GPU int64 `json:"gpu"`
}

func (a resources) plus(b resources) resources {
	return resources{a.CPU + b.CPU, a.Mem + b.Mem, a.GPU + b.GPU}
}

func (a resources) fits(b resources) bool { return a.CPU <= b.CPU && a.Mem <= b.Mem && a.GPU <= b.GPU }

// kind is a kind of worker, which its first label names.
type kind struct {
	label    string
	capacity resources
}

// taskRun is a run of a task on a worker.
type taskRun struct {
	task  string
	run   int
	began time.Time
	size  resources
	// ends fires when the run ends by itself. stopping is set once a stop was ordered.
	ends     *time.Timer
	stopping bool
}

type ended struct {
	n    int64
	task string
	run  int
	how  string
}

// worker is a machine with one worker process at a time. A crash ends its life at once: listener,
// connections and runs are gone, and a new life under the same id and address knows nothing.
type worker struct {
	w       *world
	id      string
	machine string
	zone    string
	rack    string
	address string

	mu   sync.Mutex
	kind kind
	up   bool
	// cut is set while the worker does not reach the store. shedding is set while it refuses
	// every start with 503.
	cut, shedding bool
	// gone is set once the machine is lost for good.
	gone     bool
	life     int
	bornAt   time.Time
	seq      int64
	spokenAt time.Time
	server   *http.Server
	token    int64
	until    time.Time
	runs     map[string]*taskRun
	// highest holds, by task, the highest run that was stopped or has ended here.
	highest map[string]int
	ends    []ended
	lastEnd int64
	woken   chan struct{}
}

func newWorker(w *world, i int, k kind) *worker {
	return &worker{
		w: w, id: fmt.Sprintf("i-%04d", i), machine: fmt.Sprintf("m-%04d", i), zone: zoneName(i % workerZones),
		rack: fmt.Sprintf("r%d-%d", i%workerZones, i/workerZones), address: freeAddress(), kind: k, woken: make(chan struct{}),
	}
}

func zoneName(i int) string { return string(rune('a'+i)) + "-zone" }

// start begins a life.
func (k *worker) start() {
	var l net.Listener
	for {
		var err error
		if l, err = net.Listen("tcp", k.address); err == nil {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	k.mu.Lock()
	k.life++
	k.up, k.bornAt, k.seq, k.token, k.until = true, time.Now(), 0, 0, time.Time{}
	k.runs, k.highest, k.ends, k.lastEnd = map[string]*taskRun{}, map[string]int{}, nil, 0
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /-/run-start", k.call(k.life, k.runStart))
	mux.HandleFunc("POST /-/run-stop", k.call(k.life, k.runStop))
	mux.HandleFunc("POST /-/hold", k.call(k.life, k.hold))
	mux.HandleFunc("POST /-/pace", k.call(k.life, k.pace))
	k.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(k.server)
	life := k.life
	k.mu.Unlock()
	k.w.note("worker %s starts life %d, kind %s", k.id, life, k.kind.label)
	go k.beat(life)
	go k.lapse(life)
}

// crash ends the life.
func (k *worker) crash() {
	k.mu.Lock()
	k.up = false
	k.life++
	for _, r := range k.runs {
		if r.ends != nil {
			r.ends.Stop()
		}
		k.w.runEnded(k, r, "crashed")
	}
	n := len(k.runs)
	k.runs = map[string]*taskRun{}
	server := k.server
	k.wake()
	k.mu.Unlock()
	_ = server.Close()
	k.w.note("worker %s crashes under %d runs", k.id, n)
}

// wake ends the holds that wait. The caller holds mu.
func (k *worker) wake() {
	close(k.woken)
	k.woken = make(chan struct{})
}

func (k *worker) clock() int64 { return clockStart + time.Since(k.bornAt).Milliseconds() }

// beat writes the entry of the worker to the store, at once and then at each heartbeat.
func (k *worker) beat(life int) {
	for {
		k.mu.Lock()
		if k.life != life {
			k.mu.Unlock()
			return
		}
		if !k.cut {
			k.seq++
			k.spokenAt = time.Now()
			entry := map[string]any{
				"service": serviceName, "address": k.address, "zone": k.zone, "version": "v1", "slots": 8, "state": "ready",
				"coldLeftMs": 0, "capacity": k.kind.capacity, "labels": []string{k.kind.label, k.rack}, "clockMs": k.clock(),
				"seq": k.seq, "machine": k.machine, "born": k.bornAt.UnixMilli(),
			}
			k.mu.Unlock()
			time.Sleep(txnTime)
			k.w.store.set("servers", k.id, entry)
		} else {
			k.mu.Unlock()
		}
		time.Sleep(heartbeat)
	}
}

// expire removes the entry of a worker that has been silent for too long.
func (k *worker) expire() {
	k.mu.Lock()
	silent := !k.spokenAt.IsZero() && time.Since(k.spokenAt) > expiry
	if silent {
		k.spokenAt = time.Time{}
	}
	k.mu.Unlock()
	if silent {
		k.w.store.remove("servers", k.id)
	}
}

// lapse kills everything once the lease has expired.
func (k *worker) lapse(life int) {
	for {
		time.Sleep(10 * time.Millisecond)
		k.mu.Lock()
		if k.life != life {
			k.mu.Unlock()
			return
		}
		if len(k.runs) > 0 && time.Now().After(k.until) {
			for _, r := range k.runs {
				k.end(r, "lapsed")
			}
		}
		k.mu.Unlock()
	}
}

// end ends a run and lists its end. The caller holds mu.
func (k *worker) end(r *taskRun, how string) {
	if k.runs[r.task] != r {
		return
	}
	if r.ends != nil {
		r.ends.Stop()
	}
	delete(k.runs, r.task)
	k.highest[r.task] = max(k.highest[r.task], r.run)
	k.lastEnd++
	k.ends = append(k.ends, ended{k.lastEnd, r.task, r.run, how})
	k.w.runEnded(k, r, how)
	k.wake()
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Token    int64  `json:"fencingToken"`
	Ticket   string `json:"ticket"`
	LastSeen int64  `json:"lastSeen"`
	Wait     int64  `json:"waitMs"`
}

type verdict struct {
	Clock  int64  `json:"clockMs"`
	Born   int64  `json:"born"`
	Reason string `json:"reason,omitempty"`
}

// call decodes an order and checks what all calls have in common.
func (k *worker) call(life int, do func(w http.ResponseWriter, r *http.Request, o order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.life != life {
			panic(http.ErrAbortHandler)
		}
		if id := r.Header.Get("X-Expect-Instance"); id != "" && id != k.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if o.Token < k.token {
			k.answer(w, http.StatusConflict, "fence")
			return
		}
		k.token = o.Token
		do(w, r, o)
	}
}

func (k *worker) answer(w http.ResponseWriter, status int, reason string) {
	writeJSON(w, status, verdict{Clock: k.clock(), Born: k.bornAt.UnixMilli(), Reason: reason})
}

// extend extends the lease. It never shortens.
func (k *worker) extend(deadline int64) {
	if deadline == 0 {
		return
	}
	until := k.bornAt.Add(time.Duration(deadline-clockStart) * time.Millisecond)
	if latest := time.Now().Add(maxHold); until.After(latest) {
		until = latest
	}
	if until.After(k.until) {
		k.until = until
	}
}

func (k *worker) used() resources {
	var sum resources
	for _, r := range k.runs {
		sum = sum.plus(r.size)
	}
	return sum
}

func (k *worker) runStart(w http.ResponseWriter, _ *http.Request, o order) {
	if k.shedding {
		k.w.note("worker %s sheds %s run %d", k.id, o.Task, o.Run)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r := k.runs[o.Task]; r != nil && r.run == o.Run {
		k.extend(o.Deadline)
		k.answer(w, http.StatusOK, "")
		return
	}
	if o.Deadline < k.clock() {
		k.answer(w, http.StatusConflict, "late")
		return
	}
	if k.highest[o.Task] >= o.Run {
		k.extend(o.Deadline)
		k.answer(w, http.StatusConflict, "old")
		return
	}
	job := k.w.jobOf(o.Task)
	if job == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if job.queue.advised && !k.w.advice.isValid(stepOf(o.Task), k.id, k.life, o.Ticket) {
		k.w.note("worker %s rejects %s run %d: ticket %q", k.id, o.Task, o.Run, o.Ticket)
		k.answer(w, http.StatusConflict, "ticket")
		return
	}
	k.extend(o.Deadline)
	r := &taskRun{task: o.Task, run: o.Run, began: time.Now(), size: job.size}
	k.runs[o.Task] = r
	life := k.life
	if !job.lasts {
		r.ends = time.AfterFunc(job.takes, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.life == life && !r.stopping {
				k.end(r, "done")
			}
		})
	}
	k.w.runStarted(k, r, job)
	k.answer(w, http.StatusOK, "")
}

func (k *worker) runStop(w http.ResponseWriter, _ *http.Request, o order) {
	k.highest[o.Task] = max(k.highest[o.Task], o.Run)
	if r := k.runs[o.Task]; r != nil && r.run == o.Run && !r.stopping {
		r.stopping = true
		life := k.life
		time.AfterFunc(stopTime, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			if k.life == life {
				k.end(r, "stopped")
			}
		})
	}
	k.answer(w, http.StatusOK, "")
}

func (k *worker) pace(w http.ResponseWriter, _ *http.Request, _ order) {
	k.answer(w, http.StatusOK, "")
}

func (k *worker) hold(w http.ResponseWriter, r *http.Request, o order) {
	k.extend(o.Deadline)
	k.ends = slices.DeleteFunc(k.ends, func(e ended) bool { return e.n <= o.LastSeen })
	timeout := time.After(time.Duration(min(o.Wait, maxWait)) * time.Millisecond)
	life := k.life
	for len(k.ends) == 0 && o.Wait > 0 {
		woken := k.woken
		k.mu.Unlock()
		more := true
		select {
		case <-woken:
		case <-timeout:
			more = false
		case <-r.Context().Done():
			more = false
		}
		k.mu.Lock()
		if k.life != life {
			panic(http.ErrAbortHandler)
		}
		if !more {
			break
		}
	}
	running, ends := [][]any{}, [][]any{}
	for _, t := range k.runs {
		percent := 100
		if j := k.w.jobOf(t.task); !j.lasts {
			percent = min(99, int(100*time.Since(t.began)/max(1, j.takes)))
		}
		running = append(running, []any{t.task, t.run, "", percent, 0})
	}
	for _, e := range k.ends[:min(len(k.ends), maxEnds)] {
		ends = append(ends, []any{e.n, e.task, e.run, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": k.clock(), "born": k.bornAt.UnixMilli(), "running": running, "ended": ends})
}

// stepOf returns ID.K.STEP of a task.
func stepOf(task string) string { return task[:strings.LastIndexByte(task, '.')] }
