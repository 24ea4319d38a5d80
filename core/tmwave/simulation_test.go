package tmwave

import (
	"fmt"
	"math/rand/v2"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// simConfig disables rules of the planner, the State and the endpoints, and
// selects the faults.
type simConfig struct {
	opt                                        options
	noStateBudget, noRowCheck, noEndpointCheck bool
	// badUpdate keeps every rebooted instance from returning to service.
	badUpdate, noFaults bool
}

// simEndpoint is the actual state of one endpoint, as opposed to its reports.
type simEndpoint struct {
	down    bool
	state   EndpointState
	running int
	boots   uint64
	backAt  tmclock.Millis
}

type waveRow struct {
	rev      uint64
	lease    Lease
	progress Progress
}

type sentStep struct {
	Step
	row uint64
}

// simulation models the State, the wave row, the endpoints, and three entries,
// each of which may believe that it is the leader. Steps may be lost, duplicated
// or delayed.
type simulation struct {
	*rand.Rand
	c            simConfig
	clock        *tmclock.Manual
	cfg          tmfleet.Config
	row          waveRow
	plan         Plan
	entries      []*entry
	endpoints    map[string]*simEndpoint
	staleReports map[string]Endpoint
	sent         []sentStep
	err          error
}

type entry struct {
	name    string
	n       int
	elector *Elector
	runner  *Runner
	// paused holds steps that were decided before a pause and are sent after it.
	paused []sentStep
}

func newSimulation(seed uint64, c simConfig, pools, perPool, zones, budget int) *simulation {
	sim := &simulation{
		Rand: rand.New(rand.NewPCG(seed, 2)), c: c, clock: tmclock.NewManual(1),
		endpoints: map[string]*simEndpoint{},
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
			sim.endpoints[name] = &simEndpoint{state: EndpointServing, boots: 1}
		}
	}
	sim.cfg = sim.cfg.WithZones(tmfleet.NewTable(zt)).WithPools(tmfleet.NewTable(pt)).WithInstances(tmfleet.NewTable(it))
	plan, err := NewPlan(sim.cfg, PlanParams{Cycle: tmclock.Minute})
	if err != nil {
		sim.err = err
	}
	sim.plan = plan
	sim.row.progress = NewProgress(plan)
	for i := range 3 {
		sim.entries = append(sim.entries, &entry{n: i})
		sim.restart(sim.entries[i])
	}
	sim.staleReports = sim.reports()
	return sim
}

func (sim *simulation) restart(e *entry) {
	e.n += 3
	e.name = fmt.Sprint("e", e.n)
	e.elector = NewElector(e.name, sim.clock)
	e.runner = NewRunner(sim.plan, sim.clock)
	e.runner.opt = sim.c.opt
	e.paused = nil
}

func (sim *simulation) reports() map[string]Endpoint {
	out := map[string]Endpoint{}
	for name, m := range sim.endpoints {
		e := Endpoint{Live: !m.down, State: m.state, Running: m.running, Boots: m.boots}
		if m.down || m.state == EndpointRebooting {
			e.State = Unreachable
		}
		out[name] = e
	}
	return out
}

func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

func (sim *simulation) step() {
	sim.clock.Advance(tmclock.Second)
	sim.advanceEndpoints()
	e := sim.entries[sim.IntN(3)]
	if sim.c.noFaults {
		for _, e := range sim.entries {
			sim.tick(e, false)
		}
		sim.deliverAll()
		sim.staleReports = sim.reports()
		return
	}
	switch n := sim.IntN(100); {
	case n < 45:
		sim.tick(e, n < 5)
	case n < 75:
		sim.deliverAll()
	case n < 80 && len(e.paused) > 0:
		sim.sent = append(sim.sent, e.paused...)
		e.paused = nil
	case n < 82:
		sim.restart(e)
	case n < 84:
		sim.failRack()
	case n < 94:
		sim.staleReports = sim.reports()
	case n < 96:
		sim.clock.Advance(9 * tmclock.Second)
	}
}

// advanceEndpoints starts and ends tasks and brings rebooted instances up.
func (sim *simulation) advanceEndpoints() {
	for name, in := range sim.cfg.Instances().All() {
		m := sim.endpoints[name]
		if m.backAt != 0 && sim.clock.Now() >= m.backAt {
			*m = simEndpoint{state: EndpointServing, boots: m.boots + 1}
		}
		if !m.down && m.state == EndpointServing && in.Duty() == tmfleet.Serving && m.running < 8 && sim.IntN(4) == 0 {
			m.running++
		}
		if m.running > 0 && sim.IntN(4) == 0 {
			m.running--
		}
	}
}

// failRack takes one rack down for 20 to 79 s.
func (sim *simulation) failRack() {
	names := sim.cfg.Instances().Keys()
	lost, _ := sim.cfg.Instances().Get(names[sim.IntN(len(names))])
	back := sim.clock.Now().Add(tmclock.Span(20+sim.IntN(60)) * tmclock.Second)
	for name, in := range sim.cfg.Instances().All() {
		if in.Zone() == lost.Zone() && in.Rack() == lost.Rack() {
			m := sim.endpoints[name]
			m.down, m.running, m.backAt = true, 0, back
		}
	}
}

