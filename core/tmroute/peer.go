package tmroute

import "math/rand/v2"

// Peer is the state of a pool at another entry, as of its last heartbeat.
type Peer struct {
	Name string
	// Headroom is the number of the entry's slots that are idle or run a task
	// that can be checkpointed, minus the urgent requests queued there.
	Headroom int
}

// ChoosePeer returns the peer to which an urgent request is forwarded when this
// entry has neither a free slot nor a task to checkpoint. It takes the peer
// with more headroom of two random ones that have any (power of two choices),
// so that entries with the same stale information don't all choose the same
// peer. It returns false when no peer has headroom.
func ChoosePeer(peers []Peer, rng *rand.Rand) (string, bool) {
	candidates := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if p.Headroom > 0 {
			candidates = append(candidates, p)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	a, b := candidates[rng.IntN(len(candidates))], candidates[rng.IntN(len(candidates))]
	if b.Headroom > a.Headroom {
		return b.Name, true
	}
	return a.Name, true
}
