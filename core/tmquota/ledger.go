// Package tmquota divides the resource limits of teams among the shards of a fleet, so
// that no team runs more than its limit in the whole fleet although each shard starts
// tasks on its own.
//
// Each shard begins with an equal part of a team's limit, its base. A shard that needs
// less gives some of its part to a shard that needs more. A Row is what a shard has
// stored about one team; only its owner writes it. Given amounts only ever grow, and a
// shard counts what it was given only when it has read the row of the giver, so parts
// always add up to no more than the limit, whatever is delayed, lost or repeated.
//
// When an operator lowers a limit, other shards may act by the old one until their rows
// say otherwise. Until then a shard takes the difference off its own part. A lowered
// limit holds once all owners have read it and then what the others had stored until
// then.
//
// A Ledger is deterministic and does no I/O. It isn't safe for concurrent use.
package tmquota

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmshard"
)

const (
	// needInterval is the minimum time between two changes of a published need that is
	// already known to others.
	needInterval = 60 * tmclock.Millisecond
	// needRetention is how long a need counts after it was last reported.
	needRetention = 400 * tmclock.Millisecond
)

// Row is what a shard has stored about one team.
type Row struct {
	Team string
	// Limit is the limit that the shard acts by.
	Limit tmjob.Resources
	// Given holds, by index of the shard, all that this shard has ever given to it.
	Given map[int]tmjob.Resources
	// Excess is by how much the running tasks of the shard exceed its part, which
	// happens when a limit is lowered. It does not grow while Limit stays the same.
	Excess tmjob.Resources
	// Need is what the shard lacks for tasks that are ready. Since is when it began to
	// lack something, in milliseconds since the Unix epoch.
	Need  tmjob.Resources
	Since int64
}

// peer is the newest known row of another shard, with its version in the store.
type peer struct {
	row     Row
	version int64
}

// shortage sums up the tasks that are ready and don't fit into the shard's part.
type shortage struct {
	total, smallest tmjob.Resources
	any             bool
}

// team is what a ledger knows about one team.
type team struct {
	limit tmjob.Resources
	own   Row
	// stored is the limit of the newest row that is stored, valid if isStored is set.
	stored   tmjob.Resources
	isStored bool
	peers    map[int]peer
	// changed is set if the row has to be stored. planned is set once Plan has run with
	// the current limit: before that, the excess in the row may be outdated.
	changed, planned bool

	// collected is the shortage reported since the last call of Plan, short the newest
	// one that counts, reported at shortAt.
	collected, short     shortage
	shortAt, publishedAt tmclock.Millis
}

// Ledger is the view that the owner of one shard has of the limits of all teams.
type Ledger struct {
	shard tmshard.Shard
	teams map[string]*team
	// ignore is empty outside tests.
	ignore ignoredRules
}

// ignoredRules names rules that a test disables, to check that the violation is found.
type ignoredRules struct {
	// debts: other shards are assumed to act by the newest limit.
	debts bool
}

// New returns the ledger of a shard.
func New(shard tmshard.Shard) *Ledger {
	return &Ledger{shard: shard, teams: map[string]*team{}}
}

func (l *Ledger) team(name string) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{own: Row{Team: name, Given: map[int]tmjob.Resources{}}, peers: map[int]peer{}}
		l.teams[name] = t
	}
	return t
}

// SetLimit sets the limit of a team. A resource of 0 is not limited.
func (l *Ledger) SetLimit(name string, limit tmjob.Resources) {
	t := l.team(name)
	if t.limit == limit && t.own.Limit == limit && (t.isStored || t.changed) {
		return
	}
	t.limit, t.own.Limit = limit, limit
	t.changed, t.planned = true, false
}

// Restore loads the row that an earlier owner of this shard has stored.
func (l *Ledger) Restore(row Row) {
	t := l.team(row.Team)
	limit := t.limit
	known := t.changed
	t.own = row.clone()
	t.own.Need, t.own.Since = tmjob.Resources{}, 0
	t.stored, t.isStored = row.Limit, true
	if known {
		t.own.Limit = limit
	} else {
		t.limit = row.Limit
	}
	t.changed, t.planned = true, false
}

