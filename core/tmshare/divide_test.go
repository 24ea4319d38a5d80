package tmshare

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmfleet"
)

// TestDivideIsMaxMin guards against a division in which a team with unmet demand
// has less in proportion to its share than another team, and against one that
// exceeds the demand or leaves capacity unused.
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
			wanted += c.maxUsable()
			assert.Assert(t, parts[i] <= c.maxUsable()+1e-9)
			for j, d := range claims {
				unsatisfied := parts[i] < c.maxUsable()-1e-9
				assert.Assert(t, !unsatisfied || parts[j]/d.Share <= parts[i]/c.Share+1e-9)
			}
		}
		assert.Assert(t, math.Abs(total-min(capacity, wanted)) < 1e-6)
	})
}

// TestApportionIsExact guards against parts that don't add up to the total, or
// that differ from the exact proportion by one or more.
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

// TestVictimIsFurthestAboveEntitlement guards against a victim of a team within
// its entitlement, and against one that isn't the youngest task of its team and
// so would lose more work.
func TestVictimIsFurthestAboveEntitlement(t *testing.T) {
	usage := NewUsage()
	usage.SetShares(tmfleet.Table[string, tmfleet.Team]{})
	usage.UpdatePeer("peer", map[string]int{"a": 10, "b": 12, "c": 5})
	tasks := NewTasks(usage)
	tasks.Add(Task{ID: "a1", Pool: "p", Team: "a", Started: 1})
	tasks.Add(Task{ID: "b2", Pool: "p", Team: "b", Started: 9})
	tasks.Add(Task{ID: "b1", Pool: "p", Team: "b", Started: 3})
	entitled := Entitlements{"a": 10, "b": 9, "c": 9}
	v, ok := tasks.VictimForTeam("p", "c", entitled)
	assert.Assert(t, ok && v.ID == "b2")
	tasks.Remove("b2")
	tasks.Remove("b1")
	_, ok = tasks.VictimForTeam("p", "c", entitled)
	assert.Assert(t, !ok, "no team is above its entitlement")
	v, ok = tasks.VictimForUrgent("p", entitled)
	assert.Assert(t, ok && v.ID == "a1")
}

// TestBriefShortageNeedsNoCheckpoints guards against checkpoints for a shortage
// that ends soon because tasks finish.
func TestBriefShortageNeedsNoCheckpoints(t *testing.T) {
	usage := NewUsage()
	tasks := NewTasks(usage)
	assert.Equal(t, tasks.CheckpointsNeeded(1000, "a", 20, 0.5), 0)
	assert.Equal(t, tasks.CheckpointsNeeded(2000, "a", 20, 0.5), 0)
	assert.Equal(t, tasks.CheckpointsNeeded(2500, "a", 20, 0.5), 10)
	usage.UpdatePeer("peer", map[string]int{"a": 16})
	assert.Equal(t, tasks.CheckpointsNeeded(2600, "a", 20, 0.5), 0)
	usage.RemovePeer("peer")
	assert.Equal(t, tasks.CheckpointsNeeded(2700, "a", 20, 0.5), 0)
}
