package tmroute

import (
	"math/rand/v2"

	"turmericmoor/core/tmclock"
)

// Health sets aside endpoints that fail what they start, and probes them again
// with back-off. A failure counts against an endpoint only as far as the same
// kind of work does better elsewhere, so that a job at fault sets no endpoint
// aside. At most half of a pool is set aside; beyond that the fault is taken to
// be elsewhere.
type Health struct {
	clock     tmclock.Clock
	backoff   Backoff
	rng       *rand.Rand
	endpoints map[string]*record
	pools     map[string]*poolHealth
	kinds     map[Kind]*tally
	// reports are the endpoints that other entries have set aside, by entry.
	reports map[string][]string
}

// Kind is the kind of work whose failures are compared across endpoints.
type Kind struct {
	Team, Queue string
}

// poolHealth counts the endpoints of a pool and those set aside.
type poolHealth struct {
	size, aside int
}

// record is the history of one endpoint.
type record struct {
	pool    string
	last    [outcomesKept]outcome
	count   int
	aside   bool
	lost    bool
	failing bool
	trial   bool
	until   tmclock.Millis
	strikes int
	passed  int
	// onReport is whether the endpoint was set aside with the help of a report,
	// disproved whether probes have passed since it was reported.
	onReport  bool
	disproved bool
}

type outcome struct {
	kind   Kind
	failed bool
	at     tmclock.Millis
}

// The bounds of the judgement. Three failures in a row are needed because
// several entries judge independently; ten outcomes are the target of section
// 1.2 of the design page.
const (
	outcomesKept  = 10
	failuresInRow = 3
	blameInRow    = 2.4
	blameOfLast   = 6.0
	outcomeAge    = 60 * tmclock.Second
	passesNeeded  = 2
	// nonIdempotentWait is how much longer an endpoint waits before it is
	// probed with work that can't be retried.
	nonIdempotentWait = 10 * tmclock.Second
	// minElsewhere is the number of outcomes elsewhere from which a rate is
	// trusted fully.
	minElsewhere = 2.0
)

// NewHealth returns a Health without endpoints.
func NewHealth(clock tmclock.Clock, rng *rand.Rand) *Health {
	return &Health{
		clock:     clock,
		backoff:   Backoff{Base: 1 * tmclock.Second, Max: 60 * tmclock.Second},
		rng:       rng,
		endpoints: map[string]*record{},
		pools:     map[string]*poolHealth{},
		kinds:     map[Kind]*tally{},
		reports:   map[string][]string{},
	}
}

// Ended records how a task ended at the endpoint: failed is true for a broken
// or missing answer and for a task that ran and failed. Refusals are no
// failures. It reports whether the endpoint is set aside now.
func (h *Health) Ended(endpoint string, kind Kind, failed bool) bool {
	r, ok := h.endpoints[endpoint]
	if !ok {
		return false
	}
	now := h.clock.Now()
	countIn(h.kinds, kind, failed, now)
	r.add(outcome{kind: kind, failed: failed, at: now})
	if r.aside {
		h.judgeTrial(r, kind, failed, now)
		r.disproved = !r.aside && h.reported(endpoint)
		return r.aside
	}
	if !failed || !h.mayLose(r.pool) {
		return false
	}
	guilty := h.guilty(r, now)
	if guilty || h.confirms(endpoint, r, kind, now) {
		r.failing, r.onReport = true, !guilty
		h.setAside(r, now)
	}
	return r.aside
}

// Lost records that the connection or the lease of an endpoint has failed. It
// is set aside until Renewed.
func (h *Health) Lost(endpoint string) {
	r, ok := h.endpoints[endpoint]
	if !ok || r.lost {
		return
	}
	r.lost = true
	if !r.aside {
		h.setAside(r, h.clock.Now())
	}
	r.strikes++
}

// Renewed records that a lease works. An endpoint that was lost, but has not
// failed tasks, serves again once the back-off since its loss has passed.
func (h *Health) Renewed(endpoint string) {
	r, ok := h.endpoints[endpoint]
	if !ok || !r.lost || h.clock.Now().Before(r.until) {
		return
	}
	r.lost = false
	if !r.failing {
		h.restore(r)
	}
}

// Aside reports whether the endpoint gets only probes.
func (h *Health) Aside(endpoint string) bool {
	r, ok := h.endpoints[endpoint]
	return ok && r.aside
}

