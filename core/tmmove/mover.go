// Package tmmove decides on moves of instances between pools and on how many
// instances to keep on, so that capacity is there before demand returns.
//
// A Mover looks at demand over minutes and ignores bursts of seconds, which a
// move of an instance (drain, two versions of the State) can't follow. The
// Provisioner implementations say how many instances a pool keeps on during a
// long holiday.
//
// Values are immutable and safe for concurrent use, except Mover and the
// Provisioner implementations, which belong to one goroutine.
package tmmove

import (
	"math"
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
)

// Policy has the constants of a Mover.
type Policy struct {
	// Window is the time constant of the mean demand. It spans several bursts
	// of a queue.
	Window tmclock.Span
	// Hold is how long a pool has to be short of instances before it gets any.
	Hold tmclock.Span
	// Rest is how long after a move the two pools don't exchange instances in
	// the other direction.
	Rest tmclock.Span
	// Short is the mean use, as a part of the pool's instances, above which a
	// pool is short. Filled is the use up to which it then gets instances.
	Short, Filled float64
	// Spare is the mean use that a giving pool must not exceed afterwards.
	Spare float64
}

// DefaultPolicy returns the constants that were measured, see
// internal/measure/maintenance.
func DefaultPolicy() Policy {
	return Policy{
		Window: 90 * tmclock.Second,
		Hold:   30 * tmclock.Second,
		Rest:   5 * tmclock.Minute,
		Short:  0.95,
		Filled: 0.85,
		Spare:  0.85,
	}
}

// Demand is what was seen of one pool since the last call.
type Demand struct {
	Pool string
	// Instances is the number of usable instances, Incoming those that are
	// being moved here.
	Instances, Incoming int
	// Offered is the work that arrived per second, in instances that it keeps
	// busy: arrivals per second times run time over slots of an instance.
	Offered float64
	// Spare is how many further instances the budget permits to drain.
	Spare int
}

// Move is a number of instances that should change their pool.
type Move struct {
	From, To string
	Count    int
}

// Mover decides on moves with hysteresis. It is not safe for concurrent use.
type Mover struct {
	policy Policy
	clock  tmclock.Clock
	last   tmclock.Millis
	pools  map[string]*trend
	moved  map[[2]string]tmclock.Millis
}

type trend struct {
	mean       float64
	seen       tmclock.Span
	shortSince tmclock.Millis
}

// NewMover returns a Mover with the policy.
func NewMover(policy Policy, clock tmclock.Clock) *Mover {
	return &Mover{
		policy: policy,
		clock:  clock,
		pools:  make(map[string]*trend),
		moved:  make(map[[2]string]tmclock.Millis),
	}
}

// Decide notes the demand and returns the moves to begin now. It is called
// about once a second; while a Move is carried out, its instances appear as
// Incoming of the taking pool.
func (m *Mover) Decide(demands []Demand) []Move {
	now := m.clock.Now()
	step := now.Sub(m.last)
	if m.last == 0 {
		step = tmclock.Second
	}
	m.last = now
	for _, d := range demands {
		m.note(d, step, now)
	}
	var out []Move
	spare := make(map[string]int)
	given := make(map[string]int)
	for _, d := range demands {
		spare[d.Pool] = d.Spare
	}
	for _, taker := range m.byShortage(demands) {
		wanted := m.wanted(taker, now)
		for wanted > 0 {
			from, ok := m.giver(demands, taker, spare, given, now)
			if !ok {
				break
			}
			out = add(out, Move{From: from, To: taker.Pool, Count: 1})
			m.moved[[2]string{from, taker.Pool}] = now
			spare[from]--
			given[from]++
			wanted--
		}
	}
	return out
}

// note updates the mean demand. Until a whole window has been seen the mean is
// that of all demand so far.
func (m *Mover) note(d Demand, step tmclock.Span, now tmclock.Millis) {
	t := m.pools[d.Pool]
	if t == nil {
		t = &trend{}
		m.pools[d.Pool] = t
	}
	t.seen = min(t.seen+step, m.policy.Window)
	weight := 1 - math.Exp(-float64(step)/float64(max(t.seen, step)))
	t.mean += weight * (d.Offered - t.mean)
	if t.mean <= m.policy.Short*float64(d.Instances+d.Incoming) {
		t.shortSince = 0
	} else if t.shortSince == 0 {
		t.shortSince = now
	}
}

// use returns the mean use of the pool if it had n instances.
func (m *Mover) use(pool string, n int) float64 {
	if n <= 0 {
		return math.Inf(1)
	}
	return m.pools[pool].mean / float64(n)
}

// wanted returns how many further instances the pool needs.
func (m *Mover) wanted(d Demand, now tmclock.Millis) int {
	t := m.pools[d.Pool]
	if t.shortSince == 0 || now.Sub(t.shortSince) < m.policy.Hold || t.seen < m.policy.Window {
		return 0
	}
	return int(math.Ceil(t.mean/m.policy.Filled)) - d.Instances - d.Incoming
}

func (m *Mover) byShortage(demands []Demand) []Demand {
	sorted := slices.Clone(demands)
	slices.SortStableFunc(sorted, func(a, b Demand) int {
		ua, ub := m.use(a.Pool, a.Instances+a.Incoming), m.use(b.Pool, b.Instances+b.Incoming)
		switch {
		case ua > ub:
			return -1
		case ua < ub:
			return 1
		default:
			return 0
		}
	})
	return sorted
}

// giver returns the pool that is least used after it gives one more instance,
// if that leaves it within the policy.
func (m *Mover) giver(demands []Demand, taker Demand, spare, given map[string]int, now tmclock.Millis) (string, bool) {
	best, found := "", false
	least := m.policy.Spare
	for _, d := range demands {
		if d.Pool == taker.Pool || spare[d.Pool] <= 0 || d.Instances-given[d.Pool] <= 1 {
			continue
		}
		back, ok := m.moved[[2]string{taker.Pool, d.Pool}]
		if ok && now.Sub(back) < m.policy.Rest {
			continue
		}
		if u := m.use(d.Pool, d.Instances-given[d.Pool]-1); u <= least {
			best, least, found = d.Pool, u, true
		}
	}
	return best, found
}

func add(moves []Move, one Move) []Move {
	for i := range moves {
		if moves[i].From == one.From && moves[i].To == one.To {
			moves[i].Count += one.Count
			return moves
		}
	}
	return append(moves, one)
}

// Choose returns which instances of the pool to move: those with the least
// running tasks, all of one zone, so that a move never takes instances of two
// zones out of a pool. It may return fewer than count.
func Choose(cfg tmfleet.Config, pool string, count int, running map[string]int) []string {
	byZone := make(map[string][]string)
	for name, in := range cfg.Instances().All() {
		if in.Pool() == pool && cfg.Usable(in) {
			byZone[in.Zone()] = append(byZone[in.Zone()], name)
		}
	}
	best := ""
	for zone := range byZone {
		if best == "" || len(byZone[zone]) > len(byZone[best]) || (len(byZone[zone]) == len(byZone[best]) && zone < best) {
			best = zone
		}
	}
	names := byZone[best]
	slices.SortStableFunc(names, func(a, b string) int { return running[a] - running[b] })
	return names[:min(max(count, 0), len(names))]
}
