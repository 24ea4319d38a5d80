package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// newBacklogFixture returns a fixture whose team has no weight, so that none of its jobs is over
// its share, with the queues q and large of priority 1 and urgent of priority 0.
func newBacklogFixture(t *testing.T, endpoints int) *fixture {
	t.Helper()
	f := newFixture(t, endpoints)
	rules := testRules(2)
	q := Queue{Name: "q", Service: "s", Priority: 1, Stretch: 1.6, Objective: 600}
	rules.Queues["q"] = q
	q.Name = "large"
	rules.Queues["large"] = q
	q.Name, q.Priority = "urgent", 0
	rules.Queues["urgent"] = q
	rules.Teams = map[string]Team{"t": {Name: "t"}, "limited": {Name: "limited", Limit: tmjob.Resources{CPU: 1000}}}
	f.c.SetRules(rules)
	return f
}

// submit adds jobs of one task of a core and 500 ms that arrive now.
func (f *fixture) submit(queue, team string, n int) {
	for range n {
		j := oneTask(fmt.Sprintf("%s-%s-%d", queue, team, len(f.c.jobs)+len(f.c.finalAt)))
		j.Queue, j.Team, j.Accepted = queue, team, int64(f.now)
		f.c.Submitted(j)
	}
}

// wait returns the predicted wait of a new job of a queue in ms.
func (f *fixture) wait(queue string) float64 { return f.c.Backlogs(int64(f.now))[queue].Wait }

// playUntilStarted ends each run after its 500 ms, until a run of the job has started.
func (f *fixture) playUntilStarted(job string) tmclock.Span {
	const step, run = 20, 500
	from := f.now
	started := map[RunRef]tmclock.Millis{}
	for endpoint, runs := range f.runs {
		for _, r := range runs {
			started[RunRef{Task: r.Task, Run: r.Run, Endpoint: endpoint}] = from
		}
	}
	for f.now.Sub(from) < tmclock.Minute {
		for _, s := range f.advance(step) {
			if s.Ref.Task.Job == job {
				return f.now.Sub(from)
			}
			started[s.Ref] = f.now
		}
		for ref, at := range started {
			if f.now.Sub(at) >= run {
				delete(started, ref)
				f.end(ref.Endpoint, ref.Task, ref.Run, EndDone)
			}
		}
	}
	f.t.Fatal("the job does not start")
	return 0
}

// Guards against a predicted wait that is far from the one that a new job has.
func TestPredictedWaitIsThatOfANewJob(t *testing.T) {
	for _, n := range []int{50, 150, 400} {
		f := newBacklogFixture(t, 2)
		f.submit("q", "t", n)
		f.advance(10)
		predicted := f.wait("q")
		last := oneTask("last")
		last.Accepted = int64(f.now)
		f.c.Submitted(last)
		waited := float64(f.playUntilStarted("last"))
		t.Logf("%d jobs: predicted %.0f ms, waited %.0f ms", n, predicted, waited)
		assert.Check(t, predicted > waited*0.7-250 && predicted < waited*1.2+250)
	}
}

// Guards against a wait that counts jobs after which a new one is placed: once jobs can't meet
// their objective any more, a new one goes first.
func TestNewJobDoesNotWaitForLateOnes(t *testing.T) {
	f := newBacklogFixture(t, 2)
	f.submit("q", "t", 400)
	f.advance(10)
	assert.Assert(t, f.wait("q") > 10_000)
	f.now = f.now.Add(2000)
	assert.Equal(t, f.wait("q"), 0.0)
	last := oneTask("last")
	last.Accepted = int64(f.now)
	f.c.Submitted(last)
	assert.Assert(t, f.playUntilStarted("last") < 1000)
	f.submit("q", "t", 10)
	f.advance(10)
	assert.Assert(t, f.wait("q") < 1000, "the job would meet its objective behind the ten")
	f.submit("q", "t", 60)
	f.advance(10)
	assert.Assert(t, f.wait("q") > 10_000, "the job would be late as well, and waits for the others")
}

