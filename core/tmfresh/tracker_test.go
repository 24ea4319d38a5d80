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

// fixedSeed makes runs repeatable. TM_FRESH_SEEDS=1 lets rapid choose a seed,
// which it prints when a run fails.
const fixedSeed = "20261204"

// checks is enough to find each switched-off rule several times over; see
// TestEachRuleIsNeeded.
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

func run(f *fleet, list []step) error {
	for i, s := range list {
		if err := f.apply(s); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
	}
	return nil
}

// Guards against an entry that acts on an old version after a later one was
// accepted, under any order of loss, doubling, delay, pauses, crashes and
// membership changes.
func TestNoFreshEntryIsBehindTheAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(0, false, rapid.IntRange(1, 4).Draw(t, "entries")).bootJoiner()
		if err := run(f, steps().Draw(t, "steps")); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a version that never gets in force, and against entries that
// stay without freshness, once messages arrive again while one member is
// silent and not known to be gone.
func TestWrittenVersionIsInForceWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(0, false, 4)
		f.messages = nil
		writer, silent := f.entries[0], f.entries[3]
		changes := rapid.IntRange(1, 12).Draw(t, "changes")
		for range changes {
			f.write(writer, writer.State().Config(), writer.State().Members(), false, 1)
			f.advance(int64(rapid.IntRange(0, 1500).Draw(t, "pause")))
		}
		written := f.current().Version()
		for waited := tmclock.Span(0); writer.InForceVersion() < written; waited += HeartbeatEvery {
			if waited > ConfirmWithin {
				t.Fatalf("version %d is not in force after %v", written, waited)
			}
			f.round(silent)
		}
		for _, e := range f.entries {
			if e.Fresh() != (e != silent) {
				t.Fatalf("%s: fresh is %v", e.name, e.Fresh())
			}
		}
	})
}

// round lets half a second pass in which all but the silent entry learn the
// current version and exchange heartbeats.
func (f *fleet) round(silent *entry) {
	f.advance(int64(HeartbeatEvery))
	for _, a := range f.entries {
		for _, b := range f.entries {
			if a != silent && b != silent {
				a.Install(f.current())
				f.exchange(a, b)
			}
		}
	}
}

// Guards against a property test that finds nothing: each rule that is
// switched off must lead to a violation.
func TestEachRuleIsNeeded(t *testing.T) {
	for name, off := range map[string]ruleSet{
		"force wait":     ruleForceWait,
		"question time":  ruleQuestionTime,
		"answer version": ruleAnswerVersion,
		"table version":  ruleTableVersion,
		"majority":       ruleMajority,
		"previous":       rulePrevious,
		"members only":   ruleMembersOnly,
		"in force":       0,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			size := 3
			if off == ruleMajority {
				size = 5
			}
			for seed := range 20000 {
				f := newFleet(off, off == 0, size).bootJoiner()
				if err := run(f, steps().Example(seed)); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("no violation found")
		})
	}
}

// Guards against removal of the others by an entry that was paused or is cut
// off itself, and against a silent member that is never reported.
func TestSilentMembers(t *testing.T) {
	f := newFleet(0, false, 3)
	a, b, c := f.entries[0], f.entries[1], f.entries[2]
	for range 21 {
		f.advance(int64(HeartbeatEvery))
		f.exchange(a, b)
		a.Fresh()
	}
	silent := a.SilentMembers(SilenceBeforeRemoval)
	assert.Equal(t, len(silent), 1)
	assert.Equal(t, silent[0].Name(), c.name)
	c.Fresh()
	assert.Equal(t, len(c.SilentMembers(SilenceBeforeRemoval)), 0, "cut off itself")
	f.advance(int64(30 * tmclock.Second))
	f.exchange(a, b)
	assert.Equal(t, len(a.SilentMembers(SilenceBeforeRemoval)), 0, "just paused")
	c.alive = false
	a.MemberGone(c.name)
	a.MemberGone("stranger")
	assert.Equal(t, len(a.GoneMembers()), 1)
}
