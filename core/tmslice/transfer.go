package tmslice

import (
	"cmp"
	"maps"
	"slices"

	"turmericmoor/core/tmshare"
)

// Transfer is one transaction on this entry's row: it settles draining units,
// takes units from Free and gives surplus to other entries. The entry counts
// on the given units no more from the time the Transfer is planned.
type Transfer struct {
	txn       Transaction
	given     map[string]int
	taken     map[string]int
	uncertain bool
}

// Transaction returns the rows to check and to write.
func (t *Transfer) Transaction() Transaction { return t.txn }

// Demand is the number of queued and running tasks by team at one entry.
type Demand map[string]int

// PlanTransfers compares the demand of all entries, by incarnation and
// including this one, with the given rows of all entries and Free, and returns
// the transfer that this entry has to make, if any. There is at most one
// transfer at a time; until its result is known none is planned.
func (l *Ledger) PlanTransfers(demands map[string]Demand, rows []Row) (*Transfer, bool) {
	if l.out != nil || l.own.revision == 0 {
		return nil, false
	}
	p := l.newPlan(demands, rows)
	for name, team := range l.state.Config().Teams().All() {
		if l.Stale(name) {
			continue
		}
		p.settle(name)
		p.team(name, team.Limit())
	}
	p.settleRemoved()
	if len(p.edits) == 0 {
		return nil, false
	}
	l.out = p.transfer()
	return l.out, true
}

// TransferCommitted takes the answer that the transaction was written at the
// given revision. Of a transfer that is no longer the present one it takes
// nothing.
func (l *Ledger) TransferCommitted(t *Transfer, revision uint64) {
	if l.out != t || t == nil {
		return
	}
	l.out = nil
	written := make([]Row, 0, len(t.txn.Writes))
	for _, r := range t.txn.Writes {
		written = append(written, r.WithRevision(revision))
	}
	l.Install(l.state, written...)
}

// TransferFailed takes the answer that the transaction was not written and
// never will be, because a check has failed.
func (l *Ledger) TransferFailed(t *Transfer) {
	if l.out == t {
		l.out = nil
	}
}

// TransferUncertain records that the answer to the transaction was lost. The
// given units stay away until the own row is installed at another revision
// than the one that the transaction has checked. Reading the same revision
// again proves nothing, because the transaction may still be under way.
func (l *Ledger) TransferUncertain(t *Transfer) {
	if l.out != t || t == nil {
		return
	}
	t.uncertain = true
	if l.own.revision > l.checkedRevision(t) {
		l.out = nil
	}
}

// Fence returns the transaction that ends an uncertain transfer: it writes the
// own row unchanged. Whether it is written or conflicts, the row then has
// another revision, which a read has to bring in.
func (l *Ledger) Fence() (Transaction, bool) {
	if l.out == nil || !l.out.uncertain {
		return Transaction{}, false
	}
	var txn Transaction
	txn.write(l.own)
	return txn, true
}

