package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store. Value is base64 in JSON.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// store stands in for the platform's metadata store: rows, conditional transactions, feed.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version int64
	changes []row
	changed chan struct{}
	began   time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now(), version: 1}
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
}

type rowsAnswer struct {
	Rows    []row `json:"rows,omitempty"`
	More    bool  `json:"hasMore"`
	Version int64 `json:"rowVersion"`
	Now     int64 `json:"nowMs"`
}

func (s *store) answer(rows []row) rowsAnswer {
	return rowsAnswer{Rows: rows, Version: s.version, Now: time.Since(s.began).Milliseconds()}
}

// put writes one row for the operator or a worker, and returns when it is stored.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{Table: table, Key: key, Value: data, Version: s.version})
	s.wake()
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.rows[rowKey{Table: table, Key: key}]; !ok {
		return
	}
	s.version++
	s.apply(row{Table: table, Key: key, Version: s.version, Deleted: true})
	s.wake()
}

// apply changes one row. The caller holds mu.
func (s *store) apply(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.changes = append(s.changes, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	return mux
}

// txnTime is the time that a transaction takes, txnMs of the site files.
const txnTime = 4 * time.Millisecond

func (s *store) tx(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(txnTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	var current []row
	for _, e := range t.Expects {
		now := s.rows[e.rowKey]
		if now.Version != 0 {
			current = append(current, now)
		}
		held = held && now.Version == e.Version
	}
	if !held {
		writeJSON(w, http.StatusPreconditionFailed, s.answer(current))
		return
	}
	s.version++
	for _, p := range t.Puts {
		s.apply(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Version: s.version})
	}
	for _, k := range t.Removes {
		if _, ok := s.rows[k]; ok {
			s.apply(row{Table: k.Table, Part: k.Part, Key: k.Key, Version: s.version, Deleted: true})
		}
	}
	s.wake()
	writeJSON(w, http.StatusOK, s.answer(nil))
}

// maxRows is the largest number of rows of an answer.
const maxRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := maxRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for k, have := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			found = append(found, have)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	a := s.answer(found)
	if len(found) > limit {
		a.Rows, a.More = found[:limit], true
	}
	writeJSON(w, http.StatusOK, a)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var found []row
		first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > after })
		for _, c := range s.changes[first:] {
			if c.Table == q.Get("table") {
				found = append(found, c)
			}
		}
		a, changed := s.answer(found), s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}
