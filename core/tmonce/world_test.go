package tmonce

import (
	"errors"
	"fmt"

	"turmericmoor/core/tmclock"
)

// pick returns a number from 0 to n-1.
type pick func(n int) int

// controls switches single rules off.
type controls struct {
	resendBroken, brokenNotRun, trustLost, earlySweep bool
	noStartCheck, noRowCheck                          bool
}

type row struct {
	rev uint64
	rec Record
}

// world is several entries, an abstract table, and a journal of the runs that
// endpoints made.
type world struct {
	pick    pick
	opt     controls
	now     tmclock.Millis
	rev     uint64
	rows    map[string]row
	ids     []ID
	entries []*entry
	txns    []*txn
	calls   []*call
	late    []*call
	runs    map[ID]int
	err     error
}

type entry struct {
	n, inc  int
	skew    tmclock.Span
	clock   *tmclock.Manual
	batch   *Batch
	sweeper *Sweeper
}

type txn struct {
	e              *entry
	inc            int
	writes         []Write
	landed, closed bool
	conflict       string
	rev            uint64
}

type phase int

const (
	lookup phase = iota
	create
	waiting
	settle
	send
	ended
	closed
)

type call struct {
	id       ID
	e        *entry
	inc      int
	phase    phase
	claim    Claim
	digest   Digest
	rev      uint64
	attempts Attempts
	end      End
	runs     int
	notRun   bool
}

func newWorld(p pick, opt controls) *world {
	w := &world{pick: p, opt: opt, now: 1_900_000_000_000, rows: map[string]row{}, runs: map[ID]int{}}
	for n := range 3 {
		e := &entry{n: n, skew: tmclock.Span(n-1) * 500, clock: tmclock.NewManual(w.now)}
		w.entries = append(w.entries, e)
		w.restart(e)
	}
	for i := range 2 {
		ms := w.now.Add(tmclock.Span(w.pick(3)-1) * 59 * tmclock.Second)
		var id ID
		for b := range 6 {
			id.u[b] = byte(ms >> (40 - 8*b))
		}
		id.u[6], id.u[8], id.u[15] = 0x70, 0x80, byte(i)
		w.ids = append(w.ids, id)
	}
	return w
}

func (w *world) restart(e *entry) {
	e.inc++
	e.batch = NewBatch(e.clock, len(w.entries))
	e.batch.trustLost = w.opt.trustLost
	e.sweeper = NewSweeper(e.name())
	if w.opt.earlySweep {
		e.sweeper.keep = 5 * tmclock.Minute
	}
}

func (e *entry) name() string { return fmt.Sprintf("e%d#%d", e.n, e.inc) }

func (w *world) wall(e *entry) tmclock.Millis { return w.now.Add(e.skew) }

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

// step makes one random step of one part of the world.
func (w *world) step() {
	w.advance(20)
	switch n := w.pick(24); {
	case n < 3:
		w.arrive()
	case n < 14 && len(w.calls) > 0:
		w.call(w.calls[w.pick(len(w.calls))])
	case n < 16:
		e := w.entries[w.pick(3)]
		if writes := e.batch.Take(); writes != nil {
			w.txns = append(w.txns, &txn{e: e, inc: e.inc, writes: writes})
		}
	case n < 20 && len(w.txns) > 0:
		w.transact(w.txns[w.pick(len(w.txns))])
	case n == 20:
		w.restart(w.entries[w.pick(3)])
	case n == 21:
		w.advance([]tmclock.Span{tmclock.Second, tmclock.Minute, 6 * tmclock.Minute}[w.pick(3)])
	case n == 22:
		w.sweep(w.entries[w.pick(3)])
	case len(w.late) > 0:
		w.run(w.late[0])
		w.late = w.late[1:]
	}
}

func (w *world) advance(d tmclock.Span) {
	w.now = w.now.Add(d)
	for _, e := range w.entries {
		e.clock.Advance(d)
	}
}

func (w *world) arrive() {
	e := w.entries[w.pick(3)]
	c := &call{id: w.ids[w.pick(2)], e: e, inc: e.inc, digest: "d"}
	c.claim = NewClaim(e.name(), fmt.Sprint(len(w.calls)))
	c.attempts = Attempts{resendBroken: w.opt.resendBroken, brokenNotRun: w.opt.brokenNotRun}
	w.calls = append(w.calls, c)
}

func (w *world) run(c *call) {
	c.runs++
	w.runs[c.id]++
	if w.runs[c.id] > 1 {
		w.fail("request %v ran twice", c.id)
	}
	if c.notRun {
		w.fail("request %v ran after not_run", c.id)
	}
}

func (c *call) say(w *world, o Outcome) {
	c.phase = closed
	c.notRun = o == NotRun
	if c.notRun && c.runs > 0 {
		w.fail("not_run for %v, which ran", c.id)
	}
	if o == Ran && w.runs[c.id] == 0 {
		w.fail("ran for %v, which did not run", c.id)
	}
}

