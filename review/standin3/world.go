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
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The figures of the small deployments' sheets.
const (
	heartbeat  = 1500 * time.Millisecond
	maxHold    = 6 * time.Second
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
	memoryMB   = 284
	// restartDelay is the short delay after which a process that was killed starts again.
	restartDelay = time.Second
	keyOfTeam    = "key-1"
)

// world is a small deployment. The nodes are processes of their own; the store, the list of
// machines, the workers and the callers are stand-ins in this process.
type world struct {
	mu     sync.Mutex
	began  time.Time
	record *os.File
	// dir is a temporary folder for settings and logs, bin the program of the nodes.
	dir, bin string

	store            *store
	cloud            *cloud
	judge            *judge
	servers          []*http.Server
	storeAt, cloudAt string

	nodes   []*node
	workers []*worker
	serial  int
	standby map[string]bool
	// lateShare is the share of the orders to workers that are carried out late.
	lateShare float64
	closing   bool
}

// node is a machine of the system. kills counts how often its process was killed for memory.
type node struct {
	name, front, ready, path string
	cmd                      *exec.Cmd
	kills                    int
}

func newWorld(record, bin string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{began: time.Now(), record: f, dir: dir, bin: bin, store: newStore(), standby: map[string]bool{}}
	w.cloud = &cloud{w: w, machines: map[string]*machine{}}
	w.judge = newJudge(w)
	if w.storeAt, err = w.listen(w.store); err != nil {
		return nil, err
	}
	w.cloudAt, err = w.listen(w.cloud)
	return w, err
}

func (w *world) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// note writes a line to the record, with the seconds since the start.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record == nil {
		return
	}
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) isStandby(pool string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.standby[pool]
}

func (w *world) isLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return rand.Float64() < w.lateShare
}

func (w *world) setLate(share float64) {
	w.note("%.2f of the orders to workers are late", share)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lateShare = share
}

// newWorker adds a worker that is not up yet.
func (w *world) newWorker(machine, service, zone, rack string, capacity resources) *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.serial++
	k := &worker{
		w: w, id: fmt.Sprintf("w-%03d", w.serial), machine: machine, service: service, zone: zone, rack: rack,
		address: "127.0.0.1:0", capacity: capacity, labels: []string{"a", rack},
	}
	w.workers = append(w.workers, k)
	return k
}

// workersOf returns the workers that are up and match.
func (w *world) workersOf(match func(*worker) bool) []*worker {
	w.mu.Lock()
	workers := slices.Clone(w.workers)
	w.mu.Unlock()
	var found []*worker
	for _, k := range workers {
		if match(k) && k.isUp() {
			found = append(found, k)
		}
	}
	return found
}

// addMachine adds a machine with a worker, which is up unless the pool is a standby pool.
func (w *world) addMachine(name, pool, zone, rack string, capacity resources) {
	k := w.newWorker(name, pool, zone, rack, capacity)
	w.cloud.add(&machine{name: name, pool: pool, state: "up", worker: k})
	if !w.isStandby(pool) {
		k.start()
	}
}

// fleet starts three nodes and a pool of workers in two zones, four to a rack, beside a standby
// pool.
func (w *world) fleet(workers int, capacity resources) error {
	return w.fleetWith(workers, 2, capacity)
}

// fleetWith does the same with that many machines in the standby pool. With none there is no such
// pool.
func (w *world) fleetWith(workers, spares int, capacity resources) error {
	services := []any{map[string]any{"name": "svc", "rejectsOverload": false}}
	if spares > 0 {
		w.standby["spare"] = true
		services = append(services, map[string]any{"name": "spare", "rejectsOverload": false, "standby": true})
	}
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": "example.test", "pathPrefix": prefix, "service": "svc", "priority": 0,
			"maxAttempts": 3, "stretch": 1.6, "sloMs": 600,
		}
	}
	w.store.put("op", "config", map[string]any{
		"version":  3,
		"routes":   []any{route("quick", "/quick/"), route("watch", "/watch/")},
		"services": services,
		"limits":   map[string]any{"maxBodyBytes": 1 << 20},
		"tenants":  []any{map[string]any{"name": "team-1", "apiKeys": []string{keyOfTeam}, "weight": 33, "upperBound": resources{}}},
	})
	for i := range workers {
		w.addMachine(fmt.Sprintf("m-%02d", i), "svc", fmt.Sprintf("z%d", i%2), fmt.Sprintf("r%d", i/4), capacity)
	}
	for i := range spares {
		w.addMachine(fmt.Sprintf("s-%02d", i), "spare", "z0", "r-spare", capacity)
	}
	for i := range 3 {
		if err := w.startNode(fmt.Sprintf("node-%d", i), fmt.Sprintf("z%d", i%2)); err != nil {
			return err
		}
	}
	return nil
}

