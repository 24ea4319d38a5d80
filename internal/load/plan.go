// Package load is an open-loop load generator. It sends requests to entries at
// intended times, independently of the answers, and measures latency from those
// times. A slow entry therefore can't hide its delays by slowing down the
// generator.
package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"turmericmoor/core/tmclock"
)

// Default limits of a Plan and default retry interval of a Stream.
const (
	DefaultMaxOpenRequests  = 20_000
	DefaultMaxConnsPerEntry = 4096
	DefaultRetryWait        = 100 * time.Millisecond
)

// RunTime is the distribution of a request's run time on an endpoint.
type RunTime struct {
	kind     string
	from, to time.Duration
}

// Fixed returns a constant RunTime.
func Fixed(d time.Duration) RunTime { return RunTime{kind: "fixed", from: d, to: d} }

// Uniform returns a RunTime uniformly distributed between from and to.
func Uniform(from, to time.Duration) RunTime { return RunTime{kind: "uniform", from: from, to: to} }

// Exponential returns an exponentially distributed RunTime with the given mean.
func Exponential(mean time.Duration) RunTime { return RunTime{kind: "exp", from: mean, to: mean} }

var errRunTime = errors.New("expected fixed:100ms, exp:100ms or uniform:50ms-150ms")

// ParseRunTime parses a RunTime such as fixed:100ms, exp:100ms or
// uniform:50ms-150ms.
func ParseRunTime(text string) (RunTime, error) {
	kind, value, _ := strings.Cut(text, ":")
	low, high := value, value
	if kind == "uniform" {
		low, high, _ = strings.Cut(value, "-")
	}
	from, err1 := time.ParseDuration(low)
	to, err2 := time.ParseDuration(high)
	known := kind == "fixed" || kind == "exp" || kind == "uniform"
	if err1 != nil || err2 != nil || !known || from < 0 || to < from {
		return RunTime{}, fmt.Errorf("load: run time %q: %w", text, errRunTime)
	}
	return RunTime{kind: kind, from: from, to: to}, nil
}

// sample draws a run time from the distribution.
func (r RunTime) sample(rng *rand.Rand) time.Duration {
	switch r.kind {
	case "uniform":
		return r.from + time.Duration(rng.Float64()*float64(r.to-r.from))
	case "exp":
		return time.Duration(rng.ExpFloat64() * float64(r.from))
	default:
		return r.from
	}
}

// Stream describes requests of one kind and their arrival rate.
type Stream struct {
	Name string
	// Key is the API key and Team the team that it belongs to. Both are only
	// needed for the journal of an open queue.
	Team, Key, Queue string
	// Rate is the mean arrival rate in requests per second.
	Rate float64
	// ConstantInterval sends at equal intervals instead of exponentially
	// distributed ones.
	ConstantInterval bool
	RunTime          RunTime
	// CallerChoosesIDs gives each request an id chosen by the caller.
	Idempotent, CallerChoosesIDs, Urgent, Preemptible bool
	// Size is the declared size of each request in cores, 0 for none.
	Size    int
	Timeout time.Duration
	// Retries is the maximum number of times that a request is sent again under
	// its id through another entry, because its outcome is unknown or the entry
	// can't be reached.
	Retries   int
	RetryWait time.Duration
	// GiveUpAfter is the time after which callers abandon an unanswered request,
	// 0 for never. Abandoned requests are not retried.
	GiveUpAfter time.Duration
}

// Plan describes a load: its streams, target entries and duration.
type Plan struct {
	// Entries are the URLs of the listeners for callers. Each request goes to a
	// random one.
	Entries  []string
	Streams  []Stream
	Duration time.Duration
	Seed     uint64
	// MaxOpenRequests bounds the requests in flight. Requests beyond it are
	// counted as not sent.
	MaxOpenRequests int
	// MaxConnsPerEntry bounds the connections to one entry.
	MaxConnsPerEntry int
	// Usable reports whether callers may use an entry now, for example because
	// its health check passes. If it is nil or returns false for every entry, all
	// entries are used. It is called concurrently.
	Usable func(entry string) bool
}

// Check fills in the defaults and returns an error that lists all problems.
func (p *Plan) Check() error {
	if p.MaxOpenRequests <= 0 {
		p.MaxOpenRequests = DefaultMaxOpenRequests
	}
	if p.MaxConnsPerEntry <= 0 {
		p.MaxConnsPerEntry = DefaultMaxConnsPerEntry
	}
	var problems []error
	add := func(bad bool, format string, args ...any) {
		if bad {
			problems = append(problems, fmt.Errorf("load: "+format, args...))
		}
	}
	add(len(p.Entries) == 0, "no entries, expected at least one URL")
	add(len(p.Streams) == 0, "no streams, expected at least one")
	add(p.Duration <= 0, "duration is %v, expected more than 0", p.Duration)
	for i := range p.Streams {
		s := &p.Streams[i]
		if s.Timeout <= 0 {
			s.Timeout = 30 * time.Second
		}
		if s.RetryWait <= 0 {
			s.RetryWait = DefaultRetryWait
		}
		add(s.Queue == "", "stream %q: no queue", s.Name)
		add(s.Rate <= 0, "stream %q: rate is %v, expected more than 0 per second", s.Name, s.Rate)
		add(s.Retries < 0, "stream %q: retries is %d, expected 0 or more", s.Name, s.Retries)
		add(tmclock.SpanOf(s.Timeout) <= 0, "stream %q: timeout is %v, expected at least 1ms", s.Name, s.Timeout)
	}
	return errors.Join(problems...)
}

// interval returns the time until the next request.
func (s *Stream) interval(rng *rand.Rand) time.Duration {
	mean := float64(time.Second) / s.Rate
	if s.ConstantInterval {
		return time.Duration(mean)
	}
	return time.Duration(rng.ExpFloat64() * mean)
}
