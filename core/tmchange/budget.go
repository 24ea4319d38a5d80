package tmchange

import (
	"fmt"

	"turmericmoor/core/tmfleet"
)

// PlannedUnavailable reports whether operators or a maintenance wave made the
// instance unavailable: it is draining, rebooting, leaving or being moved.
func PlannedUnavailable(in tmfleet.Instance) bool {
	return in.Duty() != tmfleet.Serving || in.MoveTo() != ""
}

// Unavailable reports whether the instance counts against the availability budget
// of its pool.
func Unavailable(c tmfleet.Config, live Liveness, in tmfleet.Instance) bool {
	return !c.Usable(in) || !live(in.Name())
}

// Usage counts the instances of a pool.
type Usage struct {
	// Size is the number of instances in the pool.
	Size int
	// Unavailable is how many of them count against the budget.
	Unavailable int
	// Planned is how many of them are unavailable by plan.
	Planned int
}

// UsageOf returns the Usage of every pool that has instances, by pool name.
func UsageOf(c tmfleet.Config, live Liveness) map[string]Usage {
	usage := make(map[string]Usage, c.Pools().Len())
	for _, in := range c.Instances().All() {
		u := usage[in.Pool()]
		u.Size++
		if Unavailable(c, live, in) {
			u.Unavailable++
		}
		if PlannedUnavailable(in) {
			u.Planned++
		}
		usage[in.Pool()] = u
	}
	return usage
}

// checkPools rejects a budget set by this request that would permit all instances
// of a pool to be unavailable, or that is less than the number of instances that
// are unavailable by plan. A pool without instances accepts any budget, because
// its instances are added later.
func (d *draft) checkPools() {
	usage := UsageOf(d.config, d.live)
	for name, pool := range d.config.Pools().All() {
		index, set := d.budgetChange[name]
		if !set {
			continue
		}
		budget, u := pool.Budget().MaxUnavailable(), usage[name]
		if u.Size > 0 && budget >= u.Size {
			d.addProblem(Problem{
				Kind:     BudgetTooLarge,
				Field:    fieldPath(index, "max_unavailable"),
				Message:  fmt.Sprintf("is %d, but pool %q has only %d instances", budget, name, u.Size),
				Expected: expectedBudget(u.Size),
			})
		}
		if budget < u.Planned {
			d.addProblem(Problem{
				Kind:     BudgetBelowPlanned,
				Field:    fieldPath(index, "max_unavailable"),
				Message:  fmt.Sprintf("is %d, but %d instances of pool %q are draining, rebooting, leaving or being moved", budget, u.Planned, name),
				Expected: fmt.Sprintf("at least %d, or mark_serving first", u.Planned),
			})
		}
	}
}

func expectedBudget(size int) string {
	if size == 1 {
		return "at least 2 instances in the pool"
	}
	return fmt.Sprintf("1 to %d", size-1)
}

// checkBudgets rejects each change that newly makes an instance unavailable by
// plan while its pool has more unavailable instances afterwards than its budget
// permits.
func (d *draft) checkBudgets() {
	usage := UsageOf(d.config, d.live)
	for name, in := range d.config.Instances().All() {
		if !PlannedUnavailable(in) || d.plannedBefore(in) {
			continue
		}
		pool, _ := d.config.Pools().Get(in.Pool())
		budget, unavailable := pool.Budget().MaxUnavailable(), usage[in.Pool()].Unavailable
		if unavailable <= budget {
			continue
		}
		d.addProblem(Problem{
			Kind:     BudgetExceeded,
			Field:    fieldPath(d.instanceChange[name], "name"),
			Message:  fmt.Sprintf("instance %q would be one of %d unavailable instances of pool %q", name, unavailable, in.Pool()),
			Expected: fmt.Sprintf("at most %d unavailable, the budget of the pool", budget),
		})
	}
}

// plannedBefore reports whether the instance was unavailable by plan in the same
// pool before the request.
func (d *draft) plannedBefore(in tmfleet.Instance) bool {
	old, ok := d.before.Instances().Get(in.Name())
	return ok && PlannedUnavailable(old) && old.Pool() == in.Pool()
}
