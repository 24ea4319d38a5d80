package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmshard"
)

// Guards against a start beyond the allowed attempts: a new owner learned of the last
// permitted failure of a task before it had read the configuration, so it did not fail
// the job, and the task was started once more.
func TestNoStartAfterTheLastAttempt(t *testing.T) {
	f := newFixture(t, 1)
	f.c = New(tmshard.Whole, testBounds(), 2, func(e tmevent.Event) { f.t.Log(f.now, e.Name, e.Fields) })
	f.c.OwnershipConfirmed(f.now)
	f.c.SetEndpoint(f.endpointInfo(1), f.now)
	f.c.Submitted(oneTask("j"))
	f.c.Restore(tmjob.Progress{ID: "j", Tasks: []tmjob.TaskRecord{
		{Runs: 2, Failures: 1, Placements: []tmjob.Placement{{Run: 2, Endpoint: "e1", EndpointStart: 5}}},
	}}, f.now)
	f.c.Loaded()
	f.end("e1", tmjob.TaskID{Job: "j"}, 2, EndFailed)
	f.c.Apply(DesiredState{Rules: testRules(1)}, f.now)
	assert.Equal(t, len(f.advance(100)), 0)
	assert.Assert(t, f.c.jobs["j"] == nil, "job was not failed, stored and removed")
}
