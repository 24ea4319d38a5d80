package tmslice

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// reclaimDelay is the time from when the removal of a member is in force, that
// is, no fresh entry uses an older State, until its units are reclaimed. By then
// the tasks of the member have ended: it stops renewing leases when its freshness
// expires, and endpoints stop its tasks 10 s later. Package tmfresh explains the
// terms.
const reclaimDelay = 15 * tmclock.Second

// PlanReclaim returns a transaction that moves the units of a removed member to
// Free, if any member has been missing for reclaimDelay. The argument inForce is a
// State that is in force. The method has to be called regularly with all rows,
// because the 15 s count from the first call that finds the member missing.
// This entry has to be fresh. The caller has to add a check to the transaction that
// the State in the table is still the one that this entry uses, because the owner
// of the row may have just joined.
func (l *Ledger) PlanReclaim(inForce tmfleet.State, rows []Row) (Transaction, bool) {
	l.pruneAbsent(inForce, rows)
	free, ok := findRow(rows, Free)
	if !ok {
		return Transaction{}, false
	}
	due := -1
	for i, r := range rows {
		if r.key == Free || isMember(inForce, r.key) || isMember(l.state, r.key) {
			continue
		}
		if l.reclaimDue(r.key) && due < 0 {
			due = i
		}
	}
	if due < 0 {
		return Transaction{}, false
	}
	return reclaimRow(rows[due], free), true
}

// PlanReturn returns the transaction that moves all units of this entry to Free
// on a graceful shutdown. It returns false while a task uses any of them. Once it
// has returned a transaction, the entry uses none of the units, whether or not
// the transaction is committed. After a conflict the caller reads the rows again
// and repeats the call.
func (l *Ledger) PlanReturn(rows []Row) (Transaction, bool) {
	free, hasFree := findRow(rows, Free)
	own, hasOwn := findRow(rows, l.own.key)
	if !hasFree || !hasOwn || len(l.inUse) > 0 || l.pending != nil {
		return Transaction{}, false
	}
	l.own = NewRow(own.key, own.revision, Row{}.teams)
	return reclaimRow(own, free), true
}

// pruneAbsent deletes the times of members that are present again and of those
// whose row no longer exists.
func (l *Ledger) pruneAbsent(inForce tmfleet.State, rows []Row) {
	for key := range l.absentSince {
		_, hasRow := findRow(rows, key)
		if !hasRow || isMember(inForce, key) || isMember(l.state, key) {
			delete(l.absentSince, key)
		}
	}
}

func (l *Ledger) reclaimDue(key string) bool {
	now := l.clock.Now()
	since, ok := l.absentSince[key]
	if !ok {
		since = now
		l.absentSince[key] = now
	}
	return now.Sub(since) >= reclaimDelay || l.disabled.reclaimImmediately
}

func reclaimRow(r, free Row) Transaction {
	for team, h := range r.teams.All() {
		free = free.addHeld(team, h.Held+h.Draining, h.LimitVersion)
	}
	var txn Transaction
	txn.addWrite(free)
	txn.addDelete(r)
	return txn
}

func isMember(s tmfleet.State, key string) bool { return s.Members().Has(key) }

func findRow(rows []Row, key string) (Row, bool) {
	for _, r := range rows {
		if r.key == key {
			return r, true
		}
	}
	return Row{}, false
}
