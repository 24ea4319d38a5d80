package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericmoor/internal/judge"
)

// Largest latency that is told apart, in microseconds, and the number of
// significant digits.
const (
	maxLatencyUs = 10 * 60 * 1_000_000
	digits       = 3
)

// Report is the result of a Run.
type Report struct {
	Seed          uint64   `json:"seed"`
	StartedUnixMs int64    `json:"started_unix_ms"`
	DurationMs    int64    `json:"duration_ms"`
	Entries       []string `json:"entries"`
	Total         Summary  `json:"total"`
	// Streams has one Summary for each stream.
	Streams []Summary `json:"streams"`
}

// Summary describes the requests of one stream or of all.
type Summary struct {
	Name string `json:"name"`
	// Requests were intended, Submissions were sent, Retries are submissions
	// beyond the first one of a request.
	Requests    int `json:"requests"`
	Submissions int `json:"submissions"`
	Retries     int `json:"retries"`
	// Codes and Outcomes count requests by their last submission.
	Codes    map[string]int `json:"codes"`
	Outcomes map[string]int `json:"outcomes"`
	// WrongAnswers belong to another request.
	WrongAnswers int `json:"wrong_answers"`
	Cut          int `json:"cut"`
	Replayed     int `json:"replayed"`
	// Answered and Refused are latencies from the intended time of the request
	// to its answer or its last error. Lag is how late submissions were sent.
	Answered Latency `json:"answered"`
	Refused  Latency `json:"refused"`
	Lag      Latency `json:"lag"`
	// GoodputPerSecond counts the right answers that arrived in each second
	// from the start.
	GoodputPerSecond []int `json:"goodput_per_second"`
}

// Latency has percentiles in milliseconds.
type Latency struct {
	Count  int64   `json:"count"`
	MeanMs float64 `json:"mean_ms"`
	P50Ms  float64 `json:"p50_ms"`
	P90Ms  float64 `json:"p90_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	MaxMs  float64 `json:"max_ms"`
}

// NewHistogram returns an empty histogram of microseconds.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyUs, digits)
}

// LatencyOf returns the percentiles of a histogram of microseconds.
func LatencyOf(h *hdrhistogram.Histogram) Latency {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{
		Count:  h.TotalCount(),
		MeanMs: h.Mean() / 1000,
		P50Ms:  ms(50),
		P90Ms:  ms(90),
		P99Ms:  ms(99),
		P999Ms: ms(99.9),
		MaxMs:  float64(h.Max()) / 1000,
	}
}

// group collects what becomes a Summary.
type group struct {
	Summary
	answered, refused, lag *hdrhistogram.Histogram
}

func newGroup(name string) *group {
	return &group{
		Summary:  Summary{Name: name, Codes: map[string]int{}, Outcomes: map[string]int{}},
		answered: NewHistogram(),
		refused:  NewHistogram(),
		lag:      NewHistogram(),
	}
}

// recorder counts submissions. Its fields are guarded by mu.
type recorder struct {
	mu      sync.Mutex
	plan    Plan
	start   time.Time
	total   *group
	streams []*group
}

func newRecorder(plan Plan) *recorder {
	r := &recorder{plan: plan, total: newGroup("total")}
	for _, s := range plan.Streams {
		r.streams = append(r.streams, newGroup(s.Name))
	}
	return r
}

// add counts a submission, and the request when it is the last one.
func (r *recorder) add(q *request, s judge.Submission, final bool) {
	right := s.Code == judge.CodeOK && s.ResponseEcho == s.Echo && s.ResponseID == s.RequestID
	second := max(0, int(time.UnixMicro(s.EndedUs).Sub(r.start)/time.Second))
	for _, g := range []*group{r.total, r.streams[q.index]} {
		g.add(q, s, final, right)
		if right {
			g.addGoodput(second)
		}
	}
}

func (g *group) addGoodput(second int) {
	for len(g.GoodputPerSecond) <= second {
		g.GoodputPerSecond = append(g.GoodputPerSecond, 0)
	}
	g.GoodputPerSecond[second]++
}

func (g *group) add(q *request, s judge.Submission, final, right bool) {
	if s.Code != judge.CodeNotSent {
		g.Submissions++
		record(g.lag, s.SentUs-s.IntendedUs)
	}
	if s.Repetition > 0 {
		g.Retries++
	}
	if s.Cut {
		g.Cut++
	}
	if !final {
		return
	}
	g.Requests++
	g.Codes[s.Code]++
	g.Outcomes[s.Outcome]++
	took := s.EndedUs - q.intended.UnixMicro()
	switch {
	case right:
		record(g.answered, took)
	case s.Code == judge.CodeOK:
		g.WrongAnswers++
	case s.Code != judge.CodeNotSent:
		record(g.refused, took)
	}
	if s.Replayed {
		g.Replayed++
	}
}

func record(h *hdrhistogram.Histogram, us int64) {
	// The value lies within the bounds of the histogram.
	_ = h.RecordValue(min(max(us, 1), maxLatencyUs))
}

func (g *group) summary() Summary {
	s := g.Summary
	s.Answered, s.Refused, s.Lag = LatencyOf(g.answered), LatencyOf(g.refused), LatencyOf(g.lag)
	return s
}

func (r *recorder) report() *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{
		Seed:          r.plan.Seed,
		StartedUnixMs: r.start.UnixMilli(),
		DurationMs:    r.plan.Duration.Milliseconds(),
		Entries:       r.plan.Entries,
		Total:         r.total.summary(),
	}
	for _, g := range r.streams {
		report.Streams = append(report.Streams, g.summary())
	}
	return report
}

// Goodput returns the mean goodput per second from one second after the start
// to another.
func (s Summary) Goodput(from, to int) float64 {
	sum := 0
	for i := from; i < to; i++ {
		if i < len(s.GoodputPerSecond) {
			sum += s.GoodputPerSecond[i]
		}
	}
	return float64(sum) / float64(max(1, to-from))
}
