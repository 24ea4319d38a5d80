package tmshare

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"turmericmoor/core/tmfleet"
)

// Usage has the number of running tasks of each team in the whole fleet: the
// exact count of this entry plus the counts that its peers last reported. A
// Usage belongs to one Queue, which updates the count of this entry.
type Usage struct {
	teams map[string]*teamUsage
	peers map[string]map[string]int
	dirty []*teamUsage
}

// teamUsage is the usage of one team. When it is dirty, the heap positions of
// the team's queues have to be fixed.
type teamUsage struct {
	name  string
	share int64
	own   int
	peers int
	// target is the count that the team should have at this entry.
	target int
	// lastStart is the number of the team's last start among all starts of the
	// queue.
	lastStart uint64
	dirty     bool
}

// NewUsage returns a Usage without teams.
func NewUsage() *Usage {
	return &Usage{teams: map[string]*teamUsage{}, peers: map[string]map[string]int{}}
}

// SetShares sets the shares of all teams from the configuration. A team that is
// not in the table has share 0 and is served after all others.
func (u *Usage) SetShares(teams tmfleet.Table[string, tmfleet.Team]) {
	for name, use := range u.teams {
		if !teams.Has(name) {
			u.setShare(use, 0)
		}
	}
	for name, team := range teams.All() {
		u.setShare(u.team(name), int64(team.Share()))
	}
}

// UpdatePeer replaces the running counts of a peer with those of its last
// heartbeat. It copies the map.
func (u *Usage) UpdatePeer(peer string, running map[string]int) {
	last := u.peers[peer]
	if last == nil {
		last = make(map[string]int, len(running))
		u.peers[peer] = last
	}
	for team, n := range last {
		if _, ok := running[team]; !ok {
			u.addPeers(team, -n)
			delete(last, team)
		}
	}
	for team, n := range running {
		u.addPeers(team, n-last[team])
		last[team] = n
	}
}

// RemovePeer removes the counts of a peer that has left or was removed.
func (u *Usage) RemovePeer(peer string) {
	u.UpdatePeer(peer, nil)
	delete(u.peers, peer)
}

// correctionFactor is the fraction of a deviation that is corrected between two
// heartbeats. It is below 1 because peers have already corrected a part of the
// deviation that they haven't reported yet. Trials with cmd/tmmeasure gave these
// medians of the worst deviation: 5.6% (Perth) and 6.0% (Hsinchu) for 0.4, 4.7%
// and 5.3% for 0.6, 5.2% and 5.7% for 0.8.
const correctionFactor = 0.6

// Rebalance sets the target count of each team at this entry until the next
// call. It has to be called with each heartbeat. Without targets, all entries
// see the same deficit of a team and each of them corrects the whole deficit.
//
// The argument potential is how many tasks each team may run in the fleet when it
// has requests, as computed by the function Potential. The function part returns
// this entry's fraction of the correction for a team, such as the fraction of the
// team's queued requests that are queued here; the fractions of all entries add up
// to 1. Teams without a finite potential have no target. Targets only decide the
// order of teams: no slot is kept idle because of them.
func (u *Usage) Rebalance(potential Entitlements, part func(team string) float64, rng *rand.Rand) {
	for _, name := range slices.Sorted(maps.Keys(u.teams)) {
		use := u.teams[name]
		want, ok := potential[name]
		target := math.MaxInt
		if ok && !math.IsInf(want, 1) {
			change := (want - float64(use.running())) * correctionFactor * part(name)
			target = use.own + int(math.Floor(change+rng.Float64()))
		}
		if target != use.target {
			use.target = target
			u.markDirty(use)
		}
	}
}

// Running returns the number of tasks that the team runs in the whole fleet.
func (u *Usage) Running(team string) int {
	use, ok := u.teams[team]
	if !ok {
		return 0
	}
	return use.running()
}

// Own returns the number of tasks that the team runs through this entry.
func (u *Usage) Own(team string) int {
	use, ok := u.teams[team]
	if !ok {
		return 0
	}
	return use.own
}

func (u *Usage) team(name string) *teamUsage {
	use, ok := u.teams[name]
	if !ok {
		use = &teamUsage{name: name, target: math.MaxInt}
		u.teams[name] = use
	}
	return use
}

func (u *Usage) setShare(use *teamUsage, share int64) {
	if use.share != share {
		use.share = share
		u.markDirty(use)
	}
}

func (u *Usage) addPeers(team string, n int) {
	if n == 0 {
		return
	}
	use := u.team(team)
	use.peers += n
	u.markDirty(use)
}

func (u *Usage) addOwn(use *teamUsage, n int) {
	use.own += n
	u.markDirty(use)
}

func (u *Usage) markDirty(use *teamUsage) {
	if !use.dirty {
		use.dirty = true
		u.dirty = append(u.dirty, use)
	}
}

func (t *teamUsage) running() int { return t.own + t.peers }

// sortKey orders the team queues in a heap. It is a copy of the team's usage that
// changes only when the position of the queue is fixed, because heap.Fix can't
// restore a heap in which several keys have changed at once.
type sortKey struct {
	// belowTarget is whether the team runs fewer tasks at this entry than its
	// target.
	belowTarget    bool
	running, share int64
	lastStart      uint64
	name           string
}

func (t *teamUsage) key() sortKey {
	return sortKey{
		belowTarget: t.own < t.target,
		running:     int64(t.running()),
		share:       t.share,
		lastStart:   t.lastStart,
		name:        t.name,
	}
}

// before reports whether k is served before o: teams below their target first,
// then the smaller running/share, then the team whose last start is longer ago.
// Teams without a share come last.
func (k sortKey) before(o sortKey) bool {
	if (k.share > 0) != (o.share > 0) {
		return k.share > 0
	}
	if k.belowTarget != o.belowTarget {
		return k.belowTarget
	}
	left := k.running * max(o.share, 1)
	right := o.running * max(k.share, 1)
	if left != right {
		return left < right
	}
	if k.lastStart != o.lastStart {
		return k.lastStart < o.lastStart
	}
	return k.name < o.name
}
