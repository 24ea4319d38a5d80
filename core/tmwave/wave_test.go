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

// walk runs a wave under faults and then without them until it ends.
func walk(seed uint64, c controls) (Progress, error) {
	w := newWorld(seed, c, 2, 8, 2, 2)
	for range 600 {
		w.step()
		if w.err != nil {
			return w.row.p, w.err
		}
	}
	w.c.calm = true
	for i := 0; i < 6000 && !w.row.p.Ended(); i++ {
		w.step()
	}
	for range 30 {
		w.step()
	}
	if !w.row.p.Ended() {
		w.fail("the wave has not ended: %v", w.row.p.marks)
	}
	for name, in := range w.cfg.Instances().All() {
		if m, _ := w.row.p.marks.Get(name); m.Phase != Failed && in.Duty() != tmfleet.Serving {
			w.fail("%s is left %v in phase %v", name, in.Duty(), m.Phase)
		}
	}
	return w.row.p, w.err
}

// TestWaveUnderFaults guards against planned steps above a budget, in two
// zones or racks of a pool, against reboots that interrupt tasks, and against
// waves that never end or leave instances drained.
func TestWaveUnderFaults(t *testing.T) {
	seed := tmseed.First()
	counts := map[Phase]int{}
	for i := range uint64(400) {
		p, err := walk(seed+i, controls{})
		if err != nil {
			t.Fatalf("seed %d: %v", seed+i, err)
		}
		for _, m := range p.Marks().All() {
			counts[m.Phase]++
		}
	}
	t.Logf("instances by phase: %v", counts)
	assert.Assert(t, counts[Done] > 400*16*9/10, "the waves did too little to be a test")
}

// TestNegativeControls checks that the walk finds a violation when a rule is
// switched off.
func TestNegativeControls(t *testing.T) {
	seed := tmseed.First()
	for name, c := range map[string]controls{
		"no budget in the State":      {noStateBudget: true},
		"two zones together":          {opt: options{anyZone: true, anyRack: true}},
		"two racks together":          {opt: options{anyRack: true}},
		"no check of the wave row":    {noRowCheck: true},
		"no check at the endpoint":    {noPrecond: true},
		"drained instances forgotten": {opt: options{forgetReturn: true}},
	} {
		t.Run(name, func(t *testing.T) {
			for i := range uint64(1000) {
				if _, err := walk(seed+i, c); err != nil {
					t.Logf("found after %d walks: %v", i+1, err)
					return
				}
			}
			t.Fatal("no violation found with the rule switched off")
		})
	}
}

// TestBadUpdate guards against an update from which no instance comes back
// taking down a large part of the fleet.
func TestBadUpdate(t *testing.T) {
	failures := func(opt options) int {
		w := newWorld(tmseed.First(), controls{badUpdate: true, calm: true, opt: opt}, 36, 20, 4, 2)
		for i := 0; i < 2500 && !w.row.p.Ended(); i++ {
			w.step()
		}
		assert.NilError(t, w.err)
		return w.row.p.Count(Failed)
	}
	bounded := failures(options{})
	t.Logf("%d instances lost", bounded)
	assert.Assert(t, bounded >= maxFailedInRow && bounded <= 14, "%d of 720 lost", bounded)
	assert.Assert(t, failures(options{noCanary: true}) > 14, "negative control: no canaries")
	assert.Assert(t, failures(options{noStop: true}) > 14, "negative control: no stop")
}

// TestLeader guards against a takeover from a live leader, against two that
// act, and against a takeover later than 15 s.
func TestLeader(t *testing.T) {
	for stop := range 40 {
		assert.NilError(t, pauseLeader(stop, takeoverAfter, actFor))
	}
	assert.ErrorContains(t, pauseLeader(20, tmclock.Second, actFor), "live", "negative control: no wait")
	assert.ErrorContains(t, pauseLeader(20, takeoverAfter, tmclock.Hour), "two", "negative control: acts for ever")
	assert.ErrorContains(t, pauseLeader(20, tmclock.Minute, actFor), "late", "negative control: waits too long")
}

// pauseLeader pauses a leader after some seconds and watches another entry.
func pauseLeader(stop int, wait, act tmclock.Span) error {
	clock := tmclock.NewManual(1)
	a, b := NewLeader("a", clock), NewLeader("b", clock)
	a.act, b.wait = act, wait
	lease, _ := a.Observe(Lease{})
	a.Wrote(lease, clock.Now())
	for s := range 100 {
		clock.Advance(tmclock.Second)
		if next, raise := a.Observe(lease); s < stop && raise {
			lease = next
			a.Wrote(next, clock.Now())
		}
		next, takes := b.Observe(lease)
		switch {
		case s >= stop+15:
			return errors.New("takeover is late")
		case !takes:
		case s < stop:
			return errors.New("takeover from a live leader")
		default:
			b.Wrote(next, clock.Now())
			if a.MayAct() && b.MayAct() {
				return errors.New("two leaders act")
			}
			return nil
		}
	}
	return nil
}

// TestTrough guards against draining a busy pool while there is time to wait,
// and against missing the deadline by waiting.
func TestTrough(t *testing.T) {
	w := newWorld(1, controls{}, 1, 8, 2, 2)
	plan := RestorePlan(w.plan.Instances(), 1_000_000+60*tmclock.Millis(tmclock.Minute), tmclock.Minute)
	v := View{
		Config: w.cfg, Endpoints: w.reports(), Wall: 1_000_000,
		Load: map[string]float64{"p0": 0.8}, Trough: map[string]float64{"p0": 0.3},
	}
	p, steps := NewRunner(plan, w.clock).Next(NewProgress(plan), v)
	assert.Equal(t, len(steps), 0)
	v.Wall = v.Wall.Add(58 * tmclock.Minute)
	_, steps = NewRunner(plan, w.clock).Next(p, v)
	assert.Equal(t, len(steps), 2)
}

// TestSurplus guards against the loss of waves that still run.
func TestSurplus(t *testing.T) {
	var rows []RowAge
	for i := range 40 {
		rows = append(rows, RowAge{Name: string(rune('A' + i)), Created: tmclock.Millis(40 - i), Ended: i != 39})
	}
	out := Surplus(rows)
	assert.Equal(t, len(out), 8)
	assert.Equal(t, out[0], string(rune('A'+38)))
}

// BenchmarkNext measures one turn of the leader at the two-year size.
func BenchmarkNext(b *testing.B) {
	w := newWorld(1, controls{}, 36, 20, 4, 2)
	r := NewRunner(w.plan, w.clock)
	v := View{Config: w.cfg, Endpoints: w.reports()}
	p, _ := r.Next(w.row.p, v)
	for b.Loop() {
		p, _ = r.Next(p, v)
	}
}
