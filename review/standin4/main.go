package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// finishTime is finish_s: how long after the end of the traffic jobs are asked for.
const finishTime = 14 * time.Second

var scenarios = map[string]func(*world) bool{
	"advice":  playAdvice,
	"kinds":   playKinds,
	"crashes": playCrashes,
	"waiting": playWaiting,
	"lasting": playLasting,
	"large":   playLarge,
	"memory":  playMemory,
	"shards":  playShards,
}

// usage: standin4 SCENARIO REPOSITORY RECORD
//
// TROUBLE=0 leaves the disruption out, SEED sets the seed of the requesters and of the times.
func main() {
	if len(os.Args) != 4 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin4 SCENARIO REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	repo, err := filepath.Abs(os.Args[2])
	check(err)
	seed := uint64(time.Now().UnixNano())
	if s, err := strconv.ParseUint(os.Getenv("SEED"), 10, 64); err == nil {
		seed = s
	}
	w := newWorld(repo, os.Args[3], os.Getenv("TROUBLE") != "0", seed)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		w.close()
		os.Exit(exitNotRun)
	}()
	ran := scenarios[os.Args[1]](w)
	code := exitHeld
	switch {
	case len(w.broken) > 0:
		code = exitBroken
	case !ran:
		code = exitNotRun
	}
	w.note("%d starts, %d times a rule was broken, exit %d", w.starts, len(w.broken), code)
	w.close()
	for i, text := range w.broken {
		if i == 5 {
			fmt.Printf("... %d in all\n", len(w.broken))
			break
		}
		fmt.Println(text)
	}
	fmt.Printf("%s: exit %d\n", os.Args[1], code)
	os.Exit(code)
}

// stillTime is for how long a job must not have nothing running while there is room for it.
const stillTime = 3 * time.Second

// judgeStill judges an accepted job that is not final although nothing disturbs the installation.
func (w *world) judgeStill(j *job) {
	used, capacity := w.use()
	w.mu.Lock()
	defer w.mu.Unlock()
	still := time.Since(j.idleSince)
	if j.active > 0 || still < stillTime || 2*used >= capacity {
		w.noteLocked("%s is %s with %d runs; %d of %d cores are in use", j.id, j.state, j.active, used/1000, capacity/1000)
		return
	}
	w.violateLocked("LOST: %s is %s %.1f s after it was accepted, with %d of %d tasks left and nothing running for %.1f s; %d of %d cores of the service are in use",
		j.id, j.state, time.Since(j.acceptedAt).Seconds(), j.left, j.count, still.Seconds(), used/1000, capacity/1000)
}

// use returns the processor that runs take on all workers and what these have, in thousandths of a core.
func (w *world) use() (used, capacity int64) {
	for _, k := range w.workers {
		k.mu.Lock()
		if k.up {
			used += k.used().CPU
			capacity += k.kind.capacity.CPU
		}
		k.mu.Unlock()
	}
	return used, capacity
}

func kinds(n int, k kind) []kind {
	list := make([]kind, n)
	for i := range list {
		list[i] = k
	}
	return list
}

// traffic submits jobs at a mean rate per second for a time, each made by next.
func (w *world) traffic(perSecond float64, d time.Duration, next func() *job) *sync.WaitGroup {
	var requesters sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); {
		w.mu.Lock()
		gap := w.rng.ExpFloat64() / perSecond
		w.mu.Unlock()
		time.Sleep(time.Duration(gap * float64(time.Second)))
		requesters.Go(func() { w.submit(next()) })
	}
	return &requesters
}

// judgeEnd asks for all accepted jobs after finishTime, in which nothing disturbs the installation
// and no work arrives.
func (w *world) judgeEnd(requesters *sync.WaitGroup) {
	requesters.Wait()
	w.note("the traffic has ended")
	time.Sleep(finishTime)
	for _, j := range w.accepted() {
		j.state = w.stateOf(j)
		switch {
		case j.state == "completed" && j.left > 0:
			w.violate("MIXED: %s is shown as completed, and %d of its %d tasks have not ended so", j.id, j.left, j.count)
		case j.state == "completed":
		case j.state == "410" || j.state == "no answer":
			w.violate("LOST: %s was accepted and at the end is %s", j.id, j.state)
		case j.state == "failed" || j.state == "cancelled":
			w.violate("LOST: %s was accepted and is shown as %s, and none of its runs has ended failed", j.id, j.state)
		default:
			w.judgeStill(j)
		}
	}
	w.note("%d jobs were accepted of %d", len(w.accepted()), len(w.order))
}

