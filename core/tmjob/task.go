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
