package tmstraggler

import (
	"cmp"
	"math"
	"slices"

	"turmericmoor/core/tmclock"
)

const (
	// maxChance is the probability of the observed long runs or failures on a healthy
	// endpoint below which the endpoint is suspected. If the tail of the workload is known,
	// it is maxKnownChance for long runs: endpoints are judged several times a second, so that
	// chances add up.
	maxChance      = 0.01
	maxKnownChance = 0.001
	// minLongRuns is the minimum number of long runs at a slow endpoint: a single long task
	// never makes an endpoint slow.
	minLongRuns = 2
	// recentEnds is the number of ends that are kept of each endpoint.
	recentEnds = 32
	// minFailures and maxFailures bound how many failures since the last success make an
	// endpoint failing. Between them the failures of its workloads elsewhere decide.
	minFailures = 2
	maxFailures = 8
	// minFailureRate is assumed of workloads that fail nowhere else.
	minFailureRate = 0.02
	// TroubleTime is how long after a failure or stall last attempts are kept away from an
	// endpoint and its rack. Faults of endpoints last for several seconds.
	TroubleTime = 5 * tmclock.Second
	// firstAvoidTime is how long an endpoint is avoided before its first trial. It doubles with
	// each trial that is not passed, up to maxAvoidTime.
	firstAvoidTime = 2 * tmclock.Second
	maxAvoidTime   = 8 * tmclock.Second
	// TrialTime is how long the run of a trial must last without a finding to pass it. Long
	// tasks would otherwise keep an endpoint on trial until they end.
	TrialTime = 3 * tmclock.Second
)

// Cause is why an endpoint is suspected. Its text is written to logs and metrics.
type Cause string

// The causes, the mildest first.
const (
	Slow    Cause = "slow"
	Stalled Cause = "stalled"
	Failing Cause = "failing"
)

// Causes lists all causes.
var Causes = []Cause{Slow, Stalled, Failing}

// Suspicion is a finding against an endpoint.
type Suspicion struct {
	Cause Cause
	// Severity orders the suspicions of one cause, the highest first.
	Severity float64
}

// Compare orders suspicions, the mildest first.
func (s Suspicion) Compare(other Suspicion) int {
	return cmp.Or(cmp.Compare(s.rank(), other.rank()), cmp.Compare(s.Severity, other.Severity))
}

// clearlyWorse is the ratio of two severities from which on the higher one is clearly worse.
// Smaller differences would make endpoints that are alike take turns in being avoided.
const clearlyWorse = 1.5

// IsWorse reports whether s is a clearly stronger reason to avoid an endpoint than other.
func (s Suspicion) IsWorse(other Suspicion) bool {
	if s.Cause == other.Cause {
		return s.Severity >= clearlyWorse*other.Severity
	}
	return s.rank() > other.rank()
}

func (s Suspicion) rank() int { return slices.Index(Causes, s.Cause) }

// Observation is a run in progress at an endpoint that can be compared with others of its
// workload.
type Observation struct {
	StartedAt tmclock.Millis
	// Ratio is the run time, extrapolated from the progress, relative to the median.
	Ratio float64
	// TailShare is the probability that a run of the workload is long. TailKnown is set if it
	// was observed on enough runs.
	TailShare float64
	TailKnown bool
}

// Mildest returns the observation with the lower ratio. The zero value stands for none.
func (o Observation) Mildest(other Observation) Observation {
	if other != (Observation{}) && other.Ratio <= o.Ratio {
		return other
	}
	return o
}

// Health is what is known of one lifetime of an endpoint by its runs. The zero value is that
// of an endpoint without a history.
type Health struct {
	// ends is a ring of the times of the latest ends.
	ends    [recentEnds]tmclock.Millis
	endNext int
	// failures holds the times of the failures since the start of the last run that
	// succeeded, troubleAt that of the last failure or stall.
	failures  []tmclock.Millis
	troubleAt tmclock.Millis
	suspicion Suspicion
	// avoidUntil is the end of the avoidance. Until the suspicion is cleared, the endpoint is
	// on trial from then on.
	avoidUntil  tmclock.Millis
	suspectedAt tmclock.Millis
	// avoidTime is the length of the last avoidance, for the next one.
	avoidTime tmclock.Span
}

// Done records that a run succeeded. startedAt is when it was started, 0 if unknown. long is
// set if the run took far longer than others. It reports whether the endpoint was suspected
// until then, and the run has cleared it.
func (h *Health) Done(startedAt, now tmclock.Millis, long bool) (cleared bool) {
	h.addEnd(now)
	if startedAt == 0 {
		return false
	}
	kept := h.failures[:0]
	for _, at := range h.failures {
		if at.After(startedAt) {
			kept = append(kept, at)
		}
	}
	h.failures = kept
	if !h.IsSuspected() || long || !startedAt.After(h.suspectedAt) {
		return false
	}
	h.Clear()
	return true
}

