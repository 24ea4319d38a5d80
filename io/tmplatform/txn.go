package tmplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
)

// Limits of one transaction, in rows that are checked or written and in bytes of
// JSON.
const (
	MaxTxnRows  = 100
	MaxTxnBytes = 256 << 10
)

// MaxListRows is the largest limit that List accepts.
const MaxListRows = 1000

// Txn is a transaction on rows: either all of its writes take effect, or none if
// a check fails. It is not safe for concurrent use.
type Txn struct {
	wire wireTxn
	rows map[rowName]struct{}
}

type rowName struct {
	table string
	key   string
}

type wireTxn struct {
	Checks []wireCheck `json:"checks"`
	Writes []wireWrite `json:"writes"`
}

type wireCheck struct {
	Table    string `json:"table"`
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

type wireWrite struct {
	Table  string          `json:"table"`
	Key    string          `json:"key"`
	Value  json.RawMessage `json:"value,omitempty"`
	Delete bool            `json:"delete,omitempty"`
}

type wireCommit struct {
	Revision uint64     `json:"revision"`
	Conflict *wireCheck `json:"conflict"`
}

// Check makes the transaction fail with a conflict unless the row has the given
// revision. Revision 0 means that the row must not exist.
func (t *Txn) Check(table, key string, revision uint64) {
	t.addRow(table, key)
	t.wire.Checks = append(t.wire.Checks, wireCheck{Table: table, Key: key, Revision: revision})
}

// Put writes a row with a value in JSON.
func (t *Txn) Put(table, key string, value json.RawMessage) {
	t.addRow(table, key)
	t.wire.Writes = append(t.wire.Writes, wireWrite{Table: table, Key: key, Value: value})
}

// Delete deletes a row if it exists.
func (t *Txn) Delete(table, key string) {
	t.addRow(table, key)
	t.wire.Writes = append(t.wire.Writes, wireWrite{Table: table, Key: key, Delete: true})
}

// NumRows returns the number of distinct rows that are checked or written. Commit
// accepts at most MaxTxnRows.
func (t *Txn) NumRows() int {
	return len(t.rows)
}

func (t *Txn) addRow(table, key string) {
	if t.rows == nil {
		t.rows = make(map[rowName]struct{})
	}
	t.rows[rowName{table, key}] = struct{}{}
}

func (t *Txn) encode() ([]byte, error) {
	if t.NumRows() > MaxTxnRows {
		return nil, fmt.Errorf("tmplatform: transaction has %d rows, at most %d: %w", t.NumRows(), MaxTxnRows, ErrRejected)
	}
	body, err := json.Marshal(t.wire)
	if err != nil {
		return nil, fmt.Errorf("tmplatform: transaction: %w: %w", ErrRejected, err)
	}
	if len(body) > MaxTxnBytes {
		return nil, fmt.Errorf("tmplatform: transaction has %d bytes, at most %d: %w", len(body), MaxTxnBytes, ErrRejected)
	}
	return body, nil
}

// Commit commits the transaction and returns the revision of the rows written. The
// error is a *ConflictError, or wraps ErrUnavailable or ErrRejected (no effect) or
// ErrUncertain (the caller has to read the rows back).
func (c *Client) Commit(ctx context.Context, t *Txn) (uint64, error) {
	body, err := t.encode()
	if err != nil {
		return 0, err
	}
	resp, err := c.write(ctx, http.MethodPost, "/v1/tables/txn", body)
	if err != nil {
		return 0, err
	}
	var w wireCommit
	if err := json.Unmarshal(resp.Body, &w); err != nil {
		return 0, fmt.Errorf("tmplatform: commit: %w: %w", ErrUncertain, err)
	}
	switch {
	case resp.Status == http.StatusConflict && w.Conflict != nil:
		return 0, &ConflictError{Table: w.Conflict.Table, Key: w.Conflict.Key, Revision: w.Conflict.Revision}
	case resp.Status == http.StatusOK && w.Revision > 0:
		return w.Revision, nil
	}
	return 0, fmt.Errorf("tmplatform: commit: response has neither revision nor conflict: %w", ErrUncertain)
}
