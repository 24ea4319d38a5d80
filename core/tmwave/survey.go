package tmwave

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// EndpointState is what an endpoint reports about itself.
type EndpointState int

// The states of an endpoint. Unreachable stands for no answer.
const (
	Unreachable EndpointState = iota
	EndpointServing
	EndpointDraining
	EndpointRebooting
)

// Endpoint is the last known report of one endpoint.
type Endpoint struct {
	// Live is whether the platform's list has the instance as live.
	Live    bool
	State   EndpointState
	Running int
	Boots   uint64
}

// View is what the leader knows at one moment.
type View struct {
	Config    tmfleet.Config
	Endpoints map[string]Endpoint
	// Load is the used part of each pool's slots, from 0 to 1.
	Load map[string]float64
	// Trough is the load up to which a pool counts as being in its trough of
	// demand. Pools without an entry always do.
	Trough map[string]float64
	// Wall is the wall time, to which a deadline refers.
	Wall tmclock.Millis
}

// Unavailable reports whether the instance counts against its pool's budget.
func (v View) Unavailable(in tmfleet.Instance) bool {
	e := v.Endpoints[in.Name()]
	return !v.Config.Usable(in) || !e.Live || e.State != EndpointServing
}

// survey is the state of one pool.
type survey struct {
	budget, total, unavailable int
	// waiting counts instances that the wave has not reached.
	waiting int
	zoneOut bool
	// zones and racks count instances that are out of service on purpose.
	zones, racks map[string]int
}

// spare returns how many further instances the budget permits to drain.
func (s *survey) spare() int { return s.budget - s.unavailable }

// surveys returns the state of each pool.
func (r *Runner) surveys(marks map[string]Mark, v View) map[string]*survey {
	out := make(map[string]*survey)
	for name, pool := range v.Config.Pools().All() {
		out[name] = &survey{
			budget: pool.Budget().MaxUnavailable(),
			zones:  make(map[string]int),
			racks:  make(map[string]int),
		}
	}
	for name, in := range v.Config.Instances().All() {
		s := out[in.Pool()]
		if s == nil {
			continue
		}
		m, inWave := marks[name]
		s.count(in, m, inWave, v)
	}
	return out
}

func (s *survey) count(in tmfleet.Instance, m Mark, inWave bool, v View) {
	s.total++
	if inWave && m.Phase == Waiting {
		s.waiting++
	}
	if zone, ok := v.Config.Zones().Get(in.Zone()); !ok || zone.OutOfService() {
		s.zoneOut = true
	}
	// A drain that is decided but not yet in the State counts as well.
	if v.Unavailable(in) || m.Phase.active() {
		s.unavailable++
	}
	// An instance that failed is no longer out of service on purpose; else
	// one failure would keep the wave out of all other zones.
	planned := in.Duty() != tmfleet.Serving || in.MoveTo() != ""
	if m.Phase.active() || (planned && m.Phase != Failed) {
		s.zones[in.Zone()]++
		s.racks[in.Zone()+"/"+in.Rack()]++
	}
}

// fits reports whether draining the instance keeps the wave of its pool in one
// zone and one rack.
func (s *survey) fits(in tmfleet.Instance, opt options) bool {
	if !opt.anyZone && !onlyKey(s.zones, in.Zone()) {
		return false
	}
	return opt.anyRack || onlyKey(s.racks, in.Zone()+"/"+in.Rack())
}

func onlyKey(counts map[string]int, key string) bool {
	return len(counts) == 0 || (len(counts) == 1 && counts[key] > 0)
}
