// Package tmadmit implements admission control: it decides whether to queue or
// start a request, based on the observed run times of its kind.
//
// Under overload, a request that starts shortly before its deadline occupies a
// slot and is stopped before it finishes. Refusing it early keeps the slot for
// a request that can finish.
package tmadmit

import (
	"turmericmoor/core/tmclock"
)

// Weights of a new observation in the moving averages of the run time and of its
// deviation. They are those that TCP uses for round-trip times.
const (
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
)

// probeInterval is the number of refusals of which the last is turned into an
// admission, so that a new observation can correct an estimate that is too high.
const probeInterval = 16

// Kind identifies tasks that are assumed to have similar run times.
type Kind struct {
	Team, Queue string
}

// Estimator estimates the run times of tasks by kind. It is not safe for
// concurrent use.
type Estimator struct {
	estimates map[Kind]*estimate
}

type estimate struct {
	mean      float64
	deviation float64
	refused   int
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{estimates: map[Kind]*estimate{}}
}

// Observe records the run time of a task. For a task that was stopped, this is
// the time until it was stopped.
func (e *Estimator) Observe(kind Kind, run tmclock.Span) {
	k, ok := e.estimates[kind]
	if !ok {
		e.estimates[kind] = &estimate{mean: float64(run), deviation: float64(run) / 2}
		return
	}
	diff := float64(run) - k.mean
	k.mean += meanWeight * diff
	k.deviation += deviationWeight * (max(diff, -diff) - k.deviation)
}

// Mean returns the mean run time of the kind, or 0 without observations.
func (e *Estimator) Mean(kind Kind) tmclock.Span {
	if k, ok := e.estimates[kind]; ok {
		return tmclock.Span(k.mean)
	}
	return 0
}

// UpperEstimate returns a run time that a task of the kind most likely doesn't
// exceed: the mean plus the mean deviation, or 0 without observations.
func (e *Estimator) UpperEstimate(kind Kind) tmclock.Span {
	if k, ok := e.estimates[kind]; ok {
		return tmclock.Span(k.mean + k.deviation)
	}
	return 0
}

// ShouldStart reports whether to start a request that has the given time
// remaining until its deadline.
func (e *Estimator) ShouldStart(kind Kind, remaining tmclock.Span) bool {
	return e.admit(kind, remaining >= e.UpperEstimate(kind))
}

// ShouldQueue reports whether to queue a request with the given timeout behind
// the given number of queued requests of its team, when the team runs the given
// number of requests at a time.
func (e *Estimator) ShouldQueue(kind Kind, timeout tmclock.Span, queued, running int) bool {
	if queued <= running {
		return true
	}
	wait := tmclock.Span(queued) * e.Mean(kind) / tmclock.Span(max(running, 1))
	return e.admit(kind, wait+e.UpperEstimate(kind) <= timeout)
}

// admit returns feasible, but turns every probeInterval-th refusal of the kind
// into an admission.
func (e *Estimator) admit(kind Kind, feasible bool) bool {
	if feasible {
		return true
	}
	k := e.estimates[kind]
	k.refused++
	if k.refused < probeInterval {
		return false
	}
	k.refused = 0
	return true
}
