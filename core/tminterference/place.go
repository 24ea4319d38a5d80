package tminterference

import (
	"cmp"

	"turmericmoor/core/tmclock"
)

// Place records which workloads are present at an endpoint and for how long they have
// been, and how slow the endpoint is. The zero value is not usable, see NewPlace.
type Place struct {
	slowness figure
	// entries has one entry for each workload that was present since the place was last
	// empty.
	entries []presence
	// tasks is the number of tasks present.
	tasks int
}

// presence is how long tasks of a workload have been present, in ms until since.
type presence struct {
	workload string
	count    int
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

func (s *presence) advance(now tmclock.Millis) {
	if !now.After(s.since) {
		return
	}
	if s.count > 0 {
		s.any += now.Sub(s.since)
	}
	if s.count > 1 {
		s.several += now.Sub(s.since)
	}
	s.since = now
}

// Enter records that a task of the workload is present from now on.
func (p *Place) Enter(workload string, now tmclock.Millis) {
	p.tasks++
	if s := p.entry(workload, now); s != nil {
		s.advance(now)
		s.count++
	}
}

// Leave records that a task of the workload that has entered is gone.
func (p *Place) Leave(workload string, now tmclock.Millis) {
	p.tasks--
	if p.tasks <= 0 {
		p.tasks, p.entries = 0, p.entries[:0]
		return
	}
	for i := range p.entries {
		if s := &p.entries[i]; s.workload == workload && s.count > 0 {
			s.advance(now)
			s.count--
		}
	}
}

// entry returns the entry of a workload. Beyond MaxWorkloads it takes over that of a
// workload that is absent, or returns nil if there is none.
func (p *Place) entry(workload string, now tmclock.Millis) *presence {
	absent := -1
	for i := range p.entries {
		if p.entries[i].workload == workload {
			return &p.entries[i]
		}
		if p.entries[i].count == 0 {
			absent = i
		}
	}
	if len(p.entries) < MaxWorkloads {
		p.entries = append(p.entries, presence{workload: workload, since: now})
		return &p.entries[len(p.entries)-1]
	}
	if absent < 0 {
		return nil
	}
	// The times stay, so that those of earlier marks are not exceeded.
	s := &p.entries[absent]
	s.advance(now)
	s.workload = workload
	return s
}

// Mark is a moment at a place, from which Since counts. It is valid as long as the place
// is not empty.
type Mark struct {
	at    tmclock.Millis
	times []marked
}

type marked struct{ any, several tmclock.Span }

// Mark returns a mark for now. It reuses the memory of an earlier mark.
func (p *Place) Mark(earlier Mark, now tmclock.Millis) Mark {
	m := Mark{at: now, times: earlier.times[:0]}
	for i := range p.entries {
		s := &p.entries[i]
		s.advance(now)
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
		s := &p.entries[i]
		s.advance(now)
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
// by CostsOf.
type Costs struct {
	workload string
	costs    []cost
}

// cost is the relative time that is lost beside a workload: own by the new task, other by
// each task of that workload.
type cost struct {
	beside     string
	own, other float64
}

// CostsOf returns the costs for each workload that has an effect.
func CostsOf(effects []Effect) map[string]*Costs {
	all := map[string]*Costs{}
	add := func(workload, beside string, own, other float64) {
		c := all[workload]
		if c == nil {
			c = &Costs{workload: workload}
			all[workload] = c
		}
		for i := range c.costs {
			if c.costs[i].beside == beside {
				c.costs[i].own += own
				c.costs[i].other += other
				return
			}
		}
		c.costs = append(c.costs, cost{beside, own, other})
	}
	for _, e := range effects {
		add(e.Workload, e.Beside, e.Slowdown-1, 0)
		add(e.Beside, e.Workload, 0, e.Slowdown-1)
	}
	return all
}

// At returns the time that is lost if one more task of the workload enters the place,
// relative to the time of a task and summed over the tasks that lose it. Tasks that have
// such a neighbour already lose nothing more.
func (c *Costs) At(p *Place) float64 {
	lost, present := 0.0, false
	for i := range p.entries {
		s := &p.entries[i]
		if s.count == 0 {
			continue
		}
		present = present || s.workload == c.workload
		for _, beside := range c.costs {
			if beside.beside == s.workload {
				lost += beside.own
			}
		}
	}
	if present {
		return lost + c.selfCost(p)
	}
	for i := range p.entries {
		for _, beside := range c.costs {
			if beside.beside == p.entries[i].workload {
				lost += beside.other * float64(p.entries[i].count)
			}
		}
	}
	return lost
}

// selfCost is what the only task of the workload at the place loses if one more enters.
func (c *Costs) selfCost(p *Place) float64 {
	for i := range p.entries {
		if p.entries[i].workload != c.workload || p.entries[i].count != 1 {
			continue
		}
		for _, beside := range c.costs {
			if beside.beside == c.workload {
				return beside.other
			}
		}
	}
	return 0
}

func compareEffects(a, b Effect) int {
	return cmp.Or(cmp.Compare(b.Slowdown, a.Slowdown), cmp.Compare(a.Workload, b.Workload), cmp.Compare(a.Beside, b.Beside))
}
