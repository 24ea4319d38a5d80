package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"turmericmoor/internal/judge"
	"turmericmoor/internal/standin/tmfakeendpoint"
	"turmericmoor/internal/standin/tmfakeplatform"
)

// Endpoint is a stand-in endpoint of a Fleet.
type Endpoint struct {
	Name, Zone, Rack, Pool string
	// Address is the IP:port of the endpoint.
	Address string

	process *endpointProcess
	// fetchedEvents is the number of journal events fetched since the process was
	// last started.
	fetchedEvents int
}

// URL returns the base URL of the endpoint.
func (e *Endpoint) URL() string { return "http://" + e.Address }

// Process returns the process that runs the endpoint's rack.
func (e *Endpoint) Process() *Process { return e.process.process }

// endpointProcess is the process that runs all endpoints of a rack.
type endpointProcess struct {
	rack      rack
	port      int
	process   *Process
	endpoints []*Endpoint
	// journal has all events fetched so far, including those of earlier starts.
	journal []judge.Event
}

func (f *Fleet) startPlatform() error {
	port, err := f.ports.Take(1)
	if err != nil {
		return err
	}
	f.platformURL = "http://" + f.ports.Address(port)
	args := []string{"platform", "--listen", f.ports.Address(port)}
	if f.layout.WritesPerSecond > 0 {
		args = append(args, "--writes", strconv.Itoa(f.layout.WritesPerSecond))
	}
	if f.layout.ReadsPerSecond > 0 {
		args = append(args, "--reads", strconv.Itoa(f.layout.ReadsPerSecond))
	}
	f.platform, err = f.startStandin("platform", args)
	return err
}

func (f *Fleet) startStandin(name string, args []string) (*Process, error) {
	path, err := binaryPath("tmstandin")
	if err != nil {
		return nil, err
	}
	p, err := startProcess(program{name: name, logFile: f.LogFile(name), path: path, args: args, standin: true})
	if err == nil {
		f.track(p)
	}
	return p, err
}

