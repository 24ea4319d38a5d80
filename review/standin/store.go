package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the metadata store from PROTOCOL.md: "A call holds at most 100 entries and at
// most 1 MB", and "value (base64 of at most rowBytes)".
const (
	maxEntries   = 100
	maxCallBytes = 1 << 20
	rowBytes     = 65536
	pageRows     = 500
	pageBytes    = 1 << 20
	txnTime      = 4 * time.Millisecond
)

type rowKey struct{ Table, Part, Key string }

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsAnswer struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"hasMore"`
	Version int64 `json:"rowVersion"`
	Now     int64 `json:"nowMs"`
}

type txn struct {
	Expects []struct {
		rowKey
		Version int64 `json:"rowVersion"`
	} `json:"expectedRev"`
	Puts []struct {
		rowKey
		Value []byte `json:"value"`
	} `json:"puts"`
	Removes []rowKey `json:"remove"`
	Across  bool     `json:"across"`
}

// linkRate is the bandwidth of the link of each node to the store in bytes a second, 0 for
// no limit.
var linkRate float64

// store is the platform's metadata store. Each node reaches it at an address of its own,
// so that the store knows who called.
type store struct {
	rec *record

	mu      sync.Mutex
	began   time.Time
	rows    map[rowKey]row
	log     []row
	version int64
	changed chan struct{}
	down    bool
	// silent makes the store answer no call that comes in or is under way.
	silent bool
	// onGet, if set, is called before a range of a table is read.
	onGet func(node int, table string)
	// lastConditional is the node that last wrote under a condition.
	lastConditional int
	// rejected counts the calls that the store refused as invalid, and lastRejected says why.
	rejected     int
	lastRejected string
	parts        map[string]*sync.Mutex
	// watch is the job whose rows of progress are recorded.
	watch string
}

func newStore(rec *record) *store {
	return &store{rec: rec, began: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), lastConditional: -1, parts: map[string]*sync.Mutex{}}
}

// listen serves the store for one node and returns the address.
func (s *store) listen(node int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) })}
	if linkRate > 0 {
		l = linkListener{Listener: l, link: &link{bytesPerSec: linkRate}}
	}
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

// setDown makes the store refuse all calls with 503, or serve again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// setSilent makes the store leave calls without an answer for good, or serve new ones again.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.notify()
}

func (s *store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) leader() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastConditional
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a row as the operator or a worker does; nil removes it.
func (s *store) set(table, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(rowKey{Table: table, Key: key}, data, value == nil)
	s.notify()
}

func (s *store) put(k rowKey, value []byte, deleted bool) {
	r := row{Table: k.Table, Part: k.Part, Key: k.Key, Value: value, Version: s.version, Deleted: deleted}
	if deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.log = append(s.log, r)
	if k.Table == "tm_run" && k.Key == s.watch && s.watch != "" {
		s.rec.quiet("row of the progress of %s: %.300s", k.Key, value)
	}
}

func (s *store) answer() rowsAnswer {
	return rowsAnswer{Rows: []row{}, Version: s.version, Now: time.Since(s.began).Milliseconds()}
}

func respond(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serve(node int, w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if s.isSilent() {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	}
	switch r.URL.Path {
	case "/-/rows-tx":
		s.write(node, w, r)
	case "/-/rows-get":
		s.get(node, w, r)
	case "/-/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// refuse answers a call that breaks a limit of the page.
func (s *store) refuse(w http.ResponseWriter, cause string) {
	s.mu.Lock()
	s.rejected++
	first := s.lastRejected != cause
	s.lastRejected = cause
	s.mu.Unlock()
	if first {
		s.rec.add("store refused a call with 400: %s", cause)
	}
	respond(w, http.StatusBadRequest, map[string]string{"error": cause})
}

func (s *store) partLock(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

func (s *store) write(node int, w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if len(data) > maxCallBytes {
		s.refuse(w, "a call holds at most 1 MB: "+strconv.Itoa(len(data))+" bytes")
		return
	}
	var t txn
	if err := json.Unmarshal(data, &t); err != nil {
		s.refuse(w, "body: "+err.Error())
		return
	}
	if n := len(t.Expects) + len(t.Puts) + len(t.Removes); n > maxEntries {
		s.refuse(w, "a call holds at most 100 entries: "+strconv.Itoa(n))
		return
	}
	parts := map[string]bool{}
	for _, e := range t.Expects {
		parts[e.Part] = true
	}
	for _, p := range t.Puts {
		parts[p.Part] = true
		if len(p.Value) > rowBytes {
			s.refuse(w, "row "+p.Table+"/"+p.Part+"/"+p.Key+": value of "+strconv.Itoa(len(p.Value))+" bytes, at most 65536 (rowBytes)")
			return
		}
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	first := ""
	for p := range parts {
		first = p
	}
	if len(parts) > 1 && !t.Across {
		s.refuse(w, "several parts without across")
		return
	}
	part := s.partLock(first)
	part.Lock()
	time.Sleep(txnTime)
	part.Unlock()
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if len(t.Expects) > 0 {
		s.lastConditional = node
	}
	a := s.answer()
	conflict := false
	for _, e := range t.Expects {
		have, ok := s.rows[e.rowKey]
		if ok {
			a.Rows = append(a.Rows, have)
		}
		conflict = conflict || have.Version != e.Version
	}
	if conflict {
		respond(w, http.StatusPreconditionFailed, a)
		return
	}
	s.version++
	for _, p := range t.Puts {
		s.put(p.rowKey, p.Value, false)
	}
	for _, k := range t.Removes {
		if _, ok := s.rows[k]; ok {
			s.put(k, nil, true)
		}
	}
	s.notify()
	respond(w, http.StatusOK, s.answer())
}

func (s *store) get(node int, w http.ResponseWriter, r *http.Request) {
	time.Sleep(txnTime)
	q := r.URL.Query()
	if s.onGet != nil {
		s.onGet(node, q.Get("table"))
	}
	if s.isSilent() {
		<-r.Context().Done()
		return
	}
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > pageRows {
		limit = pageRows
	}
	s.mu.Lock()
	a := s.answer()
	var found []row
	for k, have := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			found = append(found, have)
		}
	}
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	size := 0
	for i, have := range found {
		size += len(have.Value)
		if i >= limit || i > 0 && size > pageBytes {
			a.More = true
			break
		}
		a.Rows = append(a.Rows, have)
	}
	respond(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, err2 := strconv.Atoi(q.Get("waitMs"))
	if err != nil || err2 != nil {
		s.refuse(w, "feed: "+r.URL.RawQuery)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		a := s.answer()
		first := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > after })
		for _, have := range s.log[first:] {
			if have.Table == q.Get("table") {
				a.Rows = append(a.Rows, have)
			}
		}
		silent := s.silent
		changed := s.changed
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if len(a.Rows) > 0 {
			respond(w, http.StatusOK, a)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-deadline:
			respond(w, http.StatusOK, a)
			return
		case <-changed:
		}
	}
}
