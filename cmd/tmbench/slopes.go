package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"turmericmoor/internal/harness"
	"turmericmoor/internal/load"
)

const (
	// slopeSettle lets a fleet calm down after its start, slopeTime is what is
	// measured.
	slopeSettle = 6 * time.Second
	slopeTime   = 15 * time.Second
	// slopeWarmRate is the number of requests per second and entry that keeps
	// leases at all endpoints.
	slopeWarmRate = 1
)

// series varies one size of the fleet.
type series struct {
	name   string
	sizes  []int
	warm   bool
	layout func(n int) harness.Layout
}

func slopeSeries() []series {
	entries := func(n int) harness.Layout { return harness.Layout{Entries: n, Endpoints: 12} }
	endpoints := func(n int) harness.Layout { return harness.Layout{Entries: 3, Endpoints: n} }
	return []series{
		{"entries, idle", []int{3, 5, 9, 16}, false, entries},
		{"endpoints, idle", []int{8, 16, 32, 64}, false, endpoints},
		{"endpoints, 1 request/s for each entry", []int{8, 16, 32, 64}, true, endpoints},
		{"teams, idle", []int{6, 30, 150}, false, func(n int) harness.Layout {
			return harness.Layout{Entries: 3, Endpoints: 12, Teams: manyTeams(n)}
		}},
		{"entries with 150 teams, idle", []int{3, 9, 16}, false, func(n int) harness.Layout {
			return harness.Layout{Entries: n, Endpoints: 12, Teams: manyTeams(150)}
		}},
	}
}

func manyTeams(n int) []harness.Team {
	var teams []harness.Team
	for i := range n {
		teams = append(teams, harness.Team{Name: fmt.Sprintf("team-%03d", i)})
	}
	return teams
}

func slopeMeasurement() measurement {
	only := ""
	return measurement{
		name:  "slopes",
		short: "use of one entry against the size of the fleet",
		flags: func(flags *pflag.FlagSet) {
			flags.StringVar(&only, "series", "", "only the series whose names begin so (default: all)")
		},
		run: func(ctx context.Context, out io.Writer) error { return runSlopes(ctx, out, only) },
	}
}

// use is what one entry uses on average.
type use struct {
	cpu, rss, peer, platform, all float64
}

func runSlopes(ctx context.Context, out io.Writer, only string) error {
	for _, s := range slopeSeries() {
		if only != "" && !strings.HasPrefix(s.name, only) {
			continue
		}
		t := newTable(s.name, "CPU s/s", "RSS MB", "peer B/s", "platform B/s", "all I/O B/s")
		var uses []use
		for _, n := range s.sizes {
			u, err := measureUse(ctx, s.layout(n), s.warm)
			if err != nil {
				return err
			}
			uses = append(uses, u)
			t.add(n, u.cpu, u.rss, u.peer, u.platform, u.all)
		}
		addFits(t, s.sizes, uses)
		title := fmt.Sprintf("use of one entry, mean over all entries and %v; bytes in both directions", slopeTime)
		if err := t.write(out, title); err != nil {
			return err
		}
	}
	return nil
}

// addFits adds the linear fit of each column and its largest residual.
func addFits(t *table, sizes []int, uses []use) {
	intercept, slope, residual := []any{"intercept"}, []any{"slope"}, []any{"largest residual"}
	for _, column := range []func(u use) float64{
		func(u use) float64 { return u.cpu },
		func(u use) float64 { return u.rss },
		func(u use) float64 { return u.peer },
		func(u use) float64 { return u.platform },
		func(u use) float64 { return u.all },
	} {
		var y []float64
		for _, u := range uses {
			y = append(y, column(u))
		}
		a, b, worst := fit(sizes, y)
		intercept, slope, residual = append(intercept, a), append(slope, b), append(residual, worst)
	}
	t.add(intercept...)
	t.add(slope...)
	t.add(residual...)
}

// fit returns the line of least squares y = a + b x, and the residual that is
// farthest from 0.
func fit(x []int, y []float64) (a, b, worst float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i, v := range x {
		sx += float64(v)
		sy += y[i]
		sxx += float64(v) * float64(v)
		sxy += float64(v) * y[i]
	}
	b = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	a = (sy - b*sx) / n
	for i, v := range x {
		if r := y[i] - a - b*float64(v); math.Abs(r) > math.Abs(worst) {
			worst = r
		}
	}
	return a, b, worst
}

func measureUse(ctx context.Context, layout harness.Layout, warm bool) (use, error) {
	layout.CountBytes = true
	f, err := harness.Start(ctx, layout)
	if err != nil {
		return use{}, err
	}
	defer func() { _ = f.Close() }()
	done := make(chan error, 1)
	go func() { done <- keepWarm(ctx, f, warm) }()
	wait(ctx, slopeSettle)
	before, err := usesOf(f)
	if err != nil {
		return use{}, err
	}
	peer, platform, start := f.PeerBytes(), f.PlatformBytes(), time.Now()
	wait(ctx, slopeTime)
	seconds := time.Since(start).Seconds()
	peer, platform = f.PeerBytes()-peer, f.PlatformBytes()-platform
	after, err := usesOf(f)
	if err := errorOf(err, <-done); err != nil {
		return use{}, err
	}
	n := float64(len(f.Entries()))
	return use{
		cpu: (after.cpu - before.cpu) / n / seconds,
		rss: after.rss / n,
		// Each byte between entries is sent by one and received by another.
		peer:     2 * float64(peer) / n / seconds,
		platform: float64(platform) / n / seconds,
		all:      (after.all - before.all) / n / seconds,
	}, nil
}

func keepWarm(ctx context.Context, f *harness.Fleet, warm bool) error {
	if !warm {
		return nil
	}
	_, err := load.Run(ctx, load.Plan{
		Entries:  f.URLs(),
		Duration: slopeSettle + slopeTime,
		Seed:     1,
		Streams: []load.Stream{{
			Name: "warm", Team: "crews", Key: f.Key("crews"), Queue: "steps", Rate: slopeWarmRate * float64(len(f.Entries())), ConstantInterval: true,
		}},
	}, nil)
	return err
}

// usesOf returns the sums over all entries.
func usesOf(f *harness.Fleet) (use, error) {
	var sum use
	for _, e := range f.Entries() {
		u, err := e.Process().Usage()
		if err != nil {
			return sum, err
		}
		sum.cpu += u.CPU.Seconds()
		sum.rss += megabytes(u.RSS)
		sum.all += float64(u.IOBytes)
	}
	return sum, nil
}
