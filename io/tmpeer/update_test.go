package tmpeer

import (
	"encoding/json"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a peer that still holds an outdated demand after updates were lost,
// answered late or reordered. Once no update is in flight, two heartbeats must be
// enough to give the peer the demand of the sender.
func TestDemandUpdatesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s demandSender
		var r demandReceiver
		var inFlight []pendingUpdate
		demand := Demand{}
		finishOne := func() {
			i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "i")
			u := inFlight[i]
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
			answered := false
			if rapid.Bool().Draw(t, "arrives") {
				_, err := r.apply(roundTrip(t, u.wire))
				answered = err == nil && rapid.Bool().Draw(t, "answered")
			}
			s.done(u, answered)
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "changes") {
				demand = drawDemand(t)
			}
			inFlight = append(inFlight, s.next(demand))
			for len(inFlight) > 0 && rapid.Bool().Draw(t, "ends") {
				finishOne()
			}
		}
		for len(inFlight) > 0 {
			finishOne()
		}
		for attempt := range 2 {
			u := s.next(demand)
			got, err := r.apply(roundTrip(t, u.wire))
			s.done(u, err == nil)
			if err != nil {
				assert.Equal(t, attempt, 0, "%v", err)
				continue
			}
			want := normalize(demand)
			assert.Assert(t, slices.Equal(got.PoolTeams, want.PoolTeams) && slices.Equal(got.Units, want.Units), "%v, expected %v", got, want)
			assert.Equal(t, s.next(demand).wire.Seq, uint64(0), "an unchanged demand was sent again")
			return
		}
	})
}

func drawDemand(t *rapid.T) Demand {
	cells := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) PoolTeamDemand {
		name := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		return PoolTeamDemand{Pool: name.Draw(t, "pool"), Team: name.Draw(t, "team"), Queued: rapid.IntRange(0, 2).Draw(t, "queued")}
	}), 0, 6, func(c PoolTeamDemand) string { return c.Pool + c.Team }).Draw(t, "cells")
	units := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Units {
		return Units{Team: rapid.SampledFrom([]string{"a", "e"}).Draw(t, "team"), Unused: rapid.IntRange(0, 2).Draw(t, "unused")}
	}), 0, 2, func(u Units) string { return u.Team }).Draw(t, "units")
	return Demand{PoolTeams: cells, Units: units}
}

func roundTrip(t assert.TestingT, u wireDemandUpdate) wireDemandUpdate {
	body, err := json.Marshal(u)
	assert.NilError(t, err)
	var out wireDemandUpdate
	assert.NilError(t, json.Unmarshal(body, &out))
	return out
}

// Guards against invalid updates that are accepted or that change the demand, and
// against an update without changes that is accepted on a base which the receiver
// doesn't hold.
func TestInvalidDemandUpdateIsAnError(t *testing.T) {
	rows := wireDemand{Pools: []string{"p"}, Teams: []string{"t"}, Cells: []int{0, 0, 1, 1}}
	for _, u := range []wireDemandUpdate{
		{},
		{wireDemand: rows},
		{Base: 1, wireDemand: rows},
		{Base: 2, Seq: 2},
		{Base: 3},
		{Base: 3, Seq: 4},
		{Seq: 4, wireDemand: wireDemand{Cells: []int{0, 0, 1, 1}}},
	} {
		var r demandReceiver
		_, err := r.apply(wireDemandUpdate{Seq: 1, wireDemand: rows})
		assert.NilError(t, err)
		_, err = r.apply(u)
		assert.ErrorIs(t, err, ErrProtocol, "%+v", u)
		kept, err := r.apply(wireDemandUpdate{Base: 1})
		assert.NilError(t, err)
		assert.DeepEqual(t, kept, Demand{PoolTeams: []PoolTeamDemand{{Pool: "p", Team: "t", Queued: 1, Running: 1}}})
	}
}

// Guards against a restarted peer that gets an update without changes although it
// holds no demand.
func TestRestartedPeerGetsFullDemand(t *testing.T) {
	a, _ := start(t, "a", freeAddress(t), nil)
	addr := freeAddress(t)
	demand := Demand{PoolTeams: []PoolTeamDemand{{Pool: "p", Team: "t", Queued: 3}}}
	for range 2 {
		b, mb := start(t, "b", addr, nil)
		waitForAnswer(t, a, mb)
		for range 3 {
			got, err := a.Heartbeat(t.Context(), mb, Heartbeat{Version: 7, Demand: demand})
			assert.NilError(t, err)
			assert.DeepEqual(t, got.Demand, demand)
		}
		assert.NilError(t, b.Close())
	}
}
