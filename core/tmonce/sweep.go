package tmonce

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

const (
	// sweepWindowMinutes is the number of minutes, up to the newest expired one,
	// that are swept one by one.
	sweepWindowMinutes = 15
	// backlogIntervalMinutes is the interval of the sweep over all older rows. That
	// sweep finds rows that an outage of the platform or a delayed transaction left
	// behind.
	backlogIntervalMinutes = 60
)

// Sweep is the range of the keys of rows to delete. Both ends are exclusive.
type Sweep struct {
	After, Until string
}

// Sweeper determines which rows of expired requests this entry deletes. It is
// not safe for concurrent use.
type Sweeper struct {
	self        string
	swept       map[int64]bool
	lastBacklog int64

	// retention is rowRetention, except in a negative control.
	retention tmclock.Span
}

// NewSweeper returns a Sweeper for the member with the given incarnation.
func NewSweeper(self string) *Sweeper {
	return &Sweeper{self: self, swept: make(map[int64]bool), retention: rowRetention}
}

// Due returns the sweeps to carry out at the wall time now. Each minute is owned
// by one member. A member that becomes the owner later sweeps the minute again,
// which finds nothing if the earlier owner finished.
func (s *Sweeper) Due(now tmclock.Millis, members []string) []Sweep {
	newest := s.lastDueMinute(now)
	var out []Sweep
	for m := newest - sweepWindowMinutes + 1; m <= newest; m++ {
		if !s.swept[m] && tmfleet.Owner(minutePrefix(m), members) == s.self {
			out = append(out, Sweep{After: minutePrefix(m), Until: minutePrefix(m + 1)})
		}
	}
	period := newest / backlogIntervalMinutes
	if s.lastBacklog != period && tmfleet.Owner(minutePrefix(-period), members) == s.self {
		out = append(out, Sweep{Until: minutePrefix(newest - sweepWindowMinutes + 1)})
	}
	return out
}

// Swept records that all rows of sw have been deleted.
func (s *Sweeper) Swept(sw Sweep, now tmclock.Millis) {
	newest := s.lastDueMinute(now)
	if sw.After == "" {
		s.lastBacklog = newest / backlogIntervalMinutes
		return
	}
	for m := newest - sweepWindowMinutes + 1; m <= newest; m++ {
		if minutePrefix(m) == sw.After {
			s.swept[m] = true
		}
	}
	for m := range s.swept {
		if m <= newest-sweepWindowMinutes {
			delete(s.swept, m)
		}
	}
}

// lastDueMinute returns the newest minute whose rows have all expired.
func (s *Sweeper) lastDueMinute(now tmclock.Millis) int64 {
	return minuteOf(now.Add(-s.retention)) - 1
}
