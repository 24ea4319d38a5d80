package tmorder

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// simJob is a job of the simulated load: steps of tasks, one after the other.
type simJob struct {
	Job
	took     []float64 // the true run time of each step
	declared float64
	// objective is that of the caller, which follows from the true run times.
	objective float64
	cpu       int64
	waiting   int // tasks of the current step that have not started
	running   int
	step      int
	began     float64
	ended     float64
}

// simRun is the end of a running task.
type simRun struct {
	end float64
	job *simJob
}

// sim is a pool on a clock that the test moves.
type sim struct {
	capacity, free int64
	// arrivals is a source of its own, so that all orders get the same jobs.
	arrivals, rng *rand.Rand
	open, all     []*simJob
	runs          []simRun
	now           float64
	order         func(Pool, []Job) []Placed
	usage         Usage
}

const (
	simTasks = 8
	simTeams = 20
	// simLatency is the time from a placement to the start and from the end to its report.
	simLatency = 100.0
	// A burst of burstLength ms begins every burstPeriod ms.
	burstPeriod, burstLength = 30_000.0, 7_000.0
)

func (s *sim) arrive(team string, cpu int64, mean float64) {
	steps := 1
	if s.arrivals.Float64() < 0.6 {
		steps = 2
	}
	j := &simJob{cpu: int64(float64(cpu) * (0.5 + s.arrivals.Float64())), waiting: simTasks, began: -1, ended: -1}
	took := mean * (0.6 + 0.8*s.arrivals.Float64())
	for range steps {
		j.took = append(j.took, took)
	}
	// Declared times are off by up to 0.9. tmcontrol limits them to twice and half the mean.
	j.declared = min(2*mean, max(mean/2, took*(1+0.9*(2*s.arrivals.Float64()-1))))
	work := float64(simTasks*steps*int(j.cpu)) * j.declared
	j.Job = Job{Queue: "q", Team: team, Due: int64(s.now), Objective: 1.6*j.declared*float64(steps) + 600, FullWork: work}
	j.objective = 1.6*took*float64(steps) + 600
	s.open = append(s.open, j)
	s.all = append(s.all, j)
}

// team draws one of simTeams teams, of which few are large.
func (s *sim) team() string {
	return fmt.Sprint(int(simTeams * math.Pow(s.arrivals.Float64(), 3)))
}

// pass ends runs, orders the waiting jobs and starts what fits.
func (s *sim) pass() {
	s.runs = slices.DeleteFunc(s.runs, func(r simRun) bool {
		if r.end > s.now {
			return false
		}
		s.free += r.job.cpu
		s.usage.Sub(r.job.Team, tmjob.Resources{CPU: r.job.cpu}, tmclock.Millis(s.now))
		r.job.running--
		s.advance(r.job)
		return true
	})
	var jobs []Job
	var sims []*simJob
	pool := Pool{Now: int64(s.now), Capacity: tmjob.Resources{CPU: s.capacity}, Free: tmjob.Resources{CPU: s.free}, Usage: &s.usage, UsageAt: tmclock.Millis(s.now)}
	for _, j := range s.open {
		left := len(j.took) - j.step
		j.CriticalPath = float64(left) * j.declared
		j.Work = float64(((left-1)*simTasks+j.waiting+j.running)*int(j.cpu)) * j.declared
		j.Demand = tmjob.Resources{CPU: int64(j.waiting) * j.cpu}
		j.Permitted = j.Demand
		j.Begun = j.began >= 0
		if IsAged(pool.Now, j.Due, j.Objective) {
			pool.AgedCPU += int64(j.running) * j.cpu
		}
		if j.waiting > 0 {
			jobs, sims = append(jobs, j.Job), append(sims, j)
		} else {
			pool.Committed += float64((left-1)*simTasks*int(j.cpu)) * j.declared
		}
	}
	for _, p := range s.order(pool, jobs) {
		s.start(sims[p.Index])
	}
}

func (s *sim) start(j *simJob) {
	for j.waiting > 0 && s.free >= j.cpu {
		s.free -= j.cpu
		s.usage.Add(j.Team, tmjob.Resources{CPU: j.cpu}, tmclock.Millis(s.now))
		j.waiting--
		j.running++
		if j.began < 0 {
			j.began = s.now
		}
		s.runs = append(s.runs, simRun{end: s.now + simLatency + j.took[j.step]*(0.9+0.2*s.rng.Float64()), job: j})
	}
}

func (s *sim) advance(j *simJob) {
	if j.running > 0 || j.waiting > 0 {
		return
	}
	j.step++
	if j.step < len(j.took) {
		j.waiting = simTasks
		return
	}
	j.ended = s.now
	s.open = slices.DeleteFunc(s.open, func(o *simJob) bool { return o == j })
}

