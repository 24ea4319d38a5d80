package tmentry

import (
	"sync/atomic"

	"turmericmoor/core/tmonce"
	"turmericmoor/core/tmrequest"
	"turmericmoor/io/tmwaves"
)

// Mechanism is one that a negative control switches off.
type Mechanism int

const (
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

// Kill ends the entry without any farewell to others, as a crash does.
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

// WrapWaves replaces the parts that lead waves and finish moves, so that
// negative controls can switch their checks off.
func (o *Options) WrapWaves(wrap func(tmwaves.Dependencies) tmwaves.Dependencies) {
	o.wrapWaves = wrap
}