const settings = `[node]
name = %s
zone = %s
cores = 0.4
memory_mb = %d
link_mbps = 1000
max_files = 4100
[listen]
callers = %s
health = %s
metrics = %s
[store]
address = %s
across = true
row_bytes = 65536
[instances]
address = %s
[bounds]
shutdown_s = 6
key_withdrawn_ms = 5000
keep_outcomes_s = 120
lease_max_ms = 6000
turn_ms = 3000
upkeep_s = 2
move_s = 1.5
`

// firstPort and ports are a range of ports that the system doesn't give to outgoing connections.
const (
	firstPort = 12000
	ports     = 20000
)

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err != nil && tries > 100 {
			return nil, err
		}
		if err == nil {
			defer func() { _ = l.Close() }()
			addresses = append(addresses, l.Addr().String())
		}
	}
	return addresses, nil
}

func (w *world) startNode(name, zone string) error {
	at, err := freeAddresses(3)
	if err != nil {
		return err
	}
	n := &node{name: name, front: at[0], ready: at[1], path: filepath.Join(w.dir, name+".ini")}
	text := fmt.Sprintf(settings, name, zone, memoryMB, at[0], at[1], at[2], w.storeAt, w.cloudAt)
	if err := os.WriteFile(n.path, []byte(text), 0o600); err != nil {
		return err
	}
	if err := w.launch(n); err != nil {
		return err
	}
	w.nodes = append(w.nodes, n)
	for range 200 {
		if resp, err := http.Get("http://" + n.ready + "/-/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("node %s is not ready", name)
}

// launch starts the process of a node with the command of the deploy file. It ends with this one.
func (w *world) launch(n *node) error {
	log, err := os.OpenFile(filepath.Join(w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(w.bin, "node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TURMERICMOOR_BOOT=" + n.path}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	w.mu.Lock()
	n.cmd = cmd
	w.mu.Unlock()
	return nil
}

// limitMemory kills a process that exceeds the memory of its machine, as DEPLOY says, and starts
// it again after a short delay.
func (w *world) limitMemory(n *node) {
	for {
		time.Sleep(100 * time.Millisecond)
		w.mu.Lock()
		cmd, closing := n.cmd, w.closing
		w.mu.Unlock()
		if closing {
			return
		}
		used := residentMB(cmd.Process.Pid)
		if used <= memoryMB {
			continue
		}
		w.note("%s has %d MB, more than %d: killed", n.name, used, memoryMB)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		w.mu.Lock()
		n.kills++
		closing = w.closing
		w.mu.Unlock()
		time.Sleep(restartDelay)
		if closing {
			return
		}
		if err := w.launch(n); err != nil {
			w.note("%s: %v", n.name, err)
			return
		}
		w.note("%s starts again", n.name)
	}
}

// residentMB returns the resident memory of a process in MiB.
func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		var kb int
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &kb); err == nil {
			return kb / 1024
		}
	}
	return 0
}

// close ends everything that was started.
func (w *world) close() {
	w.mu.Lock()
	w.closing = true
	nodes, workers := w.nodes, w.workers
	w.mu.Unlock()
	for _, n := range nodes {
		_ = n.cmd.Process.Kill()
		_ = n.cmd.Wait()
	}
	for _, k := range workers {
		k.crash()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs of the nodes:", w.dir)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_ = w.record.Close()
	w.record = nil
}

// step is a step of a job.
type step struct {
	Count    int   `json:"count"`
	CPU      int64 `json:"cpu"`
	Mem      int64 `json:"memMb"`
	Estimate int64 `json:"estimatedMs"`
	Lasts    bool  `json:"longRunning,omitempty"`
	MayMiss  int   `json:"mayMiss,omitempty"`
	After    []int `json:"after,omitempty"`
}

// jobBody is what a caller submits.
type jobBody struct {
	Spec    string `json:"spec"`
	Steps   []step `json:"steps"`
	Repeats int    `json:"repeats,omitempty"`
	StartAt int64  `json:"startAtMs,omitempty"`
}

// call sends one request of a caller. It returns the status 0 if no answer came.
func (w *world) call(n *node, method, path string, body any) (int, string) {
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		payload = bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, payload)
	if err != nil {
		panic(err)
	}
	req.Host = "example.test"
	req.Header.Set("Api-Key", keyOfTeam)
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(data))
}

// submit hands a job in at one node after the other, and reports whether it was accepted.
func (w *world) submit(path string, body jobBody) bool {
	first := rand.IntN(len(w.nodes))
	for try := range 5 {
		n := w.nodes[(first+try)%len(w.nodes)]
		status, _ := w.call(n, http.MethodPost, path, body)
		w.note("POST %s at %s: %d", path, n.name, status)
		if status == http.StatusOK {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
