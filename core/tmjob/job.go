// Package tmjob defines the durable jobs that callers submit: their steps, their
// tasks, and the state of a task that is stored between two of its runs. The
// types are plain data; package core/tmcontrol schedules them.
package tmjob

import (
	"errors"
	"fmt"
	"math"

	"turmericmoor/core/tmclock"
)

// Limits on a job. They keep one job from exhausting the memory or the processor of its
// owner. Stored jobs have to keep them as well, so that no later version may lower them.
const (
	// MaxSteps is the maximum number of steps of a job.
	MaxSteps = 1000
	// MaxTasks is the maximum number of tasks of one occurrence of a job.
	MaxTasks = 10_000
	// maxRepeats is the maximum number of occurrences of a job.
	maxRepeats = 1_000_000_000
	// MaxSpecBytes is the maximum length of the specification.
	MaxSpecBytes = 4000
)

// ErrInvalid is wrapped by every error that Check returns.
var ErrInvalid = errors.New("tmjob: invalid job")

// State is the state of a job as callers see it.
type State int

// The states of a job. Completed, Failed and Cancelled are final.
const (
	Pending State = iota
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{"pending", "running", "completed", "failed", "cancelled"}

// String returns the name of the state that logs and stored rows use.
func (s State) String() string {
	if s < Pending || s > Cancelled {
		return "unknown"
	}
	return stateNames[s]
}

// ParseState returns the state with the given name, as String returns it.
func ParseState(name string) (State, bool) {
	for i, n := range stateNames {
		if n == name {
			return State(i), true
		}
	}
	return Pending, false
}

// Final reports whether a job in this state never changes again.
func (s State) Final() bool { return s >= Completed }

// Step is a set of identical tasks.
type Step struct {
	// Count is the number of tasks.
	Count int
	// Size is the resources that each task uses.
	Size Resources
	// Estimate is the declared run time of a task, which is often inaccurate.
	Estimate tmclock.Span
	// After lists the indexes of earlier steps that must be done first.
	After []int
	// Checkpoint says that tasks report checkpoints from which they can resume.
	Checkpoint bool
	// Gang says that the tasks are scheduled as a gang: they run only together
	// and share one run number.
	Gang bool
	// SameRack says that the tasks run slower when they are spread over racks.
	SameRack bool
	// Label is a label that the endpoint must have, or "".
	Label string
	// DataRack is the rack that holds the data of the tasks, or "".
	DataRack string
	// PerEndpoint is the maximum number of tasks of the step on one endpoint;
	// 0 means no maximum.
	PerEndpoint int
	// Speculative permits concurrent copies of a task.
	Speculative bool
	// LongRunning says that tasks run until the job is cancelled.
	LongRunning bool
	// Image names the software that the tasks run. Tasks with the same image
	// behave alike.
	Image string
	// LatencyTarget is the maximum response time that users of a long-running
	// task should see; 0 means no target.
	LatencyTarget tmclock.Span
	// BestEffort says that the tasks run on processor time that other tasks leave
	// unused, so that none is reserved for them.
	BestEffort bool
	// MaxUnavailable is how many tasks of a long-running step may be unavailable
	// at a time because of planned work; 0 if nothing was agreed.
	MaxUnavailable int
}

// Reservation returns the resources that a task of the step reserves on its
// endpoint.
func (s *Step) Reservation() Resources {
	if s.BestEffort {
		return Resources{Mem: s.Size.Mem, GPU: s.Size.GPU}
	}
	return s.Size
}

// Job is a job as it was accepted.
type Job struct {
	// ID is the identifier that the caller chose, unique in the installation.
	ID string
	// Queue is the name of the queue. Team is the team that owns the job, "" on
	// queues open to all.
	Queue, Team string
	// Spec is passed to every task unchanged.
	Spec  string
	Steps []Step
	// Repeats is the number of timed occurrences, 0 for a job that runs once.
	Repeats int
	// StartAt is the due time of the first occurrence, Accepted the arrival time
	// of the job, both in milliseconds since the Unix epoch.
	StartAt, Accepted int64
	// Interval is the time from one occurrence to the next.
	Interval tmclock.Span
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.Repeats, 1) }

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// Due returns when an occurrence is due, in milliseconds since the Unix epoch.
func (j *Job) Due(occurrence int) int64 {
	if j.Repeats == 0 {
		return j.Accepted
	}
	return j.StartAt + int64(occurrence)*int64(j.Interval)
}

// LongRunning reports whether any step runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Check returns an error that wraps ErrInvalid and names the faulty field when
// the job can't be run.
func (j *Job) Check() error {
	if len(j.Spec) > MaxSpecBytes {
		return fmt.Errorf("%w: spec has %d bytes, at most %d are allowed", ErrInvalid, len(j.Spec), MaxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("%w: %d steps, expected 1 to %d", ErrInvalid, len(j.Steps), MaxSteps)
	}
	if j.Repeats < 0 || j.Repeats > maxRepeats {
		return fmt.Errorf("%w: %d occurrences, expected 0 to %d", ErrInvalid, j.Repeats, maxRepeats)
	}
	if j.Interval < 0 {
		return fmt.Errorf("%w: negative interval of occurrences", ErrInvalid)
	}
	if last := int64(max(j.Repeats-1, 0)); last > 0 && int64(j.Interval) > (math.MaxInt64-max(j.StartAt, 0))/last {
		return fmt.Errorf("%w: the last of %d occurrences is due beyond all time", ErrInvalid, j.Repeats)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%w: %d tasks, at most %d are allowed", ErrInvalid, tasks, MaxTasks)
	}
	return nil
}

func (s *Step) check(i int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("%w: step %d has %d tasks, expected 1 to %d", ErrInvalid, i, s.Count, MaxTasks)
	}
	if s.Size.CPU < 0 || s.Size.Mem < 0 || s.Size.GPU < 0 {
		return fmt.Errorf("%w: step %d has a negative size", ErrInvalid, i)
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			return fmt.Errorf("%w: step %d runs after step %d, expected an earlier one", ErrInvalid, i, a)
		}
	}
	return nil
}
