package tmfleet

import "github.com/cespare/xxhash/v2"

// Owner returns the member that does the work named by key, by rendezvous
// hashing, or "" without members. All entries with the same members get the
// same answer, and a change of the members moves only the work of those that
// came or left.
func Owner[M ~string](key string, members []M) M {
	var owner M
	var best uint64
	for _, m := range members {
		w := xxhash.Sum64String(string(m) + "/" + key)
		if owner == "" || w > best || (w == best && m < owner) {
			owner, best = m, w
		}
	}
	return owner
}
