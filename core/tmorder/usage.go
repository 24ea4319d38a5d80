package tmorder

import (
	"maps"
	"math"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// usageHalfLife is the time in which past usage counts half. It is about the length of a
// burst, so that a team that bursts by turns is not over its share in the next one.
const usageHalfLife = 5 * tmclock.Second

// Usage is what teams use of one pool, now and recently. A new owner builds it anew from the
// runs that it reads; past usage is lost then. The zero value is ready for use. It is not
// safe for concurrent use.
type Usage struct {
	teams map[string]*teamUsage
}

// teamUsage is what one team uses.
type teamUsage struct {
	current tmjob.Resources
	// recent is the exponentially decayed mean of current until at.
	recent [3]float64
	at     tmclock.Millis
}

// Add adds what a run of the team reserves.
func (u *Usage) Add(team string, r tmjob.Resources, now tmclock.Millis) {
	if u.teams == nil {
		u.teams = map[string]*teamUsage{}
	}
	t := u.teams[team]
	if t == nil {
		t = &teamUsage{at: now}
		u.teams[team] = t
	}
	t.decay(now)
	t.current = t.current.Add(r)
}

// Sub subtracts what a run of the team reserved until now.
func (u *Usage) Sub(team string, r tmjob.Resources, now tmclock.Millis) {
	u.Add(team, tmjob.Resources{}.Sub(r), now)
}

func (t *teamUsage) decay(now tmclock.Millis) {
	if !now.After(t.at) {
		return
	}
	left := math.Exp2(-float64(now.Sub(t.at)) / float64(usageHalfLife))
	for i, v := range fields(t.current) {
		t.recent[i] = t.recent[i]*left + float64(v)*(1-left)
	}
	t.at = now
}

// dominant returns the largest fraction of a resource. Those that the pool lacks don't count.
func dominant(use [3]float64, capacity [3]int64) float64 {
	share := 0.0
	for i, v := range use {
		if capacity[i] > 0 {
			share = math.Max(share, v/float64(capacity[i]))
		}
	}
	return share
}

func fields(r tmjob.Resources) [3]int64 { return [3]int64{r.CPU, r.Mem, r.GPU} }

// shares returns the fraction of the capacity that each team uses of its dominant resource,
// the mean of its current and its recent usage, and the teams in order of their names. It
// drops teams whose usage has decayed.
func (u *Usage) shares(capacity tmjob.Resources, now tmclock.Millis) (names []string, shares map[string]float64) {
	const negligible = 1e-3
	shares = map[string]float64{}
	if u == nil {
		return nil, shares
	}
	have := fields(capacity)
	for name, t := range u.teams {
		t.decay(now)
		use := t.recent
		for i, v := range fields(t.current) {
			use[i] = (use[i] + float64(v)) / 2
		}
		share := dominant(use, have)
		if share < negligible && t.current == (tmjob.Resources{}) {
			delete(u.teams, name)
			continue
		}
		shares[name] = share
	}
	return slices.Sorted(maps.Keys(shares)), shares
}

// TeamShare is what a team uses of a scarce pool, as a fraction of its dominant resource, and
// the part that it would get by its weight if it requested more.
type TeamShare struct {
	Team       string
	Used, Part float64
}

// Shares returns the teams of the last order, none if the pool had room.
func (o *Orderer) Shares() []TeamShare { return o.shares }
