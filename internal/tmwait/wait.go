// Package tmwait provides a pause that a context can interrupt.
package tmwait

import (
	"context"
	"time"
)

// Pause waits for d or until ctx is done. It reports false if ctx was done first.
func Pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
