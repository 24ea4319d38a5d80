// Package harness runs a complete fleet of real processes on the loopback
// interface for tests and measurements: stand-ins for the platform and the
// endpoints, and real entries. It is not part of the product.
//
// The binaries come from the directory named by TM_BIN, which `make build`
// fills. Every process is killed when the fleet is closed or when the process
// that started it exits.
//
// Endpoints are in the platform's list of instances from the start, entries
// only after SetEntryInstanceState.
package harness

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/google/uuid"

	"turmericmoor/core/tmchange"
	"turmericmoor/io/tmoperator"
)

const (
	// startTimeout is how long the entries may take to become ready. They join
	// one after another, each once the previous version is in force.
	startTimeout = 60 * time.Second
	// pollInterval is the interval at which Wait polls its condition.
	pollInterval = 20 * time.Millisecond
	// maxIdleConnsPerHost bounds the idle connections to one process.
	maxIdleConnsPerHost = 4
)

// Fleet is a running fleet. Its methods are safe for concurrent use, except for
// those that start or stop the same process.
type Fleet struct {
	layout      Layout
	dir         string
	ports       *Ports
	http        *http.Client
	operatorKey string
	keys        map[string]string
	platformURL string
	platform    *Process
	endpoints   []*Endpoint
	racks       []*endpointProcess
	entries     []*Entry

	peerRelays, platformRelays []*Relay

	mu        sync.Mutex
	processes []*Process
}

// Start starts a fleet, waits until all entries are ready and applies the
// configuration of the layout. The caller must close the fleet.
func Start(ctx context.Context, layout Layout) (*Fleet, error) {
	layout.setDefaults()
	for _, name := range []string{"turmericmoor", "tmstandin"} {
		if _, err := binaryPath(name); err != nil {
			return nil, err
		}
	}
	dir, err := os.MkdirTemp("", "tm-fleet-")
	if err != nil {
		return nil, fmt.Errorf("harness: %w", err)
	}
	f := &Fleet{
		layout: layout,
		dir:    dir,
		ports:  NewPorts(),
		http: &http.Client{
			Timeout:   callTimeout,
			Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost},
		},
		operatorKey: uuid.NewString(),
		keys:        map[string]string{},
	}
	if err := f.start(ctx); err != nil {
		// The directory is kept because its logs show the cause.
		f.shutdown()
		return nil, fmt.Errorf("%w; logs are in %s", err, dir)
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	for _, t := range f.layout.Teams {
		f.keys[t.Name] = uuid.NewString()
		if err := os.WriteFile(f.KeyFile(t.Name), []byte(f.keys[t.Name]), 0o600); err != nil {
			return fmt.Errorf("harness: key of %s: %w", t.Name, err)
		}
	}
	if err := os.WriteFile(filepath.Join(f.dir, "peer.secret"), []byte(uuid.NewString()+uuid.NewString()), 0o600); err != nil {
		return fmt.Errorf("harness: peer secret: %w", err)
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	for _, r := range f.layout.racks() {
		if err := f.addRack(ctx, r); err != nil {
			return err
		}
	}
	for i := range f.layout.Entries {
		e, err := f.addEntry(i + 1)
		if err != nil {
			return err
		}
		f.entries = append(f.entries, e)
		if err := f.startEntry(e); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	return f.applyBatches(ctx, f.setupChanges())
}

// applyBatches applies changes in batches of at most tmchange.MaxChanges.
func (f *Fleet) applyBatches(ctx context.Context, changes []tmchange.Change) error {
	for len(changes) > 0 {
		n := min(len(changes), tmchange.MaxChanges)
		if err := f.Apply(ctx, 1, changes[:n]...); err != nil {
			return err
		}
		changes = changes[n:]
	}
	return nil
}

// Apply sends changes to one entry, counted from 1, and waits until they are in
// force on all entries.
func (f *Fleet) Apply(ctx context.Context, number int, changes ...tmchange.Change) error {
	client, err := f.Operator(number)
	if err != nil {
		return err
	}
	id := uuid.NewString()
	status, err := client.Apply(ctx, tmoperator.ChangeRequest{ID: id, Changes: changes})
	if err != nil {
		return err
	}
	return f.Wait(ctx, fmt.Sprintf("change %s is in force", id), func() error {
		if status.InForce {
			return nil
		}
		status, err = client.ChangeStatus(ctx, id)
		if err == nil && !status.InForce {
			err = errors.New("stored, not yet confirmed")
		}
		return err
	})
}

// WaitReady waits until all running entries are healthy and know each other.
func (f *Fleet) WaitReady(ctx context.Context) error {
	running := 0
	for _, e := range f.entries {
		if e.process != nil && e.process.Running() {
			running++
		}
	}
	for i, e := range f.entries {
		err := f.Wait(ctx, e.Name+" is ready", func() error {
			if e.process == nil || !e.process.Running() {
				return nil
			}
			return f.checkReady(ctx, i+1, running)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Wait polls check until it returns nil or ctx is done. The error names the
// awaited condition and the last error of check.
func (f *Fleet) Wait(ctx context.Context, condition string, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("harness: waiting until %s: %w: last: %w", condition, ctx.Err(), err)
		case <-time.After(pollInterval):
		}
	}
}

// Layout returns the layout with its defaults filled in.
func (f *Fleet) Layout() Layout { return f.layout }

// Dir returns the directory that holds settings, keys and logs.
func (f *Fleet) Dir() string { return f.dir }

// LogFile returns the path of the log file of a process.
func (f *Fleet) LogFile(name string) string { return filepath.Join(f.dir, name+".log") }

// Key returns the API key of a team.
func (f *Fleet) Key(team string) string { return f.keys[team] }

// KeyFile returns the path of the file that holds the API key of a team.
func (f *Fleet) KeyFile(team string) string { return filepath.Join(f.dir, team+".key") }

// OperatorKey returns the key that authenticates operators.
func (f *Fleet) OperatorKey() string { return f.operatorKey }

// track registers a process to be killed by shutdown.
func (f *Fleet) track(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
}

// shutdown kills all processes that still run and closes the relays and idle
// connections.
func (f *Fleet) shutdown() {
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		if p.Running() {
			p.Kill()
		}
	}
	f.closeRelays()
	f.http.CloseIdleConnections()
}

// Close kills all processes that still run and removes the fleet's directory.
func (f *Fleet) Close() error {
	f.shutdown()
	if err := os.RemoveAll(f.dir); err != nil {
		return fmt.Errorf("harness: close: %w", err)
	}
	return nil
}

// TB is the part of testing.TB that New needs.
type TB interface {
	Helper()
	Fatalf(format string, args ...any)
	Cleanup(end func())
	Failed() bool
	Logf(format string, args ...any)
}

// New starts a fleet for a test and shuts it down when the test ends. The
// directory with the logs is kept when the test fails.
func New(t TB, layout Layout) *Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*startTimeout)
	defer cancel()
	f, err := Start(ctx, layout)
	if err != nil {
		t.Fatalf("%v", err)
		return nil
	}
	t.Cleanup(func() {
		if t.Failed() {
			f.shutdown()
			t.Logf("harness: logs are in %s", f.dir)
			return
		}
		if err := f.Close(); err != nil {
			t.Logf("%v", err)
		}
	})
	return f
}
