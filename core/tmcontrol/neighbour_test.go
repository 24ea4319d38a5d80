package tmcontrol

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tminterference"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmshard"
)

// simulatedPool is a pool whose endpoints run tasks of six queues, q0 to q5, on a clock that
// is moved by hand. Tasks of q1 are slowed by those of q0, tasks of q3 by those of q2. Decoys
// are noise, a heavy tail, a slow endpoint and the varying sizes of the jobs.
type simulatedPool struct {
	t       *testing.T
	c       *Controller
	seed    uint64
	random  *rand.Rand
	now     tmclock.Millis
	ids     []string
	running map[string][]*simulatedRun
	ends    map[string]int64
	// effects holds the slowdowns by queue and neighbour, load the part of the pool's
	// processors that the tasks would use without them.
	effects map[[2]string]float64
	load    float64
	// spread is the standard deviation of the logarithms of the sizes of jobs.
	spread float64
	// left and accepted hold the open tasks and the arrival of each open job, took the
	// times of the jobs by queue.
	left     map[string]int
	accepted map[string]tmclock.Millis
	took     map[string][]float64
	jobs     int
	events   map[tmevent.Name]int
	// waited counts the passes that left a task waiting although it had room.
	waited int
}

type simulatedRun struct {
	ref   RunRef
	queue string
	left  float64
}

const (
	simulatedStep      = 20 * tmclock.Millisecond
	simulatedEndpoints = 24
	simulatedTaskCPU   = 2000
	simulatedTasks     = 4
	simulatedTime      = 600.0
)

var disturbances = map[[2]string]float64{{"q1", "q0"}: 1.5, {"q3", "q2"}: 3}

func newSimulatedPool(t *testing.T, seed uint64, load float64, effects map[[2]string]float64) *simulatedPool {
	s := &simulatedPool{
		t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), now: 1000, running: map[string][]*simulatedRun{}, ends: map[string]int64{},
		effects: effects, load: load, left: map[string]int{}, accepted: map[string]tmclock.Millis{}, took: map[string][]float64{}, events: map[tmevent.Name]int{},
	}
	s.newOwner(1)
	return s
}

// newOwner replaces the controller by one that knows the endpoints and nothing else.
func (s *simulatedPool) newOwner(token int64) {
	s.c = New(tmshard.Whole, testBounds(), token, func(e tmevent.Event) { s.events[e.Name]++ })
	rules := testRules(1)
	for i := range 6 {
		q := fmt.Sprintf("q%d", i)
		rules.Queues[q] = Queue{Name: q, Service: "s", Attempts: 2, Stretch: 1.6, Objective: 600}
	}
	s.c.Apply(DesiredState{Rules: rules}, s.now)
	s.c.OwnershipConfirmed(s.now)
	s.ids = nil
	for i := range simulatedEndpoints {
		id := fmt.Sprintf("e%02d", i)
		s.ids = append(s.ids, id)
		s.c.SetEndpoint(EndpointInfo{
			ID: id, Service: "s", Address: "10.0.0.1:1", Zone: "z", Instance: "i" + id,
			Capacity: tmjob.Resources{CPU: 16000, Mem: 64000}, StartedAt: 5,
		}, s.now)
	}
	s.c.Loaded()
	for _, id := range s.ids {
		s.hold(id, nil)
	}
}

// run lets the pool work for a time, with jobs arriving at the load.
func (s *simulatedPool) run(d tmclock.Span) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

func (s *simulatedPool) step() {
	s.now = s.now.Add(simulatedStep)
	work := simulatedTasks * simulatedTaskCPU * simulatedTime
	expected := s.load * simulatedEndpoints * 16000 * float64(simulatedStep) / work
	for s.random.Float64() < expected {
		expected--
		s.submit(fmt.Sprintf("q%d", s.random.IntN(6)))
	}
	for _, id := range s.ids {
		s.advanceEndpoint(id)
	}
	s.c.Tick(s.now, int64(s.now))
	s.c.Plan(s.now, int64(s.now))
	s.checkWaiting()
	for flush := s.c.TakeFlush(s.now); flush != nil; flush = s.c.TakeFlush(s.now) {
		s.c.Stored(flush, s.now)
	}
	starts, _, _ := s.c.TakeOrders(s.now)
	for _, start := range starts {
		s.c.Started(start.Ref, Accepted, s.now)
		s.start(start.Ref)
	}
}