// Due reports whether an endpoint that is set aside may get one task as a
// probe now.
func (h *Health) Due(endpoint string, idempotent bool) bool {
	r, ok := h.endpoints[endpoint]
	if !ok || !r.failing || r.lost || r.trial {
		return false
	}
	until := r.until
	if !idempotent {
		until = until.Add(nonIdempotentWait)
	}
	return !h.clock.Now().Before(until)
}

// cancel ends a probe that was not started after all.
func (h *Health) cancel(endpoint string) {
	if r, ok := h.endpoints[endpoint]; ok {
		r.trial = false
	}
}

func (h *Health) trial(endpoint string) { h.endpoints[endpoint].trial = true }

func (h *Health) join(endpoint, pool string) {
	r, ok := h.endpoints[endpoint]
	if ok && r.pool == pool {
		return
	}
	if ok {
		h.leave(endpoint)
	}
	h.endpoints[endpoint] = &record{pool: pool}
	h.pool(pool).size++
}

func (h *Health) leave(endpoint string) {
	r, ok := h.endpoints[endpoint]
	if !ok {
		return
	}
	p := h.pool(r.pool)
	p.size--
	if r.aside {
		p.aside--
	}
	if p.size == 0 {
		delete(h.pools, r.pool)
	}
	delete(h.endpoints, endpoint)
}

func (h *Health) pool(name string) *poolHealth {
	p, ok := h.pools[name]
	if !ok {
		p = &poolHealth{}
		h.pools[name] = p
	}
	return p
}

// mayLose reports whether one more endpoint of the pool may be set aside.
func (h *Health) mayLose(pool string) bool {
	p := h.pool(pool)
	return 2*(p.aside+1) <= p.size
}

// guilty weighs the last outcomes by how well their kinds do elsewhere.
func (h *Health) guilty(r *record, now tmclock.Millis) bool {
	row, rowBlame, total := 0, 0.0, 0.0
	inRow := true
	for i := range min(r.count, outcomesKept) {
		o := r.last[(r.count-1-i)%outcomesKept]
		if now.Sub(o.at) > outcomeAge {
			break
		}
		inRow = inRow && o.failed
		if !o.failed {
			continue
		}
		blame := 1 - h.rateElsewhere(r, o.kind, now)
		total += blame
		if inRow {
			row++
			rowBlame += blame
		}
	}
	return row >= failuresInRow && rowBlame >= blameInRow || total >= blameOfLast
}

// rateElsewhere estimates how often the kind fails at other endpoints. Without
// outcomes there it is 0.
func (h *Health) rateElsewhere(r *record, kind Kind, now tmclock.Millis) float64 {
	all := valueOf(h.kinds[kind], now)
	own := r.recent(kind, now)
	ran := max(all.ran-own.ran, 0)
	failed := min(max(all.failed-own.failed, 0), ran)
	if ran == 0 {
		return 0
	}
	return failed / max(ran, minElsewhere)
}

func (h *Health) judgeTrial(r *record, kind Kind, failed bool, now tmclock.Millis) {
	if !r.trial {
		return
	}
	r.trial = false
	switch {
	case !failed:
		r.passed++
	case h.rateElsewhere(r, kind, now) < 0.5:
		r.passed = 0
		r.onReport = false
		r.strikes++
		r.until = now.Add(h.backoff.Delay(r.strikes, h.rng))
	}
	if r.passed >= passesNeeded {
		h.restore(r)
	}
}

func (h *Health) setAside(r *record, now tmclock.Millis) {
	r.aside, r.trial, r.passed = true, false, 0
	r.until = now.Add(h.backoff.Delay(r.strikes, h.rng))
	h.pool(r.pool).aside++
}

// restore lets the endpoint serve again. One strike is kept, so that the next
// failures set it aside for longer.
func (h *Health) restore(r *record) {
	r.aside, r.failing, r.trial, r.passed = false, false, false, 0
	r.onReport = false
	r.count = 0
	r.strikes = max(0, r.strikes-1)
	h.pool(r.pool).aside--
}

// recent counts the kept outcomes of the kind, with the weights of a tally.
func (r *record) recent(kind Kind, now tmclock.Millis) counts {
	var c counts
	for _, o := range r.last[:min(r.count, outcomesKept)] {
		if o.kind != kind {
			continue
		}
		w := decay(now.Sub(o.at))
		c.ran += w
		if o.failed {
			c.failed += w
		}
	}
	return c
}

func (r *record) add(o outcome) {
	r.last[r.count%outcomesKept] = o
	r.count++
}
