package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmrequest"
	"turmericmoor/internal/harness"
	"turmericmoor/internal/load"
	"turmericmoor/io/tmcaller"
	"turmericmoor/io/tmendpoint"
)

// Targets of an entry against a direct call.
const (
	targetP50 = 1.5
	targetP99 = 2.0
)

const (
	// latencyRounds alternate between the paths, so that a disturbance of the
	// machine meets all of them.
	latencyRounds = 20
	latencyRound  = 500 * time.Millisecond
	// latencySlots leaves both kinds of calls free slots at all times.
	latencySlots = 64
)

func latencyMeasurement() measurement {
	return measurement{name: "latency", short: "added latency of an entry against a direct net/http call to the same endpoint, tasks of 0 ms", run: runLatency}
}

// caller makes one call and returns an error when it brought no answer.
type caller func(ctx context.Context) error

func runLatency(ctx context.Context, out io.Writer) error {
	f, err := harness.Start(ctx, harness.Layout{Entries: 1, Endpoints: 2, Zones: []string{"zone-a"}, Slots: latencySlots})
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	address := f.Endpoints()[0].Address
	forwarder, stop, err := startForwarder(address)
	if err != nil {
		return err
	}
	defer stop()
	t := newTable("callers", "path", "calls", "p50 ms", "p99 ms", "p50 ratio", "p99 ratio", "p50 added / direct", "p99 added / direct", "ratio on target")
	for _, callers := range []int{1, 4} {
		direct, err := newDirect(ctx, address, callers)
		if err != nil {
			return err
		}
		err = compare(ctx, t, f, direct, forwarder, callers)
		direct.close()
		if err != nil {
			return err
		}
	}
	title := fmt.Sprintf("%d alternating rounds of %v, closed loop; target: p50 under %.1f times, p99 under %.1f times", latencyRounds, latencyRound, targetP50, targetP99)
	return t.write(out, title)
}

// path is one way to the endpoint.
type path struct {
	name string
	call caller
	took *hdrhistogram.Histogram
}

func compare(ctx context.Context, t *table, f *harness.Fleet, d *direct, forwarder string, callers int) error {
	client := tmcaller.NewClient(f.URLs()[0])
	defer client.Close()
	paths := []path{
		{"direct", func(ctx context.Context) error { return d.call(ctx, d.address) }, load.NewHistogram()},
		{"forwarder", func(ctx context.Context) error { return d.call(ctx, forwarder) }, load.NewHistogram()},
		{"entry", func(ctx context.Context) error { return throughEntry(ctx, client, f.Key("crews"), "steps") }, load.NewHistogram()},
	}
	// The first round opens connections and leases.
	for round := range latencyRounds + 1 {
		for _, p := range paths {
			h := p.took
			if round == 0 {
				h = load.NewHistogram()
			}
			if err := callFor(ctx, p.call, callers, latencyRound, h); err != nil {
				return fmt.Errorf("%s: %w", p.name, err)
			}
		}
	}
	base := load.LatencyOf(paths[0].took)
	for _, p := range paths {
		l := load.LatencyOf(p.took)
		p50, p99 := l.P50Ms/base.P50Ms, l.P99Ms/base.P99Ms
		verdict := ""
		if p.name == "entry" {
			verdict = met(p50 < targetP50 && p99 < targetP99)
		}
		t.add(callers, p.name, l.Count, l.P50Ms, l.P99Ms, p50, p99, p50-1, p99-1, verdict)
	}
	return nil
}

func throughEntry(ctx context.Context, client *tmcaller.Client, key, queue string) error {
	_, err := client.Submit(ctx, key, tmrequest.New(tmrequest.Params{
		Queue: queue, ContentType: "application/json", Body: []byte(`{"run_ms":0,"echo":"x"}`),
	}))
	return err
}

// callFor makes calls, one after the other in each goroutine, and records what
// they took in microseconds.
func callFor(ctx context.Context, call caller, callers int, d time.Duration, h *hdrhistogram.Histogram) error {
	var mu sync.Mutex
	var first error
	var all sync.WaitGroup
	end := time.Now().Add(d)
	for range callers {
		all.Go(func() {
			own := load.NewHistogram()
			var err error
			for err == nil && time.Now().Before(end) {
				start := time.Now()
				err = call(ctx)
				_ = own.RecordValue(max(1, time.Since(start).Microseconds()))
			}
			mu.Lock()
			defer mu.Unlock()
			h.Merge(own)
			if first == nil {
				first = err
			}
		})
	}
	all.Wait()
	return first
}

// direct calls an endpoint without an entry. It renews its lease in the
// background.
type direct struct {
	address string
	client  *tmendpoint.Client
	http    *http.Client
	cancel  context.CancelFunc
	renewal sync.WaitGroup

	mu    sync.Mutex
	grant tmendpoint.Grant
}

func newDirect(ctx context.Context, address string, slots int) (*direct, error) {
	client := tmendpoint.New(tmendpoint.Options{})
	grant, err := client.Lease(ctx, address, "tmbench-"+uuid.NewString(), slots)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	d := &direct{
		address: address,
		client:  client,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots}},
		cancel:  cancel,
		grant:   grant,
	}
	d.renewal.Go(func() { d.renew(ctx, slots) })
	return d, nil
}

func (d *direct) renew(ctx context.Context, slots int) {
	ticker := time.NewTicker((400 * tmclock.Millisecond).Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		grant, err := d.client.Renew(ctx, d.address, d.present().Lease, slots)
		if err == nil {
			d.mu.Lock()
			d.grant = grant
			d.mu.Unlock()
		}
	}
}

func (d *direct) present() tmendpoint.Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.grant
}

// call starts one task with net/http alone, at the endpoint or at a process
// that passes it on.
func (d *direct) call(ctx context.Context, address string) error {
	grant := d.present()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/tasks", bytes.NewReader([]byte(`{"run_ms":0,"echo":"x"}`)))
	if err != nil {
		return err
	}
	h := req.Header
	h.Set("Tm-Lease", grant.Lease)
	h.Set("Tm-Nonce", grant.Nonce)
	h.Set("Tm-Attempt", uuid.NewString())
	h.Set("Tm-Request-Id", uuid.NewString())
	h.Set("Tm-Team", "direct")
	h.Set("Tm-Queue", "steps")
	h.Set("Tm-Timeout-Ms", "30000")
	resp, err := d.http.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("direct call: status %d: %s", resp.StatusCode, body)
	}
	return err
}

func (d *direct) close() {
	d.cancel()
	d.renewal.Wait()
	d.client.Close()
	d.http.CloseIdleConnections()
}