// addRack starts the endpoints of a rack and adds them to the platform's list of
// instances.
func (f *Fleet) addRack(ctx context.Context, r rack) error {
	port, err := f.ports.Take(r.size)
	if err != nil {
		return err
	}
	ep := &endpointProcess{rack: r, port: port}
	for i := range r.size {
		name := r.name
		if r.size > 1 {
			name = fmt.Sprintf("%s-%d", r.name, i+1)
		}
		ep.endpoints = append(ep.endpoints, &Endpoint{
			Name: name, Zone: r.zone, Rack: r.name, Pool: r.pool,
			Address: f.ports.Address(port + i), process: ep,
		})
	}
	f.racks = append(f.racks, ep)
	f.endpoints = append(f.endpoints, ep.endpoints...)
	if err := f.startRack(ep); err != nil {
		return err
	}
	for _, e := range ep.endpoints {
		if err := f.SetInstanceState(ctx, e, "live"); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) startRack(ep *endpointProcess) error {
	p, err := f.startStandin(ep.rack.name, []string{
		"endpoint", "--listen", f.ports.Address(ep.port), "--count", strconv.Itoa(ep.rack.size),
		"--name", ep.rack.name, "--zone", ep.rack.zone, "--slots", strconv.Itoa(f.layout.Slots),
	})
	ep.process = p
	for _, e := range ep.endpoints {
		e.fetchedEvents = 0
	}
	return err
}

// RestartRack starts the process of an endpoint's rack after it has exited.
// Events that Journal had not fetched before the exit are lost.
func (f *Fleet) RestartRack(e *Endpoint) error {
	if e.process.process.Running() {
		return fmt.Errorf("harness: rack %s is still running", e.Rack)
	}
	return f.startRack(e.process)
}

// Endpoints returns all endpoints. The caller must not modify the slice.
func (f *Fleet) Endpoints() []*Endpoint { return f.endpoints }

// Platform returns the process of the stand-in platform.
func (f *Fleet) Platform() *Process { return f.platform }

// PlatformURL returns the base URL of the platform.
func (f *Fleet) PlatformURL() string { return f.platformURL }

// SetPlatformFaults sets the faults that the platform simulates. It replaces all
// earlier ones.
func (f *Fleet) SetPlatformFaults(ctx context.Context, c tmfakeplatform.Control) error {
	return f.post(ctx, f.platformURL+"/v1/control", c)
}

// SetEndpointFaults sets the faults that an endpoint simulates. It replaces all
// earlier ones.
func (f *Fleet) SetEndpointFaults(ctx context.Context, e *Endpoint, faults tmfakeendpoint.Faults) error {
	return f.post(ctx, e.URL()+"/v1/control", faults)
}

// SetInstanceState sets the state of an endpoint in the platform's list of
// instances: live, leaving or gone.
func (f *Fleet) SetInstanceState(ctx context.Context, e *Endpoint, state string) error {
	return f.post(ctx, f.platformURL+"/v1/control/instances", tmfakeplatform.Instance{
		Name: e.Name, Zone: e.Zone, Rack: e.Rack, Address: e.Address, State: state,
	})
}

// SetEntryInstanceState sets the state of an entry in the platform's list of
// instances.
func (f *Fleet) SetEntryInstanceState(ctx context.Context, e *Entry, state string) error {
	return f.post(ctx, f.platformURL+"/v1/control/instances", tmfakeplatform.Instance{
		Name: e.Name, Zone: e.Zone, Rack: e.Name, Address: e.PeerAddress, State: state,
	})
}

// PlatformStats returns how many calls the platform has served and rejected.
func (f *Fleet) PlatformStats(ctx context.Context) (tmfakeplatform.Stats, error) {
	var stats tmfakeplatform.Stats
	err := f.call(ctx, http.MethodGet, f.platformURL+"/v1/control/stats", nil, &stats)
	return stats, err
}

// Journal returns the events of all endpoints. For endpoints that don't run it
// returns the events fetched by earlier calls.
func (f *Fleet) Journal(ctx context.Context) ([]judge.Event, error) {
	var all []judge.Event
	for _, ep := range f.racks {
		if ep.process.Running() {
			if err := f.readJournal(ctx, ep); err != nil {
				return nil, err
			}
		}
		all = append(all, ep.journal...)
	}
	return all, nil
}

func (f *Fleet) readJournal(ctx context.Context, ep *endpointProcess) error {
	for _, e := range ep.endpoints {
		events, err := judge.EndpointEvents(ctx, f.http, e.URL(), e.fetchedEvents)
		if err != nil {
			return err
		}
		e.fetchedEvents += len(events)
		ep.journal = append(ep.journal, events...)
	}
	return nil
}

// Evidence collects the judge's input: the given submissions, the endpoints'
// journals and the limits and runs stored on the platform.
func (f *Fleet) Evidence(ctx context.Context, submissions []judge.Submission) (judge.History, error) {
	events, err := f.Journal(ctx)
	if err != nil {
		return judge.History{}, err
	}
	limits, err := judge.PlatformLimits(ctx, f.http, f.platformURL)
	if err != nil {
		return judge.History{}, err
	}
	runs, err := judge.PlatformRuns(ctx, f.http, f.platformURL)
	return judge.History{Submissions: submissions, Events: events, Limits: limits, Runs: runs}, err
}

func (f *Fleet) post(ctx context.Context, target string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	return f.call(ctx, http.MethodPost, target, data, nil)
}

// call sends one request to a stand-in and decodes the response into out unless
// out is nil.
func (f *Fleet) call(ctx context.Context, method, target string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return fmt.Errorf("harness: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(strings.TrimSpace(string(data)))
	}
	if err != nil {
		return fmt.Errorf("harness: %s %s: status %d: %w", method, target, resp.StatusCode, err)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("harness: %s: %w", target, err)
	}
	return nil
}
