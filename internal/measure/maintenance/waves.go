package maintenance

import (
	"fmt"
	"math"
	"math/rand/v2"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmwave"
)

// shape is the size of a fleet.
type shape struct {
	name  string
	pools []int
	zones int
	// budget returns the availability budget of a pool.
	budget func(instances int) int
}

func tenth(n int) int { return max(1, int(math.Round(float64(n)/10))) }

func fifth(n int) int { return max(1, n/5) }

func shapes() []shape {
	grown := make([]int, 36)
	for i := range 740 {
		grown[i%36]++
	}
	small := []int{8, 9, 10, 11, 12}
	return []shape{
		{"perth", small, 3, fifth},
		{"hsinchu", small, 4, fifth},
		{"two years", grown, 8, tenth},
	}
}

// outage says how many faults a wave meets.
type outage struct {
	name string
	// stuck is the part of the reboots that end only after a repair.
	stuck float64
	// rackLoss takes one rack down in the middle of the wave.
	rackLoss bool
	// leaderLoss ends the leader once in the second half of the wave, when an
	// instance of the slowest pool has just come back, which costs most;
	// another entry goes on after takeover.
	leaderLoss bool
}

var outages = []outage{
	{name: "none"},
	{name: "leader lost", leaderLoss: true},
	{name: "1% stuck, rack lost", stuck: 0.01, rackLoss: true},
}

const (
	// inForce is the time from a change until it is in force, on an ordinary
	// day.
	inForce = 2 * tmclock.Second
	// takeover is the time until another entry leads: 10 s without a change of
	// the counter, and one turn.
	takeover = 11 * tmclock.Second
	// repair is how long a stuck instance stays down, rackDown a rack.
	repair   = 25 * tmclock.Minute
	rackDown = 10 * tmclock.Minute
)

// box is one endpoint in a wave.
type box struct {
	in            tmfleet.Instance
	drain, reboot tmclock.Span
	repair        tmclock.Span
	state         tmwave.EndpointState
	boots         uint64
	due           tmclock.Millis
	down          tmclock.Millis
}

type fleet struct {
	clock   *tmclock.Manual
	cfg     tmfleet.Config
	boxes   map[string]*box
	budgets map[string]int
	// changes are in force at the time given.
	changes map[string]change
}

type change struct {
	duty tmfleet.Duty
	at   tmclock.Millis
}

func newFleet(sh shape, out outage, rng *rand.Rand) *fleet {
	f := &fleet{
		clock: tmclock.NewManual(1), boxes: map[string]*box{},
		budgets: map[string]int{}, changes: map[string]change{},
	}
	zones, pools, instances := map[string]tmfleet.Zone{}, map[string]tmfleet.Pool{}, map[string]tmfleet.Instance{}
	for z := range sh.zones {
		name := fmt.Sprint("z", z)
		zones[name] = tmfleet.NewZone(name, "west", false)
	}
	for p, n := range sh.pools {
		pool := fmt.Sprintf("p%02d", p)
		f.budgets[pool] = sh.budget(n)
		pools[pool] = tmfleet.NewPool(pool, tmfleet.NewBudget(f.budgets[pool]))
		for i := range n {
			// Four instances to a rack, filled pool by pool in each zone.
			in := tmfleet.NewInstance(tmfleet.InstanceParams{
				Name: fmt.Sprintf("%s-%02d", pool, i), Pool: pool, Slots: 8,
				Zone: fmt.Sprint("z", (i+p)%sh.zones),
				Rack: fmt.Sprintf("%s-r%d", pool, i/sh.zones/4),
			})
			instances[in.Name()] = in
			f.boxes[in.Name()] = newBox(in, out, rng)
		}
	}
	f.cfg = f.cfg.WithZones(tmfleet.NewTable(zones)).WithPools(tmfleet.NewTable(pools))
	f.cfg = f.cfg.WithInstances(tmfleet.NewTable(instances))
	return f
}

