package tmentry_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmwave"
	"turmericmoor/internal/standin/tmfakeendpoint"
	"turmericmoor/internal/standin/tmfakeplatform"
	"turmericmoor/io/tmentry"
	"turmericmoor/io/tmoperator"
	"turmericmoor/io/tmstore"
	"turmericmoor/io/tmwaves"
)

// Guards against a wave that cuts a request, reboots an endpoint twice or not
// at all, or exceeds a budget, and against one that is slow without a reason.
func TestWaveUnderLoad(t *testing.T) {
	t.Parallel()
	f := newWaveFleet(t, []string{"scans"}, 4, 2, nil)
	var stops []func()
	for i := range f.entries {
		stops = append(stops, f.load(i, "scans", 6, 60*tmclock.Millisecond))
	}
	f.startWave(0, "kernel", "scans")
	f.waitDone(30*time.Second, "kernel")
	for _, stop := range stops {
		stop()
	}
	spans, breach := f.judge()
	assert.NilError(t, breach)
	f.checkJournals(1, 1, spans)
	var cycles []tmwave.Cycle
	first, last := spans[0].from, spans[0].to
	for _, s := range spans {
		first, last = min(first, s.from), max(last, s.to)
		p := f.places[s.instance]
		cycles = append(cycles, tmwave.Cycle{Pool: p.pool, Zone: p.zone, Duration: s.to.Sub(s.from)})
	}
	bound := tmwave.MakespanLowerBound(cycles, map[string]int{"scans": f.budget}, true)
	ratio := float64(last.Sub(first)) / float64(bound)
	t.Logf("roll-out %v, lower bound %v, ratio %.2f, reboot %v", last.Sub(first), bound, ratio, rebootTime)
	assert.Assert(t, ratio <= 1.25, "the roll-out took %.2f times the lower bound", ratio)
}

// Guards against a wave that ends with its leader, or waits for it for long.
func TestWaveOutlivesItsLeader(t *testing.T) {
	t.Parallel()
	f := newWaveFleet(t, []string{"scans"}, 1, 1, nil)
	f.startWave(1, "kernel", "scans")
	f.eventually(10*time.Second, "the first instance is done", func() bool {
		return f.row("kernel").Progress.Count(tmwave.Done) > 0
	})
	leader := f.row("kernel").Lease.Leader
	for _, e := range f.entries {
		if e.Incarnation() == leader {
			e.Kill()
		}
	}
	killed := tmclock.Wall()
	f.eventually(15*time.Second, "the wave goes on", func() bool {
		history := f.history()
		last := history[len(history)-1]
		return last.ChangeID == "wave-kernel" && last.Written > killed && f.row("kernel").Lease.Leader != leader
	})
	t.Logf("the wave went on %v after the death of its leader", tmclock.Wall().Sub(killed))
	f.waitDone(15*time.Second, "kernel")
	spans, breach := f.judge()
	assert.NilError(t, breach)
	f.checkJournals(1, 1, spans)
}

// Guards against further drains while failures use up the budget, and against
// instances that stay drained or are rebooted then.
func TestWavePausesWhenRackIsLost(t *testing.T) {
	t.Parallel()
	f := newWaveFleet(t, []string{"scans"}, 2, 2, nil)
	// The wave reaches the first rack first. Its tasks keep it draining.
	var tasks sync.WaitGroup
	for _, name := range []string{"scans-00", "scans-01"} {
		tasks.Go(func() { assert.Check(t, f.occupy(name, 5*tmclock.Second)) })
		f.eventually(time.Second, name+" runs a task", func() bool { return f.running(name) > 0 })
	}
	f.startWave(0, "kernel", "scans")
	f.eventually(4*time.Second, "two instances drain", func() bool {
		return len(drainingIn(mustState(t, f.entries[0]))) == 2
	})
	draining := drainingIn(mustState(t, f.entries[0]))
	f.lose("scans-06")
	f.lose("scans-07")
	lost := tmclock.Wall()
	f.eventually(5*time.Second, "the wave pauses", func() bool {
		status, err := f.entries[1].Wave(context.Background(), "kernel")
		return err == nil && status.Phase == tmoperator.WavePaused
	})
	// This is more than the other endpoints can run.
	stop := f.load(0, "scans", 40, 300*tmclock.Millisecond)
	for _, name := range draining {
		f.eventually(5*time.Second, name+" starts tasks again", func() bool {
			in, _ := mustState(t, f.entries[0]).Config().Instances().Get(name)
			if in.Duty() != tmfleet.Serving {
				return false
			}
			journal := f.endpoints[name].Journal()
			last := slices.IndexFunc(journal, func(ev tmfakeendpoint.Event) bool { return ev.Kind == "undrain" })
			return last >= 0 && slices.ContainsFunc(journal[last:], func(ev tmfakeendpoint.Event) bool { return ev.Kind == "start" })
		})
	}
	for _, r := range f.history() {
		for _, c := range r.Changes {
			if m, ok := c.(tmchange.MarkDraining); ok && r.Written.Sub(lost) > 2*tmclock.Second {
				t.Errorf("%s was drained %v after the loss", m.Name, r.Written.Sub(lost))
			}
		}
	}
	stop()
	tasks.Wait()
	f.checkJournals(0, 0, nil)
}

