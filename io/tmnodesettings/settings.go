// Package tmnodesettings reads the INI settings of a node. Values are checked
// at once; keys that are not known are passed over and named, so that a newer
// installation can be served.
package tmnodesettings

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/io/tmini"
)

// Settings are the settings of one node. They are immutable.
type Settings struct {
	name, zone               string
	callers, health, metrics string
	store, instances, advice string
	across                   bool
	cores                    float64
	shutdown                 time.Duration
	keyWithdrawn             time.Duration
	keepOutcomes             time.Duration
	bounds                   tmcontrol.Bounds
	unknown                  []string
}

// Name returns the name of the node, which is unique among nodes.
func (s Settings) Name() string { return s.name }

// Zone returns the availability zone of the node.
func (s Settings) Zone() string { return s.zone }

// Cores returns the processor share of the node in cores.
func (s Settings) Cores() float64 { return s.cores }

// Callers returns IP:port of the listener for callers.
func (s Settings) Callers() string { return s.callers }

// Health returns IP:port of the listener for the balancer's question.
func (s Settings) Health() string { return s.health }

// Metrics returns IP:port of the listener for metrics and dumps, or "".
func (s Settings) Metrics() string { return s.metrics }

// Store returns IP:port of the table service.
func (s Settings) Store() string { return s.store }

// Across reports whether a transaction may write to several parts.
func (s Settings) Across() bool { return s.across }

// Instances returns IP:port of the interface for instances, or "".
func (s Settings) Instances() string { return s.instances }

// Advice returns IP:port of the placement policy, or "".
func (s Settings) Advice() string { return s.advice }

// Shutdown returns the time between SIGTERM and SIGKILL.
func (s Settings) Shutdown() time.Duration { return s.shutdown }

// KeyWithdrawn returns within what time a withdrawn key must stop working.
func (s Settings) KeyWithdrawn() time.Duration { return s.keyWithdrawn }

// KeepOutcomes returns how long callers can ask for the outcome of a job.
func (s Settings) KeepOutcomes() time.Duration { return s.keepOutcomes }

// Bounds returns the bounds of the controller.
func (s Settings) Bounds() tmcontrol.Bounds { return s.bounds }

// Unknown returns the keys that were passed over.
func (s Settings) Unknown() []string { return s.unknown }

// SameAddresses reports whether nothing has changed that needs a restart.
func (s Settings) SameAddresses(o Settings) bool {
	return s.name == o.name && s.callers == o.callers && s.health == o.health && s.metrics == o.metrics &&
		s.store == o.store && s.instances == o.instances && s.advice == o.advice && s.across == o.across
}

// Defaults of bounds that an installation leaves out.
const (
	defaultShutdown     = 6 * time.Second
	defaultKeyWithdrawn = 5 * time.Second
	defaultKeepOutcomes = 120 * time.Second
	// outcomeSlack covers the differences of clocks of day.
	outcomeSlack    = 30 * time.Second
	defaultLeaseMax = 10 * tmclock.Second
	defaultTurn     = 3 * tmclock.Second
	defaultUpkeep   = 2 * tmclock.Second
	defaultMove     = 1500 * tmclock.Millisecond
	// lease is how long a grant lasts: longer than a change of owner takes, and
	// no longer than tasks of a dead endpoint can wait.
	lease = 5 * tmclock.Second
)

// Load reads the settings file at path. It returns a *tmini.InvalidError with
// every problem found.
func Load(path string) (Settings, error) {
	entries, err := tmini.Load(path)
	if err != nil {
		return Settings{}, fmt.Errorf("tmnodesettings: %w", err)
	}
	return build(path, entries)
}

// Parse reads settings from the contents of a file. The name is used in errors.
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
	s := Settings{
		name:         r.text("node.name"),
		zone:         r.text("node.zone"),
		cores:        r.number("node.cores", 1),
		callers:      r.address("listen.callers", true),
		health:       r.address("listen.health", true),
		metrics:      r.address("listen.metrics", false),
		store:        r.address("store.address", true),
		across:       r.flag("store.across"),
		instances:    r.address("instances.address", false),
		advice:       r.address("advice.address", false),
		shutdown:     r.seconds("bounds.shutdown_s", defaultShutdown),
		keepOutcomes: r.seconds("bounds.keep_outcomes_s", defaultKeepOutcomes) + outcomeSlack,
		keyWithdrawn: r.span("bounds.key_withdrawn_ms", tmclock.SpanOf(defaultKeyWithdrawn)).Duration(),
		bounds: tmcontrol.Bounds{
			Lease:         min(lease, r.span("bounds.lease_max_ms", defaultLeaseMax)),
			HandoverDelay: r.span("bounds.turn_ms", defaultTurn),
			Maintenance:   tmclock.SpanOf(r.seconds("bounds.upkeep_s", defaultUpkeep.Duration())),
			Move:          tmclock.SpanOf(r.seconds("bounds.move_s", defaultMove.Duration())),
		},
	}
	for name := range r.values {
		s.unknown = append(s.unknown, name)
	}
	if len(r.problems) > 0 {
		return Settings{}, &tmini.InvalidError{Problems: r.problems}
	}
	return s, nil
}

// take returns the value of a key, "" when it is missing or empty.
func (r *reader) take(name string) tmini.Entry {
	e := r.values[name]
	delete(r.values, name)
	return e
}

func (r *reader) bad(name string, e tmini.Entry, expected string) {
	message := "is missing"
	if e.Value != "" {
		message = fmt.Sprintf("is %q", e.Value)
	}
	r.problems = append(r.problems, tmini.Problem{File: r.file, Line: e.Line, Field: name, Message: message, Expected: expected})
}

func (r *reader) text(name string) string {
	e := r.take(name)
	if e.Value == "" {
		r.bad(name, e, "a name")
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
		r.bad(name, e, "IP:port")
		return ""
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		r.bad(name, e, "a port from 0 to 65535")
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
		r.bad(name, e, "true or false")
	}
	return v
}

func (r *reader) number(name string, absent float64) float64 {
	e := r.take(name)
	if e.Value == "" {
		return absent
	}
	v, err := strconv.ParseFloat(e.Value, 64)
	if err != nil || v < 0 {
		r.bad(name, e, "a number of 0 or more")
	}
	return v
}

func (r *reader) span(name string, absent tmclock.Span) tmclock.Span {
	return tmclock.Span(r.number(name, float64(absent)))
}

func (r *reader) seconds(name string, absent time.Duration) time.Duration {
	return time.Duration(r.number(name, absent.Seconds()) * float64(time.Second))
}
