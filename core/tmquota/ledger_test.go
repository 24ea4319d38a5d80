package tmquota

import (
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmshard"
	"turmericmoor/internal/tmseed"
)

const testTeam = "t"

func cpu(n int64) tmjob.Resources { return tmjob.Resources{CPU: n} }

// storedRow is a row with its version in the store.
type storedRow struct {
	row     Row
	version int64
}

// world is a fleet of shards whose owners read each other's rows with delays.
type world struct {
	rng     *rand.Rand
	count   int
	ledgers []*Ledger
	used    []tmjob.Resources
	waiting []int64
	// limits holds every limit that was written; adopted is the index of the one that
	// each shard has read.
	limits  []int64
	adopted []int
	// history holds all rows that each shard has stored; read is how many of them each
	// other shard has read.
	history [][]storedRow
	read    [][]int
	now     tmclock.Millis
	ignore  ignoredRules
	// inForce is the index of the oldest limit that some shard may act by: all shards have
	// adopted it and have then read what the others had stored until then. changing is
	// the next one, and unread how many rows have to be read until it is in force.
	inForce, changing int
	unread            [][]int
	// exceeded counts the starts that exceeded every limit that may be in force.
	exceeded int
}

// updateInForce is called after a shard has adopted a limit or read a row.
func (w *world) updateInForce() {
	if oldest := slices.Min(w.adopted); oldest > w.changing {
		w.changing, w.unread = oldest, nil
		for range w.count {
			lengths := make([]int, w.count)
			for other, rows := range w.history {
				lengths[other] = len(rows)
			}
			w.unread = append(w.unread, lengths)
		}
	}
	for i, lengths := range w.unread {
		for other, n := range lengths {
			if i != other && w.read[i][other] < n {
				return
			}
		}
	}
	w.inForce = w.changing
}

func newWorld(seed uint64, count int, limit int64, ignore ignoredRules) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), count: count, limits: []int64{limit}, now: 1, ignore: ignore,
		ledgers: make([]*Ledger, count), used: make([]tmjob.Resources, count), waiting: make([]int64, count),
		adopted: make([]int, count), history: make([][]storedRow, count), read: make([][]int, count),
	}
	for i := range count {
		w.read[i] = make([]int, count)
		w.startOwner(i)
	}
	return w
}

// startOwner starts a new owner of a shard, which first reads all that is stored.
func (w *world) startOwner(i int) {
	l := New(tmshard.New(i, w.count))
	l.ignore = w.ignore
	w.ledgers[i] = l
	if n := len(w.history[i]); n > 0 {
		l.Restore(w.history[i][n-1].row)
	}
	l.SetLimit(testTeam, cpu(w.limits[w.adopted[i]]))
	for other, rows := range w.history {
		if n := len(rows); n > 0 {
			l.SetPeer(other, rows[n-1].row, rows[n-1].version)
		}
		w.read[i][other] = len(rows)
	}
}

func (w *world) plan(i int) {
	for range w.rng.IntN(4) {
		size := 1 + w.rng.Int64N(4)
		if w.waiting[i] < size {
			break
		}
		if !w.ledgers[i].Allows(testTeam, w.used[i].Add(cpu(size))) {
			w.ledgers[i].Short(testTeam, cpu(size), cpu(w.waiting[i]))
			break
		}
		w.waiting[i] -= size
		w.used[i] = w.used[i].Add(cpu(size))
		w.check()
	}
	w.ledgers[i].Plan(map[string]tmjob.Resources{testTeam: w.used[i]}, w.now, int64(w.now))
}

// check counts a start that exceeds the highest limit that some shard may act by.
func (w *world) check() {
	var sum, highest int64
	for _, u := range w.used {
		sum += u.CPU
	}
	for _, limit := range w.limits[w.inForce:] {
		highest = max(highest, limit)
	}
	if sum > highest {
		w.exceeded++
	}
}

// store stores the changed rows of a shard.
func (w *world) store(i int) {
	for _, row := range w.ledgers[i].TakeRows(10) {
		w.history[i] = append(w.history[i], storedRow{row: row, version: int64(w.now)})
		if w.rng.IntN(6) == 0 {
			// The owner ends before it learns that the row is stored.
			w.startOwner(i)
			return
		}
		w.ledgers[i].Stored(row)
	}
}

// follow lets a shard read some of the rows of another, sometimes an old one again.
func (w *world) follow(i, other int) {
	next := w.read[i][other]
	if next > 0 && w.rng.IntN(5) == 0 {
		next = w.rng.IntN(next)
	}
	if next < len(w.history[other]) {
		s := w.history[other][next]
		w.ledgers[i].SetPeer(other, s.row, s.version)
		w.read[i][other] = max(w.read[i][other], next+1)
		w.updateInForce()
	}
}

