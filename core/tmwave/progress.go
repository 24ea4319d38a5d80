package tmwave

import (
	"fmt"
	"maps"

	"turmericmoor/core/tmfleet"
)

// Phase says how far one instance has come in a wave.
type Phase int

// The phases of an instance. Done, Failed and Skipped are final, but a Failed
// instance that serves again later still becomes Done.
const (
	Waiting Phase = iota
	Draining
	// Returning means that the instance goes back to service without a reboot.
	Returning
	Rebooting
	Done
	// Failed means that the instance did not come back after its reboot.
	Failed
	// Skipped means that the instance is gone or could not be drained.
	Skipped
)

var phaseNames = [...]string{"waiting", "draining", "returning", "rebooting", "done", "failed", "skipped"}

// String returns the snake_case name.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return fmt.Sprintf("phase_%d", int(p))
	}
	return phaseNames[p]
}

// ParsePhase returns the Phase with the given name.
func ParsePhase(name string) (Phase, error) {
	for i, n := range phaseNames {
		if n == name {
			return Phase(i), nil
		}
	}
	return 0, fmt.Errorf("tmwave: unknown phase %q, expected one of %v", name, phaseNames)
}

// active reports whether the wave keeps the instance out of service.
func (p Phase) active() bool {
	return p == Draining || p == Returning || p == Rebooting
}

// Mark is the progress of one instance.
type Mark struct {
	Phase Phase
	// Boots is the endpoint's boot count before the reboot.
	Boots uint64
	// Tries counts drains that were given up.
	Tries int
}

// Progress is what a new leader needs in order to go on with a wave. For 740
// instances its JSON form is about 50 KB, so it fits into one table row.
type Progress struct {
	marks       tmfleet.Table[string, Mark]
	failedInRow int
	stopped     string
}

// NewProgress returns the Progress of a wave that has not started.
func NewProgress(plan Plan) Progress {
	marks := make(map[string]Mark, len(plan.instances))
	for _, name := range plan.instances {
		marks[name] = Mark{}
	}
	return Progress{marks: tmfleet.NewTable(marks)}
}

// RestoreProgress returns a Progress as it is read from a codec.
func RestoreProgress(marks tmfleet.Table[string, Mark], failedInRow int, stopped string) Progress {
	return Progress{marks: marks, failedInRow: failedInRow, stopped: stopped}
}

// Marks returns the progress of each instance by name.
func (p Progress) Marks() tmfleet.Table[string, Mark] { return p.marks }

// FailedInRow returns how many instances in a row did not come back.
func (p Progress) FailedInRow() int { return p.failedInRow }

// Stopped returns why the wave drains no further instance, or "".
func (p Progress) Stopped() string { return p.stopped }

// Stop returns a copy of p that drains no further instance and returns to
// service those that have not yet started to reboot.
func (p Progress) Stop(reason string) Progress {
	if p.stopped == "" {
		p.stopped = reason
	}
	return p
}

// Served returns a copy of p in which the instances have been returned to
// service. It is written in the transaction that marks them as serving: if the
// row followed later, another wave could drain an instance in between, and
// this one would return it to service again and again.
func (p Progress) Served(names []string) Progress {
	marks := maps.Collect(p.marks.All())
	for _, name := range names {
		m, ok := marks[name]
		switch {
		case !ok:
			continue
		case m.Phase == Rebooting || m.Phase == Failed:
			m.Phase = Done
			p.failedInRow = 0
		case m.Phase == Returning && m.Tries >= maxTries:
			m.Phase = Skipped
		case m.Phase == Returning:
			m.Phase = Waiting
		}
		marks[name] = m
	}
	p.marks = tmfleet.NewTable(marks)
	return p
}

// Count returns how many instances are in the phase.
func (p Progress) Count(phase Phase) int {
	n := 0
	for _, m := range p.marks.All() {
		if m.Phase == phase {
			n++
		}
	}
	return n
}

// Ended reports whether the wave has nothing more to do.
func (p Progress) Ended() bool {
	for _, m := range p.marks.All() {
		if m.Phase.active() || (m.Phase == Waiting && p.stopped == "") {
			return false
		}
	}
	return true
}

// Equal reports whether p and q need no new write of the row.
func (p Progress) Equal(q Progress) bool {
	if p.stopped != q.stopped || p.failedInRow != q.failedInRow || p.marks.Len() != q.marks.Len() {
		return false
	}
	for name, m := range p.marks.All() {
		if other, ok := q.marks.Get(name); !ok || other != m {
			return false
		}
	}
	return true
}
