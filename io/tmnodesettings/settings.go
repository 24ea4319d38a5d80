// Package tmnodesettings loads the INI settings of a node. All values are
// validated on loading. Unknown keys are ignored and reported, so that a node can
// run with the settings of a newer installation.
package tmnodesettings

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmshard"
	"turmericmoor/io/tmguard"
	"turmericmoor/io/tmini"
)

// Settings holds the settings of one node. It is immutable.
type Settings struct {
	name, zone               string
	callers, health, metrics string
	store, instances, advice string
	crossPart                bool
	resources                tmshard.Node
	shutdown                 time.Duration
	keyWithdrawn             time.Duration
	keepOutcomes             time.Duration
	bounds                   tmcontrol.Bounds
	limits                   tmguard.Limits
	jobSteps, jobTasks       int
	unknown                  []string
}

// Name returns the name of the node, which is unique among nodes.
func (s Settings) Name() string { return s.name }

// Zone returns the availability zone of the node.
func (s Settings) Zone() string { return s.zone }

// Resources returns what the node may use of its machine.
func (s Settings) Resources() tmshard.Node { return s.resources }

// Callers returns the IP:port of the listener for callers.
func (s Settings) Callers() string { return s.callers }

// Health returns the IP:port of the listener for the load balancer's health check.
func (s Settings) Health() string { return s.health }

// Metrics returns the IP:port of the listener for metrics and state dumps, or ""
// if there is none.
func (s Settings) Metrics() string { return s.metrics }

// Store returns the IP:port of the table service.
func (s Settings) Store() string { return s.store }

// CrossPart reports whether one transaction may write to several parts of the
// store.
func (s Settings) CrossPart() bool { return s.crossPart }

// Instances returns the IP:port of the platform's interface for instances, or ""
// if there is none.
func (s Settings) Instances() string { return s.instances }

// Advice returns the IP:port of the placement policy service, or "" if there is
// none.
func (s Settings) Advice() string { return s.advice }

// Shutdown returns the time that the platform leaves between SIGTERM and SIGKILL.
func (s Settings) Shutdown() time.Duration { return s.shutdown }

// KeyWithdrawn returns the time within which a revoked key must stop working.
func (s Settings) KeyWithdrawn() time.Duration { return s.keyWithdrawn }

// KeepOutcomes returns how long callers can query the outcome of a job.
func (s Settings) KeepOutcomes() time.Duration { return s.keepOutcomes }

// Bounds returns the bounds of the controller.
func (s Settings) Bounds() tmcontrol.Bounds { return s.bounds }

// Limits returns the limits of clients of the listeners.
func (s Settings) Limits() tmguard.Limits { return s.limits }

// JobSteps returns the largest number of steps of a job.
func (s Settings) JobSteps() int { return s.jobSteps }

// JobTasks returns the largest number of tasks of a job.
func (s Settings) JobTasks() int { return s.jobTasks }

// Unknown returns the unknown keys, which were ignored.
func (s Settings) Unknown() []string { return s.unknown }

// CanReload reports whether a change from s to the given settings needs no restart:
// name, zone, resources, addresses, CrossPart and the limits of clients are the same.
func (s Settings) CanReload(to Settings) bool {
	return s.name == to.name && s.zone == to.zone && s.resources == to.resources && s.callers == to.callers && s.health == to.health && s.metrics == to.metrics &&
		s.store == to.store && s.instances == to.instances && s.advice == to.advice && s.crossPart == to.crossPart &&
		s.limits == to.limits && s.jobSteps == to.jobSteps && s.jobTasks == to.jobTasks
}

// Defaults of bounds that the settings don't give.
const (
	defaultShutdown     = 6 * time.Second
	defaultKeyWithdrawn = 5 * time.Second
	defaultKeepOutcomes = 120 * time.Second
	// outcomeMargin allows for wall clock skew.
	outcomeMargin        = 30 * time.Second
	defaultMaxLease      = 10 * tmclock.Second
	defaultHandoverDelay = 3 * tmclock.Second
	defaultMaintenance   = 2 * tmclock.Second
	defaultMove          = 1500 * tmclock.Millisecond
	// leaseDuration is the length of a lease granted to an endpoint. It is longer than a
	// change of owner takes, and no longer than the tasks of an endpoint that is not
	// live can wait.
	leaseDuration = 5 * tmclock.Second
	// defaultRowBytes is the maximum size of a row of the store, minRowBytes the least that
	// the rows of an owner need.
	defaultRowBytes = 65_536
	minRowBytes     = 8_192
)

// Load reads the settings file at path. Invalid settings give a
// *tmini.InvalidError that lists every problem found.
func Load(path string) (Settings, error) {
	entries, err := tmini.Load(path)
	if err != nil {
		return Settings{}, fmt.Errorf("tmnodesettings: %w", err)
	}
	return build(path, entries)
}

