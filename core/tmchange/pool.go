package tmchange

import (
	"fmt"

	"turmericmoor/core/tmfleet"
)

func (c AddPool) apply(d *draft) {
	ok := checkNew(d, "pool", "name", c.Name, d.config.Pools())
	if !d.checkMaxUnavailable(c.MaxUnavailable) || !ok {
		return
	}
	d.setPool(c.Name, c.MaxUnavailable)
}

func (c SetBudget) apply(d *draft) {
	_, ok := lookup(d, "pool", "pool", c.Pool, d.config.Pools())
	if !d.checkMaxUnavailable(c.MaxUnavailable) || !ok {
		return
	}
	d.setPool(c.Pool, c.MaxUnavailable)
}

func (d *draft) setPool(name string, budget int) {
	pool := tmfleet.NewPool(name, tmfleet.NewBudget(budget))
	d.config = d.config.WithPools(d.config.Pools().With(name, pool))
	d.budgetChange[name] = d.index
}

func (d *draft) checkMaxUnavailable(n int) bool {
	if n >= 1 {
		return true
	}
	d.reject(OutOfRange, "max_unavailable", fmt.Sprintf("is %d, so no maintenance wave could take an instance", n), "at least 1 instance")
	return false
}

func (c RemovePool) apply(d *draft) {
	if _, ok := lookup(d, "pool", "name", c.Name, d.config.Pools()); !ok {
		return
	}
	ok := true
	for _, in := range d.config.Instances().All() {
		if in.Pool() == c.Name || in.MoveTo() == c.Name {
			d.reject(InUse, "name", fmt.Sprintf("pool %q has instance %q", c.Name, in.Name()), "a pool that no instance is in or moves to")
			ok = false
			break
		}
	}
	for _, q := range d.config.Queues().All() {
		if q.Pool() == c.Name {
			d.reject(InUse, "name", fmt.Sprintf("pool %q serves queue %q", c.Name, q.Name()), "a pool without queues")
			ok = false
			break
		}
	}
	if ok {
		d.config = d.config.WithPools(d.config.Pools().Without(c.Name))
		delete(d.budgetChange, c.Name)
	}
}

func (c AddQueue) apply(d *draft) {
	ok := checkNew(d, "queue", "name", c.Name, d.config.Queues())
	if _, found := lookup(d, "pool", "pool", c.Pool, d.config.Pools()); !found {
		ok = false
	}
	if !c.checkTeam(d) || !ok {
		return
	}
	queue := tmfleet.NewQueue(c.Name, c.Pool)
	if c.Open {
		queue = tmfleet.NewOpenQueue(c.Name, c.Pool, c.Team)
	}
	d.config = d.config.WithQueues(d.config.Queues().With(c.Name, queue))
}

func (c AddQueue) checkTeam(d *draft) bool {
	if c.Open {
		_, ok := lookup(d, "team", "team", c.Team, d.config.Teams())
		return ok
	}
	if c.Team != "" {
		d.reject(TeamNotPermitted, "team", fmt.Sprintf("is %q for a queue that is not open", c.Team), "no team, because keys decide which team the work counts for")
		return false
	}
	return true
}

func (c RemoveQueue) apply(d *draft) {
	if _, ok := lookup(d, "queue", "name", c.Name, d.config.Queues()); ok {
		d.config = d.config.WithQueues(d.config.Queues().Without(c.Name))
	}
}