// SetPeer records the row that another shard has stored, with its version. Rows that
// are older than the known one are ignored.
func (l *Ledger) SetPeer(shard int, row Row, version int64) {
	if shard == l.shard.Index() {
		return
	}
	t := l.team(row.Team)
	if version > t.peers[shard].version {
		t.peers[shard] = peer{row: row.clone(), version: version}
	}
}

// base returns the equal part of a limit that the shard with the given index has.
// The remainder goes to the first shards.
func (l *Ledger) base(limit tmjob.Resources, shard int) tmjob.Resources {
	return each(limit, func(v int64) int64 {
		n := int64(l.shard.Count())
		part := v / n
		if int64(shard) < v%n {
			part++
		}
		return part
	})
}

// held returns the part of a limit that this shard holds.
func (l *Ledger) held(t *team, limit tmjob.Resources) tmjob.Resources {
	part := l.base(limit, l.shard.Index())
	for _, given := range t.own.Given {
		part = part.Sub(given)
	}
	for _, p := range t.peers {
		part = part.Add(p.row.Given[l.shard.Index()])
	}
	return part
}

// debt returns by how much other shards may exceed their parts of the limit.
func (l *Ledger) debt(t *team) tmjob.Resources {
	var sum tmjob.Resources
	if l.ignore.debts {
		return sum
	}
	for shard, p := range t.peers {
		theirs, ours := l.base(p.row.Limit, shard), l.base(t.limit, shard)
		more := each(theirs.Sub(ours), nonNegative)
		// A shard that acts by a limit of 0 may use any amount.
		more.CPU += unlimitedDebt(p.row.Limit.CPU, t.limit.CPU)
		more.Mem += unlimitedDebt(p.row.Limit.Mem, t.limit.Mem)
		more.GPU += unlimitedDebt(p.row.Limit.GPU, t.limit.GPU)
		sum = sum.Add(more).Add(p.row.Excess)
	}
	return sum
}

func unlimitedDebt(theirs, ours int64) int64 {
	if theirs == 0 {
		return ours
	}
	return 0
}

// allowance returns how much of the team's limit the tasks of this shard may use. It is
// meaningful in the resources that are limited.
func (l *Ledger) allowance(t *team) tmjob.Resources {
	return l.held(t, t.limit).Sub(l.debt(t))
}

// Allows reports whether the tasks of a team in this shard may use that much in all. A
// team whose limit is unknown is not limited. A team whose limit is known gets nothing
// until the row with the limit is stored, because other shards know only what is stored.
func (l *Ledger) Allows(name string, used tmjob.Resources) bool {
	t := l.teams[name]
	if t == nil {
		return true
	}
	if !fitsLimited(used, l.allowance(t), t.limit) {
		return false
	}
	return t.isStored && (t.stored == t.limit || fitsLimited(used, l.held(t, t.stored), t.stored))
}

// fitsLimited reports whether used fits into the allowance in the resources that the
// limit bounds.
func fitsLimited(used, allowance, limit tmjob.Resources) bool {
	return (limit.CPU == 0 || used.CPU <= allowance.CPU) &&
		(limit.Mem == 0 || used.Mem <= allowance.Mem) &&
		(limit.GPU == 0 || used.GPU <= allowance.GPU)
}

// Short records that tasks of a team are ready and don't fit into the shard's part:
// one needs size, all of them together total.
func (l *Ledger) Short(name string, size, total tmjob.Resources) {
	t := l.teams[name]
	if t == nil {
		return
	}
	if !t.collected.any {
		t.collected = shortage{any: true, smallest: size}
	}
	t.collected.smallest = lower(t.collected.smallest, size)
	t.collected.total = t.collected.total.Add(total)
}

// Plan decides what to give to other shards and what to ask for. used is what the tasks
// of each team use in this shard, wall the time in milliseconds since the Unix epoch.
// TakeRows returns the rows that changed.
func (l *Ledger) Plan(used map[string]tmjob.Resources, now tmclock.Millis, wall int64) {
	for name, t := range l.teams {
		switch {
		case t.collected.any:
			t.short, t.shortAt = t.collected, now
		case now.Sub(t.shortAt) > needRetention:
			t.short = shortage{}
		}
		t.collected = shortage{}
		l.publishNeed(t, used[name], now, wall)
		l.give(t, used[name])
		l.publishExcess(t, used[name])
		t.planned = true
	}
}