// Parse reads settings from data, the contents of a file. The name of the file is
// used in errors only.
func Parse(name string, data []byte) (Settings, error) {
	entries, err := tmini.Parse(name, data)
	if err != nil {
		return Settings{}, fmt.Errorf("tmnodesettings: %w", err)
	}
	return build(name, entries)
}

type reader struct {
	file     string
	values   map[string]tmini.Entry
	problems []tmini.Problem
}

func build(file string, entries []tmini.Entry) (Settings, error) {
	r := &reader{file: file, values: map[string]tmini.Entry{}}
	for _, e := range entries {
		if e.Key != "" {
			r.values[e.Name()] = e
		}
	}
	maxLease := r.span("bounds.lease_max_ms", defaultMaxLease)
	s := Settings{
		name: r.text("node.name"),
		zone: r.text("node.zone"),
		resources: tmshard.Node{
			Cores:    r.number("node.cores", 1),
			MemoryMB: r.number("node.memory_mb", 0),
			LinkMbps: r.number("node.link_mbps", 0),
			Files:    int(r.number("node.max_files", 0)),
		},
		callers:      r.address("listen.callers", true),
		health:       r.address("listen.health", true),
		metrics:      r.address("listen.metrics", false),
		store:        r.address("store.address", true),
		crossPart:    r.flag("store.across"),
		instances:    r.address("instances.address", false),
		advice:       r.address("advice.address", false),
		shutdown:     r.seconds("bounds.shutdown_s", defaultShutdown),
		keepOutcomes: r.seconds("bounds.keep_outcomes_s", defaultKeepOutcomes) + outcomeMargin,
		keyWithdrawn: r.span("bounds.key_withdrawn_ms", tmclock.SpanOf(defaultKeyWithdrawn)).Duration(),
		bounds: tmcontrol.Bounds{
			Lease:         min(leaseDuration, maxLease),
			MaxLease:      maxLease,
			HandoverDelay: r.span("bounds.turn_ms", defaultHandoverDelay),
			Maintenance:   tmclock.SpanOf(r.seconds("bounds.upkeep_s", defaultMaintenance.Duration())),
			Move:          tmclock.SpanOf(r.seconds("bounds.move_s", defaultMove.Duration())),
			RowBytes:      r.rowBytes("store.row_bytes"),
		},
	}
	s.limits = r.limits(s.resources)
	s.jobSteps = r.count("limits.job_steps", tmjob.MaxSteps, tmjob.MaxSteps)
	s.jobTasks = r.count("limits.job_tasks", tmjob.MaxTasks, tmjob.MaxTasks)
	for name := range r.values {
		s.unknown = append(s.unknown, name)
	}
	if len(r.problems) > 0 {
		return Settings{}, &tmini.InvalidError{Problems: r.problems}
	}
	return s, nil
}

// take removes the entry of a key from the values and returns it. Its value is ""
// if the key is missing or empty. The keys that remain at the end are unknown.
func (r *reader) take(name string) tmini.Entry {
	e := r.values[name]
	delete(r.values, name)
	return e
}

func (r *reader) addProblem(name string, e tmini.Entry, expected string) {
	message := "is missing"
	if e.Value != "" {
		message = fmt.Sprintf("is %q", e.Value)
	}
	r.problems = append(r.problems, tmini.Problem{File: r.file, Line: e.Line, Field: name, Message: message, Expected: expected})
}

func (r *reader) text(name string) string {
	e := r.take(name)
	if e.Value == "" {
		r.addProblem(name, e, "a name")
	}
	return e.Value
}

func (r *reader) address(name string, required bool) string {
	e := r.take(name)
	if e.Value == "" && !required {
		return ""
	}
	host, port, err := net.SplitHostPort(e.Value)
	if err != nil || net.ParseIP(host) == nil {
		r.addProblem(name, e, "IP:port")
		return ""
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		r.addProblem(name, e, "a port from 0 to 65535")
	}
	return e.Value
}

func (r *reader) flag(name string) bool {
	e := r.take(name)
	if e.Value == "" {
		return false
	}
	v, err := strconv.ParseBool(e.Value)
	if err != nil {
		r.addProblem(name, e, "true or false")
	}
	return v
}

func (r *reader) number(name string, fallback float64) float64 {
	e := r.take(name)
	if e.Value == "" {
		return fallback
	}
	v, err := strconv.ParseFloat(e.Value, 64)
	if err != nil || v < 0 {
		r.addProblem(name, e, "a number of 0 or more")
	}
	return v
}

// rowBytes returns the maximum size of a row of the store in bytes.
func (r *reader) rowBytes(name string) int {
	e := r.values[name]
	n := r.number(name, defaultRowBytes)
	if n < minRowBytes {
		r.addProblem(name, e, fmt.Sprintf("%d bytes or more", minRowBytes))
	}
	return int(n)
}

func (r *reader) span(name string, fallback tmclock.Span) tmclock.Span {
	return tmclock.Span(r.number(name, float64(fallback)))
}

func (r *reader) seconds(name string, fallback time.Duration) time.Duration {
	return time.Duration(r.number(name, fallback.Seconds()) * float64(time.Second))
}
