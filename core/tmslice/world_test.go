package tmslice

import (
	"fmt"
	"maps"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

const (
	testTeam     = "t"
	testFresh    = 2 * tmclock.Second
	testLease    = 1 * tmclock.Second
	testGrace    = 10 * tmclock.Second
	testSilence  = 10 * tmclock.Second
	testMaxLimit = 12
)

// world is an abstract table with entries, endpoints and a network that delays,
// doubles, reorders and loses messages. Each step is chosen by pick.
type world struct {
	pick     func(n int) int
	clock    *tmclock.Manual
	rows     map[string]Row
	revision uint64
	copy     []Row
	copied   uint64
	states   []tmfleet.State
	entries  []*testEntry
	tasks    []*testTask
	wire     []*testCall
	made     int
	started  int
	moved    int
	reclaims int
	rules    rules
	// noDraining rewrites limits without draining units.
	noDraining bool
	violation  error
}

type testEntry struct {
	name     string
	l        *Ledger
	state    tmfleet.State
	dead     bool
	cut      bool
	since    tmclock.Millis
	renewed  tmclock.Millis
	quiet    bool
	inbox    [][]Row
	plan     *Transfer
	planCall *testCall
	awaited  bool
}

type testTask struct {
	attempt Attempt
	owner   *testEntry
	arrived bool
	ended   bool
	told    bool
}

type testCall struct {
	txn      Transaction
	applied  bool
	revision uint64
	stateNow bool
	version  uint64
}

func newWorld(pick func(n int) int, r rules) *world {
	w := &world{pick: pick, clock: tmclock.NewManual(1), rows: map[string]Row{}, rules: r}
	var s tmfleet.State
	teams := tmfleet.Table[string, tmfleet.Team]{}.With(testTeam, tmfleet.NewTeam(testTeam, 1, 0, false))
	w.states = []tmfleet.State{s.Next("", s.Config().WithTeams(teams))}
	w.setLimit(8)
	for range 3 {
		w.join()
	}
	return w
}

func (w *world) state() tmfleet.State { return w.states[len(w.states)-1] }

// table returns all rows in the order of their keys. The result is kept until
// the next write.
func (w *world) table() []Row {
	if w.copied == w.revision && w.copy != nil {
		return w.copy
	}
	w.copy, w.copied = nil, w.revision
	for _, key := range slices.Sorted(maps.Keys(w.rows)) {
		w.copy = append(w.copy, w.rows[key])
	}
	return w.copy
}

func (w *world) apply(txn Transaction) bool {
	for _, c := range txn.Checks {
		if w.rows[c.Key].revision != c.Revision {
			return false
		}
	}
	w.revision++
	for _, r := range txn.Writes {
		w.rows[r.key] = r.WithRevision(w.revision)
	}
	for _, key := range txn.Deletes {
		delete(w.rows, key)
	}
	return true
}

func (w *world) limit() int {
	team, _ := w.state().Config().Teams().Get(testTeam)
	return team.Limit()
}

func (w *world) setLimit(limit int) {
	old := w.state()
	next := old.Next("", old.Config())
	rows, err := RewriteLimit(w.table(), LimitChange{Team: testTeam, Old: w.limit(), Limit: limit, Version: next.Version()})
	if err != nil {
		w.violation = err
		return
	}
	team := tmfleet.NewTeam(testTeam, 1, limit, false).WithLimitVersion(next.Version())
	config := old.Config().WithTeams(old.Config().Teams().With(testTeam, team))
	w.states = append(w.states, old.Next("", config))
	w.revision++
	if w.noDraining {
		rows = dropDraining(rows)
	}
	for _, r := range rows {
		w.rows[r.key] = r.WithRevision(w.revision)
	}
}

// dropDraining forgets the draining units, so that Free gets what a lower limit
// takes away at once.
func dropDraining(rows []Row) []Row {
	free := len(rows) - 1
	for i, r := range rows {
		h := r.Holding(testTeam)
		rows[free] = rows[free].add(testTeam, h.Draining, 0)
		h.Draining = 0
		if i != free {
			rows[i] = r.with(testTeam, h)
		}
	}
	return rows
}

func (w *world) join() {
	w.made++
	name := fmt.Sprintf("e%d", w.made)
	e := &testEntry{name: name, l: NewLedger(w.clock, name, nil), renewed: w.clock.Now()}
	e.l.rules = w.rules
	w.entries = append(w.entries, e)
	members := w.state().Members().With(name, tmfleet.NewMember(name, name, "", ""))
	w.states = append(w.states, w.state().NextMembers(members))
	w.wire = append(w.wire, &testCall{txn: e.l.PlanCreate()})
	w.install(e)
}

func (w *world) install(e *testEntry) {
	e.state = w.state()
	e.l.Install(e.state)
}

// fresh tells whether the freshness rules let the entry act.
func (w *world) fresh(e *testEntry) bool {
	if e.dead {
		return false
	}
	if e.cut && w.clock.Now().Sub(e.since) >= testFresh {
		return false
	}
	return e.state.Members().Has(e.name) && !w.outdated(e)
}

// outdated tells whether a version above that of the entry is in force.
func (w *world) outdated(e *testEntry) bool { return e.state.Version() < w.inForce().Version() }

// inForce returns the newest State that every member has installed or can no
// longer act against.
func (w *world) inForce() tmfleet.State {
	low := w.state()
	for _, e := range w.entries {
		gone := e.dead || e.cut && w.clock.Now().Sub(e.since) >= testFresh
		if !gone && e.state.Version() < low.Version() {
			low = e.state
		}
	}
	return low
}

func (w *world) allowed() int {
	most := 0
	from := w.inForce().Version()
	for _, s := range w.states {
		team, _ := s.Config().Teams().Get(testTeam)
		if s.Version() >= from {
			most = max(most, team.Limit())
		}
	}
	return most
}

// alive counts the tasks that run or may still begin to run.
func (w *world) alive() int {
	n := 0
	for _, t := range w.tasks {
		if !t.ended {
			n++
		}
	}
	return n
}

// advance moves the clock and lets endpoints do what is due.
func (w *world) advance(d tmclock.Span) {
	w.clock.Advance(d)
	now := w.clock.Now()
	for _, e := range w.entries {
		if w.fresh(e) && !e.quiet {
			e.renewed = now
			e.l.RenewalSent(e.name)
		}
	}
	for _, t := range w.tasks {
		late := !t.arrived && now.Sub(t.attempt.Sent) > testLease
		if late || now.Sub(t.owner.renewed) >= testGrace {
			t.ended = true
		}
	}
}

func (w *world) start(e *testEntry) {
	if !w.fresh(e) || e.quiet || !e.l.Acquire(testTeam) {
		return
	}
	w.started++
	id := fmt.Sprintf("a%d", w.started)
	a := Attempt{ID: id, Team: testTeam, Endpoint: e.name, Sent: w.clock.Now()}
	w.tasks = append(w.tasks, &testTask{attempt: a, owner: e, arrived: w.pick(3) > 0})
	if n := w.alive(); n > w.allowed() {
		w.violation = fmt.Errorf("%d tasks of the team, limit is %d at version %d", n, w.allowed(), w.state().Version())
	}
}

// finish ends a task with an answer that arrives.
func (w *world) finish(t *testTask) {
	if t.told || t.owner.dead || !t.arrived && !t.ended {
		return
	}
	t.ended, t.told = true, true
	t.owner.l.Release(testTeam)
}

// doubt loses the answer of a task, which may go on running.
func (w *world) doubt(t *testTask) {
	if t.told || t.owner.dead {
		return
	}
	t.told = true
	t.owner.l.Quarantine(t.attempt)
}

// stop asks the endpoint to stop an attempt in doubt.
func (w *world) stop(e *testEntry) {
	doubts := e.l.Doubts()
	if e.dead || e.cut || len(doubts) == 0 {
		return
	}
	a := doubts[w.pick(len(doubts))]
	for _, t := range w.tasks {
		if t.attempt.ID == a.ID && t.arrived {
			t.ended = true
		}
	}
	e.l.StopConfirmed(a.ID, w.clock.Now())
}

// forgetEnded drops tasks that are over and versions that are no longer in
// force anywhere.
func (w *world) forgetEnded() {
	low := w.inForce().Version()
	for w.states[0].Version() < low {
		w.states = w.states[1:]
	}
	kept := w.tasks[:0]
	for _, t := range w.tasks {
		if !t.ended || !t.told && !t.owner.dead {
			kept = append(kept, t)
		}
	}
	w.tasks = kept
}
