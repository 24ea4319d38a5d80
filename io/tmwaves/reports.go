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
	// reportEvery is the age at which the report of an endpoint that is not
	// out of service for the wave is asked for again.
	reportEvery = 5 * tmclock.Second
	// unreachableAfter is how long an endpoint gives no answer before it
	// counts as unreachable. One lost answer must not use up a budget.
	unreachableAfter = 2 * tmclock.Second
	// refreshTimeout bounds one round of questions: a leader that waits for
	// hanging endpoints must still raise its counter in time.
	refreshTimeout = 1 * tmclock.Second
	// maxQuestions is the number of endpoints asked at a time.
	maxQuestions = 64
)

// reports are the last reports of endpoints. They belong to one goroutine,
// except while refresh runs.
type reports struct {
	Parts
	mu   sync.Mutex
	rows map[string]report
}

type report struct {
	endpoint tmwave.Endpoint
	// at is when the question of the last answer was asked, asked when the last
	// question was.
	at, asked tmclock.Millis
	// failedSince is when the first of the questions without an answer was
	// asked, or 0.
	failedSince tmclock.Millis
}

func newReports(parts Parts) *reports {
	return &reports{Parts: parts, rows: map[string]report{}}
}

// due returns the instances whose report is old, in the pools that the wave
// has instances in.
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
		row, ok := r.rows[name]
		if !ok || row.failedSince != 0 || now.Sub(row.at) >= reportEvery {
			names = append(names, name)
		}
	}
	return names
}

// olderThan returns those of the named instances whose question was asked
// before the given time.
func (r *reports) olderThan(at tmclock.Millis, names []string) []string {
	var old []string
	for _, name := range names {
		if r.rows[name].asked < at {
			old = append(old, name)
		}
	}
	return old
}

// refresh asks the named instances and reports whether an answer differs from
// the one before. Instances that the platform does not list as live are not
// asked.
func (r *reports) refresh(ctx context.Context, state tmfleet.State, names []string) bool {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout.Duration())
	defer cancel()
	live := r.Host.Live()
	slots := make(chan struct{}, maxQuestions)
	changed := false
	var calls sync.WaitGroup
	for _, name := range names {
		in, ok := state.Config().Instances().Get(name)
		if !ok || !live(name) {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			asked := r.Clock.Now()
			got, err := r.Endpoints.State(ctx, in.Address())
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.note(name, asked, got, err) {
				changed = true
			}
		})
	}
	calls.Wait()
	return changed
}

// note takes one answer and reports whether it differs from the one before.
func (r *reports) note(name string, asked tmclock.Millis, got tmendpoint.Report, err error) bool {
	row := r.rows[name]
	before := row
	row.asked = asked
	if err != nil {
		if row.failedSince == 0 {
			row.failedSince = asked
		}
		r.rows[name] = row
		return r.reachable(before) != r.reachable(row)
	}
	row = report{at: asked, asked: asked, endpoint: tmwave.Endpoint{
		State:   stateOf(got.State),
		Running: got.Running,
		Boots:   uint64(max(got.Boots, 0)),
	}}
	r.rows[name] = row
	idle := (before.endpoint.Running == 0) != (got.Running == 0)
	return idle || before.endpoint.State != row.endpoint.State || before.endpoint.Boots != row.endpoint.Boots
}

func (r *reports) reachable(row report) bool {
	return row.failedSince == 0 || r.Clock.Now().Sub(row.failedSince) < unreachableAfter
}

// all returns the reports of the instances of cfg.
func (r *reports) all(cfg tmfleet.Config) map[string]tmwave.Endpoint {
	live := r.Host.Live()
	out := make(map[string]tmwave.Endpoint, cfg.Instances().Len())
	for name := range cfg.Instances().All() {
		row := r.rows[name]
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
