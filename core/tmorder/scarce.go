package tmorder

import (
	"cmp"
	"math"
	"slices"

	"turmericmoor/core/tmshare"
)

// entry is a job in one pass over a scarce pool.
type entry struct {
	job   *Job
	index int
	class Class
	// score is the value of the job per unit of its remaining work.
	score float64
	// start is when the job can start on its machine, in ms from now.
	start float64
}

// pass orders the jobs of a scarce pool.
type pass struct {
	pool Pool
	// rate is how much work the pool carries out per ms.
	rate float64
	// groups holds the jobs of each class in their order.
	groups [Classes][]*entry
	teams  []*team
}

// team holds the jobs of one team that could meet their objectives.
type team struct {
	name    string
	jobs    []*entry
	claim   tmshare.Claim
	machine machine
}

// newPass orders jobs. It overwrites entries, which has the length of jobs, and waiting.
func newPass(p Pool, jobs []Job, entries []entry, waiting []*entry) *pass {
	s := &pass{pool: p, rate: math.Max(1, float64(p.Capacity.CPU))}
	for i := range jobs {
		e := &entries[i]
		*e = entry{job: &jobs[i], index: i}
		switch {
		case e.job.LongRunning:
			s.add(WithRoom, e)
		case e.job.Held:
			s.add(Held, e)
		default:
			waiting = append(waiting, e)
		}
	}
	waiting = s.promoteAged(waiting)
	s.setScores(waiting)
	s.classify(waiting)
	return s
}

func (s *pass) add(c Class, entries ...*entry) {
	for _, e := range entries {
		e.class = c
	}
	s.groups[c] = append(s.groups[c], entries...)
}

func (s *pass) order(out []Placed) []Placed {
	for c, group := range s.groups {
		for _, e := range group {
			end := float64(s.pool.Now) + e.start + e.job.CriticalPath
			out = append(out, Placed{Index: e.index, Class: Class(c), End: end})
		}
	}
	return out
}

// promoteAged moves the oldest aged jobs to the front, as many as agedShare permits and at
// least one. It returns the others.
func (s *pass) promoteAged(entries []*entry) []*entry {
	var aged, rest []*entry
	for _, e := range entries {
		if IsAged(s.pool.Now, e.job.Due, e.job.Objective) {
			aged = append(aged, e)
		} else {
			rest = append(rest, e)
		}
	}
	if len(aged) == 0 {
		return entries
	}
	slices.SortStableFunc(aged, func(a, b *entry) int {
		return cmp.Or(First(a.job.Begun, b.job.Begun), cmp.Compare(a.job.Due, b.job.Due))
	})
	left := agedShare*float64(s.pool.Capacity.CPU) - float64(s.pool.AgedCPU)
	for i, e := range aged {
		if left <= 0 && (i > 0 || s.pool.AgedCPU > 0) {
			return append(rest, aged[i:]...)
		}
		left -= float64(e.job.Demand.CPU)
		s.add(Aged, e)
	}
	return rest
}

// A job's value is minValue, plus 1-minValue for each mean work of its queue, up to
// maxRelativeWork means. These are the values that callers assign to jobs.
const (
	minValue        = 0.3
	maxRelativeWork = 4
)

// setScores sets the score of each job.
func (s *pass) setScores(entries []*entry) {
	type sum struct {
		work float64
		n    float64
	}
	sums := map[string]*sum{}
	for _, e := range entries {
		q := sums[e.job.Queue]
		if q == nil {
			q = &sum{}
			sums[e.job.Queue] = q
		}
		q.work += e.job.FullWork
		q.n++
	}
	for _, e := range entries {
		q := sums[e.job.Queue]
		relative := math.Min(maxRelativeWork, e.job.FullWork*q.n/math.Max(1, q.work))
		value := minValue + (1-minValue)*relative
		e.score = value / math.Max(1, e.job.Work)
	}
}

