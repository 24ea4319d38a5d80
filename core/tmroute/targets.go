package tmroute

import (
	"cmp"
	"math"
	"slices"

	"turmericmoor/core/tmshare"
)

// EndpointSlots is an endpoint whose slots are divided among entries.
type EndpointSlots struct {
	Name  string
	Slots int
}

// Targets has the slots that each entry should lease at each endpoint.
type Targets struct {
	slots map[targetCell]int
}

type targetCell struct {
	endpoint, entry string
}

// Get returns the number of slots that the entry should lease.
func (t Targets) Get(endpoint, entry string) int {
	return t.slots[targetCell{endpoint: endpoint, entry: entry}]
}

// Planner divides the slots of one pool among entries in proportion to their
// demand. It keeps the demand that it last used, so that small changes of
// demand move no leases.
type Planner struct {
	used      map[string]int
	endpoints []EndpointSlots
	last      Targets
}

// A change of an entry's demand counts when it is more than a tenth and more
// than 2 tasks, or when demand begins or ends.
const (
	demandPart  = 10
	demandTasks = 2
)

// NewPlanner returns a Planner that has made no plan yet.
func NewPlanner() *Planner { return &Planner{} }

// Plan returns the targets for the demand of the entries, in queued and running
// tasks. No endpoint's targets add up to more than its slots, and each entry
// with demand has a slot somewhere, as long as there are enough. It takes
// O(endpoints * entries log entries) when something has changed.
func (p *Planner) Plan(endpoints []EndpointSlots, demand map[string]int) Targets {
	if p.used != nil && slices.Equal(p.endpoints, endpoints) && !p.differs(demand) {
		return p.last
	}
	p.endpoints = slices.Clone(endpoints)
	p.used = map[string]int{}
	for entry, n := range demand {
		if n > 0 {
			p.used[entry] = n
		}
	}
	p.last = divideSlots(endpoints, p.used)
	return p.last
}

func (p *Planner) differs(demand map[string]int) bool {
	for entry, n := range demand {
		old := p.used[entry]
		if (n > 0) != (old > 0) {
			return true
		}
		by := max(n-old, old-n)
		if by > demandTasks && by*demandPart > old {
			return true
		}
	}
	for entry := range p.used {
		if _, ok := demand[entry]; !ok {
			return true
		}
	}
	return false
}

// divideSlots goes through the endpoints in the order of their names. What the
// rounding at one endpoint owes an entry is carried over to the next, so the
// parts of the whole pool are exact too.
func divideSlots(endpoints []EndpointSlots, demand map[string]int) Targets {
	entries := make([]string, 0, len(demand))
	for entry := range demand {
		entries = append(entries, entry)
	}
	slices.Sort(entries)
	order := slices.SortedFunc(slices.Values(endpoints), func(a, b EndpointSlots) int {
		return cmp.Compare(a.Name, b.Name)
	})
	parts := poolParts(order, entries, demand)
	out := Targets{slots: map[targetCell]int{}}
	rest := 0
	for _, e := range order {
		rest += max(e.Slots, 0)
	}
	for _, e := range order {
		for i, n := range roundAt(e.Slots, rest, parts) {
			parts[i] -= n
			if n > 0 {
				out.slots[targetCell{endpoint: e.Name, entry: entries[i]}] = n
			}
		}
		rest -= max(e.Slots, 0)
	}
	return out
}

// poolParts returns each entry's slots in the whole pool, at least 1 for each
// where possible.
func poolParts(endpoints []EndpointSlots, entries []string, demand map[string]int) []int {
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
			parts[largest(parts)]--
			parts[i] = 1
		}
	}
	return parts
}

func largest(parts []int) int {
	best := 0
	for i, n := range parts {
		if n > parts[best] {
			best = i
		}
	}
	return best
}

// roundAt divides the slots of one endpoint by the parts that are still owed
// out of rest slots. It never gives an entry more than it is owed.
func roundAt(slots, rest int, owed []int) []int {
	out := make([]int, len(owed))
	if slots <= 0 || rest <= 0 {
		return out
	}
	left := slots
	order := make([]int, len(owed))
	remainder := make([]float64, len(owed))
	for i, n := range owed {
		exact := float64(slots) * float64(n) / float64(rest)
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
		if out[i] < owed[i] {
			out[i]++
			left--
		}
	}
	return out
}

// Surplus returns how many leased slots an entry gives back: those above its
// target that are idle.
func Surplus(target, leased, running int) int {
	return max(0, min(leased-target, leased-running))
}
