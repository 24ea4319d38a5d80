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
// Usage belongs to one Queue, which keeps the count of this entry.
type Usage struct {
	teams map[string]*teamUse
	peers map[string]map[string]int
	dirty []*teamUse
}

// teamUse is the usage of one team. Its lanes are reordered when it is dirty.
type teamUse struct {
	name  string
	share int64
	own   int
	peers int
	// target is the own count that the team should have at this entry.
	target int
	served uint64
	dirty  bool
}

// NewUsage returns a Usage without teams.
func NewUsage() *Usage {
	return &Usage{teams: map[string]*teamUse{}, peers: map[string]map[string]int{}}
}

// SetShares takes the shares of all teams from the configuration. A team that
// is not in the table has share 0 and is served after all others.
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

// Report replaces the running counts of a peer by those of its last
// heartbeat. The Usage keeps a copy.
func (u *Usage) Report(peer string, running map[string]int) {
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

// Forget drops the counts of a peer that has left or was removed.
func (u *Usage) Forget(peer string) {
	u.Report(peer, nil)
	delete(u.peers, peer)
}

// correction is the part of a deviation that is corrected between two
// heartbeats. It is below 1 because some of what peers have corrected already
// is not yet reported. Trials of cmd/tmmeasure gave a median of the worst
// deviation of 5.6% (Perth) and 6.0% (Hsinchu) for 0.4, 4.7% and 5.3% for 0.6,
// 5.2% and 5.7% for 0.8.
const correction = 0.6

// Rebalance sets how far this entry may move each team's count until the next
// call, which is due with each heartbeat. Without it, all entries see the same
// deficit of a team and each of them makes up for the whole of it. Potential is
// what each team may run in the fleet when it has work, see the function of
// that name. Part is this entry's part in the correction of a team, such as its
// part of the team's queued requests; the parts of all entries add up to 1.
// Teams without a finite potential get no target. Targets decide only between
// teams: a slot never stays idle for them.
func (u *Usage) Rebalance(potential Entitlements, part func(team string) float64, rng *rand.Rand) {
	for _, name := range slices.Sorted(maps.Keys(u.teams)) {
		use := u.teams[name]
		want, ok := potential[name]
		target := math.MaxInt
		if ok && !math.IsInf(want, 1) {
			move := (want - float64(use.running())) * correction * part(name)
			target = use.own + int(math.Floor(move+rng.Float64()))
		}
		if target != use.target {
			use.target = target
			u.mark(use)
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

func (u *Usage) team(name string) *teamUse {
	use, ok := u.teams[name]
	if !ok {
		use = &teamUse{name: name, target: math.MaxInt}
		u.teams[name] = use
	}
	return use
}

func (u *Usage) setShare(use *teamUse, share int64) {
	if use.share != share {
		use.share = share
		u.mark(use)
	}
}

func (u *Usage) addPeers(team string, n int) {
	if n == 0 {
		return
	}
	use := u.team(team)
	use.peers += n
	u.mark(use)
}

func (u *Usage) addOwn(use *teamUse, n int) {
	use.own += n
	u.mark(use)
}

func (u *Usage) mark(use *teamUse) {
	if !use.dirty {
		use.dirty = true
		u.dirty = append(u.dirty, use)
	}
}

func (t *teamUse) running() int { return t.own + t.peers }

// key orders the lanes of a heap. It is a copy, because a heap whose keys change
// in several places at a time can't be repaired place by place.
type key struct {
	// below is whether the team may grow at this entry.
	below          bool
	running, share int64
	served         uint64
	name           string
}

func (t *teamUse) key() key {
	return key{
		below:   t.own < t.target,
		running: int64(t.running()),
		share:   t.share,
		served:  t.served,
		name:    t.name,
	}
}

// before reports whether k is served before o: teams below their target first,
// then the smaller running/share, then the team that was served longer ago.
// Teams without a share come last.
func (k key) before(o key) bool {
	if (k.share > 0) != (o.share > 0) {
		return k.share > 0
	}
	if k.below != o.below {
		return k.below
	}
	left := k.running * max(o.share, 1)
	right := o.running * max(k.share, 1)
	if left != right {
		return left < right
	}
	if k.served != o.served {
		return k.served < o.served
	}
	return k.name < o.name
}
