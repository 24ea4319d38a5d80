// Package tmsize corrects the sizes that callers declare for their work, from
// the usage that workers report with a lag, and decides which work can never
// run.
//
// Size is a value. Estimator and Tries belong to one goroutine.
package tmsize

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Size is what a task needs.
type Size struct {
	Cores    float64
	MemoryMB float64
}

// ErrSize means that a declared size is not a positive number.
var ErrSize = errors.New("tmsize: expected positive cores and memory")

// New returns a Size. The error wraps ErrSize.
func New(cores, memoryMB float64) (Size, error) {
	s := Size{Cores: cores, MemoryMB: memoryMB}
	if !valid(cores) || !valid(memoryMB) {
		return Size{}, fmt.Errorf("%w, got %v cores and %v MB", ErrSize, cores, memoryMB)
	}
	return s, nil
}

func valid(x float64) bool {
	return x > 0 && !math.IsInf(x, 1)
}

// Fits reports whether s fits into room.
func (s Size) Fits(room Size) bool {
	return s.Cores <= room.Cores && s.MemoryMB <= room.MemoryMB
}

// NeverRuns reports whether a declared size is larger than each instance, so
// that the request is refused at once. Corrected sizes are estimates and must
// not be used here.
func NeverRuns(declared Size, instances []Size) bool {
	return !slices.ContainsFunc(instances, declared.Fits)
}

const (
	// samplesKept is the number of last samples of a team and queue.
	samplesKept = 64
	// minSamples is needed before declared sizes are corrected, so that a few
	// odd tasks have no effect.
	minSamples = 12
	// maxFactor bounds a correction. Declared sizes are off by up to a factor
	// of ten.
	maxFactor = 16
	// farOff is the factor from which a declared size is corrected; smaller
	// errors are within the spread of one kind of task.
	farOff = 1.5
	// maxKinds bounds the teams and queues that are remembered.
	maxKinds = 4096
)

// Kind is work that is sized alike.
type Kind struct {
	Team, Queue string
}

// Estimator learns by which factor the sizes of each Kind are off. It is not
// safe for concurrent use.
type Estimator struct {
	kinds map[Kind]*history
	order []Kind
}

type history struct {
	cores, memory ring
}

type ring struct {
	values [samplesKept]float64
	n      int
}

func (r *ring) add(v float64) {
	r.values[r.n%samplesKept] = v
	r.n++
}

// quantile returns the q-quantile of the kept values.
func (r *ring) quantile(q float64) float64 {
	sorted := slices.Sorted(slices.Values(r.values[:min(r.n, samplesKept)]))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// NewEstimator returns an Estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{kinds: make(map[Kind]*history)}
}

// Observe notes the highest usage of one task, once per task, when the lagged
// report covers its whole run. Invalid samples are ignored.
func (e *Estimator) Observe(k Kind, declared, used Size) {
	if !valid(declared.Cores) || !valid(declared.MemoryMB) || !valid(used.Cores) || !valid(used.MemoryMB) {
		return
	}
	h := e.kinds[k]
	if h == nil {
		h = e.insert(k)
	}
	h.cores.add(used.Cores / declared.Cores)
	h.memory.add(used.MemoryMB / declared.MemoryMB)
}

// insert adds a Kind and forgets the oldest one above maxKinds.
func (e *Estimator) insert(k Kind) *history {
	if len(e.order) >= maxKinds {
		delete(e.kinds, e.order[0])
		e.order = e.order[1:]
	}
	h := &history{}
	e.kinds[k] = h
	e.order = append(e.order, k)
	return h
}

// Correct returns the expected size of a task. Processors may be shared for a
// while, so they follow the median; memory that runs out ends tasks, so it
// follows the upper tenth.
func (e *Estimator) Correct(k Kind, declared Size) Size {
	h := e.kinds[k]
	if h == nil || h.cores.n < minSamples {
		return declared
	}
	return Size{
		Cores:    declared.Cores * factor(h.cores.quantile(0.5)),
		MemoryMB: declared.MemoryMB * factor(h.memory.quantile(0.9)),
	}
}

func factor(ratio float64) float64 {
	if ratio < farOff && ratio > 1/farOff {
		return 1
	}
	return min(max(ratio, 1.0/maxFactor), maxFactor)
}

// maxTries is the number of instances that may refuse or fail a task for its
// size before the task counts as one that can never run.
const maxTries = 3

// Tries counts the instances at which one request turned out too large. It is
// not safe for concurrent use.
type Tries struct {
	instances []string
}

// TooLarge notes that the instance refused the request as too large for it and
// reports whether the request can never run. The same instance counts once.
// When fewer than maxTries instances exist, all of them have to refuse.
func (t *Tries) TooLarge(instance string, usable int) bool {
	if !slices.Contains(t.instances, instance) {
		t.instances = append(t.instances, instance)
	}
	return len(t.instances) >= min(maxTries, max(usable, 1))
}

// Tried reports whether the instance has refused the request as too large.
func (t *Tries) Tried(instance string) bool {
	return slices.Contains(t.instances, instance)
}
