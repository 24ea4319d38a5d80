package tmentry_test

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmrequest"
	"turmericmoor/internal/standin/tmfakeendpoint"
	"turmericmoor/internal/standin/tmfakeplatform"
	"turmericmoor/io/tmentry"
	"turmericmoor/io/tmoperator"
)

// fleet has a platform, endpoints and entries in one process.
type fleet struct {
	t         *testing.T
	platform  *tmfakeplatform.Platform
	url       string
	endpoints map[string]*tmfakeendpoint.Endpoint
	addresses map[string]string
	entries   []*tmentry.Entry
	filter    func(from, to string) bool
	// adjust changes the options of each entry, unless it is nil.
	adjust func(*tmentry.Options)
}

// newFleet starts a platform, four endpoints in zones a and b, and n entries.
func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	return newFleetWith(t, n, nil)
}

// newFleetWith is like newFleet and filters the traffic between entries.
func newFleetWith(t *testing.T, n int, filter func(from, to string) bool) *fleet {
	t.Helper()
	platform := tmfakeplatform.New(tmfakeplatform.Options{})
	server := httptest.NewServer(platform)
	t.Cleanup(func() {
		server.Close()
		platform.Close()
	})
	f := &fleet{
		t:         t,
		platform:  platform,
		url:       server.URL,
		endpoints: map[string]*tmfakeendpoint.Endpoint{},
		addresses: map[string]string{},
		filter:    filter,
	}
	for i := range 4 {
		f.addEndpoint(fmt.Sprintf("ep-%d", i), string(rune('a'+i%2)))
	}
	for i := range n {
		f.addEntry(fmt.Sprintf("entry-%d", i))
	}
	f.eventually(10*time.Second, "all entries are ready", func() bool {
		for _, e := range f.entries {
			state, _ := e.State(context.Background())
			if !e.Ready() || state.Members().Len() != n {
				return false
			}
		}
		return true
	})
	return f
}

func (f *fleet) addEndpoint(name, zone string) {
	endpoint := tmfakeendpoint.New(tmfakeendpoint.Options{Name: name, Zone: zone})
	server := httptest.NewServer(endpoint)
	f.t.Cleanup(func() {
		endpoint.Close()
		server.CloseClientConnections()
		server.Close()
	})
	f.endpoints[name] = endpoint
	f.addresses[name] = strings.TrimPrefix(server.URL, "http://")
	f.platform.SetInstance(tmfakeplatform.Instance{Name: name, Zone: zone, Rack: "r-" + name, Address: f.addresses[name], State: "live"})
}

func (f *fleet) addEntry(name string) *tmentry.Entry {
	f.t.Helper()
	opts := tmentry.Options{
		Name:        name,
		Zone:        "a",
		PeerListen:  freePort(f.t),
		PeerSecret:  []byte("a secret of the test fleet"),
		PlatformURL: f.url,
		Log:         testLog(),
		PeerFilter:  f.filter,
	}
	if f.adjust != nil {
		f.adjust(&opts)
	}
	e, err := tmentry.Start(opts)
	assert.NilError(f.t, err)
	f.entries = append(f.entries, e)
	f.t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = e.Close(ctx)
	})
	return e
}

// configure adds two zones, one pool with all endpoints, a queue and a team
// whose key is "key".
func (f *fleet) configure(limit int) {
	f.t.Helper()
	changes := []tmchange.Change{
		tmchange.AddZone{Name: "a", Region: "west"},
		tmchange.AddZone{Name: "b", Region: "west"},
		tmchange.AddPool{Name: "pool", MaxUnavailable: 1},
		tmchange.AddQueue{Name: "scans", Pool: "pool"},
	}
	for name, e := range f.addresses {
		zone := "a"
		if name == "ep-1" || name == "ep-3" {
			zone = "b"
		}
		changes = append(changes, tmchange.AddInstance{Name: name, Address: e, Zone: zone, Rack: "r-" + name, Pool: "pool", Slots: 8})
	}
	changes = append(changes,
		tmchange.AddTeam{Name: "crews", Share: 1, Limit: limit},
		tmchange.GrantKey{Hash: tmrequest.HashKey("key"), Team: "crews", Label: "first"},
	)
	f.apply(0, changes...)
}

// apply applies changes through one entry and checks that they are in force.
func (f *fleet) apply(entry int, changes ...tmchange.Change) {
	f.t.Helper()
	status, err := f.entries[entry].Apply(context.Background(), tmoperator.ChangeRequest{ID: uuid.NewString(), Changes: changes})
	assert.NilError(f.t, err)
	assert.Assert(f.t, status.InForce)
}

// submit sends a request whose task runs for the given time.
func (f *fleet) submit(entry int, p tmrequest.Params, run tmclock.Span) (tmrequest.Answer, *tmrequest.Error) {
	if p.Queue == "" {
		p.Queue = "scans"
	}
	if p.KeyHash == "" {
		p.KeyHash = tmrequest.HashKey("key")
	}
	if p.ID == "" {
		id, _ := uuid.NewV7()
		p.ID = id.String()
	}
	p.Body = fmt.Appendf(nil, `{"run_ms":%d,"echo":%q}`, run, p.ID)
	return f.entries[entry].Submit(context.Background(), tmrequest.New(p))
}

// eventually waits until the condition holds. It fails the test after the
// limit.
func (f *fleet) eventually(limit time.Duration, what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(limit)
	for !holds() {
		if time.Now().After(deadline) {
			f.t.Fatalf("condition not met within %v: %s", limit, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// testLog returns a logger that writes to standard error if TM_TEST_LOG is set.
func testLog() *log.Logger {
	if os.Getenv("TM_TEST_LOG") == "" {
		return log.New(io.Discard)
	}
	return log.NewWithOptions(os.Stderr, log.Options{Level: log.DebugLevel, ReportTimestamp: true, TimeFormat: "05.000"})
}
