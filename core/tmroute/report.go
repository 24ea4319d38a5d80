package tmroute

import (
	"maps"
	"slices"

	"turmericmoor/core/tmclock"
)

// blameReported is the blame that one failure needs at an endpoint which another
// entry has set aside: the mean of what failures in a row need.
const blameReported = blameInRow / failuresInRow

// Reported records which endpoints another entry has set aside by its own
// evidence; it replaces what that entry reported before. A report alone sets no
// endpoint aside: it makes one own failure enough, instead of three in a row,
// also when that was the last thing that ended there before the report.
// Once probes of this entry have passed, the endpoint needs full evidence again
// until no entry reports it any more.
func (h *Health) Reported(peer string, endpoints []string) {
	if len(endpoints) == 0 {
		delete(h.reports, peer)
	} else {
		h.reports[peer] = slices.Clone(endpoints)
	}
	for name, r := range h.endpoints {
		if r.disproved && !h.reported(name) {
			r.disproved = false
		}
	}
	now := h.clock.Now()
	for _, name := range endpoints {
		r, ok := h.endpoints[name]
		if !ok || r.aside || r.count == 0 || !h.mayLose(r.pool) {
			continue
		}
		last := r.last[(r.count-1)%outcomesKept]
		if last.failed && now.Sub(last.at) <= outcomeAge && h.confirms(name, r, last.kind, now) {
			r.failing, r.onReport = true, true
			h.setAside(r, now)
		}
	}
}

// Failing returns the endpoints that this entry has set aside because of tasks
// that failed, in order of name. Those set aside on a report are left out:
// entries that repeat each other's reports would keep them alive.
func (h *Health) Failing() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(h.endpoints)) {
		if r := h.endpoints[name]; r.failing && !r.onReport {
			names = append(names, name)
		}
	}
	return names
}

// confirms reports whether a failure that this entry has seen and the report of
// another one are enough together.
func (h *Health) confirms(endpoint string, r *record, kind Kind, now tmclock.Millis) bool {
	return !r.disproved && h.reported(endpoint) && 1-h.rateElsewhere(r, kind, now) >= blameReported
}

func (h *Health) reported(endpoint string) bool {
	for _, names := range h.reports {
		if slices.Contains(names, endpoint) {
			return true
		}
	}
	return false
}
