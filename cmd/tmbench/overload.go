package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"turmericmoor/internal/harness"
	"turmericmoor/internal/load"
	"turmericmoor/io/tmendpoint"
)

const (
	// overloadRun is the run time of a task, overloadWindow the part of each
	// step that counts, after overloadWarm.
	overloadRun    = 50 * time.Millisecond
	overloadWarm   = 5
	overloadWindow = 10
	// overloadTimeout is short enough that all requests under way have a
	// connection of their own: 5 times 320 requests/s for 2 s are 3,200 at one
	// entry.
	overloadTimeout = 2 * time.Second
)

// overloadSteps are multiples of the capacity. The last one is judged against
// the best of the others.
var overloadSteps = []float64{0.8, 1, 1.2, 5}

func overloadMeasurement() measurement {
	return measurement{name: "overload", short: "goodput at five times the capacity against its peak", run: runOverload}
}

func runOverload(ctx context.Context, out io.Writer) error {
	f, err := harness.Start(ctx, harness.Layout{Entries: 3, Endpoints: 6})
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	layout := f.Layout()
	capacity := float64(layout.Capacity()) / overloadRun.Seconds()
	t := newTable("load", "requests/s", "goodput/s", "of capacity", "answered p50 ms", "answered p99 ms", "refused", "refused p50 ms", "refused p99 ms",
		"entry retries", "repeated starts", "share of submissions", "queued peak", "RSS MB peak", "CPU s/s of an entry", "not sent")
	peak, last, notes := 0.0, 0.0, ""
	for _, factor := range overloadSteps {
		step, err := overloadStep(ctx, f, factor*capacity)
		if err != nil {
			return err
		}
		last = step.goodput
		if factor < 5 {
			peak = max(peak, step.goodput)
		}
		total := step.report.Total
		t.add(fmt.Sprintf("%.1fx", factor), factor*capacity, step.goodput, step.goodput/capacity, total.Answered.P50Ms, total.Answered.P99Ms,
			total.Refused.Count, total.Refused.P50Ms, total.Refused.P99Ms, step.retries, step.repeated,
			(step.retries+step.repeated)/float64(total.Submissions), step.queued, step.rss, step.cpu, total.Codes["not_sent"])
		notes += fmt.Sprintf("\n%.1fx: codes %v; ends of attempts without an answer %v; goodput by second %v", factor, total.Codes, step.errors, total.GoodputPerSecond)
	}
	title := fmt.Sprintf("3 entries, 6 endpoints of 8 slots, tasks of %v, capacity %.0f/s, timeout %v\ngoodput at 5x is %.1f%% of the peak, target 90%%: %s%s",
		overloadRun, capacity, overloadTimeout, 100*last/peak, met(last >= 0.9*peak), notes)
	return t.write(out, title)
}

type overloadResult struct {
	report                    *load.Report
	goodput, rss, cpu, queued float64
	// retries follow failed attempts, repeated starts those that an endpoint
	// refused.
	retries, repeated float64
	errors            map[string]float64
}

func overloadStep(ctx context.Context, f *harness.Fleet, rate float64) (overloadResult, error) {
	var r overloadResult
	before, err := sampleAll(ctx, f)
	if err != nil {
		return r, err
	}
	watch := startWatch(ctx, f)
	r.report, err = load.Run(ctx, load.Plan{
		Entries:         f.URLs(),
		Duration:        (overloadWarm + overloadWindow) * time.Second,
		Seed:            1,
		MaxOpenRequests: 60_000,
		Streams: []load.Stream{{
			Name: "all", Team: "crews", Key: f.Key("crews"), Queue: "steps", Rate: rate,
			RunTime: load.Fixed(overloadRun), Timeout: overloadTimeout,
		}},
	}, nil)
	r.rss, r.queued = watch.stop()
	if err != nil {
		return r, err
	}
	after, err := sampleAll(ctx, f)
	if err != nil {
		return r, err
	}
	r.goodput = r.report.Total.Goodput(overloadWarm, overloadWarm+overloadWindow)
	r.retries = after.retries - before.retries
	r.errors = map[string]float64{}
	for code, n := range after.errors {
		if d := n - before.errors[code]; d > 0 {
			r.errors[code] = d
		}
	}
	for _, code := range []tmendpoint.Code{
		tmendpoint.CodeLeaseEnded, tmendpoint.CodeNonceExpired, tmendpoint.CodeNoSlot, tmendpoint.CodeDraining, tmendpoint.CodeNotSent,
	} {
		r.repeated += r.errors[string(code)]
	}
	r.cpu = (after.cpu - before.cpu) / after.at.Sub(before.at).Seconds() / float64(len(f.Entries()))
	return r, nil
}

// sample is what all entries have used and counted together.
type sample struct {
	at           time.Time
	cpu, retries float64
	errors       map[string]float64
}

func sampleAll(ctx context.Context, f *harness.Fleet) (sample, error) {
	s := sample{at: time.Now(), errors: map[string]float64{}}
	for i, e := range f.Entries() {
		u, err := e.Process().Usage()
		if err != nil {
			return s, err
		}
		s.cpu += u.CPU.Seconds()
		retries, err := f.Metric(ctx, i+1, "turmericmoor_retries_total")
		if err != nil {
			return s, err
		}
		failed, err := f.MetricBy(ctx, i+1, "turmericmoor_attempt_errors_total", "code")
		if err != nil {
			return s, err
		}
		s.retries += retries
		for code, n := range failed {
			s.errors[code] += n
		}
	}
	return s, nil
}

// watch follows the memory and the queues of all entries.
type watch struct {
	cancel      context.CancelFunc
	done        chan struct{}
	rss, queued float64
}

func startWatch(ctx context.Context, f *harness.Fleet) *watch {
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for ctx.Err() == nil {
			for i, e := range f.Entries() {
				if u, err := e.Process().Usage(); err == nil {
					w.rss = max(w.rss, megabytes(u.RSS))
				}
				if n, err := f.Metric(ctx, i+1, "turmericmoor_queued_requests"); err == nil {
					w.queued = max(w.queued, n)
				}
			}
			wait(ctx, 500*time.Millisecond)
		}
	}()
	return w
}

// stop returns the peaks of one entry: resident memory in MB and queued
// requests.
func (w *watch) stop() (float64, float64) {
	w.cancel()
	<-w.done
	return w.rss, w.queued
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
