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
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	service = "svc-a"
	host    = "jobs.example"
	apiKey  = "key-of-team-one-0123"
	// otherKey is that of the other team.
	otherKey = "key-of-team-two-0123"
)

// site is a small deployment: the platform and the workers in this process, the nodes as
// processes of their own.
type site struct {
	rec     *record
	st      *store
	workers []*worker
	cloud   *cloud
	nodes   []*node
	folder  string
	root    string
}

type node struct {
	name, callers, health string
	cmd                   *exec.Cmd
	log                   *os.File
}

// route is a queue of the configuration.
func route(name string, public bool) map[string]any {
	return map[string]any{
		"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": "unsafe", "timeoutMs": 3000, "sloMs": 600,
		"priority": 0, "service": service, "maxAttempts": 4, "stretch": 2, "public": public,
	}
}

// tenant is a team of the configuration, without a limit.
func tenant(name, key string) map[string]any {
	return map[string]any{"name": name, "apiKeys": []string{key}, "weight": 36, "upperBound": map[string]int64{"cpu": 0, "memMb": 0, "gpu": 0}}
}

// newSite starts the platform, the workers by their kinds, and the nodes, and waits until all
// nodes are ready and the workers are held.
func newSite(rec *record, root string, nodes int, kinds []string, routes ...map[string]any) (*site, error) {
	s := &site{rec: rec, st: newStore(), root: root}
	var err error
	if s.folder, err = os.MkdirTemp("", "review2-"); err != nil {
		return s, err
	}
	storeAddress, err := serve(s.st.handler())
	if err != nil {
		return s, err
	}
	for i, kind := range kinds {
		s.workers = append(s.workers, newWorker(s.st, rec, i+1, service, kind))
	}
	s.cloud = newCloud(rec, s.workers)
	cloudAddress, err := serve(s.cloud.handler())
	if err != nil {
		return s, err
	}
	s.st.put("op", "config", map[string]any{
		"version": 3, "routes": routes,
		"services": []map[string]any{{"name": service, "healthPath": "/health", "maxConns": 64, "rejectsOverload": false, "standby": false}},
		"limits":   map[string]any{"maxBodyBytes": 262144},
		"tenants":  []map[string]any{tenant("team-one", apiKey), tenant("team-two", otherKey)},
	})
	for _, w := range s.workers {
		w.start(0)
	}
	for i := range nodes {
		if err := s.startNode(i, storeAddress, cloudAddress); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady(20 * time.Second)
}

func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

// freePort returns a free port below those that the system gives to outgoing connections, which
// another process could otherwise take before the node listens.
func freePort() (string, error) {
	for range 200 {
		port := strconv.Itoa(10000 + rand.IntN(20000))
		l, err := net.Listen("tcp", "127.0.0.1:"+port)
		if err == nil {
			return port, l.Close()
		}
	}
	return "", errors.New("no free port")
}

// startNode starts a node by the command of the deploy file, with settings by its template.
func (s *site) startNode(i int, storeAddress, cloudAddress string) error {
	n := &node{name: fmt.Sprintf("front-%d", i+1)}
	var ports [3]string
	for k := range ports {
		var err error
		if ports[k], err = freePort(); err != nil {
			return err
		}
	}
	n.callers, n.health = "127.0.0.1:"+ports[0], "127.0.0.1:"+ports[1]
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", "settings.ini"))
	if err != nil {
		return err
	}
	values := map[string]string{
		"node": n.name, "zone": "zone-" + string(rune('a'+i%3)), "ip": "127.0.0.1", "portRange.0": ports[2],
		"limits.cpuShare": "0.4", "limits.memoryMb": "284", "limits.linkMbps": "1000", "limits.maxFds": "4100",
		"listen.front": n.callers, "listen.ready": n.health, "platform.address": storeAddress, "platform.across": "true",
		"platform.rowBytes": "65536", "cloud.address": cloudAddress, "advice": "", "bounds.graceS": "6", "bounds.revokeMs": "5000",
		"bounds.status_s": "120", "bounds.maxHoldMs": "6000", "bounds.leaseMs": "3000", "bounds.maintenanceS": "2", "bounds.migrateS": "1.5",
	}
	text := string(template)
	for k, v := range values {
		text = strings.ReplaceAll(text, "{{"+k+"}}", v)
	}
	path := filepath.Join(s.folder, n.name+".ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	if n.log, err = os.Create(filepath.Join(s.folder, n.name+".log")); err != nil {
		return err
	}
	n.cmd = exec.Command(filepath.Join(s.root, "target", "turmericmoor"), "node")
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TURMERICMOOR_BOOT=" + path}
	n.cmd.Stdout, n.cmd.Stderr, n.cmd.Dir = n.log, n.log, s.root
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	s.nodes = append(s.nodes, n)
	s.rec.add("node", n.name, "is started")
	return nil
}

func (s *site) awaitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			if resp, err := http.Get("http://" + n.health + "/-/ready"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		held := 0
		for _, w := range s.workers {
			w.mu.Lock()
			if w.token > 0 {
				held++
			}
			w.mu.Unlock()
		}
		if ready == len(s.nodes) && held == len(s.workers) {
			s.rec.add("all nodes are ready, all workers are held")
			return nil
		}
	}
	return errors.New("the nodes did not get ready")
}

// close ends the nodes that this process started.
func (s *site) close() {
	for _, n := range s.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
		_ = n.cmd.Wait()
		n.log.Close()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", s.folder)
		return
	}
	if s.folder != "" {
		_ = os.RemoveAll(s.folder)
	}
}

var client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, MaxConnsPerHost: 128}}

// call makes a call of a requester at a node and returns the status, 0 without an answer.
func (s *site) call(n *node, method, path string, body any) (int, map[string]any) {
	return s.callAs(apiKey, n, method, path, body)
}

func (s *site) callAs(key string, n *node, method, path string, body any) (int, map[string]any) {
	var payload io.Reader
	if body != nil {
		data, _ := json.Marshal(body)
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequest(method, "http://"+n.callers+path, payload)
	if err != nil {
		return 0, nil
	}
	req.Host = host
	req.Header.Set("Api-Key", key)
	req.Header.Set("X-Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		s.rec.add("call", method, path, "at", n.name, "no answer:", err)
		return 0, nil
	}
	defer resp.Body.Close()
	answer := map[string]any{}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	s.rec.add("call", method, path, "at", n.name, "answer", resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// submit hands a job in, and again at the next node until it is accepted.
func (s *site) submit(queue, id string, job any) error {
	for i := range 20 {
		if status, _ := s.call(s.nodes[i%len(s.nodes)], http.MethodPost, "/"+queue+"/"+id, job); status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks all nodes in turn for the state of a job.
func (s *site) state(queue, id string) string {
	for i := range 10 {
		if status, answer := s.call(s.nodes[i%len(s.nodes)], http.MethodGet, "/"+queue+"/"+id, nil); status == http.StatusOK {
			return fmt.Sprint(answer["state"])
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// await waits until a condition holds.
func await(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

func jobID(n int) string { return fmt.Sprintf("%016x", uint64(n)*0x9e3779b97f4a7c15) }