func (s *simulatedPool) submit(queue string) {
	s.jobs++
	id := fmt.Sprintf("%s-%d", queue, s.jobs)
	s.left[id], s.accepted[id] = simulatedTasks, s.now
	s.c.Submitted(tmjob.Job{ID: id, Queue: queue, Team: "t", Accepted: int64(s.now), Steps: []tmjob.Step{
		{Count: simulatedTasks, Size: tmjob.Resources{CPU: simulatedTaskCPU, Mem: 1000}, Estimate: simulatedTime},
	}})
}

func (s *simulatedPool) start(ref RunRef) {
	// The time of a task does not depend on what else was placed.
	var job uint64
	_, err := fmt.Sscanf(ref.Task.Job[3:], "%d", &job)
	assert.NilError(s.t, err)
	size := rand.New(rand.NewPCG(s.seed, 10*job+9)).NormFloat64()
	random := rand.New(rand.NewPCG(s.seed, 10*job+uint64(ref.Task.Index)))
	took := simulatedTime * math.Exp(0.2*random.NormFloat64()+s.spread*size)
	if random.Float64() < 0.03 {
		took *= 7
	}
	id := ref.Endpoint
	s.running[id] = append(s.running[id], &simulatedRun{ref: ref, queue: ref.Task.Job[:2], left: took})
}

// advanceEndpoint lets the runs of an endpoint make progress and reports those that end.
func (s *simulatedPool) advanceEndpoint(id string) {
	queues := map[string]bool{}
	for _, r := range s.running[id] {
		queues[r.queue] = true
	}
	var ended []EndedRun
	s.running[id] = slices.DeleteFunc(s.running[id], func(r *simulatedRun) bool {
		slowdown := 1.0
		if id == "e00" {
			slowdown = 2
		}
		for pair, f := range s.effects {
			if pair[0] == r.queue && queues[pair[1]] {
				slowdown *= f
			}
		}
		r.left -= float64(simulatedStep) / slowdown
		if r.left > 0 {
			return false
		}
		s.ends[id]++
		ended = append(ended, EndedRun{Number: s.ends[id], Task: r.ref.Task, Run: r.ref.Run, Reason: EndDone})
		s.finish(r)
		return true
	})
	if len(ended) > 0 || s.now%(10*tmclock.Millis(simulatedStep)) == 0 {
		s.hold(id, ended)
	}
}

func (s *simulatedPool) finish(r *simulatedRun) {
	job := r.ref.Task.Job
	s.left[job]--
	if s.left[job] == 0 {
		s.took[r.queue] = append(s.took[r.queue], float64(s.now.Sub(s.accepted[job])))
		delete(s.left, job)
		delete(s.accepted, job)
	}
}

func (s *simulatedPool) hold(id string, ended []EndedRun) {
	response := HoldResponse{Clock: int64(s.now), StartedAt: 5, Ended: ended}
	for _, r := range s.running[id] {
		response.Active = append(response.Active, ActiveRun{Task: r.ref.Task, Run: r.ref.Run, Percent: 100})
	}
	s.c.HoldAnswered(id, response, s.c.callTo(id, s.now), s.now)
}

// checkWaiting counts a pass after which a task waits although an endpoint has room for it.
func (s *simulatedPool) checkWaiting() {
	if !s.c.hasStartRoom() {
		return
	}
	p := s.c.pools(s.now)["s"]
	for _, j := range s.c.openJobs {
		for t := range j.tasks() {
			if t.waiting(s.now) && p != nil && s.c.fitsAny(t.step, p) {
				s.waited++
				return
			}
		}
	}
}

// drain lets all jobs end.
func (s *simulatedPool) drain() {
	load := s.load
	for s.load = 0; len(s.left) > 0; {
		s.step()
	}
	s.load = load
}

// forgets keeps the controller from using what it learns.
func (s *simulatedPool) forgets() { s.c.neighbours.refreshedAt = math.MaxInt64 / 2 }

// mean returns the mean time of the jobs of some queues, all if none is given.
func (s *simulatedPool) mean(queues ...string) float64 {
	sum, n := 0.0, 0.0
	for q, times := range s.took {
		if len(queues) > 0 && !slices.Contains(queues, q) {
			continue
		}
		for _, v := range times {
			sum, n = sum+v, n+1
		}
	}
	return sum / n
}

