package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// step and jobSpec are a job as callers hand it in.
type step struct {
	Count       int    `json:"count"`
	CPU         int64  `json:"cpu"`
	Mem         int64  `json:"memMb"`
	Estimate    int64  `json:"estimatedMs,omitempty"`
	After       []int  `json:"after,omitempty"`
	Requires    string `json:"requires,omitempty"`
	Apart       int    `json:"antiAffinity,omitempty"`
	Gang        bool   `json:"gang,omitempty"`
	Checkpoint  bool   `json:"checkpoint,omitempty"`
	LongRunning bool   `json:"longRunning,omitempty"`
}

type jobSpec struct {
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Repeats  int    `json:"repeats,omitempty"`
	StartAt  int64  `json:"startAtMs,omitempty"`
	Interval int64  `json:"intervalMs,omitempty"`
}

// stepOf returns the step and the job of a task that a caller has sent, or nil.
func (f *fleet) stepOf(task string) (*step, *jobSpec) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return nil, nil
	}
	j := f.jobs[parts[0]]
	k, err1 := strconv.Atoi(parts[1])
	s, err2 := strconv.Atoi(parts[2])
	i, err3 := strconv.Atoi(parts[3])
	if j == nil || err1 != nil || err2 != nil || err3 != nil || k >= max(j.Repeats, 1) || s >= len(j.Steps) || i >= j.Steps[s].Count {
		return nil, nil
	}
	return &j.Steps[s], j
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

