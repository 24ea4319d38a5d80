// Package tmtable defines the interface to the platform's transactional tables: rows
// with versions, conditional writes, ranges and a feed of changes. A table is divided
// into parts, its partitions. A Follower keeps a reader up to date with a table.
// Implementations of Store are safe for concurrent use.
package tmtable

import (
	"context"
	"errors"

	"turmericmoor/core/tmclock"
)

// Errors of a Store, in addition to *ConflictError.
var (
	// ErrNotApplied means that the call was rejected or not sent: it has no effect.
	ErrNotApplied = errors.New("tmtable: call had no effect")
	// ErrOutcomeUnknown means that no answer came: the store may have carried the call
	// out, or may still carry it out later.
	ErrOutcomeUnknown = errors.New("tmtable: no answer")
	// ErrHistoryTruncated means that the feed no longer has the changes since the
	// requested version.
	ErrHistoryTruncated = errors.New("tmtable: the feed no longer has the requested version")
	// ErrInvalid means that the store rejects the call and would reject it again.
	ErrInvalid = errors.New("tmtable: call is invalid")
)

// Key identifies a row. Part is the partition of the table.
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

// Expect is a condition of a transaction: the row has the given version, or does not
// exist if the version is 0.
type Expect struct {
	Key
	Version int64
}

// Put is a row to be written.
type Put struct {
	Key
	Value []byte
}

// Txn is a transaction. It is applied completely or not at all.
type Txn struct {
	Expects []Expect
	Puts    []Put
	Removes []Key
}

// Result is what the store returns in addition to rows.
type Result struct {
	// Version is the newest version in the store at the time of the call; after a
	// write, it is the version of the rows written. Now is the monotonic clock of the
	// store.
	Version int64
	Now     tmclock.Millis
}

// ConflictError means that a condition of a transaction did not hold.
type ConflictError struct {
	// Rows are the rows that the conditions name, as they were at the time of the
	// call.
	Rows []Row
}

// Error implements error.
func (e *ConflictError) Error() string { return "tmtable: a condition does not hold" }

// Page holds the rows of a range at one moment.
type Page struct {
	Result
	Rows []Row
	// More says that there are rows after the last one.
	More bool
}

// Range selects the keys from From up to but not including To. Either may be "" for
// no limit.
type Range struct {
	Table, Part, From, To string
	// Limit is the maximum number of rows, or 0 for the store's own limit.
	Limit int
}

// Store is the platform's table service. A call waits for its answer until ctx ends, so each
// caller sets a deadline.
type Store interface {
	Write(ctx context.Context, t Txn) (Result, error)
	Read(ctx context.Context, r Range) (Page, error)
	// Feed returns the rows of a table that changed after a version, in order. It
	// waits for the first change, but no longer than wait.
	Feed(ctx context.Context, table string, after int64, wait tmclock.Span) (Page, error)
}