// Guards against a wait that is predicted while the pool has capacity for all, where nothing is
// known yet, or that a pool without capacity gives.
func TestNoBacklogWithoutAFullPool(t *testing.T) {
	f := newBacklogFixture(t, 2)
	assert.Equal(t, len(f.c.Backlogs(int64(f.now))), 0)
	f.submit("q", "t", 16)
	f.advance(10)
	assert.Equal(t, len(f.c.Backlogs(int64(f.now))), 0)
	f.submit("q", "t", 400)
	f.advance(10)
	assert.Equal(t, len(f.c.Backlogs(int64(f.now))), 1)

	next := f.newController(2)
	next.SetRules(f.c.rules)
	next.SetEndpoint(f.endpointInfo(1), f.now)
	for _, j := range f.c.openJobs {
		next.Submitted(j.spec)
	}
	next.Tick(f.now, int64(f.now))
	next.HoldAnswered("e1", HoldResponse{Clock: int64(f.now), StartedAt: 5}, next.callTo("e1", f.now), f.now+1)
	assert.Equal(t, len(next.Backlogs(int64(f.now))), 0, "not all jobs may be known")
	next.Loaded()
	next.Tick(f.now, int64(f.now))
	assert.Equal(t, len(next.Backlogs(int64(f.now))), 0, "the pool is free until the first pass")
	next.Plan(f.now, int64(f.now))
	assert.Equal(t, len(next.Backlogs(int64(f.now))), 1)
	next.endpoints["e1"].answering = false
	assert.Equal(t, len(next.Backlogs(int64(f.now))), 0, "no endpoint answers")
}

// Guards against jobs that are refused because of tasks that wait for something else than cores:
// a label or an accelerator that no endpoint has, memory, or the limit of their team.
func TestNoBacklogFromTasksThatDoNotWaitForCores(t *testing.T) {
	for what, set := range map[string]func(j *tmjob.Job){
		"label that no endpoint has":   func(j *tmjob.Job) { j.Steps[0].Label = "none" },
		"accelerators nowhere":         func(j *tmjob.Job) { j.Steps[0].Size.GPU = 1 },
		"more memory than an endpoint": func(j *tmjob.Job) { j.Steps[0].Size.Mem = 9000 },
		"memory in use":                func(j *tmjob.Job) { j.Steps[0].Size.Mem = 4000 },
		"labelled endpoint in use":     func(j *tmjob.Job) { j.Steps[0].Label = "special" },
		"limit of the team":            func(j *tmjob.Job) { j.Team = "limited" },
	} {
		f := newBacklogFixture(t, 3)
		special := f.endpointInfo(3)
		special.Labels = []string{"special"}
		f.c.SetEndpoint(special, f.now)
		for i := range 800 {
			j := oneTask(fmt.Sprint("x", i))
			j.Accepted = int64(f.now)
			set(&j)
			f.c.Submitted(j)
		}
		f.advance(10)
		assert.Check(t, f.wait("q") == 0, "%s: wait %v", what, f.wait("q"))
	}
}

// Guards against a longer wait for a new job in a full pool because of tasks that no endpoint
// could take, and of the steps after them.
func TestWaitLeavesOutWhatNoEndpointCouldTake(t *testing.T) {
	f := newBacklogFixture(t, 1)
	f.submit("q", "t", 160)
	f.advance(10)
	before := f.wait("q")
	assert.Assert(t, before > 8000)
	for i := range 400 {
		j := oneTask(fmt.Sprint("x", i))
		j.Accepted = int64(f.now)
		j.Steps[0].Size.GPU = 1
		after := oneTask("").Steps[0]
		after.After = []int{0}
		j.Steps = append(j.Steps, after)
		f.c.Submitted(j)
	}
	f.advance(10)
	assert.Equal(t, f.wait("q"), before)
}

// Guards against a pool that counts as having room because of what is left on each endpoint beside
// large tasks.
func TestPoolWithoutRoomForAnyTaskIsFull(t *testing.T) {
	f := newBacklogFixture(t, 2)
	for i := range 60 {
		j := oneTask(fmt.Sprint("x", i))
		j.Accepted = int64(f.now)
		j.Steps[0].Size.CPU = 3300
		f.c.Submitted(j)
	}
	f.advance(10)
	assert.Assert(t, f.wait("q") > 5000, "1.4 of 8 cores are free on each endpoint")
}

