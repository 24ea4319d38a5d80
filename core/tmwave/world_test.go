package tmwave

import (
	"fmt"
	"math/rand/v2"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// controls switches rules of the planner, the State and the endpoints off.
type controls struct {
	opt                                  options
	noStateBudget, noRowCheck, noPrecond bool
	// badUpdate keeps every rebooted instance from coming back.
	badUpdate, calm bool
}

// machine is the true state of one endpoint.
type machine struct {
	dead    bool
	state   EndpointState
	running int
	boots   uint64
	back    tmclock.Millis
}

type waveRow struct {
	rev   uint64
	lease Lease
	p     Progress
}

type sentStep struct {
	Step
	row uint64
}

// world is three entries that may all take themselves for the leader, the
// State, the wave row, and the endpoints. Steps may be lost, doubled or late.
type world struct {
	*rand.Rand
	c        controls
	clock    *tmclock.Manual
	cfg      tmfleet.Config
	row      waveRow
	plan     Plan
	entries  []*entry
	machines map[string]*machine
	old      map[string]Endpoint
	sent     []sentStep
	err      error
}

type entry struct {
	name   string
	n      int
	leader *Leader
	runner *Runner
	// paused entries keep a decision that they write and send later.
	paused []sentStep
}

func newWorld(seed uint64, c controls, pools, perPool, zones, budget int) *world {
	w := &world{
		Rand: rand.New(rand.NewPCG(seed, 2)), c: c, clock: tmclock.NewManual(1),
		machines: map[string]*machine{},
	}
	zt, pt, it := map[string]tmfleet.Zone{}, map[string]tmfleet.Pool{}, map[string]tmfleet.Instance{}
	for z := range zones {
		zt[fmt.Sprint("z", z)] = tmfleet.NewZone(fmt.Sprint("z", z), "r", false)
	}
	for p := range pools {
		pool := fmt.Sprint("p", p)
		pt[pool] = tmfleet.NewPool(pool, tmfleet.NewBudget(budget))
		for i := range perPool {
			name := fmt.Sprintf("%s-%02d", pool, i)
			zone := fmt.Sprint("z", i%zones)
			rack := fmt.Sprint("rack", i/zones/2)
			it[name] = tmfleet.NewInstance(tmfleet.InstanceParams{Name: name, Zone: zone, Rack: rack, Pool: pool, Slots: 8})
			w.machines[name] = &machine{state: EndpointServing, boots: 1}
		}
	}
	w.cfg = w.cfg.WithZones(tmfleet.NewTable(zt)).WithPools(tmfleet.NewTable(pt)).WithInstances(tmfleet.NewTable(it))
	plan, err := NewPlan(w.cfg, PlanParams{Cycle: tmclock.Minute})
	if err != nil {
		w.err = err
	}
	w.plan = plan
	w.row.p = NewProgress(plan)
	for i := range 3 {
		w.entries = append(w.entries, &entry{n: i})
		w.restart(w.entries[i])
	}
	w.old = w.reports()
	return w
}

func (w *world) restart(e *entry) {
	e.n += 3
	e.name = fmt.Sprint("e", e.n)
	e.leader = NewLeader(e.name, w.clock)
	e.runner = NewRunner(w.plan, w.clock)
	e.runner.opt = w.c.opt
	e.paused = nil
}

func (w *world) reports() map[string]Endpoint {
	out := map[string]Endpoint{}
	for name, m := range w.machines {
		e := Endpoint{Live: !m.dead, State: m.state, Running: m.running, Boots: m.boots}
		if m.dead || m.state == EndpointRebooting {
			e.State = Unreachable
		}
		out[name] = e
	}
	return out
}

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

func (w *world) step() {
	w.clock.Advance(tmclock.Second)
	w.endpoints()
	e := w.entries[w.IntN(3)]
	if w.c.calm {
		for _, e := range w.entries {
			w.tick(e, false)
		}
		w.deliverAll()
		w.old = w.reports()
		return
	}
	switch n := w.IntN(100); {
	case n < 45:
		w.tick(e, n < 5)
	case n < 75:
		w.deliverAll()
	case n < 80 && len(e.paused) > 0:
		w.sent = append(w.sent, e.paused...)
		e.paused = nil
	case n < 82:
		w.restart(e)
	case n < 84:
		w.rackLoss()
	case n < 94:
		w.old = w.reports()
	case n < 96:
		w.clock.Advance(9 * tmclock.Second)
	}
}

// endpoints lets tasks start and end and instances come back.
func (w *world) endpoints() {
	for name, in := range w.cfg.Instances().All() {
		m := w.machines[name]
		if m.back != 0 && w.clock.Now() >= m.back {
			*m = machine{state: EndpointServing, boots: m.boots + 1}
		}
		if !m.dead && m.state == EndpointServing && in.Duty() == tmfleet.Serving && m.running < 8 && w.IntN(4) == 0 {
			m.running++
		}
		if m.running > 0 && w.IntN(4) == 0 {
			m.running--
		}
	}
}

// rackLoss takes one rack down for a while.
func (w *world) rackLoss() {
	names := w.cfg.Instances().Keys()
	lost, _ := w.cfg.Instances().Get(names[w.IntN(len(names))])
	back := w.clock.Now().Add(tmclock.Span(20+w.IntN(60)) * tmclock.Second)
	for name, in := range w.cfg.Instances().All() {
		if in.Zone() == lost.Zone() && in.Rack() == lost.Rack() {
			m := w.machines[name]
			m.dead, m.running, m.back = true, 0, back
		}
	}
}

// tick is one turn of an entry. A paused entry decides but sends its steps
// only later.
func (w *world) tick(e *entry, pause bool) {
	read := w.row
	lease, write := e.leader.Observe(read.lease)
	if !write && read.lease.Leader != e.name {
		return
	}
	if !write {
		lease = read.lease
	}
	p, steps := read.p, []Step(nil)
	if read.lease.Leader == e.name && e.leader.MayAct() {
		p, steps = e.runner.Next(read.p, View{Config: w.cfg, Endpoints: w.old})
	}
	if write || !p.Equal(read.p) {
		w.row = waveRow{rev: read.rev + 1, lease: lease, p: p}
		if !w.c.calm && w.IntN(20) == 0 {
			return // The answer is lost; the next turn starts from the row.
		}
		e.leader.Wrote(lease, w.clock.Now())
	}
	for _, s := range steps {
		out := sentStep{Step: s, row: w.row.rev}
		if pause {
			e.paused = append(e.paused, out)
			continue
		}
		w.sent = append(w.sent, out)
	}
}

// deliverAll carries steps out in random order; some are lost, some stay and
// arrive again later.
func (w *world) deliverAll() {
	w.Shuffle(len(w.sent), func(i, j int) { w.sent[i], w.sent[j] = w.sent[j], w.sent[i] })
	var later []sentStep
	for _, s := range w.sent {
		if !w.c.calm && w.IntN(8) == 0 {
			continue
		}
		w.deliver(s)
		if !w.c.calm && w.IntN(8) == 0 && len(later) < 20 {
			later = append(later, s)
		}
	}
	w.sent = later
}

func (w *world) deliver(s sentStep) {
	m := w.machines[s.Instance]
	up := !m.dead && m.state != EndpointRebooting
	switch s.Kind {
	case MarkDraining:
		w.mark(s, tmfleet.Serving, tmfleet.Draining)
	case MarkRebooting:
		w.mark(s, tmfleet.Draining, tmfleet.Rebooting)
	case MarkServing:
		in, _ := w.cfg.Instances().Get(s.Instance)
		w.mark(s, in.Duty(), tmfleet.Serving)
	case DrainEndpoint:
		if up && (m.boots == s.Boots || w.c.noPrecond) {
			m.state = EndpointDraining
		}
	case UndrainEndpoint:
		if up {
			m.state = EndpointServing
		}
	case RebootEndpoint:
		allowed := m.boots == s.Boots && m.state == EndpointDraining && m.running == 0
		if up && (allowed || w.c.noPrecond) {
			w.reboot(s.Instance, m)
		}
	}
}

func (w *world) reboot(name string, m *machine) {
	if m.running > 0 {
		w.fail("%s rebooted with %d running tasks", name, m.running)
	}
	m.state = EndpointRebooting
	m.back = w.clock.Now().Add(tmclock.Span(20+w.IntN(40)) * tmclock.Second)
	if w.c.badUpdate {
		m.back = 0
	}
}

// mark changes the duty in the State, with its own check of the budget.
func (w *world) mark(s sentStep, from, to tmfleet.Duty) {
	in, _ := w.cfg.Instances().Get(s.Instance)
	if in.Duty() != from || (s.row != w.row.rev && !w.c.noRowCheck) {
		return
	}
	cfg := w.cfg.WithInstances(w.cfg.Instances().With(s.Instance, in.WithDuty(to)))
	count, zones, racks := 0, map[string]bool{}, map[string]bool{}
	for name, other := range cfg.Instances().All() {
		if other.Pool() != in.Pool() {
			continue
		}
		if other.Duty() != tmfleet.Serving || w.machines[name].dead {
			count++
		}
		if m, _ := w.row.p.marks.Get(name); other.Duty() != tmfleet.Serving && m.Phase != Failed {
			zones[other.Zone()] = true
			racks[other.Zone()+other.Rack()] = true
		}
	}
	pool, _ := cfg.Pools().Get(in.Pool())
	if to == tmfleet.Draining {
		over := count > pool.Budget().MaxUnavailable()
		if over && !w.c.noStateBudget {
			return
		}
		if over || len(zones) > 1 || len(racks) > 1 {
			w.fail("draining %s: %d unavailable, %d zones, %d racks", s.Instance, count, len(zones), len(racks))
		}
	}
	w.cfg = cfg
}