// newBox draws the longest rest of a running task, up to a minute, and a
// reboot of 3 to 6 minutes with a few slow ones.
func newBox(in tmfleet.Instance, out outage, rng *rand.Rand) *box {
	drain := min(rng.ExpFloat64()*15, 60)
	reboot := 180 + rng.Float64()*120 + min(rng.ExpFloat64()*15, 60)
	b := &box{in: in, state: tmwave.EndpointServing, boots: 1}
	b.drain = tmclock.Span(drain * 1000)
	b.reboot = tmclock.Span(reboot * 1000)
	if rng.Float64() < out.stuck {
		b.repair = repair
	}
	return b
}

func (f *fleet) view() tmwave.View {
	v := tmwave.View{Config: f.cfg, Endpoints: make(map[string]tmwave.Endpoint, len(f.boxes))}
	now := f.clock.Now()
	for name, b := range f.boxes {
		e := tmwave.Endpoint{Live: now >= b.down, State: b.state, Boots: b.boots}
		if b.state == tmwave.EndpointDraining && now < b.due {
			e.Running = 1
		}
		if b.state == tmwave.EndpointRebooting || !e.Live {
			e.State = tmwave.Unreachable
		}
		v.Endpoints[name] = e
	}
	return v
}

// tick moves the time by one second.
func (f *fleet) tick() {
	f.clock.Advance(tmclock.Second)
	now := f.clock.Now()
	table := f.cfg.Instances()
	for name, c := range f.changes {
		if now >= c.at {
			in, _ := table.Get(name)
			table = table.With(name, in.WithDuty(c.duty))
			delete(f.changes, name)
		}
	}
	f.cfg = f.cfg.WithInstances(table)
	for _, b := range f.boxes {
		if b.state == tmwave.EndpointRebooting && now >= b.due {
			b.state = tmwave.EndpointServing
			b.boots++
		}
	}
}

func (f *fleet) do(s tmwave.Step) {
	b := f.boxes[s.Instance]
	now := f.clock.Now()
	duties := map[tmwave.StepKind]tmfleet.Duty{
		tmwave.MarkDraining: tmfleet.Draining, tmwave.MarkRebooting: tmfleet.Rebooting, tmwave.MarkServing: tmfleet.Serving,
	}
	if duty, ok := duties[s.Kind]; ok {
		if _, pending := f.changes[s.Instance]; !pending {
			f.changes[s.Instance] = change{duty: duty, at: now.Add(inForce)}
		}
		return
	}
	switch s.Kind {
	case tmwave.DrainEndpoint:
		b.state = tmwave.EndpointDraining
		b.due = now.Add(b.drain)
	case tmwave.UndrainEndpoint:
		b.state = tmwave.EndpointServing
	case tmwave.RebootEndpoint:
		b.state = tmwave.EndpointRebooting
		b.due = now.Add(b.reboot + b.repair)
	}
}

// loseRack takes the rack of one instance down.
func (f *fleet) loseRack(rng *rand.Rand) {
	names := f.cfg.Instances().Keys()
	lost := f.boxes[names[rng.IntN(len(names))]].in
	for _, b := range f.boxes {
		if b.in.Zone() == lost.Zone() && b.in.Rack() == lost.Rack() {
			b.down = f.clock.Now().Add(rackDown)
		}
	}
}

// cycles returns the times out of service of a wave without faults, of one
// pool or, when pool is empty, of all.
func (f *fleet) cycles(pool string) []tmwave.Cycle {
	var out []tmwave.Cycle
	for _, b := range f.boxes {
		if pool == "" || b.in.Pool() == pool {
			out = append(out, tmwave.Cycle{Pool: b.in.Pool(), Zone: b.in.Zone(), Duration: b.drain + b.reboot})
		}
	}
	return out
}

// bound returns the lower bound for a wave without faults.
func (f *fleet) bound(zones bool) tmclock.Span {
	return tmwave.MakespanLowerBound(f.cycles(""), f.budgets, zones)
}