// tick runs one round of an entry. An entry that pauses decides and writes its
// progress, but sends its steps only later.
func (sim *simulation) tick(e *entry, pause bool) {
	read := sim.row
	lease, write := e.elector.Observe(read.lease)
	if !write && read.lease.Leader != e.name {
		return
	}
	if !write {
		lease = read.lease
	}
	progress, steps := read.progress, []Step(nil)
	if read.lease.Leader == e.name && e.elector.HoldsLease() {
		progress, steps = e.runner.Next(read.progress, View{Config: sim.cfg, Endpoints: sim.staleReports})
	}
	if write || !progress.Equal(read.progress) {
		sim.row = waveRow{rev: read.rev + 1, lease: lease, progress: progress}
		if !sim.c.noFaults && sim.IntN(20) == 0 {
			return // The answer is lost; the next round starts from the row.
		}
		e.elector.Committed(lease, sim.clock.Now())
	}
	for _, s := range steps {
		out := sentStep{Step: s, row: sim.row.rev}
		if pause {
			e.paused = append(e.paused, out)
			continue
		}
		sim.sent = append(sim.sent, out)
	}
}

// deliverAll carries out steps in random order. Some are lost, and some are
// delivered again later.
func (sim *simulation) deliverAll() {
	sim.Shuffle(len(sim.sent), func(i, j int) { sim.sent[i], sim.sent[j] = sim.sent[j], sim.sent[i] })
	var later []sentStep
	for _, s := range sim.sent {
		if !sim.c.noFaults && sim.IntN(8) == 0 {
			continue
		}
		sim.deliver(s)
		if !sim.c.noFaults && sim.IntN(8) == 0 && len(later) < 20 {
			later = append(later, s)
		}
	}
	sim.sent = later
}

func (sim *simulation) deliver(s sentStep) {
	m := sim.endpoints[s.Instance]
	up := !m.down && m.state != EndpointRebooting
	switch s.Kind {
	case MarkDraining:
		sim.setDuty(s, tmfleet.Serving, tmfleet.Draining)
	case MarkRebooting:
		sim.setDuty(s, tmfleet.Draining, tmfleet.Rebooting)
	case MarkServing:
		in, _ := sim.cfg.Instances().Get(s.Instance)
		sim.setDuty(s, in.Duty(), tmfleet.Serving)
	case DrainEndpoint:
		if up && (m.boots == s.Boots || sim.c.noEndpointCheck) {
			m.state = EndpointDraining
		}
	case UndrainEndpoint:
		if up {
			m.state = EndpointServing
		}
	case RebootEndpoint:
		allowed := m.boots == s.Boots && m.state == EndpointDraining && m.running == 0
		if up && (allowed || sim.c.noEndpointCheck) {
			sim.reboot(s.Instance, m)
		}
	}
}

func (sim *simulation) reboot(name string, m *simEndpoint) {
	if m.running > 0 {
		sim.fail("%s rebooted with %d running tasks", name, m.running)
	}
	m.state = EndpointRebooting
	m.backAt = sim.clock.Now().Add(tmclock.Span(20+sim.IntN(40)) * tmclock.Second)
	if sim.c.badUpdate {
		m.backAt = 0
	}
}

// setDuty changes the duty of an instance in the State, which checks the wave
// row's revision and the budget. It fails the run on a planned outage above the
// budget or in more than one zone or rack.
func (sim *simulation) setDuty(s sentStep, from, to tmfleet.Duty) {
	in, _ := sim.cfg.Instances().Get(s.Instance)
	if in.Duty() != from || (s.row != sim.row.rev && !sim.c.noRowCheck) {
		return
	}
	cfg := sim.cfg.WithInstances(sim.cfg.Instances().With(s.Instance, in.WithDuty(to)))
	count, zones, racks := 0, map[string]bool{}, map[string]bool{}
	for name, other := range cfg.Instances().All() {
		if other.Pool() != in.Pool() {
			continue
		}
		if other.Duty() != tmfleet.Serving || sim.endpoints[name].down {
			count++
		}
		if m, _ := sim.row.progress.instances.Get(name); other.Duty() != tmfleet.Serving && m.Phase != Failed {
			zones[other.Zone()] = true
			racks[other.Zone()+other.Rack()] = true
		}
	}
	pool, _ := cfg.Pools().Get(in.Pool())
	if to == tmfleet.Draining {
		over := count > pool.Budget().MaxUnavailable()
		if over && !sim.c.noStateBudget {
			return
		}
		if over || len(zones) > 1 || len(racks) > 1 {
			sim.fail("draining %s: %d unavailable, %d zones, %d racks", s.Instance, count, len(zones), len(racks))
		}
	}
	sim.cfg = cfg
}
