package tmfresh

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// maxClaims bounds the versions that are followed until they are in force. It
// equals the number of versions that the table keeps as history. Dropping the
// oldest is safe, because a later version in force implies it.
const maxClaims = 64

// claim is an installed version that is not yet in force. Several are followed
// at a time: if only the last one was, changes that come faster than the wait
// would keep restarting it while one member is silent.
type claim struct {
	version  uint64
	members  []string
	previous []string
	blocked  bool
	since    tmclock.Millis
}

func newClaim(s tmfleet.State) claim {
	return claim{
		version:  s.Version(),
		members:  s.Members().Keys(),
		previous: s.PreviousMembers().Keys(),
	}
}

func majority(n int) int {
	return n/2 + 1
}

// settle finds the highest version that is in force now.
func (t *Tracker) settle(now tmclock.Millis) {
	for i := range t.pending {
		if t.reached(&t.pending[i], now) {
			t.inForce = t.pending[i].version
		}
	}
	kept := t.pending[:0]
	for _, c := range t.pending {
		if c.version > t.inForce {
			kept = append(kept, c)
		}
	}
	t.pending = kept
}

// reached reports whether the version is in force: everybody acknowledged it
// or is gone, or no majority can be formed without an acknowledging member and
// every freshness from before that has expired.
func (t *Tracker) reached(c *claim, now tmclock.Millis) bool {
	members := t.missing(c.members, c.version)
	previous := t.missing(c.previous, c.version)
	if t.off.has(rulePrevious) {
		previous = 0
	}
	if members+previous == 0 {
		return true
	}
	blocked := members < majority(len(c.members)) && previous < majority(len(c.previous))
	if !blocked {
		return false
	}
	if t.off.has(ruleForceWait) {
		return true
	}
	if !c.blocked {
		c.blocked = true
		c.since = now
	}
	return now.Sub(c.since) > t.bounds.ForceWait()
}

// missing counts the members that are not gone and have not acknowledged the
// version. The entry itself has installed it.
func (t *Tracker) missing(incarnations []string, version uint64) int {
	n := 0
	for _, incarnation := range incarnations {
		acked := incarnation == t.self || t.reports[incarnation].highest >= version
		if !acked && !t.gone[incarnation] {
			n++
		}
	}
	return n
}