// classify divides the jobs into those that can meet their objective and the others. Each
// team first gets what its share carries out in time, and then what the others leave.
func (s *pass) classify(entries []*entry) {
	sortByUrgency(entries)
	s.divide(entries)
	var meets, over []*entry
	for _, t := range s.teams {
		kept, rejected := t.machine.admit(t.jobs, s.slack)
		meets = append(meets, kept...)
		over = append(over, rejected...)
	}
	// The start on the machine of the team is the virtual time of weighted fair queueing.
	slices.SortStableFunc(meets, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(a.start, b.start), cmp.Compare(a.job.Due, b.job.Due))
	})
	whole := machine{rate: s.rate, load: s.pool.Committed}
	for _, e := range meets {
		whole.load += e.job.Work
	}
	sortByUrgency(over)
	more, over := whole.admit(over, s.slack)
	s.add(Meets, meets...)
	s.add(Meets, more...)
	late, hopeless := whole.admit(over, s.lateSlack)
	s.add(Late, late...)
	slices.SortStableFunc(hopeless, func(a, b *entry) int { return cmp.Compare(a.job.Due, b.job.Due) })
	s.add(Hopeless, hopeless...)
}

// sortByUrgency sorts jobs by priority, then those that have begun before the others, then
// by value per work. A job that has begun and could still be in time is not left half done.
func sortByUrgency(entries []*entry) {
	slices.SortStableFunc(entries, func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(a.job.Priority, b.job.Priority),
			First(a.job.Begun, b.job.Begun),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.job.Due, b.job.Due),
		)
	})
}

// runTimeMargin is the fraction of the critical path by which run times may exceed their
// estimates before a job that counts as meeting its objective misses it. In the simulated
// bursts of load_test.go, 0 and 0.25 serve the same number of callers to within 1%, and 0.5
// serves 3% fewer.
const runTimeMargin = 0.25

// slack returns how long the start of a job may be delayed if it is to meet its objective.
func (s *pass) slack(e *entry) float64 {
	return float64(e.job.Due-s.pool.Now) + e.job.Objective - e.job.CriticalPath*(1+runTimeMargin)
}

// lateSlack is like slack for the end of the time in which the job has any value.
func (s *pass) lateSlack(e *entry) float64 {
	return s.slack(e) + (maxLateness-1)*e.job.Objective
}

// divide assigns each job to its team and gives each team a machine with its share of the
// pool, by its dominant resource.
func (s *pass) divide(entries []*entry) {
	byName := map[string]*team{}
	for _, e := range entries {
		t := byName[e.job.Team]
		if t == nil {
			t = &team{name: e.job.Team}
			byName[e.job.Team] = t
			s.teams = append(s.teams, t)
		}
		t.jobs = append(t.jobs, e)
		t.claim.Demand += s.dominantShare(e.job)
	}
	claims := make([]tmshare.Claim, len(s.teams))
	weights := s.weights()
	for i, t := range s.teams {
		t.claim.Limit, t.claim.Share = math.Inf(1), weights[i]
		claims[i] = t.claim
	}
	for i, part := range tmshare.Divide(1, claims) {
		s.teams[i].machine = machine{rate: math.Max(1, s.rate*part), load: s.pool.Committed * part, free: float64(s.pool.Free.CPU) * part}
	}
}

// dominantShare returns the largest fraction of a resource of the pool that the waiting
// tasks of a job reserve.
func (s *pass) dominantShare(j *Job) float64 {
	share := 0.0
	have := s.pool.Capacity
	for _, part := range [][2]int64{{j.Demand.CPU, have.CPU}, {j.Demand.Mem, have.Mem}, {j.Demand.GPU, have.GPU}} {
		share = math.Max(share, float64(part[0])/math.Max(1, float64(part[1])))
	}
	return share
}

// weights returns the weights of the teams. A team without one counts with the mean of the
// others, because a weight of 0 would exclude it.
func (s *pass) weights() []float64 {
	out := make([]float64, len(s.teams))
	sum, n := 0.0, 0.0
	for i, t := range s.teams {
		if s.pool.Weight != nil {
			out[i] = s.pool.Weight(t.name)
		}
		if out[i] > 0 {
			sum += out[i]
			n++
		}
	}
	for i, w := range out {
		switch {
		case w > 0:
		case n > 0:
			out[i] = sum / n
		default:
			out[i] = 1
		}
	}
	return out
}
