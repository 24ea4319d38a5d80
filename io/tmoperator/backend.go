// Package tmoperator implements the HTTP API for operators and the client that the
// command line uses. Every call except GET /healthz requires the operator key.
package tmoperator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// Errors of a Backend. The server maps them to the status codes of the operator
// protocol. A Backend also returns *tmchange.InvalidError (400) and *ConflictError
// (409).
var (
	// ErrNotFound means that the change or the wave does not exist (404).
	ErrNotFound = errors.New("tmoperator: not found")
	// ErrStoreUnavailable means that a call to the table service failed (503). The
	// change may or may not have been stored, so retry with the same id.
	ErrStoreUnavailable = errors.New("tmoperator: table service unavailable")
	// ErrNotFresh means that the entry does not have the current State (503).
	ErrNotFresh = errors.New("tmoperator: entry does not have the current configuration")
	// ErrExists means that a wave with this name already exists (409).
	ErrExists = errors.New("tmoperator: already exists")
)

// ConflictError means that the version of the State differs from the version that
// the request was based on.
type ConflictError struct {
	// Version is the current version.
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("tmoperator: the configuration is at version %d", e.Version)
}

// ChangeRequest is a request to apply all of its changes or none.
type ChangeRequest struct {
	// ID identifies the request across retries.
	ID string
	// BaseVersion is the version that the request is based on, or 0 for any.
	BaseVersion uint64
	Changes     []tmchange.Change
}

// ChangeStatus is the status of a stored ChangeRequest.
type ChangeStatus struct {
	ID string
	// Version is the version that contains the changes.
	Version uint64
	// InForce is false while the version is stored but not yet confirmed.
	InForce bool
}

// MoveRequest is a request to move an instance to another pool.
type MoveRequest struct {
	// ID identifies the request across retries.
	ID             string
	Instance, Pool string
}

// Revision is one version in the history of the configuration.
type Revision struct {
	Version  uint64
	ChangeID string
	// Written is the wall clock time of the entry when it wrote the version.
	Written tmclock.Millis
	// Changes is empty for a change of membership.
	Changes []tmchange.Change
}

// WaveRequest is a request to start a maintenance wave over all instances of some
// pools.
type WaveRequest struct {
	Name   string
	Pools  []string
	Reason string
}

// WavePhase is the phase of a wave.
type WavePhase string

// The phases of a wave. A paused wave waits for instances that have failed.
const (
	WaveRunning WavePhase = "running"
	WavePaused  WavePhase = "paused"
	WaveStopped WavePhase = "stopped"
	WaveDone    WavePhase = "done"
)

// WaveStatus is the progress of a wave.
type WaveStatus struct {
	Name   string
	Pools  []string
	Reason string
	Phase  WavePhase
	// Leader is the entry that leads the wave.
	Leader string
	// Total and Done count instances.
	Total, Done int
	// Active lists the instances that are draining or rebooting for the wave.
	Active []string
	// Note describes what the wave waits for. It is empty if the wave does not wait.
	Note string
}

// Backend performs the operator calls in the entry daemon. Implementations are safe
// for concurrent use. All methods may return the errors above.
type Backend interface {
	// Apply stores the changes and waits at most 8 s until they are in force. A
	// retry with the id of a stored request changes nothing and returns the status
	// of that request.
	Apply(ctx context.Context, req ChangeRequest) (ChangeStatus, error)
	// ChangeStatus returns the status of a stored request.
	ChangeStatus(ctx context.Context, id string) (ChangeStatus, error)
	// State returns the current State.
	State(ctx context.Context) (tmfleet.State, error)
	// History returns the latest versions, newest first.
	History(ctx context.Context) ([]Revision, error)
	// Move stores a move_instance change in the same way as Apply. It finishes the
	// move once the version is in force and the endpoint runs no task.
	Move(ctx context.Context, req MoveRequest) (ChangeStatus, error)
	// StartWave stores a wave. It returns ErrExists if the name belongs to another
	// wave.
	StartWave(ctx context.Context, req WaveRequest) (WaveStatus, error)
	// Wave returns the progress of one wave.
	Wave(ctx context.Context, name string) (WaveStatus, error)
	// Waves returns the latest waves, newest first.
	Waves(ctx context.Context) ([]WaveStatus, error)
	// StopWave prevents a wave from starting on further instances.
	StopWave(ctx context.Context, name string) (WaveStatus, error)
	// Dump returns the state of the entry as JSON, without keys and hashes.
	Dump(ctx context.Context) (json.RawMessage, error)
	// Healthy returns nil while the entry can accept work.
	Healthy(ctx context.Context) error
	// Metrics serves GET /metrics.
	Metrics() http.Handler
}
