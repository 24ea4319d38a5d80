package main

import (
	"fmt"
	"math"
	"math/rand/v2"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmshare"
)

const (
	stepSpan       = 10 * tmclock.Millisecond
	heartbeatEvery = 500 * tmclock.Millisecond
	renewEvery     = 400 * tmclock.Millisecond
	queueDeadline  = 30 * tmclock.Second
	checkpointTime = 200 * tmclock.Millisecond
)

// policy is what is measured, or a baseline for it.
type policy struct {
	name string
	// fifo ignores teams. local ignores the counts of peers and divides slots
	// equally among entries.
	fifo, local bool
	// preempt checkpoints tasks for urgent work and for returning teams.
	preempt bool
	// targets bounds what each entry corrects between two heartbeats.
	targets bool
	// choose replaces leases and the picker by a choice on information of the
	// last renewal.
	choose chooser
}

// job is a request with the run time that nobody is told.
type job struct {
	id        string
	team      int
	pool      int
	run       tmclock.Span
	arrived   tmclock.Millis
	urgent    bool
	preempt   bool
	started   tmclock.Millis
	entry     *entry
	worker    *worker
	cancelled bool
	// forwarded requests are not forwarded again.
	forwarded bool
}

// worker is the fake of an endpoint: slots, leases and whether it answers.
type worker struct {
	name    string
	pool    int
	zone    int
	running map[*job]struct{}
	leased  int
	down    bool
}

// sim feeds arrivals and events to the decision code of several entries.
type sim struct {
	shape   shape
	policy  policy
	rng     *rand.Rand
	clock   *tmclock.Manual
	entries []*entry
	workers []*worker
	pools   [][]*worker
	ends    map[tmclock.Millis][]*job
	running []int
	queued  []int
	made    int
	stats   *stats
	// onStep lets a scenario change the fleet.
	onStep func(s *sim, now tmclock.Millis)
}

func newSim(sh shape, p policy, seed uint64) *sim {
	s := &sim{
		shape: sh, policy: p,
		rng:     rand.New(rand.NewPCG(seed, 7)),
		clock:   tmclock.NewManual(0),
		pools:   make([][]*worker, len(sh.pools)),
		ends:    map[tmclock.Millis][]*job{},
		running: make([]int, len(sh.teams)),
		queued:  make([]int, len(sh.teams)),
		stats:   &stats{},
		onStep:  func(*sim, tmclock.Millis) {},
	}
	for p, n := range sh.pools {
		for i := range n {
			w := &worker{
				name: fmt.Sprintf("w%d-%02d", p, i), pool: p, zone: i % sh.zones,
				running: map[*job]struct{}{},
			}
			s.workers = append(s.workers, w)
			s.pools[p] = append(s.pools[p], w)
		}
	}
	for i := range entriesToday {
		s.entries = append(s.entries, newEntry(s, i))
	}
	return s
}

func (s *sim) run(length tmclock.Span) {
	for now := s.clock.Now(); now < tmclock.Millis(length); now = s.clock.Now() {
		s.onStep(s, now)
		s.finish(now)
		s.arrive(now)
		for i, e := range s.entries {
			phase := tmclock.Span(i) * 50
			if (tmclock.Span(now)+phase)%heartbeatEvery == 0 {
				e.heartbeat()
			}
			if (tmclock.Span(now)+phase)%renewEvery == 0 {
				e.renew()
			}
		}
		for _, i := range s.rng.Perm(len(s.entries)) {
			s.entries[i].dispatch(now)
		}
		s.stats.sample(s, now)
		s.clock.Advance(stepSpan)
	}
}

func (s *sim) arrive(now tmclock.Millis) {
	for i := range s.shape.teams {
		for range s.poisson(s.shape.rate(i, now) * float64(stepSpan)) {
			s.made++
			j := &job{
				id: fmt.Sprint(s.made), team: i, pool: s.drawPool(), run: s.shape.drawRun(s.rng),
				arrived: now, preempt: s.rng.IntN(2) == 0, urgent: s.rng.Float64() < s.shape.urgentPart,
			}
			s.entries[s.rng.IntN(len(s.entries))].push(j)
		}
	}
}

// drawPool draws a pool in proportion to its workers.
func (s *sim) drawPool() int { return s.workers[s.rng.IntN(len(s.workers))].pool }

func (s *sim) poisson(mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := s.rng.Float64(); p > limit; p *= s.rng.Float64() {
		n++
	}
	return n
}

func (s *sim) begin(e *entry, w *worker, j *job, now tmclock.Millis) {
	j.entry, j.worker, j.started, j.cancelled = e, w, now, false
	w.running[j] = struct{}{}
	s.running[j.team]++
	s.stats.begun(j, now)
	end := (now.Add(j.run+stepSpan-1) / tmclock.Millis(stepSpan)) * tmclock.Millis(stepSpan)
	s.ends[end] = append(s.ends[end], j)
}

func (s *sim) finish(now tmclock.Millis) {
	for _, j := range s.ends[now] {
		if !j.cancelled && j.worker != nil && !j.worker.down {
			s.end(j)
			s.stats.done(j, now)
			j.entry.ended(j)
		}
	}
	delete(s.ends, now)
}

// end frees the slot of a running job.
func (s *sim) end(j *job) {
	delete(j.worker.running, j)
	s.running[j.team]--
}

// abort ends a running job before its time. It is queued again with the given
// run time.
func (s *sim) abort(j *job, run tmclock.Span) *job {
	s.end(j)
	j.cancelled = true
	s.made++
	again := &job{
		id: fmt.Sprint(s.made), team: j.team, pool: j.pool, run: run,
		arrived: j.arrived, preempt: j.preempt, urgent: j.urgent,
	}
	return again
}

func (s *sim) teamName(i int) string {
	if s.policy.fifo {
		return "all"
	}
	return s.shape.teams[i].name
}

// claims has what each team could use now.
func (s *sim) claims() []tmshare.Claim {
	out := make([]tmshare.Claim, len(s.shape.teams))
	for i, t := range s.shape.teams {
		out[i] = tmshare.Claim{
			Demand: float64(s.running[i] + s.queued[i]),
			Limit:  math.Inf(1), Share: float64(t.share),
		}
	}
	return out
}

// plenty is a view of slices without a bound: limits are not measured here.
type plenty struct{}

func (plenty) Available(string) int { return math.MaxInt }
