package judge

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Budget is the availability budget of a pool with a fixed set of endpoints.
type Budget struct {
	Pool      string
	Endpoints []string
	// MaxUnavailable is how many of the endpoints may be out of service by plan.
	MaxUnavailable int
}

// checkBudgets finds the events after which more endpoints of a pool were drained
// or rebooting than its budget permits.
func checkBudgets(h History) []Violation {
	var all []Violation
	events := slices.Clone(h.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.AtMs, b.AtMs) })
	for _, b := range h.Budgets {
		unavailable := map[string]bool{}
		for _, ev := range events {
			if !slices.Contains(b.Endpoints, ev.Endpoint) {
				continue
			}
			switch ev.Kind {
			case "drain", "reboot":
				if unavailable[ev.Endpoint] {
					continue
				}
				unavailable[ev.Endpoint] = true
				if len(unavailable) > b.MaxUnavailable {
					all = append(all, Violation{Rule: BelowBudget, Detail: fmt.Sprintf(
						"%d endpoints of pool %s out of service at %d, at most %d permitted",
						len(unavailable), b.Pool, ev.AtMs, b.MaxUnavailable)})
				}
			case "undrain", "boot":
				delete(unavailable, ev.Endpoint)
			}
		}
	}
	return all
}

// Summary returns the number of submissions with each kind of result, one per
// line.
func Summary(list []Submission) string {
	counts := map[string]int{}
	for _, s := range list {
		switch {
		case s.Code == CodeOK:
			counts["done"]++
		case s.Outcome == NotRun:
			counts["refused as not run"]++
		case s.Outcome == Ran:
			counts["ran and failed"]++
		default:
			counts["outcome unknown"]++
		}
	}
	var b strings.Builder
	for _, kind := range []string{"done", "refused as not run", "ran and failed", "outcome unknown"} {
		fmt.Fprintf(&b, "%-18s %d\n", kind, counts[kind])
	}
	return b.String()
}