// slowest returns the pool with the highest lower bound.
func (f *fleet) slowest() string {
	best, longest := "", tmclock.Span(0)
	for _, pool := range f.cfg.Pools().Keys() {
		if d := tmwave.MakespanLowerBound(f.cycles(pool), f.budgets, true); d > longest {
			best, longest = pool, d
		}
	}
	return best
}

// returning reports whether an instance of the pool is back from its reboot
// and not yet marked as serving.
func (f *fleet) returning(pool string) bool {
	for name, b := range f.boxes {
		in, _ := f.cfg.Instances().Get(name)
		if b.in.Pool() == pool && b.boots > 1 && in.Duty() == tmfleet.Rebooting {
			return true
		}
	}
	return false
}

// waveResult is one measured wave.
type waveResult struct {
	ratio, budgetRatio, minutes float64
	failed                      int
	ended                       bool
}

func measureWave(sh shape, out outage, seed uint64) waveResult {
	rng := rand.New(rand.NewPCG(seed, 5))
	f := newFleet(sh, out, rng)
	plan, err := tmwave.NewPlan(f.cfg, tmwave.PlanParams{Cycle: 5 * tmclock.Minute})
	if err != nil {
		panic(fmt.Sprintf("maintenance: plan for %s: %v", sh.name, err))
	}
	p := tmwave.NewProgress(plan)
	runner := tmwave.NewRunner(plan, f.clock)
	slowest := f.slowest()
	middle := f.clock.Now().Add(f.bound(true) / 2)
	var idle tmclock.Millis
	for f.clock.Now() < tmclock.Millis(24*tmclock.Hour) && !p.Ended() {
		f.tick()
		now := f.clock.Now()
		if now >= middle && now < middle.Add(tmclock.Second) {
			if out.rackLoss {
				f.loseRack(rng)
			}
		}
		if out.leaderLoss && idle == 0 && now >= middle && f.returning(slowest) {
			idle = now.Add(takeover)
			runner = tmwave.NewRunner(plan, f.clock)
		}
		if now < idle {
			continue
		}
		var steps []tmwave.Step
		p, steps = runner.Next(p, f.view())
		for _, s := range steps {
			f.do(s)
		}
	}
	took := float64(f.clock.Now())
	return waveResult{
		ratio:       took / float64(f.bound(true)),
		budgetRatio: took / float64(f.bound(false)),
		minutes:     took / float64(tmclock.Minute),
		failed:      p.Count(tmwave.Failed) + p.Count(tmwave.Skipped),
		ended:       p.Ended() && p.Stopped() == "",
	}
}

// waveTable compares roll-out times with the lower bound. Target: 1.25.
func waveTable(w *page, seeds []uint64) {
	w.line("waves: roll-out time over the lower bound of a wave without faults, target 1.25")
	w.line("shape\tfaults\tminutes (median)\tbound with zones: median\tworst\tbound without zones: median\tworst\tnot done (worst)\tlater than without faults: worst s\tended")
	for _, sh := range shapes() {
		var base []waveResult
		for _, out := range outages {
			var ratio, budgetRatio, minutes, failed, later series
			ended := 0
			results := perSeed(seeds, func(seed uint64) waveResult {
				return measureWave(sh, out, seed)
			})
			if base == nil {
				base = results
			}
			for i, r := range results {
				later = append(later, 60*(r.minutes-base[i].minutes))
				ratio = append(ratio, r.ratio)
				budgetRatio = append(budgetRatio, r.budgetRatio)
				minutes = append(minutes, r.minutes)
				failed = append(failed, float64(r.failed))
				if r.ended {
					ended++
				}
			}
			w.line("%s\t%s\t%.0f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%d/%d", sh.name, out.name, minutes.median(),
				ratio.median(), ratio.max(), budgetRatio.median(), budgetRatio.max(), failed.max(), later.max(), ended, len(seeds))
		}
	}
}
