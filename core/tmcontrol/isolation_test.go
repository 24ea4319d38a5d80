package tmcontrol

import (
	"fmt"
	"testing"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// submitSuspect submits a job whose only task is a suspect.
func (f *fixture) submitSuspect(job string, suspicions int) {
	f.c.Submitted(oneTask(job))
	f.c.Tick(f.now, int64(f.now))
	t := f.c.jobs[job].task(tmjob.TaskID{Job: job})
	t.crashes, t.suspicions, t.suspectedAt = 1, suspicions, f.now
	t.step.occ.job.hasSuspects = true
}

// finishAll ends all runs well.
func (f *fixture) finishAll() {
	for _, e := range f.c.sorted() {
		for _, r := range f.runs[e.info.ID] {
			f.end(e.info.ID, r.Task, r.Run, EndDone)
		}
	}
}

// Guards against a suspect that never starts because less suspicious ones keep coming.
func TestMostSuspiciousTaskIsNotStarved(t *testing.T) {
	f := newFixture(t, 2)
	f.submitSuspect("j", maxSuspicions-1)
	const step = 500 * tmclock.Millisecond
	for i := range int(2 * maxIsolationWait / step) {
		f.submitSuspect(fmt.Sprintf("other%d", i), suspectedUnstarted)
		f.advance(step)
		if f.placeOf("j") != "" {
			return
		}
		f.finishAll()
	}
	t.Fatal("the task waited for twice the time that others may wait")
}
