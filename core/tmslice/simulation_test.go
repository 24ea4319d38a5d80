package tmslice

import (
	"fmt"
	"maps"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

const (
	testTeam           = "t"
	testFreshness      = 2 * tmclock.Second
	testLease          = 1 * tmclock.Second
	testGrace          = 10 * tmclock.Second
	testRemovalTimeout = 10 * tmclock.Second
	testMaxLimit       = 12
)

// simulation models the table, the entries, the endpoints and a network that
// delays, duplicates, reorders and loses messages. The function pick, which
// returns a number from 0 to n-1, chooses each step.
type simulation struct {
	pick             func(n int) int
	clock            *tmclock.Manual
	rows             map[string]Row
	revision         uint64
	snapshot         []Row
	snapshotRevision uint64
	states           []tmfleet.State
	entries          []*testEntry
	tasks            []*testTask
	inFlight         []*testCall
	created          int
	started          int
	committed        int
	reclaims         int
	disabled         disabledRules
	// noDraining makes setLimit discard draining units.
	noDraining bool
	violation  error
}

type testEntry struct {
	name             string
	l                *Ledger
	state            tmfleet.State
	crashed          bool
	partitioned      bool
	unreachableSince tmclock.Millis
	lastRenewal      tmclock.Millis
	renewalPaused    bool
	inbox            [][]Row
	transfer         *Transfer
	transferCall     *testCall
	awaitingAnswer   bool
}

type testTask struct {
	attempt Attempt
	owner   *testEntry
	arrived bool
	ended   bool
	// resolved is set once the owner has the answer or has given up waiting for it.
	resolved bool
}

type testCall struct {
	txn                 Transaction
	applied             bool
	revision            uint64
	requireCurrentState bool
	stateVersion        uint64
}

func newSimulation(pick func(n int) int, disabled disabledRules) *simulation {
	sim := &simulation{pick: pick, clock: tmclock.NewManual(1), rows: map[string]Row{}, disabled: disabled}
	var s tmfleet.State
	teams := tmfleet.Table[string, tmfleet.Team]{}.With(testTeam, tmfleet.NewTeam(testTeam, 1, 0, false))
	sim.states = []tmfleet.State{s.Next("", s.Config().WithTeams(teams))}
	sim.setLimit(8)
	for range 3 {
		sim.join()
	}
	return sim
}

func (sim *simulation) state() tmfleet.State { return sim.states[len(sim.states)-1] }

// table returns all rows in the order of their keys. The result is cached until
// the next write.
func (sim *simulation) table() []Row {
	if sim.snapshotRevision == sim.revision && sim.snapshot != nil {
		return sim.snapshot
	}
	sim.snapshot, sim.snapshotRevision = nil, sim.revision
	for _, key := range slices.Sorted(maps.Keys(sim.rows)) {
		sim.snapshot = append(sim.snapshot, sim.rows[key])
	}
	return sim.snapshot
}

func (sim *simulation) apply(txn Transaction) bool {
	for _, c := range txn.Checks {
		if sim.rows[c.Key].revision != c.Revision {
			return false
		}
	}
	sim.revision++
	for _, r := range txn.Writes {
		sim.rows[r.key] = r.WithRevision(sim.revision)
	}
	for _, key := range txn.Deletes {
		delete(sim.rows, key)
	}
	return true
}

func (sim *simulation) limit() int {
	team, _ := sim.state().Config().Teams().Get(testTeam)
	return team.Limit()
}

func (sim *simulation) setLimit(limit int) {
	old := sim.state()
	next := old.Next("", old.Config())
	rows, err := RewriteLimit(sim.table(), LimitChange{Team: testTeam, Old: sim.limit(), Limit: limit, Version: next.Version()})
	if err != nil {
		sim.violation = err
		return
	}
	team := tmfleet.NewTeam(testTeam, 1, limit, false).WithLimitVersion(next.Version())
	config := old.Config().WithTeams(old.Config().Teams().With(testTeam, team))
	sim.states = append(sim.states, old.Next("", config))
	sim.revision++
	if sim.noDraining {
		rows = discardDraining(rows)
	}
	for _, r := range rows {
		sim.rows[r.key] = r.WithRevision(sim.revision)
	}
}

// discardDraining adds the draining units to Free at once, although tasks may
// still use them.
func discardDraining(rows []Row) []Row {
	free := len(rows) - 1
	for i, r := range rows {
		h := r.Holding(testTeam)
		rows[free] = rows[free].addHeld(testTeam, h.Draining, 0)
		h.Draining = 0
		if i != free {
			rows[i] = r.withHolding(testTeam, h)
		}
	}
	return rows
}

func (sim *simulation) join() {
	sim.created++
	name := fmt.Sprintf("e%d", sim.created)
	e := &testEntry{name: name, l: NewLedger(sim.clock, name, nil), lastRenewal: sim.clock.Now()}
	e.l.disabled = sim.disabled
	sim.entries = append(sim.entries, e)
	members := sim.state().Members().With(name, tmfleet.NewMember(name, name, "", ""))
	sim.states = append(sim.states, sim.state().NextMembers(members))
	sim.inFlight = append(sim.inFlight, &testCall{txn: e.l.PlanCreate()})
	sim.install(e)
}

func (sim *simulation) install(e *testEntry) {
	e.state = sim.state()
	e.l.Install(e.state)
}

// isFresh reports whether the freshness rules permit the entry to act.
func (sim *simulation) isFresh(e *testEntry) bool {
	if e.crashed {
		return false
	}
	if e.partitioned && sim.clock.Now().Sub(e.unreachableSince) >= testFreshness {
		return false
	}
	return e.state.Members().Has(e.name) && !sim.isOutdated(e)
}

// isOutdated reports whether a higher version than that of the entry is in
// force.
func (sim *simulation) isOutdated(e *testEntry) bool {
	return e.state.Version() < sim.inForce().Version()
}

// inForce returns the newest State that every member has installed or can no
// longer act against.
func (sim *simulation) inForce() tmfleet.State {
	lowest := sim.state()
	for _, e := range sim.entries {
		unreachable := e.crashed || e.partitioned && sim.clock.Now().Sub(e.unreachableSince) >= testFreshness
		if !unreachable && e.state.Version() < lowest.Version() {
			lowest = e.state
		}
	}
	return lowest
}

func (sim *simulation) maxAllowedTasks() int {
	highest := 0
	from := sim.inForce().Version()
	for _, s := range sim.states {
		team, _ := s.Config().Teams().Get(testTeam)
		if s.Version() >= from {
			highest = max(highest, team.Limit())
		}
	}
	return highest
}

// activeTasks returns the number of tasks that run or may still start.
func (sim *simulation) activeTasks() int {
	n := 0
	for _, t := range sim.tasks {
		if !t.ended {
			n++
		}
	}
	return n
}

// advance moves the clock, renews leases, and ends tasks whose start arrives too
// late or whose grace period after the last renewal is over.
func (sim *simulation) advance(d tmclock.Span) {
	sim.clock.Advance(d)
	now := sim.clock.Now()
	for _, e := range sim.entries {
		if sim.isFresh(e) && !e.renewalPaused {
			e.lastRenewal = now
			e.l.RenewalSent(e.name)
		}
	}
	for _, t := range sim.tasks {
		late := !t.arrived && now.Sub(t.attempt.Sent) > testLease
		if late || now.Sub(t.owner.lastRenewal) >= testGrace {
			t.ended = true
		}
	}
}

func (sim *simulation) start(e *testEntry) {
	if !sim.isFresh(e) || e.renewalPaused || !e.l.Acquire(testTeam) {
		return
	}
	sim.started++
	id := fmt.Sprintf("a%d", sim.started)
	a := Attempt{ID: id, Team: testTeam, Endpoint: e.name, Sent: sim.clock.Now()}
	sim.tasks = append(sim.tasks, &testTask{attempt: a, owner: e, arrived: sim.pick(3) > 0})
	if n := sim.activeTasks(); n > sim.maxAllowedTasks() {
		sim.violation = fmt.Errorf("%d tasks of the team, limit is %d at version %d", n, sim.maxAllowedTasks(), sim.state().Version())
	}
}

// finish ends a task whose answer reaches its owner.
func (sim *simulation) finish(t *testTask) {
	if t.resolved || t.owner.crashed || !t.arrived && !t.ended {
		return
	}
	t.ended, t.resolved = true, true
	t.owner.l.Release(testTeam)
}

// loseAnswer loses the answer of a task that may still run.
func (sim *simulation) loseAnswer(t *testTask) {
	if t.resolved || t.owner.crashed {
		return
	}
	t.resolved = true
	t.owner.l.Quarantine(t.attempt)
}

// stopQuarantined asks the endpoint to stop a quarantined attempt.
func (sim *simulation) stopQuarantined(e *testEntry) {
	quarantined := e.l.Quarantined()
	if e.crashed || e.partitioned || len(quarantined) == 0 {
		return
	}
	a := quarantined[sim.pick(len(quarantined))]
	for _, t := range sim.tasks {
		if t.attempt.ID == a.ID && t.arrived {
			t.ended = true
		}
	}
	e.l.StopConfirmed(a.ID, sim.clock.Now())
}

// pruneEnded deletes tasks that have ended and versions that no entry can use
// any longer.
func (sim *simulation) pruneEnded() {
	lowest := sim.inForce().Version()
	for sim.states[0].Version() < lowest {
		sim.states = sim.states[1:]
	}
	kept := sim.tasks[:0]
	for _, t := range sim.tasks {
		if !t.ended || !t.resolved && !t.owner.crashed {
			kept = append(kept, t)
		}
	}
	sim.tasks = kept
}
