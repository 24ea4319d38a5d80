package tmguard

import "github.com/prometheus/client_golang/prometheus"

// collector exports the counts of a Guard.
type collector struct {
	guard              *Guard
	refusals, openConn *prometheus.Desc
}

// Collector returns the metrics of the Guard: refusals by kind and open connections by class.
func (g *Guard) Collector(namespace string) prometheus.Collector {
	return &collector{
		guard:    g,
		refusals: prometheus.NewDesc(namespace+"_client_refusals_total", "Clients refused or disconnected, by limit.", []string{"kind"}, nil),
		openConn: prometheus.NewDesc(namespace+"_client_connections", "Open connections of clients, by class.", []string{"class"}, nil),
	}
}

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	ch <- c.refusals
	ch <- c.openConn
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	for _, kind := range Kinds() {
		ch <- prometheus.MustNewConstMetric(c.refusals, prometheus.CounterValue, float64(c.guard.Refusals(kind)), kind.String())
	}
	for class, name := range classNames {
		ch <- prometheus.MustNewConstMetric(c.openConn, prometheus.GaugeValue, float64(c.guard.Open(Class(class))), name)
	}
}
