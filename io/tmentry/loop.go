package tmentry

import (
	"context"
	"time"

	"turmericmoor/core/tmclock"
)

// Intervals of the loops that are not among the time constants of core/tmfresh.
const (
	sliceReadInterval = 1 * tmclock.Second
	// starvedDelay delays the reads of slices when a team is starved, so that
	// they happen at most once in that time.
	starvedDelay       = 200 * tmclock.Millisecond
	tickInterval       = 50 * tmclock.Millisecond
	planInterval       = 250 * tmclock.Millisecond
	quarantineInterval = 500 * tmclock.Millisecond
	sweepInterval      = 10 * tmclock.Second
)

// every calls run at once and then at the given interval until ctx ends. A call
// that takes longer than the interval delays the next one.
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

// sleep waits for d. It returns false when ctx ends first.
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
