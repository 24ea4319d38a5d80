// Command standin4 plays a small installation of turmericmoor for the scripts of a review: the
// platform's store, list of machines and placement policy, workers, requesters, and a judge of
// what these have seen. The nodes are the project's own program, started as separate processes.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	serviceName = "stepscan"
	queueHost   = "queue.example"
	nodeCount   = 3
	// requestTime is the time budget of a requester, maxAttempts how often it tries.
	requestTime = 3 * time.Second
	maxAttempts = 5
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// queue is a route, tenant a tenant with its key and its upperBound.
type queue struct {
	name     string
	priority int
	advised  bool
}

func (q *queue) prefix() string { return "/" + q.name + "/" }

type tenant struct {
	name  string
	limit resources
}

func (t *tenant) key() string { return "key-of-" + t.name }

// job is a job of one step that a requester has sent.
type job struct {
	queue  *queue
	tenant *tenant
	id     string
	count  int
	size   resources
	// takes is how long a task runs. Tasks that last run until their job is cancelled.
	takes time.Duration
	lasts bool
	label string

	sentAt, acceptedAt, startedAt time.Time
	// left counts the tasks that have not ended done, ended holds those that have. active counts the
	// runs, idleSince is since when there is none.
	left, active int
	ended        map[string]bool
	idleSince    time.Time
	state        string
}

// world is the installation.
type world struct {
	dir, repo string
	trouble   bool
	queues    []*queue
	tenants   []*tenant
	store     *store
	advice    *advice
	began     time.Time
	rng       *rand.Rand
	workers   []*worker
	nodes     []*node
	machine   machine

	mu     sync.Mutex
	jobs   map[string]*job
	order  []*job
	record *os.File
	broken []string
	starts int
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// violate records that a rule was broken.
func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violateLocked(format, args...)
}

func (w *world) violateLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.noteLocked("BROKEN: %s", text)
}

func (w *world) worker(id string) *worker {
	for _, k := range w.workers {
		if k.id == id {
			return k
		}
	}
	return nil
}

func (w *world) jobOf(task string) *job {
	id, _, _ := strings.Cut(task, ".")
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

// runStarted records a start and judges whether it was allowed. The caller holds the mutex of
// the worker.
func (w *world) runStarted(k *worker, r *taskRun, j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	if j.startedAt.IsZero() {
		j.startedAt = time.Now()
	}
	j.active++
	w.noteLocked("%s run %d starts on %s, life %d, kind %s", r.task, r.run, k.id, k.life, k.kind.label)
	if j.label != "" && j.label != k.kind.label {
		w.violateLocked("ROUTE: %s, which requires %s, starts on %s without that label (kind %s)", r.task, j.label, k.id, k.kind.label)
	}
	if used := k.used(); !used.fits(k.kind.capacity) {
		w.violateLocked("LIMIT: %s brings %s to %+v of its capacity %+v", r.task, k.id, used, k.kind.capacity)
	}
}

// runEnded records an end. The caller holds the mutex of the worker.
func (w *world) runEnded(k *worker, r *taskRun, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked("%s run %d ends on %s: %s", r.task, r.run, k.id, how)
	id, _, _ := strings.Cut(r.task, ".")
	j := w.jobs[id]
	if j.active--; j.active == 0 {
		j.idleSince = time.Now()
	}
	if how == "done" && !j.ended[r.task] {
		j.ended[r.task] = true
		j.left--
	}
}

// newWorld starts the platform and the workers, writes the configuration and starts the nodes.
func newWorld(repo, record string, trouble bool, seed uint64) *world {
	dir, err := os.MkdirTemp("", "standin4-")
	check(err)
	file, err := os.Create(record)
	check(err)
	w := &world{
		dir: dir, repo: repo, trouble: trouble, store: newStore(), began: time.Now(), rng: rand.New(rand.NewPCG(seed, 4)),
		jobs: map[string]*job{}, record: file, machine: standard,
	}
	w.advice = &advice{w: w, tickets: map[string]ticket{}}
	w.note("seed %d, trouble %v", seed, trouble)
	return w
}

// serve serves a handler on a free loopback address and returns it.
func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// machines serves the list of machines. Orders about them are never due here: there is one pool.
func (w *world) machines() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", func(rw http.ResponseWriter, _ *http.Request) {
		list := []map[string]any{}
		for _, k := range w.workers {
			k.mu.Lock()
			if k.gone {
				k.mu.Unlock()
				continue
			}
			state, id := "up", k.id
			if !k.up {
				state = "down"
			}
			list = append(list, map[string]any{
				"machine": k.machine, "pool": serviceName, "state": state, "zone": k.zone,
				"labels": []string{k.kind.label, k.rack}, "capacity": k.kind.capacity, "id": id,
			})
			k.mu.Unlock()
		}
		writeJSON(rw, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
	})
	refuse := func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "busy"})
	}
	mux.HandleFunc("POST /-/machine-move", refuse)
	mux.HandleFunc("POST /-/machine-upkeep", refuse)
	return mux
}