// measure runs a pool for half a minute to learn and returns the state after a minute more.
func measure(t *testing.T, seed uint64, effects map[[2]string]float64, learns bool) *simulatedPool {
	s := newSimulatedPool(t, seed, 0.5, effects)
	if !learns {
		s.forgets()
	}
	s.run(30 * tmclock.Second)
	clear(s.took)
	s.run(60 * tmclock.Second)
	assert.Equal(t, s.waited, 0, "seed %d: a task with room waits", seed)
	return s
}

// Guards against callers who wait for the sake of other workloads: the jobs that are disturbed
// end sooner with the estimator than without it, and the others no later.
func TestDisturbedJobsEndSooner(t *testing.T) {
	const minGain, maxLoss = 1.3, 1.03
	disturbed, others := []string{"q1", "q3"}, []string{"q0", "q2", "q4", "q5"}
	for seed := range uint64(2) {
		with, without := measure(t, seed, disturbances, true), measure(t, seed, disturbances, false)
		t.Logf("seed %d: disturbed %.0f ms with, %.0f without; others %.0f, %.0f; %d placements changed", seed,
			with.mean(disturbed...), without.mean(disturbed...), with.mean(others...), without.mean(others...), with.c.neighbours.changed)
		assert.Assert(t, minGain*with.mean(disturbed...) < without.mean(disturbed...))
		assert.Assert(t, with.mean(others...) < maxLoss*without.mean(others...))
		assert.Assert(t, with.c.neighbours.changed > 0 && without.c.neighbours.changed == 0)
	}
}

// Guards against placements that change where nothing disturbs.
func TestNothingChangesWithoutInterference(t *testing.T) {
	for seed := range uint64(2) {
		with, without := measure(t, seed, nil, true), measure(t, seed, nil, false)
		assert.Equal(t, with.c.neighbours.changed, int64(0))
		assert.DeepEqual(t, with.took, without.took)
	}
}

// Guards against workloads that are blamed because jobs differ in size: the tasks of a long job
// are all longer than is usual, and some run beside the same neighbours.
func TestNobodyIsBlamedForTheSizesOfJobs(t *testing.T) {
	for seed := range uint64(4) {
		s := newSimulatedPool(t, seed, 0.35, nil)
		s.spread = 0.3
		for range 60 {
			s.run(tmclock.Second)
			assert.Equal(t, len(s.c.neighbours.effects), 0, "seed %d: %v", seed, s.c.neighbours.effects)
		}
	}
}

// Guards against tasks that wait in a full pool until there is a place without interference:
// after each pass, a task that fits somewhere must have been placed.
func TestNothingWaitsInAFullPool(t *testing.T) {
	s := newSimulatedPool(t, 1, 0.5, disturbances)
	s.run(30 * tmclock.Second)
	assert.Equal(t, len(s.c.neighbours.effects), 2)
	s.load = 1.5
	before := s.c.neighbours.changed
	s.run(10 * tmclock.Second)
	assert.Equal(t, s.waited, 0)
	assert.Assert(t, s.c.neighbours.changed > before)
	assert.Assert(t, len(s.left) > 100, "the pool is not full")
}

// Guards against an owner whose dump hides why it places as it does, and against one that
// changes hands with the estimates: the next owner places as if nothing were known until it
// has learned anew, so that for a time disturbed jobs take as long as without the estimator.
// Nothing else is lost: no job, and no count of attempts.
func TestNextOwnerLearnsAnew(t *testing.T) {
	s := newSimulatedPool(t, 1, 0.5, disturbances)
	s.run(30 * tmclock.Second)
	known := s.c.Dump().Interference
	assert.Equal(t, len(known.Effects), 2)
	assert.Equal(t, known.Effects[0].Workload+" "+known.Effects[0].Beside, "q3 q2")
	assert.Assert(t, known.Changed > 0 && known.Pairs == 36 && known.Workloads == 6, "%+v", known)
	assert.Assert(t, s.events[tmevent.InterferenceFound] >= 2 && s.events[tmevent.PlacementsChanged] > 0)

	s.drain()
	s.newOwner(2)
	lost := s.c.Dump().Interference
	assert.Assert(t, lost.Workloads == 0 && lost.Pairs == 0 && len(lost.Effects) == 0 && lost.Changed == 0)
	s.run(10 * tmclock.Second)
	t.Log("after 10 s:", s.c.Dump().Interference)
	s.run(20 * tmclock.Second)
	assert.Equal(t, len(s.c.Dump().Interference.Effects), 2)
}

