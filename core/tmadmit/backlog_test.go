package tmadmit_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// booking is a job whose critical path is 1.6 s. With bookings its objective is 3,160 ms, so that
// it is refused only if it would end later than 14,220 ms.
func booking(id string) *tmjob.Job {
	return &tmjob.Job{ID: id, Queue: "book", Steps: []tmjob.Step{
		{Count: 8, Estimate: 800, Size: tmjob.Resources{CPU: 6200}},
		{Count: 8, Estimate: 800, Size: tmjob.Resources{CPU: 6200}, After: []int{0}},
	}}
}

func bookings(id string) tmadmit.Submission {
	return tmadmit.Submission{Job: booking(id), Stretch: 1.6, Objective: 600}
}

// backlogOf returns the backlog of a queue with that wait in ms on 600 cores.
func backlogOf(wait float64) tmadmit.Backlog {
	return tmadmit.Backlog{Wait: wait, Work: wait * 600, Drain: 600, Run: 800}
}

// Guards against a refusal of a job that could still be served, and an admission of one that
// certainly can't.
func TestRefusalNeedsAnEndWellBeyondUse(t *testing.T) {
	g := tmadmit.NewGate()
	assert.Assert(t, !g.Decide(bookings("a"), backlogOf(12_600), 0, 1).Refuse)
	d := g.Decide(bookings("a"), backlogOf(12_700), 0, 1)
	assert.Assert(t, d.Refuse)
	assert.Equal(t, d.End, tmclock.Span(14_300))
	assert.Equal(t, d.Bound, tmclock.Span(9480))
}

// Guards against bad news that refuses for nothing.
func TestDoubtfulReportRefusesNothing(t *testing.T) {
	nan, inf := math.NaN(), math.Inf(1)
	for name, b := range map[string]tmadmit.Backlog{
		"absent":          {},
		"negative wait":   {Wait: -40_000, Work: 1e9, Drain: 600},
		"negative drain":  {Wait: 40_000, Work: 1e9, Drain: -600},
		"negative run":    {Wait: 40_000, Work: 1e9, Drain: 600, Run: -1},
		"NaN wait":        {Wait: nan, Work: 1e9, Drain: 600},
		"NaN work":        {Wait: 40_000, Work: nan, Drain: 600},
		"endless wait":    {Wait: inf, Work: inf, Drain: 600},
		"huge wait":       {Wait: 1e300, Work: 1e305, Drain: 600},
		"no drain":        {Wait: 40_000, Work: 1e9},
		"wait for little": {Wait: 40_000, Work: 1000, Drain: 600},
	} {
		assert.Check(t, !tmadmit.NewGate().Decide(bookings("a"), b, 0, 1).Refuse, name)
	}
	long := backlogOf(40_000)
	for _, age := range []tmclock.Span{tmadmit.MaxReportAge + 1, tmclock.Hour, -1} {
		assert.Check(t, !tmadmit.NewGate().Decide(bookings("a"), long, age, 1).Refuse, "age %v", age)
	}
	assert.Assert(t, tmadmit.NewGate().Decide(bookings("a"), long, tmadmit.MaxReportAge, 1).Refuse)
}

// Guards against refusals of jobs that are served whenever there is capacity, or of which no
// objective is known, and of a job that an idle pool could not serve in time either.
func TestOnlyShortJobsWithAnObjectiveAreRefused(t *testing.T) {
	long := backlogOf(40_000)
	lasting, timed, free, wide := bookings("a"), bookings("b"), bookings("c"), bookings("d")
	lasting.Job.Steps[1].LongRunning = true
	timed.Job.Repeats = 3
	free.Stretch, free.Objective = 0, 0
	wide.Stretch, wide.Objective = 0, 100
	for _, s := range []tmadmit.Submission{lasting, timed, free, wide} {
		assert.Check(t, !tmadmit.NewGate().Decide(s, long, 0, 1).Refuse, s.Job.ID)
	}
}

// Guards against teams that are refused for the work of another one.
func TestOnlyTeamsThatWaitAreRefused(t *testing.T) {
	b := backlogOf(40_000)
	b.Teams = []string{"flood", ""}
	for team, refused := range map[string]bool{"flood": true, "": true, "calm": false} {
		s := bookings("a")
		s.Job.Team = team
		assert.Check(t, tmadmit.NewGate().Decide(s, b, 0, 1).Refuse == refused, team)
	}
}

// Guards against a queue that stays closed because of a wait that is estimated too high.
func TestOneOfSixteenRefusalsIsAnAdmission(t *testing.T) {
	g := tmadmit.NewGate()
	admitted := 0
	for i := range 160 {
		if d := g.Decide(bookings(fmt.Sprint(i)), backlogOf(40_000), 0, 1); !d.Refuse {
			assert.Assert(t, d.Probe)
			admitted++
		}
	}
	assert.Equal(t, admitted, 10)
}

// Guards against callers that are told to come back all at once, or when it is too late for
// their job though there is an earlier time.
func TestCallersComeBackSpreadAndInTime(t *testing.T) {
	g := tmadmit.NewGate()
	seconds := map[tmclock.Span]int{}
	for i := range 1600 {
		// The job is admitted after 3 s, and served in time if it comes back within 7.88 s.
		if d := g.Decide(bookings(fmt.Sprint(i)), backlogOf(15_620), 0, 1); d.Refuse {
			seconds[d.RetryAfter]++
		}
	}
	for s := tmclock.Span(3000); s <= 7000; s += tmclock.Second {
		assert.Check(t, seconds[s] > 200, "%v: %d", s, seconds[s])
	}
	assert.Equal(t, len(seconds), 5)
}

