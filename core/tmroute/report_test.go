package tmroute

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// exchangeReports lets each entry tell the others what it has set aside.
func exchangeReports(entries []*fleet) {
	for i, from := range entries {
		for j, to := range entries {
			if i != j {
				to.health.Reported(fmt.Sprintf("e%d", i), from.health.Failing())
			}
		}
	}
}

// entriesUntilAside runs tasks at 9 entries in turn until all have set w7
// aside, and returns the tasks that w7 failed.
func entriesUntilAside(t *testing.T, reports, inStep bool) int {
	entries := make([]*fleet, 9)
	for i := range entries {
		entries[i] = newFleet(t, 10)
		for range 7 * i {
			if !inStep {
				entries[i].run(t, Kind{Team: "a", Queue: "q"}, func(string, Kind) bool { return false })
			}
		}
	}
	bad := func(endpoint string, _ Kind) bool { return endpoint == "w7" }
	failed := 0
	for aside := 0; aside < len(entries); {
		aside = 0
		for _, e := range entries {
			if e.health.Aside("w7") {
				aside++
				continue
			}
			if e.run(t, Kind{Team: "a", Queue: "q"}, bad) == "w7" {
				failed++
			}
			if reports {
				exchangeReports(entries)
			}
		}
	}
	return failed
}

// Guards against entries that all need their own three failures: 27 tasks at 9
// entries.
func TestReportsSaveFailures(t *testing.T) {
	for _, inStep := range []bool{false, true} {
		alone, together := entriesUntilAside(t, false, inStep), entriesUntilAside(t, true, inStep)
		t.Logf("in step %v: %d tasks failed without reports, %d with them", inStep, alone, together)
		assert.Equal(t, alone, 27)
		// In step, each has failed twice when the first one has judged.
		assert.Assert(t, together <= 19, "%d tasks with reports", together)
	}
}

// Guards against a wrong report that takes a healthy endpoint out of an entry
// for longer than its probe, at once or again and again, and that spreads.
func TestWrongReportEndsWithTheProbe(t *testing.T) {
	f := newFleet(t, 10)
	f.health.Reported("liar", []string{"w7"})
	kind := Kind{Team: "a", Queue: "q"}
	assert.Assert(t, !f.health.Aside("w7"), "a report alone sets an endpoint aside")
	assert.Assert(t, f.health.Ended("w7", kind, true))
	assert.Equal(t, len(f.health.Failing()), 0, "a report is repeated")
	since := f.clock.Now()
	fine := func(string, Kind) bool { return false }
	for f.health.Aside("w7") {
		f.run(t, kind, fine)
		assert.Assert(t, f.clock.Now().Sub(since) < 3000, "the endpoint is aside after 3 s")
	}
	f.health.Reported("liar", []string{"w7"})
	assert.Assert(t, !f.health.Ended("w7", kind, true), "a report that probes have disproved counts again")
	f.health.Reported("liar", nil)
	f.health.Reported("liar", []string{"w7"})
	assert.Assert(t, f.health.Ended("w7", kind, true), "a new report doesn't count")
}
