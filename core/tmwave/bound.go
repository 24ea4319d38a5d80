package tmwave

import (
	"slices"

	"turmericmoor/core/tmclock"
)

// Cycle is the time for which one instance was out of service in a wave, from
// its drain until it served again.
type Cycle struct {
	Pool, Zone string
	Duration   tmclock.Span
}

// MakespanLowerBound returns a lower bound on the duration of any maintenance
// schedule with the given cycles. Pools are maintained in parallel. A pool has
// at most its budget of instances out of service and, if zones is set, only
// instances of one zone at a time.
func MakespanLowerBound(cycles []Cycle, budgets map[string]int, zones bool) tmclock.Span {
	groups := make(map[string]map[string][]tmclock.Span)
	for _, c := range cycles {
		if groups[c.Pool] == nil {
			groups[c.Pool] = make(map[string][]tmclock.Span)
		}
		zone := c.Zone
		if !zones {
			zone = ""
		}
		groups[c.Pool][zone] = append(groups[c.Pool][zone], c.Duration)
	}
	var longest tmclock.Span
	for pool, byZone := range groups {
		var sum tmclock.Span
		for _, durations := range byZone {
			sum += makespanBound(durations, max(budgets[pool], 1))
		}
		longest = max(longest, sum)
	}
	return longest
}

// makespanBound returns the standard lower bound for scheduling jobs on
// identical machines: the maximum of the mean load, the longest job and, if
// there are more jobs than machines, the sum of the two shortest among the
// machines+1 longest jobs, two of which must share a machine.
func makespanBound(durations []tmclock.Span, machines int) tmclock.Span {
	sorted := slices.Clone(durations)
	slices.Sort(sorted)
	slices.Reverse(sorted)
	var sum tmclock.Span
	for _, d := range sorted {
		sum += d
	}
	bound := max(sorted[0], (sum+tmclock.Span(machines)-1)/tmclock.Span(machines))
	if len(sorted) > machines {
		bound = max(bound, sorted[machines-1]+sorted[machines])
	}
	return bound
}
