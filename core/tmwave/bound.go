package tmwave

import (
	"slices"

	"turmericmoor/core/tmclock"
)

// Cycle is how long one instance was out of service in a wave.
type Cycle struct {
	Pool, Zone string
	Length     tmclock.Span
}

// LowerBound returns the least time in which any schedule can maintain the
// instances whose times out of service are known: pools work side by side, a
// pool has at most its budget out of service and, when zones is set, only
// instances of one zone at a time.
func LowerBound(cycles []Cycle, budgets map[string]int, zones bool) tmclock.Span {
	groups := make(map[string]map[string][]tmclock.Span)
	for _, c := range cycles {
		if groups[c.Pool] == nil {
			groups[c.Pool] = make(map[string][]tmclock.Span)
		}
		zone := c.Zone
		if !zones {
			zone = ""
		}
		groups[c.Pool][zone] = append(groups[c.Pool][zone], c.Length)
	}
	var longest tmclock.Span
	for pool, byZone := range groups {
		var sum tmclock.Span
		for _, lengths := range byZone {
			sum += makespanBound(lengths, max(budgets[pool], 1))
		}
		longest = max(longest, sum)
	}
	return longest
}

// makespanBound returns the usual bound for jobs on identical machines: the
// mean load, the longest job, and the two jobs that have to share a machine
// when there are more jobs than machines.
func makespanBound(lengths []tmclock.Span, machines int) tmclock.Span {
	sorted := slices.Clone(lengths)
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
