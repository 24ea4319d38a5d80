package tmcontrol

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tminterference"
)

// This file lets placements take into account which workloads slow each other down. The
// estimates are those of this owner. The next one learns anew.

const (
	// interferenceWeight weighs the time that is lost to interference, relative to the time
	// of a task, against the share of an endpoint that is in use. A slowdown of 1.5
	// outweighs any difference in use, one of 1.1 a fifth of an endpoint.
	interferenceWeight = 2.0
	// maxInterferencePenalty keeps the penalty below spreadPenalty and rackPreference: lost
	// availability and distant data are worse.
	maxInterferencePenalty = 4.0
	// effectsInterval is the time between two looks at all pairs of workloads.
	effectsInterval = tmclock.Second
	// servingInterval is the time between two observations of a task that serves users, and
	// servingWeight their weight in runs. Its tail latencies of some seconds are alike.
	servingInterval = tmclock.Second
	servingWeight   = 0.2
	// reportInterval is the minimum time between two log lines about one pair, or about the
	// placements that were changed. An owner writes reportBurst lines about pairs at once
	// and one a second thereafter.
	reportInterval = 10 * tmclock.Second
	reportBurst    = 8
	// reportedChange is the factor by which a slowdown must change to be reported again.
	reportedChange = 1.25
)

// neighbours holds what an owner has learned about interference between workloads.
type neighbours struct {
	estimator *tminterference.Estimator
	// now is the latest time that is known.
	now tmclock.Millis
	// effects are those in force, costs what follows from them for each workload, and
	// version counts their changes.
	effects     []tminterference.Effect
	costs       map[string]*tminterference.Costs
	version     int64
	refreshedAt tmclock.Millis
	// plain is the endpoint with the highest score without the penalty in the current
	// search, nil if there was none with a penalty to consider.
	plain      *endpoint
	plainScore float64
	// changed counts the placements that the penalty has changed, reportedChanged those
	// of the last log line, which was written at changedAt.
	changed, reportedChanged int64
	changedAt                tmclock.Millis
	reports                  []interferenceReport
	limiter                  *rate.Limiter
	scratch                  []tminterference.Neighbour
}

// interferenceReport is the last log line about a pair of workloads.
type interferenceReport struct {
	workload, beside string
	slowdown         float64
	at               tmclock.Millis
}

func newNeighbours() neighbours {
	return neighbours{estimator: tminterference.New(), limiter: rate.NewLimiter(1, reportBurst)}
}

// workloadName returns the name of the workload that the tasks of the step belong to.
func (s *step) workloadName() string {
	if s.spec.Image != "" {
		return s.spec.Image
	}
	return s.occ.job.spec.Queue
}

// reached records a time that is known to be reached.
func (n *neighbours) reached(now tmclock.Millis) { n.now = max(n.now, now) }

// enterPlace records that a run is present at its endpoint.
func (c *Controller) enterPlace(r *run) {
	p, now := r.ep.place, c.neighbours.now
	p.Enter(r.task.step.workloadName(), now)
	r.mark = p.Mark(r.mark, now)
}

// leavePlace records that a run has left its endpoint.
func (c *Controller) leavePlace(r *run) {
	r.ep.place.Leave(r.task.step.workloadName(), c.neighbours.now)
}

// observeRun learns from the time that a run took. The time of a run that an earlier owner
// started is not known, that of a best-effort task depends on its pace and that of the
// member of a gang on the others.
func (c *Controller) observeRun(r *run, took float64, now tmclock.Millis) {
	s := r.task.step
	if r.sentAt == 0 || s.spec.BestEffort || s.spec.Gang {
		return
	}
	c.observe(r, took, 1, now)
}

// observeServing learns from the tail latency of a task that serves users. The processor
// time that other tasks use is not evidence: a task that is held up by the memory or the
// caches uses as much as before, and one without work uses less.
func (c *Controller) observeServing(r *run, now tmclock.Millis) {
	if r.task.step.spec.LatencyTarget <= 0 || r.percent < 100 || r.stop || now.Sub(r.mark.At()) < servingInterval {
		return
	}
	c.observe(r, float64(r.usage), servingWeight, now)
	r.mark = r.ep.place.Mark(r.mark, now)
}

func (c *Controller) observe(r *run, millis, weight float64, now tmclock.Millis) {
	n := &c.neighbours
	n.reached(now)
	name := r.task.step.workloadName()
	n.scratch = r.ep.place.Since(r.mark, name, n.now, n.scratch[:0])
	n.estimator.Observe(tminterference.Observation{
		Workload: name, Millis: millis, Weight: weight, Neighbours: n.scratch, Place: r.ep.place,
		Group: &r.task.step.group, GroupSize: r.task.step.spec.Count,
	}, now)
}

// refreshEffects updates the effects in force, at most once in effectsInterval.
func (c *Controller) refreshEffects(now tmclock.Millis) {
	n := &c.neighbours
	n.reached(now)
	if now.Sub(n.refreshedAt) < effectsInterval {
		return
	}
	n.refreshedAt = now
	c.reportChanged(now)
	before := len(n.effects)
	n.effects = n.estimator.Effects(now)
	if before == 0 && len(n.effects) == 0 && len(n.reports) == 0 {
		return
	}
	n.costs = tminterference.CostsOf(n.effects)
	n.version++
	c.reportEffects(now)
}

