package tmwave

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// Kind is what a Step does.
type Kind int

// The kinds of steps. Mark steps are changes of the State; the others are
// calls to the endpoint.
const (
	// MarkDraining is refused by the State when the budget is used up.
	MarkDraining Kind = iota
	DrainEndpoint
	MarkRebooting
	// RebootEndpoint must be refused by an endpoint that is not draining, has
	// running tasks, or has another boot count than Step.Boots.
	RebootEndpoint
	UndrainEndpoint
	MarkServing
)

var kindNames = [...]string{"mark_draining", "drain", "mark_rebooting", "reboot", "undrain", "mark_serving"}

// String returns the snake_case name.
func (k Kind) String() string {
	if k < 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("kind_%d", int(k))
	}
	return kindNames[k]
}

// Step is one idempotent action of a wave.
type Step struct {
	Kind     Kind
	Instance string
	// Boots is the boot count that the endpoint must have.
	Boots uint64
}

// options switch rules off, as negative controls and for comparison.
type options struct {
	anyZone, anyRack, noBudget, noStop, noCanary, forgetReturn bool
}

// Runner decides the steps of one wave. It holds only timers; a new leader
// starts with an empty Runner, whose timeouts start anew. It is not safe for
// concurrent use.
type Runner struct {
	plan   Plan
	clock  tmclock.Clock
	timers map[string]timer
	opt    options
}

type timer struct {
	phase Phase
	since tmclock.Millis
}

// NewRunner returns a Runner for the plan.
func NewRunner(plan Plan, clock tmclock.Clock) *Runner {
	return &Runner{plan: plan, clock: clock, timers: make(map[string]timer)}
}

// turn is the work of one call of Next.
type turn struct {
	*Runner
	v       View
	p       Progress
	marks   map[string]Mark
	surveys map[string]*survey
	steps   []Step
}

// Next returns the progress to write and then the steps to carry out. The
// configuration in v must have been read from the table service after the last
// write of the wave row: by then no step of an earlier progress can change the
// State any more. Reports of endpoints may be older.
func (r *Runner) Next(p Progress, v View) (Progress, []Step) {
	t := &turn{Runner: r, v: v, p: p, marks: make(map[string]Mark, p.marks.Len())}
	maps.Insert(t.marks, p.marks.All())
	names := p.marks.Keys()
	t.surveys = r.surveys(t.marks, v)
	for _, name := range names {
		t.advance(name)
	}
	t.judgeFailures()
	t.surveys = r.surveys(t.marks, v)
	t.start(names)
	for _, name := range names {
		t.emit(name)
	}
	if !maps.Equal(t.marks, maps.Collect(p.marks.All())) {
		t.p.marks = tmfleet.NewTable(t.marks)
	}
	return t.p, t.steps
}

// elapsed returns how long the instance has been in the phase, as far as this
// Runner has seen it.
func (r *Runner) elapsed(name string, phase Phase) tmclock.Span {
	now := r.clock.Now()
	if old, ok := r.timers[name]; !ok || old.phase != phase {
		r.timers[name] = timer{phase: phase, since: now}
	}
	return now.Sub(r.timers[name].since)
}

// advance moves the mark of one instance by what was observed.
func (t *turn) advance(name string) {
	m := t.marks[name]
	in, ok := t.v.Config.Instances().Get(name)
	// A return to service would undo an operator's mark of a leaving instance.
	leaving := in.Duty() == tmfleet.Leaving && m.Phase != Done
	if !ok || leaving {
		m.Phase = Skipped
		t.marks[name] = m
		return
	}
	e := t.v.Endpoints[name]
	switch m.Phase {
	case Waiting:
		t.advanceWaiting(&m, in, e)
	case Draining:
		t.advanceDraining(&m, in, e)
	case Returning:
		if in.Duty() == tmfleet.Serving && e.State != EndpointDraining {
			m.Phase = Waiting
		}
		if m.Tries >= maxTries && m.Phase == Waiting {
			m.Phase = Skipped
		}
	case Rebooting, Failed:
		t.advanceRebooting(&m, in, e)
	}
	t.marks[name] = m
}

// advanceWaiting skips an instance that is away for other reasons. The timer
// runs only while it is.
func (t *turn) advanceWaiting(m *Mark, in tmfleet.Instance, e Endpoint) {
	if t.v.Config.Usable(in) && e.Live && e.State == EndpointServing {
		delete(t.timers, in.Name())
		return
	}
	if t.elapsed(in.Name(), Waiting) > absentTimeout {
		m.Phase = Skipped
	}
}

