package emulator

import (
	"fmt"
	"strings"
)

const (
	// checkpointSteps is how many checkpoints a run reports.
	checkpointSteps = 10
	// Every longCheckpointInterval-th task of a step has checkpoints of longCheckpointBytes,
	// in characters that stored rows have to escape. Those of a few tasks exceed a row.
	longCheckpointInterval = 16
	longCheckpointBytes    = 6000
)

// checkpoint returns the latest checkpoint of a run, or "" if its step has none or the run
// waits for the other members of its gang. It begins with the name of the task.
func (e *Endpoint) checkpoint(r *activeRun) string {
	step := e.fleet.step(r.task)
	percent := r.percent()
	if !step.Checkpoint || r.waiting || percent < 100/checkpointSteps {
		return ""
	}
	text := fmt.Sprintf("%s/%d/%d", r.task, r.run, percent*checkpointSteps/100)
	if r.task.Index%longCheckpointInterval == 0 {
		text += strings.Repeat("<", longCheckpointBytes)
	}
	return text
}

// checkCheckpoint checks the checkpoint that a start order carries. All members of a gang
// have to start with the same.
func (f *Fleet) checkCheckpoint(key taskRun, checkpoint string) {
	owner := key.task.String() + "/"
	if f.isGang(key.task) {
		owner = key.task.StepName() + "."
		for _, m := range f.members(key) {
			if m.run.startedFrom != checkpoint {
				f.ReportViolation("%s starts with the checkpoint %.40q, %s with %.40q", key.task, checkpoint, m.run.task, m.run.startedFrom)
			}
		}
	}
	if checkpoint != "" && !strings.HasPrefix(checkpoint, owner) {
		f.ReportViolation("%s starts with the checkpoint %.40q of another task", key.task, checkpoint)
	}
}
