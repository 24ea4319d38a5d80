package tmwave

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// EndpointState is the state that an endpoint reports.
type EndpointState int

// The states of an endpoint. Unreachable means that it did not answer.
const (
	Unreachable EndpointState = iota
	EndpointServing
	EndpointDraining
	EndpointRebooting
)

// Endpoint is the last known report of one endpoint.
type Endpoint struct {
	// Live is whether the platform lists the instance as live.
	Live    bool
	State   EndpointState
	Running int
	Boots   uint64
}

// View is the leader's snapshot of the fleet.
type View struct {
	Config    tmfleet.Config
	Endpoints map[string]Endpoint
	// Load is the fraction of each pool's slots in use, from 0 to 1.
	Load map[string]float64
	// OffPeak is the load up to which a pool counts as off-peak. Pools without
	// an entry always count as off-peak.
	OffPeak map[string]float64
	// Wall is the current wall time, with which deadlines are compared.
	Wall tmclock.Millis
}

// Unavailable reports whether the instance counts against its pool's budget.
func (v View) Unavailable(in tmfleet.Instance) bool {
	e := v.Endpoints[in.Name()]
	return !v.Config.Usable(in) || !e.Live || e.State != EndpointServing
}

// poolState aggregates the instances of one pool.
type poolState struct {
	budget, total, unavailable int
	// waiting counts instances in phase Waiting.
	waiting int
	zoneOut bool
	// plannedByZone and plannedByRack count instances that are out of service
	// intentionally.
	plannedByZone, plannedByRack map[string]int
}

// budgetLeft returns how many more instances may be drained within the budget.
// It is negative when the budget is exceeded.
func (s *poolState) budgetLeft() int { return s.budget - s.unavailable }

// poolStates returns the state of each pool.
func (r *Runner) poolStates(instances map[string]InstanceProgress, v View) map[string]*poolState {
	out := make(map[string]*poolState)
	for name, pool := range v.Config.Pools().All() {
		out[name] = &poolState{
			budget:        pool.Budget().MaxUnavailable(),
			plannedByZone: make(map[string]int),
			plannedByRack: make(map[string]int),
		}
	}
	for name, in := range v.Config.Instances().All() {
		s := out[in.Pool()]
		if s == nil {
			continue
		}
		m, inWave := instances[name]
		s.add(in, m, inWave, v)
	}
	return out
}

func (s *poolState) add(in tmfleet.Instance, m InstanceProgress, inWave bool, v View) {
	s.total++
	if inWave && m.Phase == Waiting {
		s.waiting++
	}
	if zone, ok := v.Config.Zones().Get(in.Zone()); !ok || zone.OutOfService() {
		s.zoneOut = true
	}
	// A drain that was decided but is not yet in the State counts as well.
	if v.Unavailable(in) || m.Phase.active() {
		s.unavailable++
	}
	// A failed instance no longer counts as planned. Otherwise one failure would
	// keep the wave from draining in any other zone.
	planned := in.Duty() != tmfleet.Serving || in.MoveTo() != ""
	if m.Phase.active() || (planned && m.Phase != Failed) {
		s.plannedByZone[in.Zone()]++
		s.plannedByRack[in.Zone()+"/"+in.Rack()]++
	}
}

// inOneFailureDomain reports whether, with this instance drained, all planned
// outages of the pool are in one zone and one rack.
func (s *poolState) inOneFailureDomain(in tmfleet.Instance, opt options) bool {
	if !opt.anyZone && !onlyKey(s.plannedByZone, in.Zone()) {
		return false
	}
	return opt.anyRack || onlyKey(s.plannedByRack, in.Zone()+"/"+in.Rack())
}

func onlyKey(counts map[string]int, key string) bool {
	return len(counts) == 0 || (len(counts) == 1 && counts[key] > 0)
}
