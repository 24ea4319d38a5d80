package tmcontrol

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// startsBehindSmallTasks keeps two endpoints full of small tasks that run for 700 ms, and
// returns how long a job waits for its first start, at most 30 s.
func startsBehindSmallTasks(t *testing.T, j tmjob.Job) tmclock.Span {
	f := newFixture(t, 2)
	const runTime = 700
	running := map[tmclock.Millis][]StartOrder{}
	for i := range 600 {
		f.c.Submitted(sized(fmt.Sprintf("small%03d", i), "t", 1, int64(f.now)))
		f.c.Submitted(sized(fmt.Sprintf("more%03d", i), "t", 1, int64(f.now)))
		if i == 20 {
			j.Accepted = int64(f.now)
			f.c.Submitted(j)
		}
		for _, s := range f.advance(50 - tmclock.Span(f.now%50)) {
			if s.Ref.Task.Job == j.ID {
				return tmclock.Span(int64(f.now) - j.Accepted)
			}
			end := f.now.Add(runTime) / 50
			running[end] = append(running[end], s)
		}
		for _, s := range running[f.now/50] {
			f.end(s.Ref.Endpoint, s.Ref.Task, 1, EndDone)
		}
	}
	return 30 * tmclock.Second
}

// Guards against a task or a gang that never starts because smaller tasks take whatever
// becomes free. It starts at the latest some time after it is aged, which is 10 s beyond its
// objective.
func TestLargeTasksStartInAFullPool(t *testing.T) {
	large := sized("large", "t", 1, 0)
	large.Steps[0].Size.CPU = 7000
	gang := sized("gang", "t", 4, 0)
	gang.Steps[0].Size.CPU, gang.Steps[0].Gang = 3000, true
	for _, j := range []tmjob.Job{large, gang} {
		waited := startsBehindSmallTasks(t, j)
		t.Logf("%s waited %d ms", j.ID, waited)
		assert.Assert(t, waited < 20*tmclock.Second, j.ID)
	}
}

// Guards against long-running tasks that don't run again for as long as their pool is full of small
// ones, after their endpoint was lost or a wave has stopped them.
func TestLongRunningTaskStartsInAFullPool(t *testing.T) {
	const maxAway = 6 * tmclock.Second
	lasting := sized("lasting", "t", 2, 0)
	lasting.Steps[0].Size.CPU, lasting.Steps[0].LongRunning = 6000, true
	waited := startsBehindSmallTasks(t, lasting)
	assert.Assert(t, waited < maxAway, "%d ms", waited)
}

// Guards against jobs that stand still in a pool that is half empty, because its capacity is
// kept for a gang that waits for a long run.
func TestNothingIsReservedInAHalfEmptyPool(t *testing.T) {
	f := newFixture(t, 3)
	long := sized("long", "t", 1, 1000)
	long.Steps[0].Size.CPU, long.Steps[0].Estimate = 8000, 60_000
	f.c.Submitted(long)
	assert.Equal(t, len(f.advance(10)), 1)
	gang := sized("gang", "t", 3, 1000)
	gang.Steps[0].Size.CPU, gang.Steps[0].Gang = 8000, true
	f.c.Submitted(gang)
	f.advance(10)
	small := sized("small", "t", 1, 1020)
	small.Steps[0].Estimate = 70_000
	f.c.Submitted(small)
	assert.DeepEqual(t, f.startsByJob(), map[string]int{"small": 1})
}

// Guards against jobs that stand still for longer than 3 s in a pool that has become half empty
// since a gang reserved all of it, because one of the runs that the gang waits for is long.
func TestReservationEndsInAHalfEmptyPool(t *testing.T) {
	f := newFixture(t, 4)
	for i := range 4 {
		j := sized(fmt.Sprintf("full%d", i), "t", 1, 1000)
		j.Steps[0].Size.CPU, j.Steps[0].Estimate = 8000, 800
		f.c.Submitted(j)
	}
	for n := 0; n < 4; {
		n += len(f.advance(10))
	}
	gang := sized("gang", "t", 4, int64(f.now))
	gang.Steps[0].Size.CPU, gang.Steps[0].Gang, gang.Steps[0].Estimate = 8000, true, 800
	f.c.Submitted(gang)
	for i := range 8 {
		j := sized(fmt.Sprintf("small%d", i), "t", 1, int64(f.now))
		j.Steps[0].Estimate = 800
		f.c.Submitted(j)
	}
	f.advance(300)
	assert.Assert(t, f.c.orderOf("s").reservation != nil)
	for i := 1; i <= 3; i++ {
		f.finishRuns(f.endpointInfo(i).ID)
	}
	began := f.now
	for len(f.advance(50)) == 0 {
		assert.Assert(t, f.now.Sub(began) < 3*tmclock.Second)
	}
}

// Guards against a large task that never starts because the only endpoint with its label always
// gets small tasks, while the other endpoints of the pool are idle.
func TestLargeTaskWithLabelStarts(t *testing.T) {
	f := newFixture(t, 4)
	f.labelEndpoint(0)
	running := map[tmclock.Millis][]StartOrder{}
	submitted := tmclock.Millis(0)
	for i := range 900 {
		f.c.Submitted(sized(fmt.Sprintf("small%03d", i), "t", 1, int64(f.now)))
		if i == 20 {
			submitted = f.now
			j := sized("large", "t", 1, int64(f.now))
			j.Steps[0].Size.CPU, j.Steps[0].Label = 7500, "big"
			f.c.Submitted(j)
		}
		for _, s := range f.advance(50 - tmclock.Span(f.now%50)) {
			if s.Ref.Task.Job == "large" {
				t.Logf("waited %d ms", f.now.Sub(submitted))
				return
			}
			end := f.now.Add(700) / 50
			running[end] = append(running[end], s)
		}
		for _, s := range running[f.now/50] {
			f.end(s.Ref.Endpoint, s.Ref.Task, 1, EndDone)
		}
		assert.Assert(t, submitted == 0 || f.now.Sub(submitted) < 20*tmclock.Second)
	}
}

