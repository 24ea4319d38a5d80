package tmentry

import (
	"context"

	"turmericmoor/io/tmoperator"
)

// StartWave implements tmoperator.Backend.
func (e *Entry) StartWave(context.Context, tmoperator.WaveRequest) (tmoperator.WaveStatus, error) {
	return tmoperator.WaveStatus{}, tmoperator.ErrNotFound
}

// Wave implements tmoperator.Backend.
func (e *Entry) Wave(context.Context, string) (tmoperator.WaveStatus, error) {
	return tmoperator.WaveStatus{}, tmoperator.ErrNotFound
}

// Waves implements tmoperator.Backend.
func (e *Entry) Waves(context.Context) ([]tmoperator.WaveStatus, error) {
	return nil, nil
}

// StopWave implements tmoperator.Backend.
func (e *Entry) StopWave(context.Context, string) (tmoperator.WaveStatus, error) {
	return tmoperator.WaveStatus{}, tmoperator.ErrNotFound
}
