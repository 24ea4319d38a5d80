// Package tmshard divides a fleet into shards. A shard is a fixed part of the
// instances and of the jobs, and has an owner of its own: a node that places the jobs
// of the shard on the endpoints of the shard. Owners share nothing but the limits of
// teams and the budgets of maintenance waves, so the work of an owner grows with its
// shard and not with the fleet, and the loss of an owner stops one shard only.
//
// The number of shards is decided once for an installation and never changes, because
// an instance that changed its shard could have two owners for a moment.
package tmshard

import "github.com/cespare/xxhash/v2"

// Shard is one of the shards of a fleet. The zero value is invalid; a fleet that is
// not divided is the shard Whole.
type Shard struct {
	index, count int
}

// Whole is the only shard of a fleet that is not divided.
var Whole = Shard{index: 0, count: 1}

// New returns the shard with the given index, from 0, of a fleet with count shards.
func New(index, count int) Shard { return Shard{index: index, count: count} }

// Index returns the index of the shard, from 0 to Count()-1.
func (s Shard) Index() int { return s.index }

// Count returns the number of shards of the fleet.
func (s Shard) Count() int { return s.count }

// IsWhole reports whether the fleet has only this shard.
func (s Shard) IsWhole() bool { return s.count == 1 }

// OwnsInstance reports whether the instance belongs to the shard. The instances of a
// rack are spread over all shards, so that the loss of a rack costs each shard about
// the same.
func (s Shard) OwnsInstance(id string) bool {
	return s.count == 1 || indexOf(id, s.count) == s.index
}

// OfJob returns the index of the shard that runs a job. Short jobs are spread by their
// id. All long-running jobs of a queue go to the same shard: their tasks are spread
// over many endpoints, which then can't change their pool, and if every shard had such
// jobs, none could adapt its pools.
func OfJob(queue, id string, longRunning bool, count int) int {
	if longRunning {
		return OfQueue(queue, count)
	}
	return indexOf(id, count)
}

// OfQueue returns the index of the shard that runs the long-running jobs of a queue.
func OfQueue(queue string, count int) int { return indexOf(queue, count) }

func indexOf(key string, count int) int {
	if count <= 1 {
		return 0
	}
	return int(xxhash.Sum64String(key) % uint64(count))
}
