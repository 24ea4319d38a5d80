package tmshard

import "slices"

const (
	// maxUndivided is the largest number of instances of a fleet that stays whole if
	// its nodes can own that many.
	maxUndivided = 400
	// maxInstances and minInstances bound the number of instances of a shard. Steps that
	// are spread over many endpoints find too few in a small shard, so shards are smaller
	// than maxInstances only where nodes can't own that many.
	maxInstances = 240
	minInstances = 25
	// MaxCount is the maximum number of shards of a fleet. Each has tables of its own, and the
	// store holds a limited number of tables.
	MaxCount = 32
	// standbyOwners is how many nodes besides the owners have to be able to own a
	// shard, so that the loss of an owner is made up for.
	standbyOwners = 1
)

// Count returns the number of shards of a fleet with the given number of instances.
// capacities holds for each node how many instances it can own.
func Count(instances int, capacities []int) int {
	sorted := slices.Clone(capacities)
	slices.Sort(sorted)
	slices.Reverse(sorted)
	if instances <= maxUndivided && canOwn(sorted, instances, 1) {
		return 1
	}
	limit := min(MaxCount, max(1, instances/minInstances))
	n := min(limit, (instances+maxInstances-1)/maxInstances)
	for n < limit && !canOwn(sorted, instances, n) {
		n++
	}
	return max(1, n)
}

// canOwn reports whether enough nodes can each own one of n shards. The capacities are
// in decreasing order.
func canOwn(capacities []int, instances, n int) bool {
	need := min(n+standbyOwners, len(capacities))
	if need < n || need == 0 {
		return false
	}
	return capacities[need-1] >= (instances+n-1)/n
}

// Node describes what a node may use.
type Node struct {
	// Cores is the processor share in cores, LinkMbps the bandwidth of the network
	// link in Mbit/s and MemoryMB the memory in MB; 0 means that it is not limited.
	Cores, LinkMbps, MemoryMB float64
	// Files is the maximum number of open files; 0 means that it is not limited.
	Files int
}

// What an owner needs for each instance of its shard while demand is at its peak.
const (
	coresPerInstance    = 0.0008
	linkMbpsPerInstance = 0.06
	memoryMBPerInstance = 0.25
	filesPerInstance    = 6
	// reservedMemoryMB and reservedFiles are for serving callers.
	reservedMemoryMB = 60
	reservedFiles    = 800
)

// Capacity returns how many instances the node can own.
func (n Node) Capacity() int {
	capacity := float64(maxUndivided * MaxCount)
	limit := func(available, perInstance float64) {
		capacity = min(capacity, max(0, available)/perInstance)
	}
	if n.Cores > 0 {
		limit(n.Cores, coresPerInstance)
	}
	if n.LinkMbps > 0 {
		limit(n.LinkMbps, linkMbpsPerInstance)
	}
	if n.MemoryMB > 0 {
		limit(n.MemoryMB-reservedMemoryMB, memoryMBPerInstance)
	}
	if n.Files > 0 {
		limit(float64(n.Files-reservedFiles), filesPerInstance)
	}
	return int(capacity)
}