func (w *world) call(c *call) {
	if c.inc != c.e.inc {
		return
	}
	key := c.id.RowKey("team")
	switch c.phase {
	case lookup, settle:
		if err := c.id.CheckAge(w.wall(c.e)); c.phase == lookup && err != nil {
			c.say(w, outcomeOf(err))
			return
		}
		w.decide(c, key)
	case create:
		if err := c.id.CheckAge(w.wall(c.e)); err != nil {
			c.say(w, outcomeOf(err))
			return
		}
		c.phase = waiting
		if c.e.batch.Add(Write{Op: Create, Key: key, Record: c.claim.Start(c.digest)}) != nil {
			c.say(w, Unknown)
		}
	case send:
		w.send(c, key)
	case ended:
		w.finish(c, key)
	}
}

func outcomeOf(err error) Outcome {
	var idErr *IDError
	errors.As(err, &idErr)
	return idErr.Outcome()
}

func (w *world) decide(c *call, key string) {
	r, found := w.rows[key]
	owner := OwnerSilent
	for _, o := range w.calls {
		if o.claim == r.rec.claim && o.inc == o.e.inc && o.phase != closed {
			owner = OwnerBusy
		}
	}
	d := Decide(r.rec, found, c.digest, owner)
	if c.phase == settle {
		d = c.claim.Settle(r.rec, found, c.digest, owner)
	}
	if w.opt.noRowCheck {
		d = Send
	}
	switch d {
	case Start:
		c.phase = create
	case Send:
		c.rev = r.rev
		c.phase = send
	case Replay:
		c.say(w, r.rec.Outcome())
	default:
		c.say(w, Unknown)
	}
}

// send makes one attempt. The endpoint may run the request, also after the
// entry has given up, refuse it, or lose the answer.
func (w *world) send(c *call, key string) {
	if err := c.id.CheckStart(w.wall(c.e)); err != nil && !w.opt.noStartCheck {
		c.say(w, NotRun)
		_ = c.e.batch.Add(Write{Op: Delete, Key: key, Revision: c.rev})
		return
	}
	c.attempts.Begin()
	c.phase = ended
	switch w.pick(6) {
	case 0, 1:
		w.run(c)
		c.end = Answered
	case 2:
		w.run(c)
		c.end = Broken
	case 3:
		w.late = append(w.late, c)
		c.end = Broken
	case 4:
		c.end = Refused
	default:
		c.end = Unwritten
	}
}

func (w *world) finish(c *call, key string) {
	c.attempts.Finish(c.end)
	if c.end != Answered && c.attempts.MayResend(false) && w.pick(2) == 0 {
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
	c.say(w, o)
}

// transact lets a transaction take effect, answers it, or loses its answer.
// A transaction whose answer was lost may still take effect later.
func (w *world) transact(t *txn) {
	alive := t.inc == t.e.inc && !t.closed
	switch n := w.pick(5); {
	case n < 2 && !t.landed:
		w.land(t)
	case n == 2 && t.landed && alive:
		t.closed = true
		if t.conflict != "" {
			w.results(t.e, t.e.batch.Conflict(t.conflict))
			return
		}
		w.results(t.e, t.e.batch.Committed(t.rev))
	case n == 3 && alive:
		t.closed = true
		reads := map[string]Read{}
		for _, k := range t.e.batch.Uncertain() {
			r, found := w.rows[k]
			reads[k] = Read{Known: w.pick(3) > 0, Found: found, Revision: r.rev, Record: r.rec}
		}
		w.results(t.e, t.e.batch.ReadBack(reads))
	case n == 4 && !t.landed && alive:
		t.closed, t.landed = true, true
		w.results(t.e, t.e.batch.Rejected())
	}
}

func (w *world) land(t *txn) {
	t.landed = true
	for _, wr := range t.writes {
		if w.rows[wr.Key].rev != wr.Revision {
			t.conflict = wr.Key
			return
		}
	}
	w.rev++
	t.rev = w.rev
	for _, wr := range t.writes {
		w.rows[wr.Key] = row{rev: w.rev, rec: wr.Record}
		if wr.Op == Delete {
			delete(w.rows, wr.Key)
		}
	}
}

func (w *world) results(e *entry, results []Result) {
	for _, r := range results {
		for _, c := range w.calls {
			if c.phase != waiting || c.e != e || r.Write.Op != Create || c.claim != r.Write.Record.claim {
				continue
			}
			c.rev = r.Revision
			switch r.Status {
			case Written:
				c.phase = send
			case Conflicting:
				c.phase = settle
			case Unwritable:
				c.say(w, NotRun)
			}
		}
	}
}

func (w *world) sweep(e *entry) {
	var members []string
	for _, m := range w.entries {
		members = append(members, m.name())
	}
	for _, s := range e.sweeper.Due(w.wall(e), members) {
		for k := range w.rows {
			if k > s.After && k < s.Until {
				delete(w.rows, k)
			}
		}
		e.sweeper.Swept(s, w.wall(e))
	}
}