// Guards against jobs that wait for work that is placed after theirs, or that seem not to wait
// for more urgent work.
func TestWaitCountsTheWorkThatGoesFirst(t *testing.T) {
	f := newBacklogFixture(t, 1)
	f.submit("q", "t", 160)
	f.advance(10)
	alone := f.wait("q")
	assert.Assert(t, alone > 8000)
	assert.Equal(t, f.wait("urgent"), 0.0)
	// The jobs of the queue are larger, so that those of q go first.
	for i := range 20 {
		j := oneTask(fmt.Sprint("large", i))
		j.Queue, j.Accepted, j.Steps[0].Count = "large", int64(f.now), 8
		f.c.Submitted(j)
	}
	f.advance(10)
	assert.Equal(t, f.wait("q"), alone)
	assert.Assert(t, f.wait("large") > alone+8000)
	f.submit("urgent", "t", 160)
	f.advance(10)
	assert.Assert(t, f.wait("q") > alone+8000)
}

// Guards against one team that closes a queue for the others: its jobs beyond its limit wait, and
// hold nobody up.
func TestJobsOfATeamBeyondItsLimitHoldNobodyUp(t *testing.T) {
	f := newBacklogFixture(t, 1)
	f.submit("q", "t", 40)
	f.advance(10)
	before := f.wait("q")
	f.submit("q", "limited", 1000)
	f.advance(10)
	assert.Assert(t, f.wait("q") < before*8/7+100, "%v, before %v", f.wait("q"), before)
}

// Guards against teams that are refused because another one sends far more than its share.
func TestWaitIsThatOfTheTeamsThatCauseIt(t *testing.T) {
	f := newBacklogFixture(t, 1)
	rules := f.c.rules
	rules.Version++
	rules.Teams = map[string]Team{"t": {Weight: 1}, "calm": {Weight: 1}, "large": {Weight: 4}, "flood": {Weight: 1}}
	f.c.SetRules(rules)
	f.submit("q", "t", 100)
	f.submit("q", "large", 400)
	f.submit("q", "calm", 8)
	f.advance(10)
	assert.DeepEqual(t, f.c.Backlogs(int64(f.now))["q"].Teams, []string{"large", "t"})
	f.submit("q", "flood", 2000)
	f.advance(10)
	assert.DeepEqual(t, f.c.Backlogs(int64(f.now))["q"].Teams, []string{"flood"})
}

// Guards against jobs that are refused because of work that is of no use to anyone any more, and
// is placed after theirs.
func TestWaitLeavesOutWhatIsTooLate(t *testing.T) {
	f := newBacklogFixture(t, 1)
	f.submit("q", "t", 400)
	f.advance(10)
	f.now = f.now.Add(5000)
	f.submit("q", "t", 32)
	f.advance(10)
	assert.Assert(t, f.wait("q") > 1500 && f.wait("q") < 3000, "%v", f.wait("q"))
	f.submit("q", "t", 160)
	f.advance(10)
	assert.Assert(t, f.wait("q") > 30_000, "the job would be too late as well, and waits for all")
}

// Guards against a wait that leaves out the instances that are on their way to the pool, or that
// takes them for present.
func TestWaitCountsTheMovesToAPool(t *testing.T) {
	f := newBacklogFixture(t, 1)
	f.c.bounds.Move = 1700
	f.submit("q", "t", 160)
	f.advance(10)
	alone := f.wait("q")
	assert.Equal(t, alone, (152+8/2)*500/8.0, "eight jobs run, and are half done")
	f.c.fleet.instances["i9"] = Instance{ID: "i9", Capacity: tmjob.Resources{CPU: 8000}}
	f.c.fleet.moves["i9"] = &move{instance: "i9", pool: "s", orderedAt: f.now}
	// The pool works alone for 2 s, and twice as fast from then on.
	assert.Equal(t, f.wait("q"), 2000+(alone-2000)/2)
	b := f.c.Backlogs(int64(f.now))["q"]
	assert.Equal(t, b.Work/b.Drain, b.Wait)
	f.c.fleet.moves["i9"].pool = "other"
	assert.Equal(t, f.wait("q"), alone)

	short := newBacklogFixture(t, 1)
	short.c.bounds.Move = 1700
	short.submit("q", "t", 20)
	short.advance(10)
	alone = short.wait("q")
	short.c.fleet.instances["i9"] = f.c.fleet.instances["i9"]
	short.c.fleet.moves["i9"] = &move{instance: "i9", pool: "s", orderedAt: short.now}
	assert.Equal(t, short.wait("q"), alone, "the work is done before the instance arrives")
}