// Failed records that a run failed. elsewhere is the share of the runs of its workload that
// fail on other endpoints. It returns the suspicion that follows, if any.
func (h *Health) Failed(now tmclock.Millis, elsewhere float64) (Suspicion, bool) {
	h.FailedByTask(now)
	h.failures = append(h.failures, now)
	if len(h.failures) > maxFailures {
		h.failures = h.failures[1:]
	}
	n := len(h.failures)
	s := Suspicion{Cause: Failing, Severity: float64(n)}
	return s, n >= neededFailures(elsewhere) || h.suspicion.Cause == Failing
}

// FailedByTask records that a run failed whose task has failed before, so that the failure is
// no evidence against the endpoint.
func (h *Health) FailedByTask(now tmclock.Millis) {
	h.addEnd(now)
	h.troubleAt = now
}

// Failures returns the number of failures since the start of the last run that succeeded.
func (h *Health) Failures() int { return len(h.failures) }

// neededFailures returns how many failures in a row are improbable on a healthy endpoint.
func neededFailures(elsewhere float64) int {
	rate := math.Max(minFailureRate, elsewhere)
	if rate >= 1 {
		return maxFailures
	}
	n := math.Ceil(math.Log(maxChance)/math.Log(rate) - 1e-9)
	return min(maxFailures, max(minFailures, int(n)))
}

// Stalled records that a run made no progress and is stopped.
func (h *Health) Stalled(now tmclock.Millis) Suspicion {
	h.troubleAt = now
	return Suspicion{Cause: Stalled, Severity: 1}
}

// Judge returns the suspicion that follows from the runs in progress, if any: more than half of
// them are long, and so many long ones among those that ended since the first of these was
// started and those in progress are improbable.
func (h *Health) Judge(runs []Observation) (Suspicion, bool) {
	long, worst, tail, chance := 0, 0.0, 0.0, maxKnownChance
	since := tmclock.Millis(math.MaxInt64)
	for _, r := range runs {
		tail = math.Max(tail, r.TailShare)
		if !r.TailKnown {
			chance = maxChance
		}
		if r.Ratio <= LongFactor {
			continue
		}
		long++
		since = min(since, r.StartedAt)
		worst = math.Max(worst, r.Ratio)
	}
	if long < minLongRuns || 2*long <= len(runs) {
		return Suspicion{}, false
	}
	n := len(runs) + h.endsSince(since)
	if chanceOfAtLeast(long, n, tail) >= chance {
		return Suspicion{}, false
	}
	return Suspicion{Cause: Slow, Severity: worst}, true
}

// chanceOfAtLeast returns the probability of k or more successes in n trials.
func chanceOfAtLeast(k, n int, p float64) float64 {
	below, term := 0.0, math.Pow(1-p, float64(n))
	for i := range k {
		below += term
		term *= float64(n-i) / float64(i+1) * p / (1 - p)
	}
	return 1 - below
}

func (h *Health) addEnd(now tmclock.Millis) {
	h.ends[h.endNext] = now
	h.endNext = (h.endNext + 1) % recentEnds
}

func (h *Health) endsSince(at tmclock.Millis) int {
	n := 0
	for _, end := range h.ends {
		if end != 0 && !end.Before(at) {
			n++
		}
	}
	return n
}

// suspect starts or renews the avoidance of the endpoint.
func (h *Health) suspect(s Suspicion, now tmclock.Millis) {
	if !now.Before(h.avoidUntil) {
		h.avoidTime = min(maxAvoidTime, max(firstAvoidTime, 2*h.avoidTime))
	}
	if !h.IsSuspected() || s.Compare(h.suspicion) > 0 {
		h.suspicion = s
	}
	h.suspectedAt = now
	h.avoidUntil = max(h.avoidUntil, now.Add(h.avoidTime))
}

// Clear ends the suspicion.
func (h *Health) Clear() {
	h.suspicion, h.avoidUntil, h.suspectedAt, h.avoidTime = Suspicion{}, 0, 0, 0
	h.failures = nil
}

// IsSuspected reports whether the endpoint is avoided or on trial.
func (h *Health) IsSuspected() bool { return h.suspicion.Cause != "" }

// Suspicion returns what the endpoint is suspected of.
func (h *Health) Suspicion() Suspicion { return h.suspicion }

// AvoidedUntil returns the end of the avoidance, 0 without one.
func (h *Health) AvoidedUntil() tmclock.Millis { return h.avoidUntil }

// OnTrial reports whether the endpoint gets one task as a trial.
func (h *Health) OnTrial(now tmclock.Millis) bool {
	return h.IsSuspected() && !now.Before(h.avoidUntil)
}

// HadTrouble reports whether a run failed or stalled on the endpoint within TroubleTime, or
// the endpoint is suspected because of such runs.
func (h *Health) HadTrouble(now tmclock.Millis) bool {
	return h.IsSuspected() && h.suspicion.Cause != Slow || h.troubleAt != 0 && now.Sub(h.troubleAt) < TroubleTime
}
