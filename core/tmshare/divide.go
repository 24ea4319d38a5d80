package tmshare

import (
	"cmp"
	"math"
	"slices"
)

// Claim describes how much of a capacity one team could get in a division.
type Claim struct {
	// Demand is how much the team could use, Limit how much it may use.
	Demand, Limit float64
	// Share is the weight of the team. A team with share 0 gets nothing.
	Share float64
}

func (c Claim) maxUsable() float64 { return min(c.Demand, c.Limit) }

// Divide returns the weighted max-min fair division of capacity, one part per
// claim. No team gets more than its demand or its limit. Apart from that, no part
// can grow without shrinking the part of another team that, relative to the team's
// share, is no larger. Divide takes O(n log n).
func Divide(capacity float64, claims []Claim) []float64 {
	out := make([]float64, len(claims))
	order := make([]int, 0, len(claims))
	remainingShares := 0.0
	for i, c := range claims {
		if c.Share > 0 && c.maxUsable() > 0 {
			order = append(order, i)
			remainingShares += c.Share
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].maxUsable()/claims[a].Share, claims[b].maxUsable()/claims[b].Share)
	})
	for _, i := range order {
		c := claims[i]
		out[i] = min(c.maxUsable(), capacity*c.Share/remainingShares)
		capacity -= out[i]
		remainingShares -= c.Share
	}
	return out
}

// Potential estimates how much each team would get if its demand were unlimited
// and all other claims stayed the same, given the result of Divide. When
// capacity is left over or all claims are met, it returns the limits.
func Potential(capacity float64, claims []Claim, parts []float64) []float64 {
	level, allocated := 0.0, 0.0
	for i, c := range claims {
		allocated += parts[i]
		if c.Share > 0 && parts[i] < c.maxUsable() {
			level = max(level, parts[i]/c.Share)
		}
	}
	out := make([]float64, len(claims))
	for i, c := range claims {
		atLevel := level * c.Share
		switch {
		case level == 0 || allocated < capacity*(1-1e-9):
			out[i] = math.Inf(1)
		case atLevel <= parts[i]:
			out[i] = parts[i]
		default:
			// The additional amount is taken from all parts in proportion.
			out[i] = atLevel * capacity / (capacity + atLevel - parts[i])
		}
		out[i] = min(out[i], c.Limit)
	}
	return out
}

// Apportion divides total into integers in proportion to the weights, by the
// largest remainder method. The integers add up to total unless all weights are 0.
// Ties are resolved in favor of the lower index.
func Apportion(total int, weights []float64) []int {
	parts := make([]int, len(weights))
	sum := 0.0
	for _, w := range weights {
		sum += max(w, 0)
	}
	if sum <= 0 || total <= 0 {
		return parts
	}
	unassigned := total
	order := make([]int, 0, len(weights))
	remainders := make([]float64, len(weights))
	for i, w := range weights {
		exact := float64(total) * max(w, 0) / sum
		parts[i] = int(math.Floor(exact))
		remainders[i] = exact - float64(parts[i])
		unassigned -= parts[i]
		if w > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(remainders[b], remainders[a])
	})
	for i := 0; i < unassigned; i++ {
		parts[order[i%len(order)]]++
	}
	return parts
}
