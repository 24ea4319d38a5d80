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

// Key prefixes in tableWave. Closing a wave changes its key, so that entries can
// list the open waves without reading the closed ones.
const (
	prefixOpen   = "open/"
	prefixClosed = "closed/"
)

// Wave is the record of a maintenance wave.
type Wave struct {
	Name   string
	Pools  []string
	Reason string
	// Created is the wall time at which the wave was stored, by the clock of the
	// entry that stored it.
	Created  tmclock.Millis
	Plan     tmwave.Plan
	Progress tmwave.Progress
	Lease    tmwave.Lease
	// Closed means that the wave has ended and needs no leader any more.
	Closed bool
	// Revision is the revision of the row from which the record was read.
	Revision uint64
}

type wireWave struct {
	Name        string         `json:"name"`
	Pools       []string       `json:"pools"`
	Reason      string         `json:"reason"`
	CreatedMs   int64          `json:"created_ms"`
	DeadlineMs  int64          `json:"deadline_ms,omitempty"`
	CycleMs     int64          `json:"cycle_ms"`
	Instances   []wireInstance `json:"instances"`
	FailedInRow int            `json:"failed_in_row,omitempty"`
	Stopped     string         `json:"stopped,omitempty"`
	Leader      string         `json:"leader"`
	Counter     uint64         `json:"counter"`
}

// wireInstance is an instance of the plan with its progress. All fields but the
// name are omitted for a waiting instance, since every entry reads the row each
// second.
type wireInstance struct {
	Name  string `json:"name"`
	Phase string `json:"phase,omitempty"`
	Boots uint64 `json:"boots,omitempty"`
	Tries int    `json:"tries,omitempty"`
}

// AddWave writes a new wave. The commit fails with a conflict if an open or
// closed wave has the same name.
func (t *Txn) AddWave(w Wave) {
	t.txn.Check(tableWave, prefixClosed+w.Name, 0)
	w.Revision = 0
	t.PutWave(w)
}

// CheckWave makes t fail unless the open wave has the given revision.
func (t *Txn) CheckWave(name string, revision uint64) {
	t.txn.Check(tableWave, prefixOpen+name, revision)
}

// PutWave writes an open wave, provided that the stored row still has the
// revision of w.
func (t *Txn) PutWave(w Wave) {
	t.CheckWave(w.Name, w.Revision)
	t.putWave(prefixOpen, w)
}

// CloseWave moves the open wave w to the closed waves with the contents of w.
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
		t.setErr(err)
		return
	}
	t.txn.Put(tableWave, prefix+w.Name, value)
}

// Wave returns the open or closed wave with the given name. The error wraps
// ErrNotFound, ErrUnavailable or ErrCorrupt.
func (s *Store) Wave(ctx context.Context, name string) (Wave, error) {
	row, err := s.client.Read(ctx, tableWave, prefixOpen+name)
	if errors.Is(err, tmplatform.ErrNotFound) {
		row, err = s.client.Read(ctx, tableWave, prefixClosed+name)
	}
	if err != nil {
		return Wave{}, translateError(err)
	}
	return decodeWave(row)
}

// OpenWaves returns the waves that need a leader, ordered by name.
func (s *Store) OpenWaves(ctx context.Context) ([]Wave, error) {
	return s.waves(ctx, prefixOpen)
}

// Waves returns all waves, closed ones first.
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
		Instances:   make([]wireInstance, 0, w.Progress.ByInstance().Len()),
		FailedInRow: w.Progress.FailedInRow(),
		Stopped:     w.Progress.Stopped(),
		Leader:      w.Lease.Leader,
		Counter:     w.Lease.Counter,
	}
	for name, m := range w.Progress.ByInstance().All() {
		instance := wireInstance{Name: name, Boots: m.Boots, Tries: m.Tries}
		if m.Phase != tmwave.Waiting {
			instance.Phase = m.Phase.String()
		}
		wire.Instances = append(wire.Instances, instance)
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
	byInstance := make(map[string]tmwave.InstanceProgress, len(wire.Instances))
	for _, m := range wire.Instances {
		progress := tmwave.InstanceProgress{Boots: m.Boots, Tries: m.Tries}
		if m.Phase != "" {
			phase, err := tmwave.ParsePhase(m.Phase)
			if err != nil {
				return Wave{}, fmt.Errorf("%w: wave %s: %w", ErrCorrupt, row.Key, err)
			}
			progress.Phase = phase
		}
		names = append(names, m.Name)
		byInstance[m.Name] = progress
	}
	return Wave{
		Name:     wire.Name,
		Pools:    wire.Pools,
		Reason:   wire.Reason,
		Created:  tmclock.Millis(wire.CreatedMs),
		Plan:     tmwave.RestorePlan(names, tmclock.Millis(wire.DeadlineMs), tmclock.Span(wire.CycleMs)),
		Progress: tmwave.RestoreProgress(tmfleet.NewTable(byInstance), wire.FailedInRow, wire.Stopped),
		Lease:    tmwave.Lease{Leader: wire.Leader, Counter: wire.Counter},
		Closed:   strings.HasPrefix(row.Key, prefixClosed),
		Revision: row.Revision,
	}, nil
}
