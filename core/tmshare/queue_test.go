package tmshare

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/internal/tmseed"
)

const fixedSeed = 20260204

func TestMain(m *testing.M) { tmseed.MainFrom(m, fixedSeed) }

// newRand returns a random source with the seed of the run, which it logs.
func newRand(t testing.TB) *rand.Rand {
	t.Helper()
	t.Logf("seed %d", tmseed.First())
	return rand.New(rand.NewPCG(tmseed.First(), 1))
}

// units is a SliceView with a fixed number of units for each team.
type units map[string]int

func (u units) Available(team string) int { return u[team] }

func newTestQueue(shares map[string]int) (*Queue[int], *Usage, *tmclock.Manual) {
	clock := tmclock.NewManual(1)
	usage := NewUsage()
	teams := map[string]tmfleet.Team{}
	for name, share := range shares {
		teams[name] = tmfleet.NewTeam(name, share, 1000, true)
	}
	usage.SetShares(tmfleet.NewTable(teams))
	return NewQueue[int](clock, usage, Bounds{}), usage, clock
}

func push(t testing.TB, q *Queue[int], id, team string, urgent bool) {
	t.Helper()
	r := Request[int]{ID: id, Pool: "p", Team: team, Urgent: urgent, Bytes: 10, Deadline: 1_000_000}
	assert.NilError(t, q.Push(r))
}

// TestRunningFollowsShares guards against running counts that drift from the
// shares when all slots are in use and tasks differ in length.
func TestRunningFollowsShares(t *testing.T) {
	shares := map[string]int{"a": 1, "b": 2, "c": 5}
	rng := newRand(t)
	q, usage, _ := newTestQueue(shares)
	all := units{"a": 1, "b": 1, "c": 1}
	next := 0
	enqueue := func(team string) {
		next++
		push(t, q, fmt.Sprint(next), team, false)
	}
	for team := range shares {
		for range 20 {
			enqueue(team)
		}
	}
	var running []Request[int]
	for range 5000 {
		for len(running) < 80 {
			r, ok := q.Next("p", all)
			assert.Assert(t, ok)
			enqueue(r.Team)
			running = append(running, r)
		}
		i := rng.IntN(len(running))
		q.Finish("p", running[i].Team)
		running[i] = running[len(running)-1]
		running = running[:len(running)-1]
		for team, share := range shares {
			deviation := usage.Running(team) - 10*share
			assert.Assert(t, deviation >= -1 && deviation <= 1, "team %s runs %d", team, usage.Running(team))
		}
	}
}

// TestPeerCountsAffectOrder guards against a team that gets its share at each
// entry that it uses, instead of once in the fleet.
func TestPeerCountsAffectOrder(t *testing.T) {
	q, usage, _ := newTestQueue(map[string]int{"a": 1, "b": 1})
	push(t, q, "1", "a", false)
	push(t, q, "2", "b", false)
	usage.UpdatePeer("peer", map[string]int{"a": 3})
	r, _ := q.Next("p", units{"a": 1, "b": 1})
	assert.Equal(t, r.Team, "b")
	push(t, q, "3", "b", false)
	usage.UpdatePeer("peer", map[string]int{"b": 5})
	r, _ = q.Next("p", units{"a": 1, "b": 1})
	assert.Equal(t, r.Team, "a")
	usage.RemovePeer("peer")
	assert.Equal(t, usage.Running("b"), 1)
}

// TestEntriesDivideACorrection guards against entries that each correct the
// whole deficit of a team, because they all see the same stale reports.
func TestEntriesDivideACorrection(t *testing.T) {
	rng := newRand(t)
	started := 0
	for range 9 {
		q, usage, _ := newTestQueue(map[string]int{"small": 1, "large": 9})
		usage.UpdatePeer("peer", map[string]int{"large": 100})
		claims := []Claim{{Demand: 50, Limit: 50, Share: 1}, {Demand: 500, Limit: 500, Share: 9}}
		potential := Potential(100, claims, Divide(100, claims))
		assert.DeepEqual(t, potential, []float64{10, 90})
		usage.Rebalance(Entitlements{"small": 10, "large": 90}, func(string) float64 { return 1.0 / 9 }, rng)
		for i := range 12 {
			push(t, q, fmt.Sprint("s", i), "small", false)
			push(t, q, fmt.Sprint("l", i), "large", false)
		}
		// Lets the large team start tasks here, as if some of its tasks had
		// ended.
		usage.team("large").target = 12
		for range 11 {
			r, ok := q.Next("p", units{"small": 99, "large": 99})
			assert.Assert(t, ok)
			if r.Team == "small" {
				started++
			}
		}
	}
	assert.Assert(t, started >= 4 && started <= 16, "9 entries started %d tasks for a deficit of 10", started)
}

// TestOrderAfterManyChanges guards against a heap whose order isn't restored
// when a heartbeat changes the counts of several teams at once. It compares each
// choice with the smallest key of all teams.
func TestOrderAfterManyChanges(t *testing.T) {
	rng := newRand(t)
	shares, all := map[string]int{}, units{}
	for i := range 40 {
		shares[fmt.Sprint(i)] = 1 + i%5
		all[fmt.Sprint(i)] = 1
	}
	q, usage, _ := newTestQueue(shares)
	for team := range shares {
		push(t, q, team, team, false)
	}
	for range 2000 {
		counts, potential := map[string]int{}, Entitlements{}
		for i := range 40 {
			counts[fmt.Sprint(i)] = rng.IntN(30)
			potential[fmt.Sprint(i)] = float64(rng.IntN(30))
		}
		usage.UpdatePeer("peer", counts)
		usage.Rebalance(potential, func(string) float64 { return 0.1 }, rng)
		best := usage.team("0")
		for team := range shares {
			if usage.team(team).key().before(best.key()) {
				best = usage.team(team)
			}
		}
		r, ok := q.Next("p", all)
		assert.Assert(t, ok)
		assert.Equal(t, r.Team, best.name)
		if rng.IntN(2) == 0 {
			q.Finish("p", r.Team)
		}
		assert.NilError(t, q.Push(r))
	}
}

