package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"turmericmoor/internal/harness"
	"turmericmoor/internal/load"
)

// Targets of the table service in steady state, per second.
const (
	targetReads  = 500
	targetWrites = 100
)

// tableTime is how long each load is measured.
const tableTime = 20 * time.Second

func tableMeasurement() measurement {
	return measurement{name: "table", short: "reads and writes of the table service in steady state", run: runTable}
}

func runTable(ctx context.Context, out io.Writer) error {
	t := newTable("entries", "load", "requests/s", "goodput/s", "reads/s", "writes/s", "refused/s", "target")
	for _, entries := range []int{3, 9} {
		f, err := harness.Start(ctx, harness.Layout{Entries: entries, Endpoints: 12})
		if err != nil {
			return err
		}
		err = tableLoads(ctx, f, t)
		_ = f.Close()
		if err != nil {
			return err
		}
	}
	return t.write(out, fmt.Sprintf("12 endpoints of 8 slots, tasks of %v; targets under %d reads/s and %d writes/s", failureRun, targetReads, targetWrites))
}

func tableLoads(ctx context.Context, f *harness.Fleet, t *table) error {
	layout := f.Layout()
	rate := 0.7 * float64(layout.Capacity()) / failureRun.Seconds()
	for _, l := range []struct {
		name   string
		stream *load.Stream
	}{
		{"idle", nil},
		{"unrecorded", &load.Stream{Rate: rate}},
		{"recorded", &load.Stream{Rate: rate, CallerChoosesIDs: true}},
	} {
		wait(ctx, 3*time.Second)
		rates, err := tableRates(ctx, f, l.stream)
		if err != nil {
			return err
		}
		offered := 0.0
		if l.stream != nil {
			offered = rate
		}
		ok := rates.reads < targetReads && rates.writes < targetWrites
		t.add(len(f.Entries()), l.name, offered, rates.goodput, rates.reads, rates.writes, rates.limited, met(ok))
	}
	return nil
}

type tableResult struct {
	goodput, reads, writes, limited float64
}

// tableRates counts calls while the stream runs, or while nothing runs.
func tableRates(ctx context.Context, f *harness.Fleet, stream *load.Stream) (tableResult, error) {
	var r tableResult
	done := make(chan error, 1)
	const warm = 5 * time.Second
	go func() {
		if stream == nil {
			done <- nil
			return
		}
		s := *stream
		s.Name, s.Team, s.Key, s.Queue = "all", "crews", f.Key("crews"), "steps"
		s.RunTime, s.Timeout = load.Fixed(failureRun), 10*time.Second
		report, err := load.Run(ctx, load.Plan{Entries: f.URLs(), Duration: warm + tableTime, Seed: 1, Streams: []load.Stream{s}}, nil)
		if err == nil {
			r.goodput = report.Total.Goodput(int(warm.Seconds()), int((warm + tableTime).Seconds()))
		}
		done <- err
	}()
	wait(ctx, warm)
	before, err := f.PlatformStats(ctx)
	if err != nil {
		return r, err
	}
	start := time.Now()
	wait(ctx, tableTime)
	after, err := f.PlatformStats(ctx)
	if err != nil {
		return r, err
	}
	seconds := time.Since(start).Seconds()
	err = <-done
	r.reads = float64(after.Reads-before.Reads) / seconds
	r.writes = float64(after.Writes-before.Writes) / seconds
	r.limited = float64(after.Limited-before.Limited) / seconds
	return r, err
}
