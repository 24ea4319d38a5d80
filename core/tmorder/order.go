// Package tmorder orders the waiting jobs of a pool. While the pool has room for all of
// them, the order is by priority and size. While it is scarce, the jobs that can still meet
// their objective come first, each team within its share of the pool; the others follow.
//
// It predicts ends from the work ahead of a job and the rate at which the pool carries out
// work. An order depends on nothing but the arguments; no clock is read. Times are in ms,
// work is in thousandths of a core times ms.
package tmorder

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// Job is a waiting job, or one occurrence of a timed one.
type Job struct {
	Queue, Team string
	// Priority orders jobs; 0 comes first.
	Priority int
	// LongRunning is set for jobs that run until they are cancelled. They come first,
	// because they have to be restarted however full the pool is.
	LongRunning bool
	// OverShare is set if the team was over its share when the job arrived. It counts only
	// in a pool with room.
	OverShare bool
	// Begun is set if a task of the job has started.
	Begun bool
	// PassedOver is set if the job was among the first as an aged one for some time and
	// nothing of it could start, so that others have their turn.
	PassedOver bool
	// Held is set if the limit of the team permits no further task of the job now.
	Held bool
	// Due is when the job was due, in ms since the Unix epoch. Objective is the time from
	// then on within which it should end.
	Due       int64
	Objective float64
	// CriticalPath is the longest chain of remaining steps, Work the remaining work,
	// FullWork that of the whole job.
	CriticalPath, Work, FullWork float64
	// Demand is what the tasks that could start now reserve, Permitted the part of it that
	// the limit of the team permits beside the jobs before.
	Demand, Permitted tmjob.Resources
}

// Pool is the state of a pool.
type Pool struct {
	// Now is the wall-clock time in ms since the Unix epoch.
	Now int64
	// Capacity is what the endpoints have for jobs, without what long-running tasks reserve.
	// Free is the part of it that is not reserved.
	Capacity, Free tmjob.Resources
	// Blocked is set if a task found no endpoint with enough free capacity in the previous
	// pass, although the pool may have enough in total.
	Blocked bool
	// Committed is the work that jobs without a waiting task still have to bring.
	Committed float64
	// AgedCPU is the CPU reserved by tasks of jobs for which IsAged holds.
	AgedCPU int64
	// Weight returns the weight of a team, 0 if it has none.
	Weight func(team string) float64
	// Usage is what teams use of the pool at UsageAt; nil stands for nothing.
	Usage   *Usage
	UsageAt tmclock.Millis
}

// Class tells what can be expected of a job.
type Class int

// The classes.
const (
	// WithRoom is the class of all jobs of a pool that is not scarce, and of long-running
	// ones.
	WithRoom Class = iota
	// Aged: the job missed its objective long ago and goes first so that it doesn't starve.
	Aged
	// Meets: the job can meet its objective.
	Meets
	// Late: the job can't meet its objective, but maxLateness times as much.
	Late
	// Hopeless: the job can't meet even that.
	Hopeless
	// Held: the limit of the team permits no further task now.
	Held
)

// Classes is the number of classes.
const Classes = int(Held) + 1

var classNames = [...]string{"with_room", "aged", "meets", "late", "hopeless", "held"}

// String returns the name of the class that logs and metrics use.
func (c Class) String() string { return classNames[c] }

// Placed is a job in its place in the order.
type Placed struct {
	// Index is the index of the job in the argument of Order.
	Index int
	Class Class
	// End is the predicted end in ms since the Unix epoch, 0 in a pool with room.
	End float64
}

const (
	// maxLateness is the multiple of the objective after which the end of a job has no
	// value for its caller.
	maxLateness = 3
	// agedAfter is the time beyond the objective after which a job counts as aged, in ms.
	agedAfter = 10_000
	// agedShare is the fraction of a pool that aged jobs may hold while the pool is scarce.
	// It has to let every job proceed, while most capacity serves callers that still wait.
	agedShare = 0.125
)

// IsAged reports whether a job that was due then missed its objective long ago.
func IsAged(now, due int64, objective float64) bool {
	return float64(now) > float64(due)+objective+agedAfter
}

// Orderer orders the jobs of one pool. It reuses its memory, so that the result of Order is
// valid until the next call. The zero value is ready for use. It is not safe for concurrent
// use.
type Orderer struct {
	placed  []Placed
	entries []entry
	waiting []*entry
	shares  []TeamShare
}

// Order returns the jobs in the order in which their tasks should be placed, and whether the
// pool is scarce.
func (o *Orderer) Order(p Pool, jobs []Job) (order []Placed, scarce bool) {
	o.placed = slices.Grow(o.placed[:0], len(jobs))
	out := o.placed
	o.shares = o.shares[:0]
	if !p.isScarce(jobs) {
		for i := range jobs {
			out = append(out, Placed{Index: i})
		}
		slices.SortStableFunc(out, func(a, b Placed) int { return compareWithRoom(p.Now, &jobs[a.Index], &jobs[b.Index]) })
		return out, false
	}
	o.entries = slices.Grow(o.entries[:0], len(jobs))[:len(jobs)]
	o.waiting = slices.Grow(o.waiting[:0], len(jobs))
	s := newPass(p, jobs, o.entries, o.waiting)
	for _, t := range s.teams {
		o.shares = append(o.shares, TeamShare{Team: t.name, Used: t.usedBefore, Part: t.part})
	}
	return s.order(out), true
}

// isScarce reports whether the pool has less than what is requested of it.
func (p *Pool) isScarce(jobs []Job) bool {
	if p.Blocked {
		return true
	}
	var demand tmjob.Resources
	for i := range jobs {
		if !jobs[i].LongRunning && !jobs[i].Held {
			demand = demand.Add(jobs[i].Permitted)
		}
	}
	return !demand.Fits(p.Free)
}

// compareWithRoom orders the jobs of a pool that has room for all of them.
func compareWithRoom(now int64, a, b *Job) int {
	return cmp.Or(
		First(a.LongRunning, b.LongRunning),
		-First(a.OverShare, b.OverShare),
		-First(a.missesAlone(now), b.missesAlone(now)),
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Work, b.Work),
		cmp.Compare(a.Due, b.Due),
	)
}

// missesAlone reports whether the job can't meet its objective even if it starts now.
func (j *Job) missesAlone(now int64) bool {
	return !j.LongRunning && float64(now)+j.CriticalPath > float64(j.Due)+j.Objective
}

// First is a comparison function that orders what is set before what is not.
func First(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}
