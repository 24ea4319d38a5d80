// Package tmstore stores the records of turmericmoor in the platform's table
// service: the State and its history, slices, waves, and records of non-idempotent
// requests. The State is the configuration and the members of the fleet. A slice is
// the part of each team's limit that one entry may use. The package encodes domain
// types as rows and decodes them.
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

// Tables of the table service. wave.go has tableWave, the table of waves.
const (
	tableState   = "state"
	tableHistory = "state_history"
	tableSlice   = "slice"
	tableRun     = "run"

	tableSliceChange = "slice_change"
)

// Keys of the rows in tableState. The version has a row of its own, since entries
// read it twice a second.
const (
	keyCurrent = "current"
	keyVersion = "version"
)

// keySliceChange is the key of the only row in tableSliceChange. Every write to
// tableSlice changes the revision of that row.
const keySliceChange = "last"

// maxHistoryRows is the number of versions retained in tableHistory.
const maxHistoryRows = 64

// pageSize is the maximum number of rows listed by one call.
const pageSize = 100

// Errors returned by a Store.
var (
	// ErrNotFound means that the record does not exist.
	ErrNotFound = errors.New("tmstore: no such record")
	// ErrUnavailable means that the call failed without an effect: nothing was
	// read or written.
	ErrUnavailable = errors.New("tmstore: table service is unavailable")
	// ErrUncertain means that a write may have taken effect or may still take
	// effect. The caller has to read the record back before it acts.
	ErrUncertain = errors.New("tmstore: the write may have taken effect")
	// ErrConflict means that nothing was written, because a record no longer has
	// the revision that the transaction checks.
	ErrConflict = errors.New("tmstore: record was written by another entry")
	// ErrCorrupt means that a stored row can't be decoded.
	ErrCorrupt = errors.New("tmstore: corrupt record")
)

// ConflictError names the record whose revision check made a transaction fail.
// It matches ErrConflict.
type ConflictError struct {
	Table, Key string
}

// Error returns a message that names the record.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("tmstore: %s/%s was written by another entry", e.Table, e.Key)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool {
	return target == ErrConflict
}

// Store reads and writes records in the table service. It is safe for concurrent
// use.
type Store struct {
	client *tmplatform.Client
}

// New returns a Store that uses the given client. The caller has to close the
// client.
func New(client *tmplatform.Client) *Store {
	return &Store{client: client}
}

// StateVersion returns the version of the current State. The error wraps
// ErrNotFound if no version has been written yet.
func (s *Store) StateVersion(ctx context.Context) (uint64, error) {
	row, err := s.client.Read(ctx, tableState, keyVersion)
	if err != nil {
		return 0, translateError(err)
	}
	var version uint64
	if err := json.Unmarshal(row.Value, &version); err != nil {
		return 0, fmt.Errorf("%w: state version: %w", ErrCorrupt, err)
	}
	return version, nil
}

// State returns the current State and its revision. The error wraps ErrNotFound
// if no version has been written yet.
func (s *Store) State(ctx context.Context) (tmfleet.State, uint64, error) {
	row, err := s.client.Read(ctx, tableState, keyCurrent)
	if err != nil {
		return tmfleet.State{}, 0, translateError(err)
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
		rows, err := s.client.List(ctx, table, prefix, after, pageSize)
		if err != nil {
			return nil, translateError(err)
		}
		all = append(all, rows...)
		if len(rows) < pageSize {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

func translateError(err error) error {
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
