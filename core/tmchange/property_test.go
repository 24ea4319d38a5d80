package tmchange

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmfleet"
)

// pick returns a number from 0 to n-1.
type pick func(n int) int

func (p pick) zone() string     { return fmt.Sprintf("z%d", p(3)) }
func (p pick) pool() string     { return fmt.Sprintf("p%d", p(3)) }
func (p pick) instance() string { return fmt.Sprintf("i%d", p(14)) }

// change returns an arbitrary change of the kinds that matter for budgets.
func (p pick) change() Change {
	switch p(12) {
	case 0:
		return ZoneOut{p.zone()}
	case 1:
		return ZoneIn{p.zone()}
	case 2:
		return SetBudget{p.pool(), 1 + p(3)}
	case 3, 4:
		return MoveInstance{p.instance(), p.pool()}
	case 5:
		return FinishMove{p.instance()}
	case 6:
		return MarkLeaving{p.instance()}
	case 7, 8:
		return MarkDraining{p.instance()}
	case 9:
		return MarkRebooting{p.instance()}
	case 10:
		return MarkServing{p.instance()}
	}
	if p(3) == 0 {
		return RemovePool{p.pool()}
	}
	if p(2) == 0 {
		return RemoveInstance{p.instance()}
	}
	n := p(14)
	return AddInstance{fmt.Sprintf("i%d", n), fmt.Sprintf("127.0.0.1:%d", 9000+n), p.zone(), "r1", p.pool(), 8}
}

func startState(t assert.TestingT) tmfleet.State {
	var changes []Change
	for i := range 3 {
		changes = append(changes, AddZone{fmt.Sprintf("z%d", i), "west"}, AddPool{fmt.Sprintf("p%d", i), 1 + i%2})
	}
	for i := range 12 {
		changes = append(changes, AddInstance{fmt.Sprintf("i%d", i), fmt.Sprintf("127.0.0.1:%d", 9000+i), fmt.Sprintf("z%d", i/4), "r1", fmt.Sprintf("p%d", i%3), 8})
	}
	config, err := Apply(tmfleet.State{}, AllLive, changes)
	assert.NilError(t, err)
	return tmfleet.State{}.Next("start", config)
}

// violation judges one accepted request without using the rules of the
// package. Between two versions, an instance that became unavailable on purpose
// must leave its pool within its budget, and those that are unavailable on
// purpose are always within it.
func violation(before, after tmfleet.Config, dead map[string]bool) string {
	unavailable := map[string]int{}
	onPurposeIn := map[string]int{}
	planned := map[string]bool{}
	for name, in := range after.Instances().All() {
		pools := 0
		for pool := range after.Pools().All() {
			if in.Pool() == pool {
				pools++
			}
		}
		if pools != 1 {
			return fmt.Sprintf("%s is in %d existing pools", name, pools)
		}
		zone, _ := after.Zones().Get(in.Zone())
		onPurpose := in.Duty() != tmfleet.Serving || in.MoveTo() != ""
		if onPurpose || zone.OutOfService() || dead[name] {
			unavailable[in.Pool()]++
		}
		if onPurpose {
			onPurposeIn[in.Pool()]++
		}
		old, existed := before.Instances().Get(name)
		if onPurpose && (!existed || old.Pool() != in.Pool() || (old.Duty() == tmfleet.Serving && old.MoveTo() == "")) {
			planned[in.Pool()] = true
		}
	}
	for name := range before.Instances().All() {
		old, _ := before.Instances().Get(name)
		if !after.Instances().Has(name) && old.Duty() != tmfleet.Leaving && !dead[name] {
			return name + " was removed while it served"
		}
	}
	for pool, n := range onPurposeIn {
		p, _ := after.Pools().Get(pool)
		if n > p.Budget().MaxUnavailable() {
			return fmt.Sprintf("%d instances of %s unavailable on purpose, budget %d", n, pool, p.Budget().MaxUnavailable())
		}
	}
	for pool := range planned {
		p, _ := after.Pools().Get(pool)
		if unavailable[pool] > p.Budget().MaxUnavailable() {
			return fmt.Sprintf("%d instances of %s unavailable, budget %d", unavailable[pool], pool, p.Budget().MaxUnavailable())
		}
	}
	return ""
}

// run applies requests and returns the first violation, and how many requests
// were accepted.
func run(t assert.TestingT, p pick, o options) (string, int) {
	s := startState(t)
	accepted := 0
	dead := map[string]bool{}
	live := func(name string) bool { return !dead[name] }
	for range 30 {
		if p(4) == 0 {
			name := p.instance()
			dead[name] = !dead[name]
		}
		changes := make([]Change, 0, 4)
		for range 1 + p(4) {
			changes = append(changes, p.change())
		}
		config, err := apply(s, live, changes, o)
		if err != nil {
			continue
		}
		accepted++
		if v := violation(s.Config(), config, dead); v != "" {
			return fmt.Sprintf("%s after %#v", v, changes), accepted
		}
		s = s.Next("", config)
	}
	return "", accepted
}

// Guards against a mix of changes that makes more instances unavailable than a
// budget permits, or leaves an instance outside the existing pools.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if v, _ := run(t, p, options{}); v != "" {
			t.Fatal(v)
		}
	})
}

// Guards against a property that can't fail: without the budget check, or with
// requests that are never accepted, it has to be noticed.
func TestBudgetsNegativeControl(t *testing.T) {
	const seeds = 50
	violations, accepted := 0, 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		if v, _ := run(t, r.IntN, options{skipBudget: true}); v != "" {
			violations++
		}
		_, n := run(t, r.IntN, options{})
		accepted += n
	}
	t.Logf("%d of %d seeds violate a budget without the check; %d requests accepted with it", violations, seeds, accepted)
	assert.Assert(t, violations > 0)
	assert.Assert(t, accepted > seeds)
}
