package tmentry

import (
	"context"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmfresh"
	"turmericmoor/io/tmoperator"
	"turmericmoor/io/tmwaves"
)

// waveHost is the entry as the leader of waves sees it.
type waveHost struct {
	e *Entry
}

// newWaves makes the parts that lead waves and finish moves.
func (e *Entry) newWaves() {
	parts := tmwaves.Dependencies{
		Host:      waveHost{e},
		Store:     e.store,
		Endpoints: e.endpoints,
		Clock:     e.clock,
		Log:       e.log,
	}
	if e.opts.wrapWaves != nil {
		parts = e.opts.wrapWaves(parts)
	}
	e.waves = tmwaves.NewCoordinator(parts)
	e.moves = tmwaves.NewMover(parts, e.writeMove)
}

// writeMove stores a change that finishes a move.
func (e *Entry) writeMove(ctx context.Context, req tmoperator.ChangeRequest) error {
	if _, err := e.writeChange(ctx, req); err != nil {
		return err
	}
	waveHost{e}.PushState()
	return nil
}

// Incarnation implements tmwaves.Host.
func (h waveHost) Incarnation() string { return h.e.self.Incarnation() }

// MayLead implements tmwaves.Host. Without the platform's list every instance
// would count as live.
func (h waveHost) MayLead() bool {
	member := h.e.tracker.State().Members().Has(h.e.self.Incarnation())
	return member && h.e.Ready() && h.e.tables.listKnown()
}

// State implements tmwaves.Host.
func (h waveHost) State() tmfleet.State { return h.e.tracker.State() }

// ReadState implements tmwaves.Host.
func (h waveHost) ReadState(ctx context.Context) (tmfleet.State, uint64, error) {
	return h.e.members.read(ctx)
}

// Live implements tmwaves.Host.
func (h waveHost) Live() tmchange.Liveness { return h.e.tables.liveness() }

// Apply implements tmwaves.Host.
func (h waveHost) Apply(state tmfleet.State, changes []tmchange.Change) (tmfleet.Config, error) {
	return tmchange.Apply(state, h.e.tables.liveness(), changes)
}

// Install implements tmwaves.Host.
func (h waveHost) Install(state tmfleet.State) { h.e.install(state) }

// InForce implements tmwaves.Host.
func (h waveHost) InForce(version uint64) bool { return h.e.tracker.InForceVersion() >= version }

// PushState implements tmwaves.Host. One goroutine pushes at a time. It is called
// from loops only, so that Close waits for it.
func (h waveHost) PushState() {
	e := h.e
	if !e.spreading.CompareAndSwap(false, true) {
		return
	}
	e.loops.Go(func() {
		defer e.spreading.Store(false)
		ctx, cancel := context.WithTimeout(e.ctx, tmfresh.ConfirmTimeout.Duration())
		defer cancel()
		e.confirm(ctx, e.tracker.State().Version())
	})
}

// listKnown reports whether the platform's list was read.
func (t *tables) listKnown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.list.known
}

// StartWave implements tmoperator.Backend.
func (e *Entry) StartWave(ctx context.Context, req tmoperator.WaveRequest) (tmoperator.WaveStatus, error) {
	return e.waves.Start(ctx, req)
}

// Wave implements tmoperator.Backend.
func (e *Entry) Wave(ctx context.Context, name string) (tmoperator.WaveStatus, error) {
	return e.waves.Wave(ctx, name)
}

// Waves implements tmoperator.Backend.
func (e *Entry) Waves(ctx context.Context) ([]tmoperator.WaveStatus, error) {
	return e.waves.Waves(ctx)
}

// StopWave implements tmoperator.Backend.
func (e *Entry) StopWave(ctx context.Context, name string) (tmoperator.WaveStatus, error) {
	return e.waves.Stop(ctx, name)
}
