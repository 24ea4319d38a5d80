package tmentry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"turmericmoor/core/tmclock"
)

// metrics has the Prometheus metrics of one entry.
type metrics struct {
	registry        *prometheus.Registry
	requests        *prometheus.CounterVec
	seconds         prometheus.Histogram
	attemptErrors   *prometheus.CounterVec
	retries         prometheus.Counter
	forwards        prometheus.Counter
	checkpoints     prometheus.Counter
	platformErrors  prometheus.Counter
	heartbeatErrors prometheus.Counter
	renewalErrors   prometheus.Counter
	version         prometheus.Gauge
	fresh           prometheus.Gauge
	queued          prometheus.Gauge
	jobs            prometheus.Gauge
}

func newMetrics() *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: "turmericmoor", Name: name, Help: help})
	}
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "turmericmoor", Name: name, Help: help})
	}
	m := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "turmericmoor", Name: "requests_total", Help: "Requests by result code.",
		}, []string{"code"}),
		seconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "turmericmoor", Name: "request_seconds", Help: "Time from arrival to result.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 16),
		}),
		attemptErrors: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "turmericmoor", Name: "attempt_errors_total", Help: "Attempts without an answer by code.",
		}, []string{"code"}),
		retries:         counter("retries_total", "Attempts beyond the first after a failure."),
		forwards:        counter("forwards_total", "Requests handed to other entries."),
		checkpoints:     counter("checkpoints_total", "Tasks checkpointed for others."),
		platformErrors:  counter("platform_errors_total", "Failed reads of the platform."),
		heartbeatErrors: counter("heartbeat_errors_total", "Heartbeats without an answer."),
		renewalErrors:   counter("renewal_errors_total", "Failed lease calls to endpoints."),
		version:         gauge("state_version", "Version of the installed State."),
		fresh:           gauge("fresh", "1 when the entry may start tasks."),
		queued:          gauge("queued_requests", "Requests in the queue."),
		jobs:            gauge("open_requests", "Requests queued, parked or running."),
	}
	m.registry.MustRegister(m.requests, m.seconds, m.attemptErrors, m.retries,
		m.forwards, m.checkpoints, m.platformErrors,
		m.heartbeatErrors, m.renewalErrors, m.version, m.fresh, m.queued, m.jobs)
	return m
}

// observeRequest records the result code and the duration of a request.
func (m *metrics) observeRequest(code string, took tmclock.Span) {
	m.requests.WithLabelValues(code).Inc()
	m.seconds.Observe(took.Duration().Seconds())
}

// updateGauges sets the gauges that are sampled with each tick.
func (m *metrics) updateGauges(fresh bool, queued, jobs int) {
	m.fresh.Set(0)
	if fresh {
		m.fresh.Set(1)
	}
	m.queued.Set(float64(queued))
	m.jobs.Set(float64(jobs))
}

// Metrics returns the handler for /metrics.
func (e *Entry) Metrics() http.Handler {
	return promhttp.HandlerFor(e.metrics.registry, promhttp.HandlerOpts{})
}
