package tmroute

import (
	"maps"
	"slices"

	"turmericmoor/core/tmclock"
)

// minReportedWeight is the weight from which a single failure is enough to eject
// an endpoint that another entry has ejected. It is the mean weight that each of
// minConsecutiveFailures failures needs without such a report.
const minReportedWeight = minConsecutiveWeight / minConsecutiveFailures

// SetReport records which endpoints another entry has ejected on its own
// evidence, and replaces the previous report of that entry. A report alone
// doesn't eject an endpoint: it lowers the number of failures that this entry
// has to see from three in a row to one. That failure may also be the last
// outcome before the report. Once probes of this entry have restored the endpoint,
// reports of the endpoint have no effect until no entry reports it any more.
func (h *Health) SetReport(peer string, endpoints []string) {
	if len(endpoints) == 0 {
		delete(h.reports, peer)
	} else {
		h.reports[peer] = slices.Clone(endpoints)
	}
	for name, r := range h.endpoints {
		if r.reportDisproved && !h.isReported(name) {
			r.reportDisproved = false
		}
	}
	now := h.clock.Now()
	for _, name := range endpoints {
		r, ok := h.endpoints[name]
		if !ok || r.ejected || r.count == 0 || !h.canEject(r.pool) {
			continue
		}
		last := r.outcomes[(r.count-1)%outcomeWindow]
		if last.failed && now.Sub(last.at) <= maxOutcomeAge && h.confirmsReport(name, r, last.kind, now) {
			r.failing, r.ejectedByReport = true, true
			h.eject(r, now)
		}
	}
}

// FailingEndpoints returns the endpoints that this entry has ejected because of
// failed tasks, sorted by name. It omits endpoints whose ejection needed the
// report of another entry. Otherwise entries would repeat each other's reports,
// and no report would ever end.
func (h *Health) FailingEndpoints() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(h.endpoints)) {
		if r := h.endpoints[name]; r.failing && !r.ejectedByReport {
			names = append(names, name)
		}
	}
	return names
}

// confirmsReport reports whether a failure of the kind at this entry, together
// with the report of another entry, is enough to eject the endpoint.
func (h *Health) confirmsReport(endpoint string, r *endpointRecord, kind Kind, now tmclock.Millis) bool {
	return !r.reportDisproved && h.isReported(endpoint) && 1-h.failureRateElsewhere(r, kind, now) >= minReportedWeight
}

func (h *Health) isReported(endpoint string) bool {
	for _, names := range h.reports {
		if slices.Contains(names, endpoint) {
			return true
		}
	}
	return false
}
