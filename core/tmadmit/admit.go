// Package tmadmit decides whether a request is worth queueing or starting, by
// the run times that were observed for its kind of work.
//
// Under overload a request that starts shortly before its deadline takes a
// slot and is stopped before its end. Refusing it early keeps the slot for one
// that can finish.
package tmadmit

import (
	"turmericmoor/core/tmclock"
)

// The weights of a new observation in the mean and in the mean deviation are
// those that TCP uses for round-trip times.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// probeEvery is how many refusals are followed by an admission, so that an
// estimate that has become too high is corrected by a new observation.
const probeEvery = 16

// Kind is the kind of work whose run times are alike.
type Kind struct {
	Team, Queue string
}

// Estimator has the run times by kind. It is not safe for concurrent use.
type Estimator struct {
	kinds map[Kind]*estimate
}

type estimate struct {
	mean      float64
	deviation float64
	refused   int
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{kinds: map[Kind]*estimate{}}
}

// Observe takes the run time of a task. For a task that was stopped it takes
// the time until then.
func (e *Estimator) Observe(kind Kind, run tmclock.Span) {
	k, ok := e.kinds[kind]
	if !ok {
		e.kinds[kind] = &estimate{mean: float64(run), deviation: float64(run) / 2}
		return
	}
	diff := float64(run) - k.mean
	k.mean += meanWeight * diff
	k.deviation += deviationWeight * (max(diff, -diff) - k.deviation)
}

// Mean returns the mean run time, 0 when none is known.
func (e *Estimator) Mean(kind Kind) tmclock.Span {
	if k, ok := e.kinds[kind]; ok {
		return tmclock.Span(k.mean)
	}
	return 0
}

// Needed returns the time that a task of the kind will most likely need, 0
// when none is known.
func (e *Estimator) Needed(kind Kind) tmclock.Span {
	if k, ok := e.kinds[kind]; ok {
		return tmclock.Span(k.mean + k.deviation)
	}
	return 0
}

// WorthStarting reports whether a request with the given time left should be
// started now.
func (e *Estimator) WorthStarting(kind Kind, left tmclock.Span) bool {
	return e.admit(kind, left >= e.Needed(kind))
}

// WorthQueueing reports whether a request with the given timeout should wait
// behind the given number of queued requests of its team, of which running are
// under way at a time.
func (e *Estimator) WorthQueueing(kind Kind, timeout tmclock.Span, queued, running int) bool {
	if queued <= running {
		return true
	}
	wait := tmclock.Span(queued) * e.Mean(kind) / tmclock.Span(max(running, 1))
	return e.admit(kind, wait+e.Needed(kind) <= timeout)
}

// admit lets a refusal pass from time to time.
func (e *Estimator) admit(kind Kind, worth bool) bool {
	if worth {
		return true
	}
	k := e.kinds[kind]
	k.refused++
	if k.refused < probeEvery {
		return false
	}
	k.refused = 0
	return true
}
