package tmslice

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// step does one thing. Frequent things have several numbers.
func (w *world) step() {
	e := w.entries[w.pick(len(w.entries))]
	switch w.pick(33) {
	case 0, 1, 2:
		w.advance(tmclock.Span(50 + 50*w.pick(20)))
	case 3:
		w.advance(tmclock.Span(1000 * (1 + w.pick(6))))
	case 4, 5, 6:
		w.startMany(e)
	case 7, 8:
		w.sync(e)
	case 9, 10:
		w.read(e)
	case 11, 12, 13:
		w.deliverRows(e)
	case 14, 15:
		w.planTransfer(e)
	case 16, 17, 18:
		w.deliverCall()
	case 19:
		w.deliverAnswer(e)
	case 20:
		w.timeout(e)
	case 21:
		if w.pick(6) == 0 {
			w.setLimit(w.pick(testMaxLimit + 1))
		}
	case 22, 23:
		w.learn(e)
	case 24:
		if w.pick(3) == 0 {
			w.membership(e)
		}
	case 25:
		w.reclaim(e)
	case 26, 27, 28:
		w.taskStep()
	case 29:
		w.doubtStep(e)
	case 30, 31, 32:
		w.round()
	}
	w.forgetEnded()
}

// startMany starts tasks until it is refused, mostly.
func (w *world) startMany(e *testEntry) {
	for range 1 + w.pick(2)*testMaxLimit {
		w.start(e)
	}
}

// sync brings the State and all rows at once, as most reads do.
func (w *world) sync(e *testEntry) {
	if e.dead || e.cut {
		return
	}
	w.install(e)
	e.l.Install(e.state, w.table()...)
}

// round is one rebalancing without faults: all that can be reached read, plan
// and write. It also replaces entries that are gone.
func (w *world) round() {
	for _, e := range w.entries {
		w.sync(e)
		w.planTransfer(e)
		w.deliverCall()
		w.deliverAnswer(e)
		w.remove(e)
		w.reclaim(e)
		w.deliverCall()
	}
	for _, e := range w.entries {
		w.startMany(e)
	}
	w.entries = slices.DeleteFunc(w.entries, func(e *testEntry) bool {
		return e.dead && w.rows[e.name].revision == 0
	})
	if len(w.entries) < 3 {
		w.join()
	}
}

func (w *world) taskStep() {
	if len(w.tasks) == 0 {
		return
	}
	t := w.tasks[w.pick(len(w.tasks))]
	switch w.pick(6) {
	case 0:
		w.doubt(t)
	case 1:
		t.arrived = t.arrived || w.clock.Now().Sub(t.attempt.Sent) <= testLease
	default:
		w.finish(t)
	}
}

func (w *world) doubtStep(e *testEntry) {
	switch w.pick(3) {
	case 0:
		e.quiet = !e.quiet
	case 1:
		e.l.ReleaseExpired()
	default:
		w.stop(e)
	}
}

// read takes a copy of the rows, which arrives later, if ever.
func (w *world) read(e *testEntry) {
	if !e.dead && !e.cut {
		e.inbox = append(e.inbox, w.table())
	}
}

// deliverRows brings one of the copies in any order, and some of them twice.
func (w *world) deliverRows(e *testEntry) {
	if e.dead || e.cut || len(e.inbox) == 0 {
		return
	}
	i := w.pick(len(e.inbox))
	e.l.Install(e.state, e.inbox[i]...)
	if w.pick(2) == 0 {
		e.inbox = slices.Delete(e.inbox, i, i+1)
	}
}

func (w *world) learn(e *testEntry) {
	if !e.dead && !e.cut {
		w.install(e)
	}
}

func (w *world) planTransfer(e *testEntry) {
	if e.dead || e.cut {
		return
	}
	if txn, ok := e.l.Fence(); ok {
		w.wire = append(w.wire, &testCall{txn: txn})
		return
	}
	rows := w.table()
	if len(e.inbox) > 0 && w.pick(3) == 0 {
		rows = e.inbox[w.pick(len(e.inbox))]
	}
	demands := map[string]Demand{}
	for _, o := range w.entries {
		demands[o.name] = Demand{testTeam: w.pick(3) * 10}
	}
	t, ok := e.l.PlanTransfers(demands, rows)
	if !ok {
		return
	}
	call := &testCall{txn: t.Transaction()}
	w.wire = append(w.wire, call)
	e.plan, e.planCall, e.awaited = t, call, true
	if w.pick(4) == 0 {
		w.timeout(e)
	}
}

// deliverCall writes a transaction that is under way. Some are doubled: they
// stay under way and arrive again.
func (w *world) deliverCall() {
	if len(w.wire) == 0 {
		return
	}
	i := len(w.wire) - 1
	if w.pick(3) == 0 {
		i = w.pick(len(w.wire))
	}
	c := w.wire[i]
	current := !c.stateNow || c.version == w.state().Version()
	ok := current && w.apply(c.txn)
	if !c.applied {
		c.applied = true
		if ok {
			c.revision = w.revision
			w.moved++
			w.reclaims += len(c.txn.Deletes)
		}
	}
	if w.pick(8) > 0 {
		w.wire = slices.Delete(w.wire, i, i+1)
	}
}

func (w *world) deliverAnswer(e *testEntry) {
	if e.dead || e.cut || !e.awaited || !e.planCall.applied {
		return
	}
	e.awaited = false
	if e.planCall.revision > 0 {
		e.l.TransferCommitted(e.plan, e.planCall.revision)
		return
	}
	e.l.TransferFailed(e.plan)
}

func (w *world) timeout(e *testEntry) {
	if e.dead || !e.awaited {
		return
	}
	e.awaited = false
	e.l.TransferUncertain(e.plan)
}

// membership crashes, cuts off, heals or removes an entry, or adds one.
func (w *world) membership(e *testEntry) {
	now := w.clock.Now()
	switch w.pick(4) {
	case 0:
		if !e.dead && !e.cut {
			e.dead = w.pick(4) == 0
			e.cut = !e.dead
			e.since = now
		}
	case 1:
		w.heal(e)
	case 2:
		w.remove(e)
	default:
		if len(w.entries) < 6 {
			w.join()
		}
	}
}

// remove takes an entry out of the members after its silence. It does not touch
// the row.
func (w *world) remove(e *testEntry) {
	silent := (e.dead || e.cut) && w.clock.Now().Sub(e.since) >= testSilence
	if silent && w.inForce().Version() == w.state().Version() && w.state().Members().Has(e.name) {
		w.states = append(w.states, w.state().NextMembers(w.state().Members().Without(e.name)))
	}
}

// heal ends a cut. The entry is not fresh before it has the newest State.
func (w *world) heal(e *testEntry) {
	if e.cut {
		e.cut = false
		w.install(e)
	}
}

func (w *world) reclaim(e *testEntry) {
	if !w.fresh(e) || e.cut {
		return
	}
	var inForce tmfleet.State
	for _, s := range w.states {
		if s.Version() <= w.inForce().Version() {
			inForce = s
		}
	}
	txn, ok := e.l.PlanReclaim(inForce, w.table())
	if !ok {
		return
	}
	w.wire = append(w.wire, &testCall{txn: txn, stateNow: true, version: e.state.Version()})
}
