// Package tmmove decides which instances to move between pools and how many
// instances to keep on, so that capacity is available before demand returns.
//
// A Mover averages demand over minutes and ignores bursts of seconds. Moving an
// instance takes longer than such a burst: the instance is drained, and two
// versions of the State (see tmfleet.State) are written. The Provisioner
// implementations determine how many instances a pool keeps on during a long
// holiday.
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

// Policy holds the parameters of a Mover.
type Policy struct {
	// Window is the time constant of the moving average of the demand. It should
	// span several bursts of a queue.
	Window tmclock.Span
	// ShortageDelay is how long a pool must be short, as defined by
	// ShortUtilization, before it receives instances.
	ShortageDelay tmclock.Span
	// Cooldown is how long after a move between two pools no instance is moved in
	// the opposite direction.
	Cooldown tmclock.Span
	// ShortUtilization is the mean utilization, as a fraction of the pool's
	// instances, above which a pool is short. The pool then receives instances
	// until its utilization is at most TargetUtilization.
	ShortUtilization, TargetUtilization float64
	// MaxDonorUtilization is the mean utilization that a pool must not exceed
	// after it gives away an instance.
	MaxDonorUtilization float64
}

// DefaultPolicy returns the policy that internal/measure/maintenance measures.
func DefaultPolicy() Policy {
	return Policy{
		Window:              90 * tmclock.Second,
		ShortageDelay:       30 * tmclock.Second,
		Cooldown:            5 * tmclock.Minute,
		ShortUtilization:    0.95,
		TargetUtilization:   0.85,
		MaxDonorUtilization: 0.85,
	}
}

// Demand is the demand on one pool since the last call of Mover.Decide.
type Demand struct {
	Pool string
	// Instances is the number of usable instances. Incoming is the number of
	// instances that are being moved to this pool.
	Instances, Incoming int
	// OfferedLoad is the work that arrived per second, as the number of instances
	// that it keeps busy: arrivals per second times run time, divided by the slots
	// of an instance.
	OfferedLoad float64
	// DrainBudget is how many more instances the pool's budget permits to drain.
	DrainBudget int
}

// Move moves Count instances from one pool to another.
type Move struct {
	From, To string
	Count    int
}

// Mover decides on moves between pools, with hysteresis so that short bursts
// cause none. It is not safe for concurrent use.
type Mover struct {
	policy    Policy
	clock     tmclock.Clock
	lastCall  tmclock.Millis
	pools     map[string]*poolDemand
	lastMoves map[[2]string]tmclock.Millis
}

type poolDemand struct {
	mean       float64
	observed   tmclock.Span
	shortSince tmclock.Millis
}

// NewMover returns a Mover with the policy.
func NewMover(policy Policy, clock tmclock.Clock) *Mover {
	return &Mover{
		policy:    policy,
		clock:     clock,
		pools:     make(map[string]*poolDemand),
		lastMoves: make(map[[2]string]tmclock.Millis),
	}
}

// Decide records the demand and returns the moves to begin now. It must be called
// about once a second. While a Move is in progress, its instances must be counted
// as Incoming of the receiving pool.
func (m *Mover) Decide(demands []Demand) []Move {
	now := m.clock.Now()
	step := now.Sub(m.lastCall)
	if m.lastCall == 0 {
		step = tmclock.Second
	}
	m.lastCall = now
	for _, d := range demands {
		m.observe(d, step, now)
	}
	var out []Move
	drainBudgets := make(map[string]int)
	donated := make(map[string]int)
	for _, d := range demands {
		drainBudgets[d.Pool] = d.DrainBudget
	}
	for _, recipient := range m.byShortage(demands) {
		needed := m.needed(recipient, now)
		for needed > 0 {
			from, ok := m.donor(demands, recipient, drainBudgets, donated, now)
			if !ok {
				break
			}
			out = mergeMove(out, Move{From: from, To: recipient.Pool, Count: 1})
			m.lastMoves[[2]string{from, recipient.Pool}] = now
			drainBudgets[from]--
			donated[from]++
			needed--
		}
	}
	return out
}

// observe updates the moving average of the demand. Until a full window has
// passed, it is the average of all demand so far.
func (m *Mover) observe(d Demand, step tmclock.Span, now tmclock.Millis) {
	t := m.pools[d.Pool]
	if t == nil {
		t = &poolDemand{}
		m.pools[d.Pool] = t
	}
	t.observed = min(t.observed+step, m.policy.Window)
	weight := 1 - math.Exp(-float64(step)/float64(max(t.observed, step)))
	t.mean += weight * (d.OfferedLoad - t.mean)
	if t.mean <= m.policy.ShortUtilization*float64(d.Instances+d.Incoming) {
		t.shortSince = 0
	} else if t.shortSince == 0 {
		t.shortSince = now
	}
}

// utilization returns the mean utilization that the pool would have with n
// instances.
func (m *Mover) utilization(pool string, n int) float64 {
	if n <= 0 {
		return math.Inf(1)
	}
	return m.pools[pool].mean / float64(n)
}

// needed returns how many more instances the pool needs to reach the target
// utilization, or at most 0 if it has not been short for long enough.
func (m *Mover) needed(d Demand, now tmclock.Millis) int {
	t := m.pools[d.Pool]
	if t.shortSince == 0 || now.Sub(t.shortSince) < m.policy.ShortageDelay || t.observed < m.policy.Window {
		return 0
	}
	return int(math.Ceil(t.mean/m.policy.TargetUtilization)) - d.Instances - d.Incoming
}

func (m *Mover) byShortage(demands []Demand) []Demand {
	sorted := slices.Clone(demands)
	slices.SortStableFunc(sorted, func(a, b Demand) int {
		ua, ub := m.utilization(a.Pool, a.Instances+a.Incoming), m.utilization(b.Pool, b.Instances+b.Incoming)
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

// donor returns the pool that has the lowest utilization after it gives away one
// more instance, and whether any pool can do so within the policy.
func (m *Mover) donor(demands []Demand, recipient Demand, drainBudgets, donated map[string]int, now tmclock.Millis) (string, bool) {
	best, found := "", false
	lowest := m.policy.MaxDonorUtilization
	for _, d := range demands {
		if d.Pool == recipient.Pool || drainBudgets[d.Pool] <= 0 || d.Instances-donated[d.Pool] <= 1 {
			continue
		}
		lastReverse, ok := m.lastMoves[[2]string{recipient.Pool, d.Pool}]
		if ok && now.Sub(lastReverse) < m.policy.Cooldown {
			continue
		}
		if u := m.utilization(d.Pool, d.Instances-donated[d.Pool]-1); u <= lowest {
			best, lowest, found = d.Pool, u, true
		}
	}
	return best, found
}

func mergeMove(moves []Move, move Move) []Move {
	for i := range moves {
		if moves[i].From == move.From && moves[i].To == move.To {
			moves[i].Count += move.Count
			return moves
		}
	}
	return append(moves, move)
}

// ChooseInstances returns up to count instances of the pool to move, those with
// the fewest running tasks first. All are in the zone with the most usable
// instances, so that a move never takes instances of two zones out of a pool.
func ChooseInstances(cfg tmfleet.Config, pool string, count int, running map[string]int) []string {
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