// outcome is what callers get.
type outcome struct{ served, late, worthless, open int }

func outcomeOf(jobs []*simJob) outcome {
	var o outcome
	for _, j := range jobs {
		took := (j.ended - float64(j.Due)) / j.objective
		switch {
		case j.ended < 0:
			o.open++
		case took <= 1:
			o.served++
		case took <= maxLateness:
			o.late++
		default:
			o.worthless++
		}
	}
	return o
}

func (o outcome) plus(p outcome) outcome {
	return outcome{o.served + p.served, o.late + p.late, o.worthless + p.worthless, o.open + p.open}
}

// value returns what the ends of the jobs are worth.
func (o outcome) value() float64 { return float64(o.served) + float64(o.late)/14 }

// burst plays alternating bursts of that many times what the pool holds, with lulls between.
func burst(order func(Pool, []Job) []Placed, factor float64, seed uint64) *sim {
	const cpu, mean, pass, until = 6200, 800, 20, 45_000
	s := &sim{capacity: 20 * 64000, rng: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), order: order}
	s.free = s.capacity
	perMs := float64(s.capacity) / (simTasks * cpu * (mean + simLatency) * 1.6)
	next := 0.0
	for s.now = 0; s.now < until; s.now += pass {
		for next <= s.now {
			s.arrive(s.team(), cpu, mean)
			rate := perMs * 0.1
			if math.Mod(s.now, burstPeriod) < burstLength {
				rate = perMs * factor
			}
			next += s.arrivals.ExpFloat64() / rate
		}
		s.pass()
	}
	return s
}

// orderAsBefore is the order of a pool with room, whatever is free.
func orderAsBefore(p Pool, jobs []Job) []Placed {
	p.Blocked, p.Free = false, tmjob.Resources{CPU: math.MaxInt64, Mem: math.MaxInt64, GPU: math.MaxInt64}
	return order(p, jobs)
}

func order(p Pool, jobs []Job) []Placed {
	var o Orderer
	placed, _ := o.Order(p, jobs)
	return placed
}

// ofSmallTeams returns the jobs of all teams but the largest, which has over a third.
func (s *sim) ofSmallTeams() []*simJob {
	return slices.DeleteFunc(slices.Clone(s.all), func(j *simJob) bool { return j.Team == "0" })
}

// wastedInBurst returns the fraction of the work begun during a burst that its callers
// got too late.
func (s *sim) wastedInBurst() float64 {
	var all, wasted float64
	for _, j := range s.all {
		if math.Mod(float64(j.Due), burstPeriod) >= burstLength || j.began < 0 || math.Mod(j.began, burstPeriod) >= burstLength {
			continue
		}
		work := j.took[0] * float64(len(j.took)) * float64(j.cpu)
		all += work
		if j.ended < 0 || j.ended-float64(j.Due) > j.objective {
			wasted += work
		}
	}
	return wasted / all
}

// Guards against a burst in which capacity goes to jobs that then end too late for their
// callers, and in which one team has the pool. The rest of the capacity is in use, so that no
// order can serve many more. Of all orders tried, those without shares served most.
func TestBurstServesCallersThatStillWait(t *testing.T) {
	for _, factor := range []float64{2, 4} {
		var b, a, smallBefore, smallAfter outcome
		var wastedBefore, wastedAfter float64
		const seeds = 4
		for seed := range uint64(seeds) {
			before, after := burst(orderAsBefore, factor, seed+1), burst(order, factor, seed+1)
			b, a = b.plus(outcomeOf(before.all)), a.plus(outcomeOf(after.all))
			smallBefore = smallBefore.plus(outcomeOf(before.ofSmallTeams()))
			smallAfter = smallAfter.plus(outcomeOf(after.ofSmallTeams()))
			wastedBefore += before.wastedInBurst() / seeds
			wastedAfter += after.wastedInBurst() / seeds
		}
		t.Logf("%v times the pool: before %+v, value %.0f, %.3f wasted, %d of small teams; after %+v, value %.0f, %.3f wasted, %d of small teams",
			factor, b, b.value(), wastedBefore, smallBefore.served, a, a.value(), wastedAfter, smallAfter.served)
		assert.Assert(t, a.value() > b.value())
		assert.Assert(t, float64(smallAfter.served) > 1.05*float64(smallBefore.served))
		assert.Assert(t, a.worthless+a.open <= b.worthless+b.open)
		assert.Assert(t, wastedAfter < 0.6*wastedBefore)
	}
}