// PlanCreate returns the transaction that creates the empty row of this entry,
// after it has joined.
func (l *Ledger) PlanCreate() Transaction {
	var txn Transaction
	txn.write(NewRow(l.own.key, 0, Row{}.teams))
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

// plan is a transfer in the making.
type plan struct {
	l       *Ledger
	keys    []string
	rows    map[string]Row
	demands map[string]Demand
	given   map[string]int
	taken   map[string]int
	// edits are the changed holdings by row and team. They become rows at the
	// end, because a copy of a row for each change would cost the square of the
	// number of teams.
	edits map[string]map[string]Holding
}

func (l *Ledger) newPlan(demands map[string]Demand, rows []Row) *plan {
	p := &plan{
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

// settle returns draining units to Free once this entry's tasks fit into what
// it holds.
func (p *plan) settle(team string) {
	h := p.own(team)
	if h.Draining == 0 || p.l.inUse[team] > h.Held || !p.hasFree() {
		return
	}
	n := h.Draining
	h.Draining = 0
	p.put(p.l.own.key, team, h)
	p.add(Free, team, n, h.LimitVersion)
}

// settleRemoved returns the draining units of teams that were removed from the
// configuration.
func (p *plan) settleRemoved() {
	teams := p.l.state.Config().Teams()
	for name := range p.l.own.teams.All() {
		if !teams.Has(name) {
			p.settle(name)
		}
	}
}

// team moves the units of one team towards the targets of all entries.
func (p *plan) team(team string, limit int) {
	i, member := slices.BinarySearch(p.keys, p.l.own.key)
	if !member {
		return
	}
	targets := p.targets(team, limit)
	p.takeFree(team, targets[i], limit)
	p.giveFree(team)
	p.giveSurplus(team, targets)
}

// targets divides the limit in proportion to demand. The one added to each
// demand leaves an idle entry a part of the limit where there is enough.
func (p *plan) targets(team string, limit int) []int {
	weights := make([]float64, len(p.keys))
	for i, key := range p.keys {
		weights[i] = float64(p.demands[key][team] + 1)
	}
	return tmshare.Apportion(limit, weights)
}

// takeFree takes at most an equal part of the limit at a time. An entry that
// learns of its own demand before that of the others would otherwise take all
// free units, and its death would leave the team without any.
func (p *plan) takeFree(team string, target, limit int) {
	free := p.holding(Free, team)
	members := max(1, p.l.state.Members().Len())
	part := (limit + members - 1) / members
	n := min(free.Held, target-p.own(team).Held, part)
	if n <= 0 || !p.hasFree() {
		return
	}
	p.taken[team] += n
	p.add(p.l.own.key, team, n, free.LimitVersion)
	p.add(Free, team, -n, free.LimitVersion)
}

// giveFree returns unused units to Free while Free is negative, so that they
// make up for tasks that run on draining units elsewhere. Otherwise the team
// could start nothing until the last of those has ended.
func (p *plan) giveFree(team string) {
	n := min(-p.holding(Free, team).Held, p.surplus(team, 0))
	if n <= 0 || !p.hasFree() {
		return
	}
	p.give(team, Free, n)
}

// surplus is what this entry neither uses nor should hold.
func (p *plan) surplus(team string, target int) int {
	return p.own(team).Held - max(target, p.l.inUse[team])
}

// giveSurplus serves the entries that lack most first.
func (p *plan) giveSurplus(team string, targets []int) {
	type need struct {
		key  string
		lack int
	}
	var needs []need
	own := 0
	for i, key := range p.keys {
		if key == p.l.own.key {
			own = p.surplus(team, targets[i])
			continue
		}
		if lack := p.lack(key, team, targets[i]); lack > 0 && p.rows[key].revision > 0 {
			needs = append(needs, need{key: key, lack: lack})
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int { return cmp.Compare(b.lack, a.lack) })
	unmet := 0
	for _, n := range needs {
		moved := max(0, min(own, n.lack))
		unmet += n.lack - moved
		if moved > 0 {
			own -= moved
			p.give(team, n.key, moved)
		}
	}
	p.setCeiling(team, unmet, targets)
}

// An entry that holds less than 3 of 4 units of its target lacks the rest even
// without demand. Otherwise the units stay with the entry that had the last
// burst, and when that one dies the team has none until they are reclaimed.
const (
	evenHeld   = 3
	evenTarget = 4
)

// lack returns how many units another entry should get.
func (p *plan) lack(key, team string, target int) int {
	held := p.holding(key, team).Held
	wanted := min(target, p.demands[key][team])
	if held*evenTarget < target*evenHeld {
		wanted = target
	}
	return wanted - held
}

// setCeiling lets this entry use no more than its target while others lack
// units. An entry whose units are all in use would otherwise never have any to
// give, since each task that ends makes room for the next one.
func (p *plan) setCeiling(team string, unmet int, targets []int) {
	delete(p.l.ceilings, team)
	if unmet == 0 {
		return
	}
	i, _ := slices.BinarySearch(p.keys, p.l.own.key)
	p.l.ceilings[team] = max(targets[i], p.own(team).Held-unmet)
}

func (p *plan) give(team, to string, n int) {
	version := p.own(team).LimitVersion
	p.given[team] += n
	p.add(p.l.own.key, team, -n, version)
	p.add(to, team, n, version)
}

func (p *plan) hasFree() bool { return p.rows[Free].revision > 0 }

func (p *plan) own(team string) Holding { return p.holding(p.l.own.key, team) }

func (p *plan) holding(key, team string) Holding {
	if h, ok := p.edits[key][team]; ok {
		return h
	}
	return p.rows[key].Holding(team)
}

func (p *plan) add(key, team string, n int, version uint64) {
	h := p.holding(key, team)
	h.Held += n
	h.LimitVersion = max(h.LimitVersion, version)
	p.put(key, team, h)
}

func (p *plan) put(key, team string, h Holding) {
	if p.edits[key] == nil {
		p.edits[key] = map[string]Holding{}
	}
	p.edits[key][team] = h
}

func (p *plan) transfer() *Transfer {
	t := &Transfer{given: p.given, taken: p.taken}
	for _, key := range slices.Sorted(maps.Keys(p.edits)) {
		t.txn.write(p.rows[key].withAll(p.edits[key]))
	}
	return t
}
