// Package emulator emulates the processes around the nodes of a fleet for tests: the
// table service, and endpoints that run tasks under leases. A checker verifies what
// endpoints run and what callers are told. The package makes no calls itself: the tests
// transport them, on a fake clock or over sockets.
package emulator

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmtable"
)

// TableFaults are the faults that a table service currently injects.
type TableFaults struct {
	// LostResponses is the ratio of writes that are applied but not answered,
	// DelayedWrites the ratio that are not answered and applied seconds later.
	LostResponses, DelayedWrites float64
	// ExtraLatency is added to the latency of each call.
	ExtraLatency time.Duration
	// Unavailable makes the service reject all calls.
	Unavailable bool
	// Silent makes the service answer no call, UnreadTable no read of one table. A call
	// that was made meanwhile stays without an answer for good.
	Silent      bool
	UnreadTable string
	// IgnoreConditions is a negative control: writes are applied without a check of
	// their expected versions.
	IgnoreConditions bool
}

// HidesTable reports whether reads of a table get no answer.
func (f TableFaults) HidesTable(table string) bool { return f.Silent || table == f.UnreadTable }

// Table emulates the state of a table service. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rng     *rand.Rand
	began   time.Time
	rows    map[tmtable.Key]tmtable.Row
	log     []tmtable.Row
	version int64
	// truncatedVersion is the newest version whose history has been dropped.
	truncatedVersion int64
	changed          chan struct{}
	faults           TableFaults
}

// NewTable returns an empty table service whose faults are drawn from rng.
func NewTable(rng *rand.Rand) *Table {
	return &Table{rng: rng, began: time.Now(), rows: map[tmtable.Key]tmtable.Row{}, changed: make(chan struct{})}
}

// Faults returns the current faults.
func (s *Table) Faults() TableFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults changes the current faults.
func (s *Table) SetFaults(change func(*TableFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Float64 returns a random number in [0, 1).
func (s *Table) Float64() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// IntN returns a random number in [0, n).
func (s *Table) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *Table) put(k tmtable.Key, value []byte, deleted bool) {
	row := tmtable.Row{Key: k, Value: value, Version: s.version, Deleted: deleted}
	if deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = row
	}
	s.log = append(s.log, row)
}

func (s *Table) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Table) result() tmtable.Result {
	return tmtable.Result{Version: s.version, Now: tmclock.Millis(time.Since(s.began).Milliseconds())}
}

// Set writes a row without conditions, as the operator or an endpoint does. A nil value
// removes the row.
func (s *Table) Set(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(tmtable.Key{Table: table, Key: key}, value, value == nil)
	s.notifyWatchers()
}

// Apply applies a transaction, or returns a *tmtable.ConflictError. It returns an error that
// wraps tmtable.ErrInvalid if the transaction exceeds a limit of the service.
func (s *Table) Apply(t tmtable.Txn) (tmtable.Result, error) {
	if err := checkLimits(t); err != nil {
		return tmtable.Result{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.IgnoreConditions {
		var current []tmtable.Row
		conflict := false
		for _, e := range t.Expects {
			row, ok := s.rows[e.Key]
			if ok {
				current = append(current, row)
			}
			conflict = conflict || row.Version != e.Version
		}
		if conflict {
			return s.result(), &tmtable.ConflictError{Rows: current}
		}
	}
	s.version++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, false)
	}
	for _, k := range t.Removes {
		if _, ok := s.rows[k]; ok {
			s.put(k, nil, true)
		}
	}
	s.notifyWatchers()
	return s.result(), nil
}

// Range returns the first rows of a range, sorted by key.
func (s *Table) Range(r tmtable.Range) tmtable.Page {
	s.mu.Lock()
	defer s.mu.Unlock()
	page := tmtable.Page{Result: s.result()}
	for k, row := range s.rows {
		if k.Table == r.Table && k.Part == r.Part && k.Key >= r.From && (r.To == "" || k.Key < r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	slices.SortFunc(page.Rows, func(a, b tmtable.Row) int { return strings.Compare(a.Key.Key, b.Key.Key) })
	cutPage(&page, r.Limit)
	return page
}

// Since returns the rows of a table that changed after a version, and a channel that is
// closed on the next change. It returns tmtable.ErrHistoryTruncated if the history after
// that version has been dropped.
func (s *Table) Since(table string, after int64) (tmtable.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.truncatedVersion {
		return tmtable.Page{}, nil, tmtable.ErrHistoryTruncated
	}
	page := tmtable.Page{Result: s.result()}
	first, _ := slices.BinarySearchFunc(s.log, after+1, func(row tmtable.Row, v int64) int { return int(row.Version - v) })
	for _, row := range s.log[first:] {
		if row.Table == table {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, s.changed, nil
}

// Get returns a row.
func (s *Table) Get(k tmtable.Key) (tmtable.Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[k]
	return row, ok
}

// Count returns the number of rows of a table.
func (s *Table) Count(table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.rows {
		if k.Table == table {
			n++
		}
	}
	return n
}

// DropHistory drops the change history. Later calls to Since with an older version fail.
func (s *Table) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncatedVersion = s.version
	s.notifyWatchers()
}

// Version returns the newest version.
func (s *Table) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// DropHistoryTo drops the change history up to a version.
func (s *Table) DropHistoryTo(version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncatedVersion = max(s.truncatedVersion, version)
}