// weighNeighbours lowers the score of e for a task of the step by what the task and those at
// e would lose to each other. It only orders the endpoints that have room.
func (c *Controller) weighNeighbours(s *step, e *endpoint, score float64) float64 {
	n := &c.neighbours
	if len(n.costs) == 0 {
		return score
	}
	if s.costsVersion != n.version {
		s.costs, s.costsVersion = n.costs[s.workloadName()], n.version
	}
	if s.costs == nil {
		return score
	}
	if n.plain == nil || score > n.plainScore {
		n.plain, n.plainScore = e, score
	}
	return score - min(interferenceWeight*s.costs.At(e.place), maxInterferencePenalty)
}

// beginSearch forgets the endpoints of the last search.
func (n *neighbours) beginSearch() { n.plain = nil }

// countChange counts a placement if the last search would have chosen another endpoint
// without the penalty.
func (n *neighbours) countChange(chosen *endpoint) {
	if n.plain != nil && n.plain != chosen {
		n.changed++
	}
}

// reportEffects logs the effects that are new, have changed or no longer count. If there are
// too many, new ones go first, then those that were reported longest ago.
func (c *Controller) reportEffects(now tmclock.Millis) {
	n := &c.neighbours
	current := map[[2]string]tminterference.Effect{}
	for _, e := range n.effects {
		current[[2]string{e.Workload, e.Beside}] = e
	}
	fresh := c.reportNew(now)
	kept := n.reports[:0]
	for _, r := range n.reports {
		e, counts := current[[2]string{r.workload, r.beside}]
		switch {
		case now.Sub(r.at) < reportInterval || counts && !r.isOutdated(e) || !n.mayReport(now):
			kept = append(kept, r)
		case counts:
			fresh = append(fresh, c.reportEffect(e, now))
		default:
			c.event(tmevent.InterferenceGone, "workload", r.workload, "beside", r.beside, "slowdown", r.slowdown)
		}
	}
	n.reports = append(kept, fresh...)
	n.reports = n.reports[max(0, len(n.reports)-tminterference.MaxPairs):]
}

// reportNew logs the effects that have no report yet and returns their reports.
func (c *Controller) reportNew(now tmclock.Millis) []interferenceReport {
	n := &c.neighbours
	reported := map[[2]string]bool{}
	for _, r := range n.reports {
		reported[[2]string{r.workload, r.beside}] = true
	}
	var fresh []interferenceReport
	for _, e := range n.effects {
		if !reported[[2]string{e.Workload, e.Beside}] && n.mayReport(now) {
			fresh = append(fresh, c.reportEffect(e, now))
		}
	}
	return fresh
}

func (c *Controller) reportEffect(e tminterference.Effect, now tmclock.Millis) interferenceReport {
	c.event(tmevent.InterferenceFound, "workload", e.Workload, "beside", e.Beside, "slowdown", e.Slowdown, "evidence_runs", int(e.Runs))
	return interferenceReport{workload: e.Workload, beside: e.Beside, slowdown: e.Slowdown, at: now}
}

func (r *interferenceReport) isOutdated(e tminterference.Effect) bool {
	return math.Abs(math.Log(e.Slowdown/r.slowdown)) > math.Log(reportedChange)
}

func (n *neighbours) mayReport(now tmclock.Millis) bool {
	return n.limiter.AllowN(time.UnixMilli(int64(now)), 1)
}

// reportChanged logs how many placements the penalty has changed since the last line.
func (c *Controller) reportChanged(now tmclock.Millis) {
	n := &c.neighbours
	if n.changed == n.reportedChanged || n.changedAt != 0 && now.Sub(n.changedAt) < reportInterval {
		return
	}
	c.event(tmevent.PlacementsChanged, "placements", n.changed-n.reportedChanged, "total", n.changed, "effects", len(n.effects))
	n.reportedChanged, n.changedAt = n.changed, now
}

// interferingTasks returns the number of tasks at e that a best-effort task would interfere
// with, or of the best-effort tasks that would interfere with a task that serves users.
func interferingTasks(e *endpoint, bestEffort bool) int {
	if bestEffort {
		return e.serving
	}
	return e.bestEffort
}

// maxDumpedEffects limits the effects of a dump, and with it the series of a metric.
const maxDumpedEffects = 64

// InterferenceDump describes what an owner has learned about interference.
type InterferenceDump struct {
	// Workloads and Pairs are the numbers of workloads and pairs that it has figures for.
	Workloads, Pairs int
	// Effects are those that placements take into account, the strongest first.
	Effects []tminterference.Effect
	// Changed is the number of placements that were changed since the owner took over.
	Changed int64
}

func (n *neighbours) dump() InterferenceDump {
	d := InterferenceDump{Changed: n.changed, Effects: n.effects[:min(len(n.effects), maxDumpedEffects)]}
	d.Workloads, d.Pairs = n.estimator.Size()
	return d
}
