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
	// maxLoadDuration is longer than any script, so loads run until they are stopped.
	maxLoadDuration = 10 * time.Minute
	// healthInterval is the interval of the callers' health checks.
	healthInterval = 50 * time.Millisecond
	// healthTimeout is the timeout of a health check.
	healthTimeout = 500 * time.Millisecond
	// phaseSettleTime is excluded at the start of each phase, because answers that
	// arrive in it belong to requests sent before the phase.
	phaseSettleTime = 500 * time.Millisecond
)

// activeLoad is a load started by a script.
type activeLoad struct {
	name   string
	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

func (l *activeLoad) stop() {
	l.cancel()
	<-l.done
}

func (r *run) load(args []string) error {
	if len(args) == 0 {
		return errors.New("expected a team")
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
		Duration: maxLoadDuration,
		Seed:     uint64(o.number("seed", len(r.loads)+1)),
		Streams: []load.Stream{{
			Name: args[0], Team: team, Key: r.fleet.Key(team), Queue: "steps",
			Rate: float64(o.number("rate", 50)),
			// Over a phase of a few seconds, random intervals would make the
			// goodput vary by more than the checked 5%.
			ConstantInterval: o.text("arrivals", "constant") != "random",
			RunTime:          option(o, "run", load.Fixed(50*time.Millisecond), load.ParseRunTime),
			Idempotent:       o.flag("idempotent", false),
			CallerChoosesIDs: o.text("ids", "entry") == "own",
			Retries:          o.number("retries", 0),
			Timeout:          o.duration("timeout", 10*time.Second),
			GiveUpAfter:      o.duration("give-up", 0),
		}},
	}
	if o.text("callers", "healthy") == "healthy" {
		plan.Usable = r.isHealthy
	}
	if o.err != nil {
		return o.err
	}
	ctx, cancel := context.WithCancel(r.ctx)
	l := &activeLoad{name: args[0], cancel: cancel, done: make(chan struct{})}
	r.loads = append(r.loads, l)
	go func() {
		defer close(l.done)
		_, l.err = load.Run(ctx, plan, r.recordSubmission)
	}()
	return nil
}

func (r *run) recordSubmission(s judge.Submission) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submissions = append(r.submissions, s)
}

// unload stops the named loads, or all, and waits until their requests have
// finished.
func (r *run) unload(names []string) error {
	for _, l := range r.loads {
		if len(names) > 0 && !slices.Contains(names, l.name) {
			continue
		}
		l.cancel()
	}
	for _, l := range r.loads {
		if len(names) > 0 && !slices.Contains(names, l.name) {
			continue
		}
		<-l.done
		if l.err != nil {
			return l.err
		}
	}
	return nil
}

// phase waits for a duration and records it as a named phase.
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
	r.phases[args[0]] = phase{from.Add(phaseSettleTime), time.Now()}
	return nil
}

func (r *run) isHealthy(url string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.healthy[url]
}

// startObservers starts the callers' health checks and periodic reads of each
// entry's configuration.
func (r *run) startObservers() {
	client := &http.Client{Timeout: healthTimeout}
	for i, e := range r.fleet.Entries() {
		r.checkHealth(client, e)
		r.background.Go(func() { r.runPeriodically(healthInterval, func() { r.checkHealth(client, e) }) })
		r.background.Go(func() { r.runPeriodically(observeInterval, func() { r.observeConfig(e, i+1) }) })
	}
}

// runPeriodically calls do at each interval until the run ends.
func (r *run) runPeriodically(interval time.Duration, do func()) {
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
