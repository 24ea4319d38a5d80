package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericmoor/internal/judge"
)

// Largest value that a latency histogram records, in microseconds, and its number
// of significant digits.
const (
	maxLatencyUs      = 10 * 60 * 1_000_000
	significantDigits = 3
)

// Report is the result of a Run.
type Report struct {
	Seed          uint64   `json:"seed"`
	StartedUnixMs int64    `json:"started_unix_ms"`
	DurationMs    int64    `json:"duration_ms"`
	Entries       []string `json:"entries"`
	Total         Summary  `json:"total"`
	// Streams has one Summary per stream.
	Streams []Summary `json:"streams"`
}

// Summary describes the requests of one stream or of all streams.
type Summary struct {
	Name string `json:"name"`
	// Requests counts the requests that were due, Submissions those sent including
	// retries, and Retries the submissions beyond the first of each request.
	Requests    int `json:"requests"`
	Submissions int `json:"submissions"`
	Retries     int `json:"retries"`
	// Codes and Outcomes count requests by the result of their last submission.
	Codes    map[string]int `json:"codes"`
	Outcomes map[string]int `json:"outcomes"`
	// WrongAnswers counts requests that received the answer to another request.
	WrongAnswers int `json:"wrong_answers"`
	Cut          int `json:"cut"`
	Replayed     int `json:"replayed"`
	// Answered and Refused are the latencies from the intended time of a request
	// to its answer or its last error. Lag is the delay of submissions behind
	// their intended times.
	Answered Latency `json:"answered"`
	Refused  Latency `json:"refused"`
	Lag      Latency `json:"lag"`
	// GoodputPerSecond counts the correct answers that arrived in each second
	// since the start.
	GoodputPerSecond []int `json:"goodput_per_second"`
}

// Latency is a latency distribution in milliseconds.
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
	return hdrhistogram.New(1, maxLatencyUs, significantDigits)
}

// LatencyOf summarizes a histogram of microseconds.
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

// summaryBuilder accumulates the counts and histograms of a Summary.
type summaryBuilder struct {
	Summary
	answered, refused, lag *hdrhistogram.Histogram
}

func newSummaryBuilder(name string) *summaryBuilder {
	return &summaryBuilder{
		Summary:  Summary{Name: name, Codes: map[string]int{}, Outcomes: map[string]int{}},
		answered: NewHistogram(),
		refused:  NewHistogram(),
		lag:      NewHistogram(),
	}
}

// recorder aggregates submissions into a Report. mu guards its fields.
type recorder struct {
	mu      sync.Mutex
	plan    Plan
	start   time.Time
	total   *summaryBuilder
	streams []*summaryBuilder
}

func newRecorder(plan Plan) *recorder {
	r := &recorder{plan: plan, total: newSummaryBuilder("total")}
	for _, s := range plan.Streams {
		r.streams = append(r.streams, newSummaryBuilder(s.Name))
	}
	return r
}

// add counts a submission and, if it is the last of its request, the request too.
func (r *recorder) add(q *request, s judge.Submission, final bool) {
	correct := s.Code == judge.CodeOK && s.ResponseEcho == s.Echo && s.ResponseID == s.RequestID
	second := max(0, int(time.UnixMicro(s.EndedUs).Sub(r.start)/time.Second))
	for _, b := range []*summaryBuilder{r.total, r.streams[q.streamIndex]} {
		b.add(q, s, final, correct)
		if correct {
			b.addGoodput(second)
		}
	}
}

func (b *summaryBuilder) addGoodput(second int) {
	for len(b.GoodputPerSecond) <= second {
		b.GoodputPerSecond = append(b.GoodputPerSecond, 0)
	}
	b.GoodputPerSecond[second]++
}

func (b *summaryBuilder) add(q *request, s judge.Submission, final, correct bool) {
	if s.Code != judge.CodeNotSent {
		b.Submissions++
		record(b.lag, s.SentUs-s.IntendedUs)
	}
	if s.Repetition > 0 {
		b.Retries++
	}
	if s.Cut {
		b.Cut++
	}
	if !final {
		return
	}
	b.Requests++
	b.Codes[s.Code]++
	b.Outcomes[s.Outcome]++
	latencyUs := s.EndedUs - q.intended.UnixMicro()
	switch {
	case correct:
		record(b.answered, latencyUs)
	case s.Code == judge.CodeOK:
		b.WrongAnswers++
	case s.Code != judge.CodeNotSent:
		record(b.refused, latencyUs)
	}
	if s.Replayed {
		b.Replayed++
	}
}

func record(h *hdrhistogram.Histogram, us int64) {
	// The value is clamped to the range of the histogram, so there is no error.
	_ = h.RecordValue(min(max(us, 1), maxLatencyUs))
}

func (b *summaryBuilder) summary() Summary {
	s := b.Summary
	s.Answered, s.Refused, s.Lag = LatencyOf(b.answered), LatencyOf(b.refused), LatencyOf(b.lag)
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
	for _, b := range r.streams {
		report.Streams = append(report.Streams, b.summary())
	}
	return report
}

// Goodput returns the mean goodput per second in the range [from, to) of seconds
// since the start.
func (s Summary) Goodput(from, to int) float64 {
	sum := 0
	for i := from; i < to; i++ {
		if i < len(s.GoodputPerSecond) {
			sum += s.GoodputPerSecond[i]
		}
	}
	return float64(sum) / float64(max(1, to-from))
}
