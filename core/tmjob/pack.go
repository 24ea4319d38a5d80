package tmjob

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
)

// PackedSteps are the steps of a job in little memory, for as long as nothing of the job is due.
type PackedSteps struct{ data []byte }

// PackSteps packs steps.
func PackSteps(steps []Step) (PackedSteps, error) {
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return PackedSteps{}, fmt.Errorf("tmjob: pack steps: %w", err)
	}
	if err := gob.NewEncoder(w).Encode(steps); err != nil {
		return PackedSteps{}, fmt.Errorf("tmjob: pack steps: %w", err)
	}
	if err := w.Close(); err != nil {
		return PackedSteps{}, fmt.Errorf("tmjob: pack steps: %w", err)
	}
	return PackedSteps{data: bytes.Clone(buf.Bytes())}, nil
}

// IsEmpty reports whether nothing is packed.
func (p PackedSteps) IsEmpty() bool { return len(p.data) == 0 }

// Size returns the size in bytes.
func (p PackedSteps) Size() int { return len(p.data) }

// Unpack returns the steps.
func (p PackedSteps) Unpack() ([]Step, error) {
	var steps []Step
	if err := gob.NewDecoder(flate.NewReader(bytes.NewReader(p.data))).Decode(&steps); err != nil {
		return nil, fmt.Errorf("tmjob: unpack steps: %w", err)
	}
	return steps, nil
}
