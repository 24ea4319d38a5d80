package tmjob_test

import (
	"errors"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmjob"
)

// Guards against one submission that takes the owner down: counts that overflow the sum
// of tasks, or repetitions whose progress outgrows a row, were accepted, and every owner
// that loaded the job ran out of memory or could store nothing any more.
func TestUnboundedJobsAreInvalid(t *testing.T) {
	step := tmjob.Step{Count: 1}
	huge := tmjob.Step{Count: math.MaxInt/2 + 1}
	for name, j := range map[string]tmjob.Job{
		"one huge step":        {Steps: []tmjob.Step{huge}},
		"sum overflows":        {Steps: []tmjob.Step{huge, huge}},
		"repetitions overflow": {Repeats: 4, Steps: []tmjob.Step{huge}},
		"too many repetitions": {Repeats: 1_000_000, Steps: []tmjob.Step{step}},
		"too many tasks":       {Steps: []tmjob.Step{{Count: 601}}},
	} {
		assert.Assert(t, errors.Is(j.Check(), tmjob.ErrInvalid), name)
	}
	j := tmjob.Job{Repeats: 100, Steps: []tmjob.Step{step}}
	assert.NilError(t, j.Check())
}

// Guards against a task name from an endpoint that is accepted but names no task.
func FuzzParseTaskID(f *testing.F) {
	for _, seed := range []string{"a.0.1.2", "a.-1.0.0", "..", "a.0.0.99999999999999999999", "a.b.0.0.0"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, name string) {
		id, err := tmjob.ParseTaskID(name)
		if err == nil && (id.Occurrence < 0 || id.Step < 0 || id.Index < 0) {
			t.Errorf("%q was parsed as %v", name, id)
		}
	})
}
