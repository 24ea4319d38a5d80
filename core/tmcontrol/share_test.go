package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
)

// A team at many times its share filled the fleet, and the jobs of the others, which
// came a little later and were no smaller, waited for all of its jobs.
func TestTeamBeyondItsShareWaits(t *testing.T) {
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
	starts := f.step(60)
	assert.Equal(t, len(starts), 8)
	found := false
	for _, s := range starts {
		found = found || s.Ref.Task.Job == "calm"
	}
	assert.Assert(t, found, "the job within its share waits behind those beyond theirs")
}

// A team that has been quiet may send a few jobs at once, and is within its share
// again when it has been quiet for a while.
func TestShareIsMeasuredOverTime(t *testing.T) {
	f := newFixture(t, 1)
	beyond := func(at tmclock.Millis) bool {
		j := oneTask(fmt.Sprintf("at%d", at))
		j.Accepted = int64(at)
		return f.c.beyondShare(&j)
	}
	for i := range minBurst {
		assert.Assert(t, !beyond(tmclock.Millis(2000+i)))
	}
	assert.Assert(t, beyond(2010))
	assert.Assert(t, !beyond(3100), "one job a second is its share")
	assert.Assert(t, beyond(3200))
}
