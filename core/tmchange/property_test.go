package tmchange

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericmoor/core/tmfleet"
)

// intN returns an arbitrary number from 0 to n-1.
type intN func(n int) int

func (p intN) zone() string     { return fmt.Sprintf("z%d", p(3)) }
func (p intN) pool() string     { return fmt.Sprintf("p%d", p(3)) }
func (p intN) instance() string { return fmt.Sprintf("i%d", p(14)) }

// change returns an arbitrary change of a kind that affects budgets.
func (p intN) change() Change {
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

// violation checks one accepted request independently of the package's own
// rules and describes the first violation, or returns "". A pool in which an
// instance newly became unavailable by plan must be within its budget, and the
// number of instances that are unavailable by plan must never exceed it.
func violation(before, after tmfleet.Config, notLive map[string]bool) string {
	unavailable := map[string]int{}
	plannedCount := map[string]int{}
	newlyPlanned := map[string]bool{}
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
		isPlanned := in.Duty() != tmfleet.Serving || in.MoveTo() != ""
		if isPlanned || zone.OutOfService() || notLive[name] {
			unavailable[in.Pool()]++
		}
		if isPlanned {
			plannedCount[in.Pool()]++
		}
		old, existed := before.Instances().Get(name)
		if isPlanned && (!existed || old.Pool() != in.Pool() || (old.Duty() == tmfleet.Serving && old.MoveTo() == "")) {
			newlyPlanned[in.Pool()] = true
		}
	}
	for name := range before.Instances().All() {
		old, _ := before.Instances().Get(name)
		if !after.Instances().Has(name) && old.Duty() != tmfleet.Leaving && !notLive[name] {
			return name + " was removed while it served"
		}
	}
	for pool, n := range plannedCount {
		p, _ := after.Pools().Get(pool)
		if n > p.Budget().MaxUnavailable() {
			return fmt.Sprintf("%d instances of %s unavailable by plan, budget %d", n, pool, p.Budget().MaxUnavailable())
		}
	}
	for pool := range newlyPlanned {
		p, _ := after.Pools().Get(pool)
		if unavailable[pool] > p.Budget().MaxUnavailable() {
			return fmt.Sprintf("%d instances of %s unavailable, budget %d", unavailable[pool], pool, p.Budget().MaxUnavailable())
		}
	}
	return ""
}

// run applies 30 requests and returns the first violation and the number of
// accepted requests.
func run(t assert.TestingT, p intN, o options) (string, int) {
	s := startState(t)
	accepted := 0
	notLive := map[string]bool{}
	live := func(name string) bool { return !notLive[name] }
	for range 30 {
		if p(4) == 0 {
			name := p.instance()
			notLive[name] = !notLive[name]
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
		if v := violation(s.Config(), config, notLive); v != "" {
			return fmt.Sprintf("%s after %#v", v, changes), accepted
		}
		s = s.Next("", config)
	}
	return "", accepted
}

// Guards against a combination of changes that makes more instances unavailable
// than a budget permits, or leaves an instance outside the existing pools.
func TestBudgetsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		if v, _ := run(t, p, options{}); v != "" {
			t.Fatal(v)
		}
	})
}

// Guards against a property test that can't fail: it must find violations when
// the budget check is disabled, and requests must be accepted when it is enabled.
func TestBudgetsNegativeControl(t *testing.T) {
	const seeds = 50
	violations, accepted := 0, 0
	for seed := range uint64(seeds) {
		r := rand.New(rand.NewPCG(seed, 1))
		if v, _ := run(t, r.IntN, options{skipBudgetCheck: true}); v != "" {
			violations++
		}
		_, n := run(t, r.IntN, options{})
		accepted += n
	}
	t.Logf("%d of %d seeds violate a budget without the check; %d requests accepted with it", violations, seeds, accepted)
	assert.Assert(t, violations > 0)
	assert.Assert(t, accepted > seeds)
}
