package tmorder

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

func cpu(n int64) tmjob.Resources { return tmjob.Resources{CPU: n} }

// Guards against a reservation later than the earliest time, on more places than needed, or
// for tasks that never fit, and against one that ignores the maximum for each place.
func TestReserve(t *testing.T) {
	places := []Place{
		{Free: cpu(1), Ends: []End{{At: 300, Frees: cpu(2)}, {At: 100, Frees: cpu(3)}}},
		{Free: cpu(2), Ends: []End{{At: 200, Frees: cpu(2)}}},
		{Free: cpu(3), Max: 1},
	}
	for _, test := range []struct {
		tasks, size int64
		at          tmclock.Millis
		counts      []int64
	}{
		{1, 3, 50, []int64{0, 0, 1}},
		{1, 4, 100, []int64{1, 0, 0}},
		{4, 2, 100, []int64{2, 1, 1}},
		{5, 2, 200, []int64{2, 2, 1}},
		{3, 1, 50, []int64{1, 2, 0}},
		{9, 2, 0, nil},
	} {
		r, ok := Reserve(test.tasks, cpu(test.size), places, 50)
		assert.Equal(t, ok, test.counts != nil)
		assert.Equal(t, r.At, test.at)
		assert.DeepEqual(t, r.Counts, test.counts)
	}
}
