package tmshard

import "slices"

// WaveParts returns, sorted, the index of the shard of each instance of a wave.
func (s Shard) WaveParts(instances []string) []int {
	parts := make([]int, 0, len(instances))
	for _, id := range instances {
		parts = append(parts, indexOf(id, s.count))
	}
	slices.Sort(parts)
	return parts
}

// WaveSlots returns how many instances of a wave the shard may have down at once. The
// budget of the wave is bound slots, at least 1. Each slot belongs to a shard in
// proportion to the instances that the shards have in the wave; the slots of a
// shard that has finished its part pass to the next shard that has not. parts is the
// result of WaveParts.
//
// finished reports whether another shard has stored that its part of the wave is
// finished. A shard that doesn't know yet that another one has finished uses fewer
// slots, so owners with different views never use one slot twice.
func (s Shard) WaveSlots(parts []int, bound int, finished func(shard int) bool) int {
	bound = max(bound, 1)
	if s.count == 1 {
		return bound
	}
	slots := 0
	for slot := range bound {
		if s.holdsSlot(parts, slot, bound, finished) {
			slots++
		}
	}
	return slots
}

// holdsSlot reports whether the shard holds a slot: whether it is the first one from
// the home of the slot on that has not finished.
func (s Shard) holdsSlot(parts []int, slot, bound int, finished func(shard int) bool) bool {
	home := 0
	if len(parts) > 0 {
		home = parts[(2*slot+1)*len(parts)/(2*bound)]
	}
	for i := range s.count {
		holder := (home + i) % s.count
		if holder == s.index {
			return true
		}
		if !finished(holder) {
			return false
		}
	}
	return false
}
