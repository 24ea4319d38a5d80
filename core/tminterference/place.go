package tminterference

import (
	"cmp"

	"github.com/cespare/xxhash/v2"

	"turmericmoor/core/tmclock"
)

// Place records which workloads are present at an endpoint and for how long they have
// been, and how slow the endpoint is. The zero value is not usable, see NewPlace.
type Place struct {
	slowness figure
	// entries has one entry for each workload that was present since the place was last
	// empty. counts has the number of its tasks under the same index, apart from the times
	// because each placement reads it.
	entries []presence
	counts  []taskCount
	// present has the bits of the workloads that are present.
	present uint64
	// tasks is the number of tasks present.
	tasks int
}

// taskCount is the number of present tasks of the workload with that hash.
type taskCount struct {
	hash  uint64
	count int
}

// bit returns the bit of a workload in a set of which several may share one.
func bit(hash uint64) uint64 { return 1 << (hash % 64) }

// presence is how long tasks of a workload have been present, in ms until since.
type presence struct {
	workload string
	since    tmclock.Millis
	// any is the time with a task, several the time with more than one.
	any, several tmclock.Span
}

// NewPlace returns a place without tasks, about whose slowness nothing is known.
func NewPlace() *Place {
	return &Place{slowness: figure{prior: placeVariance}}
}

// Restarted forgets how slow the endpoint was.
func (p *Place) Restarted() { p.slowness = figure{prior: placeVariance} }

// advance counts the time until now for the workload with that index.
func (p *Place) advance(i int, now tmclock.Millis) {
	s, count := &p.entries[i], p.counts[i].count
	if !now.After(s.since) {
		return
	}
	if count > 0 {
		s.any += now.Sub(s.since)
	}
	if count > 1 {
		s.several += now.Sub(s.since)
	}
	s.since = now
}

// Enter records that a task of the workload is present from now on.
func (p *Place) Enter(workload string, now tmclock.Millis) {
	p.tasks++
	if i := p.index(workload, now); i >= 0 {
		p.advance(i, now)
		p.counts[i].count++
		p.present |= bit(p.counts[i].hash)
	}
}

// Leave records that a task of the workload that has entered is gone.
func (p *Place) Leave(workload string, now tmclock.Millis) {
	p.tasks--
	if p.tasks <= 0 {
		p.tasks, p.entries, p.counts, p.present = 0, p.entries[:0], p.counts[:0], 0
		return
	}
	p.present = 0
	for i := range p.entries {
		if p.entries[i].workload == workload && p.counts[i].count > 0 {
			p.advance(i, now)
			p.counts[i].count--
		}
		if p.counts[i].count > 0 {
			p.present |= bit(p.counts[i].hash)
		}
	}
}

// index returns the index of a workload. Beyond MaxWorkloads it takes over that of one that
// is absent, or returns -1 if there is none.
func (p *Place) index(workload string, now tmclock.Millis) int {
	absent := -1
	for i := range p.entries {
		if p.entries[i].workload == workload {
			return i
		}
		if p.counts[i].count == 0 {
			absent = i
		}
	}
	hash := xxhash.Sum64String(workload)
	if len(p.entries) < MaxWorkloads {
		p.entries = append(p.entries, presence{workload: workload, since: now})
		p.counts = append(p.counts, taskCount{hash: hash})
		return len(p.entries) - 1
	}
	if absent >= 0 {
		// The times stay, so that those of earlier marks are not exceeded.
		p.advance(absent, now)
		p.entries[absent].workload, p.counts[absent].hash = workload, hash
	}
	return absent
}

// Mark is a moment at a place, from which Since counts. It is valid as long as the place
// is not empty.
type Mark struct {
	at    tmclock.Millis
	times []marked
}

// At returns the moment.
func (m Mark) At() tmclock.Millis { return m.at }

type marked struct{ any, several tmclock.Span }

// Mark returns a mark for now. It reuses the memory of an earlier mark.
func (p *Place) Mark(earlier Mark, now tmclock.Millis) Mark {
	m := Mark{at: now, times: earlier.times[:0]}
	for i := range p.entries {
		p.advance(i, now)
		s := &p.entries[i]
		m.times = append(m.times, marked{s.any, s.several})
	}
	return m
}

// Since appends the neighbours that a task of the workload has had since the mark.
// Other tasks of its own workload are neighbours as well.
func (p *Place) Since(m Mark, workload string, now tmclock.Millis, neighbours []Neighbour) []Neighbour {
	span := now.Sub(m.at)
	if span <= 0 {
		return neighbours
	}
	for i := range p.entries {
		p.advance(i, now)
		s := &p.entries[i]
		var before marked
		if i < len(m.times) {
			before = m.times[i]
		}
		shared := s.any - before.any
		if s.workload == workload {
			shared = s.several - before.several
		}
		if shared > 0 {
			neighbours = append(neighbours, Neighbour{Workload: s.workload, Share: min(1, float64(shared)/float64(span))})
		}
	}
	return neighbours
}

// Costs holds, for one workload, the cost of a task beside each other workload, as computed
// by CostsOf. Workloads are compared by their hashes.
type Costs struct {
	hash uint64
	// bits has the bits of the workload itself and of those that it has a cost beside.
	bits  uint64
	costs []cost
}

// cost is the relative time that is lost beside a workload: own by the new task, other by
// each task of that workload.
type cost struct {
	hash       uint64
	own, other float64
}

// CostsOf returns the costs for each workload that has an effect.
func CostsOf(effects []Effect) map[string]*Costs {
	all := map[string]*Costs{}
	for _, e := range effects {
		addCost(all, e.Workload, cost{hash: xxhash.Sum64String(e.Beside), own: e.Slowdown - 1})
		addCost(all, e.Beside, cost{hash: xxhash.Sum64String(e.Workload), other: e.Slowdown - 1})
	}
	return all
}

func addCost(all map[string]*Costs, workload string, add cost) {
	c := all[workload]
	if c == nil {
		hash := xxhash.Sum64String(workload)
		c = &Costs{hash: hash, bits: bit(hash)}
		all[workload] = c
	}
	c.bits |= bit(add.hash)
	for i := range c.costs {
		if c.costs[i].hash == add.hash {
			c.costs[i].own += add.own
			c.costs[i].other += add.other
			return
		}
	}
	c.costs = append(c.costs, add)
}

// At returns the time that is lost if one more task of the workload enters the place,
// relative to the time of a task and summed over the tasks that lose it. Tasks that have
// such a neighbour already lose nothing more.
func (c *Costs) At(p *Place) float64 {
	if p.present&c.bits == 0 {
		return 0
	}
	own, others, present := 0.0, 0.0, false
	for _, k := range p.counts {
		if k.count == 0 || bit(k.hash)&c.bits == 0 {
			continue
		}
		lost := c.beside(k.hash)
		own += lost.own
		switch {
		case k.hash != c.hash:
			others += lost.other * float64(k.count)
		case k.count == 1:
			// The only task of the workload gets the first neighbour of its kind.
			own += lost.other
			present = true
		default:
			present = true
		}
	}
	if present {
		return own
	}
	return own + others
}

func (c *Costs) beside(hash uint64) cost {
	for _, k := range c.costs {
		if k.hash == hash {
			return k
		}
	}
	return cost{}
}

func compareEffects(a, b Effect) int {
	return cmp.Or(cmp.Compare(b.Slowdown, a.Slowdown), cmp.Compare(a.Workload, b.Workload), cmp.Compare(a.Beside, b.Beside))
}
