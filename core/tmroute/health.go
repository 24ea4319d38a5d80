package tmroute

import (
	"math/rand/v2"

	"turmericmoor/core/tmclock"
)

// Health ejects endpoints at which tasks fail and probes them with exponential
// backoff until they can be restored. An ejected endpoint gets only probes, which
// are single tasks that test it. A failure is weighted by the success rate of the
// same kind of task at other endpoints, so that a faulty job doesn't eject any
// endpoint. At most half of a pool is ejected; if more endpoints fail, the cause
// is assumed to lie outside the endpoints.
type Health struct {
	clock     tmclock.Clock
	backoff   Backoff
	rng       *rand.Rand
	endpoints map[string]*endpointRecord
	pools     map[string]*poolHealth
	kinds     map[Kind]*decayingCounts
	// reports has the endpoints that other entries have ejected, by entry.
	reports map[string][]string
}

// Kind identifies the tasks whose failure rates are compared across endpoints.
type Kind struct {
	Team, Queue string
}

// poolHealth counts the endpoints of a pool and those of them that are ejected.
type poolHealth struct {
	size, ejected int
}

// endpointRecord has the recent outcomes and the ejection state of one endpoint.
type endpointRecord struct {
	pool string
	// outcomes is a ring buffer; count is the number of outcomes added to it
	// since the endpoint was last restored.
	outcomes  [outcomeWindow]outcome
	count     int
	ejected   bool
	leaseLost bool
	// failing is whether the endpoint was ejected because of failed tasks.
	failing     bool
	probeActive bool
	// probeAfter is the time of the next probe or, for an endpoint ejected only
	// because its lease was lost, the earliest time at which it is restored.
	probeAfter   tmclock.Millis
	backoffLevel int
	probesPassed int
	// ejectedByReport is whether the ejection needed the report of another
	// entry.
	ejectedByReport bool
	// reportDisproved is whether probes have restored the endpoint while another
	// entry reported it as ejected.
	reportDisproved bool
}

type outcome struct {
	kind   Kind
	failed bool
	at     tmclock.Millis
}

// Thresholds for ejecting and restoring an endpoint. A single entry needs three
// consecutive failures because several entries decide independently. The window
// of ten outcomes follows from the target in section 1.2 of the design page.
const (
	outcomeWindow          = 10
	minConsecutiveFailures = 3
	minConsecutiveWeight   = 2.4
	minWindowWeight        = 6.0
	maxOutcomeAge          = 60 * tmclock.Second
	probesToRestore        = 2
	// nonIdempotentProbeDelay is the additional delay before an endpoint is
	// probed with a non-idempotent task, which can't be retried.
	nonIdempotentProbeDelay = 10 * tmclock.Second
	// minOutcomesElsewhere is the number of outcomes at other endpoints below
	// which the failure rate at those endpoints is scaled down.
	minOutcomesElsewhere = 2.0
)

// NewHealth returns a Health without endpoints.
func NewHealth(clock tmclock.Clock, rng *rand.Rand) *Health {
	return &Health{
		clock:     clock,
		backoff:   Backoff{Base: 1 * tmclock.Second, Max: 60 * tmclock.Second},
		rng:       rng,
		endpoints: map[string]*endpointRecord{},
		pools:     map[string]*poolHealth{},
		kinds:     map[Kind]*decayingCounts{},
		reports:   map[string][]string{},
	}
}

// RecordOutcome records how a task ended at the endpoint. Failed is true for an
// invalid or missing answer and for a task that ran and failed, but not for a
// refusal. It reports whether the endpoint is ejected now.
func (h *Health) RecordOutcome(endpoint string, kind Kind, failed bool) bool {
	r, ok := h.endpoints[endpoint]
	if !ok {
		return false
	}
	now := h.clock.Now()
	addOutcome(h.kinds, kind, failed, now)
	r.add(outcome{kind: kind, failed: failed, at: now})
	if r.ejected {
		h.recordProbe(r, kind, failed, now)
		r.reportDisproved = !r.ejected && h.isReported(endpoint)
		return r.ejected
	}
	if !failed || !h.canEject(r.pool) {
		return false
	}
	isOutlier := h.isOutlier(r, now)
	if isOutlier || h.confirmsReport(endpoint, r, kind, now) {
		r.failing, r.ejectedByReport = true, !isOutlier
		h.eject(r, now)
	}
	return r.ejected
}

// LeaseLost records that the connection or the lease of an endpoint has failed,
// and ejects the endpoint at least until the lease is renewed.
func (h *Health) LeaseLost(endpoint string) {
	r, ok := h.endpoints[endpoint]
	if !ok || r.leaseLost {
		return
	}
	r.leaseLost = true
	if !r.ejected {
		h.eject(r, h.clock.Now())
	}
	r.backoffLevel++
}

// LeaseRenewed records that the lease of an endpoint was renewed. It restores an
// endpoint that was ejected only because its lease was lost, if the backoff delay
// since the loss has passed.
func (h *Health) LeaseRenewed(endpoint string) {
	r, ok := h.endpoints[endpoint]
	if !ok || !r.leaseLost || h.clock.Now().Before(r.probeAfter) {
		return
	}
	r.leaseLost = false
	if !r.failing {
		h.restore(r)
	}
}

