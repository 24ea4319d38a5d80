package tmpeer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
)

// demandOf returns a demand table with the given number of cells and one row
// of units for every tenth cell.
func demandOf(cells int) Demand {
	var d Demand
	for i := range cells {
		team := fmt.Sprintf("team-%03d", i%150)
		d.Cells = append(d.Cells, Cell{Pool: fmt.Sprintf("pool-%02d", i%36), Team: team, Queued: i, Running: i % 50})
		if i%10 == 0 {
			d.Units = append(d.Units, Units{Team: team, Unused: i % 7})
		}
	}
	return d
}

// BenchmarkHeartbeat measures one heartbeat with its answer, both ends in this
// process. Per entry and second, at n members, there are 2(n-1) questions and
// as many answers; bytes/s counts what one entry sends.
func BenchmarkHeartbeat(b *testing.B) {
	for _, cells := range []int{30, 600} {
		hb := Heartbeat{Version: 123456, Demand: demandOf(cells)}
		body, err := json.Marshal(wireHeartbeat{Version: hb.Version, Demand: encodeDemand(hb.Demand)})
		assert.NilError(b, err)
		for _, members := range []int{9, 32} {
			b.Run(fmt.Sprintf("members=%d/cells=%d", members, cells), func(b *testing.B) {
				benchmarkHeartbeats(b, members, hb, len(body))
			})
		}
	}
}

// benchmarkHeartbeats lets one entry ask members-1 others in turn.
func benchmarkHeartbeats(b *testing.B, members int, hb Heartbeat, size int) {
	a, _ := start(b, "a", freeAddress(b), nil)
	nodes := make([]func(), 0, members)
	for i := range members - 1 {
		name := fmt.Sprintf("b%d", i)
		_, m := start(b, name, freeAddress(b), nil)
		answers(b, a, m)
		nodes = append(nodes, func() {
			_, err := a.Heartbeat(b.Context(), m, hb)
			assert.NilError(b, err)
		})
	}
	before := processTime(b)
	b.ResetTimer()
	for i := range b.N {
		nodes[i%len(nodes)]()
	}
	b.StopTimer()
	used := processTime(b) - before
	exchanges := 2 * float64(members-1)
	perExchange := float64(used.Microseconds()) / float64(b.N)
	b.ReportMetric(perExchange, "cpu-us/op")
	b.ReportMetric(float64(size), "bytes/msg")
	b.ReportMetric(2*exchanges*float64(size)/1000, "KB-sent/s")
	// Each entry does one end of an exchange for its questions and one for
	// those of its peers, which is one whole exchange per question.
	b.ReportMetric(exchanges*perExchange/float64(time.Second.Microseconds())*100, "%core")
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
