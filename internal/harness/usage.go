package harness

import (
	"context"
	"fmt"
	"net/http"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/prometheus/procfs"
)

// Usage is the CPU time and I/O of a process since its start and its current
// memory use.
type Usage struct {
	At  time.Time
	CPU time.Duration
	// RSS is the resident set size in bytes.
	RSS int
	// IOBytes counts the bytes read and written on all connections and files.
	IOBytes uint64
}

// Usage reads the resource usage of the process from /proc. CPU time has a
// resolution of 10 ms.
func (p *Process) Usage() (Usage, error) {
	proc, err := procfs.NewProc(p.PID())
	if err != nil {
		return Usage{}, fmt.Errorf("harness: usage of %s: %w", p.name, err)
	}
	u := Usage{At: time.Now()}
	stat, err := proc.Stat()
	if err != nil {
		return Usage{}, fmt.Errorf("harness: usage of %s: %w", p.name, err)
	}
	io, err := proc.IO()
	if err != nil {
		return Usage{}, fmt.Errorf("harness: usage of %s: %w", p.name, err)
	}
	u.CPU = time.Duration(stat.CPUTime() * float64(time.Second))
	u.RSS = stat.ResidentMemory()
	u.IOBytes = io.RChar + io.WChar
	return u, nil
}

// Metric returns a metric of one entry, counted from 1, summed over all its
// series.
func (f *Fleet) Metric(ctx context.Context, number int, name string) (float64, error) {
	values, err := f.MetricBy(ctx, number, name, "")
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum, err
}

// MetricBy returns a metric of one entry, counted from 1, summed by the value of
// a label.
func (f *Fleet) MetricBy(ctx context.Context, number int, name, label string) (map[string]float64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.entries[number-1].OperatorURL+"/metrics", nil)
	if err != nil {
		return nil, fmt.Errorf("harness: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+f.operatorKey)
	resp, err := f.http.Do(req)
	if err != nil {
		return nil, fmt.Errorf("harness: metrics: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return nil, fmt.Errorf("harness: metrics: %w", err)
	}
	values := map[string]float64{}
	for _, m := range families[name].GetMetric() {
		values[labelOf(m, label)] += valueOf(m)
	}
	return values, nil
}

func labelOf(m *dto.Metric, label string) string {
	for _, pair := range m.GetLabel() {
		if pair.GetName() == label {
			return pair.GetValue()
		}
	}
	return ""
}

// valueOf returns the value of a counter or gauge, or the sample count of a
// histogram.
func valueOf(m *dto.Metric) float64 {
	switch {
	case m.GetCounter() != nil:
		return m.GetCounter().GetValue()
	case m.GetHistogram() != nil:
		return float64(m.GetHistogram().GetSampleCount())
	default:
		return m.GetGauge().GetValue()
	}
}