// TestUrgentFirstAndInOrder guards against urgent requests that wait for others,
// and against requests of one team that overtake each other.
func TestUrgentFirstAndInOrder(t *testing.T) {
	q, _, _ := newTestQueue(map[string]int{"a": 1, "b": 100})
	push(t, q, "1", "b", false)
	push(t, q, "2", "b", false)
	push(t, q, "3", "a", true)
	push(t, q, "4", "a", true)
	var order []string
	for {
		r, ok := q.Next("p", units{"a": 9, "b": 9})
		if !ok {
			break
		}
		order = append(order, r.ID)
	}
	assert.DeepEqual(t, order, []string{"3", "4", "1", "2"})
}

// TestBlockedTeamIsServedAgain guards against a team that stays blocked after it
// has an unused slice again, with and without a call of UnblockTeam.
func TestBlockedTeamIsServedAgain(t *testing.T) {
	q, _, clock := newTestQueue(map[string]int{"a": 1, "b": 1})
	free := units{"b": 1}
	push(t, q, "1", "a", false)
	_, ok := q.Next("p", free)
	assert.Assert(t, !ok)
	free["a"] = 1
	q.UnblockTeam("a")
	r, ok := q.Next("p", free)
	assert.Assert(t, ok && r.ID == "1")

	free["a"] = 0
	push(t, q, "2", "a", false)
	_, ok = q.Next("p", free)
	assert.Assert(t, !ok)
	free["a"] = 1
	clock.Advance(maxBlockedTime)
	_, ok = q.Next("p", free)
	assert.Assert(t, ok, "the team is still blocked after maxBlockedTime")
}

// TestBoundsAndDeadlines guards against a queue that exceeds its bounds, and
// against a request that is started after its deadline.
func TestBoundsAndDeadlines(t *testing.T) {
	clock := tmclock.NewManual(1)
	q := NewQueue[int](clock, NewUsage(), Bounds{MaxRequests: 2, MaxBytes: 100})
	in := Request[int]{ID: "1", Pool: "p", Team: "a", Bytes: 60, Deadline: 50}
	assert.NilError(t, q.Push(in))
	assert.ErrorIs(t, q.Push(in), ErrDuplicate)
	in.ID = "2"
	err := q.Push(in)
	assert.ErrorIs(t, err, ErrFull)
	var full *FullError
	assert.Assert(t, errors.As(err, &full) && full.Bound == "bytes")
	in.Bytes, in.Deadline = 1, 500
	assert.NilError(t, q.Push(in))
	in.ID = "3"
	assert.Error(t, q.Push(in), "tmshare: queue is full: limit of 2 requests reached")

	clock.Advance(49)
	r, ok := q.Next("p", units{"a": 1})
	assert.Assert(t, ok && r.ID == "2")
	late := q.TakeExpired(clock.Now())
	assert.Assert(t, len(late) == 1 && late[0].ID == "1")
	assert.Equal(t, q.Len()+q.Bytes(), 0)
}

// TestDemandStaysExact guards against a Demand that differs from a count of all
// requests after random changes.
func TestDemandStaysExact(t *testing.T) {
	rng := newRand(t)
	q, _, clock := newTestQueue(map[string]int{"a": 1, "b": 1})
	queued := map[string]Request[int]{}
	running := map[string]int{}
	for i := range 3000 {
		switch rng.IntN(6) {
		case 0, 1, 2:
			r := Request[int]{
				ID: fmt.Sprint(i), Pool: "p", Team: string(rune('a' + rng.IntN(2))),
				Urgent: rng.IntN(4) == 0, Deadline: clock.Now().Add(tmclock.Span(1 + rng.IntN(50))),
			}
			assert.NilError(t, q.Push(r))
			queued[r.ID] = r
		case 3:
			if r, ok := q.Next("p", units{"a": 1, "b": 1}); ok {
				delete(queued, r.ID)
				running[r.Team]++
			}
		case 4:
			clock.Advance(5)
			for _, r := range q.TakeExpired(clock.Now()) {
				delete(queued, r.ID)
			}
		case 5:
			if len(queued) > 0 {
				id := slices.Min(slices.Collect(maps.Keys(queued)))
				_, ok := q.Remove(id)
				assert.Assert(t, ok)
				delete(queued, id)
			}
			if running["a"] > 0 {
				q.Finish("p", "a")
				running["a"]--
			}
		}
		want := map[string]Load{}
		for _, r := range queued {
			want[r.Team] = want[r.Team].plus(queuedDelta(r.Urgent, 1))
		}
		for _, late := range q.expired {
			want[late.Team] = want[late.Team].plus(queuedDelta(late.Urgent, -1))
		}
		for _, team := range []string{"a", "b"} {
			assert.Equal(t, q.Demand().Get("p", team), want[team].plus(Load{Running: running[team]}))
		}
	}
}
