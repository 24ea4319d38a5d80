package tmonce

import (
	"errors"
	"fmt"

	"turmericmoor/core/tmclock"
)

// pick returns a random number from 0 to n-1.
type pick func(n int) int

// simConfig disables single rules.
type simConfig struct {
	resendIndeterminate, indeterminateAsNotRun, assumeCommitted, earlySweep bool
	noSendAgeCheck, noRowCheck                                              bool
}

type row struct {
	rev uint64
	rec Record
}

// simulation models several entries, a table, and the number of times that
// endpoints ran each request.
type simulation struct {
	pick    pick
	opt     simConfig
	now     tmclock.Millis
	rev     uint64
	rows    map[string]row
	ids     []ID
	entries []*entry
	txns    []*txn
	calls   []*call
	delayed []*call
	runs    map[ID]int
	err     error
}

type entry struct {
	n, incarnation int
	skew           tmclock.Span
	clock          *tmclock.Manual
	batch          *Batch
	sweeper        *Sweeper
}

type txn struct {
	e           *entry
	incarnation int
	writes      []Write
	// applied is set once the table has processed the transaction, closed once the
	// entry has its answer or has given up waiting for it.
	applied, closed bool
	conflict        string
	rev             uint64
}

type phase int

const (
	lookup phase = iota
	create
	waiting
	resolve
	send
	attempted
	closed
)

type call struct {
	id             ID
	e              *entry
	incarnation    int
	phase          phase
	claim          Claim
	digest         Digest
	rev            uint64
	attempts       Attempts
	result         AttemptResult
	runs           int
	reportedNotRun bool
}

func newSimulation(p pick, opt simConfig) *simulation {
	sim := &simulation{pick: p, opt: opt, now: 1_900_000_000_000, rows: map[string]row{}, runs: map[ID]int{}}
	for n := range 3 {
		e := &entry{n: n, skew: tmclock.Span(n-1) * 500, clock: tmclock.NewManual(sim.now)}
		sim.entries = append(sim.entries, e)
		sim.restart(e)
	}
	for i := range 2 {
		ms := sim.now.Add(tmclock.Span(sim.pick(3)-1) * 59 * tmclock.Second)
		var id ID
		for b := range 6 {
			id.u[b] = byte(ms >> (40 - 8*b))
		}
		id.u[6], id.u[8], id.u[15] = 0x70, 0x80, byte(i)
		sim.ids = append(sim.ids, id)
	}
	return sim
}

func (sim *simulation) restart(e *entry) {
	e.incarnation++
	e.batch = NewBatch(e.clock, len(sim.entries))
	e.batch.assumeCommitted = sim.opt.assumeCommitted
	e.sweeper = NewSweeper(e.name())
	if sim.opt.earlySweep {
		e.sweeper.retention = 5 * tmclock.Minute
	}
}

func (e *entry) name() string { return fmt.Sprintf("e%d#%d", e.n, e.incarnation) }

func (sim *simulation) wall(e *entry) tmclock.Millis { return sim.now.Add(e.skew) }

func (sim *simulation) fail(format string, args ...any) {
	if sim.err == nil {
		sim.err = fmt.Errorf(format, args...)
	}
}

// step advances one randomly chosen part of the simulation.
func (sim *simulation) step() {
	sim.advance(20)
	switch n := sim.pick(24); {
	case n < 3:
		sim.arrive()
	case n < 14 && len(sim.calls) > 0:
		sim.call(sim.calls[sim.pick(len(sim.calls))])
	case n < 16:
		e := sim.entries[sim.pick(3)]
		if writes := e.batch.Take(); writes != nil {
			sim.txns = append(sim.txns, &txn{e: e, incarnation: e.incarnation, writes: writes})
		}
	case n < 20 && len(sim.txns) > 0:
		sim.stepTransaction(sim.txns[sim.pick(len(sim.txns))])
	case n == 20:
		sim.restart(sim.entries[sim.pick(3)])
	case n == 21:
		sim.advance([]tmclock.Span{tmclock.Second, tmclock.Minute, 6 * tmclock.Minute}[sim.pick(3)])
	case n == 22:
		sim.sweep(sim.entries[sim.pick(3)])
	case len(sim.delayed) > 0:
		sim.run(sim.delayed[0])
		sim.delayed = sim.delayed[1:]
	}
}

func (sim *simulation) advance(d tmclock.Span) {
	sim.now = sim.now.Add(d)
	for _, e := range sim.entries {
		e.clock.Advance(d)
	}
}

func (sim *simulation) arrive() {
	e := sim.entries[sim.pick(3)]
	c := &call{id: sim.ids[sim.pick(2)], e: e, incarnation: e.incarnation, digest: "d"}
	c.claim = NewClaim(e.name(), fmt.Sprint(len(sim.calls)))
	c.attempts = Attempts{resendIndeterminate: sim.opt.resendIndeterminate, indeterminateAsNotRun: sim.opt.indeterminateAsNotRun}
	sim.calls = append(sim.calls, c)
}

func (sim *simulation) run(c *call) {
	c.runs++
	sim.runs[c.id]++
	if sim.runs[c.id] > 1 {
		sim.fail("request %v ran twice", c.id)
	}
	if c.reportedNotRun {
		sim.fail("request %v ran after not_run was reported", c.id)
	}
}

func (c *call) report(sim *simulation, o Outcome) {
	c.phase = closed
	c.reportedNotRun = o == NotRun
	if c.reportedNotRun && c.runs > 0 {
		sim.fail("not_run reported for request %v, which ran", c.id)
	}
	if o == Ran && sim.runs[c.id] == 0 {
		sim.fail("ran reported for request %v, which did not run", c.id)
	}
}

