// Package tmfakeplatform is a small stand-in for the platform: a transactional
// table service, an object store and a list of instances, in memory. It keeps
// to sections 3.10 and 4.1 of the design, limits the rates and shows faults on
// request.
package tmfakeplatform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"turmericmoor/core/tmclock"
)

// Limits of the platform.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000

	maxTxnRows   = 100
	maxTxnBytes  = 256 << 10
	maxBodyBytes = 16 << 20
	maxPage      = 1000
	// burstParts is the part of a second's rate that may come at once. A whole
	// second's worth would let twice the rate through in one second.
	burstParts = 10
)

// Options configure a Platform. Zero values stand for the defaults.
type Options struct {
	Clock           tmclock.Clock
	WritesPerSecond int
	ReadsPerSecond  int
}

// Platform is an http.Handler. It is safe for concurrent use.
type Platform struct {
	clock tmclock.Clock
	mux   *http.ServeMux
	stop  chan struct{}
	once  sync.Once

	mu       sync.Mutex
	control  Control
	stats    Stats
	writes   *rate.Limiter
	reads    *rate.Limiter
	revision uint64
	tables   map[string]map[string]row
	objects  map[string][]byte
	changes  []instanceChange
}

type row struct {
	Key      string          `json:"key"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
}

type rowID struct {
	Table    string `json:"table"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

type rowWrite struct {
	Table  string          `json:"table"`
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value"`
	Delete bool            `json:"delete"`
}

type txn struct {
	Checks []rowID    `json:"checks"`
	Writes []rowWrite `json:"writes"`
}

// answer is what an operation answers: raw bytes, or a value for JSON.
type answer struct {
	status int
	raw    []byte
	value  any
}

type operation func(r *http.Request, body []byte) answer

// New returns an empty Platform.
func New(opts Options) *Platform {
	if opts.Clock == nil {
		opts.Clock = tmclock.NewSystem()
	}
	p := &Platform{
		clock:   opts.Clock,
		mux:     http.NewServeMux(),
		stop:    make(chan struct{}),
		writes:  limiter(opts.WritesPerSecond, DefaultWritesPerSecond),
		reads:   limiter(opts.ReadsPerSecond, DefaultReadsPerSecond),
		tables:  make(map[string]map[string]row),
		objects: make(map[string][]byte),
	}
	p.handle("POST /v1/tables/txn", true, p.commit)
	p.handle("GET /v1/tables/{table}/rows/{key}", false, p.read)
	p.handle("GET /v1/tables/{table}/rows", false, p.list)
	p.handle("PUT /v1/objects/{name}", true, p.putObject)
	p.handle("GET /v1/objects/{name}", false, p.getObject)
	p.handle("DELETE /v1/objects/{name}", true, p.deleteObject)
	p.handle("GET /v1/instances", false, p.listInstances)
	p.handleControl()
	return p
}

func limiter(perSecond, fallback int) *rate.Limiter {
	if perSecond <= 0 {
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, perSecond/burstParts))
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// Close ends the delay of slow calls, so that a server can shut down.
func (p *Platform) Close() {
	p.once.Do(func() { close(p.stop) })
}

// handle registers an operation behind the faults and the rate limits. Half of
// the delay of a slow platform comes before the operation and half after it,
// and the operation happens even when its client has gone meanwhile.
func (p *Platform) handle(pattern string, write bool, op operation) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			send(w, failure(http.StatusBadRequest, "body: %v", err))
			return
		}
		slow, status := p.admit(r.Header.Get("X-Instance"), write)
		if status != http.StatusOK {
			send(w, failure(status, "not served"))
			return
		}
		p.pause(slow / 2)
		p.mu.Lock()
		ans := op(r, body)
		lost := write && ans.status == http.StatusOK && p.control.LoseAnswers > 0
		if lost {
			p.control.LoseAnswers--
		}
		p.mu.Unlock()
		p.pause(slow - slow/2)
		if lost {
			panic(http.ErrAbortHandler)
		}
		send(w, ans)
	})
}

