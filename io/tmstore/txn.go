package tmstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmslice"
	"turmericmoor/io/tmcodec"
	"turmericmoor/io/tmplatform"
)

// Txn is a transaction: its writes take effect together or not at all. It is not
// safe for concurrent use. Commit returns the first error that occurred while
// records were encoded.
type Txn struct {
	txn tmplatform.Txn
	err error
}

// CheckState makes t fail unless the current State has the given revision.
func (t *Txn) CheckState(revision uint64) {
	t.txn.Check(tableState, keyCurrent, revision)
}

// PutState replaces the State that was read at the given revision by next and
// adds r to the history. Revision 0 means that no State has been written yet.
func (t *Txn) PutState(revision uint64, next tmfleet.State, r Revision) {
	value, err := tmcodec.EncodeState(next)
	if err != nil {
		t.setErr(err)
		return
	}
	history, err := encodeRevision(next.Version(), r)
	if err != nil {
		t.setErr(err)
		return
	}
	t.txn.Check(tableState, keyCurrent, revision)
	t.txn.Put(tableState, keyCurrent, value)
	t.txn.Put(tableState, keyVersion, json.RawMessage(strconv.FormatUint(next.Version(), 10)))
	t.txn.Put(tableHistory, historyKey(next.Version()), history)
	if next.Version() > maxHistoryRows {
		t.txn.Delete(tableHistory, historyKey(next.Version()-maxHistoryRows))
	}
}

// AddSliceTransaction adds the checks, writes and deletes of transaction to t.
func (t *Txn) AddSliceTransaction(transaction tmslice.Transaction) {
	for _, c := range transaction.Checks {
		t.txn.Check(tableSlice, c.Key, c.Revision)
	}
	for _, row := range transaction.Writes {
		t.putSlice(row)
	}
	for _, key := range transaction.Deletes {
		t.txn.Delete(tableSlice, key)
	}
	t.touchSliceChange()
}

// RewriteSlices writes rows, provided that the stored rows still have their
// revisions.
func (t *Txn) RewriteSlices(rows []tmslice.Row) {
	for _, row := range rows {
		t.txn.Check(tableSlice, row.Key(), row.Revision())
		t.putSlice(row)
	}
	t.touchSliceChange()
}

// touchSliceChange changes the revision of the row in tableSliceChange. Entries
// watch that revision to learn that they have to read the slices again. The write
// has no check, so it never conflicts.
func (t *Txn) touchSliceChange() {
	t.txn.Put(tableSliceChange, keySliceChange, json.RawMessage("1"))
}

func (t *Txn) putSlice(row tmslice.Row) {
	value, err := encodeSlice(row)
	if err != nil {
		t.setErr(err)
		return
	}
	t.txn.Put(tableSlice, row.Key(), value)
}

func (t *Txn) setErr(err error) {
	if t.err == nil {
		t.err = err
	}
}

// Commit commits t and returns the revision of its rows. The error matches
// ErrConflict, ErrUnavailable or ErrUncertain unless a record can't be encoded.
func (s *Store) Commit(ctx context.Context, t *Txn) (uint64, error) {
	if t.err != nil {
		return 0, fmt.Errorf("tmstore: commit: %w", t.err)
	}
	revision, err := s.client.Commit(ctx, &t.txn)
	return revision, translateError(err)
}

// SlicesRevision returns a number that changes with each write of slices. It is 0
// before the first write.
func (s *Store) SlicesRevision(ctx context.Context) (uint64, error) {
	row, err := s.client.Read(ctx, tableSliceChange, keySliceChange)
	if errors.Is(err, tmplatform.ErrNotFound) {
		return 0, nil
	}
	return row.Revision, translateError(err)
}

// Slices returns the slice rows of all entries and the row of free units.
func (s *Store) Slices(ctx context.Context) ([]tmslice.Row, error) {
	rows, err := s.list(ctx, tableSlice, "")
	if err != nil {
		return nil, err
	}
	slices := make([]tmslice.Row, 0, len(rows))
	for _, row := range rows {
		slice, err := decodeSlice(row)
		if err != nil {
			return nil, err
		}
		slices = append(slices, slice)
	}
	return slices, nil
}

type wireSlice struct {
	Teams []wireHolding `json:"teams"`
}

type wireHolding struct {
	Team         string `json:"team"`
	Held         int    `json:"held"`
	Draining     int    `json:"draining,omitempty"`
	LimitVersion uint64 `json:"limit_version"`
}

func encodeSlice(row tmslice.Row) (json.RawMessage, error) {
	w := wireSlice{Teams: make([]wireHolding, 0, row.Teams().Len())}
	for team, h := range row.Teams().All() {
		w.Teams = append(w.Teams, wireHolding{
			Team:         team,
			Held:         h.Held,
			Draining:     h.Draining,
			LimitVersion: h.LimitVersion,
		})
	}
	value, err := json.Marshal(w)
	if err != nil {
		return nil, fmt.Errorf("tmstore: encode slice %s: %w", row.Key(), err)
	}
	return value, nil
}

func decodeSlice(row tmplatform.Row) (tmslice.Row, error) {
	var w wireSlice
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return tmslice.Row{}, fmt.Errorf("%w: slice %s: %w", ErrCorrupt, row.Key, err)
	}
	teams := make(map[string]tmslice.Holding, len(w.Teams))
	for _, h := range w.Teams {
		teams[h.Team] = tmslice.Holding{Held: h.Held, Draining: h.Draining, LimitVersion: h.LimitVersion}
	}
	return tmslice.NewRow(row.Key, row.Revision, tmfleet.NewTable(teams)), nil
}
