package tmroute

import "math/rand/v2"

// Peer is what the last heartbeat of another entry says about a pool.
type Peer struct {
	Name string
	// Room is the number of its slots that are idle or run tasks that can be
	// checkpointed, less the urgent requests that wait there.
	Room int
}

// ChoosePeer chooses the peer to which an urgent request is forwarded that
// finds neither a free slot nor a task to checkpoint: the one with more room of
// two random peers that have any, so that entries with the same old information
// don't all choose the same one.
func ChoosePeer(peers []Peer, rng *rand.Rand) (string, bool) {
	roomy := make([]Peer, 0, len(peers))
	for _, p := range peers {
		if p.Room > 0 {
			roomy = append(roomy, p)
		}
	}
	if len(roomy) == 0 {
		return "", false
	}
	a, b := roomy[rng.IntN(len(roomy))], roomy[rng.IntN(len(roomy))]
	if b.Room > a.Room {
		return b.Name, true
	}
	return a.Name, true
}
