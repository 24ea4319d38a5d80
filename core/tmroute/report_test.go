package tmroute

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// exchangeReports sends the failing endpoints of each entry to all others.
func exchangeReports(entries []*fleet) {
	for i, from := range entries {
		for j, to := range entries {
			if i != j {
				to.health.SetReport(fmt.Sprintf("e%d", i), from.health.FailingEndpoints())
			}
		}
	}
}

// failuresUntilEjected runs tasks at 9 entries, one after another, until all have
// ejected w7. It returns the number of tasks that failed at w7. Unless inPhase is
// set, the entries start at different points of their random sequences.
func failuresUntilEjected(t *testing.T, reports, inPhase bool) int {
	entries := make([]*fleet, 9)
	for i := range entries {
		entries[i] = newFleet(t, 10)
		for range 7 * i {
			if !inPhase {
				entries[i].run(t, Kind{Team: "a", Queue: "q"}, func(string, Kind) bool { return false })
			}
		}
	}
	fails := func(endpoint string, _ Kind) bool { return endpoint == "w7" }
	failed := 0
	for ejected := 0; ejected < len(entries); {
		ejected = 0
		for _, e := range entries {
			if e.health.Ejected("w7") {
				ejected++
				continue
			}
			if e.run(t, Kind{Team: "a", Queue: "q"}, fails) == "w7" {
				failed++
			}
			if reports {
				exchangeReports(entries)
			}
		}
	}
	return failed
}

// TestReportsReduceFailures guards against reports that have no effect, so that
// each entry needs its own three failures: 27 tasks at 9 entries.
func TestReportsReduceFailures(t *testing.T) {
	for _, inPhase := range []bool{false, true} {
		without, with := failuresUntilEjected(t, false, inPhase), failuresUntilEjected(t, true, inPhase)
		t.Logf("in phase %v: %d tasks failed without reports, %d with them", inPhase, without, with)
		assert.Equal(t, without, 27)
		// In phase, two tasks have failed at each entry by the time the first
		// entry ejects the endpoint.
		assert.Assert(t, with <= 19, "%d tasks failed with reports", with)
	}
}

// TestWrongReportIsDisprovedByProbes guards against a wrong report that ejects a
// healthy endpoint without a failure, keeps it ejected after its probes have
// passed, ejects it repeatedly, or is passed on to other entries.
func TestWrongReportIsDisprovedByProbes(t *testing.T) {
	f := newFleet(t, 10)
	f.health.SetReport("peer", []string{"w7"})
	kind := Kind{Team: "a", Queue: "q"}
	assert.Assert(t, !f.health.Ejected("w7"), "a report alone ejected the endpoint")
	assert.Assert(t, f.health.RecordOutcome("w7", kind, true))
	assert.Equal(t, len(f.health.FailingEndpoints()), 0, "the report was passed on")
	since := f.clock.Now()
	succeeds := func(string, Kind) bool { return false }
	for f.health.Ejected("w7") {
		f.run(t, kind, succeeds)
		assert.Assert(t, f.clock.Now().Sub(since) < 3000, "the endpoint is still ejected after 3 s")
	}
	f.health.SetReport("peer", []string{"w7"})
	assert.Assert(t, !f.health.RecordOutcome("w7", kind, true), "a report that probes have disproved was used again")
	f.health.SetReport("peer", nil)
	f.health.SetReport("peer", []string{"w7"})
	assert.Assert(t, f.health.RecordOutcome("w7", kind, true), "a new report was ignored")
}
