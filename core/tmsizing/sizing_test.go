package tmsizing_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmsizing"
)

func ExampleTargets() {
	// The first pool has a backlog that is late, the second a burst that can still be served.
	fmt.Println(tmsizing.Targets(100, []tmsizing.Need{
		{Floor: 5, Timely: 20, All: 140},
		{Floor: 5, Timely: 90, All: 90},
	}))
	// Output: [20 80] true
}

// Guards against a division that changes anything while there is enough.
func TestNeedsAreMetWithoutScarcity(t *testing.T) {
	targets, scarce := tmsizing.Targets(30, []tmsizing.Need{{Floor: 2, Timely: 3, All: 10}, {Floor: 8, Timely: 1, All: 5}})
	assert.DeepEqual(t, targets, []int{10, 8})
	assert.Assert(t, !scarce)
}

// Guards against a pool with timely work that gets less than an equal share because another
// pool has more late work.
func TestTargetsUnderScarcity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		needs := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) tmsizing.Need {
			floor := rapid.IntRange(0, 10).Draw(t, "floor")
			timely := floor + rapid.IntRange(0, 200).Draw(t, "timely")
			return tmsizing.Need{Floor: floor, Timely: timely, All: timely + rapid.IntRange(0, 200).Draw(t, "late")}
		}), 1, 6).Draw(t, "needs")
		total := rapid.IntRange(0, 600).Draw(t, "total")
		targets, scarce := tmsizing.Targets(total, needs)
		sum, floors, all := 0, 0, 0
		for i, n := range needs {
			assert.Assert(t, targets[i] >= n.Floor && targets[i] <= max(n.All, n.Floor))
			sum, floors, all = sum+targets[i], floors+n.Floor, all+n.All
		}
		assert.Equal(t, scarce, all > total)
		assert.Assert(t, sum <= max(total, floors))
		if !scarce || floors >= total {
			return
		}
		equal := (total - floors) / len(needs)
		for i, n := range needs {
			assert.Assert(t, targets[i] >= min(n.Timely, n.Floor+equal))
		}
	})
}
