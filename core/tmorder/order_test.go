package tmorder

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// fullPool is a pool of ten cores of which none is free.
func fullPool(now int64) Pool {
	return Pool{Now: now, Capacity: tmjob.Resources{CPU: 10_000, Mem: 10_000}}
}

// job returns a job of one task that takes a second on one core, due at a time.
func job(team string, due int64) Job {
	return Job{
		Queue: "q", Team: team, Due: due, Objective: 2000, CriticalPath: 1000, Work: 1e6, FullWork: 1e6,
		Permitted: tmjob.Resources{CPU: 1000, Mem: 100}, Demand: tmjob.Resources{CPU: 1000, Mem: 100},
	}
}

func classes(placed []Placed) []Class {
	var out []Class
	for _, p := range placed {
		out = append(out, p.Class)
	}
	return out
}

func indexes(placed []Placed) []int {
	var out []int
	for _, p := range placed {
		out = append(out, p.Index)
	}
	return out
}

// Guards against jobs that can't meet their objective ahead of those that can, begun or not.
func TestClassesFollowEachOther(t *testing.T) {
	hopeless, late, begunLate, aged := job("t", 4000), job("t", 8000), job("t", 8500), job("t", -3000)
	begunLate.Begun, hopeless.Begun = true, true
	got := order(fullPool(10_000), []Job{hopeless, late, begunLate, job("t", 10_000), aged})
	assert.DeepEqual(t, indexes(got), []int{4, 3, 2, 1, 0})
	assert.DeepEqual(t, classes(got), []Class{Aged, Meets, Late, Late, Hopeless})
}

// Guards against a prediction that ignores the work ahead: of 40 equal jobs with a slack of
// 750 ms, a pool that ends 10 a second can't serve more than 8 in time.
func TestWorkAheadCounts(t *testing.T) {
	var jobs []Job
	for range 40 {
		jobs = append(jobs, job("t", 10_000))
	}
	n := map[Class]int{}
	for i, p := range order(fullPool(10_000), jobs) {
		n[p.Class]++
		if i == 7 {
			assert.Equal(t, p.End, 10_000+700+1000.0)
		}
	}
	assert.DeepEqual(t, n, map[Class]int{Meets: 8, Late: 32})
}

// Guards against starting new jobs while begun ones could still be in time, and against a
// large job ahead of many small ones of more value in all.
func TestBegunAndValuablePerWorkFirst(t *testing.T) {
	large, begun := job("t", 10_000), job("t", 10_000)
	large.Work, large.FullWork = 3e6, 3e6
	begun.Work, begun.FullWork, begun.Begun = 2e6, 2e6, true
	got := order(fullPool(10_000), []Job{large, job("t", 10_000), begun})
	assert.DeepEqual(t, indexes(got), []int{2, 1, 0})
}

// Guards against a team that fills a scarce pool: of its ten cores, two go to the other team.
func TestTeamsShareAScarcePool(t *testing.T) {
	for name, weight := range map[string]func(string) float64{
		"absent": nil,
		"zero":   func(string) float64 { return 0 },
		"equal":  func(string) float64 { return 3 },
		"mixed":  func(team string) float64 { return map[string]float64{"hot": 2}[team] },
	} {
		pool := fullPool(10_000)
		pool.Weight = weight
		var jobs []Job
		for range 40 {
			jobs = append(jobs, job("hot", 10_000))
		}
		jobs = append(jobs, job("calm", 10_005), job("calm", 10_005))
		front := map[string]int{}
		for _, p := range order(pool, jobs)[:10] {
			front[jobs[p.Index].Team]++
		}
		assert.Equal(t, front["calm"], 2, name)
	}
}

// Guards against aged jobs that starve, and against aged jobs that take the whole pool after
// an outage.
func TestAgedJobsGetAShare(t *testing.T) {
	var jobs []Job
	for i := range 20 {
		jobs = append(jobs, job("t", int64(-5000-i)))
	}
	jobs = append(jobs, job("t", 10_000))
	got := order(fullPool(10_000), jobs)
	assert.DeepEqual(t, indexes(got)[:3], []int{19, 18, 20})
	pool := fullPool(10_000)
	pool.AgedCPU = 2000
	assert.DeepEqual(t, indexes(order(pool, jobs))[:1], []int{20})
}

