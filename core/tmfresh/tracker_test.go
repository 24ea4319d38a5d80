package tmfresh

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmclock"
)

// fixedSeed makes runs reproducible. With TM_FRESH_SEEDS=1 rapid chooses a seed
// and prints it when a run fails.
const fixedSeed = "20261204"

// checks is the number of runs. It is large enough to detect each disabled rule
// several times; see TestEachRuleIsNeeded.
const checks = "3000"

func TestMain(m *testing.M) {
	flag.Parse()
	if os.Getenv("TM_FRESH_SEEDS") == "" && flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", fixedSeed)
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", checks)
	}
	fmt.Println("rapid.seed:", flag.Lookup("rapid.seed").Value, "(0: chosen at run time)")
	os.Exit(m.Run())
}

func run(sim *simulation, list []step) error {
	for i, s := range list {
		if err := sim.apply(s); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

// Guards against an entry that acts on an old version after a later one was
// accepted, under any order of message loss, duplication and delay, pauses,
// crashes and membership changes.
func TestNoFreshEntryUsesVersionBelowAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(0, false, rapid.IntRange(1, 4).Draw(t, "entries")).startNonMember()
		if err := run(sim, steps().Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a version that never comes into force, and against entries
// that never become fresh, once messages arrive again while one member is
// silent and not known to be gone.
func TestWrittenVersionIsInForceWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(0, false, 4)
		sim.messages = nil
		writer, silent := sim.entries[0], sim.entries[3]
		changes := rapid.IntRange(1, 12).Draw(t, "changes")
		for range changes {
			sim.write(writer, writer.State().Config(), writer.State().Members(), false, 1)
			sim.advance(int64(rapid.IntRange(0, 1500).Draw(t, "pause")))
		}
		written := sim.current().Version()
		for waited := tmclock.Span(0); writer.InForceVersion() < written; waited += HeartbeatInterval {
			if waited > ConfirmTimeout {
				t.Fatalf("version %d is not in force after %v", written, waited)
			}
			sim.heartbeatRound(silent)
		}
		for _, e := range sim.entries {
			if e.Fresh() != (e != silent) {
				t.Fatalf("%s: fresh is %v", e.name, e.Fresh())
			}
		}
	})
}

// heartbeatRound advances the clocks by one heartbeat interval and lets all but
// the silent entry install the current version and exchange heartbeats.
func (sim *simulation) heartbeatRound(silent *entry) {
	sim.advance(int64(HeartbeatInterval))
	for _, a := range sim.entries {
		for _, b := range sim.entries {
			if a != silent && b != silent {
				a.Install(sim.current())
				sim.exchange(a, b)
			}
		}
	}
}

// Guards against a property test that can't fail: disabling any one rule must
// lead to a violation.
func TestEachRuleIsNeeded(t *testing.T) {
	for name, disabled := range map[string]ruleSet{
		"expiry wait":    ruleExpiryWait,
		"request time":   ruleRequestTime,
		"answer version": ruleAnswerVersion,
		"table version":  ruleTableVersion,
		"majority":       ruleMajority,
		"previous":       rulePreviousMembers,
		"members only":   ruleMembersOnly,
		"in force":       0,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			size := 3
			if disabled == ruleMajority {
				size = 5
			}
			for seed := range 20000 {
				sim := newSimulation(disabled, disabled == 0, size).startNonMember()
				if err := run(sim, steps().Example(seed)); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// Guards against an entry that removes the others although it was paused or is
// partitioned itself, and against a silent member that is never reported.
func TestSilentMembers(t *testing.T) {
	sim := newSimulation(0, false, 3)
	a, b, c := sim.entries[0], sim.entries[1], sim.entries[2]
	for range 21 {
		sim.advance(int64(HeartbeatInterval))
		sim.exchange(a, b)
		a.Fresh()
	}
	silent := a.SilentMembers(RemovalTimeout)
	assert.Equal(t, len(silent), 1)
	assert.Equal(t, silent[0].Name(), c.name)
	c.Fresh()
	assert.Equal(t, len(c.SilentMembers(RemovalTimeout)), 0, "partitioned itself")
	sim.advance(int64(30 * tmclock.Second))
	sim.exchange(a, b)
	assert.Equal(t, len(a.SilentMembers(RemovalTimeout)), 0, "just paused")
	c.alive = false
	a.MemberGone(c.name)
	a.MemberGone("stranger")
	assert.Equal(t, len(a.GoneMembers()), 1)
}
