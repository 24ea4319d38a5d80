package tmshare

import "iter"

// Load is the demand of one team in one pool, in requests.
type Load struct {
	// Queued includes the urgent ones.
	Queued, Urgent, Running int
}

// Total returns the number of queued and running requests.
func (l Load) Total() int { return l.Queued + l.Running }

func (l Load) plus(o Load) Load {
	return Load{Queued: l.Queued + o.Queued, Urgent: l.Urgent + o.Urgent, Running: l.Running + o.Running}
}

// Cell names one cell of a Demand.
type Cell struct {
	Pool, Team string
}

// Demand is the table of loads by pool and team, with the sums of each pool
// and each team. Cells without demand are absent.
type Demand struct {
	cells map[Cell]Load
	pools map[string]Load
	teams map[string]Load
}

func newDemand() *Demand {
	return &Demand{cells: map[Cell]Load{}, pools: map[string]Load{}, teams: map[string]Load{}}
}

// Get returns the load of a team in a pool.
func (d *Demand) Get(pool, team string) Load { return d.cells[Cell{Pool: pool, Team: team}] }

// Pool returns the load of a pool.
func (d *Demand) Pool(pool string) Load { return d.pools[pool] }

// Team returns the load of a team in all pools.
func (d *Demand) Team(team string) Load { return d.teams[team] }

// All visits the cells with demand, in no particular order.
func (d *Demand) All() iter.Seq2[Cell, Load] {
	return func(yield func(Cell, Load) bool) {
		for c, l := range d.cells {
			if !yield(c, l) {
				return
			}
		}
	}
}

// RunningByTeam returns a copy of the running counts, as heartbeats carry
// them.
func (d *Demand) RunningByTeam() map[string]int {
	out := make(map[string]int, len(d.teams))
	for team, l := range d.teams {
		if l.Running > 0 {
			out[team] = l.Running
		}
	}
	return out
}

func (d *Demand) add(pool, team string, by Load) {
	addTo(d.cells, Cell{Pool: pool, Team: team}, by)
	addTo(d.pools, pool, by)
	addTo(d.teams, team, by)
}

func addTo[K comparable](m map[K]Load, key K, by Load) {
	sum := m[key].plus(by)
	if sum == (Load{}) {
		delete(m, key)
		return
	}
	m[key] = sum
}

func queuedDelta(urgent bool, n int) Load {
	if urgent {
		return Load{Queued: n, Urgent: n}
	}
	return Load{Queued: n}
}
