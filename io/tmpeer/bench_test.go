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

// demandOf returns a demand table with the given number of cells and one row
// of units for each team among every tenth cell.
func demandOf(cells int) Demand {
	var d Demand
	for i := range cells {
		team := fmt.Sprintf("team-%03d", i%150)
		d.Cells = append(d.Cells, Cell{Pool: fmt.Sprintf("pool-%02d", i%36), Team: team, Queued: i, Running: 1 + i%50})
		if i%10 == 0 && i < 150 {
			d.Units = append(d.Units, Units{Team: team, Unused: 1 + i%7})
		}
	}
	return normalized(d)
}

// changed returns d with other counts in the given part of the cells.
func changed(d Demand, round, part int) Demand {
	d.Cells = slices.Clone(d.Cells)
	for i := range d.Cells {
		if part > 0 && i%part == round%part {
			d.Cells[i].Running = 1 + (d.Cells[i].Running+round)%50
		}
	}
	return d
}

// echo is the handler of the first version of the protocol, whose answers
// carried the demand too; the other one answers as the daemon does.
type echo struct {
	fakeEntry
	demand atomic.Bool
}

func (e *echo) Heartbeat(ctx context.Context, from Identity, hb Heartbeat) (HeartbeatAnswer, error) {
	if !e.demand.Load() {
		hb.Demand = Demand{}
	}
	return e.fakeEntry.Heartbeat(ctx, from, hb)
}

// heartbeatLoad is one case of BenchmarkHeartbeat. Whole and answered switch
// the updates off and the demand in answers on, as in earlier versions. Every
// part-th cell changes in each round of heartbeats; 0 is none.
type heartbeatLoad struct {
	name            string
	whole, answered bool
	part            int
}

// BenchmarkHeartbeat measures one heartbeat with its answer, both ends in this
// process. Per entry and second, at n members, there are 2(n-1) questions and
// as many answers; KB-sent/s is what one entry sends, without TCP headers.
func BenchmarkHeartbeat(b *testing.B) {
	peers := benchmarkPeers(b, 32)
	for _, l := range []heartbeatLoad{
		{name: "whole-both-ways", whole: true, answered: true, part: 10},
		{name: "whole-question", whole: true, part: 10},
		{name: "update-idle"},
		{name: "update-tenth-changed", part: 10},
		{name: "update-all-changed", part: 1},
	} {
		for _, cells := range []int{30, 600} {
			for _, members := range []int{9, 32} {
				b.Run(fmt.Sprintf("%s/members=%d/cells=%d", l.name, members, cells), func(b *testing.B) {
					benchmarkHeartbeats(b, peers[:members], demandOf(cells), l)
				})
			}
		}
	}
}

type benchmarkPeer struct {
	node    *Node
	member  tmfleet.Member
	handler *echo
}

func benchmarkPeers(b *testing.B, n int) []benchmarkPeer {
	peers := make([]benchmarkPeer, n)
	for i := range peers {
		name := fmt.Sprintf("b%d", i)
		handler := &echo{fakeEntry: fakeEntry{name: name}}
		node, m := start(b, name, freeAddress(b), func(o *Options) { o.Handler = handler })
		peers[i] = benchmarkPeer{node: node, member: m, handler: handler}
		answers(b, peers[0].node, m)
	}
	return peers
}

// benchmarkHeartbeats lets the first peer ask the others in turn.
func benchmarkHeartbeats(b *testing.B, peers []benchmarkPeer, d Demand, l heartbeatLoad) {
	a, others := peers[0].node, peers[1:]
	beat := func(p benchmarkPeer) {
		if l.whole {
			a.peers[p.member.Address()].link.demand.acked = 0
		}
		_, err := a.Heartbeat(b.Context(), p.member, Heartbeat{Version: 123456, Demand: d})
		assert.NilError(b, err)
	}
	for _, p := range others {
		p.handler.demand.Store(l.answered)
		beat(p)
	}
	before, sent := processTime(b), bytesSent(peers)
	b.ResetTimer()
	for i := range b.N {
		if i%len(others) == 0 {
			d = changed(d, i/len(others), l.part)
		}
		beat(others[i%len(others)])
	}
	b.StopTimer()
	used := processTime(b) - before
	bytes := float64(bytesSent(peers)-sent) / float64(b.N)
	exchanges := 2 * float64(len(others))
	perExchange := float64(used.Microseconds()) / float64(b.N)
	b.ReportMetric(perExchange, "cpu-us/op")
	b.ReportMetric(bytes, "bytes/op")
	// Each entry does one end of an exchange for its questions and one for
	// those of its peers, which is one whole exchange per question.
	b.ReportMetric(exchanges*bytes/1000, "KB-sent/s")
	b.ReportMetric(exchanges*perExchange/float64(time.Second.Microseconds())*100, "%core")
}

func bytesSent(peers []benchmarkPeer) int64 {
	var sum int64
	for _, p := range peers {
		sum += p.node.BytesSent()
	}
	return sum
}

// BenchmarkForward measures forwarded work with a body of 1 MB, the largest
// that callers may send.
func BenchmarkForward(b *testing.B) {
	a, _, _, mb := pair(b, nil)
	work := Work{RequestID: "r", Remaining: 10 * tmclock.Second, Body: make([]byte, 1<<20)}
	for b.Loop() {
		_, err := a.Forward(b.Context(), mb, work)
		assert.NilError(b, err)
	}
}