func (p *Platform) admit(instance string, write bool) (tmclock.Span, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.control.Down || p.control.Only != nil && !slices.Contains(p.control.Only, instance) {
		return 0, http.StatusServiceUnavailable
	}
	limit, count := p.reads, &p.stats.Reads
	if write {
		limit, count = p.writes, &p.stats.Writes
	}
	if !limit.AllowN(time.UnixMilli(int64(p.clock.Now())), 1) {
		p.stats.Limited++
		return 0, http.StatusTooManyRequests
	}
	*count++
	return tmclock.Span(p.control.SlowMs), http.StatusOK
}

func (p *Platform) pause(d tmclock.Span) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.stop:
	}
}

func (p *Platform) commit(_ *http.Request, body []byte) answer {
	var t txn
	if err := json.Unmarshal(body, &t); err != nil {
		return failure(http.StatusBadRequest, "body: %v", err)
	}
	if message := checkTxn(t, len(body)); message != "" {
		return failure(http.StatusBadRequest, "%s", message)
	}
	for _, c := range t.Checks {
		if have := p.tables[c.Table][c.Key].Revision; have != c.Revision {
			c.Revision = have
			return answer{status: http.StatusConflict, value: map[string]rowID{"conflict": c}}
		}
	}
	p.revision++
	for _, w := range t.Writes {
		p.apply(w)
	}
	return answer{status: http.StatusOK, value: map[string]uint64{"revision": p.revision}}
}

func (p *Platform) apply(w rowWrite) {
	if w.Delete {
		delete(p.tables[w.Table], w.Key)
		return
	}
	if p.tables[w.Table] == nil {
		p.tables[w.Table] = make(map[string]row)
	}
	p.tables[w.Table][w.Key] = row{Key: w.Key, Revision: p.revision, Value: w.Value}
}

func checkTxn(t txn, size int) string {
	if size > maxTxnBytes {
		return fmt.Sprintf("transaction has %d bytes, at most %d", size, maxTxnBytes)
	}
	rows := make(map[[2]string]bool)
	for _, c := range t.Checks {
		rows[[2]string{c.Table, c.Key}] = true
	}
	for _, w := range t.Writes {
		rows[[2]string{w.Table, w.Key}] = true
		if w.Delete == (len(w.Value) > 0) {
			return fmt.Sprintf("write of %s/%s needs either value or delete", w.Table, w.Key)
		}
	}
	for name := range rows {
		if name[0] == "" || name[1] == "" {
			return "table and key must not be empty"
		}
	}
	if len(rows) > maxTxnRows {
		return fmt.Sprintf("transaction has %d rows, at most %d", len(rows), maxTxnRows)
	}
	return ""
}

func (p *Platform) read(r *http.Request, _ []byte) answer {
	found, ok := p.tables[r.PathValue("table")][r.PathValue("key")]
	if !ok {
		return failure(http.StatusNotFound, "no such row")
	}
	return answer{status: http.StatusOK, value: found}
}

func (p *Platform) list(r *http.Request, _ []byte) answer {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxPage {
		return failure(http.StatusBadRequest, "limit %q, expected 1 to %d", query.Get("limit"), maxPage)
	}
	rows := p.sorted(r.PathValue("table"), query.Get("prefix"), query.Get("after"))
	return answer{status: http.StatusOK, value: map[string][]row{"rows": rows[:min(limit, len(rows))]}}
}

func (p *Platform) sorted(table, prefix, after string) []row {
	rows := []row{}
	for key, found := range p.tables[table] {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, found)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (p *Platform) putObject(r *http.Request, body []byte) answer {
	p.objects[r.PathValue("name")] = body
	return answer{status: http.StatusOK}
}

func (p *Platform) getObject(r *http.Request, _ []byte) answer {
	body, ok := p.objects[r.PathValue("name")]
	if !ok {
		return failure(http.StatusNotFound, "no such object")
	}
	return answer{status: http.StatusOK, raw: body}
}

func (p *Platform) deleteObject(r *http.Request, _ []byte) answer {
	delete(p.objects, r.PathValue("name"))
	return answer{status: http.StatusOK}
}

func failure(status int, format string, args ...any) answer {
	return answer{status: status, value: map[string]string{"error": fmt.Sprintf(format, args...)}}
}

func send(w http.ResponseWriter, ans answer) {
	body := ans.raw
	if ans.value != nil {
		body, _ = json.Marshal(ans.value)
		w.Header().Set("Content-Type", "application/json")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(ans.status)
	_, _ = w.Write(body)
}
