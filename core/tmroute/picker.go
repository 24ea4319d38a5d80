package tmroute

import (
	"math/rand/v2"
	"slices"

	"turmericmoor/core/tmclock"
)

// Endpoint has the properties of an endpoint that Picker uses.
type Endpoint struct {
	Name, Pool, Zone, Rack string
	// Leased is the number of slots that this entry has leased at the endpoint.
	Leased int
	// Slots is the total number of slots, Busy the number of slots in use by
	// all entries as of the last lease renewal.
	Slots, Busy int
	// Usable is false when the State, the instance list or the endpoint itself
	// says that it accepts no tasks, or when the lease is not valid.
	Usable bool
}

// Criteria restricts and ranks the endpoints for a task.
type Criteria struct {
	Pool string
	// Zone is the zone of the entry, which is preferred among equally loaded
	// endpoints. It may be empty.
	Zone string
	// Avoid has the names of endpoints at which this request has failed. They
	// are not picked.
	Avoid []string
	// AvoidRacks has the racks of the endpoints in Avoid. Endpoints in other racks
	// are preferred.
	AvoidRacks []string
	// Idempotent is whether the task can be retried. A task that can't be retried
	// is used to probe an ejected endpoint only after an additional delay.
	Idempotent bool
}

// Picker selects among the usable endpoints with idle leased slots by the power
// of two choices, so that entries with stale information about each other don't
// all pick the same endpoint. Pick takes constant time unless many endpoints
// are avoided or ejected.
type Picker struct {
	clock      tmclock.Clock
	rng        *rand.Rand
	health     *Health
	ramps      *Ramps
	endpoints  map[string]*endpointState
	all        []*endpointState
	ready      map[string][]*endpointState
	probeLists map[string][]*endpointState
}

// endpointState is an endpoint, the number of tasks that this entry runs there,
// and its place in the lists of the Picker.
type endpointState struct {
	Endpoint
	running     int
	readyIndex  int
	inProbeList bool
}

const notReady = -1

// NewPicker returns a Picker without endpoints. Its choices depend on the seed
// of rng.
func NewPicker(clock tmclock.Clock, rng *rand.Rand, health *Health, ramps *Ramps) *Picker {
	return &Picker{
		clock:      clock,
		rng:        rng,
		health:     health,
		ramps:      ramps,
		endpoints:  map[string]*endpointState{},
		ready:      map[string][]*endpointState{},
		probeLists: map[string][]*endpointState{},
	}
}

// Update adds an endpoint or replaces its properties. It is called after a lease
// renewal, a new State and a new instance list.
func (p *Picker) Update(e Endpoint) {
	s, ok := p.endpoints[e.Name]
	if !ok {
		s = &endpointState{readyIndex: notReady}
		p.endpoints[e.Name] = s
		p.all = append(p.all, s)
	}
	if s.Pool != e.Pool {
		p.removeFromLists(s)
	}
	s.Endpoint = e
	p.health.add(e.Name, e.Pool)
	p.updateLists(s)
}

// Remove removes an endpoint and its health record.
func (p *Picker) Remove(name string) {
	s, ok := p.endpoints[name]
	if !ok {
		return
	}
	p.removeFromLists(s)
	delete(p.endpoints, name)
	p.all = slices.DeleteFunc(p.all, func(o *endpointState) bool { return o == s })
	p.health.remove(name)
}

// Pick selects an endpoint and takes one of its idle slots, which Finish or
// Release returns. It returns false when no endpoint can take the task.
func (p *Picker) Pick(c Criteria) (string, bool) {
	s := p.pickProbe(c)
	if s == nil {
		s = p.pickReady(c)
	}
	if s == nil {
		return "", false
	}
	s.running++
	p.updateLists(s)
	return s.Name, true
}

// Finish records how a task ended at the endpoint and returns its slot. See
// Health.RecordOutcome for the meaning of failed.
func (p *Picker) Finish(name string, kind Kind, failed bool) {
	p.health.RecordOutcome(name, kind, failed)
	p.Release(name)
}

// Release returns the slot of a task that was refused or never sent. Such a task
// is not evidence for or against the endpoint.
func (p *Picker) Release(name string) {
	p.health.cancelProbe(name)
	s, ok := p.endpoints[name]
	if !ok || s.running == 0 {
		return
	}
	s.running--
	p.updateLists(s)
}

// Running returns the number of tasks that this entry runs at the endpoint.
func (p *Picker) Running(name string) int {
	s, ok := p.endpoints[name]
	if !ok {
		return 0
	}
	return s.running
}

