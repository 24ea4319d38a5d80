package tmshare

import (
	"fmt"
	"testing"

	"turmericmoor/core/tmclock"
)

// BenchmarkNext measures Push, Next and Finish of one request at the size of
// today's fleet, the size expected in two years, and ten times that. Each team
// has requests in 4 pools.
func BenchmarkNext(b *testing.B) {
	for _, size := range []struct{ pools, teams int }{{4, 15}, {36, 150}, {360, 1500}} {
		b.Run(fmt.Sprintf("pools=%d/teams=%d", size.pools, size.teams), func(b *testing.B) {
			shares, all := map[string]int{}, units{}
			for i := range size.teams {
				shares[fmt.Sprint(i)] = 1 + i%7
				all[fmt.Sprint(i)] = 1
			}
			q, _, _ := newTestQueue(shares)
			n := 0
			for i := range size.teams {
				for j := range 4 {
					n++
					pool := fmt.Sprint((i*4 + j) % size.pools)
					_ = q.Push(Request[int]{ID: fmt.Sprint(n), Pool: pool, Team: fmt.Sprint(i), Deadline: tmclock.Millis(n + 10)})
				}
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				pool := fmt.Sprint(i % size.pools)
				i++
				r, ok := q.Next(pool, all)
				if !ok {
					continue
				}
				q.Finish(pool, r.Team)
				_ = q.Push(r)
			}
		})
	}
}

// BenchmarkUpdatePeer measures two updates by one peer that change the counts of
// all teams.
func BenchmarkUpdatePeer(b *testing.B) {
	for _, teams := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			even, odd := map[string]int{}, map[string]int{}
			for i := range teams {
				even[fmt.Sprint(i)] = i
				odd[fmt.Sprint(i)] = i + 1
			}
			u := NewUsage()
			b.ReportAllocs()
			for b.Loop() {
				u.UpdatePeer("peer", even)
				u.UpdatePeer("peer", odd)
			}
		})
	}
}
