package tmslice

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// step performs one random action. Frequent actions have several numbers.
func (sim *simulation) step() {
	e := sim.entries[sim.pick(len(sim.entries))]
	switch sim.pick(33) {
	case 0, 1, 2:
		sim.advance(tmclock.Span(50 + 50*sim.pick(20)))
	case 3:
		sim.advance(tmclock.Span(1000 * (1 + sim.pick(6))))
	case 4, 5, 6:
		sim.startMany(e)
	case 7, 8:
		sim.sync(e)
	case 9, 10:
		sim.read(e)
	case 11, 12, 13:
		sim.deliverRows(e)
	case 14, 15:
		sim.planTransfer(e)
	case 16, 17, 18:
		sim.deliverCall()
	case 19:
		sim.deliverAnswer(e)
	case 20:
		sim.timeout(e)
	case 21:
		if sim.pick(6) == 0 {
			sim.setLimit(sim.pick(testMaxLimit + 1))
		}
	case 22, 23:
		sim.installState(e)
	case 24:
		if sim.pick(3) == 0 {
			sim.changeMembership(e)
		}
	case 25:
		sim.reclaim(e)
	case 26, 27, 28:
		sim.taskStep()
	case 29:
		sim.quarantineStep(e)
	case 30, 31, 32:
		sim.rebalanceRound()
	}
	sim.pruneEnded()
}

// startMany tries to start one task, or one more than the largest limit.
func (sim *simulation) startMany(e *testEntry) {
	for range 1 + sim.pick(2)*testMaxLimit {
		sim.start(e)
	}
}

// sync installs the current State and all current rows at once, as most reads
// do.
func (sim *simulation) sync(e *testEntry) {
	if e.crashed || e.partitioned {
		return
	}
	sim.install(e)
	e.l.Install(e.state, sim.table()...)
}

// rebalanceRound runs one rebalancing round without faults: all reachable
// entries read, plan and write. It also replaces crashed entries.
func (sim *simulation) rebalanceRound() {
	for _, e := range sim.entries {
		sim.sync(e)
		sim.planTransfer(e)
		sim.deliverCall()
		sim.deliverAnswer(e)
		sim.removeMember(e)
		sim.reclaim(e)
		sim.deliverCall()
	}
	for _, e := range sim.entries {
		sim.startMany(e)
	}
	sim.entries = slices.DeleteFunc(sim.entries, func(e *testEntry) bool {
		return e.crashed && sim.rows[e.name].revision == 0
	})
	if len(sim.entries) < 3 {
		sim.join()
	}
}

func (sim *simulation) taskStep() {
	if len(sim.tasks) == 0 {
		return
	}
	t := sim.tasks[sim.pick(len(sim.tasks))]
	switch sim.pick(6) {
	case 0:
		sim.loseAnswer(t)
	case 1:
		t.arrived = t.arrived || sim.clock.Now().Sub(t.attempt.Sent) <= testLease
	default:
		sim.finish(t)
	}
}

func (sim *simulation) quarantineStep(e *testEntry) {
	switch sim.pick(3) {
	case 0:
		e.renewalPaused = !e.renewalPaused
	case 1:
		e.l.ReleaseExpired()
	default:
		sim.stopQuarantined(e)
	}
}

// read sends a snapshot of the rows to the entry, which arrives later or never.
func (sim *simulation) read(e *testEntry) {
	if !e.crashed && !e.partitioned {
		e.inbox = append(e.inbox, sim.table())
	}
}

// deliverRows delivers the snapshots in any order, some of them more than once.
func (sim *simulation) deliverRows(e *testEntry) {
	if e.crashed || e.partitioned || len(e.inbox) == 0 {
		return
	}
	i := sim.pick(len(e.inbox))
	e.l.Install(e.state, e.inbox[i]...)
	if sim.pick(2) == 0 {
		e.inbox = slices.Delete(e.inbox, i, i+1)
	}
}

func (sim *simulation) installState(e *testEntry) {
	if !e.crashed && !e.partitioned {
		sim.install(e)
	}
}

