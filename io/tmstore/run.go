package tmstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"turmericmoor/core/tmonce"
	"turmericmoor/io/tmplatform"
)

type wireRun struct {
	State       string `json:"state"`
	Incarnation string `json:"incarnation"`
	Nonce       string `json:"nonce"`
	Digest      string `json:"digest"`
	Outcome     string `json:"outcome"`
	Status      int    `json:"status,omitempty"`
	Answer      []byte `json:"answer,omitempty"`
	AnswerKept  bool   `json:"answer_kept"`
}

// Run returns the record of a non-idempotent request and its revision. The key
// is that of tmonce.ID.RowKey. The error wraps ErrNotFound, ErrUnavailable or
// ErrCorrupt.
func (s *Store) Run(ctx context.Context, key string) (tmonce.Record, uint64, error) {
	row, err := s.client.Read(ctx, tableRun, key)
	if err != nil {
		return tmonce.Record{}, 0, translateError(err)
	}
	record, err := decodeRun(row)
	return record, row.Revision, err
}

// RunRead reads a record and returns the result in the form that
// tmonce.Batch.ReadBack takes.
func (s *Store) RunRead(ctx context.Context, key string) tmonce.Read {
	record, revision, err := s.Run(ctx, key)
	switch {
	case err == nil:
		return tmonce.Read{Known: true, Found: true, Revision: revision, Record: record}
	case errors.Is(err, ErrNotFound):
		return tmonce.Read{Known: true}
	default:
		return tmonce.Read{}
	}
}

// CommitRuns commits the writes in one transaction and returns the revision of the
// transaction. On a conflict the error is a *ConflictError whose Key is that of the
// write.
func (s *Store) CommitRuns(ctx context.Context, writes []tmonce.Write) (uint64, error) {
	var t tmplatform.Txn
	for _, w := range writes {
		t.Check(tableRun, w.Key, w.Revision)
		if w.Op == tmonce.Delete {
			t.Delete(tableRun, w.Key)
			continue
		}
		value, err := encodeRun(w.Record)
		if err != nil {
			return 0, err
		}
		t.Put(tableRun, w.Key, value)
	}
	revision, err := s.client.Commit(ctx, &t)
	return revision, translateError(err)
}

// DeleteRuns deletes the records in the key range of sweep, one page per
// transaction, and returns the number of deleted records. It stops at the first
// error; the caller repeats the sweep later.
func (s *Store) DeleteRuns(ctx context.Context, sweep tmonce.Sweep) (int, error) {
	deleted := 0
	for {
		rows, err := s.client.List(ctx, tableRun, "", sweep.After, pageSize)
		if err != nil {
			return deleted, translateError(err)
		}
		var t tmplatform.Txn
		n := 0
		for _, row := range rows {
			if row.Key >= sweep.Until {
				break
			}
			t.Delete(tableRun, row.Key)
			n++
		}
		if n == 0 {
			return deleted, nil
		}
		if _, err := s.client.Commit(ctx, &t); err != nil {
			return deleted, translateError(err)
		}
		deleted += n
	}
}

func encodeRun(r tmonce.Record) (json.RawMessage, error) {
	answer, kept := r.Answer()
	value, err := json.Marshal(wireRun{
		State:       r.State().String(),
		Incarnation: r.Incarnation(),
		Nonce:       r.Nonce(),
		Digest:      string(r.Digest()),
		Outcome:     r.Outcome().String(),
		Status:      r.Status(),
		Answer:      answer,
		AnswerKept:  kept,
	})
	if err != nil {
		return nil, fmt.Errorf("tmstore: encode run: %w", err)
	}
	return value, nil
}

func decodeRun(row tmplatform.Row) (tmonce.Record, error) {
	var w wireRun
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return tmonce.Record{}, fmt.Errorf("%w: run %s: %w", ErrCorrupt, row.Key, err)
	}
	state, err := tmonce.ParseRunState(w.State)
	if err != nil {
		return tmonce.Record{}, fmt.Errorf("%w: run %s: %w", ErrCorrupt, row.Key, err)
	}
	outcome, err := tmonce.ParseOutcome(w.Outcome)
	if err != nil {
		return tmonce.Record{}, fmt.Errorf("%w: run %s: %w", ErrCorrupt, row.Key, err)
	}
	return tmonce.NewRecord(tmonce.RecordParams{
		State:       state,
		Incarnation: w.Incarnation,
		Nonce:       w.Nonce,
		Digest:      tmonce.Digest(w.Digest),
		Outcome:     outcome,
		Status:      w.Status,
		Answer:      w.Answer,
		AnswerKept:  w.AnswerKept,
	}), nil
}
