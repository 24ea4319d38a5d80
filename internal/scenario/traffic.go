package scenario

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"turmericmoor/internal/harness"
	"turmericmoor/internal/judge"
	"turmericmoor/internal/load"
)

const (
	// loadTime is longer than any script.
	loadTime = 10 * time.Minute
	// healthEvery is the interval of the callers' health checks.
	healthEvery = 50 * time.Millisecond
	// healthTimeout is when a health check fails without an answer.
	healthTimeout = 500 * time.Millisecond
	// settleTime is what a phase leaves out, because answers that arrive in it
	// belong to requests of the time before.
	settleTime = 500 * time.Millisecond
)

// traffic is one load of a script.
type traffic struct {
	name   string
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

func (t *traffic) stop() {
	t.cancel()
	<-t.done
}

func (r *run) load(args []string) error {
	if len(args) == 0 {
		return errors.New("no team")
	}
	o, err := parseOptions(args[1:], "rate", "run", "idempotent", "ids", "retries", "timeout", "give-up", "callers", "seed", "arrivals")
	if err != nil {
		return err
	}
	team, _, _ := strings.Cut(args[0], "/")
	if r.fleet.Key(team) == "" {
		return fmt.Errorf("no team %q in the fleet", team)
	}
	plan := load.Plan{
		Entries:  r.fleet.URLs(),
		Duration: loadTime,
		Seed:     uint64(o.number("seed", len(r.loads)+1)),
		Streams: []load.Stream{{
			Name: args[0], Team: team, Key: r.fleet.Key(team), Queue: "steps",
			Rate: float64(o.number("rate", 50)),
			// Random intervals would make the goodput of a phase of some
			// seconds vary by more than the 5% that are checked.
			Constant:   o.text("arrivals", "constant") != "random",
			RunTime:    option(o, "run", load.Fixed(50*time.Millisecond), load.ParseRunTime),
			Idempotent: o.flag("idempotent", false),
			OwnIDs:     o.text("ids", "entry") == "own",
			Retries:    o.number("retries", 0),
			Timeout:    o.span("timeout", 10*time.Second),
			GiveUp:     o.span("give-up", 0),
		}},
	}
	if o.text("callers", "healthy") == "healthy" {
		plan.Usable = r.usable
	}
	if o.err != nil {
		return o.err
	}
	ctx, cancel := context.WithCancel(r.ctx)
	t := &traffic{name: args[0], cancel: cancel, done: make(chan struct{})}
	r.loads = append(r.loads, t)
	go func() {
		defer close(t.done)
		_, t.err = load.Run(ctx, plan, r.submitted)
	}()
	return nil
}

func (r *run) submitted(s judge.Submission) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submissions = append(r.submissions, s)
}

// unload ends loads and waits for the answers to their requests.
func (r *run) unload(names []string) error {
	for _, t := range r.loads {
		if len(names) > 0 && !slices.Contains(names, t.name) {
			continue
		}
		t.cancel()
	}
	for _, t := range r.loads {
		if len(names) > 0 && !slices.Contains(names, t.name) {
			continue
		}
		<-t.done
		if t.err != nil {
			return t.err
		}
	}
	return nil
}

// phase lets a stated time pass and names it.
func (r *run) phase(args []string) error {
	if len(args) != 2 {
		return errors.New("expected a name and a duration")
	}
	d, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	from := time.Now()
	time.Sleep(d)
	r.phases[args[0]] = phase{from.Add(settleTime), time.Now()}
	return nil
}

func (r *run) usable(url string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healthy[url]
}

// observe starts the callers' health checks and reads the configuration of
// each entry again and again.
func (r *run) observe() {
	client := &http.Client{Timeout: healthTimeout}
	for i, e := range r.fleet.Entries() {
		r.checkHealth(client, e)
		r.background.Go(func() { r.every(healthEvery, func() { r.checkHealth(client, e) }) })
		r.background.Go(func() { r.every(observeEvery, func() { r.observeConfig(e, i+1) }) })
	}
}

func (r *run) every(interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

func (r *run) checkHealth(client *http.Client, e *harness.Entry) {
	ok := false
	if resp, err := client.Get(e.OperatorURL + "/healthz"); err == nil {
		ok = resp.StatusCode == http.StatusOK
		_ = resp.Body.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.healthy[e.URL] = ok
}
