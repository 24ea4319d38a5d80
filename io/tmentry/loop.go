package tmentry

import (
	"context"
	"time"

	"turmericmoor/core/tmclock"
)

// Intervals of the loops that core/tmfresh does not state.
const (
	sliceReadEvery = 1 * tmclock.Second
	// starvedWait bounds how often a starved entry reads slices.
	starvedWait = 200 * tmclock.Millisecond
	tickEvery   = 50 * tmclock.Millisecond
	planEvery   = 250 * tmclock.Millisecond
	doubtEvery  = 500 * tmclock.Millisecond
	sweepEvery  = 10 * tmclock.Second
)

// every calls run at once and then at the given interval until ctx ends. A run
// that takes longer delays the next one.
func every(ctx context.Context, interval tmclock.Span, run func(context.Context)) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		run(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// sleep waits for d and reports whether ctx is still alive.
func sleep(ctx context.Context, d tmclock.Span) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
