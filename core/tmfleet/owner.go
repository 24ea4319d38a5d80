package tmfleet

import "github.com/cespare/xxhash/v2"

// Owner returns the member that is responsible for key, chosen by rendezvous
// hashing, or "" if there are no members. All entries with the same members get
// the same result. A membership change only reassigns the keys that a leaving
// member owned or that a joining member owns from then on.
func Owner[M ~string](key string, members []M) M {
	var owner M
	var highest uint64
	for _, m := range members {
		weight := xxhash.Sum64String(string(m) + "/" + key)
		if owner == "" || weight > highest || (weight == highest && m < owner) {
			owner, highest = m, weight
		}
	}
	return owner
}
