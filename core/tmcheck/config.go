package tmcheck

import (
	"fmt"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmfleet"
)

// fleet holds the counts of a configuration from which warnings follow.
type fleet struct {
	config tmfleet.Config
	usage  map[string]tmchange.Usage
	// slots, members and usable count by pool. An instance that is being moved
	// counts for the pool to which it moves, because a move is temporary.
	slots, members, usable map[string]int
	// used has the zones that have an instance.
	used map[string]bool
}

// checkConfig returns the warnings about c, ordered by section and name.
func checkConfig(c tmfleet.Config, live tmchange.Liveness) []Finding {
	f := &fleet{
		config:  c,
		usage:   tmchange.UsageOf(c, live),
		slots:   map[string]int{},
		members: map[string]int{},
		usable:  map[string]int{},
		used:    map[string]bool{},
	}
	for _, in := range c.Instances().All() {
		f.count(in)
	}
	findings := f.checkZones()
	findings = append(findings, f.checkPools()...)
	findings = append(findings, f.checkQueues()...)
	return append(findings, f.checkTeams()...)
}

func (f *fleet) count(in tmfleet.Instance) {
	pool := in.Pool()
	if in.MoveTo() != "" {
		pool = in.MoveTo()
	}
	f.slots[pool] += in.Slots()
	f.members[pool]++
	f.used[in.Zone()] = true
	if f.config.Usable(in) {
		f.usable[pool]++
	}
}

func warning(name Name, section, entry, message, expected string) Finding {
	return Finding{Name: name, Severity: Warning, Place: section + "." + entry, Message: message, Expected: expected}
}

func (f *fleet) checkZones() (findings []Finding) {
	for name := range f.config.Zones().All() {
		if !f.used[name] {
			findings = append(findings, warning(ZoneWithoutInstances, sectionZones, name,
				"no instance is in the zone", "an instance in it, or no such zone"))
		}
	}
	return findings
}

func (f *fleet) checkPools() (findings []Finding) {
	for name, pool := range f.config.Pools().All() {
		if f.members[name] == 0 {
			findings = append(findings, warning(PoolWithoutInstances, sectionPools, name,
				"no instance is in the pool or moves to it", "an instance in it, or no such pool"))
		}
		budget, u := pool.Budget().MaxUnavailable(), f.usage[name]
		switch {
		case u.Size > 0 && budget >= u.Size:
			findings = append(findings, warning(BudgetCoversPool, sectionPools, name,
				fmt.Sprintf("the budget of %d lets a wave take all %d instances at a time", budget, u.Size),
				"a budget below the number of instances, of which there must be at least 2"))
		case u.Unavailable > budget:
			findings = append(findings, warning(BudgetOverrun, sectionPools, name,
				fmt.Sprintf("%d instances are unavailable, above the budget of %d, so waves and moves wait", u.Unavailable, budget),
				fmt.Sprintf("at most %d unavailable instances, or a larger budget", budget)))
		}
	}
	return findings
}

func (f *fleet) checkQueues() (findings []Finding) {
	for name, q := range f.config.Queues().All() {
		if f.usable[q.Pool()] == 0 {
			findings = append(findings, warning(QueueUnserved, sectionQueues, name,
				fmt.Sprintf("pool %q has no instance that may start tasks", q.Pool()),
				"a pool with a serving instance in a zone that is in service"))
		}
	}
	return findings
}

func (f *fleet) checkTeams() (findings []Finding) {
	keys := map[string]bool{}
	for _, k := range f.config.Keys().All() {
		keys[k.Team()] = true
	}
	for name, team := range f.config.Teams().All() {
		queues, slots := f.reach(name, keys[name])
		switch {
		case !keys[name] && queues == 0:
			findings = append(findings, warning(TeamWithoutAccess, sectionTeams, name,
				"the team has neither a key nor an open queue, so it can't run tasks", "a granted key or an open queue of the team"))
		case queues > 0 && team.Limit() > slots:
			findings = append(findings, warning(LimitAbovePools, sectionTeams, name,
				fmt.Sprintf("the limit is %d, but the pools of the queues that the team can use have %d slots", team.Limit(), slots),
				fmt.Sprintf("at most %d", slots)))
		}
	}
	return findings
}

// reach returns how many queues the team can use and how many slots their pools
// have. The holder of a key can use every queue, a team without one only the open
// queues that count for it.
func (f *fleet) reach(team string, hasKey bool) (queues, slots int) {
	pools := map[string]bool{}
	for _, q := range f.config.Queues().All() {
		if !hasKey && (!q.Open() || q.Team() != team) {
			continue
		}
		queues++
		if !pools[q.Pool()] {
			pools[q.Pool()] = true
			slots += f.slots[q.Pool()]
		}
	}
	return queues, slots
}
