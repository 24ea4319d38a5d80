package tmwaves

import (
	"context"
	"sync"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmwave"
	"turmericmoor/io/tmendpoint"
)

const (
	// reportInterval is the age of a report at which its endpoint is queried again.
	// Endpoints that are out of service for the wave are queried more often.
	reportInterval = 5 * tmclock.Second
	// unreachableTimeout is how long queries of an endpoint must have failed before
	// it counts as unreachable and so against the budget of its pool. A single lost
	// response must not use up that budget.
	unreachableTimeout = 2 * tmclock.Second
	// refreshTimeout bounds one refresh of the reports, so that a leader still
	// renews its lease in time when endpoints hang.
	refreshTimeout = 1 * tmclock.Second
	// maxConcurrentQueries is the maximum number of endpoints queried at a time.
	maxConcurrentQueries = 64
)

// reports caches the last report of each endpoint. Only one goroutine may call its
// methods. The goroutines that refresh starts for the queries hold mu while they
// record a result.
type reports struct {
	Dependencies
	mu         sync.Mutex
	byInstance map[string]report
}

type report struct {
	endpoint tmwave.Endpoint
	// lastAttempt is when the last query was sent, and lastSuccess when the last
	// query that got a response was sent.
	lastSuccess, lastAttempt tmclock.Millis
	// failedSince is when the first query that failed after lastSuccess was sent, or
	// 0 if none has failed.
	failedSince tmclock.Millis
}

func newReports(deps Dependencies) *reports {
	return &reports{Dependencies: deps, byInstance: map[string]report{}}
}

// due returns the instances to query, in the pools that have instances of the
// wave. An instance is due if it has no report, its last query failed or its
// report is older than reportInterval.
func (r *reports) due(cfg tmfleet.Config, p tmwave.Progress) []string {
	pools := map[string]bool{}
	for name := range p.ByInstance().All() {
		in, _ := cfg.Instances().Get(name)
		pools[in.Pool()] = true
	}
	now := r.Clock.Now()
	var names []string
	for name, in := range cfg.Instances().All() {
		if !pools[in.Pool()] {
			continue
		}
		row, ok := r.byInstance[name]
		if !ok || row.failedSince != 0 || now.Sub(row.lastSuccess) >= reportInterval {
			names = append(names, name)
		}
	}
	return names
}

// queriedBefore returns those of the named instances whose last query was sent
// before the given time.
func (r *reports) queriedBefore(before tmclock.Millis, names []string) []string {
	var old []string
	for _, name := range names {
		if r.byInstance[name].lastAttempt < before {
			old = append(old, name)
		}
	}
	return old
}

// refresh queries the named instances and reports whether one of the reports has
// changed. It skips instances that the platform doesn't list as live.
func (r *reports) refresh(ctx context.Context, state tmfleet.State, names []string) bool {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout.Duration())
	defer cancel()
	live := r.Host.Live()
	semaphore := make(chan struct{}, maxConcurrentQueries)
	changed := false
	var calls sync.WaitGroup
	for _, name := range names {
		in, ok := state.Config().Instances().Get(name)
		if !ok || !live(name) {
			continue
		}
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			sentAt := r.Clock.Now()
			got, err := r.Endpoints.State(ctx, in.Address())
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.record(name, sentAt, got, err) {
				changed = true
			}
		})
	}
	calls.Wait()
	return changed
}

// record stores the outcome of one query and reports whether the report has
// changed. Of the number of running tasks, only a change from or to 0 counts.
func (r *reports) record(name string, sentAt tmclock.Millis, got tmendpoint.Report, err error) bool {
	row := r.byInstance[name]
	before := row
	row.lastAttempt = sentAt
	if err != nil {
		if row.failedSince == 0 {
			row.failedSince = sentAt
		}
		r.byInstance[name] = row
		return r.reachable(before) != r.reachable(row)
	}
	row = report{lastSuccess: sentAt, lastAttempt: sentAt, endpoint: tmwave.Endpoint{
		State:   stateOf(got.State),
		Running: got.Running,
		Boots:   uint64(max(got.Boots, 0)),
	}}
	r.byInstance[name] = row
	idleChanged := (before.endpoint.Running == 0) != (got.Running == 0)
	return idleChanged || before.endpoint.State != row.endpoint.State || before.endpoint.Boots != row.endpoint.Boots
}

func (r *reports) reachable(row report) bool {
	return row.failedSince == 0 || r.Clock.Now().Sub(row.failedSince) < unreachableTimeout
}

// endpoints returns the last reports of all instances in cfg. Those that aren't
// live or don't respond are unreachable.
func (r *reports) endpoints(cfg tmfleet.Config) map[string]tmwave.Endpoint {
	live := r.Host.Live()
	out := make(map[string]tmwave.Endpoint, cfg.Instances().Len())
	for name := range cfg.Instances().All() {
		row := r.byInstance[name]
		e := row.endpoint
		e.Live = live(name)
		if !e.Live || !r.reachable(row) {
			e.State = tmwave.Unreachable
		}
		out[name] = e
	}
	return out
}

func stateOf(s tmendpoint.State) tmwave.EndpointState {
	switch s {
	case tmendpoint.Serving:
		return tmwave.EndpointServing
	case tmendpoint.Draining:
		return tmwave.EndpointDraining
	case tmendpoint.Rebooting:
		return tmwave.EndpointRebooting
	default:
		return tmwave.Unreachable
	}
}