// Guards against runs that an earlier owner started, of which the next knows only when it saw
// them first: they would count as short.
func TestRunOfAnEarlierOwnerIsNoEvidence(t *testing.T) {
	f := newFixture(t, 1)
	f.c.Submitted(oneTask("j"))
	ref := f.advance(10)[0].Ref
	stored := storedProgress(f.c.jobs["j"])
	f.c = f.newController(2)
	f.c.SetEndpoint(f.endpointInfo(1), f.now)
	f.c.Submitted(oneTask("j"))
	f.c.Restore(stored, f.now)
	f.c.Loaded()
	f.answerHold("e1")
	f.now += 1000
	f.end("e1", ref.Task, ref.Run, EndDone)
	workloads, _ := f.c.neighbours.estimator.Size()
	assert.Equal(t, workloads, 0)
	assert.Equal(t, f.c.runTimes["q"].Count(), 1)
}

// Guards against a log that fills with lines about pairs, and against a pair that is never
// reported because others came first.
func TestReportsOfPairsAreLimited(t *testing.T) {
	f := newFixture(t, 1)
	lines := 0
	f.c.emit = func(tmevent.Event) { lines++ }
	n := &f.c.neighbours
	for i := range 40 {
		n.effects = append(n.effects, tminterference.Effect{Workload: fmt.Sprint(i), Beside: "x", Slowdown: 2})
	}
	const seconds = 60
	for i := range seconds {
		for k := range n.effects {
			n.effects[k].Slowdown = 2 + 2*float64(i%2)
		}
		f.c.reportEffects(f.now.Add(tmclock.Span(i) * tmclock.Second))
	}
	assert.Assert(t, lines <= seconds+reportBurst, "%d lines", lines)
	assert.Equal(t, len(n.reports), 40)
	n.effects, lines = nil, 0
	for i := range seconds {
		f.c.reportEffects(f.now.Add(tmclock.Span(seconds+i) * tmclock.Second))
	}
	assert.Equal(t, lines, 40)
	assert.Equal(t, len(n.reports), 0)
}

// Guards against a penalty that keeps a task from its data, or that spreads the tasks of a
// long-running step less.
func TestPenaltyIsLessThanDataAndSpread(t *testing.T) {
	f := newFixture(t, 2)
	f.c.neighbours.costs = tminterference.CostsOf([]tminterference.Effect{{Workload: "q", Beside: "noisy", Slowdown: 100}})
	f.c.neighbours.version++
	f.c.endpoints["e1"].place.Enter("noisy", f.now)
	info := f.endpointInfo(1)
	info.Labels = []string{"rack"}
	f.c.SetEndpoint(info, f.now)
	j := oneTask("near")
	j.Steps[0].DataRack = "rack"
	f.c.Submitted(j)
	f.c.Submitted(oneTask("far"))
	for _, start := range f.advance(10) {
		assert.Equal(t, start.Ref.Endpoint, map[string]string{"near": "e1", "far": "e2"}[start.Ref.Task.Job])
	}
	assert.Equal(t, f.c.neighbours.changed, int64(1))
	assert.Assert(t, maxInterferencePenalty < min(spreadPenalty, rackPreference))
}

// Guards against a task that serves users of which nothing is learned, because it does not end.
func TestTailLatencyIsEvidence(t *testing.T) {
	f := newFixture(t, 2)
	serving := oneTask("serving")
	serving.Steps[0].Count, serving.Steps[0].LongRunning, serving.Steps[0].LatencyTarget, serving.Steps[0].Image = 6, true, 100, "web"
	f.c.Submitted(serving)
	assert.Equal(t, len(f.advance(10)), 6)
	place := f.c.endpoints["e1"].place
	noisy := false
	for i := range 300 {
		if i%5 == 0 {
			if noisy {
				place.Leave("noisy", f.now)
			} else {
				place.Enter("noisy", f.now)
			}
			noisy = !noisy
		}
		f.now += 1000
		for id, runs := range f.runs {
			for k := range runs {
				runs[k].Usage = int64(40 + (i+k)%7)
				if noisy && id == "e1" {
					runs[k].Usage *= 2
				}
			}
		}
		f.answerHold("e1")
		f.answerHold("e2")
		f.c.Tick(f.now, int64(f.now))
	}
	effects := f.c.neighbours.effects
	assert.Equal(t, len(effects), 1)
	assert.Equal(t, effects[0].Workload+" beside "+effects[0].Beside, "web beside noisy")
	assert.Assert(t, effects[0].Slowdown > 1.6 && effects[0].Slowdown < 2.2, "%v", effects)
}
