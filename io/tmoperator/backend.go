// Package tmoperator has the HTTP server for operators and the client that the
// command line uses. Every call except GET /healthz needs the operator key.
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

// Errors of a Backend. The server turns them into the status codes of the
// operator protocol. A Backend also returns *tmchange.InvalidError (400) and
// *ConflictError (409).
var (
	// ErrNotFound means that the change or the wave is not known (404).
	ErrNotFound = errors.New("tmoperator: not found")
	// ErrStoreUnavailable means that the platform could not be asked (503).
	// The change may or may not have been stored, so retry with the same id.
	ErrStoreUnavailable = errors.New("tmoperator: table service unavailable")
	// ErrNotFresh means that the entry does not know the present State (503).
	ErrNotFresh = errors.New("tmoperator: entry is not fresh")
	// ErrExists means that a wave with this name exists (409).
	ErrExists = errors.New("tmoperator: exists already")
)

// ConflictError means that the State was at another version than the request
// was based on.
type ConflictError struct {
	// Version is the present version.
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("tmoperator: the configuration is at version %d", e.Version)
}

// ChangeRequest asks for changes as a whole.
type ChangeRequest struct {
	// ID identifies the request in retries.
	ID string
	// BaseVersion is the version that the request was made for, or 0 for any.
	BaseVersion uint64
	Changes     []tmchange.Change
}

// ChangeStatus says what became of a ChangeRequest that was stored.
type ChangeStatus struct {
	ID string
	// Version is the version that has the changes.
	Version uint64
	// InForce is false while the version is stored but not yet confirmed.
	InForce bool
}

// MoveRequest asks for the move of an instance to another pool.
type MoveRequest struct {
	// ID identifies the request in retries.
	ID             string
	Instance, Pool string
}

// Revision is one version in the history.
type Revision struct {
	Version  uint64
	ChangeID string
	// Written is the wall clock of the entry that wrote the version.
	Written tmclock.Millis
	// Changes is empty for a change of membership.
	Changes []tmchange.Change
}

// WaveRequest asks for a maintenance wave over all instances of some pools.
type WaveRequest struct {
	Name   string
	Pools  []string
	Reason string
}

// WavePhase says where a wave stands.
type WavePhase string

// The phases of a wave. A paused wave waits for instances that failed.
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
	// Total and Done are numbers of instances.
	Total, Done int
	// Active are the instances that drain or reboot for the wave.
	Active []string
	// Note says what the wave waits for, or is empty.
	Note string
}

// Backend is what the entry daemon does for operators. Implementations are safe
// for concurrent use. All methods may return the errors above.
type Backend interface {
	// Apply stores the changes and waits until they are in force, at most 8 s.
	// A retry with the id of a stored request returns its status and changes
	// nothing.
	Apply(ctx context.Context, req ChangeRequest) (ChangeStatus, error)
	// ChangeStatus returns the status of a stored request.
	ChangeStatus(ctx context.Context, id string) (ChangeStatus, error)
	// State returns the present State.
	State(ctx context.Context) (tmfleet.State, error)
	// History returns the last versions, newest first.
	History(ctx context.Context) ([]Revision, error)
	// Move stores move_instance, as Apply does, and finishes the move when the
	// version is in force and the endpoint runs no task.
	Move(ctx context.Context, req MoveRequest) (ChangeStatus, error)
	// StartWave stores a wave. It returns ErrExists for a name that is taken by
	// another wave.
	StartWave(ctx context.Context, req WaveRequest) (WaveStatus, error)
	// Wave returns the progress of one wave.
	Wave(ctx context.Context, name string) (WaveStatus, error)
	// Waves returns the last waves, newest first.
	Waves(ctx context.Context) ([]WaveStatus, error)
	// StopWave lets a wave take no further instances.
	StopWave(ctx context.Context, name string) (WaveStatus, error)
	// Dump returns the state of the entry as JSON, without keys and hashes.
	Dump(ctx context.Context) (json.RawMessage, error)
	// Healthy returns nil while the entry can take work.
	Healthy(ctx context.Context) error
	// Metrics serves GET /metrics.
	Metrics() http.Handler
}
