package tmchange

import (
	"fmt"

	"turmericmoor/core/tmfleet"
)

// Planned reports whether operators or a wave made the instance unavailable on
// purpose: it drains, reboots, leaves or is being moved.
func Planned(in tmfleet.Instance) bool {
	return in.Duty() != tmfleet.Serving || in.MoveTo() != ""
}

// Unavailable reports whether the instance counts against the budget of its
// pool.
func Unavailable(c tmfleet.Config, live Liveness, in tmfleet.Instance) bool {
	return !c.Usable(in) || !live(in.Name())
}

// Usage counts the instances of a pool.
type Usage struct {
	// Size is the number of instances in the pool.
	Size int
	// Unavailable is how many of them count against the budget.
	Unavailable int
	// Planned is how many of them are unavailable on purpose.
	Planned int
}

// UsageOf returns the usage of every pool that has instances, by pool.
func UsageOf(c tmfleet.Config, live Liveness) map[string]Usage {
	usage := make(map[string]Usage, c.Pools().Len())
	for _, in := range c.Instances().All() {
		u := usage[in.Pool()]
		u.Size++
		if Unavailable(c, live, in) {
			u.Unavailable++
		}
		if Planned(in) {
			u.Planned++
		}
		usage[in.Pool()] = u
	}
	return usage
}

// checkPools refuses a budget, set by this request, that would permit all
// instances of a pool to be unavailable, or fewer than are unavailable on
// purpose. A pool without instances takes any budget, because its instances
// are added later.
func (d *draft) checkPools() {
	usage := UsageOf(d.config, d.live)
	for name, pool := range d.config.Pools().All() {
		index, set := d.budgetSet[name]
		if !set {
			continue
		}
		budget, u := pool.Budget().MaxUnavailable(), usage[name]
		if u.Size > 0 && budget >= u.Size {
			d.refuse(Problem{
				Field:    fieldOf(index, "max_unavailable"),
				Message:  fmt.Sprintf("is %d, pool %q has only %d instances", budget, name, u.Size),
				Expected: belowSize(u.Size),
			})
		}
		if budget < u.Planned {
			d.refuse(Problem{
				Field:      fieldOf(index, "max_unavailable"),
				Message:    fmt.Sprintf("is %d, %d instances of pool %q are unavailable on purpose", budget, u.Planned, name),
				Expected:   fmt.Sprintf("at least %d, or mark_serving first", u.Planned),
				overBudget: true,
			})
		}
	}
}

func belowSize(size int) string {
	if size == 1 {
		return "at least 2 instances in the pool"
	}
	return fmt.Sprintf("1 to %d", size-1)
}

// checkBudgets refuses each planned step into a pool that has more unavailable
// instances afterwards than its budget permits.
func (d *draft) checkBudgets() {
	usage := UsageOf(d.config, d.live)
	for name, in := range d.config.Instances().All() {
		if !Planned(in) || d.plannedBefore(in) {
			continue
		}
		pool, _ := d.config.Pools().Get(in.Pool())
		budget, unavailable := pool.Budget().MaxUnavailable(), usage[in.Pool()].Unavailable
		if unavailable <= budget {
			continue
		}
		d.refuse(Problem{
			Field:      fieldOf(d.touched[name], "name"),
			Message:    fmt.Sprintf("instance %q would be one of %d unavailable instances of pool %q", name, unavailable, in.Pool()),
			Expected:   fmt.Sprintf("at most %d unavailable, the budget of the pool", budget),
			overBudget: true,
		})
	}
}

// plannedBefore reports whether the instance was unavailable on purpose in the
// same pool before the request.
func (d *draft) plannedBefore(in tmfleet.Instance) bool {
	old, ok := d.before.Instances().Get(in.Name())
	return ok && Planned(old) && old.Pool() == in.Pool()
}
