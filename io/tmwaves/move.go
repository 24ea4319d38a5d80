package tmwaves

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmfresh"
	"turmericmoor/io/tmoperator"
)

// nonceExpiry is the time after a version came into force from which no endpoint
// can accept a task start permitted by an earlier version. The nonce of such a
// start was issued before the version was installed and has expired by then.
const nonceExpiry = tmfresh.LeaseDuration + tmfresh.LeaseDuration*tmfresh.MaxClockDriftPercent/100 + tmclock.Millisecond

// MoveInterval is the interval at which the caller has to call Mover.Step.
const MoveInterval = 250 * tmclock.Millisecond

// ChangeWriter stores a change in the same way as a change requested by an
// operator. An error that matches *tmoperator.ConflictError or
// *tmchange.InvalidError means that nothing was written.
type ChangeWriter func(ctx context.Context, req tmoperator.ChangeRequest) error

// Mover completes moves of instances between pools. One member is responsible
// for each instance.
//
// A move is completed only if the version of the State that was checked is still
// the current one. If it is not, an operator may have ended the move and started
// another one, and between the two moves the instance could get tasks.
type Mover struct {
	Dependencies
	write ChangeWriter

	mu      sync.Mutex
	version uint64
	moves   map[string]move
}

// move is a pending move as observed by a Mover. All moves are discarded when a
// version was missed: the missed version may have ended a move, and the move seen
// now may be a new one.
type move struct {
	to string
	// firstVersion is the first observed version that has the move.
	firstVersion uint64
	// inForceSince is when firstVersion was first seen to be in force, or 0.
	inForceSince tmclock.Millis
}

// NewMover returns a Mover that calls write to store completed moves.
func NewMover(deps Dependencies, write ChangeWriter) *Mover {
	return &Mover{Dependencies: deps, write: write, moves: map[string]move{}}
}

// Observe records the pending moves of a State. The entry calls it with each
// State that it installs.
func (m *Mover) Observe(state tmfleet.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if state.Version() <= m.version {
		return
	}
	if state.Version() != m.version+1 {
		clear(m.moves)
	}
	m.version = state.Version()
	for name := range m.moves {
		if in, ok := state.Config().Instances().Get(name); !ok || in.MoveTo() != m.moves[name].to {
			delete(m.moves, name)
		}
	}
	for name, in := range state.Config().Instances().All() {
		if _, known := m.moves[name]; !known && in.MoveTo() != "" {
			m.moves[name] = move{to: in.MoveTo(), firstVersion: state.Version()}
		}
	}
}

// Step completes the moves that are ready and for which this entry is
// responsible.
func (m *Mover) Step(ctx context.Context) {
	if !m.Host.MayLead() {
		return
	}
	state := m.Host.State()
	members := state.Members().Keys()
	for _, name := range m.quiesced(state.Version()) {
		if tmfleet.Owner("move/"+name, members) == m.Host.Incarnation() {
			m.finish(ctx, state, name)
		}
	}
}

// quiesced returns the moving instances that can't get another task at the given
// version of the State. It returns nil if another version was observed last.
func (m *Mover) quiesced(version uint64) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != m.version {
		return nil
	}
	now := m.Clock.Now()
	var names []string
	for name, mv := range m.moves {
		if mv.inForceSince == 0 && m.Host.InForce(mv.firstVersion) {
			mv.inForceSince = now
			m.moves[name] = mv
		}
		if mv.inForceSince != 0 && now.Sub(mv.inForceSince) > nonceExpiry {
			names = append(names, name)
		}
	}
	return names
}

// finish writes the new pool if the endpoint runs no task. The change id is
// derived from the version that was checked, so that a retry after a lost
// response is recognized as the same change.
func (m *Mover) finish(ctx context.Context, state tmfleet.State, name string) {
	in, ok := state.Config().Instances().Get(name)
	if !ok || in.MoveTo() == "" {
		return
	}
	report, err := m.Endpoints.State(ctx, in.Address())
	if err != nil || report.Running > 0 {
		return
	}
	err = m.write(ctx, tmoperator.ChangeRequest{
		ID:          fmt.Sprintf("finish-move-%s-%s-%d", name, in.MoveTo(), state.Version()),
		BaseVersion: state.Version(),
		Changes:     []tmchange.Change{tmchange.FinishMove{Name: name}},
	})
	var conflict *tmoperator.ConflictError
	switch {
	case err == nil:
		m.Log.Info("move finished", "instance", name, "pool", in.MoveTo())
	case !errors.As(err, &conflict):
		m.Log.Warn("can't finish move", "instance", name, "pool", in.MoveTo(), "error", err)
	}
}
