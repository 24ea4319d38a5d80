package harness_test

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmchange"
	"turmericmoor/internal/harness"
	"turmericmoor/internal/judge"
	"turmericmoor/internal/load"
)

func loadPlan(f *harness.Fleet, d time.Duration) load.Plan {
	return load.Plan{
		Entries:  f.URLs(),
		Duration: d,
		Seed:     1,
		Streams: []load.Stream{{
			Name: "s", Team: "crews", Key: f.Key("crews"), Queue: "steps", Rate: 50,
			RunTime: load.Fixed(10 * time.Millisecond), CallerChoosesIDs: true, Retries: 3,
		}},
	}
}

// Guards against a harness that can't kill, pause or restart its processes or
// collect evidence from them, and against processes that outlive the fleet.
func TestFleet(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f, err := harness.Start(ctx, harness.Layout{Entries: 2, Endpoints: 3, RackSize: 1, CountBytes: true})
	assert.NilError(t, err)
	defer func() { _ = f.Close() }()
	var all []judge.Submission
	report, err := load.Run(ctx, loadPlan(f, time.Second), func(s judge.Submission) { all = append(all, s) })
	assert.NilError(t, err)
	assert.Equal(t, report.Total.Codes[judge.CodeOK], report.Total.Requests, "%+v", report.Total)

	assert.Assert(t, f.PeerBytes() > 0 && f.PlatformBytes() > 0)
	answered, err := f.MetricBy(ctx, 1, "turmericmoor_requests_total", "code")
	assert.NilError(t, err)
	assert.Assert(t, answered["ok"] > 0)

	second := f.Entries()[1]
	assert.NilError(t, second.Process().Pause())
	assert.NilError(t, second.Process().Resume())
	second.Process().Kill()
	assert.Assert(t, !second.Process().Running())
	assert.NilError(t, f.RestartEntry(2))
	assert.NilError(t, f.WaitReady(ctx))
	assert.NilError(t, f.Apply(ctx, 2, tmchange.SetLimit{Team: "crews", Limit: 5}))

	before, err := f.Journal(ctx)
	assert.NilError(t, err)
	rack := f.Endpoints()[0]
	rack.Process().Kill()
	assert.NilError(t, f.RestartRack(rack))
	after, err := f.Journal(ctx)
	assert.NilError(t, err)
	assert.Assert(t, len(after) >= len(before))
	evidence, err := f.Evidence(ctx, all)
	assert.NilError(t, err)
	assert.Equal(t, len(evidence.Limits), 2)
	assert.Equal(t, len(evidence.Runs), len(all))
	assert.Equal(t, len(judge.Check(evidence)), 0, judge.Table(judge.Check(evidence)))

	var pids []int
	for _, e := range f.Entries() {
		pids = append(pids, e.Process().PID())
	}
	pids = append(pids, f.Platform().PID(), rack.Process().PID())
	assert.NilError(t, f.Entries()[0].Process().Stop())
	assert.NilError(t, f.Close())
	for _, pid := range pids {
		assert.ErrorIs(t, syscall.Kill(pid, 0), syscall.ESRCH)
	}
	_, err = os.Stat(f.Dir())
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against a missing binary directory that surfaces as an unrelated error.
func TestMissingBinaries(t *testing.T) {
	t.Setenv(harness.EnvBin, "")
	_, err := harness.Start(context.Background(), harness.Layout{})
	assert.ErrorContains(t, err, "TM_BIN is not set")
	t.Setenv(harness.EnvBin, t.TempDir())
	_, err = harness.Start(context.Background(), harness.Layout{})
	assert.ErrorContains(t, err, "make build")
}
