// Package tmsize corrects the sizes that callers declare for their tasks, using
// the usage that workers report with a lag, and determines which tasks can never
// run.
//
// Size is a value. Estimator and Rejections belong to one goroutine.
package tmsize

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// Size is the resources that a task needs or that an instance has.
type Size struct {
	Cores    float64
	MemoryMB float64
}

// ErrSize reports a size whose cores or memory are not positive and finite.
var ErrSize = errors.New("tmsize: expected positive, finite cores and memory")

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

// Fits reports whether s fits into capacity.
func (s Size) Fits(capacity Size) bool {
	return s.Cores <= capacity.Cores && s.MemoryMB <= capacity.MemoryMB
}

// NeverRuns reports whether a declared size fits on none of the instances, so
// that the request can be refused at once. Corrected sizes are estimates and
// must not be used here.
func NeverRuns(declared Size, instances []Size) bool {
	return !slices.ContainsFunc(instances, declared.Fits)
}

const (
	// samplesKept is the number of most recent samples that are kept per
	// workload.
	samplesKept = 64
	// minSamples is the number of samples from which declared sizes are
	// corrected, so that a few atypical tasks have no effect.
	minSamples = 12
	// maxFactor limits a correction in both directions. Declared sizes are off by
	// up to a factor of ten.
	maxFactor = 16
	// correctionThreshold is the factor from which a declared size is corrected.
	// Smaller errors are within the spread among tasks of one workload.
	correctionThreshold = 1.5
	// maxWorkloads limits the number of workloads whose samples are kept.
	maxWorkloads = 4096
)

// Workload identifies tasks that share a size correction: those of one team in
// one queue.
type Workload struct {
	Team, Queue string
}

// Estimator estimates the factor by which the declared sizes of each Workload are
// off. It is not safe for concurrent use.
type Estimator struct {
	workloads map[Workload]*samples
	order     []Workload
}

type samples struct {
	cores, memory ringBuffer
}

type ringBuffer struct {
	values [samplesKept]float64
	n      int
}

func (r *ringBuffer) add(v float64) {
	r.values[r.n%samplesKept] = v
	r.n++
}

// quantile returns the q-quantile of the kept values.
func (r *ringBuffer) quantile(q float64) float64 {
	sorted := slices.Sorted(slices.Values(r.values[:min(r.n, samplesKept)]))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// NewEstimator returns an Estimator without samples.
func NewEstimator() *Estimator {
	return &Estimator{workloads: make(map[Workload]*samples)}
}

// Observe records the peak usage of one task. It must be called once per task,
// when the lagged report covers the task's whole run. Invalid samples are
// ignored.
func (e *Estimator) Observe(w Workload, declared, used Size) {
	if !valid(declared.Cores) || !valid(declared.MemoryMB) || !valid(used.Cores) || !valid(used.MemoryMB) {
		return
	}
	s := e.workloads[w]
	if s == nil {
		s = e.insert(w)
	}
	s.cores.add(used.Cores / declared.Cores)
	s.memory.add(used.MemoryMB / declared.MemoryMB)
}

// insert adds a Workload. If there are maxWorkloads already, it evicts the one
// that was added first.
func (e *Estimator) insert(w Workload) *samples {
	if len(e.order) >= maxWorkloads {
		delete(e.workloads, e.order[0])
		e.order = e.order[1:]
	}
	s := &samples{}
	e.workloads[w] = s
	e.order = append(e.order, w)
	return s
}

// Correct returns the expected size of a task: the declared size times the ratio
// of used to declared resources in the kept samples. For cores the median ratio is
// used, because tasks can share cores for a while. For memory the 90th percentile
// is used, because tasks are killed when memory runs out.
func (e *Estimator) Correct(w Workload, declared Size) Size {
	s := e.workloads[w]
	if s == nil || s.cores.n < minSamples {
		return declared
	}
	return Size{
		Cores:    declared.Cores * factor(s.cores.quantile(0.5)),
		MemoryMB: declared.MemoryMB * factor(s.memory.quantile(0.9)),
	}
}

func factor(ratio float64) float64 {
	if ratio < correctionThreshold && ratio > 1/correctionThreshold {
		return 1
	}
	return min(max(ratio, 1.0/maxFactor), maxFactor)
}

// maxRejections is the number of instances that must refuse a task, or fail it,
// because of its size before the task counts as one that can never run.
const maxRejections = 3

// Rejections records the instances for which one request was too large. It is not
// safe for concurrent use.
type Rejections struct {
	instances []string
}

// Add records that the instance refused the request as too large and reports
// whether the request can never run. An instance counts only once. If fewer than
// maxRejections instances are usable, rejections by all of them are sufficient.
func (r *Rejections) Add(instance string, usable int) bool {
	if !slices.Contains(r.instances, instance) {
		r.instances = append(r.instances, instance)
	}
	return len(r.instances) >= min(maxRejections, max(usable, 1))
}

// Contains reports whether the instance refused the request as too large.
func (r *Rejections) Contains(instance string) bool {
	return slices.Contains(r.instances, instance)
}