func (f *waveFleet) running(name string) int {
	journal := f.endpoints[name].Journal()
	if len(journal) == 0 {
		return 0
	}
	return journal[len(journal)-1].Running
}

func mustState(t *testing.T, e *tmentry.Entry) tmfleet.State {
	t.Helper()
	state, err := e.State(context.Background())
	assert.NilError(t, err)
	return state
}

func drainingIn(state tmfleet.State) []string {
	var names []string
	for name, in := range state.Config().Instances().All() {
		if in.Duty() == tmfleet.Draining {
			names = append(names, name)
		}
	}
	return names
}

// Guards against two waves that exceed a budget together, or drain two racks.
func TestRacingWavesKeepTheBudget(t *testing.T) {
	t.Parallel()
	f := newWaveFleet(t, []string{"scans"}, 2, 2, nil)
	stop := f.load(2, "scans", 6, 50*tmclock.Millisecond)
	var starts sync.WaitGroup
	for i, name := range []string{"kernel", "firmware"} {
		starts.Go(func() { f.startWave(i, name, "scans") })
	}
	starts.Wait()
	f.waitDone(30*time.Second, "kernel")
	f.waitDone(30*time.Second, "firmware")
	stop()
	spans, breach := f.judge()
	assert.NilError(t, breach)
	// Waves that drain an instance at the same time share its reboot.
	f.checkJournals(1, 2, spans)
}

// Guards against steps made twice or lost when the table service is away or
// its answers are.
func TestWaveSurvivesTableService(t *testing.T) {
	t.Parallel()
	const outage = 3 * time.Second
	f := newWaveFleet(t, []string{"scans"}, 2, 2, nil)
	stop := f.load(1, "scans", 6, 50*tmclock.Millisecond)
	f.startWave(0, "kernel", "scans")
	done := func(n int) func() bool {
		return func() bool { return f.row("kernel").Progress.Count(tmwave.Done) >= n }
	}
	f.eventually(15*time.Second, "the first instance is done", done(1))
	f.platform.SetControl(tmfakeplatform.Control{Down: true})
	time.Sleep(outage)
	f.platform.SetControl(tmfakeplatform.Control{LoseAnswers: 6})
	f.eventually(15*time.Second, "more instances are done", done(4))
	f.platform.SetControl(tmfakeplatform.Control{LoseAnswers: 6})
	f.waitDone(20*time.Second, "kernel")
	stop()
	spans, breach := f.judge()
	assert.NilError(t, breach)
	f.checkJournals(1, 1, spans)
}

// unlimited is a host whose State permits every drain: the check of budgets is
// switched off.
type unlimited struct {
	tmwaves.Host
}

func (h unlimited) ReadState(ctx context.Context) (tmfleet.State, uint64, error) {
	state, revision, err := h.Host.ReadState(ctx)
	config := state.Config()
	for name := range config.Pools().All() {
		config = config.WithPools(config.Pools().With(name, tmfleet.NewPool(name, tmfleet.NewBudget(100))))
	}
	return tmfleet.NewState(state.Version(), state.Members(), state.PreviousMembers(), config, state.RecentChanges()), revision, err
}

// Negative control: without the check of budgets, the judge finds a breach.
func TestBreachOfBudgetIsFound(t *testing.T) {
	t.Parallel()
	f := newWaveFleet(t, []string{"scans"}, 2, 1, func(o *tmentry.Options) {
		o.WrapWaves(func(p tmwaves.Dependencies) tmwaves.Dependencies {
			p.Host = unlimited{p.Host}
			return p
		})
	})
	f.startWave(0, "kernel", "scans")
	f.eventually(20*time.Second, "the judge finds a breach", func() bool {
		_, breach := f.judge()
		return breach != nil
	})
}

