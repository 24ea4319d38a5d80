package tmslice

import (
	"cmp"
	"maps"
	"slices"

	"turmericmoor/core/tmshare"
)

// Transfer is one transaction on this entry's row: it returns draining units,
// takes units from Free and gives surplus units to other entries. The entry
// stops using the given units as soon as the Transfer is planned.
type Transfer struct {
	txn       Transaction
	given     map[string]int
	taken     map[string]int
	uncertain bool
}

// Transaction returns the transaction to execute.
func (t *Transfer) Transaction() Transaction { return t.txn }

// Demand is the number of queued and running tasks of one entry by team.
type Demand map[string]int

// PlanTransfers compares the demand of all entries, by incarnation and
// including this one, with the given rows of all entries and Free, and returns
// the transfer that this entry has to make, if any. At most one transfer is
// pending at a time; no other is planned until its result is known.
func (l *Ledger) PlanTransfers(demands map[string]Demand, rows []Row) (*Transfer, bool) {
	if l.pending != nil || l.own.revision == 0 {
		return nil, false
	}
	p := l.newTransferPlan(demands, rows)
	for name, team := range l.state.Config().Teams().All() {
		if l.Stale(name) {
			continue
		}
		p.returnDraining(name)
		p.rebalanceTeam(name, team.Limit())
	}
	p.returnDrainingOfRemovedTeams()
	if len(p.edits) == 0 {
		return nil, false
	}
	l.pending = p.transfer()
	return l.pending, true
}

// TransferCommitted records that the transaction was committed at the given
// revision. It ignores a transfer that is no longer pending.
func (l *Ledger) TransferCommitted(t *Transfer, revision uint64) {
	if l.pending != t || t == nil {
		return
	}
	l.pending = nil
	written := make([]Row, 0, len(t.txn.Writes))
	for _, r := range t.txn.Writes {
		written = append(written, r.WithRevision(revision))
	}
	l.Install(l.state, written...)
}

// TransferFailed records that the transaction was not committed and never will
// be, because a check has failed.
func (l *Ledger) TransferFailed(t *Transfer) {
	if l.pending == t {
		l.pending = nil
	}
}

// TransferUncertain records that the answer to the transaction was lost. The
// given units stay unusable until the own row is installed at a newer revision
// than the one that the transaction checks. Reading the same revision again
// doesn't show that the transaction has failed, because it may still be in flight.
func (l *Ledger) TransferUncertain(t *Transfer) {
	if l.pending != t || t == nil {
		return
	}
	t.uncertain = true
	if l.own.revision > l.checkedRevision(t) {
		l.pending = nil
	}
}

// Fence returns the transaction that ends an uncertain transfer: it writes the
// own row unchanged. Whether it commits or conflicts, the row then has another
// revision, which the caller has to read and install.
func (l *Ledger) Fence() (Transaction, bool) {
	if l.pending == nil || !l.pending.uncertain {
		return Transaction{}, false
	}
	var txn Transaction
	txn.addWrite(l.own)
	return txn, true
}

// PlanCreate returns the transaction that creates the empty row of this entry,
// after it has joined.
func (l *Ledger) PlanCreate() Transaction {
	var txn Transaction
	txn.addWrite(NewRow(l.own.key, 0, Row{}.teams))
	return txn
}

func (l *Ledger) checkedRevision(t *Transfer) uint64 {
	for _, c := range t.txn.Checks {
		if c.Key == l.own.key {
			return c.Revision
		}
	}
	return 0
}

// transferPlan collects the changes of one transfer.
type transferPlan struct {
	l       *Ledger
	keys    []string
	rows    map[string]Row
	demands map[string]Demand
	given   map[string]int
	taken   map[string]int
	// edits are the changed holdings by row and team. They are applied to the
	// rows once at the end: copying a row for each change would be quadratic in
	// the number of teams.
	edits map[string]map[string]Holding
}

func (l *Ledger) newTransferPlan(demands map[string]Demand, rows []Row) *transferPlan {
	p := &transferPlan{
		l:       l,
		rows:    map[string]Row{l.own.key: l.own, Free: l.free},
		demands: demands,
		given:   map[string]int{},
		taken:   map[string]int{},
		edits:   map[string]map[string]Holding{},
	}
	for _, r := range rows {
		known, ok := p.rows[r.key]
		if !ok || r.revision > known.revision && r.key == Free {
			p.rows[r.key] = r
		}
	}
	for key := range p.rows {
		if key != Free && l.state.Members().Has(key) {
			p.keys = append(p.keys, key)
		}
	}
	slices.Sort(p.keys)
	return p
}

// returnDraining moves the draining units of a team to Free once this entry has no
// more units of the team in use than it holds.
func (p *transferPlan) returnDraining(team string) {
	h := p.ownHolding(team)
	if h.Draining == 0 || p.l.inUse[team] > h.Held || !p.hasFreeRow() {
		return
	}
	n := h.Draining
	h.Draining = 0
	p.setHolding(p.l.own.key, team, h)
	p.addHeld(Free, team, n, h.LimitVersion)
}

// returnDrainingOfRemovedTeams moves the draining units of teams that were
// removed from the configuration to Free.
func (p *transferPlan) returnDrainingOfRemovedTeams() {
	teams := p.l.state.Config().Teams()
	for name := range p.l.own.teams.All() {
		if !teams.Has(name) {
			p.returnDraining(name)
		}
	}
}

