package tmwave

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// StepKind is the action of a Step.
type StepKind int

// The kinds of steps. Steps named Mark change the duty of an instance in the
// State; the others are calls to its endpoint.
const (
	// MarkDraining is refused by the State when the pool's budget is exhausted.
	MarkDraining StepKind = iota
	DrainEndpoint
	MarkRebooting
	// RebootEndpoint must be refused by an endpoint that is not draining, has
	// running tasks, or whose boot count differs from Step.Boots.
	RebootEndpoint
	UndrainEndpoint
	MarkServing
)

var stepKindNames = [...]string{"mark_draining", "drain", "mark_rebooting", "reboot", "undrain", "mark_serving"}

// String returns the snake_case name.
func (k StepKind) String() string {
	if k < 0 || int(k) >= len(stepKindNames) {
		return fmt.Sprintf("kind_%d", int(k))
	}
	return stepKindNames[k]
}

// Step is one idempotent action of a wave.
type Step struct {
	Kind     StepKind
	Instance string
	// Boots is the boot count that the endpoint must have for the step to apply.
	Boots uint64
}

// options disable single rules, for negative controls and comparisons.
type options struct {
	anyZone, anyRack, noBudget, noStop, noCanary, noReturn bool
}

// Runner computes the steps of one wave. Its only state is when it first observed
// each instance in its current phase. A new leader starts with an empty Runner, so
// its timeouts start over. Runner is not safe for concurrent use.
type Runner struct {
	plan        Plan
	clock       tmclock.Clock
	phaseStarts map[string]phaseStart
	opt         options
}

// phaseStart is a phase of an instance and when a Runner first observed it.
type phaseStart struct {
	phase Phase
	since tmclock.Millis
}

// NewRunner returns a Runner for the plan.
func NewRunner(plan Plan, clock tmclock.Clock) *Runner {
	return &Runner{plan: plan, clock: clock, phaseStarts: make(map[string]phaseStart)}
}

// round holds the working state of one call of Next.
type round struct {
	*Runner
	view       View
	progress   Progress
	instances  map[string]InstanceProgress
	poolStates map[string]*poolState
	steps      []Step
}

// Next returns the progress to write and the steps to carry out after that
// write. The configuration in view must have been read from the table service
// after the last write of the wave row, because after that write no step of an
// earlier progress can change the State. Endpoint reports may be older.
func (r *Runner) Next(progress Progress, view View) (Progress, []Step) {
	t := &round{Runner: r, view: view, progress: progress, instances: make(map[string]InstanceProgress, progress.instances.Len())}
	maps.Insert(t.instances, progress.instances.All())
	names := progress.instances.Keys()
	t.poolStates = r.poolStates(t.instances, view)
	for _, name := range names {
		t.advance(name)
	}
	t.stopOnFailures()
	t.poolStates = r.poolStates(t.instances, view)
	t.startDrains(names)
	for _, name := range names {
		t.emit(name)
	}
	if !maps.Equal(t.instances, maps.Collect(progress.instances.All())) {
		t.progress.instances = tmfleet.NewTable(t.instances)
	}
	return t.progress, t.steps
}

// timeInPhase returns how long this Runner has observed the instance in the
// phase, which is 0 on the first observation.
func (r *Runner) timeInPhase(name string, phase Phase) tmclock.Span {
	now := r.clock.Now()
	if old, ok := r.phaseStarts[name]; !ok || old.phase != phase {
		r.phaseStarts[name] = phaseStart{phase: phase, since: now}
	}
	return now.Sub(r.phaseStarts[name].since)
}

// advance updates the phase of one instance from the observed state.
func (t *round) advance(name string) {
	m := t.instances[name]
	in, ok := t.view.Config.Instances().Get(name)
	// Returning a leaving instance to service would undo an operator's change.
	leaving := in.Duty() == tmfleet.Leaving && m.Phase != Done
	if !ok || leaving {
		m.Phase = Skipped
		t.instances[name] = m
		return
	}
	e := t.view.Endpoints[name]
	switch m.Phase {
	case Waiting:
		t.advanceWaiting(&m, in, e)
	case Draining:
		t.advanceDraining(&m, in, e)
	case Returning:
		if in.Duty() == tmfleet.Serving && e.State != EndpointDraining {
			m.Phase = Waiting
		}
		if m.Tries >= maxDrainAttempts && m.Phase == Waiting {
			m.Phase = Skipped
		}
	case Rebooting, Failed:
		t.advanceRebooting(&m, in, e)
	}
	t.instances[name] = m
}

// advanceWaiting skips an instance that has been unavailable for longer than
// unavailableTimeout for a reason other than this wave.
func (t *round) advanceWaiting(m *InstanceProgress, in tmfleet.Instance, e Endpoint) {
	if t.view.Config.Usable(in) && e.Live && e.State == EndpointServing {
		delete(t.phaseStarts, in.Name())
		return
	}
	if t.timeInPhase(in.Name(), Waiting) > unavailableTimeout {
		m.Phase = Skipped
	}
}