// open starts everything but the requesters.
func (w *world) open(queues []*queue, tenants []*tenant, kinds []kind) {
	w.queues, w.tenants = queues, tenants
	for i, k := range kinds {
		w.workers = append(w.workers, newWorker(w, i, k))
	}
	for _, k := range w.workers {
		k.start()
	}
	go func() {
		for {
			time.Sleep(100 * time.Millisecond)
			for _, k := range w.workers {
				k.expire()
			}
		}
	}()
	advised := w.configure()
	storeAt, machinesAt, adviceAt := serve(w.store.handler()), serve(w.machines()), ""
	if advised {
		mux := http.NewServeMux()
		mux.Handle("POST /-/advise", w.advice)
		adviceAt = serve(mux)
	}
	for i := range nodeCount {
		w.nodes = append(w.nodes, w.newNode(i, storeAt, machinesAt, adviceAt))
	}
	for _, n := range w.nodes {
		n.start()
	}
}

// configure writes the configuration. It reports whether a queue has a placement policy.
func (w *world) configure() (advised bool) {
	var routes, tenants []any
	for _, q := range w.queues {
		route := map[string]any{
			"name": q.name, "host": queueHost, "pathPrefix": q.prefix(), "kind": "unsafe", "timeoutMs": 3000, "sloMs": 600,
			"priority": q.priority, "service": serviceName, "maxAttempts": 4, "stretch": 1.6, "public": false,
		}
		if q.advised {
			advised = true
			route["advice"] = map[string]any{"decisionMs": decisionTime.Milliseconds(), "perItemMs": perItemTime.Milliseconds(), "validityMs": validity.Milliseconds()}
		}
		routes = append(routes, route)
	}
	for _, t := range w.tenants {
		tenants = append(tenants, map[string]any{"name": t.name, "apiKeys": []string{t.key()}, "weight": 50, "upperBound": t.limit})
	}
	w.store.set("op", "config", map[string]any{
		"version": 7, "routes": routes, "tenants": tenants, "limits": map[string]any{"maxBodyBytes": 262144},
		"services": []any{map[string]any{"name": serviceName, "rejectsOverload": false, "standby": false, "healthPath": "/health"}},
	})
	return advised
}

// machine is what a front machine has.
type machine struct{ cores, memoryMB, linkMbps string }

// standard is the front machine of the sheets of SYSTEM.md, weak the weakest one of those of
// grown/LATER.md.
var (
	standard = machine{cores: "0.4", memoryMB: "284", linkMbps: "1000"}
	weak     = machine{cores: "0.192", memoryMB: "184", linkMbps: "10"}
)

// node is a process of the project's program.
type node struct {
	w                      *world
	name                   string
	callers, health, other string
	settings               string

	mu  sync.Mutex
	cmd *exec.Cmd
	// diedAt is when the process was last killed.
	diedAt time.Time
}

// The ports of nodes and workers lie below those that outgoing connections use, so that nothing else
// takes them while a process is away.
const firstPort, lastPort = 10_000, 30_000

// chosen holds the addresses that freeAddress has returned.
var chosen = map[string]bool{}

// freeAddress returns a loopback address whose port is free. It is called by one goroutine.
func freeAddress() string {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if chosen[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			check(l.Close())
			chosen[address] = true
			return address
		}
	}
}

// newNode fills in the template of the settings.
func (w *world) newNode(i int, storeAt, machinesAt, adviceAt string) *node {
	n := &node{w: w, name: fmt.Sprintf("front-%d", i+1), callers: freeAddress(), health: freeAddress(), other: freeAddress()}
	template, err := os.ReadFile(filepath.Join(w.repo, "deploy", "settings.ini"))
	check(err)
	host, port, err := net.SplitHostPort(n.other)
	check(err)
	values := strings.NewReplacer(
		"{{node}}", n.name, "{{zone}}", zoneName(i), "{{limits.cpuShare}}", w.machine.cores, "{{limits.memoryMb}}", w.machine.memoryMB,
		"{{limits.linkMbps}}", w.machine.linkMbps, "{{limits.maxFds}}", "4100", "{{listen.front}}", n.callers, "{{listen.ready}}", n.health,
		"{{ip}}", host, "{{portRange.0}}", port, "{{platform.address}}", storeAt, "{{platform.across}}", "true",
		"{{platform.rowBytes}}", "65536", "{{cloud.address}}", machinesAt, "{{advice}}", adviceAt, "{{bounds.graceS}}", "6",
		"{{bounds.revokeMs}}", "5000", "{{bounds.status_s}}", "120", "{{bounds.maxHoldMs}}", "10000", "{{bounds.leaseMs}}", "3000",
		"{{bounds.maintenanceS}}", "2", "{{bounds.migrateS}}", "1.5",
	)
	text := values.Replace(string(template))
	if strings.Contains(text, "{{") {
		panic("the template has a placeholder that is not known: " + text)
	}
	n.settings = filepath.Join(w.dir, n.name+".ini")
	check(os.WriteFile(n.settings, []byte(text), 0o600))
	return n
}

