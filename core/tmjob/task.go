package tmjob

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies one task of one occurrence of a job.
type TaskID struct {
	Job              string
	Occurrence, Step int
	Index            int
}

// String returns JOB.OCCURRENCE.STEP.INDEX, the task name that endpoints and logs
// use.
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

// ParseTaskID parses a task name that String returned.
func ParseTaskID(name string) (TaskID, error) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("tmjob: task name %q, expected JOB.OCCURRENCE.STEP.INDEX", name)
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, fmt.Errorf("tmjob: task name %q: %q is not a non-negative number", name, p)
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, nil
}

// Placement is a run of a task on an endpoint.
type Placement struct {
	// Run is the run number. The starts of a task are numbered from 1.
	Run int
	// Endpoint is the identifier of the endpoint, EndpointStart the start of its
	// lifetime in milliseconds since the Unix epoch.
	Endpoint      string
	EndpointStart int64
	// Isolated says that no other task was starting on the endpoint, because the task was
	// suspected of having crashed endpoints.
	Isolated bool
	// Lapsed says that the run is gone because the endpoint was silent, which counts as a
	// crash as long as that lasts.
	Lapsed bool
}

// TaskRecord is the stored state of a task. A record with a negative Step says
// that all tasks of its occurrence are done.
type TaskRecord struct {
	Occurrence, Step, Index int
	// Runs is the highest run number used so far, Failures the number of failed
	// runs.
	Runs, Failures int
	// Crashes is the number of endpoints that have crashed under the task, Suspicions tells
	// how likely the task caused them.
	Crashes, Suspicions int
	Done                bool
	// Checkpoint is the latest checkpoint, or "".
	Checkpoint string
	// Placements lists the runs that may still be active.
	Placements []Placement
}

// Progress is the stored state of the tasks of a job. The job itself is stored
// apart from it.
type Progress struct {
	ID    string
	Tasks []TaskRecord
}
