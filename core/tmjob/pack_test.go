package tmjob_test

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// Guards against steps that are not the same once they are due.
func TestPackedStepsAreKept(t *testing.T) {
	number := rapid.IntRange(0, 1<<40)
	rapid.Check(t, func(t *rapid.T) {
		steps := make([]tmjob.Step, rapid.IntRange(1, 40).Draw(t, "steps"))
		for i := range steps {
			flag := func(name string) bool { return rapid.Bool().Draw(t, name) }
			steps[i] = tmjob.Step{
				Count: number.Draw(t, "count"), Size: tmjob.Resources{CPU: int64(number.Draw(t, "cpu")), Mem: int64(number.Draw(t, "mem")), GPU: int64(number.Draw(t, "gpu"))},
				Estimate: tmclock.Span(number.Draw(t, "estimate")), Checkpoint: flag("checkpoint"), Gang: flag("gang"), SameRack: flag("rack"),
				Label: rapid.String().Draw(t, "label"), DataRack: rapid.String().Draw(t, "data"), PerEndpoint: number.Draw(t, "per"),
				Speculative: flag("speculative"), LongRunning: flag("long"), Image: rapid.String().Draw(t, "image"),
				LatencyTarget: tmclock.Span(number.Draw(t, "latency")), BestEffort: flag("effort"), MaxUnavailable: number.Draw(t, "unavailable"),
			}
			if i > 0 {
				steps[i].After = []int{i - 1}
			}
		}
		packed, err := tmjob.PackSteps(steps)
		assert.NilError(t, err)
		assert.Assert(t, !packed.IsEmpty())
		got, err := packed.Unpack()
		assert.NilError(t, err)
		assert.DeepEqual(t, got, steps)
	})
}

// Guards against an owner whose memory is exhausted by jobs for a later time: those of many steps
// take little of it.
func TestManyStepsTakeLittleMemory(t *testing.T) {
	const maxBytesPerStep = 16
	steps := make([]tmjob.Step, tmjob.MaxSteps)
	for i := range steps {
		steps[i] = tmjob.Step{Count: 1, Size: tmjob.Resources{CPU: 100, Mem: 10}, Estimate: 500, After: []int{max(0, i-1)}}
	}
	packed, err := tmjob.PackSteps(steps)
	assert.NilError(t, err)
	assert.Assert(t, packed.Size() < maxBytesPerStep*len(steps), "%d bytes", packed.Size())
}
