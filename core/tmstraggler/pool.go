package tmstraggler

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
)

// Pool bounds how many endpoints of a pool are avoided or on trial at the same time: half of
// those that are usable, the worst first. Work that is uneven makes many endpoints suspicious at
// once, and avoiding them all stops the pool.
type Pool struct {
	usable   int
	suspects map[string]*Health
}

// SetUsable records how many endpoints of the pool may get tasks, including those that are
// avoided on suspicion.
func (p *Pool) SetUsable(n int) { p.usable = n }

// Suspect avoids an endpoint on suspicion unless the bound is reached by others that are as
// bad. A milder suspect is released for it, and its id is returned. A pool of one endpoint may
// have one suspect.
func (p *Pool) Suspect(id string, h *Health, s Suspicion, now tmclock.Millis) (avoided bool, released string) {
	if p.suspects == nil {
		p.suspects = map[string]*Health{}
	}
	if !h.IsSuspected() || p.suspects[id] != h {
		p.prune()
		if len(p.suspects) >= max(1, p.usable/2) {
			released = p.mildest()
			if !s.IsWorse(p.suspects[released].suspicion) {
				return false, ""
			}
			p.suspects[released].Clear()
			delete(p.suspects, released)
		}
	}
	p.suspects[id] = h
	h.suspect(s, now)
	return true, released
}

// prune drops endpoints that are no longer suspected.
func (p *Pool) prune() {
	for id, h := range p.suspects {
		if !h.IsSuspected() {
			delete(p.suspects, id)
		}
	}
}

func (p *Pool) mildest() string {
	mildest := ""
	for id, h := range p.suspects {
		if mildest == "" || cmp.Or(h.suspicion.Compare(p.suspects[mildest].suspicion), cmp.Compare(id, mildest)) < 0 {
			mildest = id
		}
	}
	return mildest
}

// Suspects returns the endpoints that are suspected, in order of their id.
func (p *Pool) Suspects() []string {
	p.prune()
	ids := make([]string, 0, len(p.suspects))
	for id := range p.suspects {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Rate is the share of failures among the ends of the runs of a workload.
type Rate struct{ ends, failures float64 }

// maxRateEnds is the number of ends that a rate remembers. Older ones fade.
const maxRateEnds = 200

// Add adds the end of a run.
func (r *Rate) Add(failed bool) {
	if r.ends >= maxRateEnds {
		r.ends /= 2
		r.failures /= 2
	}
	r.ends++
	if failed {
		r.failures++
	}
}

// Without returns the rate without a number of failures that were added before.
func (r *Rate) Without(failures int) float64 {
	if r.ends <= float64(failures) {
		return 0
	}
	return max(0, r.failures-float64(failures)) / (r.ends - float64(failures))
}

// Copies bounds the second copies of straggling tasks to a share of the runs.
type Copies struct{ credit float64 }

const (
	// copyShare is the share of the runs that may be second copies.
	copyShare = 0.1
	// maxCopyCredit limits the copies that may start at once.
	maxCopyCredit = 8.0
	// MinCopyAge is the minimum time that a task must have run before it is copied.
	MinCopyAge = 500 * tmclock.Millisecond
)

// Run records that a run was started that is not a second copy.
func (c *Copies) Run() { c.credit = min(maxCopyCredit, c.credit+copyShare) }

// MayTake reports whether a second copy may start.
func (c *Copies) MayTake() bool { return c.credit >= 1 }

// Take counts a second copy that is started.
func (c *Copies) Take() { c.credit-- }

// IsStraggler reports whether a run is so late that a second copy started now would probably
// end first: it is long, and what is left of it takes longer than a whole run usually does.
func (t *Times) IsStraggler(ran, expected float64) bool {
	return t.CanCompare() && t.IsLong(expected) && expected-ran > t.Median()
}