// Guards against capacity that long-running tasks hold, or that is about to go, being counted as
// free for short work, and against a wait for long-running tasks.
func TestWaitCountsTheCoresForShortWork(t *testing.T) {
	f := newBacklogFixture(t, 2)
	lasting := oneTask("lasting")
	lasting.Steps[0].LongRunning, lasting.Steps[0].Size.CPU = true, 4000
	lasting.Steps[0].Count = 2
	f.c.Submitted(lasting)
	f.advance(10)
	f.submit("q", "t", 240)
	f.advance(10)
	whole := f.wait("q")
	assert.Assert(t, whole > 14_000 && whole < 16_000, "%v ms on eight of sixteen cores", whole)
	e := f.c.endpoints["e1"]
	for what, set := range map[string]func(is bool){
		"draining":              func(is bool) { e.info.Draining = is },
		"unlisted":              func(is bool) { e.listed = !is },
		"about to go":           func(is bool) { e.reserved = is },
		"ordered to go":         func(is bool) { e.ending = is },
		"in a zone that is out": func(is bool) { e.info.Zone = map[bool]string{true: "out", false: "z"}[is] },
	} {
		f.c.zonesOut["out"] = true
		set(true)
		assert.Check(t, f.wait("q") > 1.4*whole, what)
		set(false)
		assert.Check(t, f.wait("q") == whole, what)
	}
}

func BenchmarkBacklogs(b *testing.B) {
	for _, n := range []int{350, 3000} {
		for _, jobs := range []int{100, 1000, 10_000} {
			b.Run(fmt.Sprintf("%d_endpoints_%d_jobs", n, jobs), func(b *testing.B) {
				c, now := benchFleet(n, jobs)
				b.ReportAllocs()
				for b.Loop() {
					c.Backlogs(int64(now))
				}
			})
		}
	}
}

// Guards against jobs that are not counted as waiting although none of their tasks has started: their
// starts were placed, and refused.
func TestJobWhoseStartIsRefusedWaits(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	assert.Equal(t, f.c.Waiting()["q"], 1)
	f.c.Started(first, Unhealthy, f.now)
	assert.Equal(t, f.c.Waiting()["q"], 1)

	f.restoreAtNewOwner("j")
	f.answerHold("e1")
	f.advance(2000)
	assert.Equal(t, f.c.Waiting()["q"], 0)
}

// Guards against the same after a change of the owner, and against a job that counts as waiting
// although a task has started.
func TestRestoredJobWaitsUntilItsRunIsKnown(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	first := f.order(10)[0].Ref
	f.restoreAtNewOwner("j")
	assert.Equal(t, f.c.Waiting()["q"], 1)
	f.runs["e1"] = []ActiveRun{{Task: first.Task, Run: first.Run}}
	f.answerHold("e1")
	assert.Equal(t, f.c.Waiting()["q"], 0)
}

// Guards against a job that counts as begun at a new owner because its start was refused, and against one
// that counts as waiting because its run was lost with its endpoint.
func TestRestoredJobWaitsIfItsStartWasRefused(t *testing.T) {
	for _, answer := range []Answer{Refused, Accepted} {
		t.Run(answer.String(), func(t *testing.T) {
			f := newFixture(t, 1)
			f.c.Submitted(oneTask("j"))
			first := f.order(10)[0].Ref
			f.c.Started(first, answer, f.now)
			f.restart("e1")
			f.restoreAtNewOwner("j")
			waiting := 0
			if answer == Refused {
				waiting = 1
			}
			assert.Equal(t, f.c.Waiting()["q"], waiting)
		})
	}
}