// start starts the process with the command of the deploy file.
func (n *node) start() {
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	defer log.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd = exec.Command(filepath.Join(n.w.repo, "target", "turmericmoor"), "node")
	n.cmd.Dir = n.w.repo
	n.cmd.Env = append(os.Environ(), "TURMERICMOOR_BOOT="+n.settings)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(n.cmd.Start())
	n.w.note("node %s starts", n.name)
}

// kill kills the process.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd == nil {
		return
	}
	n.diedAt = time.Now()
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
	n.cmd = nil
}

// isReady asks the health check.
func (n *node) isReady() bool {
	resp, err := http.Get("http://" + n.health + "/-/ready")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (w *world) awaitReady() bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range w.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(w.nodes) {
			return true
		}
	}
	w.note("the nodes are not ready")
	return false
}

// holder returns the node that wrote the row of the owner last.
func (w *world) holder() *node {
	var o struct {
		Holder string `json:"h"`
	}
	if json.Unmarshal(w.store.get(rowKey{Table: "tm_owner", Key: "owner"}), &o) != nil {
		return nil
	}
	for _, n := range w.nodes {
		if n.name == o.Holder {
			return n
		}
	}
	return nil
}

// close ends all processes.
func (w *world) close() {
	for _, n := range w.nodes {
		n.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

var requester = &http.Client{}

// ask makes one call of a requester to a node. It returns status 0 if no answer came.
func (w *world) ask(n *node, q *queue, t *tenant, method, rest string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callers+q.prefix()+rest, bytes.NewReader(body))
	check(err)
	req.Host = queueHost
	req.Header.Set("Api-Key", t.key())
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(requestTime.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := requester.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, data
}

func (w *world) anyNode() *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[w.rng.IntN(len(w.nodes))]
}

func (w *world) newID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return fmt.Sprintf("%016x", w.rng.Uint64())
}

// submit hands a job in, with retries at any node under the same id.
func (w *world) submit(j *job) bool {
	j.id, j.left, j.ended = w.newID(), j.count, map[string]bool{}
	step := map[string]any{"count": j.count, "cpu": j.size.CPU, "memMb": j.size.Mem, "estimatedMs": j.takes.Milliseconds()}
	if j.label != "" {
		step["requires"] = j.label
	}
	if j.lasts {
		step["longRunning"] = true
	}
	body, err := json.Marshal(map[string]any{"spec": "(text)", "steps": []any{step}})
	check(err)
	w.mu.Lock()
	w.jobs[j.id] = j
	w.order = append(w.order, j)
	j.sentAt = time.Now()
	w.mu.Unlock()
	for range maxAttempts {
		n := w.anyNode()
		status, _ := w.ask(n, j.queue, j.tenant, http.MethodPost, j.id, body)
		w.note("POST %s (%d tasks of %v, lasting %v, tenant %s) at %s: %d", j.id, j.count, j.takes, j.lasts, j.tenant.name, n.name, status)
		if status/100 == 2 {
			w.mu.Lock()
			j.acceptedAt = time.Now()
			if j.startedAt.IsZero() {
				j.idleSince = j.acceptedAt
			}
			w.mu.Unlock()
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// stateOf asks for the state of a job until an answer comes, at any node.
func (w *world) stateOf(j *job) string {
	for range maxAttempts {
		n := w.anyNode()
		status, data := w.ask(n, j.queue, j.tenant, http.MethodGet, j.id, nil)
		var s struct {
			State string `json:"state"`
		}
		switch {
		case status == http.StatusOK && json.Unmarshal(data, &s) == nil:
			return s.State
		case status == http.StatusGone:
			return "410"
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "no answer"
}

// accepted returns the jobs that were accepted.
func (w *world) accepted() []*job {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*job
	for _, j := range w.order {
		if !j.acceptedAt.IsZero() {
			list = append(list, j)
		}
	}
	return list
}
