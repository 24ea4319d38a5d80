package tmadmit

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

const (
	// MaxReportAge is how old the backlog report of an owner may be. Owners report every 500 ms,
	// so that two reports may be lost; what is older says nothing about the demand of now.
	MaxReportAge = 1500 * tmclock.Millisecond
	// UsefulObjectives is within how many times its objective a job is worth serving at all.
	UsefulObjectives = 3
	// RefusalMargin is by how much the predicted end must exceed that, because the wait is an
	// estimate and a refusal costs the caller more than a short wait.
	RefusalMargin = 1.5
	// maxPlausibleWait is the longest wait that is believed.
	maxPlausibleWait = tmclock.Hour
	// MaxEstimateRatio limits how far a declared run time may differ from the mean of its queue,
	// as a factor in either direction.
	MaxEstimateRatio = 2
	// minRetryAfter and maxRetryAfter bound the time after which a caller is to come back.
	// retrySpread is the least time over which callers are spread that are to come back late.
	minRetryAfter = tmclock.Second
	maxRetryAfter = 30 * tmclock.Second
	retrySpread   = 10 * tmclock.Second
	// maxRemembered limits the refused jobs that a Gate remembers, and those in doubt, which take
	// about 150 bytes each. A job is forgotten after rememberTime, when callers have given up.
	maxRemembered = 4096
	rememberTime  = 2 * tmclock.Minute
)

// Backlog is what the owner of a shard predicts for a new job of a queue.
type Backlog struct {
	// Wait is the time in ms that the job waits for the work ahead of it.
	Wait float64
	// Work is the work ahead of the job in core-ms, Drain how many cores are at work on it.
	Work, Drain float64
	// Run is the mean run time in ms of the tasks of the queue, 0 if unknown.
	Run float64
	// Teams lists the teams whose jobs have to wait so long, nil for all. The jobs of others go
	// first, because these teams have taken less than their share.
	Teams []string
}

// wait returns the time for which a new job has to wait, or 0 if the backlog is nonsense. A wait
// that is longer than the work ahead explains is shortened.
func (b Backlog) wait() tmclock.Span {
	for _, v := range []float64{b.Wait, b.Work, b.Drain, b.Run} {
		if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return 0
		}
	}
	if b.Drain == 0 || b.Wait > float64(maxPlausibleWait) {
		return 0
	}
	return tmclock.Span(min(b.Wait, b.Work/b.Drain))
}

// appliesTo reports whether the jobs of a team have to wait.
func (b Backlog) appliesTo(team string) bool { return b.Teams == nil || slices.Contains(b.Teams, team) }

// Submission is a job that a caller submits. Stretch and Objective are those of its queue.
type Submission struct {
	Job       *tmjob.Job
	Stretch   float64
	Objective tmclock.Span
}

// Decision is whether a job is refused because of the backlog of its queue. A job that isn't
// refused is stored.
type Decision struct {
	Refuse bool
	// Probe is set if the job would be refused, but is admitted to correct a wait that is
	// estimated too high.
	Probe bool
	// RetryAfter is when the caller is to come back.
	RetryAfter tmclock.Span
	// Wait, End and Bound say why: the predicted wait, the predicted end since the first
	// attempt, and within what time the job is worth serving.
	Wait, End, Bound tmclock.Span
	// Attempt counts the earlier refusals of the job by this node.
	Attempt int
}

// Gate decides whether a node refuses new jobs because of the backlog of their queue. It
// remembers which jobs it has refused, since the time of a job counts from its first attempt. It
// is not safe for concurrent use.
type Gate struct {
	// sinceProbe counts the refusals by queue since the last probe.
	sinceProbe map[string]int
	refused    memory[refusal]
	// inDoubt holds the jobs that may be stored, with the time since which that is so. They are
	// kept apart, so that refusals don't displace them.
	inDoubt memory[tmclock.Millis]
}

// refusal is what is known about a job that was refused before.
type refusal struct {
	// count counts the refusals. firstAt is when the first of them was.
	count   int
	firstAt tmclock.Millis
}

// NewGate returns a Gate that has refused nothing.
func NewGate() *Gate {
	return &Gate{
		sinceProbe: map[string]int{}, refused: newMemory[refusal](maxRemembered), inDoubt: newMemory[tmclock.Millis](maxRemembered),
	}
}