func (t *round) advanceDraining(m *InstanceProgress, in tmfleet.Instance, e Endpoint) {
	s := t.poolStates[in.Pool()]
	overBudget := s != nil && s.budgetLeft() < 0 && !t.opt.noBudget
	// Another wave may have drained in a different zone or rack since this drain
	// was decided. The State enforces budgets, but has no rule for zones.
	blocked := in.Duty() == tmfleet.Serving && s != nil && !s.inOneFailureDomain(in, t.opt)
	late := t.timeInPhase(in.Name(), Draining) > drainTimeout
	drained := in.Duty() == tmfleet.Draining && e.State == EndpointDraining && e.Running == 0
	switch {
	case overBudget || blocked || t.progress.stopped != "":
		m.Phase = Returning
	case drained || e.Boots > m.Boots:
		m.Phase = Rebooting
	case late:
		m.Phase = Returning
		m.Tries++
	}
}

func (t *round) advanceRebooting(m *InstanceProgress, in tmfleet.Instance, e Endpoint) {
	if e.Boots > m.Boots && e.State == EndpointServing && in.Duty() == tmfleet.Serving {
		m.Phase = Done
		t.progress.failedInRow = 0
		return
	}
	// The instance was returned to service before its reboot, for example by
	// another wave that had drained it too and gave up on it.
	if m.Phase == Rebooting && e.Boots == m.Boots && e.State == EndpointServing && in.Duty() == tmfleet.Serving {
		m.Phase = Returning
		return
	}
	if m.Phase == Rebooting && t.timeInPhase(in.Name(), Rebooting) > rebootTimeout {
		m.Phase = Failed
		t.progress.failedInRow++
	}
}

// stopOnFailures stops the wave when too many instances failed to return to
// service.
func (t *round) stopOnFailures() {
	if t.opt.noStop {
		return
	}
	done, failed := 0, 0
	for _, m := range t.instances {
		switch m.Phase {
		case Done:
			done++
		case Failed:
			failed++
		}
	}
	if t.progress.failedInRow >= maxFailedInRow {
		t.progress = t.progress.Stop(fmt.Sprintf("%d instances in a row did not come back", t.progress.failedInRow))
	}
	if failed >= maxFailedInRow && float64(failed) > maxFailedFraction*float64(done+failed) {
		t.progress = t.progress.Stop(fmt.Sprintf("%d of %d instances did not come back", failed, done+failed))
	}
}

// startDrains moves waiting instances to Draining as far as budgets, failure
// domains and canaries permit.
func (t *round) startDrains(names []string) {
	if t.progress.stopped != "" {
		return
	}
	limit := t.inFlightLimit()
	for _, name := range t.drainOrder(names) {
		if limit <= 0 {
			return
		}
		in, _ := t.view.Config.Instances().Get(name)
		s := t.poolStates[in.Pool()]
		if !t.canDrain(in, s) {
			continue
		}
		m := t.instances[name]
		m.Phase = Draining
		m.Boots = t.view.Endpoints[name].Boots
		t.instances[name] = m
		s.unavailable++
		s.plannedByZone[in.Zone()]++
		s.plannedByRack[in.Zone()+"/"+in.Rack()]++
		limit--
	}
}

// inFlightLimit returns how many more instances may leave service. Until enough
// canaries are back in service, only canaries may leave.
func (t *round) inFlightLimit() int {
	done, active := 0, 0
	for _, m := range t.instances {
		if m.Phase == Done {
			done++
		}
		if m.Phase.active() {
			active++
		}
	}
	if done >= t.plan.canaries() || t.opt.noCanary {
		return len(t.instances)
	}
	return t.plan.canaries() - active
}

// drainOrder returns the waiting instances in the order in which to drain them.
// Pools with the most remaining cycles come first, because they determine when
// the wave ends. Sorting by zone and rack within a pool keeps the instances of a
// rack together.
func (t *round) drainOrder(names []string) []string {
	type candidate struct {
		name, location string
		cycles         float64
	}
	var all []candidate
	for _, name := range names {
		in, ok := t.view.Config.Instances().Get(name)
		s := t.poolStates[in.Pool()]
		if !ok || s == nil || t.instances[name].Phase != Waiting {
			continue
		}
		all = append(all, candidate{
			name:     name,
			location: in.Zone() + "/" + in.Rack(),
			cycles:   float64(s.waiting) / float64(max(s.budget, 1)),
		})
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.cycles, a.cycles), cmp.Compare(a.location, b.location))
	})
	out := make([]string, len(all))
	for i, c := range all {
		out[i] = c.name
	}
	return out
}

func (t *round) canDrain(in tmfleet.Instance, s *poolState) bool {
	e := t.view.Endpoints[in.Name()]
	if !t.view.Config.Usable(in) || !e.Live || e.State != EndpointServing {
		return false
	}
	if s.zoneOut || !s.inOneFailureDomain(in, t.opt) {
		return false
	}
	if s.budgetLeft() <= 0 && !t.opt.noBudget {
		return false
	}
	return !t.waitsForOffPeak(in.Pool(), s)
}

// waitsForOffPeak reports whether the pool is above its off-peak load and there is
// time to wait: 1.5 times the estimated time for the rest of the pool is less than
// the time until the deadline.
func (t *round) waitsForOffPeak(pool string, s *poolState) bool {
	offPeak, known := t.view.OffPeak[pool]
	if !known || t.plan.deadline == 0 || t.view.Load[pool] <= offPeak {
		return false
	}
	cycles := (s.waiting + s.budget - 1) / max(s.budget, 1)
	remaining := tmclock.Span(cycles) * t.plan.cycle * 3 / 2
	return t.view.Wall.Add(remaining).Before(t.plan.deadline)
}
