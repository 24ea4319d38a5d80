package tmroute

import (
	"cmp"
	"math"
	"slices"

	"turmericmoor/core/tmshare"
)

// EndpointSlots is the number of slots of an endpoint to divide among entries.
type EndpointSlots struct {
	Name  string
	Slots int
}

// Targets has the slots that each entry should lease at each endpoint.
type Targets struct {
	slots map[targetKey]int
}

type targetKey struct {
	endpoint, entry string
}

// Get returns the number of slots that the entry should lease at the endpoint.
func (t Targets) Get(endpoint, entry string) int {
	return t.slots[targetKey{endpoint: endpoint, entry: entry}]
}

// Planner divides the slots of one pool among entries in proportion to their
// demand. Hysteresis keeps leases from moving on small changes: it plans again
// only when demand differs enough from that of the last plan.
type Planner struct {
	lastDemand  map[string]int
	endpoints   []EndpointSlots
	lastTargets Targets
}

// A change of an entry's demand leads to a new plan when the change is more than a
// tenth of the demand in the last plan and more than 2 tasks, or when the demand
// begins or ends.
const (
	demandChangeDivisor = 10
	minDemandChange     = 2
)

// NewPlanner returns a Planner without a previous plan.
func NewPlanner() *Planner { return &Planner{} }

// Plan returns the targets for the demand of the entries, which is the number of
// queued and running tasks of each. The sum of the targets at an endpoint never
// exceeds its slots. Each entry with demand gets at least one slot of the pool if
// there are enough. A new plan takes O(endpoints * entries log entries).
func (p *Planner) Plan(endpoints []EndpointSlots, demand map[string]int) Targets {
	if p.lastDemand != nil && slices.Equal(p.endpoints, endpoints) && !p.demandChanged(demand) {
		return p.lastTargets
	}
	p.endpoints = slices.Clone(endpoints)
	p.lastDemand = map[string]int{}
	for entry, n := range demand {
		if n > 0 {
			p.lastDemand[entry] = n
		}
	}
	p.lastTargets = divideSlots(endpoints, p.lastDemand)
	return p.lastTargets
}

func (p *Planner) demandChanged(demand map[string]int) bool {
	for entry, n := range demand {
		old := p.lastDemand[entry]
		if (n > 0) != (old > 0) {
			return true
		}
		change := max(n-old, old-n)
		if change > minDemandChange && change*demandChangeDivisor > old {
			return true
		}
	}
	for entry := range p.lastDemand {
		if _, ok := demand[entry]; !ok {
			return true
		}
	}
	return false
}

// divideSlots divides the slots of each endpoint, in order of name. Rounding
// errors at one endpoint are carried over to the next, so that each entry gets
// exactly its part of the whole pool.
func divideSlots(endpoints []EndpointSlots, demand map[string]int) Targets {
	entries := make([]string, 0, len(demand))
	for entry := range demand {
		entries = append(entries, entry)
	}
	slices.Sort(entries)
	order := slices.SortedFunc(slices.Values(endpoints), func(a, b EndpointSlots) int {
		return cmp.Compare(a.Name, b.Name)
	})
	parts := entrySlots(order, entries, demand)
	out := Targets{slots: map[targetKey]int{}}
	remainingSlots := 0
	for _, e := range order {
		remainingSlots += max(e.Slots, 0)
	}
	for _, e := range order {
		for i, n := range divideEndpoint(e.Slots, remainingSlots, parts) {
			parts[i] -= n
			if n > 0 {
				out.slots[targetKey{endpoint: e.Name, entry: entries[i]}] = n
			}
		}
		remainingSlots -= max(e.Slots, 0)
	}
	return out
}

// entrySlots returns the number of slots of each entry in the whole pool, at
// least 1 each if there are enough.
func entrySlots(endpoints []EndpointSlots, entries []string, demand map[string]int) []int {
	total := 0
	for _, e := range endpoints {
		total += max(e.Slots, 0)
	}
	weights := make([]float64, len(entries))
	for i, entry := range entries {
		weights[i] = float64(demand[entry])
	}
	if total < len(entries) {
		return tmshare.Apportion(total, weights)
	}
	parts := tmshare.Apportion(total, weights)
	for i := range parts {
		if parts[i] == 0 {
			parts[indexOfLargest(parts)]--
			parts[i] = 1
		}
	}
	return parts
}

func indexOfLargest(parts []int) int {
	best := 0
	for i, n := range parts {
		if n > parts[best] {
			best = i
		}
	}
	return best
}

// divideEndpoint divides the slots of one endpoint among the entries. The argument
// unassigned has the number of slots that each entry has not been given yet;
// remainingSlots is the number of slots of this endpoint and all later ones. The
// slots are divided in proportion to unassigned, and no entry gets more than its
// unassigned slots.
func divideEndpoint(slots, remainingSlots int, unassigned []int) []int {
	out := make([]int, len(unassigned))
	if slots <= 0 || remainingSlots <= 0 {
		return out
	}
	left := slots
	order := make([]int, len(unassigned))
	remainder := make([]float64, len(unassigned))
	for i, n := range unassigned {
		exact := float64(slots) * float64(n) / float64(remainingSlots)
		out[i] = min(n, int(math.Floor(exact)))
		remainder[i] = exact - float64(out[i])
		left -= out[i]
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(remainder[b], remainder[a]) })
	for _, i := range order {
		if left == 0 {
			break
		}
		if out[i] < unassigned[i] {
			out[i]++
			left--
		}
	}
	return out
}

// Surplus returns how many leased slots an entry should give back: the idle ones
// above its target.
func Surplus(target, leased, running int) int {
	return max(0, min(leased-target, leased-running))
}