// Decide decides about a job, given the backlog of its queue as reported the time age ago. A job
// is refused if it would certainly end too late to be of use, and admitted in every case of
// doubt: without an objective, with a report that is old or nonsense, and if the job could not
// be served in time by an idle pool either. Long-running and timed jobs are always admitted.
func (g *Gate) Decide(s Submission, b Backlog, age tmclock.Span, now tmclock.Millis) Decision {
	wait := b.wait()
	if age < 0 || age > MaxReportAge || wait == 0 || !b.appliesTo(s.Job.Team) || s.Job.LongRunning() || s.Job.Repeats > 0 {
		return Decision{}
	}
	path := criticalPath(s.Job.Steps, b.Run)
	objective := s.Stretch*path + float64(s.Objective)
	bound := UsefulObjectives * objective
	if !(objective > 0) || path > bound {
		return Decision{}
	}
	if g.IsInDoubt(s.Job.ID, now) {
		return Decision{}
	}
	earlier := g.earlier(s.Job.ID, now)
	elapsed := now.Sub(earlier.firstAt)
	fromNow := float64(wait) + path
	end := fromNow + float64(elapsed)
	// A job that would meet its objective if it were new is worth its work also after a refusal.
	if fromNow <= objective || end <= RefusalMargin*bound {
		return Decision{}
	}
	d := Decision{Wait: wait, End: tmclock.Span(end), Bound: tmclock.Span(bound), Attempt: earlier.count}
	if g.isProbe(s.Job.Queue) {
		d.Probe = true
		return d
	}
	d.Refuse = true
	ready := fromNow - RefusalMargin*bound
	d.RetryAfter = retryAfter(s.Job.ID, earlier.count, ready, bound-path-float64(elapsed))
	earlier.count++
	g.refused.set(s.Job.ID, earlier)
	return d
}

// SetInDoubt records that a job may have been stored, or may still be. It is not refused within
// rememberTime: a refusal says that it never runs, and no read can tell that.
func (g *Gate) SetInDoubt(id string, now tmclock.Millis) { g.inDoubt.set(id, now) }

// IsInDoubt reports whether a job was recorded as possibly stored lately.
func (g *Gate) IsInDoubt(id string, now tmclock.Millis) bool {
	since, ok := g.inDoubt.get(id)
	return ok && now.Sub(since) <= rememberTime
}

// isProbe counts a refusal of a job of the queue and reports whether to admit the job instead.
func (g *Gate) isProbe(queue string) bool {
	g.sinceProbe[queue]++
	if g.sinceProbe[queue] < probeInterval {
		return false
	}
	delete(g.sinceProbe, queue)
	return true
}

// earlier returns what is known about earlier refusals of a job.
func (g *Gate) earlier(id string, now tmclock.Millis) refusal {
	r, ok := g.refused.get(id)
	if !ok || now.Before(r.firstAt) || now.Sub(r.firstAt) > rememberTime {
		return refusal{firstAt: now}
	}
	return r
}

// criticalPath returns the longest chain of steps in ms. run is the mean run time of the tasks
// of the queue, 0 if unknown, which bounds the declared ones.
func criticalPath(steps []tmjob.Step, run float64) float64 {
	ends := make([]float64, len(steps))
	longest := 0.0
	for i := range steps {
		took := math.Max(float64(steps[i].Estimate), 1)
		if run > 0 {
			took = math.Max(run/MaxEstimateRatio, math.Min(run*MaxEstimateRatio, took))
		}
		start := 0.0
		for _, a := range steps[i].After {
			start = math.Max(start, ends[a])
		}
		ends[i] = start + took
		longest = math.Max(longest, ends[i])
	}
	return longest
}

// retryAfter returns when a refused job is to come back, in whole seconds. ready is the time in
// ms until the backlog has drained enough for its admission, latest when it must come back to be
// served in time by an idle pool. Between them, callers are spread by the id of the job and the
// number of the attempt. If ready is the later one the job can't be served in time any more, so
// that it should stay away until there is capacity.
func retryAfter(id string, attempt int, ready, latest float64) tmclock.Span {
	second := float64(tmclock.Second)
	last := float64(maxRetryAfter) / second
	from := math.Max(math.Ceil(ready/second), float64(minRetryAfter)/second)
	to := math.Min(math.Floor(latest/second), last)
	if to < from {
		spread := float64(retrySpread) / second
		from = math.Min(from, last-spread)
		to = from + spread
	}
	share := float64(hashOf(id, attempt)) / (1 << 64)
	return tmclock.Span(from+math.Floor(share*(to-from+1))) * tmclock.Second
}

// hashOf returns a number that is spread evenly over jobs and attempts.
func hashOf(id string, attempt int) uint64 {
	return xxhash.Sum64(append([]byte(id), byte(attempt)))
}