func (w *world) step() {
	w.now += tmclock.Millis(1 + w.rng.Int64N(20))
	i, other := w.rng.IntN(w.count), w.rng.IntN(w.count)
	switch w.rng.IntN(9) {
	case 0:
		w.waiting[i] += w.rng.Int64N(12)
	case 1:
		w.used[i].CPU -= w.rng.Int64N(w.used[i].CPU + 1)
	case 2:
		if w.rng.IntN(20) == 0 {
			w.limits = append(w.limits, 5+w.rng.Int64N(40))
		}
	case 3:
		if w.adopted[i] < len(w.limits)-1 {
			w.adopted[i]++
			w.ledgers[i].SetLimit(testTeam, cpu(w.limits[w.adopted[i]]))
			w.updateInForce()
		}
	case 4:
		if w.rng.IntN(10) == 0 {
			w.startOwner(i)
		}
	case 5:
		w.store(i)
	case 6:
		w.follow(i, other)
	default:
		w.plan(i)
	}
}

const (
	worldSeeds = 300
	worldSteps = 1500
)

// exceededStarts plays worlds until one exceeds a limit.
func exceededStarts(ignore ignoredRules) (int, uint64) {
	for i := range uint64(worldSeeds) {
		seed := tmseed.First() + i
		w := newWorld(seed, 2+int(seed%4), 30, ignore)
		for range worldSteps {
			w.step()
		}
		if w.exceeded > 0 {
			return w.exceeded, seed
		}
	}
	return 0, 0
}

// Guards against a team that runs more than its limit in the whole fleet although no
// shard exceeds its part, while rows are read late and repeatedly, limits change and
// owners end between a write and its answer.
func TestLimitHoldsOverAllShards(t *testing.T) {
	n, seed := exceededStarts(ignoredRules{})
	assert.Equal(t, n, 0, "seed %d", seed)
}

// Guards against a world that can't find violations: if shards assume that all others
// act by the newest limit, some seed must exceed it.
func TestWorldDetectsIgnoredDebts(t *testing.T) {
	n, _ := exceededStarts(ignoredRules{debts: true})
	assert.Assert(t, n > 0, "no start exceeded a limit")
}

// Guards against starts by a raised limit that other shards can't know of: when the limit
// is lowered again, they would not take those starts into account.
func TestRaisedLimitIsUsedOnceItIsStored(t *testing.T) {
	l := New(tmshard.New(0, 2))
	l.SetLimit(testTeam, cpu(10))
	assert.Assert(t, !l.Allows(testTeam, cpu(1)), "nothing is stored yet")
	storeRows(l)
	assert.Assert(t, l.Allows(testTeam, cpu(5)))
	l.SetLimit(testTeam, cpu(40))
	assert.Assert(t, !l.Allows(testTeam, cpu(6)))
	storeRows(l)
	assert.Assert(t, l.Allows(testTeam, cpu(20)))
	assert.Assert(t, !l.Allows(testTeam, cpu(21)))
}

func storeRows(l *Ledger) {
	l.Plan(nil, 1, 1)
	for _, row := range l.TakeRows(10) {
		l.Stored(row)
	}
}

// settle lets all shards plan, store and read everything a few times.
func (w *world) settle(rounds int) {
	for range rounds {
		w.now += 20
		for i, l := range w.ledgers {
			l.Plan(map[string]tmjob.Resources{testTeam: w.used[i]}, w.now, int64(w.now))
			for _, row := range l.TakeRows(10) {
				w.history[i] = append(w.history[i], storedRow{row: row, version: int64(w.now)})
				l.Stored(row)
			}
		}
		for i := range w.ledgers {
			for other := range w.ledgers {
				if n := len(w.history[other]); n > 0 {
					w.ledgers[i].SetPeer(other, w.history[other][n-1].row, w.history[other][n-1].version)
				}
			}
		}
	}
}

// Guards against a job that can't use the limit of its team because other shards keep
// parts that they don't need.
func TestUnusedPartsMoveToTheShardThatNeedsThem(t *testing.T) {
	w := newWorld(1, 5, 50, ignoredRules{})
	w.settle(3)
	for range 20 {
		w.ledgers[2].Short(testTeam, cpu(45), cpu(45))
		w.settle(1)
	}
	assert.Assert(t, w.ledgers[2].Allows(testTeam, cpu(45)))
}

// Guards against two shards that each hold a part too small for their next task and
// wait for each other forever.
func TestTwoStarvingShardsDoNotBlockEachOther(t *testing.T) {
	w := newWorld(1, 2, 40, ignoredRules{})
	w.settle(3)
	for range 20 {
		for _, l := range w.ledgers {
			if l.Allows(testTeam, cpu(30)) {
				return
			}
			l.Short(testTeam, cpu(30), cpu(30))
		}
		w.settle(1)
	}
	t.Error("neither task can start")
}

// Guards against a remainder of a limit that no shard gets: a team with a limit of one
// accelerator could never use it.
func TestRemainderOfALimitIsHeld(t *testing.T) {
	for _, limit := range []int64{1, 3, 4, 7} {
		var sum int64
		for i := range 4 {
			l := New(tmshard.New(i, 4))
			l.SetLimit(testTeam, tmjob.Resources{GPU: limit})
			sum += l.allowance(l.team(testTeam)).GPU
		}
		assert.Equal(t, sum, limit)
	}
}
