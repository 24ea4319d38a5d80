package tmentry_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmrequest"
	"turmericmoor/core/tmwave"
	"turmericmoor/internal/standin/tmfakeendpoint"
	"turmericmoor/internal/standin/tmfakeplatform"
	"turmericmoor/io/tmendpoint"
	"turmericmoor/io/tmentry"
	"turmericmoor/io/tmoperator"
	"turmericmoor/io/tmplatform"
	"turmericmoor/io/tmstore"
)

// rebootTime is short, so that a wave over a test fleet takes only seconds.
const rebootTime = 400 * tmclock.Millisecond

// waveFleet is a fleet whose endpoints are placed in pools and racks, with a
// client that reads the table service.
type waveFleet struct {
	*fleet
	store      *tmstore.Store
	budget     int
	placements map[string]placement
	servers    map[string]*httptest.Server
}

// placement says where an endpoint is.
type placement struct {
	zone, rack, pool string
}

// newWaveFleet starts three entries, and pools with racks of the given size:
// two racks in each of two zones for each pool. Each pool has a queue of the
// same name.
func newWaveFleet(t *testing.T, pools []string, rackSize, budget int, adjust func(*tmentry.Options)) *waveFleet {
	t.Helper()
	platform := tmfakeplatform.New(tmfakeplatform.Options{})
	server := httptest.NewServer(platform)
	client := tmplatform.New(tmplatform.Options{BaseURL: server.URL, Instance: "observer"})
	t.Cleanup(func() {
		client.Close()
		server.Close()
		platform.Close()
	})
	f := &waveFleet{
		fleet: &fleet{
			t: t, platform: platform, url: server.URL, adjust: adjust,
			endpoints: map[string]*tmfakeendpoint.Endpoint{}, addresses: map[string]string{},
		},
		store: tmstore.New(client), budget: budget,
		placements: map[string]placement{}, servers: map[string]*httptest.Server{},
	}
	changes := []tmchange.Change{tmchange.AddZone{Name: "a", Region: "west"}, tmchange.AddZone{Name: "b", Region: "west"}}
	for _, pool := range pools {
		changes = append(changes, tmchange.AddPool{Name: pool, MaxUnavailable: budget}, tmchange.AddQueue{Name: pool, Pool: pool})
		for i := range 4 * rackSize {
			p := placement{zone: string(rune('a' + i/(2*rackSize))), rack: fmt.Sprint(pool, "-r", i/rackSize), pool: pool}
			name := fmt.Sprintf("%s-%02d", pool, i)
			f.addPlacedEndpoint(name, p)
			changes = append(changes, tmchange.AddInstance{
				Name: name, Address: f.addresses[name], Zone: p.zone, Rack: p.rack, Pool: pool, Slots: 8,
			})
		}
	}
	for i := range 3 {
		f.addEntry(fmt.Sprintf("entry-%d", i))
	}
	f.eventually(10*time.Second, "all entries are ready", func() bool {
		for _, e := range f.entries {
			state, _ := e.State(context.Background())
			if !e.Ready() || state.Members().Len() != 3 {
				return false
			}
		}
		return true
	})
	f.apply(0, append(changes,
		tmchange.AddTeam{Name: "crews", Share: 1, Limit: 32 * rackSize * len(pools)},
		tmchange.GrantKey{Hash: tmrequest.HashKey("key"), Team: "crews", Label: "first"})...)
	return f
}

func (f *waveFleet) addPlacedEndpoint(name string, p placement) {
	endpoint := tmfakeendpoint.New(tmfakeendpoint.Options{Name: name, Zone: p.zone, RebootTime: rebootTime})
	server := httptest.NewServer(endpoint)
	f.t.Cleanup(func() {
		endpoint.Close()
		server.CloseClientConnections()
		server.Close()
	})
	f.endpoints[name], f.servers[name], f.placements[name] = endpoint, server, p
	f.addresses[name] = strings.TrimPrefix(server.URL, "http://")
	f.setListedState(name, "live")
}

func (f *waveFleet) setListedState(name, state string) {
	p := f.placements[name]
	f.platform.SetInstance(tmfakeplatform.Instance{Name: name, Zone: p.zone, Rack: p.rack, Address: f.addresses[name], State: state})
}

// failEndpoint ends an endpoint permanently. Its journal is not checked, since
// its tasks end with it.
func (f *waveFleet) failEndpoint(name string) {
	f.servers[name].CloseClientConnections()
	_ = f.servers[name].Listener.Close()
	f.setListedState(name, "gone")
	delete(f.endpoints, name)
}

