package tmjob

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job              string
	Occurrence, Step int
	Index            int
}

// String returns the name that endpoints and logs use, JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return t.StepName() + "." + strconv.Itoa(t.Index)
}

// StepName returns JOB.OCCURRENCE.STEP.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step)
}

// Compare orders tasks by job, occurrence, step and index.
func (t TaskID) Compare(u TaskID) int {
	return cmp.Or(cmp.Compare(t.Job, u.Job), cmp.Compare(t.Occurrence, u.Occurrence),
		cmp.Compare(t.Step, u.Step), cmp.Compare(t.Index, u.Index))
}

// ParseTaskID reads a name that String made.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("tmjob: task name %q, expected JOB.OCCURRENCE.STEP.INDEX", name)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("tmjob: task name %q: %q is not a number", name, p)
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// Place is a run of a task at an endpoint.
type Place struct {
	// Run numbers the starts of the task, from 1.
	Run int
	// Endpoint is the identifier of the endpoint, Born the start of its
	// lifetime in milliseconds since the Unix epoch.
	Endpoint string
	Born     int64
}

// TaskRecord is what is stored of a task.
type TaskRecord struct {
	Occurrence, Step, Index int
	// Runs is the highest run number that was used, Failures the number of
	// runs that failed.
	Runs, Failures int
	Done           bool
	// Saved is the newest checkpoint, or "".
	Saved string
	// Places are the runs that may still be active.
	Places []Place
}

// Progress is what is stored of a job beside the job itself.
type Progress struct {
	ID    string
	Tasks []TaskRecord
}