// rebalanceTeam moves units of one team towards the targets of all entries.
func (p *transferPlan) rebalanceTeam(team string, limit int) {
	i, member := slices.BinarySearch(p.keys, p.l.own.key)
	if !member {
		return
	}
	targets := p.targets(team, limit)
	p.takeFree(team, targets[i], limit)
	p.giveFree(team)
	p.giveSurplus(team, targets)
}

// targets divides the limit among the entries in proportion to their demand.
// The 1 added to each demand leaves an idle entry a part of the limit if the
// limit is large enough.
func (p *transferPlan) targets(team string, limit int) []int {
	weights := make([]float64, len(p.keys))
	for i, key := range p.keys {
		weights[i] = float64(p.demands[key][team] + 1)
	}
	return tmshare.Apportion(limit, weights)
}

// takeFree takes units from Free, at most an equal share of the limit at a time.
// Without that bound, an entry that knows its own demand before the demand of the
// others would take all free units, and if it crashed, no other entry would have
// units of the team.
func (p *transferPlan) takeFree(team string, target, limit int) {
	free := p.holding(Free, team)
	members := max(1, p.l.state.Members().Len())
	part := (limit + members - 1) / members
	n := min(free.Held, target-p.ownHolding(team).Held, part)
	if n <= 0 || !p.hasFreeRow() {
		return
	}
	p.taken[team] += n
	p.addHeld(p.l.own.key, team, n, free.LimitVersion)
	p.addHeld(Free, team, -n, free.LimitVersion)
}

// giveFree moves unused units of this entry to Free while Free is negative. Free
// is negative because tasks still use draining units of other entries, and the team
// can start no task until it isn't. Without the returned units, the team would have
// to wait until all of those tasks have ended.
func (p *transferPlan) giveFree(team string) {
	n := min(-p.holding(Free, team).Held, p.surplus(team, 0))
	if n <= 0 || !p.hasFreeRow() {
		return
	}
	p.give(team, Free, n)
}

// surplus returns the number of units of this entry that are unused and exceed
// its target.
func (p *transferPlan) surplus(team string, target int) int {
	return p.ownHolding(team).Held - max(target, p.l.inUse[team])
}

// giveSurplus gives surplus units to the other entries, those with the largest
// shortfall first.
func (p *transferPlan) giveSurplus(team string, targets []int) {
	type shortage struct {
		key   string
		units int
	}
	var shortages []shortage
	own := 0
	for i, key := range p.keys {
		if key == p.l.own.key {
			own = p.surplus(team, targets[i])
			continue
		}
		if units := p.shortfall(key, team, targets[i]); units > 0 && p.rows[key].revision > 0 {
			shortages = append(shortages, shortage{key: key, units: units})
		}
	}
	slices.SortStableFunc(shortages, func(a, b shortage) int { return cmp.Compare(b.units, a.units) })
	unmet := 0
	for _, n := range shortages {
		moved := max(0, min(own, n.units))
		unmet += n.units - moved
		if moved > 0 {
			own -= moved
			p.give(team, n.key, moved)
		}
	}
	p.setCeiling(team, unmet, targets)
}

// An entry that holds less than 3/4 of its target is filled up to the target
// even without demand. Otherwise the units would stay with the entry that had the
// last burst, and if that entry crashed, the team would have no units until they
// are reclaimed.
const (
	minHeldNumerator   = 3
	minHeldDenominator = 4
)

// shortfall returns how many units another entry should get.
func (p *transferPlan) shortfall(key, team string, target int) int {
	held := p.holding(key, team).Held
	wanted := min(target, p.demands[key][team])
	if held*minHeldDenominator < target*minHeldNumerator {
		wanted = target
	}
	return wanted - held
}

// setCeiling limits the units that this entry may use while other entries are
// short of units. The ceiling is at least the entry's target. Without a ceiling, an
// entry whose units are all in use would never have units to give, because each
// unit that a task frees is taken by the next task.
func (p *transferPlan) setCeiling(team string, unmet int, targets []int) {
	delete(p.l.ceilings, team)
	if unmet == 0 {
		return
	}
	i, _ := slices.BinarySearch(p.keys, p.l.own.key)
	p.l.ceilings[team] = max(targets[i], p.ownHolding(team).Held-unmet)
}

func (p *transferPlan) give(team, to string, n int) {
	version := p.ownHolding(team).LimitVersion
	p.given[team] += n
	p.addHeld(p.l.own.key, team, -n, version)
	p.addHeld(to, team, n, version)
}

func (p *transferPlan) hasFreeRow() bool { return p.rows[Free].revision > 0 }

func (p *transferPlan) ownHolding(team string) Holding { return p.holding(p.l.own.key, team) }

func (p *transferPlan) holding(key, team string) Holding {
	if h, ok := p.edits[key][team]; ok {
		return h
	}
	return p.rows[key].Holding(team)
}

func (p *transferPlan) addHeld(key, team string, n int, version uint64) {
	h := p.holding(key, team)
	h.Held += n
	h.LimitVersion = max(h.LimitVersion, version)
	p.setHolding(key, team, h)
}

func (p *transferPlan) setHolding(key, team string, h Holding) {
	if p.edits[key] == nil {
		p.edits[key] = map[string]Holding{}
	}
	p.edits[key][team] = h
}

func (p *transferPlan) transfer() *Transfer {
	t := &Transfer{given: p.given, taken: p.taken}
	for _, key := range slices.Sorted(maps.Keys(p.edits)) {
		t.txn.addWrite(p.rows[key].withHoldings(p.edits[key]))
	}
	return t
}
