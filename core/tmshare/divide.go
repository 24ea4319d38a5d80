package tmshare

import (
	"cmp"
	"math"
	"slices"
)

// Claim is the claim of one team to a divided capacity.
type Claim struct {
	// Demand is what the team could use, Limit is its upper limit.
	Demand, Limit float64
	// Share is the weight of the team. A team with share 0 gets nothing.
	Share float64
}

func (c Claim) most() float64 { return min(c.Demand, c.Limit) }

// Divide returns the weighted max-min division of capacity: no team gets more
// than it can use, and no team could get more without another, that has no
// more for its share, getting less. It takes O(n log n).
func Divide(capacity float64, claims []Claim) []float64 {
	out := make([]float64, len(claims))
	order := make([]int, 0, len(claims))
	weight := 0.0
	for i, c := range claims {
		if c.Share > 0 && c.most() > 0 {
			order = append(order, i)
			weight += c.Share
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].most()/claims[a].Share, claims[b].most()/claims[b].Share)
	})
	for _, i := range order {
		c := claims[i]
		out[i] = min(c.most(), capacity*c.Share/weight)
		capacity -= out[i]
		weight -= c.Share
	}
	return out
}

// Potential returns about how much each team would get if its demand had no
// bound and all others stayed as they are, given the result of Divide. It is
// infinite for all when capacity is left over.
func Potential(capacity float64, claims []Claim, parts []float64) []float64 {
	level, used := 0.0, 0.0
	for i, c := range claims {
		used += parts[i]
		if c.Share > 0 && parts[i] < c.most() {
			level = max(level, parts[i]/c.Share)
		}
	}
	out := make([]float64, len(claims))
	for i, c := range claims {
		wanted := level * c.Share
		switch {
		case level == 0 || used < capacity*(1-1e-9):
			out[i] = math.Inf(1)
		case wanted <= parts[i]:
			out[i] = parts[i]
		default:
			// What the team gets more, all others give up in proportion.
			out[i] = wanted * capacity / (capacity + wanted - parts[i])
		}
		out[i] = min(out[i], c.Limit)
	}
	return out
}

// Apportion divides total into whole parts in proportion to the weights by the
// method of the largest remainder. The parts add up to total unless all
// weights are 0. On a tie the first gets more.
func Apportion(total int, weights []float64) []int {
	parts := make([]int, len(weights))
	sum := 0.0
	for _, w := range weights {
		sum += max(w, 0)
	}
	if sum <= 0 || total <= 0 {
		return parts
	}
	rest := total
	order := make([]int, 0, len(weights))
	remainders := make([]float64, len(weights))
	for i, w := range weights {
		exact := float64(total) * max(w, 0) / sum
		parts[i] = int(math.Floor(exact))
		remainders[i] = exact - float64(parts[i])
		rest -= parts[i]
		if w > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Compare(remainders[b], remainders[a])
	})
	for i := 0; i < rest; i++ {
		parts[order[i%len(order)]]++
	}
	return parts
}