// allowedWorkers is on how many workers the placement policy lets a step run.
const allowedWorkers = 3

// playAdvice: workers crash and are back under their ids in 0.4 s, one after the other, while jobs of a
// queue with a placement policy arrive. The policy lets each step run on three of the eight workers.
func playAdvice(w *world) bool {
	w.advice.allows = func(step string, k *worker) bool {
		h := fnv.New64a()
		_, _ = h.Write([]byte(step))
		first := int(h.Sum64() % uint64(len(w.workers)))
		for i := range allowedWorkers {
			if w.workers[(first+i)%len(w.workers)] == k {
				return true
			}
		}
		return false
	}
	w.open([]*queue{{name: "plan", advised: true}}, []*tenant{{name: "crews"}}, kinds(8, kind{"a", resources{CPU: 8000, Mem: 16000}}))
	if !w.awaitReady() {
		return false
	}
	time.Sleep(3 * time.Second)
	go func() {
		if !w.trouble {
			return
		}
		time.Sleep(3 * time.Second)
		for i := range 16 {
			k := w.workers[i%len(w.workers)]
			k.crash()
			time.Sleep(400 * time.Millisecond)
			k.start()
			time.Sleep(1600 * time.Millisecond)
		}
	}()
	requesters := w.traffic(20, 40*time.Second, func() *job {
		return &job{queue: w.queues[0], tenant: w.tenants[0], count: 1, size: resources{CPU: 1000, Mem: 100}, takes: 400 * time.Millisecond}
	})
	w.judgeEnd(requesters)
	return true
}

