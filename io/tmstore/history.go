package tmstore

import (
	"context"
	"encoding/json"
	"fmt"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmcodec"
	"turmericmoor/io/tmplatform"
)

// Revision is the history record of one version of the State. It holds the
// changes that led to the version instead of the whole State, since a State may
// have 150 KB and a transaction is limited to 256 KB.
type Revision struct {
	Version  uint64
	ChangeID string
	// Written is the wall time at which the version was written, by the clock of
	// the entry that wrote it.
	Written tmclock.Millis
	// Changes is empty if only the members changed.
	Changes []tmchange.Change
}

type wireRevision struct {
	Version   uint64          `json:"version"`
	ChangeID  string          `json:"change_id"`
	WrittenMs int64           `json:"written_ms"`
	Changes   json.RawMessage `json:"changes"`
}

// historyKey pads the version with zeros, so that the keys sort by version.
func historyKey(version uint64) string {
	return fmt.Sprintf("%020d", version)
}

func encodeRevision(version uint64, r Revision) (json.RawMessage, error) {
	changes, err := tmcodec.EncodeChanges(r.Changes)
	if err != nil {
		return nil, fmt.Errorf("tmstore: encode revision %d: %w", version, err)
	}
	return json.Marshal(wireRevision{
		Version:   version,
		ChangeID:  r.ChangeID,
		WrittenMs: int64(r.Written),
		Changes:   changes,
	})
}

func decodeRevision(row tmplatform.Row) (Revision, error) {
	var w wireRevision
	if err := json.Unmarshal(row.Value, &w); err != nil {
		return Revision{}, fmt.Errorf("%w: revision %s: %w", ErrCorrupt, row.Key, err)
	}
	r := Revision{Version: w.Version, ChangeID: w.ChangeID, Written: tmclock.Millis(w.WrittenMs)}
	changes, err := tmcodec.DecodeChanges(w.Changes)
	if err != nil {
		return Revision{}, fmt.Errorf("%w: revision %s: %w", ErrCorrupt, row.Key, err)
	}
	r.Changes = changes
	return r, nil
}

// History returns the retained revisions of the State, oldest first.
func (s *Store) History(ctx context.Context) ([]Revision, error) {
	rows, err := s.list(ctx, tableHistory, "")
	if err != nil {
		return nil, err
	}
	history := make([]Revision, 0, len(rows))
	for _, row := range rows {
		r, err := decodeRevision(row)
		if err != nil {
			return nil, err
		}
		history = append(history, r)
	}
	return history, nil
}
