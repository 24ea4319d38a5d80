package tmcontrol

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
)

// Guards against giving up a gang because of one silent endpoint: each member on it counted
// as a crash.
func TestSilentEndpointCountsOnceForAGang(t *testing.T) {
	f := newFixture(t, 1)
	j := oneTask("j")
	j.Steps[0].Count, j.Steps[0].Gang = maxCrashes, true
	f.c.Submitted(j)
	first := f.advance(10)[0].Ref
	f.c.HoldFailed("e1", "test", f.now)
	f.advance(7000)
	assert.Equal(t, f.c.finalAt["j"], tmclock.Millis(0))
	task := f.c.jobs["j"].task(first.Task).culprit()
	assert.Equal(t, task.crashes, 1)
	f.answerHold("e1")
	assert.Equal(t, task.crashes, 0)
}

// Guards against a gang that crashes endpoint after endpoint.
func TestGangThatCrashesEndpointsIsGivenUp(t *testing.T) {
	f := newFixture(t, 4)
	j := oneTask("j")
	j.Steps[0].Count, j.Steps[0].Gang, j.Steps[0].Size.CPU = 3, true, 5000
	f.c.Submitted(j)
	assert.Equal(t, f.crashGang("j"), 2)
}

// crashGang restarts an endpoint of a gang each time when the gang has started, and ends
// the other members. It returns the number of crashes until the gang starts no more.
func (f *fixture) crashGang(job string) int {
	for n := range 20 {
		f.advance(2000)
		e := f.placeOf(job)
		if e == "" {
			return n
		}
		f.restart(e)
		for id, runs := range f.runs {
			for _, r := range runs {
				f.end(id, r.Task, r.Run, EndGangBroken)
			}
		}
	}
	f.t.Fatal("the gang is started without end")
	return 0
}

// Guards against a gang that crashes endpoint after endpoint because its other members,
// which wait for the lost one, count as being at work.
func TestGangWaitingForALostMemberIsNotCleared(t *testing.T) {
	f := newFixture(t, 4)
	j := oneTask("j")
	j.Steps[0].Count, j.Steps[0].Gang, j.Steps[0].Size.CPU = 3, true, 5000
	f.c.Submitted(j)
	for range maxCrashes {
		f.advance(2000)
		crashed := f.placeOf("j")
		if crashed == "" {
			return
		}
		f.c.HoldFailed(crashed, "crashed", f.now)
		f.now = f.now.Add(exonerationTime)
		for id, runs := range f.runs {
			if id != crashed && len(runs) > 0 {
				f.answerHold(id)
			}
		}
		f.restart(crashed)
		for id, runs := range f.runs {
			for _, r := range runs {
				f.end(id, r.Task, r.Run, EndGangIncomplete)
			}
		}
	}
	f.advance(2000)
	assert.Equal(t, f.placeOf("j"), "")
}
