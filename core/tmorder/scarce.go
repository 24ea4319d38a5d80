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
	team  *team
	index int
	class Class
	// score is the value of the job per unit of its remaining work.
	score float64
	// start is when the job can start, in ms from now.
	start float64
	turn  float64
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

// team is the use that one team makes of the pool, in fractions of its dominant resource.
type team struct {
	name string
	// usedBefore is what the team uses, used that and what the jobs request that were looked
	// at, demand that and what all its jobs request.
	usedBefore, used, demand float64
	// part is what the team would get by its weight if it requested more.
	part float64
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
	slices.SortStableFunc(s.groups[WithRoom], func(a, b *entry) int { return compareWithRoom(p.Now, a.job, b.job) })
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
		if !e.job.PassedOver && IsAged(s.pool.Now, e.job.Due, e.job.Objective) {
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

// classify divides the jobs into those that can meet their objective and the others. Among
// the former, what a team requests beyond its part goes behind what others request within
// theirs, except that jobs that have begun are completed.
func (s *pass) classify(entries []*entry) {
	sortByUrgency(entries)
	s.divide(entries)
	within, over, rest := s.splitByShare(entries)
	whole := machine{rate: s.rate, load: s.pool.Committed, free: float64(s.pool.Free.CPU)}
	for _, group := range [][]*entry{within, over} {
		kept, rejected := whole.admit(group, s.slack)
		s.add(Meets, kept...)
		rest = append(rest, rejected...)
	}
	sortByUrgency(rest)
	late, hopeless := whole.admit(rest, s.lateSlack)
	s.add(Late, late...)
	slices.SortStableFunc(hopeless, func(a, b *entry) int { return cmp.Compare(a.job.Due, b.job.Due) })
	s.add(Hopeless, hopeless...)
}

// turnsPerPart is into how many turns the part of a team is divided. All teams have their
// first turn before any has its second one. With one turn, a small team's jobs may come after
// those of all others and then be late.
const turnsPerPart = 2

// splitByShare divides the jobs into those within the part of their team, those over it,
// and the rest, which can't meet their objective even if they start now. The first are
// sorted by their turn.
func (s *pass) splitByShare(entries []*entry) (within, over, rest []*entry) {
	for _, e := range entries {
		if s.slack(e) < 0 {
			rest = append(rest, e)
			continue
		}
		t := e.team
		d := s.dominantShare(e.job)
		e.turn = math.Floor(turnsPerPart * t.used / math.Max(t.part, 1e-6))
		switch {
		case e.job.Begun:
			e.turn = 0
			within = append(within, e)
		// A team that uses nothing may start a job that is wider than its part.
		case t.used > 0 && t.used+d > t.part:
			over = append(over, e)
		default:
			within = append(within, e)
		}
		t.used += d
	}
	slices.SortStableFunc(within, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), cmp.Compare(a.turn, b.turn))
	})
	return within, over, rest
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
// estimates before a job that counts as meeting its objective misses it.
const runTimeMargin = 0.25

// slack returns how long the start of a job may be delayed if it is to meet its objective.
func (s *pass) slack(e *entry) float64 {
	return float64(e.job.Due-s.pool.Now) + e.job.Objective - e.job.CriticalPath*(1+runTimeMargin)
}

// lateSlack is like slack for the end of the time in which the job has any value.
func (s *pass) lateSlack(e *entry) float64 {
	return s.slack(e) + (maxLateness-1)*e.job.Objective
}

// divide assigns each job to its team and each team its part of the pool by its dominant
// resource (dominant resource fairness, Ghodsi et al. 2011).
func (s *pass) divide(entries []*entry) {
	byName := map[string]*team{}
	add := func(name string) *team {
		t := byName[name]
		if t == nil {
			t = &team{name: name}
			byName[name] = t
			s.teams = append(s.teams, t)
		}
		return t
	}
	names, used := s.pool.Usage.shares(s.pool.Capacity, s.pool.UsageAt)
	for _, name := range names {
		t := add(name)
		t.usedBefore, t.used, t.demand = used[name], used[name], used[name]
	}
	for _, e := range entries {
		t := add(e.job.Team)
		e.team = t
		t.demand += s.dominantShare(e.job)
	}
	claims := make([]tmshare.Claim, len(s.teams))
	weights := s.weights()
	for i, t := range s.teams {
		claims[i] = tmshare.Claim{Demand: t.demand, Limit: math.Inf(1), Share: weights[i]}
	}
	parts := tmshare.Divide(1, claims)
	for i, part := range tmshare.Potential(1, claims, parts) {
		s.teams[i].part = math.Min(1, part)
	}
}

// dominantShare returns the largest fraction of a resource of the pool that the waiting
// tasks of a job reserve.
func (s *pass) dominantShare(j *Job) float64 {
	d := j.Demand
	return dominant([3]float64{float64(d.CPU), float64(d.Mem), float64(d.GPU)}, fields(s.pool.Capacity))
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
