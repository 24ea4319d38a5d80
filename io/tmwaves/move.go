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

// nonceGone is how long after a version is in force no start of a task that
// was permitted by an earlier version can reach an endpoint: its nonce was
// issued before the version was installed and has expired.
const nonceGone = tmfresh.LeaseDuration + tmfresh.LeaseDuration*tmfresh.MaxClockDriftPercent/100 + tmclock.Millisecond

// MoveEvery is the interval at which Mover.Step is to be called.
const MoveEvery = 250 * tmclock.Millisecond

// ChangeWriter stores a change as for an operator. An error that matches
// *tmoperator.ConflictError or *tmchange.InvalidError means that nothing was
// written.
type ChangeWriter func(ctx context.Context, req tmoperator.ChangeRequest) error

// Mover finishes moves between pools. One member is responsible for each
// instance.
//
// A move is finished only on the version of the State that was checked: an
// operator may have ended the move meanwhile and started another one, during
// which tasks were permitted.
type Mover struct {
	Parts
	write ChangeWriter

	mu      sync.Mutex
	version uint64
	moves   map[string]move
}

// move is what a Mover has seen of one move. It is forgotten when a version
// was missed, since the move may have been another one there.
type move struct {
	to string
	// first is the version at which the move was first seen.
	first uint64
	// inForce is when that version was first seen to be in force, or 0.
	inForce tmclock.Millis
}

// NewMover returns a Mover.
func NewMover(parts Parts, write ChangeWriter) *Mover {
	return &Mover{Parts: parts, write: write, moves: map[string]move{}}
}

// Observe takes each State that the entry installs.
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
			m.moves[name] = move{to: in.MoveTo(), first: state.Version()}
		}
	}
}

// Step finishes the moves that are due at this entry.
func (m *Mover) Step(ctx context.Context) {
	if !m.Host.MayLead() {
		return
	}
	state := m.Host.State()
	members := state.Members().Keys()
	for _, name := range m.drained(state.Version()) {
		if tmfleet.Owner("move/"+name, members) == m.Host.Incarnation() {
			m.finish(ctx, state, name)
		}
	}
}

// drained returns the moves whose instances get no new task any more at the
// given version.
func (m *Mover) drained(version uint64) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if version != m.version {
		return nil
	}
	now := m.Clock.Now()
	var names []string
	for name, mv := range m.moves {
		if mv.inForce == 0 && m.Host.InForce(mv.first) {
			mv.inForce = now
			m.moves[name] = mv
		}
		if mv.inForce != 0 && now.Sub(mv.inForce) > nonceGone {
			names = append(names, name)
		}
	}
	return names
}

// finish writes the new pool if the endpoint runs no task. The change id
// follows from the version that was checked, so a write whose answer was lost
// is recognised.
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
		m.Log.Warn("move not finished", "instance", name, "pool", in.MoveTo(), "error", err)
	}
}