// playKinds: workers are cut off from the store, crash behind the cut and start again under their ids
// as another kind, one after the other.
func playKinds(w *world) bool {
	big, small := kind{"a", resources{CPU: 16000, Mem: 64000}}, kind{"b", resources{CPU: 8000, Mem: 32000}}
	w.open([]*queue{{name: "plan"}}, []*tenant{{name: "crews"}}, kinds(8, big))
	if !w.awaitReady() {
		return false
	}
	time.Sleep(3 * time.Second)
	go func() {
		if !w.trouble {
			return
		}
		time.Sleep(3 * time.Second)
		for i := range 5 {
			k := w.workers[i]
			w.setCut(k, true)
			time.Sleep(500 * time.Millisecond)
			w.reborn(k, small)
			time.Sleep(3500 * time.Millisecond)
			w.setCut(k, false)
			time.Sleep(1500 * time.Millisecond)
			w.reborn(k, big)
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	requesters := w.traffic(5, 38*time.Second, func() *job {
		return &job{queue: w.queues[0], tenant: w.tenants[0], count: 6, size: resources{CPU: 4000, Mem: 1000}, takes: 800 * time.Millisecond, label: "a"}
	})
	w.judgeEnd(requesters)
	return true
}

// setCut cuts a worker off from the store, or lets it reach the store again.
func (w *world) setCut(k *worker, cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	w.note("worker %s is cut off from the store: %v", k.id, cut)
}

// reborn crashes a worker, and starts it again under its id as some kind.
func (w *world) reborn(k *worker, as kind) {
	k.crash()
	time.Sleep(restartTime)
	k.mu.Lock()
	k.kind = as
	k.mu.Unlock()
	k.start()
}

// restartTime is how long a worker process that has crashed is away.
const restartTime = 150 * time.Millisecond

// playCrashes: one worker of eight after the other crashes and is back in 0.3 s.
func playCrashes(w *world) bool {
	w.open([]*queue{{name: "plan"}}, []*tenant{{name: "crews"}}, kinds(8, kind{"a", resources{CPU: 16000, Mem: 64000}}))
	if !w.awaitReady() {
		return false
	}
	time.Sleep(3 * time.Second)
	go func() {
		if !w.trouble {
			return
		}
		time.Sleep(3 * time.Second)
		for range 50 {
			w.mu.Lock()
			k := w.workers[w.rng.IntN(len(w.workers))]
			w.mu.Unlock()
			k.crash()
			time.Sleep(300 * time.Millisecond)
			k.start()
			time.Sleep(300 * time.Millisecond)
		}
	}()
	requesters := w.traffic(4, 35*time.Second, func() *job {
		return &job{queue: w.queues[0], tenant: w.tenants[0], count: 8, size: resources{CPU: 2000, Mem: 500}, takes: 1200 * time.Millisecond}
	})
	w.judgeEnd(requesters)
	return true
}

// playWaiting: while seven workers are full of long tasks, the eighth refuses what it is told to
// start, as a worker that is not healthy may; then the process that owns the fleet is killed. All along
// the nodes are asked how many jobs of the queue wait.
func playWaiting(w *world) bool {
	w.open([]*queue{{name: "plan"}}, []*tenant{{name: "crews"}}, kinds(8, kind{"a", resources{CPU: 8000, Mem: 64000}}))
	if !w.awaitReady() {
		return false
	}
	time.Sleep(3 * time.Second)
	var requesters sync.WaitGroup
	for range 7 {
		requesters.Go(func() {
			w.submit(&job{queue: w.queues[0], tenant: w.tenants[0], count: 8, size: resources{CPU: 1000, Mem: 500}, takes: 25 * time.Second})
		})
	}
	requesters.Wait()
	time.Sleep(2 * time.Second)
	// The worker that has nothing to do is the one that turns unhealthy.
	var idle *worker
	for _, k := range w.workers {
		k.mu.Lock()
		if len(k.runs) == 0 {
			idle = k
		}
		k.mu.Unlock()
	}
	if idle == nil {
		w.note("no worker is idle")
		return false
	}
	if w.trouble {
		idle.mu.Lock()
		idle.shedding = true
		idle.mu.Unlock()
		w.note("worker %s refuses all starts from now on", idle.id)
	}
	for range 8 {
		requesters.Go(func() {
			w.submit(&job{queue: w.queues[0], tenant: w.tenants[0], count: 1, size: resources{CPU: 1000, Mem: 500}, takes: time.Second})
		})
	}
	requesters.Wait()
	time.Sleep(2200 * time.Millisecond)
	killedAt := time.Now()
	var killed *node
	if w.trouble {
		killed = w.holder()
		if killed == nil {
			w.note("nobody owns the fleet")
			return false
		}
		killed.kill()
		w.note("node %s, which owns the fleet, is killed", killed.name)
		time.Sleep(500 * time.Millisecond)
		killed.start()
	}
	for time.Since(killedAt) < 4200*time.Millisecond {
		for _, n := range w.nodes {
			if n != killed {
				w.judgeWaiting(n)
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	idle.mu.Lock()
	idle.shedding = false
	idle.mu.Unlock()
	w.note("worker %s starts tasks again", idle.id)
	time.Sleep(15 * time.Second)
	w.judgeEnd(&requesters)
	return true
}

// visible is visible_ms and 2 s.
const visible = 5 * time.Second

// judgeWaiting asks a node how many jobs wait. A machine that is in touch must not give under half of
// those that were accepted longer than visible before and have not begun.
func (w *world) judgeWaiting(n *node) {
	asked := time.Now()
	status, data := w.ask(n, w.queues[0], w.tenants[0], http.MethodGet, "", nil)
	var c struct {
		Waiting int `json:"waiting"`
	}
	if status != http.StatusOK || json.Unmarshal(data, &c) != nil {
		w.note("GET /plan/ at %s: %d", n.name, status)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := 0
	for _, j := range w.order {
		if !j.acceptedAt.IsZero() && asked.Sub(j.acceptedAt) > visible && j.startedAt.IsZero() {
			waiting++
		}
	}
	w.noteLocked("GET /plan/ at %s: %d waiting; %d were accepted over 5 s before and have not begun", n.name, c.Waiting, waiting)
	if 2*c.Waiting < waiting {
		w.violateLocked("MIXED: %s gives %d waiting jobs, and %d were accepted over 5 s before and have not begun", n.name, c.Waiting, waiting)
	}
}

// playLasting: a worker with a task that lasts is lost for good while all workers of the service are
// full of long tasks of a less urgent queue.
func playLasting(w *world) bool {
	watch, batch := &queue{name: "watch", priority: 0}, &queue{name: "batch", priority: 1}
	w.open([]*queue{watch, batch}, []*tenant{{name: "crews"}, {name: "office"}}, kinds(8, kind{"a", resources{CPU: 8000, Mem: 64000}}))
	if !w.awaitReady() {
		return false
	}
	time.Sleep(3 * time.Second)
	lasting := &job{queue: watch, tenant: w.tenants[0], count: 1, size: resources{CPU: 4000, Mem: 500}, lasts: true}
	if !w.submit(lasting) {
		return false
	}
	time.Sleep(2 * time.Second)
	host := w.hostOf(lasting)
	if host == nil {
		w.note("the task that lasts has not started")
		return false
	}
	var requesters sync.WaitGroup
	for range 15 {
		requesters.Go(func() {
			w.submit(&job{queue: batch, tenant: w.tenants[1], count: 1, size: resources{CPU: 4000, Mem: 500}, takes: 25 * time.Second})
		})
	}
	requesters.Wait()
	time.Sleep(3 * time.Second)
	if w.trouble {
		host.crash()
		host.mu.Lock()
		host.gone = true
		host.mu.Unlock()
		w.note("worker %s is lost for good", host.id)
	}
	w.judgeLasting(lasting, 30*time.Second)
	return true
}

// hostOf returns the worker on which a task of the job runs, or nil.
func (w *world) hostOf(j *job) *worker {
	for _, k := range w.workers {
		k.mu.Lock()
		for task := range k.runs {
			if w.jobOf(task) == j {
				k.mu.Unlock()
				return k
			}
		}
		k.mu.Unlock()
	}
	return nil
}

// Bounds of the rule on tasks that last.
const (
	lastingAway  = 6 * time.Second
	lastingStill = 3 * time.Second
)

// judgeLasting watches for a time that a task which lasts runs.
func (w *world) judgeLasting(j *job, d time.Duration) {
	seen := time.Now()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.hostOf(j) != nil {
			seen = time.Now()
		}
		if away := time.Since(seen); away > lastingAway+lastingStill {
			w.violate("LOST: the task of %s, which lasts, has not run for %.1f s", j.id, away.Seconds())
			seen = time.Now()
		}
	}
}

// playLarge: a tenant sends ten large jobs at once, of which its upperBound lets little run. Then
// another tenant sends small jobs.
func playLarge(w *world) bool {
	q := &queue{name: "plan"}
	hot, calm := &tenant{name: "hot", limit: resources{CPU: 4000}}, &tenant{name: "calm"}
	w.open([]*queue{q}, []*tenant{hot, calm}, kinds(8, kind{"a", resources{CPU: 16000, Mem: 64000}}))
	if !w.awaitReady() {
		return false
	}
	time.Sleep(3 * time.Second)
	if w.trouble {
		for range 10 {
			w.submit(&job{queue: q, tenant: hot, count: 10000, size: resources{CPU: 1000, Mem: 100}, takes: time.Second})
		}
	}
	time.Sleep(3 * time.Second)
	requesters := w.traffic(2, 10*time.Second, func() *job {
		return &job{queue: q, tenant: calm, count: 4, size: resources{CPU: 1000, Mem: 100}, takes: 500 * time.Millisecond}
	})
	requesters.Wait()
	time.Sleep(finishTime)
	for _, j := range w.accepted() {
		if j.tenant != calm {
			continue
		}
		if j.state = w.stateOf(j); j.state != "completed" {
			w.judgeStill(j)
		}
	}
	return true
}

const (
	// wideJobs and wideTasks are the number of wide jobs that last, and of their tasks.
	wideJobs, wideTasks = 150, 10_000
	// wideJobsPerSecond is the rate at which they come.
	wideJobsPerSecond = 12
)

// playMemory: a tenant sends jobs of one step of many tasks that last, a call of about 100 bytes each. The
// platform kills a process that exceeds the memory of its machine, and starts it again.
func playMemory(w *world) bool {
	watch, batch := &queue{name: "watch"}, &queue{name: "batch"}
	hot, calm := &tenant{name: "hot", limit: resources{CPU: 4000}}, &tenant{name: "calm"}
	w.open([]*queue{watch, batch}, []*tenant{hot, calm}, kinds(8, kind{"a", resources{CPU: 16000, Mem: 64000}}))
	if !w.awaitReady() {
		return false
	}
	done := make(chan struct{})
	var guards sync.WaitGroup
	defer guards.Wait()
	defer close(done)
	for _, n := range w.nodes {
		guards.Go(func() { n.guardMemory(done) })
	}
	time.Sleep(3 * time.Second)
	tasks := 1
	if w.trouble {
		tasks = wideTasks
	}
	requesters := w.traffic(wideJobsPerSecond, wideJobs*time.Second/wideJobsPerSecond, func() *job {
		return &job{queue: watch, tenant: hot, count: tasks, size: resources{CPU: 1000, Mem: 100}, lasts: true}
	})
	requesters.Wait()
	w.note("the wide jobs are in")
	requesters = w.traffic(2, 10*time.Second, func() *job {
		return &job{queue: batch, tenant: calm, count: 4, size: resources{CPU: 1000, Mem: 100}, takes: 500 * time.Millisecond}
	})
	requesters.Wait()
	w.note("the traffic has ended")
	time.Sleep(2 * finishTime)
	for _, j := range w.accepted() {
		if j.tenant != calm {
			continue
		}
		if j.state = w.stateOf(j); j.state != "completed" {
			w.judgeStill(j)
		}
	}
	return true
}

// guardMemory kills the process whenever it exceeds the memory of its machine, and starts it again.
func (n *node) guardMemory(done <-chan struct{}) {
	limit, err := strconv.Atoi(n.w.machine.memoryMB)
	check(err)
	for most := 0; ; time.Sleep(100 * time.Millisecond) {
		select {
		case <-done:
			n.w.note("node %s had %d MB at most", n.name, most)
			return
		default:
		}
		used := n.memoryMB()
		most = max(most, used)
		if used > limit {
			n.w.note("node %s has %d MB of %d and is killed", n.name, used, limit)
			n.kill()
			time.Sleep(500 * time.Millisecond)
			n.start()
		}
	}
}

// memoryMB returns the resident memory of the process in units of 2^20 bytes, 0 if there is none.
func (n *node) memoryMB() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// shardWorkers is a number of workers that no weak machine can own alone, so that the fleet is divided.
const shardWorkers = 180

// playShards: tasks that last fill the workers of one part of a divided fleet; the other part is idle. Then one
// worker under such a task is lost for good.
func playShards(w *world) bool {
	w.machine = weak
	queues := []*queue{{name: "watch"}, {name: "stream"}, {name: "survey"}, {name: "follow"}, {name: "monitor"}, {name: "audit"}}
	w.open(queues, []*tenant{{name: "crews"}}, kinds(shardWorkers, kind{"a", resources{CPU: 4000, Mem: 16000}}))
	if !w.awaitReady() {
		return false
	}
	time.Sleep(8 * time.Second)
	var jobs []*job
	room := 0
	for _, q := range queues {
		probe := &job{queue: q, tenant: w.tenants[0], count: 1, size: resources{CPU: 4000, Mem: 500}, lasts: true}
		if !w.submit(probe) {
			return false
		}
		time.Sleep(2 * time.Second)
		if room = w.roomBeside(); 2*room < shardWorkers {
			jobs = append(jobs, probe)
			break
		}
		w.ask(w.anyNode(), q, w.tenants[0], http.MethodDelete, probe.id, nil)
		w.note("DELETE %s: its part of the fleet has %d workers", probe.id, room)
		time.Sleep(2 * time.Second)
	}
	if jobs == nil || room == 0 {
		w.note("no queue has its tasks that last in the smaller part of the fleet")
		return false
	}
	q := jobs[0].queue
	w.note("queue %s: its part of the fleet has %d of %d workers", q.name, room, shardWorkers)
	rest := &job{queue: q, tenant: w.tenants[0], count: room - 1, size: resources{CPU: 4000, Mem: 500}, lasts: true}
	if !w.submit(rest) {
		return false
	}
	jobs = append(jobs, rest)
	for end := time.Now().Add(15 * time.Second); w.lastingRuns(jobs) < room; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			w.note("%d of %d tasks that last run", w.lastingRuns(jobs), room)
			return false
		}
	}
	w.note("all %d tasks that last run", room)
	time.Sleep(4 * time.Second)
	if w.trouble {
		host := w.hostOf(jobs[0])
		host.crash()
		host.mu.Lock()
		host.gone = true
		host.mu.Unlock()
		w.note("worker %s is lost for good", host.id)
	}
	complete := time.Now()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if w.lastingRuns(jobs) == room {
			complete = time.Now()
		}
		if away := time.Since(complete); away > lastingAway+lastingStill {
			used, capacity := w.use()
			w.violate("LOST: a task that lasts has not run for %.1f s, with %d of %d cores of the service in use", away.Seconds(), used/1000, capacity/1000)
			complete = time.Now()
		}
	}
	return true
}

// lastingRuns returns the number of runs of jobs.
func (w *world) lastingRuns(jobs []*job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, j := range jobs {
		n += j.active
	}
	return n
}

// roomBeside asks the nodes for the state that they show to operators (/dump), and returns how many workers the
// part of the fleet has in which something runs.
func (w *world) roomBeside() int {
	for _, n := range w.nodes {
		resp, err := http.Get("http://" + n.other + "/dump")
		if err != nil {
			continue
		}
		var d struct {
			Shards map[string]struct {
				Pools map[string]struct{ Answering, Runs int }
			} `json:"shards"`
		}
		err = json.NewDecoder(resp.Body).Decode(&d)
		_ = resp.Body.Close()
		if err != nil {
			continue
		}
		for shard, s := range d.Shards {
			w.note("node %s owns shard %s: %+v", n.name, shard, s.Pools[serviceName])
			if p := s.Pools[serviceName]; p.Runs > 0 {
				return p.Answering
			}
		}
	}
	return 0
}