// Guards against a small job that stands still for longer than 3 s because the endpoint with its
// label is reserved for a large one, while the rest of the pool is idle.
func TestReservationOfALabelEndsInAHalfEmptyPool(t *testing.T) {
	f := newFixture(t, 4)
	f.labelEndpoint(0)
	submit := func(id string, cpu int64, estimate tmclock.Span) {
		j := sized(id, "t", 1, int64(f.now))
		j.Steps[0].Size.CPU, j.Steps[0].Estimate, j.Steps[0].Label = cpu, estimate, "big"
		f.c.Submitted(j)
		f.advance(10)
	}
	submit("long", 5000, 60*tmclock.Second)
	submit("large", 7500, 800)
	submit("small", 1000, 70*tmclock.Second)
	began := f.now
	assert.Assert(t, f.c.endpoints["e1"].reservedRoom != nil)
	for !f.c.jobs["small"].begun {
		f.advance(50)
		assert.Assert(t, f.now.Sub(began) < 3*tmclock.Second)
	}
}

// Guards against capacity that is kept for a gang which the limit of its team does not permit.
func TestGangBeyondItsLimitReservesNothing(t *testing.T) {
	f := newFixture(t, 4)
	rules := testRules(2)
	rules.Teams["limited"] = Team{Name: "limited", Weight: 1, Limit: tmjob.Resources{CPU: 10000}}
	f.c.SetRules(rules)
	for i := range 8 {
		j := sized(fmt.Sprintf("run%d", i), "t", 1, 1000)
		j.Steps[0].Size.CPU, j.Steps[0].Estimate = 3500, 800
		f.c.Submitted(j)
	}
	for n := 0; n < 8; {
		n += len(f.advance(10))
	}
	// A task that is too large for what is free makes the size of the gang's tasks known as such.
	large := sized("large", "t", 1, int64(f.now)-100)
	large.Steps[0].Size.CPU, large.Steps[0].Estimate, large.Steps[0].LongRunning = 4500, 800, true
	f.c.Submitted(large)
	gang := sized("gang", "limited", 4, int64(f.now))
	gang.Steps[0].Size.CPU, gang.Steps[0].Gang, gang.Steps[0].Estimate = 5000, true, 800
	f.c.Submitted(gang)
	for i := range 12 {
		j := sized(fmt.Sprintf("small%d", i), "t", 4, int64(f.now))
		j.Steps[0].Estimate = 5000
		f.c.Submitted(j)
	}
	for range 5 {
		f.advance(10)
		r := f.c.orderOf("s").reservation
		assert.Assert(t, r == nil || r.step.occ.job.spec.ID != "gang")
	}
}

// Guards against an endpoint that is kept free for good because two large steps take turns with
// the reservation, each of which began anew.
func TestReservationsThatTakeTurnsEnd(t *testing.T) {
	f := newFixture(t, 1)
	run := sized("run", "t", 1, 1000)
	run.Steps[0].Size.CPU, run.Steps[0].Estimate = 5000, 800
	f.c.Submitted(run)
	f.advance(10)
	p := f.c.pools(f.now)["s"]
	var steps []*step
	for _, id := range []string{"x", "y"} {
		j := sized(id, "t", 1, int64(f.now))
		j.Steps[0].Size.CPU, j.Steps[0].Estimate = 7000, 800
		f.c.Submitted(j)
		f.c.Tick(f.now, int64(f.now))
		steps = append(steps, f.c.jobs[id].occurrences[0].steps[0])
	}
	state := f.c.orderOf("s")
	state.queue.smallest = tmjob.Resources{CPU: 100, Mem: 1}
	heldSince, longest := f.now, tmclock.Span(0)
	for i := range 40 {
		f.now = f.now.Add(300)
		state.hasBlocked, state.scarce = false, true
		f.c.checkReservation(state, p, f.now)
		f.c.reserve(steps[i%2], p, 1, f.now)
		if f.c.endpoints["e1"].reservedRoom == nil {
			heldSince = f.now
		}
		longest = max(longest, f.now.Sub(heldSince))
	}
	assert.Assert(t, longest > 0 && longest <= maxReservation+300, "held for %d ms", longest)
}

// Guards against a short task that isn't placed although it ends before a reservation begins, because
// a long one of the same size had to wait for the reservation.
func TestReservationMakesNoSizeTooLarge(t *testing.T) {
	f := newFixture(t, 1)
	rules := testRules(2)
	low := rules.Queues["q"]
	low.Name, low.Priority = "low", 1
	rules.Queues["low"] = low
	f.c.SetRules(rules)
	submit := func(id, queue string, cpu int64, estimate tmclock.Span) {
		j := sized(id, "t", 1, int64(f.now))
		j.Queue, j.Steps[0].Size.CPU, j.Steps[0].Estimate = queue, cpu, estimate
		f.c.Submitted(j)
	}
	submit("run", "q", 5000, 3000)
	f.advance(10)
	submit("large", "q", 7000, 800)
	submit("other", "q", 2000, 70_000)
	f.advance(10)
	f.advance(10)
	submit("short", "low", 2000, 500)
	assert.Assert(t, f.c.endpoints["e1"].reservedRoom != nil)
	assert.Equal(t, f.startsByJob()["short"], 1)
}
