package tmshard_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmshard"
	"turmericmoor/internal/tmseed"
)

func instances(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("m-%d", i)
	}
	return ids
}

func nodes(n int, node tmshard.Node) []int {
	capacities := make([]int, n)
	for i := range capacities {
		capacities[i] = node.Capacity()
	}
	return capacities
}

// Guards against an instance that belongs to no shard or to two.
func TestEachInstanceHasOneShard(t *testing.T) {
	for count := 1; count <= 7; count++ {
		for _, id := range instances(200) {
			owners := 0
			for i := range count {
				if tmshard.New(i, count).OwnsInstance(id) {
					owners++
				}
			}
			assert.Equal(t, owners, 1, "%s of %d shards", id, count)
		}
	}
}

// Guards against small fleets that are divided, and large ones whose owners carry more
// than their nodes can.
func TestCount(t *testing.T) {
	small := tmshard.Node{Cores: 0.4, LinkMbps: 1000, MemoryMB: 284, Files: 4100}
	strong := tmshard.Node{Cores: 0.8, LinkMbps: 200, MemoryMB: 536, Files: 8192}
	weak := tmshard.Node{Cores: 0.192, LinkMbps: 20, MemoryMB: 184, Files: 4100}
	assert.Equal(t, tmshard.Count(49, nodes(9, small)), 1)
	assert.Equal(t, tmshard.Count(350, append(nodes(4, strong), nodes(30, weak)...)), 1)
	assert.Equal(t, tmshard.Count(1100, append(nodes(15, strong), nodes(132, weak)...)), 5)
	assert.Equal(t, tmshard.Count(1100, nodes(147, weak)), 5)
	assert.Equal(t, tmshard.Count(350, nodes(33, weak)), 2)
	// No node can own more than some 30 instances.
	slow := tmshard.Node{Cores: 0.12, LinkMbps: 2, MemoryMB: 160, Files: 4100}
	assert.Equal(t, tmshard.Count(130, nodes(23, slow)), 4)
	assert.Equal(t, tmshard.Count(0, nil), 1)
	assert.Equal(t, tmshard.Count(49, nil), 1)
}

// Guards against a wave that has more instances down than its budget because owners
// know at different times which shards have finished, and against slots that nobody
// uses while instances are due.
func TestWaveSlotsStayWithinTheBudget(t *testing.T) {
	rng := rand.New(rand.NewPCG(tmseed.First(), 1))
	for range 2000 {
		count, bound := 1+rng.IntN(6), 1+rng.IntN(9)
		ids := instances(1 + rng.IntN(40))
		finished := make([]bool, count)
		for i := range finished {
			finished[i] = rng.IntN(3) == 0
		}
		used, open := 0, 0
		for i := range count {
			if finished[i] {
				continue
			}
			open++
			s := tmshard.New(i, count)
			used += s.WaveSlots(s.WaveParts(ids), bound, func(shard int) bool {
				return finished[shard] && rng.IntN(2) == 0
			})
		}
		assert.Assert(t, used <= bound, "%d of %d slots in use", used, bound)
		if open == 0 {
			continue
		}
		used = 0
		for i := range count {
			s := tmshard.New(i, count)
			if !finished[i] {
				used += s.WaveSlots(s.WaveParts(ids), bound, func(shard int) bool { return finished[shard] })
			}
		}
		assert.Equal(t, used, bound)
	}
}

// Guards against long-running jobs of one queue in several shards: their tasks keep
// endpoints from changing their pool, which no shard but one should suffer.
func TestLongRunningJobsOfAQueueShareAShard(t *testing.T) {
	const count = 5
	for _, id := range instances(50) {
		assert.Equal(t, tmshard.OfJob("watch", id, true, count), tmshard.OfQueue("watch", count))
	}
}
