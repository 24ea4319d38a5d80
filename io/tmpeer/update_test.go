package tmpeer

import (
	"encoding/json"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a peer that keeps a demand which is not the sender's, when
// updates are lost, answered late or in another order, and against a loss that
// the heartbeat after the next doesn't repair.
func TestUpdatesReachThePeer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s demandSender
		var r demandReceiver
		var underWay []sentUpdate
		demand := Demand{}
		end := func() {
			i := rapid.IntRange(0, len(underWay)-1).Draw(t, "i")
			u := underWay[i]
			underWay = append(underWay[:i], underWay[i+1:]...)
			answered := false
			if rapid.Bool().Draw(t, "arrives") {
				_, err := r.apply(overWire(t, u.wire))
				answered = err == nil && rapid.Bool().Draw(t, "answered")
			}
			s.done(u, answered)
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "changes") {
				demand = anyDemand(t)
			}
			underWay = append(underWay, s.next(demand))
			for len(underWay) > 0 && rapid.Bool().Draw(t, "ends") {
				end()
			}
		}
		for len(underWay) > 0 {
			end()
		}
		for try := range 2 {
			u := s.next(demand)
			got, err := r.apply(overWire(t, u.wire))
			s.done(u, err == nil)
			if err != nil {
				assert.Equal(t, try, 0, "%v", err)
				continue
			}
			want := normalized(demand)
			assert.Assert(t, slices.Equal(got.Cells, want.Cells) && slices.Equal(got.Units, want.Units), "%v, expected %v", got, want)
			assert.Equal(t, s.next(demand).wire.Seq, uint64(0), "an unchanged demand is sent again")
			return
		}
	})
}

func anyDemand(t *rapid.T) Demand {
	cells := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Cell {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		return Cell{Pool: name.Draw(t, "pool"), Team: name.Draw(t, "team"), Queued: rapid.IntRange(0, 2).Draw(t, "queued")}
	}), 0, 6, func(c Cell) string { return c.Pool + c.Team }).Draw(t, "cells")
	units := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Units {
		return Units{Team: rapid.SampledFrom([]string{"a", "e"}).Draw(t, "team"), Unused: rapid.IntRange(0, 2).Draw(t, "unused")}
	}), 0, 2, func(u Units) string { return u.Team }).Draw(t, "units")
	return Demand{Cells: cells, Units: units}
}

func overWire(t assert.TestingT, u wireUpdate) wireUpdate {
	body, err := json.Marshal(u)
	assert.NilError(t, err)
	var out wireUpdate
	assert.NilError(t, json.Unmarshal(body, &out))
	return out
}

// Guards against updates of an unknown form that are taken for something, and
// against an unchanged demand for a peer that has none.
func TestUpdateOfUnknownFormIsAnError(t *testing.T) {
	rows := wireDemand{Pools: []string{"p"}, Teams: []string{"t"}, Cells: []int{0, 0, 1, 1}}
	for _, u := range []wireUpdate{
		{},
		{wireDemand: rows},
		{Base: 1, wireDemand: rows},
		{Base: 2, Seq: 2},
		{Base: 3},
		{Base: 3, Seq: 4},
		{Seq: 4, wireDemand: wireDemand{Cells: []int{0, 0, 1, 1}}},
	} {
		var r demandReceiver
		_, err := r.apply(wireUpdate{Seq: 1, wireDemand: rows})
		assert.NilError(t, err)
		_, err = r.apply(u)
		assert.ErrorIs(t, err, ErrProtocol, "%+v", u)
		kept, err := r.apply(wireUpdate{Base: 1})
		assert.NilError(t, err)
		assert.DeepEqual(t, kept, Demand{Cells: []Cell{{Pool: "p", Team: "t", Queued: 1, Running: 1}}})
	}
}

// Guards against a restarted peer that is told "unchanged" and has nothing.
func TestRestartedPeerGetsTheWholeDemand(t *testing.T) {
	a, _ := start(t, "a", freeAddress(t), nil)
	addr := freeAddress(t)
	demand := Demand{Cells: []Cell{{Pool: "p", Team: "t", Queued: 3}}}
	for range 2 {
		b, mb := start(t, "b", addr, nil)
		answers(t, a, mb)
		for range 3 {
			got, err := a.Heartbeat(t.Context(), mb, Heartbeat{Version: 7, Demand: demand})
			assert.NilError(t, err)
			assert.DeepEqual(t, got.Demand, demand)
		}
		assert.NilError(t, b.Close())
	}
}
