package tmwave

import (
	"fmt"
	"maps"

	"turmericmoor/core/tmfleet"
)

// Phase is the phase of one instance in a wave.
type Phase int

// The phases of an instance. Done, Failed and Skipped are final, except that a
// Failed instance becomes Done if it serves again later.
const (
	Waiting Phase = iota
	Draining
	// Returning means that the instance returns to service without a reboot.
	Returning
	Rebooting
	Done
	// Failed means that the instance did not serve again within rebootTimeout.
	Failed
	// Skipped means that the instance was removed, is leaving, was unavailable
	// for too long, or could not be drained.
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

// active reports whether the wave holds the instance out of service.
func (p Phase) active() bool {
	return p == Draining || p == Returning || p == Rebooting
}

// InstanceProgress is the progress of one instance.
type InstanceProgress struct {
	Phase Phase
	// Boots is the endpoint's boot count before the reboot.
	Boots uint64
	// Tries is the number of drains that timed out.
	Tries int
}

// Progress is the persisted state of a wave, from which a new leader continues.
// For 740 instances its JSON form is about 50 KB, so it fits into one table row.
type Progress struct {
	instances   tmfleet.Table[string, InstanceProgress]
	failedInRow int
	stopped     string
}

// NewProgress returns the Progress of a wave that has not started.
func NewProgress(plan Plan) Progress {
	instances := make(map[string]InstanceProgress, len(plan.instances))
	for _, name := range plan.instances {
		instances[name] = InstanceProgress{}
	}
	return Progress{instances: tmfleet.NewTable(instances)}
}

// RestoreProgress returns a Progress with the given fields, for decoders of
// stored data.
func RestoreProgress(instances tmfleet.Table[string, InstanceProgress], failedInRow int, stopped string) Progress {
	return Progress{instances: instances, failedInRow: failedInRow, stopped: stopped}
}

// ByInstance returns the progress of each instance by name.
func (p Progress) ByInstance() tmfleet.Table[string, InstanceProgress] { return p.instances }

// FailedInRow returns the number of consecutive failed instances.
func (p Progress) FailedInRow() int { return p.failedInRow }

// Stopped returns the reason for which the wave was stopped, or "".
func (p Progress) Stopped() string { return p.stopped }

// Stop returns a copy of p that drains no further instances and returns to
// service those that have not started to reboot. The first reason is kept.
func (p Progress) Stop(reason string) Progress {
	if p.stopped == "" {
		p.stopped = reason
	}
	return p
}

// WithServing returns a copy of p in which the instances are back in service.
// The copy must be written in the same transaction that marks the instances as
// serving. If it were written later, another wave could drain an instance in
// between, and this wave would return that instance to service repeatedly.
func (p Progress) WithServing(names []string) Progress {
	instances := maps.Collect(p.instances.All())
	for _, name := range names {
		m, ok := instances[name]
		switch {
		case !ok:
			continue
		case m.Phase == Rebooting || m.Phase == Failed:
			m.Phase = Done
			p.failedInRow = 0
		case m.Phase == Returning && m.Tries >= maxDrainAttempts:
			m.Phase = Skipped
		case m.Phase == Returning:
			m.Phase = Waiting
		}
		instances[name] = m
	}
	p.instances = tmfleet.NewTable(instances)
	return p
}

// Count returns how many instances are in the phase.
func (p Progress) Count(phase Phase) int {
	n := 0
	for _, m := range p.instances.All() {
		if m.Phase == phase {
			n++
		}
	}
	return n
}

// Ended reports whether no instance is out of service for the wave and none
// remains to be drained.
func (p Progress) Ended() bool {
	for _, m := range p.instances.All() {
		if m.Phase.active() || (m.Phase == Waiting && p.stopped == "") {
			return false
		}
	}
	return true
}

// Equal reports whether p and q are equal, so that the wave row need not be
// written.
func (p Progress) Equal(q Progress) bool {
	if p.stopped != q.stopped || p.failedInRow != q.failedInRow || p.instances.Len() != q.instances.Len() {
		return false
	}
	for name, m := range p.instances.All() {
		if other, ok := q.instances.Get(name); !ok || other != m {
			return false
		}
	}
	return true
}