// Guards against a Retry-After that is no whole number of seconds from 1 to 30, at any wait.
func TestRetryAfterIsAWholeNumberOfSeconds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := tmadmit.NewGate()
		now := tmclock.Millis(1)
		for range rapid.IntRange(1, 6).Draw(t, "attempts") {
			wait := rapid.Float64Range(0, 4e6).Draw(t, "wait")
			d := g.Decide(bookings("a"), backlogOf(wait), 0, now)
			if d.Refuse {
				assert.Assert(t, d.RetryAfter >= tmclock.Second && d.RetryAfter <= 30*tmclock.Second)
				assert.Equal(t, d.RetryAfter%tmclock.Second, tmclock.Span(0))
			}
			now = now.Add(tmclock.Span(rapid.IntRange(0, 40_000).Draw(t, "pause")))
		}
	})
}

// Guards against a job that is admitted after refusals so late that its work only delays others,
// and against its refusal when it would start at once.
func TestTimeOfAJobCountsFromItsFirstAttempt(t *testing.T) {
	g := tmadmit.NewGate()
	assert.Assert(t, g.Decide(bookings("a"), backlogOf(13_000), 0, 1).Refuse)
	d := g.Decide(bookings("a"), backlogOf(8000), 0, 8001)
	assert.Assert(t, d.Refuse && d.Attempt == 1)
	assert.Equal(t, d.End, tmclock.Span(17_600))
	assert.Assert(t, !g.Decide(bookings("b"), backlogOf(8000), 0, 8001).Refuse)
	assert.Assert(t, !g.Decide(bookings("a"), backlogOf(1500), 0, 20_001).Refuse)
	assert.Assert(t, !g.Decide(bookings("a"), backlogOf(8000), 0, 8001+5*tmclock.Millis(tmclock.Minute)).Refuse)
}

// Guards against a refusal, which says that the job never runs, of a job whose earlier submission
// may still be carried out.
func TestJobInDoubtIsNotRefused(t *testing.T) {
	g := tmadmit.NewGate()
	assert.Assert(t, g.Decide(bookings("a"), backlogOf(40_000), 0, 1).Refuse)
	g.SetInDoubt("a", 2)
	g.SetInDoubt("b", 2)
	for _, id := range []string{"a", "b"} {
		assert.Check(t, !g.Decide(bookings(id), backlogOf(40_000), 0, 3).Refuse, id)
	}
	assert.Assert(t, g.Decide(bookings("b"), backlogOf(40_000), 0, 3+5*tmclock.Millis(tmclock.Minute)).Refuse)
}

// Guards against a refusal of a job in doubt because it had been refused long before, or because
// many others were refused since.
func TestDoubtLastsWhateverWasRefused(t *testing.T) {
	const minute = tmclock.Millis(tmclock.Minute)
	g := tmadmit.NewGate()
	assert.Assert(t, g.Decide(bookings("a"), backlogOf(40_000), 0, 1).Refuse)
	g.SetInDoubt("a", 1+minute*3/2)
	assert.Check(t, !g.Decide(bookings("a"), backlogOf(40_000), 0, 1+minute*5/2).Refuse, "refused long before the doubt")
	assert.Check(t, g.Decide(bookings("a"), backlogOf(40_000), 0, 1+minute*4).Refuse)

	g.SetInDoubt("b", 1)
	for i := range 10_000 {
		g.Decide(bookings(fmt.Sprint(i)), backlogOf(40_000), 0, 1)
	}
	assert.Check(t, !g.Decide(bookings("b"), backlogOf(40_000), 0, 2).Refuse, "10,000 refusals since")
	// Doubts are bounded as well, and the oldest goes first.
	for i := range 4095 {
		g.SetInDoubt(fmt.Sprint("doubt", i), 3)
	}
	g.SetInDoubt("b", 4)
	g.SetInDoubt("last", 5)
	for id, is := range map[string]bool{"b": true, "last": true, "doubt0": false, "doubt1": true} {
		assert.Check(t, g.IsInDoubt(id, 6) == is, id)
	}
}

// Guards against a job whose earlier refusals are forgotten though it was refused again lately.
func TestJobRefusedAgainIsRemembered(t *testing.T) {
	g := tmadmit.NewGate()
	g.Decide(bookings("a"), backlogOf(40_000), 0, 1)
	for i := range 4000 {
		g.Decide(bookings(fmt.Sprint(i)), backlogOf(40_000), 0, 1)
	}
	attempts := g.Decide(bookings("a"), backlogOf(40_000), 0, 2).Attempt
	for i := range 1000 {
		g.Decide(bookings(fmt.Sprint("more", i)), backlogOf(40_000), 0, 3)
	}
	assert.Equal(t, attempts, 1)
	assert.Equal(t, g.Decide(bookings("a"), backlogOf(40_000), 0, 4).Attempt, 2)
}

// Guards against a node whose memory grows with the jobs that it has refused.
func TestRefusedJobsAreForgotten(t *testing.T) {
	g := tmadmit.NewGate()
	for i := range 10_000 {
		g.Decide(bookings(fmt.Sprint(i)), backlogOf(40_000), 0, 1)
	}
	assert.Equal(t, g.Decide(bookings("1"), backlogOf(40_000), 0, 2).Attempt, 0)
	// One of the last two may have been a probe.
	last := g.Decide(bookings("9998"), backlogOf(40_000), 0, 2).Attempt + g.Decide(bookings("9999"), backlogOf(40_000), 0, 2).Attempt
	assert.Assert(t, last > 0)
}
