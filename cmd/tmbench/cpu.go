package main

import (
	"context"
	"io"
	"time"

	"turmericmoor/internal/harness"
	"turmericmoor/internal/load"
	"turmericmoor/io/tmcaller"
)

// cpuTime is how long each number of callers is measured.
const cpuTime = 8 * time.Second

func cpuMeasurement() measurement {
	return measurement{name: "cpu", short: "requests per second of CPU time of one entry, tasks of 0 ms", run: runCPU}
}

func runCPU(ctx context.Context, out io.Writer) error {
	f, err := harness.Start(ctx, harness.Layout{Entries: 1, Endpoints: 16})
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	client := tmcaller.NewClient(f.URLs()[0])
	defer client.Close()
	call := func(ctx context.Context) error { return throughEntry(ctx, client, f.Key("crews"), "steps") }
	if err := callFor(ctx, call, 4, 2*time.Second, load.NewHistogram()); err != nil {
		return err
	}
	t := newTable("callers", "requests/s", "CPU s/s", "requests per CPU s", "CPU us per request", "RSS MB", "p50 ms", "p99 ms")
	for _, callers := range []int{1, 4, 16, 64} {
		before, err := f.Entries()[0].Process().Usage()
		if err != nil {
			return err
		}
		h := load.NewHistogram()
		if err := callFor(ctx, call, callers, cpuTime, h); err != nil {
			return err
		}
		after, err := f.Entries()[0].Process().Usage()
		if err != nil {
			return err
		}
		n, wall, cpu := float64(h.TotalCount()), after.At.Sub(before.At).Seconds(), (after.CPU - before.CPU).Seconds()
		l := load.LatencyOf(h)
		t.add(callers, n/wall, cpu/wall, n/cpu, cpu/n*1e6, megabytes(after.RSS), l.P50Ms, l.P99Ms)
	}
	return t.write(out, "closed loop, 16 endpoints of 8 slots")
}

func megabytes(bytes int) float64 { return float64(bytes) / (1 << 20) }
