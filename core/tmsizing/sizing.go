// Package tmsizing divides the instances of a fleet among its pools while the pools need
// more than the fleet has. It decides from values alone, without a clock and without I/O.
package tmsizing

import (
	"math"

	"turmericmoor/core/tmshare"
)

// Need is how many instances one pool needs.
type Need struct {
	// Floor is the number of instances that the pool keeps in any case, because they run
	// tasks that last or because the pool needs a reserve.
	Floor int
	// Timely is the number of instances for the work that can still end in time, and All
	// that for all work. Both include Floor.
	Timely, All int
}

// Targets divides total instances among pools, one target for each need. It reports
// whether the pools need more than there is; otherwise each target is the need itself.
//
// Under scarcity the floors go first. What is left is divided by weighted max-min
// fairness for the work that can still end in time, and only what this leaves for work that
// is late anyway: an instance that serves late work in one pool helps no caller, while one
// that moves to a pool with timely work does.
func Targets(total int, needs []Need) (targets []int, scarce bool) {
	targets = make([]int, len(needs))
	sum, left := 0, total
	for i, n := range needs {
		targets[i] = n.Floor
		left -= n.Floor
		sum += max(n.All, n.Floor)
	}
	if sum <= total {
		for i, n := range needs {
			targets[i] = max(n.All, n.Floor)
		}
		return targets, false
	}
	left = grant(targets, left, needs, func(n Need) int { return min(n.Timely, n.All) })
	grant(targets, left, needs, func(n Need) int { return n.All })
	return targets, true
}

// grant divides left among the pools whose target is below what they want, and returns
// what remains.
func grant(targets []int, left int, needs []Need, want func(Need) int) int {
	if left <= 0 {
		return 0
	}
	claims := make([]tmshare.Claim, len(needs))
	for i, n := range needs {
		claims[i] = tmshare.Claim{Demand: float64(want(n) - targets[i]), Limit: math.Inf(1), Share: 1}
	}
	for i, part := range tmshare.Divide(float64(left), claims) {
		whole := int(part)
		targets[i] += whole
		left -= whole
	}
	return left
}
