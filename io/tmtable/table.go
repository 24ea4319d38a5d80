// Package tmtable is the port to the platform's transactional tables: rows with
// versions, conditional writes, ranges and a feed of changes. It also has the
// loop that keeps a reader up to date with a table. Implementations are safe
// for concurrent use.
package tmtable

import (
	"context"
	"errors"

	"turmericmoor/core/tmclock"
)

// Errors of a Store. A *ConflictError comes besides.
var (
	// ErrNotDone means that the call was refused or not sent: it has no effect.
	ErrNotDone = errors.New("tmtable: call had no effect")
	// ErrUnknown means that no answer came: the call may have been carried out,
	// or may still be.
	ErrUnknown = errors.New("tmtable: no answer")
	// ErrHistory means that the feed no longer has the version asked for.
	ErrHistory = errors.New("tmtable: history is gone")
	// ErrInvalid means that the store refuses the call for good.
	ErrInvalid = errors.New("tmtable: call is invalid")
)

// Key names a row.
type Key struct {
	Table, Part, Key string
}

// Row is a row at some version. Versions come from one counter of the store.
type Row struct {
	Key
	Value   []byte
	Version int64
	// Deleted marks a removed row in a feed.
	Deleted bool
}

// Expect is a condition of a transaction: the row has that version, 0 for none.
type Expect struct {
	Key
	Version int64
}

// Put is a row to be written.
type Put struct {
	Key
	Value []byte
}

// Txn is applied whole or not at all.
type Txn struct {
	Expects []Expect
	Puts    []Put
	Removes []Key
}

// Result is what the store says besides the rows.
type Result struct {
	// Version is the newest version, Now the steady clock of the store.
	Version int64
	Now     tmclock.Millis
}

// ConflictError means that a condition of a transaction did not hold.
type ConflictError struct {
	// Rows are the present rows of those in the conditions.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string { return "tmtable: a condition does not hold" }

// Page is the rows of a range as of one moment.
type Page struct {
	Result
	Rows []Row
	// More says that rows after the last one were left out.
	More bool
}

// Range asks for the keys from From up to but without To, both of which may
// be "".
type Range struct {
	Table, Part, From, To string
	// Limit bounds the rows, 0 for the store's own bound.
	Limit int
}

// Store is the platform's table service.
type Store interface {
	Write(ctx context.Context, t Txn) (Result, error)
	Read(ctx context.Context, r Range) (Page, error)
	// Feed returns the rows of a table that changed after a version, in order.
	// It waits for the first one, at most that long.
	Feed(ctx context.Context, table string, after int64, wait tmclock.Span) (Page, error)
}

// ReadAll returns all rows of a range, and the result of the first page.
func ReadAll(ctx context.Context, s Store, r Range) (Page, error) {
	var all Page
	for first := true; ; first = false {
		page, err := s.Read(ctx, r)
		if err != nil {
			return Page{}, err
		}
		if first {
			all.Result = page.Result
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.More || len(page.Rows) == 0 {
			return all, nil
		}
		r.From = page.Rows[len(page.Rows)-1].Key.Key + "\x00"
	}
}
