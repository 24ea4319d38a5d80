package tmadmit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
)

const (
	loadStep = 10 * tmclock.Millisecond
	// jobWork is the work of a booking in core-ms, poolCores what the pool has for it: 15 of
	// them a second.
	jobWork   = 16 * 800 * 6.2
	poolCores = 15 * jobWork / 1000
	// jobPath is the critical path of a booking, jobObjective its objective in ms.
	jobPath, jobObjective = 1600, 3160
	// maxTries is how often a caller tries.
	maxTries = 5
)

// loadJob is a caller with one job. left is the work of the job in core-ms.
type loadJob struct {
	id               string
	firstAt, arrived tmclock.Millis
	tries            int
	left             float64
}

// isLate reports whether a job that has not begun can't end within so many times its objective,
// which its owner counts from the attempt that it accepted.
func (j *loadJob) isLate(objectives tmclock.Span, now tmclock.Millis) bool {
	return j.left == jobWork && now.Sub(j.arrived)+jobPath > objectives*jobObjective
}

// loadFleet is a pool behind nodes that know its backlog from reports. It runs on a manually
// advanced clock.
type loadFleet struct {
	clock *tmclock.Manual
	rng   *rand.Rand
	// gates holds that of each node, nil if nodes accept everything.
	gates []*tmadmit.Gate
	// freshFirst is set if jobs that can't meet their objective go after the others, and those
	// that can't be of use any more last. Else all jobs are served in order of arrival.
	freshFirst bool
	jobs       []*loadJob
	// wait is the last report.
	wait       float64
	reportedAt tmclock.Millis
	// returns holds the callers that come back, by time.
	returns map[tmclock.Millis][]*loadJob
	// outageUntil is until when nothing is stored, placed or reported.
	outageUntil tmclock.Millis
	// inTime, late and useless count the jobs by their end, lost those that were given up.
	inTime, late, useless, lost int
	// longest is the longest time that the pool would have needed for the work that waited.
	longest float64
}

// attempt lets a caller submit a job to one of the nodes.
func (f *loadFleet) attempt(j *loadJob) {
	now := f.clock.Now()
	j.tries++
	if now.Before(f.outageUntil) {
		// Refused because nothing could be stored, which callers of an outage try until it ends.
		j.tries = 1
		at := now.Add(tmclock.Second)
		f.returns[at] = append(f.returns[at], j)
		return
	}
	if len(f.gates) > 0 {
		g := f.gates[f.rng.IntN(len(f.gates))]
		d := g.Decide(bookings(j.id), backlogOf(f.wait), now.Sub(f.reportedAt), now)
		switch {
		case d.Refuse && j.tries == maxTries:
			f.lost++
			return
		case d.Refuse:
			at := now.Add(d.RetryAfter)
			f.returns[at] = append(f.returns[at], j)
			return
		}
	}
	j.arrived, j.left = now, jobWork
	f.jobs = append(f.jobs, j)
}

// next returns the index of the job that the pool serves first.
func (f *loadFleet) next() int {
	if f.freshFirst {
		for _, objectives := range []tmclock.Span{1, 3} {
			for i, j := range f.jobs {
				if !j.isLate(objectives, f.clock.Now()) {
					return i
				}
			}
		}
	}
	return 0
}

// serve lets the pool work for a step.
func (f *loadFleet) serve() {
	for room := poolCores * float64(loadStep); room > 0 && len(f.jobs) > 0; {
		i := f.next()
		j := f.jobs[i]
		did := min(room, j.left)
		room -= did
		if j.left -= did; j.left > 0 {
			return
		}
		f.jobs = append(f.jobs[:i], f.jobs[i+1:]...)
		switch end := f.clock.Now().Add(jobPath).Sub(j.firstAt); {
		case end <= jobObjective:
			f.inTime++
		case end <= 3*jobObjective:
			f.late++
		default:
			f.useless++
		}
	}
}

// report predicts the wait of a new job as owners do.
func (f *loadFleet) report() {
	now := f.clock.Now()
	var timely, useful, all float64
	for _, j := range f.jobs {
		all += j.left / poolCores
		if !j.isLate(3, now) {
			useful += j.left / poolCores
		}
		if !j.isLate(1, now) {
			timely += j.left / poolCores
		}
	}
	f.longest = max(f.longest, all)
	f.wait, f.reportedAt = all, now
	if f.freshFirst && useful+jobPath <= 3*jobObjective {
		f.wait = useful
	}
	if f.freshFirst && timely+jobPath <= jobObjective {
		f.wait = timely
	}
}