// publishNeed sets the need in the row. A need that begins or ends is published at
// once, other changes at most once in needInterval.
func (l *Ledger) publishNeed(t *team, used tmjob.Resources, now tmclock.Millis, wall int64) {
	var need tmjob.Resources
	if t.short.any {
		need = onlyLimited(each(used.Add(t.short.total).Sub(l.allowance(t)), nonNegative), t.limit)
	}
	if need == t.own.Need {
		return
	}
	none := tmjob.Resources{}
	if need != none && t.own.Need != none && now.Sub(t.publishedAt) < needInterval {
		return
	}
	switch {
	case need == none:
		t.own.Since = 0
	case t.own.Since == 0:
		t.own.Since = wall
	}
	t.own.Need, t.publishedAt, t.changed = need, now, true
}

// give answers the needs of other shards. A shard with spare units gives half of them,
// so that shards that answer at the same time don't give much more than is needed. A
// shard that can't start any of its own tasks with what it has gives all of it to a
// shard that has waited longer; otherwise no shard might ever have enough.
func (l *Ledger) give(t *team, used tmjob.Resources) {
	none := tmjob.Resources{}
	spare := onlyLimited(each(l.allowance(t).Sub(used), nonNegative), t.limit)
	isShort := t.own.Need != none
	if spare == none || isShort && fitsLimited(t.short.smallest, spare, t.limit) {
		return
	}
	for shard := range l.shard.Count() {
		p, ok := t.peers[shard]
		if !ok || p.row.Need == none || isShort && !l.hasPriority(p.row, shard, t.own) {
			continue
		}
		offer := spare
		if !isShort {
			offer = each(spare, func(v int64) int64 { return (v + 1) / 2 })
		}
		gift := lower(offer, p.row.Need)
		if gift == none {
			continue
		}
		t.own.Given[shard] = t.own.Given[shard].Add(gift)
		spare = spare.Sub(gift)
		// The other shard publishes what it still lacks once it has read the row.
		p.row.Need = p.row.Need.Sub(gift)
		t.peers[shard] = p
		t.changed = true
	}
}

// hasPriority reports whether another shard has waited longer than this one.
func (l *Ledger) hasPriority(row Row, shard int, own Row) bool {
	if row.Since != own.Since {
		return row.Since < own.Since
	}
	return shard < l.shard.Index()
}

func (l *Ledger) publishExcess(t *team, used tmjob.Resources) {
	excess := onlyLimited(each(used.Sub(l.held(t, t.limit)), nonNegative), t.limit)
	if excess != t.own.Excess {
		t.own.Excess, t.changed = excess, true
	}
}

// TakeRows returns at most n rows that have to be stored.
func (l *Ledger) TakeRows(n int) []Row {
	var rows []Row
	for _, t := range l.teams {
		if len(rows) == n {
			break
		}
		if t.changed && t.planned {
			t.changed = false
			rows = append(rows, t.own.clone())
		}
	}
	return rows
}

// Refused records that a row which TakeRows returned is not stored, so that TakeRows returns
// the row of the team again.
func (l *Ledger) Refused(row Row) { l.team(row.Team).changed = true }

// Stored records that a row which TakeRows returned is stored.
func (l *Ledger) Stored(row Row) {
	t := l.team(row.Team)
	t.stored, t.isStored = row.Limit, true
}

func (r Row) clone() Row {
	given := make(map[int]tmjob.Resources, len(r.Given))
	for shard, amount := range r.Given {
		given[shard] = amount
	}
	r.Given = given
	return r
}

func nonNegative(v int64) int64 { return max(v, 0) }

func each(r tmjob.Resources, f func(int64) int64) tmjob.Resources {
	return tmjob.Resources{CPU: f(r.CPU), Mem: f(r.Mem), GPU: f(r.GPU)}
}

// lower returns the lower value of each field.
func lower(a, b tmjob.Resources) tmjob.Resources {
	return tmjob.Resources{CPU: min(a.CPU, b.CPU), Mem: min(a.Mem, b.Mem), GPU: min(a.GPU, b.GPU)}
}

// onlyLimited returns r without the resources that the limit doesn't bound.
func onlyLimited(r, limit tmjob.Resources) tmjob.Resources {
	return tmjob.Resources{CPU: r.CPU * min(limit.CPU, 1), Mem: r.Mem * min(limit.Mem, 1), GPU: r.GPU * min(limit.GPU, 1)}
}
