package emulator

import (
	"encoding/base64"
	"fmt"

	"turmericmoor/io/tmtable"
)

// Limits of the table service. They are written down here apart from the code of nodes that
// has to keep them.
const (
	// maxTxnEntries is the maximum number of conditions, rows and removals of a transaction.
	maxTxnEntries = 100
	// maxTxnBytes is the maximum size of the body of a transaction in bytes, with values
	// in base64.
	maxTxnBytes = 1_000_000
	// maxRowBytes is the maximum length of a value, maxNameBytes that of the name of a table,
	// a part or a key, both in bytes.
	maxRowBytes  = 65_536
	maxNameBytes = 200
	// maxPageRows and maxPageBytes bound the answer to a read.
	maxPageRows  = 500
	maxPageBytes = 1_000_000
	// entryBytes is what the body has for an entry besides its names and its value.
	entryBytes = 40
)

// checkLimits returns an error that wraps tmtable.ErrInvalid if the service refuses the
// transaction because of its size.
func checkLimits(t tmtable.Txn) error {
	if n := len(t.Expects) + len(t.Puts) + len(t.Removes); n > maxTxnEntries {
		return fmt.Errorf("%w: %d entries, at most %d are allowed", tmtable.ErrInvalid, n, maxTxnEntries)
	}
	size := 0
	add := func(k tmtable.Key) error {
		if max(len(k.Table), len(k.Part), len(k.Key)) > maxNameBytes {
			return fmt.Errorf("%w: a name of %v is longer than %d bytes", tmtable.ErrInvalid, k, maxNameBytes)
		}
		size += entryBytes + len(k.Table) + len(k.Part) + len(k.Key)
		return nil
	}
	for _, e := range t.Expects {
		if err := add(e.Key); err != nil {
			return err
		}
	}
	for _, k := range t.Removes {
		if err := add(k); err != nil {
			return err
		}
	}
	for _, p := range t.Puts {
		if err := add(p.Key); err != nil {
			return err
		}
		if len(p.Value) > maxRowBytes {
			return fmt.Errorf("%w: row %v has %d bytes, at most %d are allowed", tmtable.ErrInvalid, p.Key, len(p.Value), maxRowBytes)
		}
		size += base64.StdEncoding.EncodedLen(len(p.Value))
	}
	if size > maxTxnBytes {
		return fmt.Errorf("%w: a body of %d bytes, at most %d are allowed", tmtable.ErrInvalid, size, maxTxnBytes)
	}
	return nil
}

// cutPage cuts a page to what the service returns at once. limit is the maximum number of
// rows that the caller wants, or 0.
func cutPage(page *tmtable.Page, limit int) {
	if limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	size := 0
	for i, row := range page.Rows {
		size += base64.StdEncoding.EncodedLen(len(row.Value))
		if i >= limit || i > 0 && size > maxPageBytes {
			page.Rows, page.More = page.Rows[:i], true
			return
		}
	}
}
