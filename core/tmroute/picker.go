package tmroute

import (
	"math/rand/v2"
	"slices"

	"turmericmoor/core/tmclock"
)

// Endpoint is what an entry knows about an endpoint for the choice.
type Endpoint struct {
	Name, Pool, Zone, Rack string
	// Leased is the number of slots that this entry has leased there.
	Leased int
	// Slots is the size of the endpoint, Busy the number of slots in use by
	// all entries as of the last renewal.
	Slots, Busy int
	// Usable is false when the State, the instance list or the endpoint itself
	// says that it takes no work, or when the lease is not valid.
	Usable bool
}

// Want describes the task that an endpoint is chosen for.
type Want struct {
	Pool string
	// Zone is the zone of the entry; it decides between equally loaded
	// endpoints. May be empty.
	Zone string
	// Avoid has the names of endpoints that have failed this request already.
	Avoid []string
	// AvoidRacks has the racks of those; an endpoint in another rack is
	// preferred.
	AvoidRacks []string
	// Idempotent tasks are also used to probe endpoints that were set aside.
	Idempotent bool
}

// Picker chooses among the usable endpoints with idle leased slots by the power
// of two choices, which keeps entries with old information about each other
// from all choosing the same endpoint. A choice takes constant time except when
// many endpoints are avoided.
type Picker struct {
	clock  tmclock.Clock
	rng    *rand.Rand
	health *Health
	ramps  *Ramps
	byName map[string]*slot
	all    []*slot
	ready  map[string][]*slot
	probes map[string][]*slot
}

// slot is an endpoint with the tasks that this entry runs there.
type slot struct {
	Endpoint
	running int
	pos     int
	probing bool
}

const notReady = -1

// NewPicker returns a Picker without endpoints. The seed goes into rng.
func NewPicker(clock tmclock.Clock, rng *rand.Rand, health *Health, ramps *Ramps) *Picker {
	return &Picker{
		clock:  clock,
		rng:    rng,
		health: health,
		ramps:  ramps,
		byName: map[string]*slot{},
		ready:  map[string][]*slot{},
		probes: map[string][]*slot{},
	}
}

// Update takes what is known about an endpoint after a renewal, a new State or
// a new instance list.
func (p *Picker) Update(e Endpoint) {
	s, ok := p.byName[e.Name]
	if !ok {
		s = &slot{pos: notReady}
		p.byName[e.Name] = s
		p.all = append(p.all, s)
	}
	if s.Pool != e.Pool {
		p.drop(s)
	}
	s.Endpoint = e
	p.health.join(e.Name, e.Pool)
	p.list(s)
}

// Remove forgets an endpoint.
func (p *Picker) Remove(name string) {
	s, ok := p.byName[name]
	if !ok {
		return
	}
	p.drop(s)
	delete(p.byName, name)
	p.all = slices.DeleteFunc(p.all, func(o *slot) bool { return o == s })
	p.health.leave(name)
}

// Pick chooses an endpoint and takes one of the idle slots there, until
// Release. It returns false when no usable endpoint has an idle slot.
func (p *Picker) Pick(w Want) (string, bool) {
	s := p.probe(w)
	if s == nil {
		s = p.choose(w)
	}
	if s == nil {
		return "", false
	}
	s.running++
	p.list(s)
	return s.Name, true
}

// Ended records how a task ended at the endpoint and returns its slot. See
// Health.Ended for the meaning of failed.
func (p *Picker) Ended(name string, kind Kind, failed bool) {
	p.health.Ended(name, kind, failed)
	p.Release(name)
}

// Release returns the slot of a task that was refused or never sent, and so
// tells nothing about the endpoint.
func (p *Picker) Release(name string) {
	p.health.cancel(name)
	s, ok := p.byName[name]
	if !ok || s.running == 0 {
		return
	}
	s.running--
	p.list(s)
}

// Running returns the number of tasks that this entry runs at the endpoint.
func (p *Picker) Running(name string) int {
	s, ok := p.byName[name]
	if !ok {
		return 0
	}
	return s.running
}

