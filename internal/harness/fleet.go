// Package harness runs a whole fleet of real processes on the loopback
// interface for tests and measurements: the stand-ins of the platform and of
// endpoints, and entries. It is no part of the product.
//
// The programs come from the directory that TM_BIN names, which `make build`
// fills. Every process ends when the fleet is closed, and when the process that
// started it ends.
//
// Endpoints are in the platform's list of instances from the start. Entries are
// only after SetEntryInstance.
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
	// startTime is how long entries may take to become ready. They join one
	// after the other, each when the version before is in force.
	startTime = 60 * time.Second
	// pollEvery is the interval in which a condition is looked at.
	pollEvery = 20 * time.Millisecond
	// idlePerHost is the number of idle connections to one process.
	idlePerHost = 4
)

// Fleet is a running fleet. Its methods may be called concurrently, except
// those that start or end the same process.
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

// Start starts a fleet, waits until all entries are ready, and applies the
// configuration of the layout. The caller closes it.
func Start(ctx context.Context, layout Layout) (*Fleet, error) {
	layout.setDefaults()
	for _, name := range []string{"turmericmoor", "tmstandin"} {
		if _, err := binary(name); err != nil {
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
			Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost},
		},
		operatorKey: uuid.NewString(),
		keys:        map[string]string{},
	}
	if err := f.start(ctx); err != nil {
		// The logs are kept, so that the cause can be found.
		f.end()
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
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	return f.applyAll(ctx, f.changes())
}

// applyAll applies changes in as many requests as they need.
func (f *Fleet) applyAll(ctx context.Context, changes []tmchange.Change) error {
	for len(changes) > 0 {
		n := min(len(changes), tmchange.MaxChanges)
		if err := f.Apply(ctx, 1, changes[:n]...); err != nil {
			return err
		}
		changes = changes[n:]
	}
	return nil
}

// Apply makes changes through one entry, counted from 1, and waits until they
// are in force everywhere.
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

// WaitReady waits until all running entries take work and know each other.
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
			return f.ready(ctx, i+1, running)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Wait calls check until it returns nil or ctx ends. The error names what was
// waited for and the last error of check.
func (f *Fleet) Wait(ctx context.Context, what string, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("harness: waiting until %s: %w: last: %w", what, ctx.Err(), err)
		case <-time.After(pollEvery):
		}
	}
}

// Layout returns the layout with its defaults.
func (f *Fleet) Layout() Layout { return f.layout }

// Dir returns the directory with settings, keys and logs.
func (f *Fleet) Dir() string { return f.dir }

// LogFile returns the path of the log of a process.
func (f *Fleet) LogFile(name string) string { return filepath.Join(f.dir, name+".log") }

// Key returns the key of a team, KeyFile the file with it.
func (f *Fleet) Key(team string) string { return f.keys[team] }

// KeyFile returns the path of the file with the key of a team.
func (f *Fleet) KeyFile(team string) string { return filepath.Join(f.dir, team+".key") }

// OperatorKey returns the key of operators.
func (f *Fleet) OperatorKey() string { return f.operatorKey }

func (f *Fleet) keep(p *Process) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
}

// end kills all processes that still run.
func (f *Fleet) end() {
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

// Close kills all processes that still run and removes the directory.
func (f *Fleet) Close() error {
	f.end()
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

// New starts a fleet for a test, which ends with the test. The directory with
// the logs is kept when the test fails.
func New(t TB, layout Layout) *Fleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*startTime)
	defer cancel()
	f, err := Start(ctx, layout)
	if err != nil {
		t.Fatalf("%v", err)
		return nil
	}
	t.Cleanup(func() {
		if t.Failed() {
			f.end()
			t.Logf("harness: logs are in %s", f.dir)
			return
		}
		if err := f.Close(); err != nil {
			t.Logf("%v", err)
		}
	})
	return f
}
