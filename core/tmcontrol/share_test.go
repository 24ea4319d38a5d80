package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
)

// Guards against one team filling the fleet at many times its share: jobs of other
// teams that arrived a little later and were no smaller had to wait for all of its
// jobs.
func TestTeamOverItsShareWaits(t *testing.T) {
	f := newFixture(t, 1)
	rules := testRules(2)
	rules.Teams["calm"] = Team{Name: "calm", Weight: 1}
	f.c.SetRules(rules)
	for i := range 40 {
		f.c.Submitted(oneTask(fmt.Sprintf("hot%02d", i)))
	}
	late := oneTask("calm")
	late.Team, late.Accepted = "calm", 1050
	f.c.Submitted(late)
	starts := f.advance(60)
	assert.Equal(t, len(starts), 8)
	found := false
	for _, s := range starts {
		found = found || s.Ref.Task.Job == "calm"
	}
	assert.Assert(t, found, "job within its share was not started before jobs over their share")
}

// Guards against counting a few jobs of a team that has been idle as over its share, and
// against a team that stays over its share after it has been idle for a while.
func TestShareIsMeasuredOverTime(t *testing.T) {
	f := newFixture(t, 1)
	beyond := func(at tmclock.Millis) bool {
		j := oneTask(fmt.Sprintf("at%d", at))
		j.Accepted = int64(at)
		return f.c.exceedsShare(&j)
	}
	for i := range minBurst {
		assert.Assert(t, !beyond(tmclock.Millis(2000+i)))
	}
	assert.Assert(t, beyond(2010))
	assert.Assert(t, !beyond(3100), "share is one job per second")
	assert.Assert(t, beyond(3200))
}
