// Package tmjob has the durable jobs that callers submit: their steps, their
// tasks, and what has to be remembered of a task between two starts. Values are
// plain data; decisions about them are in core/tmcontrol.
package tmjob

import (
	"errors"
	"fmt"

	"turmericmoor/core/tmclock"
)

// Bounds of a submission.
const (
	// maxSteps bounds the steps of a job.
	maxSteps = 64
	// maxTasks bounds the tasks of a job, so that its progress fits into one row
	// of 64 KiB. Of a repeated job openOccurrences are counted.
	maxTasks        = 600
	openOccurrences = 4
	// MaxSpec bounds the specification in bytes.
	MaxSpec = 4000
)

// ErrInvalid is the cause of every refused submission.
var ErrInvalid = errors.New("tmjob: invalid job")

// State is the state of a job that callers see.
type State int

// States of a job. Completed, Failed and Cancelled are final.
const (
	Pending State = iota
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{"pending", "running", "completed", "failed", "cancelled"}

// String returns the name of the state in logs and rows.
func (s State) String() string {
	if s < Pending || s > Cancelled {
		return "unknown"
	}
	return stateNames[s]
}

// ParseState returns the state with that name.
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

// Step is a set of equal tasks.
type Step struct {
	Count int
	// Size is what each task takes up.
	Size Amount
	// Estimate is the declared run time of a task, which is often far off.
	Estimate tmclock.Span
	// After lists the earlier steps that must be done first.
	After []int
	// Checkpoint says that tasks report values from which they can resume.
	Checkpoint bool
	// Gang says that the tasks run only together and share their run number.
	Gang bool
	// SameRack says that the tasks slow each other down across racks.
	SameRack bool
	// Label is a label that the endpoint must have, or "".
	Label string
	// DataRack is the rack that holds the data, or "".
	DataRack string
	// PerEndpoint bounds the tasks of the step on one endpoint; 0 is no bound.
	PerEndpoint int
	// Speculative permits copies of a task that run at the same time.
	Speculative bool
	// LongRunning says that tasks run until the job is cancelled.
	LongRunning bool
	// Image names what the tasks run. Tasks of one image behave alike.
	Image string
	// Target bounds the response time of the users of a long-running task;
	// 0 is none.
	Target tmclock.Span
	// Fills says that the tasks live on capacity that others leave unused, so
	// that their processor share takes no room.
	Fills bool
	// MayMiss is how many tasks of a long-running step may be away at once
	// because of planned work; 0 if nothing was agreed.
	MayMiss int
}

// Room returns what a task of the step takes from the capacity of an endpoint.
func (s *Step) Room() Amount {
	if s.Fills {
		return Amount{Mem: s.Size.Mem, GPU: s.Size.GPU}
	}
	return s.Size
}

// Job is a job as it was accepted.
type Job struct {
	// ID is the caller's identifier, unique in the installation.
	ID string
	// Queue is the name of the queue, Team the owner, "" on queues open to all.
	Queue, Team string
	// Spec is passed to every task unchanged.
	Spec  string
	Steps []Step
	// Repeats is the number of timed occurrences, 0 for a job that runs once.
	Repeats int
	// StartAt is the due time of the first occurrence, Accepted the time at
	// which the job arrived, both in milliseconds since the Unix epoch.
	StartAt, Accepted int64
	// Interval is the time between occurrences.
	Interval tmclock.Span
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(j.Repeats, 1) }

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

// Check returns an error that wraps ErrInvalid and names the field when the job
// could not be run as it stands.
func (j *Job) Check() error {
	if len(j.Spec) > MaxSpec {
		return fmt.Errorf("%w: spec has %d bytes, at most %d are allowed", ErrInvalid, len(j.Spec), MaxSpec)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("%w: %d steps, expected 1 to %d", ErrInvalid, len(j.Steps), maxSteps)
	}
	if j.Repeats < 0 || j.Interval < 0 {
		return fmt.Errorf("%w: negative number or interval of occurrences", ErrInvalid)
	}
	tasks := 0
	for i := range j.Steps {
		if err := j.Steps[i].check(i); err != nil {
			return err
		}
		tasks += j.Steps[i].Count * min(j.Occurrences(), openOccurrences)
	}
	if tasks > maxTasks {
		return fmt.Errorf("%w: %d tasks, at most %d are allowed", ErrInvalid, tasks, maxTasks)
	}
	return nil
}

func (s *Step) check(i int) error {
	if s.Count < 1 {
		return fmt.Errorf("%w: step %d has %d tasks, expected at least 1", ErrInvalid, i, s.Count)
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