func (t *turn) advanceDraining(m *Mark, in tmfleet.Instance, e Endpoint) {
	s := t.surveys[in.Pool()]
	overdrawn := s != nil && s.spare() < 0 && !t.opt.noBudget
	// Another wave may have drained elsewhere since this drain was decided. The
	// State refuses what exceeds a budget, but knows no rule for zones.
	blocked := in.Duty() == tmfleet.Serving && s != nil && !s.fits(in, t.opt)
	late := t.elapsed(in.Name(), Draining) > drainTimeout
	drained := in.Duty() == tmfleet.Draining && e.State == EndpointDraining && e.Running == 0
	switch {
	case overdrawn || blocked || t.p.stopped != "":
		m.Phase = Returning
	case drained || e.Boots > m.Boots:
		m.Phase = Rebooting
	case late:
		m.Phase = Returning
		m.Tries++
	}
}

func (t *turn) advanceRebooting(m *Mark, in tmfleet.Instance, e Endpoint) {
	if e.Boots > m.Boots && e.State == EndpointServing && in.Duty() == tmfleet.Serving {
		m.Phase = Done
		t.p.failedInRow = 0
		return
	}
	// Somebody else returned the instance to service before its reboot, for
	// example another wave that drained it too and gave it up.
	if m.Phase == Rebooting && e.Boots == m.Boots && e.State == EndpointServing && in.Duty() == tmfleet.Serving {
		m.Phase = Returning
		return
	}
	if m.Phase == Rebooting && t.elapsed(in.Name(), Rebooting) > returnTimeout {
		m.Phase = Failed
		t.p.failedInRow++
	}
}

// judgeFailures stops the wave when too many instances did not come back.
func (t *turn) judgeFailures() {
	if t.opt.noStop {
		return
	}
	done, failed := 0, 0
	for _, m := range t.marks {
		switch m.Phase {
		case Done:
			done++
		case Failed:
			failed++
		}
	}
	if t.p.failedInRow >= maxFailedInRow {
		t.p = t.p.Stop(fmt.Sprintf("%d instances in a row did not come back", t.p.failedInRow))
	}
	if failed >= maxFailedInRow && float64(failed) > maxFailedPart*float64(done+failed) {
		t.p = t.p.Stop(fmt.Sprintf("%d of %d instances did not come back", failed, done+failed))
	}
}

// start marks further instances for draining.
func (t *turn) start(names []string) {
	if t.p.stopped != "" {
		return
	}
	limit := t.inFlightLimit()
	for _, name := range t.ordered(names) {
		if limit <= 0 {
			return
		}
		in, _ := t.v.Config.Instances().Get(name)
		s := t.surveys[in.Pool()]
		if !t.mayDrain(in, s) {
			continue
		}
		m := t.marks[name]
		m.Phase = Draining
		m.Boots = t.v.Endpoints[name].Boots
		t.marks[name] = m
		s.unavailable++
		s.zones[in.Zone()]++
		s.racks[in.Zone()+"/"+in.Rack()]++
		limit--
	}
}

// inFlightLimit returns how many further instances may leave service. Until
// the canaries are back, only they do.
func (t *turn) inFlightLimit() int {
	done, active := 0, 0
	for _, m := range t.marks {
		if m.Phase == Done {
			done++
		}
		if m.Phase.active() {
			active++
		}
	}
	if done >= t.plan.canaries() || t.opt.noCanary {
		return len(t.marks)
	}
	return t.plan.canaries() - active
}

// ordered returns the waiting instances, pools with the most cycles left
// first, since they decide when the wave ends. Within a pool the order by zone
// and rack keeps a rack's instances together.
func (t *turn) ordered(names []string) []string {
	type candidate struct {
		name, place string
		cycles      float64
	}
	var all []candidate
	for _, name := range names {
		in, ok := t.v.Config.Instances().Get(name)
		s := t.surveys[in.Pool()]
		if !ok || s == nil || t.marks[name].Phase != Waiting {
			continue
		}
		all = append(all, candidate{
			name:   name,
			place:  in.Zone() + "/" + in.Rack(),
			cycles: float64(s.waiting) / float64(max(s.budget, 1)),
		})
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.cycles, a.cycles), cmp.Compare(a.place, b.place))
	})
	out := make([]string, len(all))
	for i, c := range all {
		out[i] = c.name
	}
	return out
}

func (t *turn) mayDrain(in tmfleet.Instance, s *survey) bool {
	e := t.v.Endpoints[in.Name()]
	if !t.v.Config.Usable(in) || !e.Live || e.State != EndpointServing {
		return false
	}
	if s.zoneOut || !s.fits(in, t.opt) {
		return false
	}
	if s.spare() <= 0 && !t.opt.noBudget {
		return false
	}
	return !t.waitsForTrough(in.Pool(), s)
}

// waitsForTrough reports whether the pool is busy and there is time to wait:
// the rest of the wave, lengthened by a half, ends before the deadline.
func (t *turn) waitsForTrough(pool string, s *survey) bool {
	trough, known := t.v.Trough[pool]
	if !known || t.plan.deadline == 0 || t.v.Load[pool] <= trough {
		return false
	}
	cycles := (s.waiting + s.budget - 1) / max(s.budget, 1)
	rest := tmclock.Span(cycles) * t.plan.cycle * 3 / 2
	return t.v.Wall.Add(rest).Before(t.plan.deadline)
}