// Idle returns the number of endpoints of the pool with an idle leased slot.
func (p *Picker) Idle(pool string) int { return len(p.ready[pool]) }

// Refresh lists endpoints again whose health or ramp has changed with time. It
// takes O(endpoints) and is due with every renewal round.
func (p *Picker) Refresh() {
	for _, s := range p.all {
		p.list(s)
	}
}

// choose compares two random endpoints. The first few tries are random, the
// last resort looks at all.
func (p *Picker) choose(w Want) *slot {
	ready := p.ready[w.Pool]
	if len(ready) == 0 {
		return nil
	}
	a := p.sample(ready, w)
	b := p.sample(ready, w)
	if a == nil {
		a = b
	}
	if a == nil {
		return p.scan(ready, w)
	}
	if b == nil || better(a, b, w) {
		return a
	}
	return b
}

const sampleTries = 3

func (p *Picker) sample(ready []*slot, w Want) *slot {
	for range sampleTries {
		s := ready[p.rng.IntN(len(ready))]
		if !slices.Contains(w.Avoid, s.Name) {
			return s
		}
	}
	return nil
}

func (p *Picker) scan(ready []*slot, w Want) *slot {
	var best *slot
	for _, s := range ready {
		if slices.Contains(w.Avoid, s.Name) {
			continue
		}
		if best == nil || better(s, best, w) {
			best = s
		}
	}
	return best
}

// better reports whether a suits the task more than b: another rack than that
// of a failure, then the lower load, then the zone of the entry.
func better(a, b *slot, w Want) bool {
	ra, rb := slices.Contains(w.AvoidRacks, a.Rack), slices.Contains(w.AvoidRacks, b.Rack)
	if ra != rb {
		return rb
	}
	left, right := a.load()*b.size(), b.load()*a.size()
	if left != right {
		return left < right
	}
	return a.Zone == w.Zone || b.Zone != w.Zone
}

// load is the larger of the exact own count and the older count of all.
func (s *slot) load() int { return max(s.running, s.Busy) }

func (s *slot) size() int { return max(s.Slots, 1) }

// probe returns an endpoint that was set aside and is due for a trial.
func (p *Picker) probe(w Want) *slot {
	for _, s := range p.probes[w.Pool] {
		if s.running == 0 && p.health.Due(s.Name, w.Idempotent) && !slices.Contains(w.Avoid, s.Name) {
			p.health.trial(s.Name)
			return s
		}
	}
	return nil
}

// list puts the endpoint into or out of the list of those that are ready.
func (p *Picker) list(s *slot) {
	aside := p.health.Aside(s.Name)
	p.listProbe(s, aside)
	idle := p.ramps.Cap(s.Zone, s.Leased) - s.running
	wanted := s.Usable && idle > 0 && !aside
	if wanted == (s.pos != notReady) {
		return
	}
	if !wanted {
		p.unlist(s)
		return
	}
	s.pos = len(p.ready[s.Pool])
	p.ready[s.Pool] = append(p.ready[s.Pool], s)
}

// listProbe keeps the endpoints that may be probed in a list, in the order in
// which they were set aside.
func (p *Picker) listProbe(s *slot, aside bool) {
	wanted := aside && s.Usable && s.Leased > 0
	if wanted == s.probing {
		return
	}
	s.probing = wanted
	if wanted {
		p.probes[s.Pool] = append(p.probes[s.Pool], s)
		return
	}
	list := p.probes[s.Pool]
	if i := slices.Index(list, s); i >= 0 {
		p.probes[s.Pool] = slices.Delete(list, i, i+1)
	}
}

// drop takes the endpoint out of all lists of its pool.
func (p *Picker) drop(s *slot) {
	p.listProbe(s, false)
	p.unlist(s)
}

func (p *Picker) unlist(s *slot) {
	if s.pos == notReady {
		return
	}
	ready := p.ready[s.Pool]
	last := len(ready) - 1
	ready[s.pos] = ready[last]
	ready[s.pos].pos = s.pos
	ready[last] = nil
	p.ready[s.Pool] = ready[:last]
	s.pos = notReady
}
