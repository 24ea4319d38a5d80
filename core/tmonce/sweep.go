package tmonce

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

const (
	// sweepWindow is how many minutes behind the newest due one are swept one
	// by one.
	sweepWindow = 15
	// backlogMinutes is the interval of the sweep over all older rows, which
	// finds what an outage of the platform or a late transaction left behind.
	backlogMinutes = 60
)

// Sweep is a range of row keys to be deleted: above After and below Until.
type Sweep struct {
	After, Until string
}

// Sweeper says which rows of expired requests this entry deletes. It is not
// safe for concurrent use.
type Sweeper struct {
	self    string
	done    map[int64]bool
	backlog int64

	// keep is keepFor, except in a negative control.
	keep tmclock.Span
}

// NewSweeper returns a Sweeper of the member with the given incarnation.
func NewSweeper(self string) *Sweeper {
	return &Sweeper{self: self, done: make(map[int64]bool), keep: keepFor}
}

// Due returns the sweeps to make at the wall time now. Each minute is owned by
// one member; a member that becomes the owner later sweeps the minute again,
// which finds nothing when the earlier owner was done.
func (s *Sweeper) Due(now tmclock.Millis, members []string) []Sweep {
	newest := s.lastDueMinute(now)
	var out []Sweep
	for m := newest - sweepWindow + 1; m <= newest; m++ {
		if !s.done[m] && tmfleet.Owner(minutePrefix(m), members) == s.self {
			out = append(out, Sweep{After: minutePrefix(m), Until: minutePrefix(m + 1)})
		}
	}
	turn := newest / backlogMinutes
	if s.backlog != turn && tmfleet.Owner(minutePrefix(-turn), members) == s.self {
		out = append(out, Sweep{Until: minutePrefix(newest - sweepWindow + 1)})
	}
	return out
}

// Swept notes that all rows of sw are deleted.
func (s *Sweeper) Swept(sw Sweep, now tmclock.Millis) {
	newest := s.lastDueMinute(now)
	if sw.After == "" {
		s.backlog = newest / backlogMinutes
		return
	}
	for m := newest - sweepWindow + 1; m <= newest; m++ {
		if minutePrefix(m) == sw.After {
			s.done[m] = true
		}
	}
	for m := range s.done {
		if m <= newest-sweepWindow {
			delete(s.done, m)
		}
	}
}

// lastDueMinute returns the newest minute all of whose ids are old enough to
// be deleted.
func (s *Sweeper) lastDueMinute(now tmclock.Millis) int64 {
	return minuteOf(now.Add(-s.keep)) - 1
}
