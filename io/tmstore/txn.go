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

// Txn collects writes that take effect together or not at all. It is for use
// by one goroutine. The first error of a codec is returned by Commit.
type Txn struct {
	txn tmplatform.Txn
	err error
}

// CheckState makes t depend on the revision of the current State.
func (t *Txn) CheckState(revision uint64) {
	t.txn.Check(tableState, keyCurrent, revision)
}

// PutState writes next in place of the State that was read at the given
// revision, and adds the revision r to the history. Revision 0 stands for no
// State.
func (t *Txn) PutState(revision uint64, next tmfleet.State, r Revision) {
	value, err := tmcodec.EncodeState(next)
	if err != nil {
		t.fail(err)
		return
	}
	history, err := encodeRevision(next.Version(), r)
	if err != nil {
		t.fail(err)
		return
	}
	t.txn.Check(tableState, keyCurrent, revision)
	t.txn.Put(tableState, keyCurrent, value)
	t.txn.Put(tableState, keyVersion, json.RawMessage(strconv.FormatUint(next.Version(), 10)))
	t.txn.Put(tableHistory, historyKey(next.Version()), history)
	if next.Version() > historyKept {
		t.txn.Delete(tableHistory, historyKey(next.Version()-historyKept))
	}
}

// Slices adds the checks and writes of a transaction on slices.
func (t *Txn) Slices(x tmslice.Transaction) {
	for _, c := range x.Checks {
		t.txn.Check(tableSlice, c.Key, c.Revision)
	}
	for _, row := range x.Writes {
		t.putSlice(row)
	}
	for _, key := range x.Deletes {
		t.txn.Delete(tableSlice, key)
	}
	t.markSlices()
}

// RewriteSlices writes rows in place of those that were read at their
// revisions.
func (t *Txn) RewriteSlices(rows []tmslice.Row) {
	for _, row := range rows {
		t.txn.Check(tableSlice, row.Key(), row.Revision())
		t.putSlice(row)
	}
	t.markSlices()
}

// markSlices changes the revision of the row that tells entries to read the
// slices again. It is written without a check, so it never conflicts.
func (t *Txn) markSlices() {
	t.txn.Put(tableSliceChange, keyLast, json.RawMessage("1"))
}

func (t *Txn) putSlice(row tmslice.Row) {
	value, err := encodeSlice(row)
	if err != nil {
		t.fail(err)
		return
	}
	t.txn.Put(tableSlice, row.Key(), value)
}

func (t *Txn) fail(err error) {
	if t.err == nil {
		t.err = err
	}
}

// Commit writes t and returns the revision of its rows. The error matches
// ErrConflict, ErrUnavailable or ErrUncertain.
func (s *Store) Commit(ctx context.Context, t *Txn) (uint64, error) {
	if t.err != nil {
		return 0, fmt.Errorf("tmstore: commit: %w", t.err)
	}
	revision, err := s.client.Commit(ctx, &t.txn)
	return revision, translate(err)
}

// SlicesChanged returns a number that differs after each write of slices, and 0
// before the first.
func (s *Store) SlicesChanged(ctx context.Context) (uint64, error) {
	row, err := s.client.Read(ctx, tableSliceChange, keyLast)
	if errors.Is(err, tmplatform.ErrNotFound) {
		return 0, nil
	}
	return row.Revision, translate(err)
}

// Slices returns the rows of all entries and the row of free units.
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
