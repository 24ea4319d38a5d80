// Package tmmetrics exports the metrics of a node in the Prometheus text format.
package tmmetrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmevent"
	"turmericmoor/io/tmguard"
)

const namespace = "turmericmoor_node"

// Metrics holds the metrics of one node. It is safe for concurrent use.
type Metrics struct {
	registry    *prometheus.Registry
	events      map[tmevent.Name]prometheus.Counter
	calls       *prometheus.CounterVec
	callSeconds *prometheus.HistogramVec
}

// Source provides the state that the gauges report. Dumps returns, by shard, the state
// of the owners on the node.
type Source interface {
	Dumps() map[int]tmcontrol.Dump
	Ready() bool
}

// New returns the metrics of a node. dropped and written return counts of log
// lines. guard counts the clients that were refused.
func New(node Source, dropped, written func() int64, guard *tmguard.Guard) *Metrics {
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		events:   map[tmevent.Name]prometheus.Counter{},
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "calls_total", Help: "Calls by kind and outcome.",
		}, []string{"call", "outcome"}),
		callSeconds: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "call_seconds", Help: "Time of calls by kind.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 12),
		}, []string{"call"}),
	}
	events := prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "events_total", Help: "Events of the decision log by name.",
	}, []string{"event"})
	for _, name := range tmevent.All {
		m.events[name] = events.WithLabelValues(string(name))
	}
	m.registry.MustRegister(events, m.calls, m.callSeconds, newStateCollector(node),
		counterFunc("log_lines_dropped_total", "Log lines that the output was too slow for.", dropped),
		counterFunc("log_lines_total", "Log lines written.", written),
		guard.Collector(namespace))
	return m
}

func counterFunc(name, help string, value func() int64) prometheus.Collector {
	return prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help},
		func() float64 { return float64(value()) })
}

// Event counts an event of the decision log.
func (m *Metrics) Event(name tmevent.Name) {
	if c := m.events[name]; c != nil {
		c.Inc()
	}
}

// Observe records the outcome and the duration of a call.
func (m *Metrics) Observe(call string, elapsed time.Duration, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	m.calls.WithLabelValues(call, outcome).Inc()
	m.callSeconds.WithLabelValues(call).Observe(elapsed.Seconds())
}

// Handler returns the handler that serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
