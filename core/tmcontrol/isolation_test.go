package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

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
		f.submitSuspect(fmt.Sprintf("other%d", i), suspectedWeakly)
		f.advance(step)
		if f.placeOf("j") != "" {
			return
		}
		f.finishAll()
	}
	t.Fatal("the task waited for twice the time that others may wait")
}

// Guards against forgetting that a task has crashed an endpoint alone, once another task
// turns out to have caused an earlier crash.
func TestCrashAloneIsNotExplainedByAnotherTask(t *testing.T) {
	f := newFixture(t, 3)
	f.c.Submitted(oneTask("a"))
	f.c.Submitted(oneTask("b"))
	starts := f.order(10)
	assert.Equal(t, starts[0].Ref.Endpoint, starts[1].Ref.Endpoint)
	f.restart(starts[0].Ref.Endpoint)
	for _, s := range starts {
		f.c.Started(s.Ref, NoAnswer, f.now)
	}
	f.answerStops()
	f.crashAlone("a")
	for f.c.jobs["b"] != nil && !f.c.jobs["b"].final {
		f.crashAlone("b")
	}
	a := f.c.jobs["a"].task(tmjob.TaskID{Job: "a"})
	assert.Equal(t, a.suspicions, suspicionAlone)
}

// crashAlone restarts the endpoint on which a suspect has started in isolation.
func (f *fixture) crashAlone(job string) {
	f.t.Helper()
	for range 40 {
		f.advance(50)
		if e := f.placeOf(job); e != "" {
			f.restart(e)
			f.advance(10)
			return
		}
		f.work(MinWorkTime)
	}
	f.t.Fatal("not started")
}

// Guards against clearing a task that became a suspect again after it was cleared.
func TestExonerationLeavesNothingToExplain(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	f.advance(10)
	f.restart("e1")
	f.advance(10)
	crash := f.c.recentCrashes[0]
	assert.Equal(t, len(crash.suspected), 1)
	f.work(exonerationTime)
	assert.Equal(t, len(crash.suspected), 0)
}

// Guards against a suspect that no work clears: a lapse that was counted before it was
// cleared once was taken back after its next crash, and no crash was left.
func TestWorkClearsASuspectAfterALapseIsForgiven(t *testing.T) {
	f := newFixture(t, 2)
	f.c.Submitted(oneTask("j"))
	silent := f.advance(10)[0].Ref
	j := f.c.jobs["j"].task(silent.Task)
	f.c.HoldFailed(silent.Endpoint, "test", f.now)
	f.advance(7000)
	f.runs[silent.Endpoint] = nil
	second := f.placeOf("j")
	f.now = f.now.Add(exonerationTime)
	f.answerHold(second)
	assert.Equal(t, j.crashes, 0)
	f.end(second, j.id, 2, EndFailed)
	f.advance(10)
	f.restart(second)
	f.advance(10)
	f.answerHold(silent.Endpoint)
	f.advance(10)
	f.work(exonerationTime)
	assert.Equal(t, j.suspicions, 0)
}

// Guards against starting suspects beside others because they have waited for long: those
// that wait longest in a storm have crashed endpoints in company before.
func TestSuspectNeverStartsBesideOthers(t *testing.T) {
	f := newFixture(t, 2)
	f.submitSuspect("other", suspectedInCompany)
	assert.Equal(t, len(f.advance(10)), 1)
	f.c.Submitted(oneTask("healthy"))
	assert.Equal(t, len(f.advance(10)), 1)
	f.submitSuspect("j", suspectedInCompany)
	for range 3 {
		assert.Equal(t, len(f.advance(maxIsolationWait)), 0)
	}
	f.work(MinWorkTime)
	assert.Equal(t, len(f.advance(10)), 1)
}

// Guards against suspects that wait while most of the pool is idle or at work.
func TestOverdueSuspectsGetMoreEndpoints(t *testing.T) {
	p := &pool{endpoints: make([]*endpoint, 6), isolated: 2}
	assert.Assert(t, !p.mayIsolate(false))
	assert.Assert(t, p.mayIsolate(true))
	p.isolated = 4
	assert.Assert(t, !p.mayIsolate(true))
	p.hasOverdue = true
	assert.Assert(t, !p.mayIsolate(false))
	assert.Assert(t, p.mayIsolate(true))
}
