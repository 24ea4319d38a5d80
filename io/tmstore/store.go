// Package tmstore keeps the records of turmericmoor in the platform's table
// service: the State and its history, slices of team limits, waves, and the records
// of non-idempotent requests. It maps domain types to rows and back.
package tmstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"turmericmoor/core/tmfleet"
	"turmericmoor/io/tmcodec"
	"turmericmoor/io/tmplatform"
)

// The tables.
const (
	tableState   = "state"
	tableHistory = "state_history"
	tableSlice   = "slice"
	tableRun     = "run"

	tableSliceChange = "slice_change"
)

// The rows of the State: the whole of it, and its version alone, which entries
// read twice a second.
const (
	keyCurrent = "current"
	keyVersion = "version"
)

// keyLast is the key of the only row that changes with every write of slices.
const keyLast = "last"

// historyKept is the number of versions that state_history keeps.
const historyKept = 64

// pageRows is the number of rows read in one call.
const pageRows = 100

// Errors of a Store.
var (
	// ErrNotFound means that there is no such record.
	ErrNotFound = errors.New("tmstore: no such record")
	// ErrUnavailable means that nothing was read or written.
	ErrUnavailable = errors.New("tmstore: table service is unavailable")
	// ErrUncertain means that a write may have taken effect or still will. The
	// caller reads back before it acts.
	ErrUncertain = errors.New("tmstore: the write may have taken effect")
	// ErrConflict means that nothing was written, because a record has been
	// written by somebody else.
	ErrConflict = errors.New("tmstore: record was written by another entry")
	// ErrCorrupt means that a row can't be decoded.
	ErrCorrupt = errors.New("tmstore: corrupt record")
)

// ConflictError names the record that kept a transaction from being written.
// It matches ErrConflict.
type ConflictError struct {
	Table, Key string
}

// Error names the record.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("tmstore: %s/%s was written by another entry", e.Table, e.Key)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// Store reads and writes the records. It is safe for concurrent use.
type Store struct {
	client *tmplatform.Client
}

// New returns a Store on the given client, which stays the caller's.
func New(client *tmplatform.Client) *Store {
	return &Store{client: client}
}

// StateVersion returns the version of the current State. It returns ErrNotFound
// before the first version was written.
func (s *Store) StateVersion(ctx context.Context) (uint64, error) {
	row, err := s.client.Read(ctx, tableState, keyVersion)
	if err != nil {
		return 0, translate(err)
	}
	var version uint64
	if err := json.Unmarshal(row.Value, &version); err != nil {
		return 0, fmt.Errorf("%w: state version: %w", ErrCorrupt, err)
	}
	return version, nil
}

// State returns the current State and its revision. It returns ErrNotFound
// before the first version was written.
func (s *Store) State(ctx context.Context) (tmfleet.State, uint64, error) {
	row, err := s.client.Read(ctx, tableState, keyCurrent)
	if err != nil {
		return tmfleet.State{}, 0, translate(err)
	}
	state, err := tmcodec.DecodeState(row.Value)
	if err != nil {
		return tmfleet.State{}, 0, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return state, row.Revision, nil
}

func (s *Store) list(ctx context.Context, table, prefix string) ([]tmplatform.Row, error) {
	var all []tmplatform.Row
	after := ""
	for {
		rows, err := s.client.List(ctx, table, prefix, after, pageRows)
		if err != nil {
			return nil, translate(err)
		}
		all = append(all, rows...)
		if len(rows) < pageRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func translate(err error) error {
	var conflict *tmplatform.ConflictError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		return &ConflictError{Table: conflict.Table, Key: conflict.Key}
	case errors.Is(err, tmplatform.ErrNotFound):
		return fmt.Errorf("%w: %w", ErrNotFound, err)
	case errors.Is(err, tmplatform.ErrUncertain):
		return fmt.Errorf("%w: %w", ErrUncertain, err)
	default:
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
}
