package tmwave

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/internal/tmseed"
)

func TestMain(m *testing.M) { tmseed.Main(m) }

// simulate runs a wave for 600 steps with faults and then without them until it
// ends.
func simulate(seed uint64, c simConfig) (Progress, error) {
	sim := newSimulation(seed, c, 2, 8, 2, 2)
	for range 600 {
		sim.step()
		if sim.err != nil {
			return sim.row.progress, sim.err
		}
	}
	sim.c.noFaults = true
	for i := 0; i < 6000 && !sim.row.progress.Ended(); i++ {
		sim.step()
	}
	for range 30 {
		sim.step()
	}
	if !sim.row.progress.Ended() {
		sim.fail("the wave has not ended: %v", sim.row.progress.instances)
	}
	for name, in := range sim.cfg.Instances().All() {
		if m, _ := sim.row.progress.instances.Get(name); m.Phase != Failed && in.Duty() != tmfleet.Serving {
			sim.fail("%s still has duty %v in phase %v after the wave ended", name, in.Duty(), m.Phase)
		}
	}
	return sim.row.progress, sim.err
}

// TestWaveUnderFaults guards against drains that exceed a budget or span two
// zones or racks of a pool, against reboots that interrupt tasks, and against
// waves that never end or leave instances drained.
func TestWaveUnderFaults(t *testing.T) {
	seed := tmseed.First()
	counts := map[Phase]int{}
	for i := range uint64(400) {
		p, err := simulate(seed+i, simConfig{})
		if err != nil {
			t.Fatalf("seed %d: %v", seed+i, err)
		}
		for _, m := range p.ByInstance().All() {
			counts[m.Phase]++
		}
	}
	t.Logf("instances by phase: %v", counts)
	assert.Assert(t, counts[Done] > 400*16*9/10, "too few instances were maintained for a meaningful test")
}

// TestNegativeControls guards against a simulation that can't detect violations:
// it must find one whenever a rule is disabled.
func TestNegativeControls(t *testing.T) {
	seed := tmseed.First()
	for name, c := range map[string]simConfig{
		"no budget in the State":      {noStateBudget: true},
		"two zones together":          {opt: options{anyZone: true, anyRack: true}},
		"two racks together":          {opt: options{anyRack: true}},
		"no check of the wave row":    {noRowCheck: true},
		"no check at the endpoint":    {noEndpointCheck: true},
		"drained instances forgotten": {opt: options{noReturn: true}},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range uint64(1000) {
				if _, err := simulate(seed+i, c); err != nil {
					t.Logf("found after %d runs: %v", i+1, err)
					return
				}
			}
			t.Fatal("no violation found with the rule disabled")
		})
	}
}

// TestBadUpdate guards against the loss of a large part of the fleet to an update
// after which no instance returns to service.
func TestBadUpdate(t *testing.T) {
	failures := func(opt options) int {
		sim := newSimulation(tmseed.First(), simConfig{badUpdate: true, noFaults: true, opt: opt}, 36, 20, 4, 2)
		for i := 0; i < 2500 && !sim.row.progress.Ended(); i++ {
			sim.step()
		}
		assert.NilError(t, sim.err)
		return sim.row.progress.Count(Failed)
	}
	bounded := failures(options{})
	t.Logf("%d instances lost", bounded)
	assert.Assert(t, bounded >= maxFailedInRow && bounded <= 14, "%d of 720 lost", bounded)
	assert.Assert(t, failures(options{noCanary: true}) > 14, "negative control: no canaries")
	assert.Assert(t, failures(options{noStop: true}) > 14, "negative control: no stop")
}

// TestElector guards against a takeover from a live leader, against two entries
// that hold the lease at once, and against a takeover later than 15 s.
func TestElector(t *testing.T) {
	for pauseAfter := range 40 {
		assert.NilError(t, pauseLeader(pauseAfter, defaultLeaseDuration, defaultRenewDeadline))
	}
	assert.ErrorContains(t, pauseLeader(20, tmclock.Second, defaultRenewDeadline), "live", "negative control: short lease")
	assert.ErrorContains(t, pauseLeader(20, defaultLeaseDuration, tmclock.Hour), "two", "negative control: no renew deadline")
	assert.ErrorContains(t, pauseLeader(20, tmclock.Minute, defaultRenewDeadline), "late", "negative control: long lease")
}

// pauseLeader pauses a leader after pauseAfter seconds and checks when another
// entry takes over.
func pauseLeader(pauseAfter int, leaseDuration, renewDeadline tmclock.Span) error {
	clock := tmclock.NewManual(1)
	a, b := NewElector("a", clock), NewElector("b", clock)
	a.renewDeadline, b.leaseDuration = renewDeadline, leaseDuration
	lease, _ := a.Observe(Lease{})
	a.Committed(lease, clock.Now())
	for s := range 100 {
		clock.Advance(tmclock.Second)
		if next, raise := a.Observe(lease); s < pauseAfter && raise {
			lease = next
			a.Committed(next, clock.Now())
		}
		next, takes := b.Observe(lease)
		switch {
		case s >= pauseAfter+15:
			return errors.New("takeover is late")
		case !takes:
		case s < pauseAfter:
			return errors.New("takeover from a live leader")
		default:
			b.Committed(next, clock.Now())
			if a.HoldsLease() && b.HoldsLease() {
				return errors.New("two entries hold the lease")
			}
			return nil
		}
	}
	return nil
}

// TestWaitForOffPeak guards against draining a busy pool while there is time to
// wait, and against missing the deadline by waiting.
func TestWaitForOffPeak(t *testing.T) {
	sim := newSimulation(1, simConfig{}, 1, 8, 2, 2)
	plan := RestorePlan(sim.plan.Instances(), 1_000_000+60*tmclock.Millis(tmclock.Minute), tmclock.Minute)
	v := View{
		Config: sim.cfg, Endpoints: sim.reports(), Wall: 1_000_000,
		Load: map[string]float64{"p0": 0.8}, OffPeak: map[string]float64{"p0": 0.3},
	}
	p, steps := NewRunner(plan, sim.clock).Next(NewProgress(plan), v)
	assert.Equal(t, len(steps), 0)
	v.Wall = v.Wall.Add(58 * tmclock.Minute)
	_, steps = NewRunner(plan, sim.clock).Next(p, v)
	assert.Equal(t, len(steps), 2)
}

// TestRowsToDelete guards against deleting the row of a wave that has not ended.
func TestRowsToDelete(t *testing.T) {
	var rows []RowInfo
	for i := range 40 {
		rows = append(rows, RowInfo{Name: string(rune('A' + i)), Created: tmclock.Millis(40 - i), Ended: i != 39})
	}
	out := RowsToDelete(rows)
	assert.Equal(t, len(out), 8)
	assert.Equal(t, out[0], string(rune('A'+38)))
}

// BenchmarkNext measures one call of Next at the two-year fleet size, 720
// instances.
func BenchmarkNext(b *testing.B) {
	sim := newSimulation(1, simConfig{}, 36, 20, 4, 2)
	r := NewRunner(sim.plan, sim.clock)
	v := View{Config: sim.cfg, Endpoints: sim.reports()}
	p, _ := r.Next(sim.row.progress, v)
	for b.Loop() {
		p, _ = r.Next(p, v)
	}
}
