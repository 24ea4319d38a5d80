// Package load sends requests to entries at intended times, whatever the
// answers do, and measures latency from those times. A slow entry therefore
// can't hide its delays by slowing down the generator.
package load

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"turmericmoor/core/tmclock"
)

// Defaults of a Plan.
const (
	DefaultOpen      = 20_000
	DefaultConns     = 4096
	DefaultRetryWait = 100 * time.Millisecond
)

// RunTime is the distribution of run times.
type RunTime struct {
	kind     string
	from, to time.Duration
}

// Fixed returns a RunTime that is always d.
func Fixed(d time.Duration) RunTime { return RunTime{kind: "fixed", from: d, to: d} }

// Uniform returns a RunTime between from and to.
func Uniform(from, to time.Duration) RunTime { return RunTime{kind: "uniform", from: from, to: to} }

// Exponential returns a RunTime with the given mean.
func Exponential(mean time.Duration) RunTime { return RunTime{kind: "exp", from: mean, to: mean} }

var errRunTime = errors.New("expected fixed:100ms, exp:100ms or uniform:50ms-150ms")

// ParseRunTime reads a RunTime such as fixed:100ms, exp:100ms or
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

func (r RunTime) draw(rng *rand.Rand) time.Duration {
	switch r.kind {
	case "uniform":
		return r.from + time.Duration(rng.Float64()*float64(r.to-r.from))
	case "exp":
		return time.Duration(rng.ExpFloat64() * float64(r.from))
	default:
		return r.from
	}
}

// Stream is a kind of request that arrives at a rate.
type Stream struct {
	Name string
	// Team is the team that the key belongs to, Key the key itself. Both are
	// only needed for the journal of an open queue.
	Team, Key, Queue string
	// Rate is the mean number of requests per second.
	Rate float64
	// Constant sends at equal intervals in place of random ones.
	Constant bool
	RunTime  RunTime
	// OwnIDs gives each request an id of the caller.
	Idempotent, OwnIDs, Urgent, Preemptible bool
	// Size is the declared size in cores, 0 for none.
	Size    int
	Timeout time.Duration
	// Retries is how often a request is sent again under its id through
	// another entry when its outcome is unknown, or when the entry can't be
	// reached.
	Retries   int
	RetryWait time.Duration
	// GiveUp is the time after which callers go away from a request that isn't
	// answered, 0 for never. Such a request isn't sent again.
	GiveUp time.Duration
}

// Plan is a load.
type Plan struct {
	// Entries are the URLs of the listeners for callers. Each request takes one
	// at random.
	Entries  []string
	Streams  []Stream
	Duration time.Duration
	Seed     uint64
	// Open bounds the requests under way. More are counted as not sent.
	Open int
	// Conns bounds the connections to one entry.
	Conns int
	// Usable reports whether callers may use an entry now, for example because
	// its health check passes. All are used when it is nil, or when it refuses
	// every one. It is called concurrently.
	Usable func(entry string) bool
}

// Check sets the defaults and returns an error that lists every problem.
func (p *Plan) Check() error {
	if p.Open <= 0 {
		p.Open = DefaultOpen
	}
	if p.Conns <= 0 {
		p.Conns = DefaultConns
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

// interval returns the time to the next request.
func (s *Stream) interval(rng *rand.Rand) time.Duration {
	mean := float64(time.Second) / s.Rate
	if s.Constant {
		return time.Duration(mean)
	}
	return time.Duration(rng.ExpFloat64() * mean)
}
