// Package emulator emulates the parties around the nodes of a fleet for tests: the
// table service, and endpoints that run tasks under leases. A judge watches what
// endpoints run and what callers are told. It makes no calls itself: the tests carry
// them, on a moved clock or over sockets.
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

// TableFaults are the ways in which a table service misbehaves at the moment.
type TableFaults struct {
	// LostAnswers is the share of writes that are done and not answered, LateWrites
	// the share that is not answered and done seconds later.
	LostAnswers, LateWrites float64
	// Slow is added to each call.
	Slow time.Duration
	// Away makes the service refuse all calls.
	Away bool
	// IgnoreConditions is a negative control.
	IgnoreConditions bool
}

// Table is the state of a table service. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	rng     *rand.Rand
	began   time.Time
	rows    map[tmtable.Key]tmtable.Row
	log     []tmtable.Row
	version int64
	// floor is the newest version whose history is gone.
	floor   int64
	changed chan struct{}
	faults  TableFaults
}

// NewTable returns an empty table service whose faults are drawn from rng.
func NewTable(rng *rand.Rand) *Table {
	return &Table{rng: rng, began: time.Now(), rows: map[tmtable.Key]tmtable.Row{}, changed: make(chan struct{})}
}

// Faults returns the present faults.
func (s *Table) Faults() TableFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults changes the present faults.
func (s *Table) SetFaults(change func(*TableFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// Float returns a random number from 0 to 1.
func (s *Table) Float() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64()
}

// IntN returns a random number from 0 up to but without n.
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

func (s *Table) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Table) result() tmtable.Result {
	return tmtable.Result{Version: s.version, Now: tmclock.Millis(time.Since(s.began).Milliseconds())}
}

// Set writes a row as the operator or an endpoint does; a nil value removes it.
func (s *Table) Set(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(tmtable.Key{Table: table, Key: key}, value, value == nil)
	s.wake()
}

// Apply carries a transaction out, or returns a *tmtable.ConflictError.
func (s *Table) Apply(t tmtable.Txn) (tmtable.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.faults.IgnoreConditions {
		var current []tmtable.Row
		bad := false
		for _, e := range t.Expects {
			row, ok := s.rows[e.Key]
			if ok {
				current = append(current, row)
			}
			bad = bad || row.Version != e.Version
		}
		if bad {
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
	s.wake()
	return s.result(), nil
}

// Range returns all rows of a range.
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
	return page
}

// Since returns the rows of a table that changed after a version, and a channel that
// is closed with the next change. It returns tmtable.ErrHistoryTruncated if that is forgotten.
func (s *Table) Since(table string, after int64) (tmtable.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.floor {
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

// DropHistory makes the service forget which rows changed when.
func (s *Table) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor = s.version
	s.wake()
}