// Ejected reports whether the endpoint is ejected. It then gets only probes.
func (h *Health) Ejected(endpoint string) bool {
	r, ok := h.endpoints[endpoint]
	return ok && r.ejected
}

// ProbeDue reports whether an ejected endpoint may be given one task as a probe
// now.
func (h *Health) ProbeDue(endpoint string, idempotent bool) bool {
	r, ok := h.endpoints[endpoint]
	if !ok || !r.failing || r.leaseLost || r.probeActive {
		return false
	}
	probeAfter := r.probeAfter
	if !idempotent {
		probeAfter = probeAfter.Add(nonIdempotentProbeDelay)
	}
	return !h.clock.Now().Before(probeAfter)
}

// cancelProbe ends the active probe of the endpoint without an outcome.
func (h *Health) cancelProbe(endpoint string) {
	if r, ok := h.endpoints[endpoint]; ok {
		r.probeActive = false
	}
}

func (h *Health) startProbe(endpoint string) { h.endpoints[endpoint].probeActive = true }

func (h *Health) add(endpoint, pool string) {
	r, ok := h.endpoints[endpoint]
	if ok && r.pool == pool {
		return
	}
	if ok {
		h.remove(endpoint)
	}
	h.endpoints[endpoint] = &endpointRecord{pool: pool}
	h.pool(pool).size++
}

func (h *Health) remove(endpoint string) {
	r, ok := h.endpoints[endpoint]
	if !ok {
		return
	}
	p := h.pool(r.pool)
	p.size--
	if r.ejected {
		p.ejected--
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

// canEject reports whether one more endpoint of the pool may be ejected.
func (h *Health) canEject(pool string) bool {
	p := h.pool(pool)
	return 2*(p.ejected+1) <= p.size
}

// isOutlier reports whether the recent failures are enough to eject the
// endpoint. Each failure is weighted by the success rate of its kind at other
// endpoints.
func (h *Health) isOutlier(r *endpointRecord, now tmclock.Millis) bool {
	streak, streakWeight, totalWeight := 0, 0.0, 0.0
	inStreak := true
	for i := range min(r.count, outcomeWindow) {
		o := r.outcomes[(r.count-1-i)%outcomeWindow]
		if now.Sub(o.at) > maxOutcomeAge {
			break
		}
		inStreak = inStreak && o.failed
		if !o.failed {
			continue
		}
		weight := 1 - h.failureRateElsewhere(r, o.kind, now)
		totalWeight += weight
		if inStreak {
			streak++
			streakWeight += weight
		}
	}
	return streak >= minConsecutiveFailures && streakWeight >= minConsecutiveWeight || totalWeight >= minWindowWeight
}

// failureRateElsewhere estimates the failure rate of the kind at all other
// endpoints. It is 0 when there are no outcomes.
func (h *Health) failureRateElsewhere(r *endpointRecord, kind Kind, now tmclock.Millis) float64 {
	all := countsAt(h.kinds[kind], now)
	own := r.ownCounts(kind, now)
	ran := max(all.ran-own.ran, 0)
	failed := min(max(all.failed-own.failed, 0), ran)
	if ran == 0 {
		return 0
	}
	return failed / max(ran, minOutcomesElsewhere)
}

func (h *Health) recordProbe(r *endpointRecord, kind Kind, failed bool, now tmclock.Millis) {
	if !r.probeActive {
		return
	}
	r.probeActive = false
	switch {
	case !failed:
		r.probesPassed++
	case h.failureRateElsewhere(r, kind, now) < 0.5:
		r.probesPassed = 0
		r.ejectedByReport = false
		r.backoffLevel++
		r.probeAfter = now.Add(h.backoff.Delay(r.backoffLevel, h.rng))
	}
	if r.probesPassed >= probesToRestore {
		h.restore(r)
	}
}

func (h *Health) eject(r *endpointRecord, now tmclock.Millis) {
	r.ejected, r.probeActive, r.probesPassed = true, false, 0
	r.probeAfter = now.Add(h.backoff.Delay(r.backoffLevel, h.rng))
	h.pool(r.pool).ejected++
}

// restore ends the ejection of the endpoint. It lowers the backoff level by only
// one, so that an endpoint whose probes or leases have failed before is ejected
// for longer the next time.
func (h *Health) restore(r *endpointRecord) {
	r.ejected, r.failing, r.probeActive, r.probesPassed = false, false, false, 0
	r.ejectedByReport = false
	r.count = 0
	r.backoffLevel = max(0, r.backoffLevel-1)
	h.pool(r.pool).ejected--
}

// ownCounts counts the endpoint's outcomes of the kind that are in the window,
// with the same decay as decayingCounts.
func (r *endpointRecord) ownCounts(kind Kind, now tmclock.Millis) counts {
	var c counts
	for _, o := range r.outcomes[:min(r.count, outcomeWindow)] {
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

func (r *endpointRecord) add(o outcome) {
	r.outcomes[r.count%outcomeWindow] = o
	r.count++
}
