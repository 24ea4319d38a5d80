package emulator

import (
	"context"
	"fmt"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmtable"
)

// Store is a client of a table service without latency or faults. It implements
// tmtable.Store.
type Store struct{ *Table }

// Write implements tmtable.Store.
func (s Store) Write(_ context.Context, t tmtable.Txn) (tmtable.Result, error) { return s.Apply(t) }

// Read implements tmtable.Store.
func (s Store) Read(_ context.Context, r tmtable.Range) (tmtable.Page, error) { return s.Range(r), nil }

// Feed implements tmtable.Store.
func (s Store) Feed(ctx context.Context, table string, after int64, wait tmclock.Span) (tmtable.Page, error) {
	deadline := time.After(wait.Duration())
	for {
		page, changed, err := s.Since(table, after)
		if err != nil {
			return tmtable.Page{}, err
		}
		if len(page.Rows) > 0 {
			return page, nil
		}
		select {
		case <-ctx.Done():
			return tmtable.Page{}, fmt.Errorf("%w: feed timed out", tmtable.ErrOutcomeUnknown)
		case <-deadline:
			return page, nil
		case <-changed:
		}
	}
}