// quiet writes a line to the record, add also prints it.
func (r *record) quiet(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) add(format string, args ...any) {
	r.quiet(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// node is a process of the system, started with the command of deploy/system.toml.
type node struct {
	i                   int
	callers, ready, dir string
	store, cloud        string
	metrics             string
	cmd                 *exec.Cmd
	rec                 *record
	command             []string
	template            string
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z_.0-9]+)\}\}`)

// settings fills deploy/settings.ini like the platform does.
func (n *node) settings() string {
	host, port, _ := net.SplitHostPort(n.metrics)
	values := map[string]string{
		"node": fmt.Sprintf("front-zone-a-%d", n.i+1), "zone": "zone-a", "limits.cpuShare": "0.4", "limits.memoryMb": "284",
		"limits.linkMbps": "1000.0", "limits.maxFds": "4100", "listen.front": n.callers, "listen.ready": n.ready,
		"ip": host, "portRange.0": port, "platform.address": n.store, "platform.across": "true", "cloud.address": n.cloud, "advice": "",
		"bounds.graceS": "6", "bounds.revokeMs": "5000", "bounds.status_s": "120", "bounds.maxHoldMs": "10000",
		"bounds.leaseMs": "3000", "bounds.maintenanceS": "2", "bounds.migrateS": "1.5",
	}
	return placeholder.ReplaceAllStringFunc(n.template, func(p string) string { return values[strings.Trim(p, "{}")] })
}

func (n *node) start() error {
	path := filepath.Join(n.dir, fmt.Sprintf("node%d.ini", n.i))
	if err := os.WriteFile(path, []byte(n.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.dir, fmt.Sprintf("node%d.log", n.i)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	n.cmd = exec.Command(n.command[0], n.command[1:]...)
	n.cmd.Env = append(os.Environ(), "TURMERICMOOR_BOOT="+path)
	n.cmd.Stdout, n.cmd.Stderr = log, log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	n.rec.add("node %d starts", n.i+1)
	return nil
}

func (n *node) kill() {
	n.rec.add("node %d is killed", n.i+1)
	_ = n.cmd.Process.Kill()
	_ = n.cmd.Wait()
}

// site is a small installation: nodes, workers of one service and the platform.
type site struct {
	rec   *record
	store *store
	fleet *fleet
	nodes []*node
	dir   string
	next  atomic.Int64
	http  *http.Client
}

const (
	host    = "pule25.example"
	prefix  = "/puxa400/"
	apiKey  = "key-of-tenant-1"
	service = "huvo11a"
)

// deployed returns the run command and the template of the role of deploy/system.toml.
func deployed() ([]string, string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, "", err
	}
	find := func(key string) string {
		m := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(data)
		if m == nil {
			return ""
		}
		return string(m[1])
	}
	template, err := os.ReadFile(find("template"))
	return strings.Fields(find("run")), string(template), err
}

// freeAddress returns an address with a port that is free. It is below the ports that the
// system picks for outgoing connections, so that none of these takes it meanwhile.
func freeAddress() (string, error) {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+rand.IntN(12000))
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// config returns a configuration with one route.
func config(version int, path string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "r" + strings.ReplaceAll(path, "/", "-"), "host": host, "pathPrefix": path, "kind": "unsafe", "timeoutMs": 3000, "sloMs": 600,
			"priority": 1, "service": service, "maxAttempts": 4, "stretch": 1.6, "public": false,
		}},
		"services": []map[string]any{{"name": service, "rejectsOverload": false, "healthPath": "/health"}},
		"tenants":  []map[string]any{{"name": "tenant-1", "apiKeys": []string{apiKey}, "weight": 50.0, "upperBound": map[string]any{"cpu": 0, "memMb": 0, "gpu": 0}}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
	}
}

// newSite starts the platform with its configuration, the workers and the nodes, and
// waits until they are ready.
func newSite(rec *record, nodes, workers int, cpu, mem int64, labels func(i int) string) (s *site, err error) {
	defer func() {
		if err != nil && s != nil {
			s.close()
		}
	}()
	command, template, err := deployed()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s = &site{rec: rec, store: newStore(rec), dir: dir, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}}
	s.fleet = newFleet(rec, s.store, service)
	s.store.set("op", "config", config(7, prefix))
	for i := range workers {
		label := "a"
		if labels != nil {
			label = labels(i)
		}
		if err := s.fleet.add(i, cpu, mem, label); err != nil {
			return s, err
		}
	}
	cloud, err := s.fleet.serveCloud()
	if err != nil {
		return s, err
	}
	for i := range nodes {
		n := &node{i: i, dir: dir, cloud: cloud, rec: rec, command: command, template: template}
		if n.store, err = s.store.listen(i); err != nil {
			return s, err
		}
		for _, a := range []*string{&n.callers, &n.ready, &n.metrics} {
			if *a, err = freeAddress(); err != nil {
				return s, err
			}
		}
		s.nodes = append(s.nodes, n)
		if err := n.start(); err != nil {
			return s, err
		}
	}
	for _, n := range s.nodes {
		if err := s.awaitReady(n); err != nil {
			return s, err
		}
	}
	// Traffic starts 10 s after the machines do; the owner has read all by then.
	time.Sleep(4 * time.Second)
	return s, nil
}

func (s *site) awaitReady(n *node) error {
	for range 200 {
		if resp, err := http.Get("http://" + n.ready + "/-/ready"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("node %d is not ready", n.i+1)
}

func (s *site) close() {
	for _, n := range s.nodes {
		if n.cmd != nil && n.cmd.ProcessState == nil {
			_ = n.cmd.Process.Kill()
			_ = n.cmd.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// call sends a request of a caller to the next node that runs. It returns 0 if no answer
// came.
func (s *site) call(method, id string, body any) (int, map[string]any) {
	var payload io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		payload = bytes.NewReader(data)
	}
	turn := int(s.next.Add(1))
	n := s.nodes[turn%len(s.nodes)]
	if n.cmd.ProcessState != nil {
		turn++
		n = s.nodes[turn%len(s.nodes)]
	}
	req, err := http.NewRequest(method, "http://"+n.callers+prefix+id, payload)
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.http.Do(req)
	if err != nil {
		s.rec.quiet("%s %s at node %d: no answer (%v)", method, id, n.i+1, err)
		return 0, nil
	}
	defer resp.Body.Close()
	var answer map[string]any
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	s.rec.quiet("%s %s at node %d: %d %v", method, id, n.i+1, resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// submit hands a job in until it is accepted.
func (s *site) submit(id string, j jobSpec) error {
	s.fleet.mu.Lock()
	s.fleet.jobs[id] = &j
	s.fleet.mu.Unlock()
	data, _ := json.Marshal(j)
	s.rec.quiet("job %s: %s", id, data)
	for range 100 {
		if status, _ := s.call(http.MethodPost, id, j); status == http.StatusOK {
			return nil
		} else if status == http.StatusBadRequest || status == http.StatusNotFound {
			return fmt.Errorf("job %s: status %d", id, status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted", id)
}

// jobState asks for the state of a job, "" if there is no answer that tells it.
func (s *site) jobState(id string) string {
	status, answer := s.call(http.MethodGet, id, nil)
	if status == http.StatusGone {
		return "gone"
	}
	state, _ := answer["state"].(string)
	return state
}

// awaitState polls until a job is in a final state or time is up, and returns its state.
func (s *site) awaitState(id string, limit time.Duration) string {
	state := ""
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		state = s.jobState(id)
		if state == "completed" || state == "failed" || state == "cancelled" {
			return state
		}
	}
	return state
}