// Negative control: when endpoints seem to run no task, a wave cuts one, and
// its caller and the journal show it.
func TestCutTaskIsFound(t *testing.T) {
	t.Parallel()
	f := newWaveFleet(t, []string{"scans"}, 1, 1, func(o *tmentry.Options) {
		o.WrapWaves(func(p tmwaves.Dependencies) tmwaves.Dependencies {
			p.Endpoints = idle{p.Endpoints}
			return p
		})
	})
	cut := make(chan error, 1)
	go func() { cut <- f.occupy("scans-00", 8*tmclock.Second) }()
	f.eventually(time.Second, "the task runs", func() bool { return f.running("scans-00") > 0 })
	f.startWave(0, "kernel", "scans")
	f.eventually(5*time.Second, "the journal has the cut", func() bool {
		return slices.ContainsFunc(f.endpoints["scans-00"].Journal(), func(ev tmfakeendpoint.Event) bool { return ev.Kind == "stop" })
	})
	assert.Assert(t, <-cut != nil)
}

// Guards against a name that two waves get, and a wave without instances.
func TestWaveRequestIsChecked(t *testing.T) {
	t.Parallel()
	f := newWaveFleet(t, []string{"scans"}, 1, 1, nil)
	f.startWave(0, "kernel", "scans")
	f.startWave(1, "kernel", "scans")
	ctx := context.Background()
	_, err := f.entries[2].StartWave(ctx, tmoperator.WaveRequest{Name: "kernel", Pools: []string{"scans"}, Reason: "other"})
	assert.ErrorIs(t, err, tmoperator.ErrExists)
	_, err = f.entries[2].StartWave(ctx, tmoperator.WaveRequest{Name: "other", Pools: []string{"none"}})
	assert.ErrorContains(t, err, `unknown pool "none"`)
	_, err = f.entries[2].Wave(ctx, "other")
	assert.ErrorIs(t, err, tmoperator.ErrNotFound)
	waves, err := f.entries[2].Waves(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(waves), 1)
	assert.Equal(t, waves[0].Total, 4)
}

// Guards against a stopped wave that takes further instances or leaves some
// out of service, and against rows that are kept for ever or deleted too early.
func TestStoppedAndOldWaves(t *testing.T) {
	t.Parallel()
	f := newWaveFleet(t, []string{"scans"}, 1, 1, nil)
	ctx := context.Background()
	old := make([]tmstore.Wave, tmwave.RetainedRows+3)
	var add, end tmstore.Txn
	for i := range old {
		old[i] = tmstore.Wave{Name: fmt.Sprintf("old-%02d", i), Created: tmclock.Millis(i)}
		add.AddWave(old[i])
	}
	revision, err := f.store.Commit(ctx, &add)
	assert.NilError(t, err)
	for _, w := range old {
		w.Revision = revision
		end.CloseWave(w)
	}
	_, err = f.store.Commit(ctx, &end)
	assert.NilError(t, err)
	f.startWave(0, "kernel", "scans")
	waves, err := f.entries[1].Waves(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(waves), tmwave.RetainedRows)
	assert.Equal(t, waves[0].Name, "kernel")
	assert.Equal(t, waves[len(waves)-1].Name, "old-04")
	f.eventually(10*time.Second, "an instance is out of service", func() bool {
		state, _, err := f.store.State(ctx)
		assert.NilError(t, err)
		for _, in := range state.Config().Instances().All() {
			if in.Duty() != tmfleet.Serving {
				return true
			}
		}
		return false
	})
	_, err = f.entries[2].StopWave(ctx, "kernel")
	assert.NilError(t, err)
	f.eventually(10*time.Second, "the wave has ended", func() bool {
		status, err := f.entries[1].Wave(ctx, "kernel")
		return err == nil && status.Phase == tmoperator.WaveStopped && f.row("kernel").Progress.Ended()
	})
	spans, breach := f.judge()
	assert.NilError(t, breach)
	assert.Assert(t, len(spans) >= 1 && len(spans) < 4, "%d instances were taken out of service", len(spans))
	f.checkJournals(0, 1, spans)
	state, _, err := f.store.State(ctx)
	assert.NilError(t, err)
	for name, in := range state.Config().Instances().All() {
		assert.Equal(t, in.Duty(), tmfleet.Serving, name)
	}
}
