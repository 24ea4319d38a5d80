package tmshare

import "iter"

// Load is a number of requests by state, such as those of one team in one pool.
type Load struct {
	// Queued includes the urgent requests, Urgent counts only those.
	Queued, Urgent, Running int
}

// Total returns the sum of queued and running requests.
func (l Load) Total() int { return l.Queued + l.Running }

func (l Load) plus(o Load) Load {
	return Load{Queued: l.Queued + o.Queued, Urgent: l.Urgent + o.Urgent, Running: l.Running + o.Running}
}

// PoolTeam identifies the load of one team in one pool.
type PoolTeam struct {
	Pool, Team string
}

// Demand has the loads by pool and team, and their sums by pool and by team.
// Empty loads are absent.
type Demand struct {
	loads map[PoolTeam]Load
	pools map[string]Load
	teams map[string]Load
}

func newDemand() *Demand {
	return &Demand{loads: map[PoolTeam]Load{}, pools: map[string]Load{}, teams: map[string]Load{}}
}

// Get returns the load of a team in a pool.
func (d *Demand) Get(pool, team string) Load { return d.loads[PoolTeam{Pool: pool, Team: team}] }

// Pool returns the load of a pool.
func (d *Demand) Pool(pool string) Load { return d.pools[pool] }

// Team returns the load of a team, summed over all pools.
func (d *Demand) Team(team string) Load { return d.teams[team] }

// All iterates over the loads that aren't empty, in no particular order.
func (d *Demand) All() iter.Seq2[PoolTeam, Load] {
	return func(yield func(PoolTeam, Load) bool) {
		for c, l := range d.loads {
			if !yield(c, l) {
				return
			}
		}
	}
}

// RunningByTeam returns a copy of the running counts, for heartbeats.
func (d *Demand) RunningByTeam() map[string]int {
	out := make(map[string]int, len(d.teams))
	for team, l := range d.teams {
		if l.Running > 0 {
			out[team] = l.Running
		}
	}
	return out
}

func (d *Demand) add(pool, team string, delta Load) {
	addTo(d.loads, PoolTeam{Pool: pool, Team: team}, delta)
	addTo(d.pools, pool, delta)
	addTo(d.teams, team, delta)
}

func addTo[K comparable](m map[K]Load, key K, delta Load) {
	sum := m[key].plus(delta)
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