// run lets callers arrive: for 20 s at three times what the pool can serve, then for 100 s at a
// quarter of it, in turn. It runs on until the last caller has an answer.
func (f *loadFleet) run(d tmclock.Span) {
	n := 0
	for t := tmclock.Span(0); t < d+4*tmclock.Minute; t += loadStep {
		f.clock.Advance(loadStep)
		now := f.clock.Now()
		if !now.Before(f.outageUntil) {
			f.serve()
		}
		if !now.Before(f.outageUntil) && t%(500*tmclock.Millisecond) == 0 {
			f.report()
		}
		back := f.returns[now]
		delete(f.returns, now)
		for _, j := range back {
			f.attempt(j)
		}
		rate := 45.0
		if t%(2*tmclock.Minute) >= 20*tmclock.Second {
			rate = 3.75
		}
		if t < d && f.rng.Float64() < rate*float64(loadStep)/1000 {
			n++
			f.attempt(&loadJob{id: fmt.Sprint(n), firstAt: now})
		}
	}
}

// playLoad plays six minutes of the load.
func playLoad(t *testing.T, seed uint64, nodes int, freshFirst bool) *loadFleet {
	t.Helper()
	f := newLoadFleet(seed, nodes, freshFirst)
	f.run(6 * tmclock.Minute)
	f.log(t, seed)
	return f
}

func newLoadFleet(seed uint64, nodes int, freshFirst bool) *loadFleet {
	f := &loadFleet{
		clock: tmclock.NewManual(1), rng: rand.New(rand.NewPCG(seed, 1)), returns: map[tmclock.Millis][]*loadJob{}, freshFirst: freshFirst,
	}
	for range nodes {
		f.gates = append(f.gates, tmadmit.NewGate())
	}
	return f
}

func (f *loadFleet) log(t *testing.T, seed uint64) {
	t.Helper()
	t.Logf("seed %d, %d nodes that refuse: in time %d, late %d, useless %d, given up %d, longest wait %.0f ms",
		seed, len(f.gates), f.inTime, f.late, f.useless, f.lost, f.longest)
	assert.Equal(t, len(f.returns)+len(f.jobs), 0)
}

// Guards against a pool that works off jobs of no use to anyone long after a burst, so that the
// callers who arrive meanwhile aren't served in time either.
func TestRefusalsHelpCallersAfterABurst(t *testing.T) {
	for seed := range uint64(5) {
		with, without := playLoad(t, seed, 8, false), playLoad(t, seed, 0, false)
		assert.Check(t, with.inTime > without.inTime*115/100)
		assert.Check(t, with.useless < without.useless*4/5)
		// Three seconds for what is admitted between two reports, and for the probes.
		assert.Check(t, with.longest < 1.5*3*jobObjective+3000)
	}
}

// Guards against refusals that cost callers more than they bring, where jobs that can still meet
// their objective go first anyway, and against an owner that accepts far more than it can serve.
func TestRefusalsHelpWhereFreshJobsGoFirst(t *testing.T) {
	for seed := range uint64(5) {
		with, without := playLoad(t, seed, 8, true), playLoad(t, seed, 0, true)
		assert.Check(t, with.inTime > without.inTime*110/100)
		// A late job is worth a fourteenth.
		assert.Check(t, 14*with.inTime+with.late > (14*without.inTime+without.late)*110/100)
		assert.Check(t, with.longest < without.longest*3/4)
	}
}

// Guards against all jobs that callers could not submit during an outage of the store being
// accepted at once when it is back, though no report is known then: most of them would have
// waited for longer than they are of use.
func TestJobsAfterAnOutageAreAdmittedAsTheyCanBeServed(t *testing.T) {
	for seed := range uint64(5) {
		longest := map[int]float64{}
		for _, nodes := range []int{8, 0} {
			f := newLoadFleet(seed, nodes, false)
			f.outageUntil = f.clock.Now().Add(12 * tmclock.Second)
			f.run(20 * tmclock.Second)
			f.log(t, seed)
			longest[nodes] = f.longest
		}
		assert.Check(t, longest[8] < 0.6*longest[0])
		// What is admitted in the first half second, and between two reports.
		assert.Check(t, longest[8] < 1.5*3*jobObjective+10_000)
	}
}
