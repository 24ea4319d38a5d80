package tmshare

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmfleet"
)

// TestDivideIsMaxMin guards against a division in which a team could get more
// at the cost of one that has more for its share.
func TestDivideIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.IntRange(0, 50)
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Claim {
			return Claim{
				Demand: float64(number.Draw(t, "demand")),
				Limit:  float64(number.Draw(t, "limit")),
				Share:  float64(rapid.IntRange(1, 9).Draw(t, "share")),
			}
		}), 1, 20).Draw(t, "claims")
		capacity := float64(rapid.IntRange(0, 300).Draw(t, "capacity"))
		parts := Divide(capacity, claims)
		total, wanted := 0.0, 0.0
		for i, c := range claims {
			total += parts[i]
			wanted += c.most()
			assert.Assert(t, parts[i] <= c.most()+1e-9)
			for j, d := range claims {
				hungry := parts[i] < c.most()-1e-9
				assert.Assert(t, !hungry || parts[j]/d.Share <= parts[i]/c.Share+1e-9)
			}
		}
		assert.Assert(t, math.Abs(total-min(capacity, wanted)) < 1e-6)
	})
}

// TestApportionIsExact guards against parts that don't add up or are more than
// one away from the exact proportion.
func TestApportionIsExact(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(t, "weights")
		total := rapid.IntRange(0, 500).Draw(t, "total")
		parts := Apportion(total, weights)
		sum, all := 0, 0.0
		for i, w := range weights {
			sum += parts[i]
			all += w
		}
		if all == 0 {
			return
		}
		assert.Equal(t, sum, total)
		for i, w := range weights {
			assert.Assert(t, math.Abs(float64(parts[i])-float64(total)*w/all) < 1+1e-6)
		}
	})
}

// TestVictimIsFurthestAbove guards against a checkpoint of a team within its
// entitlement, or of a task that has done much work.
func TestVictimIsFurthestAbove(t *testing.T) {
	usage := NewUsage()
	usage.SetShares(tmfleet.Table[string, tmfleet.Team]{})
	usage.Report("peer", map[string]int{"a": 10, "b": 12, "c": 5})
	tasks := NewTasks(usage)
	tasks.Add(Task{ID: "a1", Pool: "p", Team: "a", Started: 1})
	tasks.Add(Task{ID: "b2", Pool: "p", Team: "b", Started: 9})
	tasks.Add(Task{ID: "b1", Pool: "p", Team: "b", Started: 3})
	entitled := Entitlements{"a": 10, "b": 9, "c": 9}
	v, ok := tasks.ForReturning("p", "c", entitled)
	assert.Assert(t, ok && v.ID == "b2")
	tasks.Remove("b2")
	tasks.Remove("b1")
	_, ok = tasks.ForReturning("p", "c", entitled)
	assert.Assert(t, !ok, "no team is above its entitlement")
	v, ok = tasks.ForUrgent("p", entitled)
	assert.Assert(t, ok && v.ID == "a1")
}

// TestShortageHasToLast guards against checkpoints for a shortage that tasks
// ending by themselves make up for.
func TestShortageHasToLast(t *testing.T) {
	usage := NewUsage()
	tasks := NewTasks(usage)
	assert.Equal(t, tasks.Missing(1000, "a", 20, 0.5), 0)
	assert.Equal(t, tasks.Missing(2000, "a", 20, 0.5), 0)
	assert.Equal(t, tasks.Missing(2500, "a", 20, 0.5), 10)
	usage.Report("peer", map[string]int{"a": 16})
	assert.Equal(t, tasks.Missing(2600, "a", 20, 0.5), 0)
	usage.Forget("peer")
	assert.Equal(t, tasks.Missing(2700, "a", 20, 0.5), 0)
}
