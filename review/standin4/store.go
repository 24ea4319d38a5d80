package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// txnTime is txnMs of the pages, storeHistory is historyS.
	txnTime      = 4 * time.Millisecond
	storeHistory = 20 * time.Second
	maxPageRows  = 500
)

// rowKey identifies a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row as the store returns it.
type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

// store is the metadata store of the platform: tables with versions, conditional transactions and
// a feed of changes.
type store struct {
	mu      sync.Mutex
	began   time.Time
	version int64
	rows    map[rowKey]row
	// dropped holds the newest removal of a row, floor the oldest version from which the feed goes on.
	dropped map[rowKey]row
	floor   int64
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: map[rowKey]row{}, dropped: map[rowKey]row{}, changed: make(chan struct{})}
}

type rowsAnswer struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"hasMore"`
	Version int64 `json:"rowVersion"`
	Now     int64 `json:"nowMs"`
}

// answer returns an answer with rows. The caller holds mu.
func (s *store) answer(rows []row) rowsAnswer {
	if rows == nil {
		rows = []row{}
	}
	return rowsAnswer{Rows: rows, Version: s.version, Now: time.Since(s.began).Milliseconds()}
}

type txn struct {
	Expected []struct {
		rowKey
		Version int64 `json:"rowVersion"`
	} `json:"expectedRev"`
	Puts []struct {
		rowKey
		Value []byte `json:"value"`
	} `json:"puts"`
	Remove []rowKey `json:"remove"`
	Across bool     `json:"across"`
}

// parts returns the number of parts that a transaction involves.
func (t *txn) parts() int {
	parts := map[string]bool{}
	for _, e := range t.Expected {
		parts[e.Part] = true
	}
	for _, p := range t.Puts {
		parts[p.Part] = true
	}
	for _, k := range t.Remove {
		parts[k.Part] = true
	}
	return len(parts)
}

// apply carries a transaction out. It returns the status of the answer.
func (s *store) apply(t *txn) (int, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, e := range t.Expected {
		have, ok := s.rows[e.rowKey]
		if ok {
			current = append(current, have)
		}
		holds = holds && have.Version == e.Version
	}
	if !holds {
		return http.StatusPreconditionFailed, s.answer(current)
	}
	s.version++
	now := time.Now()
	for _, p := range t.Puts {
		s.rows[p.rowKey] = row{rowKey: p.rowKey, Value: p.Value, Version: s.version, at: now}
		delete(s.dropped, p.rowKey)
	}
	for _, k := range t.Remove {
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.dropped[k] = row{rowKey: k, Version: s.version, Deleted: true, at: now}
		}
	}
	for k, r := range s.dropped {
		if now.Sub(r.at) > storeHistory {
			s.floor = max(s.floor, r.Version)
			delete(s.dropped, k)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, s.answer(nil)
}

// set writes a row that the operator or a worker writes, remove removes one.
func (s *store) set(table, key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	t := &txn{}
	t.Puts = append(t.Puts, struct {
		rowKey
		Value []byte `json:"value"`
	}{rowKey{Table: table, Key: key}, data})
	s.apply(t)
}

func (s *store) remove(table, key string) {
	s.apply(&txn{Remove: []rowKey{{Table: table, Key: key}}})
}

// get returns the value of a row, nil if there is none.
func (s *store) get(k rowKey) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[k].Value
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", s.serveTxn)
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	return mux
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(t.Expected)+len(t.Puts)+len(t.Remove) > 100 || t.parts() > 1 && !t.Across {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range t.Puts {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(p.Value) > 65536 {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
	}
	time.Sleep(txnTime)
	status, answer := s.apply(&t)
	writeJSON(w, status, answer)
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("target")
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	time.Sleep(txnTime)
	s.mu.Lock()
	var rows []row
	for k, have := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= from && (to == "" || k.Key < to) {
			rows = append(rows, have)
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Key, b.Key) })
	more := len(rows) > limit
	answer := s.answer(rows[:min(len(rows), limit)])
	answer.More = more
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, answer)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(min(waitMs, 30_000)) * time.Millisecond)
	time.Sleep(txnTime)
	for {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var rows []row
		for _, set := range []map[rowKey]row{s.rows, s.dropped} {
			for k, have := range set {
				if k.Table == q.Get("table") && have.Version > after {
					rows = append(rows, have)
				}
			}
		}
		slices.SortFunc(rows, func(a, b row) int { return cmp.Compare(a.Version, b.Version) })
		answer, changed := s.answer(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
