package tmfresh

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// maxPendingVersions limits the number of versions that are tracked until they
// are in force. It equals the number of versions that the table keeps as
// history. Dropping the oldest version is safe, because that version is in force
// as soon as a later one is.
const maxPendingVersions = 64

// pendingVersion is an installed version that is not yet in force. Several are
// tracked at a time. If only the latest were tracked, changes that arrive faster
// than the expiry wait would keep restarting the wait while one member is silent.
type pendingVersion struct {
	version  uint64
	members  []string
	previous []string
	// blocked is set once every majority includes a member that acknowledged the
	// version, so that no entry can become fresh with an older one by heartbeats.
	blocked      bool
	blockedSince tmclock.Millis
}

func newPendingVersion(s tmfleet.State) pendingVersion {
	return pendingVersion{
		version:  s.Version(),
		members:  s.Members().Keys(),
		previous: s.PreviousMembers().Keys(),
	}
}

func majority(n int) int {
	return n/2 + 1
}

// updateInForce sets inForce to the highest version that is in force now and
// drops the pending versions up to it.
func (t *Tracker) updateInForce(now tmclock.Millis) {
	for i := range t.pending {
		if t.isInForce(&t.pending[i], now) {
			t.inForce = t.pending[i].version
		}
	}
	kept := t.pending[:0]
	for _, p := range t.pending {
		if p.version > t.inForce {
			kept = append(kept, p)
		}
	}
	t.pending = kept
}

// isInForce reports whether the version is in force: either every member has
// acknowledged it or is gone, or no majority can be formed without a member
// that acknowledged it and all freshness gained before that has expired.
func (t *Tracker) isInForce(p *pendingVersion, now tmclock.Millis) bool {
	members := t.countUnacknowledged(p.members, p.version)
	previous := t.countUnacknowledged(p.previous, p.version)
	if t.disabled.has(rulePreviousMembers) {
		previous = 0
	}
	if members+previous == 0 {
		return true
	}
	blocked := members < majority(len(p.members)) && previous < majority(len(p.previous))
	if !blocked {
		return false
	}
	if t.disabled.has(ruleExpiryWait) {
		return true
	}
	if !p.blocked {
		p.blocked = true
		p.blockedSince = now
	}
	return now.Sub(p.blockedSince) > t.bounds.ExpiryWait()
}

// countUnacknowledged returns the number of members that are not gone and have
// not acknowledged the version. The entry itself counts as acknowledging,
// because it has installed the version.
func (t *Tracker) countUnacknowledged(incarnations []string, version uint64) int {
	n := 0
	for _, incarnation := range incarnations {
		acked := incarnation == t.self || t.reports[incarnation].highestVersion >= version
		if !acked && !t.gone[incarnation] {
			n++
		}
	}
	return n
}
