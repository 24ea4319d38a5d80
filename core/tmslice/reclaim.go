package tmslice

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// reclaimAfter is the time between the removal of a member being in force and
// the reuse of its slice. Until then its tasks have ended: it stops renewing
// leases when its freshness ends, and endpoints stop its tasks 10 s later.
const reclaimAfter = 15 * tmclock.Second

// PlanReclaim returns a transaction that adds the row of a removed member to
// Free, if one is due. InForce is a State that is in force; the method has to
// be called regularly with all rows, because the 15 s count from the first
// call that finds the member gone. The entry has to be fresh, and the
// transaction has to check in addition that the State in the table is still
// the one of this entry, because the owner of the row may have just joined.
func (l *Ledger) PlanReclaim(inForce tmfleet.State, rows []Row) (Transaction, bool) {
	l.forgetAbsent(inForce, rows)
	free, ok := findRow(rows, Free)
	if !ok {
		return Transaction{}, false
	}
	due := -1
	for i, r := range rows {
		if r.key == Free || isMember(inForce, r.key) || isMember(l.state, r.key) {
			continue
		}
		if l.absentFor(r.key) && due < 0 {
			due = i
		}
	}
	if due < 0 {
		return Transaction{}, false
	}
	return reclaim(rows[due], free), true
}

// PlanReturn returns the transaction by which this entry gives all its units
// back on a graceful shutdown, when no task uses them. The entry counts on none
// of them from now on, whatever becomes of the transaction. After a lost race
// it is planned again from new rows.
func (l *Ledger) PlanReturn(rows []Row) (Transaction, bool) {
	free, hasFree := findRow(rows, Free)
	own, hasOwn := findRow(rows, l.own.key)
	if !hasFree || !hasOwn || len(l.inUse) > 0 || l.out != nil {
		return Transaction{}, false
	}
	l.own = NewRow(own.key, own.revision, Row{}.teams)
	return reclaim(own, free), true
}

// forgetAbsent drops the times of members that are present after all, and of
// those whose row is gone.
func (l *Ledger) forgetAbsent(inForce tmfleet.State, rows []Row) {
	for key := range l.absent {
		_, hasRow := findRow(rows, key)
		if !hasRow || isMember(inForce, key) || isMember(l.state, key) {
			delete(l.absent, key)
		}
	}
}

func (l *Ledger) absentFor(key string) bool {
	now := l.clock.Now()
	since, ok := l.absent[key]
	if !ok {
		since = now
		l.absent[key] = now
	}
	return now.Sub(since) >= reclaimAfter || l.rules.reclaimAtOnce
}

func reclaim(r, free Row) Transaction {
	for team, h := range r.teams.All() {
		free = free.add(team, h.Held+h.Draining, h.LimitVersion)
	}
	var txn Transaction
	txn.write(free)
	txn.remove(r)
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