// IdleEndpoints returns the number of endpoints of the pool that are usable, not
// ejected, and have an idle leased slot.
func (p *Picker) IdleEndpoints(pool string) int { return len(p.ready[pool]) }

// Refresh updates the lists for changes of health and ramps. It takes
// O(endpoints) and has to be called with every round of lease renewals.
func (p *Picker) Refresh() {
	for _, s := range p.all {
		p.updateLists(s)
	}
}

// pickReady returns the better of two random ready endpoints that are not in
// c.Avoid. If random tries find none, it scans all ready endpoints.
func (p *Picker) pickReady(c Criteria) *endpointState {
	ready := p.ready[c.Pool]
	if len(ready) == 0 {
		return nil
	}
	a := p.sampleReady(ready, c)
	b := p.sampleReady(ready, c)
	if a == nil {
		a = b
	}
	if a == nil {
		return p.scanReady(ready, c)
	}
	if b == nil || better(a, b, c) {
		return a
	}
	return b
}

const sampleTries = 3

func (p *Picker) sampleReady(ready []*endpointState, c Criteria) *endpointState {
	for range sampleTries {
		s := ready[p.rng.IntN(len(ready))]
		if !slices.Contains(c.Avoid, s.Name) {
			return s
		}
	}
	return nil
}

func (p *Picker) scanReady(ready []*endpointState, c Criteria) *endpointState {
	var best *endpointState
	for _, s := range ready {
		if slices.Contains(c.Avoid, s.Name) {
			continue
		}
		if best == nil || better(s, best, c) {
			best = s
		}
	}
	return best
}

// better reports whether a is preferred to b: first by a rack without a failure
// of the request, then by the lower load, then by the zone of the entry.
func better(a, b *endpointState, c Criteria) bool {
	ra, rb := slices.Contains(c.AvoidRacks, a.Rack), slices.Contains(c.AvoidRacks, b.Rack)
	if ra != rb {
		return rb
	}
	left, right := a.load()*b.size(), b.load()*a.size()
	if left != right {
		return left < right
	}
	return a.Zone == c.Zone || b.Zone != c.Zone
}

// load returns the larger of the exact number of tasks of this entry and the
// possibly stale number of slots in use by all entries.
func (s *endpointState) load() int { return max(s.running, s.Busy) }

func (s *endpointState) size() int { return max(s.Slots, 1) }

// pickProbe starts a probe of the first ejected endpoint that is due for one, or
// returns nil.
func (p *Picker) pickProbe(c Criteria) *endpointState {
	for _, s := range p.probeLists[c.Pool] {
		if s.running == 0 && p.health.ProbeDue(s.Name, c.Idempotent) && !slices.Contains(c.Avoid, s.Name) {
			p.health.startProbe(s.Name)
			return s
		}
	}
	return nil
}

// updateLists adds the endpoint to the ready and probe lists of its pool or
// removes it from them, according to its state.
func (p *Picker) updateLists(s *endpointState) {
	ejected := p.health.Ejected(s.Name)
	p.updateProbeList(s, ejected)
	idle := p.ramps.Cap(s.Zone, s.Leased) - s.running
	wanted := s.Usable && idle > 0 && !ejected
	if wanted == (s.readyIndex != notReady) {
		return
	}
	if !wanted {
		p.removeFromReady(s)
		return
	}
	s.readyIndex = len(p.ready[s.Pool])
	p.ready[s.Pool] = append(p.ready[s.Pool], s)
}

// updateProbeList adds the endpoint to the end of the list of ejected endpoints
// that may be probed, or removes it from there.
func (p *Picker) updateProbeList(s *endpointState, ejected bool) {
	wanted := ejected && s.Usable && s.Leased > 0
	if wanted == s.inProbeList {
		return
	}
	s.inProbeList = wanted
	if wanted {
		p.probeLists[s.Pool] = append(p.probeLists[s.Pool], s)
		return
	}
	list := p.probeLists[s.Pool]
	if i := slices.Index(list, s); i >= 0 {
		p.probeLists[s.Pool] = slices.Delete(list, i, i+1)
	}
}

// removeFromLists removes the endpoint from all lists of its pool.
func (p *Picker) removeFromLists(s *endpointState) {
	p.updateProbeList(s, false)
	p.removeFromReady(s)
}

func (p *Picker) removeFromReady(s *endpointState) {
	if s.readyIndex == notReady {
		return
	}
	ready := p.ready[s.Pool]
	last := len(ready) - 1
	ready[s.readyIndex] = ready[last]
	ready[s.readyIndex].readyIndex = s.readyIndex
	ready[last] = nil
	p.ready[s.Pool] = ready[:last]
	s.readyIndex = notReady
}