// occupy runs one task at an endpoint, without an entry. It returns an error if
// the task is interrupted.
func (f *waveFleet) occupy(name string, run tmclock.Span) error {
	client := tmendpoint.New(tmendpoint.Options{})
	defer client.Close()
	ctx := context.Background()
	grant, err := client.Lease(ctx, f.addresses[name], "test", 1)
	if err == nil {
		_, err = client.Start(ctx, f.addresses[name], tmendpoint.Task{
			Lease: grant.Lease, Nonce: grant.Nonce, Attempt: "test-" + name, RequestID: "test-" + name,
			Team: "crews", Queue: "scans", Timeout: 2 * run, Size: 1, Body: fmt.Appendf(nil, `{"run_ms":%d}`, run),
		})
	}
	return err
}

// load submits requests through one entry until stop is called, and fails the
// test if one is not answered. The requests are not idempotent, so that none is
// sent again.
func (f *waveFleet) load(entry int, queue string, callers int, run tmclock.Span) (stop func()) {
	done := make(chan struct{})
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			for {
				select {
				case <-done:
					return
				default:
				}
				p := tmrequest.Params{Queue: queue, Timeout: 20 * tmclock.Second}
				if _, fail := f.submit(entry, p, run); fail != nil {
					f.t.Errorf("request in queue %s was not answered: %v", queue, fail)
					return
				}
			}
		})
	}
	return sync.OnceFunc(func() {
		close(done)
		wg.Wait()
	})
}

// startWave starts a wave through one entry.
func (f *waveFleet) startWave(entry int, name string, pools ...string) {
	f.t.Helper()
	req := tmoperator.WaveRequest{Name: name, Pools: pools, Reason: "kernel"}
	_, err := f.entries[entry].StartWave(context.Background(), req)
	assert.NilError(f.t, err)
}

// row returns the row of a wave, or an empty one if it can't be read.
func (f *waveFleet) row(name string) tmstore.Wave {
	w, _ := f.store.Wave(context.Background(), name)
	return w
}

func (f *waveFleet) waitDone(limit time.Duration, name string) {
	f.t.Helper()
	f.eventually(limit, "wave "+name+" is done", func() bool {
		p := f.row(name).Progress
		return p.ByInstance().Len() > 0 && p.Count(tmwave.Done) == p.ByInstance().Len()
	})
}

// history returns the history of the State, which must still include the whole
// wave.
func (f *waveFleet) history() []tmstore.Revision {
	f.t.Helper()
	history, err := f.store.History(context.Background())
	assert.NilError(f.t, err)
	assert.Assert(f.t, len(history) < 64, "the history no longer has the whole wave")
	return history
}

// span is a period in which an instance was out of service by plan, in
// milliseconds of the wall clock.
type span struct {
	instance string
	from, to tmclock.Millis
}

// replayHistory replays the versions of the State. It returns the periods out
// of service, and the first violation: a pool with more instances out of
// service by plan than its budget, or with some in two racks.
func (f *waveFleet) replayHistory() ([]span, error) {
	out := map[string]tmclock.Millis{}
	var spans []span
	var violation error
	for _, r := range f.history() {
		for _, c := range r.Changes {
			switch c := c.(type) {
			case tmchange.MarkDraining:
				out[c.Name] = r.Written
			case tmchange.MarkServing:
				spans = append(spans, span{c.Name, out[c.Name], r.Written})
				delete(out, c.Name)
			}
		}
		counts, racks := map[string]int{}, map[string]string{}
		for name := range out {
			p := f.placements[name]
			counts[p.pool]++
			if other := racks[p.pool]; violation == nil && other != "" && other != p.rack {
				violation = fmt.Errorf("version %d: instances of racks %s and %s are out of service together", r.Version, other, p.rack)
			}
			racks[p.pool] = p.rack
			if violation == nil && counts[p.pool] > f.budget {
				violation = fmt.Errorf("version %d: %d instances of pool %s are out of service, the budget is %d", r.Version, counts[p.pool], p.pool, f.budget)
			}
		}
	}
	return spans, violation
}

// checkJournals checks that every endpoint rebooted from least to most times,
// each time with no task running and while the State had it out of service.
func (f *waveFleet) checkJournals(least, most int, spans []span) {
	f.t.Helper()
	for name, e := range f.endpoints {
		n := 0
		for _, ev := range e.Journal() {
			if ev.Kind == "stop" {
				f.t.Errorf("%s: task %s was stopped: %s", name, ev.RequestID, ev.Reason)
			}
			if ev.Kind != "reboot" {
				continue
			}
			n++
			covered := false
			for _, s := range spans {
				at := tmclock.Millis(ev.AtMs)
				covered = covered || s.instance == name && s.from <= at && at <= s.to
			}
			assert.Assert(f.t, covered, "%s rebooted while the State had it in service", name)
		}
		assert.Assert(f.t, n >= least && n <= most, "%s rebooted %d times, expected %d to %d", name, n, least, most)
	}
}