func (sim *simulation) planTransfer(e *testEntry) {
	if e.crashed || e.partitioned {
		return
	}
	if txn, ok := e.l.Fence(); ok {
		sim.inFlight = append(sim.inFlight, &testCall{txn: txn})
		return
	}
	rows := sim.table()
	if len(e.inbox) > 0 && sim.pick(3) == 0 {
		rows = e.inbox[sim.pick(len(e.inbox))]
	}
	demands := map[string]Demand{}
	for _, o := range sim.entries {
		demands[o.name] = Demand{testTeam: sim.pick(3) * 10}
	}
	t, ok := e.l.PlanTransfers(demands, rows)
	if !ok {
		return
	}
	call := &testCall{txn: t.Transaction()}
	sim.inFlight = append(sim.inFlight, call)
	e.transfer, e.transferCall, e.awaitingAnswer = t, call, true
	if sim.pick(4) == 0 {
		sim.timeout(e)
	}
}

// deliverCall applies a transaction that is in flight. Some are duplicated: they
// stay in flight and arrive again.
func (sim *simulation) deliverCall() {
	if len(sim.inFlight) == 0 {
		return
	}
	i := len(sim.inFlight) - 1
	if sim.pick(3) == 0 {
		i = sim.pick(len(sim.inFlight))
	}
	c := sim.inFlight[i]
	stateIsCurrent := !c.requireCurrentState || c.stateVersion == sim.state().Version()
	ok := stateIsCurrent && sim.apply(c.txn)
	if !c.applied {
		c.applied = true
		if ok {
			c.revision = sim.revision
			sim.committed++
			sim.reclaims += len(c.txn.Deletes)
		}
	}
	if sim.pick(8) > 0 {
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	}
}

func (sim *simulation) deliverAnswer(e *testEntry) {
	if e.crashed || e.partitioned || !e.awaitingAnswer || !e.transferCall.applied {
		return
	}
	e.awaitingAnswer = false
	if e.transferCall.revision > 0 {
		e.l.TransferCommitted(e.transfer, e.transferCall.revision)
		return
	}
	e.l.TransferFailed(e.transfer)
}

func (sim *simulation) timeout(e *testEntry) {
	if e.crashed || !e.awaitingAnswer {
		return
	}
	e.awaitingAnswer = false
	e.l.TransferUncertain(e.transfer)
}

// changeMembership crashes, partitions, reconnects, removes or adds an entry.
func (sim *simulation) changeMembership(e *testEntry) {
	now := sim.clock.Now()
	switch sim.pick(4) {
	case 0:
		if !e.crashed && !e.partitioned {
			e.crashed = sim.pick(4) == 0
			e.partitioned = !e.crashed
			e.unreachableSince = now
		}
	case 1:
		sim.heal(e)
	case 2:
		sim.removeMember(e)
	default:
		if len(sim.entries) < 6 {
			sim.join()
		}
	}
}

// removeMember removes an unreachable entry from the members after the removal
// timeout. It doesn't change the row.
func (sim *simulation) removeMember(e *testEntry) {
	timedOut := (e.crashed || e.partitioned) && sim.clock.Now().Sub(e.unreachableSince) >= testRemovalTimeout
	if timedOut && sim.inForce().Version() == sim.state().Version() && sim.state().Members().Has(e.name) {
		sim.states = append(sim.states, sim.state().NextMembers(sim.state().Members().Without(e.name)))
	}
}

// heal ends a network partition. The entry isn't fresh until it has the newest
// State.
func (sim *simulation) heal(e *testEntry) {
	if e.partitioned {
		e.partitioned = false
		sim.install(e)
	}
}

func (sim *simulation) reclaim(e *testEntry) {
	if !sim.isFresh(e) || e.partitioned {
		return
	}
	var inForce tmfleet.State
	for _, s := range sim.states {
		if s.Version() <= sim.inForce().Version() {
			inForce = s
		}
	}
	txn, ok := e.l.PlanReclaim(inForce, sim.table())
	if !ok {
		return
	}
	sim.inFlight = append(sim.inFlight, &testCall{txn: txn, requireCurrentState: true, stateVersion: e.state.Version()})
}
