package tmpeer

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// newDemand returns a Demand with the given number of cells (PoolTeamDemand rows),
// and one row of units for the team of each tenth cell up to cell 150.
func newDemand(cells int) Demand {
	var d Demand
	for i := range cells {
		team := fmt.Sprintf("team-%03d", i%150)
		d.PoolTeams = append(d.PoolTeams, PoolTeamDemand{Pool: fmt.Sprintf("pool-%02d", i%36), Team: team, Queued: i, Running: 1 + i%50})
		if i%10 == 0 && i < 150 {
			d.Units = append(d.Units, Units{Team: team, Unused: 1 + i%7})
		}
	}
	return normalize(d)
}

// withChangedCounts returns d with changed running counts in each group of every
// cells in one cell, which the round selects. If every is 0, nothing changes.
func withChangedCounts(d Demand, round, every int) Demand {
	d.PoolTeams = slices.Clone(d.PoolTeams)
	for i := range d.PoolTeams {
		if every > 0 && i%every == round%every {
			d.PoolTeams[i].Running = 1 + (d.PoolTeams[i].Running+round)%50
		}
	}
	return d
}

// echoHandler answers as the daemon does, without demand. With echoDemand it
// answers as in the first version of the protocol, where answers carried the
// demand too.
type echoHandler struct {
	fakeEntry
	echoDemand atomic.Bool
}

func (e *echoHandler) Heartbeat(ctx context.Context, from Identity, hb Heartbeat) (HeartbeatAnswer, error) {
	if !e.echoDemand.Load() {
		hb.Demand = Demand{}
	}
	return e.fakeEntry.Heartbeat(ctx, from, hb)
}

// heartbeatLoad is one case of BenchmarkHeartbeat. With fullUpdates, heartbeats
// carry the whole demand instead of updates, and with demandInAnswer, answers
// carry the demand, both as in earlier versions of the protocol. Between rounds of
// heartbeats, one cell in each group of changeEvery cells changes; if changeEvery is
// 0, none does.
type heartbeatLoad struct {
	name                        string
	fullUpdates, demandInAnswer bool
	changeEvery                 int
}

// BenchmarkHeartbeat measures one heartbeat with its answer. Both ends run in
// this process. With n members, an entry sends 2(n-1) heartbeats per second and
// as many answers. KB-sent/s is what one entry sends, without TCP headers.
func BenchmarkHeartbeat(b *testing.B) {
	peers := benchmarkPeers(b, 32)
	for _, l := range []heartbeatLoad{
		{name: "whole-both-ways", fullUpdates: true, demandInAnswer: true, changeEvery: 10},
		{name: "whole-question", fullUpdates: true, changeEvery: 10},
		{name: "update-idle"},
		{name: "update-tenth-changed", changeEvery: 10},
		{name: "update-all-changed", changeEvery: 1},
	} {
		for _, cells := range []int{30, 600} {
			for _, members := range []int{9, 32} {
				b.Run(fmt.Sprintf("%s/members=%d/cells=%d", l.name, members, cells), func(b *testing.B) {
					benchmarkHeartbeats(b, peers[:members], newDemand(cells), l)
				})
			}
		}
	}
}

type benchmarkPeer struct {
	node    *Node
	member  tmfleet.Member
	handler *echoHandler
}

func benchmarkPeers(b *testing.B, n int) []benchmarkPeer {
	peers := make([]benchmarkPeer, n)
	for i := range peers {
		name := fmt.Sprintf("b%d", i)
		handler := &echoHandler{fakeEntry: fakeEntry{name: name}}
		node, m := start(b, name, freeAddress(b), func(o *Options) { o.Handler = handler })
		peers[i] = benchmarkPeer{node: node, member: m, handler: handler}
		waitForAnswer(b, peers[0].node, m)
	}
	return peers
}

// benchmarkHeartbeats sends heartbeats from the first peer to the others, one after
// another.
func benchmarkHeartbeats(b *testing.B, peers []benchmarkPeer, d Demand, l heartbeatLoad) {
	a, others := peers[0].node, peers[1:]
	sendHeartbeat := func(p benchmarkPeer) {
		if l.fullUpdates {
			a.peers[p.member.Address()].link.demand.ackedSeq = 0
		}
		_, err := a.Heartbeat(b.Context(), p.member, Heartbeat{Version: 123456, Demand: d})
		assert.NilError(b, err)
	}
	for _, p := range others {
		p.handler.echoDemand.Store(l.demandInAnswer)
		sendHeartbeat(p)
	}
	before, sent := processTime(b), totalBytesSent(peers)
	b.ResetTimer()
	for i := range b.N {
		if i%len(others) == 0 {
			d = withChangedCounts(d, i/len(others), l.changeEvery)
		}
		sendHeartbeat(others[i%len(others)])
	}
	b.StopTimer()
	used := processTime(b) - before
	bytes := float64(totalBytesSent(peers)-sent) / float64(b.N)
	exchanges := 2 * float64(len(others))
	perExchange := float64(used.Microseconds()) / float64(b.N)
	b.ReportMetric(perExchange, "cpu-us/op")
	b.ReportMetric(bytes, "bytes/op")
	// Each entry is one end of the exchange for its own heartbeats and the other
	// end for those of its peers. Together that is the cost of one exchange, with
	// both ends, per heartbeat sent.
	b.ReportMetric(exchanges*bytes/1000, "KB-sent/s")
	b.ReportMetric(exchanges*perExchange/float64(time.Second.Microseconds())*100, "%core")
}

func totalBytesSent(peers []benchmarkPeer) int64 {
	var sum int64
	for _, p := range peers {
		sum += p.node.BytesSent()
	}
	return sum
}

// BenchmarkForward measures a forwarded request with a body of 1 MB, the largest
// that callers may send.
func BenchmarkForward(b *testing.B) {
	a, _, _, mb := pair(b, nil)
	work := ForwardedRequest{RequestID: "r", Remaining: 10 * tmclock.Second, Body: make([]byte, 1<<20)}
	for b.Loop() {
		_, err := a.Forward(b.Context(), mb, work)
		assert.NilError(b, err)
	}
}
