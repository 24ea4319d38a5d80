package tmentry

import (
	"sync/atomic"

	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/io/tmwaves"
)

// Mechanism identifies a mechanism that a negative control disables.
type Mechanism int

const (
	// The mechanisms, as documented at the type mechanisms.
	Freshness Mechanism = iota
	Confirmation
	Slices
	List
	RecordOfRuns
)

// Disable switches a mechanism off.
func (e *Entry) Disable(m Mechanism) {
	flags := map[Mechanism]*atomic.Bool{
		Freshness:    &e.disabled.freshness,
		Confirmation: &e.disabled.confirmation,
		Slices:       &e.disabled.slices,
		List:         &e.disabled.list,
		RecordOfRuns: &e.disabled.record,
	}
	flags[m].Store(true)
}

// Kill ends the entry as a crash does: it neither leaves the members nor
// releases leases and slices.
func (e *Entry) Kill() {
	e.tables.stop()
	e.platform.Close()
	e.cancel()
	_ = e.node.Close()
	e.tables.close()
	e.loops.Wait()
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	for _, j := range e.tables.jobs {
		e.tables.finishLocked(j, result{fail: tmrequest.NewError(tmrequest.AnswerLost, tmonce.Unknown, "the entry was killed")})
	}
}

// WrapWaves replaces the dependencies of waves and moves, so that negative
// controls can disable their checks.
func (o *Options) WrapWaves(wrap func(tmwaves.Dependencies) tmwaves.Dependencies) {
	o.wrapWaves = wrap
}