func (sim *simulation) call(c *call) {
	if c.incarnation != c.e.incarnation {
		return
	}
	key := c.id.RowKey("team")
	switch c.phase {
	case lookup, resolve:
		if err := c.id.CheckAge(sim.wall(c.e)); c.phase == lookup && err != nil {
			c.report(sim, outcomeOf(err))
			return
		}
		sim.decide(c, key)
	case create:
		if err := c.id.CheckAge(sim.wall(c.e)); err != nil {
			c.report(sim, outcomeOf(err))
			return
		}
		c.phase = waiting
		if c.e.batch.Add(Write{Op: Create, Key: key, Record: c.claim.Start(c.digest)}) != nil {
			c.report(sim, Unknown)
		}
	case send:
		sim.send(c, key)
	case attempted:
		sim.finish(c, key)
	}
}

func outcomeOf(err error) Outcome {
	var idErr *IDError
	errors.As(err, &idErr)
	return idErr.Outcome()
}

func (sim *simulation) decide(c *call, key string) {
	r, found := sim.rows[key]
	owner := OwnerUnknown
	for _, o := range sim.calls {
		if o.claim == r.rec.claim && o.incarnation == o.e.incarnation && o.phase != closed {
			owner = OwnerProcessing
		}
	}
	d := Decide(r.rec, found, c.digest, owner)
	if c.phase == resolve {
		d = c.claim.ResolveConflict(r.rec, found, c.digest, owner)
	}
	if sim.opt.noRowCheck {
		d = Send
	}
	switch d {
	case Start:
		c.phase = create
	case Send:
		c.rev = r.rev
		c.phase = send
	case Replay:
		c.report(sim, r.rec.Outcome())
	default:
		c.report(sim, Unknown)
	}
}

// send makes one attempt. The endpoint may run the request, refuse it, lose the
// answer, or run the request only after the entry has given up.
func (sim *simulation) send(c *call, key string) {
	if err := c.id.CheckSend(sim.wall(c.e)); err != nil && !sim.opt.noSendAgeCheck {
		c.report(sim, NotRun)
		_ = c.e.batch.Add(Write{Op: Delete, Key: key, Revision: c.rev})
		return
	}
	c.attempts.Begin()
	c.phase = attempted
	switch sim.pick(6) {
	case 0, 1:
		sim.run(c)
		c.result = Answered
	case 2:
		sim.run(c)
		c.result = Indeterminate
	case 3:
		sim.delayed = append(sim.delayed, c)
		c.result = Indeterminate
	case 4:
		c.result = Refused
	default:
		c.result = NotSent
	}
}

func (sim *simulation) finish(c *call, key string) {
	c.attempts.Finish(c.result)
	if c.result != Answered && c.attempts.MayResend(false) && sim.pick(2) == 0 {
		c.phase = send
		return
	}
	o := c.attempts.Outcome()
	switch o {
	case NotRun:
		_ = c.e.batch.Add(Write{Op: Delete, Key: key, Revision: c.rev})
	case Ran:
		rec := c.claim.Start(c.digest).Finish(Ran, 200, []byte("ok"))
		_ = c.e.batch.Add(Write{Op: Complete, Key: key, Revision: c.rev, Record: rec})
	}
	c.report(sim, o)
}

// stepTransaction applies a transaction, or delivers or loses its answer. A
// transaction whose answer was lost may still be applied later.
func (sim *simulation) stepTransaction(t *txn) {
	alive := t.incarnation == t.e.incarnation && !t.closed
	switch n := sim.pick(5); {
	case n < 2 && !t.applied:
		sim.apply(t)
	case n == 2 && t.applied && alive:
		t.closed = true
		if t.conflict != "" {
			sim.deliverResults(t.e, t.e.batch.Conflict(t.conflict))
			return
		}
		sim.deliverResults(t.e, t.e.batch.Committed(t.rev))
	case n == 3 && alive:
		t.closed = true
		reads := map[string]Read{}
		for _, k := range t.e.batch.KeysToRead() {
			r, found := sim.rows[k]
			reads[k] = Read{Known: sim.pick(3) > 0, Found: found, Revision: r.rev, Record: r.rec}
		}
		sim.deliverResults(t.e, t.e.batch.ReadBack(reads))
	case n == 4 && !t.applied && alive:
		t.closed, t.applied = true, true
		sim.deliverResults(t.e, t.e.batch.Rejected())
	}
}

func (sim *simulation) apply(t *txn) {
	t.applied = true
	for _, wr := range t.writes {
		if sim.rows[wr.Key].rev != wr.Revision {
			t.conflict = wr.Key
			return
		}
	}
	sim.rev++
	t.rev = sim.rev
	for _, wr := range t.writes {
		sim.rows[wr.Key] = row{rev: sim.rev, rec: wr.Record}
		if wr.Op == Delete {
			delete(sim.rows, wr.Key)
		}
	}
}

func (sim *simulation) deliverResults(e *entry, results []Result) {
	for _, r := range results {
		for _, c := range sim.calls {
			if c.phase != waiting || c.e != e || r.Write.Op != Create || c.claim != r.Write.Record.claim {
				continue
			}
			c.rev = r.Revision
			switch r.Status {
			case Written:
				c.phase = send
			case Conflicted:
				c.phase = resolve
			case Abandoned:
				c.report(sim, NotRun)
			}
		}
	}
}

func (sim *simulation) sweep(e *entry) {
	var members []string
	for _, m := range sim.entries {
		members = append(members, m.name())
	}
	for _, s := range e.sweeper.Due(sim.wall(e), members) {
		for k := range sim.rows {
			if k > s.After && k < s.Until {
				delete(sim.rows, k)
			}
		}
		e.sweeper.Swept(s, sim.wall(e))
	}
}