// Guards against an order that drops or repeats jobs, for any input.
func TestOrderKeepsAllJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := fullPool(rapid.Int64Range(0, 50_000).Draw(t, "now"))
		pool.Capacity.CPU = rapid.Int64Range(-1000, 20_000).Draw(t, "capacity")
		pool.Free.CPU = rapid.Int64Range(-1000, 20_000).Draw(t, "free")
		var jobs []Job
		for range rapid.IntRange(0, 30).Draw(t, "jobs") {
			j := job(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team")), rapid.Int64Range(0, 50_000).Draw(t, "due"))
			j.Begun, j.Held, j.LongRunning = rapid.Bool().Draw(t, "begun"), rapid.Bool().Draw(t, "held"), rapid.Bool().Draw(t, "long")
			j.Work = rapid.Float64Range(0, 1e8).Draw(t, "work")
			j.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			jobs = append(jobs, j)
		}
		seen := map[int]bool{}
		for _, p := range order(pool, jobs) {
			assert.Assert(t, !seen[p.Index])
			seen[p.Index] = true
		}
		assert.Equal(t, len(seen), len(jobs))
	})
}

// Guards against another order in a pool with room: that of the jobs before this package.
func TestOrderWithRoom(t *testing.T) {
	pool := fullPool(10_000)
	pool.Free = pool.Capacity
	long, over, missing, urgent, small := job("t", 1), job("t", 10_000), job("t", 0), job("t", 10_000), job("t", 10_000)
	long.LongRunning, over.OverShare, over.Priority, urgent.Priority = true, true, 0, 0
	missing.Priority, small.Priority, small.Work = 0, 1, 1
	large := job("t", 10_000)
	large.Priority = 1
	got := order(pool, []Job{large, small, urgent, missing, over, long})
	assert.DeepEqual(t, indexes(got), []int{5, 2, 1, 0, 3, 4})
	for _, p := range got {
		assert.Equal(t, p.Class, WithRoom)
	}
}

// Guards against a team whose usage of a full pool makes no difference to its order, and
// against one that stays behind for long after it has used more.
func TestTeamBeyondItsShareWaits(t *testing.T) {
	const now = 50_000
	var jobs []Job
	for range 10 {
		jobs = append(jobs, job("hot", now), job("calm", now+1))
	}
	front := func(u *Usage, at tmclock.Millis) string {
		pool := fullPool(now)
		pool.Usage, pool.UsageAt = u, at
		return jobs[order(pool, jobs)[0].Index].Team
	}
	var u Usage
	all := tmjob.Resources{CPU: 10_000}
	assert.Equal(t, front(&u, 10_000), "hot")
	u.Add("hot", all, 10_000)
	assert.Equal(t, front(&u, now), "calm")
	u.Sub("hot", all, now)
	assert.Equal(t, front(&u, now), "calm", "recent usage counts")
	assert.Equal(t, front(&u, now+20_000), "hot")
}

// Guards against a share that counts only the processor.
func TestDominantResourceCounts(t *testing.T) {
	var u Usage
	u.Add("memory", tmjob.Resources{CPU: 1, Mem: 80}, 1)
	u.Add("processor", tmjob.Resources{CPU: 40, Mem: 1}, 1)
	_, shares := u.shares(tmjob.Resources{CPU: 100, Mem: 100}, 1)
	assert.DeepEqual(t, shares, map[string]float64{"memory": 0.4, "processor": 0.2})
	u.Sub("memory", tmjob.Resources{CPU: 1, Mem: 80}, 2)
	names, _ := u.shares(tmjob.Resources{CPU: 100, Mem: 100}, 200_000)
	assert.DeepEqual(t, names, []string{"processor"})
}

// Guards against long-running jobs that are placed in any order once their pool is scarce.
func TestLongRunningJobsKeepTheirOrderInAScarcePool(t *testing.T) {
	jobs := []Job{{LongRunning: true, Priority: 5, Due: 2}, {LongRunning: true, Priority: 0, Due: 1}}
	for _, blocked := range []bool{false, true} {
		var o Orderer
		capacity := tmjob.Resources{CPU: 1000}
		placed, scarce := o.Order(Pool{Blocked: blocked, Capacity: capacity, Free: capacity}, jobs)
		assert.Equal(t, scarce, blocked)
		assert.Equal(t, placed[0].Index, 1)
	}
}
