// Package tmfakebackend is an operator backend in memory, for tests of the
// operator server and of the command line. It has one State and no peers.
package tmfakebackend

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
	"turmericmoor/io/tmoperator"
)

// Backend implements tmoperator.Backend. It is safe for concurrent use.
type Backend struct {
	mu       sync.Mutex
	state    tmfleet.State
	statuses map[string]tmoperator.ChangeStatus
	history  []tmoperator.Revision
	waves    []tmoperator.WaveStatus
	stored   bool
	err      error
}

var _ tmoperator.Backend = (*Backend)(nil)

// New returns a Backend with an empty State.
func New() *Backend {
	return &Backend{statuses: map[string]tmoperator.ChangeStatus{}}
}

// HoldConfirmations leaves later changes stored but not confirmed.
func (b *Backend) HoldConfirmations(hold bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stored = hold
}

// FailWith lets later calls that write return err, after the write when the
// err is tmoperator.ErrStoreUnavailable, as when an answer is lost.
func (b *Backend) FailWith(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
}

// Apply implements tmoperator.Backend.
func (b *Backend) Apply(_ context.Context, req tmoperator.ChangeRequest) (tmoperator.ChangeStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if status, ok := b.statuses[req.ID]; ok {
		return status, nil
	}
	if req.BaseVersion != 0 && req.BaseVersion != b.state.Version() {
		return tmoperator.ChangeStatus{}, &tmoperator.ConflictError{Version: b.state.Version()}
	}
	config, err := tmchange.Apply(b.state, tmchange.AllLive, req.Changes)
	if err != nil {
		return tmoperator.ChangeStatus{}, err
	}
	b.state = b.state.Next(req.ID, config)
	status := tmoperator.ChangeStatus{ID: req.ID, Version: b.state.Version(), InForce: !b.stored}
	b.statuses[req.ID] = status
	revision := tmoperator.Revision{Version: status.Version, ChangeID: req.ID, Changes: req.Changes}
	b.history = slices.Insert(b.history, 0, revision)
	return status, b.err
}

// ChangeStatus implements tmoperator.Backend.
func (b *Backend) ChangeStatus(_ context.Context, id string) (tmoperator.ChangeStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	status, ok := b.statuses[id]
	if !ok {
		return status, tmoperator.ErrNotFound
	}
	return status, nil
}

// State implements tmoperator.Backend.
func (b *Backend) State(context.Context) (tmfleet.State, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.state, nil
}

// History implements tmoperator.Backend.
func (b *Backend) History(context.Context) ([]tmoperator.Revision, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.history), nil
}

// Move implements tmoperator.Backend. The move is not finished by itself.
func (b *Backend) Move(ctx context.Context, req tmoperator.MoveRequest) (tmoperator.ChangeStatus, error) {
	move := tmchange.MoveInstance{Name: req.Instance, To: req.Pool}
	return b.Apply(ctx, tmoperator.ChangeRequest{ID: req.ID, Changes: []tmchange.Change{move}})
}

// StartWave implements tmoperator.Backend. The wave makes no progress.
func (b *Backend) StartWave(_ context.Context, req tmoperator.WaveRequest) (tmoperator.WaveStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.wave(req.Name) >= 0 {
		return tmoperator.WaveStatus{}, tmoperator.ErrExists
	}
	status := tmoperator.WaveStatus{Name: req.Name, Pools: req.Pools, Reason: req.Reason, Phase: tmoperator.WaveRunning}
	b.waves = slices.Insert(b.waves, 0, status)
	return status, nil
}

// Wave implements tmoperator.Backend.
func (b *Backend) Wave(_ context.Context, name string) (tmoperator.WaveStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.wave(name)
	if i < 0 {
		return tmoperator.WaveStatus{}, tmoperator.ErrNotFound
	}
	return b.waves[i], nil
}

// Waves implements tmoperator.Backend.
func (b *Backend) Waves(context.Context) ([]tmoperator.WaveStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.waves), nil
}

// StopWave implements tmoperator.Backend.
func (b *Backend) StopWave(_ context.Context, name string) (tmoperator.WaveStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := b.wave(name)
	if i < 0 {
		return tmoperator.WaveStatus{}, tmoperator.ErrNotFound
	}
	b.waves[i].Phase = tmoperator.WaveStopped
	return b.waves[i], nil
}

func (b *Backend) wave(name string) int {
	return slices.IndexFunc(b.waves, func(w tmoperator.WaveStatus) bool { return w.Name == name })
}

// Dump implements tmoperator.Backend.
func (b *Backend) Dump(context.Context) (json.RawMessage, error) {
	return json.RawMessage(`{"queues":{}}`), nil
}

// Healthy implements tmoperator.Backend.
func (b *Backend) Healthy(context.Context) error { return nil }

// Metrics implements tmoperator.Backend.
func (b *Backend) Metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("# no metrics\n"))
	})
}
