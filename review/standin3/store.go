package main

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The platform's metadata store: rows in tables and parts, conditional transactions, ranges and
// a feed of changes, as PROTOCOL describes them. Each write takes txnTime.

const txnTime = 4 * time.Millisecond

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"rowVersion"`
	Deleted bool   `json:"deleted,omitempty"`
}

type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	log     []row
	version int64
	changed chan struct{}
	began   time.Time
	// lateShare is the share of the writes of workers that are performed 1 to 6 s later.
	lateShare float64
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), began: time.Now()}
}

type answer struct {
	Rows    []row `json:"rows"`
	More    bool  `json:"hasMore"`
	Version int64 `json:"rowVersion"`
	Now     int64 `json:"nowMs"`
}

func (s *store) answer(rows []row) answer {
	if rows == nil {
		rows = []row{}
	}
	return answer{Rows: rows, Version: s.version, Now: time.Since(s.began).Milliseconds()}
}

func (s *store) setLate(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateShare = share
}

// isLate reports whether a write of a worker is late, and after what time it is performed then.
func (s *store) isLate() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Second + rand.N(5*time.Second), rand.Float64() < s.lateShare
}

// putByWorker writes a row on behalf of a worker. It may be late like any other write.
func (s *store) putByWorker(table, key string, value any) (late time.Duration) {
	if after, late := s.isLate(); late {
		time.AfterFunc(after, func() { s.put(table, key, value) })
		return after
	}
	s.put(table, key, value)
	return 0
}

// put writes a row on behalf of the operator or of a worker.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(row{rowKey: rowKey{Table: table, Key: key}, Value: data, Version: s.version})
	s.wake()
}

// get returns the value of a row without a part, nil if there is none.
func (s *store) get(table, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowKey{Table: table, Key: key}].Value
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := rowKey{Table: table, Key: key}
	if _, ok := s.rows[k]; !ok {
		return
	}
	s.version++
	s.apply(row{rowKey: k, Version: s.version, Deleted: true})
	s.wake()
}

func (s *store) apply(r row) {
	if r.Deleted {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.log = append(s.log, r)
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
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

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status, body := s.serve(r)
	writeJSON(w, status, body)
}

func (s *store) serve(r *http.Request) (int, any) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-tx":
		var t txn
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			return http.StatusBadRequest, nil
		}
		time.Sleep(txnTime)
		return s.write(t)
	case "/-/rows-get":
		limit, _ := strconv.Atoi(q.Get("limit"))
		return http.StatusOK, s.read(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), limit)
	case "/-/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		return http.StatusOK, s.feed(r, q.Get("table"), after, time.Duration(wait)*time.Millisecond)
	}
	return http.StatusNotFound, nil
}

func (s *store) write(t txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	var current []row
	for _, e := range t.Expects {
		have, ok := s.rows[e.rowKey]
		if ok {
			current = append(current, have)
		}
		conflict = conflict || have.Version != e.Version
	}
	if conflict {
		return http.StatusPreconditionFailed, s.answer(current)
	}
	s.version++
	for _, p := range t.Puts {
		s.apply(row{rowKey: p.rowKey, Value: p.Value, Version: s.version})
	}
	for _, k := range t.Removes {
		if _, ok := s.rows[k]; ok {
			s.apply(row{rowKey: k, Version: s.version, Deleted: true})
		}
	}
	s.wake()
	return http.StatusOK, s.answer(nil)
}

func (s *store) read(table, part, from, to string, limit int) answer {
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, r := range s.rows {
		if k.Table == table && k.Part == part && k.Key >= from && (to == "" || k.Key < to) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	a := s.answer(rows)
	a.More = more
	return a
}

func (s *store) feed(r *http.Request, table string, after int64, wait time.Duration) answer {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		var rows []row
		i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > after })
		for _, c := range s.log[i:] {
			if c.Table == table {
				rows = append(rows, c)
			}
		}
		a, changed := s.answer(rows), s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return a
		}
		select {
		case <-changed:
		case <-deadline.C:
			return a
		case <-r.Context().Done():
			return a
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	if body == nil {
		body = struct{}{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
