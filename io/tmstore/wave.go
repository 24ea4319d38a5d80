package tmstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmwave"
	"turmericmoor/io/tmplatform"
)

const tableWave = "wave"

// Prefixes of the keys in the table of waves. A wave that is closed changes
// its key, so that entries which look for work read no closed waves.
const (
	prefixOpen   = "open/"
	prefixClosed = "closed/"
)

// Wave is the record of a maintenance wave.
type Wave struct {
	Name   string
	Pools  []string
	Reason string
	// Created is the wall clock of the entry that stored the wave.
	Created  tmclock.Millis
	Plan     tmwave.Plan
	Progress tmwave.Progress
	Lease    tmwave.Lease
	// Closed is set when the wave needs no leader any more.
	Closed bool
	// Revision is the revision at which the record was read.
	Revision uint64
}

type wireWave struct {
	Name        string     `json:"name"`
	Pools       []string   `json:"pools"`
	Reason      string     `json:"reason"`
	CreatedMs   int64      `json:"created_ms"`
	DeadlineMs  int64      `json:"deadline_ms,omitempty"`
	CycleMs     int64      `json:"cycle_ms"`
	Instances   []wireMark `json:"instances"`
	FailedInRow int        `json:"failed_in_row,omitempty"`
	Stopped     string     `json:"stopped,omitempty"`
	Leader      string     `json:"leader"`
	Counter     uint64     `json:"counter"`
}

// wireMark is an instance of the plan with its progress. It has no fields for
// an instance that waits, because all entries read the row every second.
type wireMark struct {
	Name  string `json:"name"`
	Phase string `json:"phase,omitempty"`
	Boots uint64 `json:"boots,omitempty"`
	Tries int    `json:"tries,omitempty"`
}

// AddWave writes a new wave. Its name must not be taken, by an open or by a
// closed wave.
func (t *Txn) AddWave(w Wave) {
	t.txn.Check(tableWave, prefixClosed+w.Name, 0)
	w.Revision = 0
	t.PutWave(w)
}

// CheckWave makes t depend on the revision of an open wave.
func (t *Txn) CheckWave(name string, revision uint64) {
	t.txn.Check(tableWave, prefixOpen+name, revision)
}

// PutWave writes an open wave in place of the one that was read at its
// revision.
func (t *Txn) PutWave(w Wave) {
	t.CheckWave(w.Name, w.Revision)
	t.putWave(prefixOpen, w)
}

// CloseWave writes an open wave as a closed one.
func (t *Txn) CloseWave(w Wave) {
	t.CheckWave(w.Name, w.Revision)
	t.txn.Delete(tableWave, prefixOpen+w.Name)
	t.putWave(prefixClosed, w)
}

// DeleteWave deletes a closed wave.
func (t *Txn) DeleteWave(name string) {
	t.txn.Delete(tableWave, prefixClosed+name)
}

func (t *Txn) putWave(prefix string, w Wave) {
	value, err := encodeWave(w)
	if err != nil {
		t.fail(err)
		return
	}
	t.txn.Put(tableWave, prefix+w.Name, value)
}

// Wave returns the wave with the given name, open or closed. The error wraps
// ErrNotFound or ErrUnavailable.
func (s *Store) Wave(ctx context.Context, name string) (Wave, error) {
	row, err := s.client.Read(ctx, tableWave, prefixOpen+name)
	if errors.Is(err, tmplatform.ErrNotFound) {
		row, err = s.client.Read(ctx, tableWave, prefixClosed+name)
	}
	if err != nil {
		return Wave{}, translate(err)
	}
	return decodeWave(row)
}

// OpenWaves returns the waves that need a leader, by name.
func (s *Store) OpenWaves(ctx context.Context) ([]Wave, error) {
	return s.waves(ctx, prefixOpen)
}

// Waves returns all waves, the closed ones first.
func (s *Store) Waves(ctx context.Context) ([]Wave, error) {
	return s.waves(ctx, "")
}

func (s *Store) waves(ctx context.Context, prefix string) ([]Wave, error) {
	rows, err := s.list(ctx, tableWave, prefix)
	if err != nil {
		return nil, err
	}
	waves := make([]Wave, 0, len(rows))
	for _, row := range rows {
		w, err := decodeWave(row)
		if err != nil {
			return nil, err
		}
		waves = append(waves, w)
	}
	return waves, nil
}

func encodeWave(w Wave) (json.RawMessage, error) {
	wire := wireWave{
		Name:        w.Name,
		Pools:       w.Pools,
		Reason:      w.Reason,
		CreatedMs:   int64(w.Created),
		DeadlineMs:  int64(w.Plan.Deadline()),
		CycleMs:     int64(w.Plan.Cycle()),
		Instances:   make([]wireMark, 0, w.Progress.ByInstance().Len()),
		FailedInRow: w.Progress.FailedInRow(),
		Stopped:     w.Progress.Stopped(),
		Leader:      w.Lease.Leader,
		Counter:     w.Lease.Counter,
	}
	for name, m := range w.Progress.ByInstance().All() {
		mark := wireMark{Name: name, Boots: m.Boots, Tries: m.Tries}
		if m.Phase != tmwave.Waiting {
			mark.Phase = m.Phase.String()
		}
		wire.Instances = append(wire.Instances, mark)
	}
	value, err := json.Marshal(wire)
	if err != nil {
		return nil, fmt.Errorf("tmstore: encode wave %s: %w", w.Name, err)
	}
	return value, nil
}

func decodeWave(row tmplatform.Row) (Wave, error) {
	var wire wireWave
	if err := json.Unmarshal(row.Value, &wire); err != nil {
		return Wave{}, fmt.Errorf("%w: wave %s: %w", ErrCorrupt, row.Key, err)
	}
	names := make([]string, 0, len(wire.Instances))
	marks := make(map[string]tmwave.InstanceProgress, len(wire.Instances))
	for _, m := range wire.Instances {
		mark := tmwave.InstanceProgress{Boots: m.Boots, Tries: m.Tries}
		if m.Phase != "" {
			phase, err := tmwave.ParsePhase(m.Phase)
			if err != nil {
				return Wave{}, fmt.Errorf("%w: wave %s: %w", ErrCorrupt, row.Key, err)
			}
			mark.Phase = phase
		}
		names = append(names, m.Name)
		marks[m.Name] = mark
	}
	return Wave{
		Name:     wire.Name,
		Pools:    wire.Pools,
		Reason:   wire.Reason,
		Created:  tmclock.Millis(wire.CreatedMs),
		Plan:     tmwave.RestorePlan(names, tmclock.Millis(wire.DeadlineMs), tmclock.Span(wire.CycleMs)),
		Progress: tmwave.RestoreProgress(tmfleet.NewTable(marks), wire.FailedInRow, wire.Stopped),
		Lease:    tmwave.Lease{Leader: wire.Leader, Counter: wire.Counter},
		Closed:   strings.HasPrefix(row.Key, prefixClosed),
		Revision: row.Revision,
	}, nil
}
