package maintenance

import (
	"fmt"
	"math"
	"math/rand/v2"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmmove"
)

const (
	moveSeconds = 4 * 3600
	// patience is how many seconds work waits before its deadline.
	patience = 30
	// burstSeconds is the length of a burst; the queues burst in turn.
	burstSeconds = 6
	// moveTakes is how many seconds an instance does no work during a move:
	// two versions in force and the rest of its tasks.
	moveTakes = 15
	// poolBudget is how many instances may leave a pool at a time.
	poolBudget = 2
)

// arrivals is the work per second and pool, in instances that it keeps busy.
type arrivals [][]float64

// newArrivals returns queues that burst in turn, whose means are drawn anew
// every 20 to 40 minutes with the given spread (of their logarithm). The total is the given part of all instances.
func newArrivals(seed uint64, sizes []int, load, spread float64) arrivals {
	rng := rand.New(rand.NewPCG(seed, 6))
	total := 0
	for _, n := range sizes {
		total += n
	}
	means := make([]float64, len(sizes))
	out := make(arrivals, moveSeconds)
	next := 0
	for s := range out {
		if s == next {
			redraw(rng, means, sizes, load*float64(total), spread*min(1, float64(s)))
			next = s + 1200 + rng.IntN(1200)
		}
		out[s] = make([]float64, len(sizes))
		cycle := burstSeconds * len(sizes)
		for p, mean := range means {
			factor := 0.05
			if s%cycle/burstSeconds == p {
				// The mean over a whole cycle is 1.
				factor = float64(len(sizes)) - 0.05*float64(len(sizes)-1)
			}
			out[s][p] = mean * factor * (0.8 + 0.4*rng.Float64())
		}
	}
	return out
}

func redraw(rng *rand.Rand, means []float64, sizes []int, total, spread float64) {
	sum := 0.0
	for p := range means {
		means[p] = float64(sizes[p]) * math.Exp(spread*rng.NormFloat64())
		sum += means[p]
	}
	for p := range means {
		means[p] *= total / sum
	}
}

// poolSim is one pool in a run.
type poolSim struct {
	name     string
	n        int
	incoming int
	leaving  int
	queue    [patience]float64
	done     float64
}

// serve works on the oldest waiting work first; work older than patience is
// dropped.
func (p *poolSim) serve(arrived float64) {
	copy(p.queue[1:], p.queue[:patience-1])
	p.queue[0] = arrived
	room := float64(p.n)
	for age := patience - 1; age >= 0 && room > 0; age-- {
		work := min(p.queue[age], room)
		p.queue[age] -= work
		room -= work
		p.done += work
	}
}

func (p *poolSim) waiting() float64 {
	sum := 0.0
	for _, q := range p.queue {
		sum += q
	}
	return sum
}

// mover decides at second s.
type mover func(s int, pools []*poolSim, demands []tmmove.Demand) []tmmove.Move

type landing struct {
	at, to int
}

// simulate returns the work done and the number of moves.
func simulate(in arrivals, sizes []int, decide mover, clock *tmclock.Manual) (float64, int) {
	var pools []*poolSim
	index := map[string]int{}
	for i, n := range sizes {
		name := fmt.Sprint("p", i)
		index[name] = i
		pools = append(pools, &poolSim{name: name, n: n})
	}
	var moving []landing
	moves := 0
	for s, arrived := range in {
		clock.Advance(tmclock.Second)
		kept := moving[:0]
		for _, l := range moving {
			if l.at > s {
				kept = append(kept, l)
				continue
			}
			pools[l.to].n++
			pools[l.to].incoming--
		}
		moving = kept
		var demands []tmmove.Demand
		for i, p := range pools {
			p.serve(arrived[i])
			demands = append(demands, tmmove.Demand{
				Pool: p.name, Instances: p.n, Incoming: p.incoming, OfferedLoad: arrived[i],
				DrainBudget: poolBudget - leavingFrom(moving, s, p),
			})
		}
		for _, mv := range decide(s, pools, demands) {
			for range mv.Count {
				pools[index[mv.From]].n--
				pools[index[mv.From]].leaving = s + moveTakes
				pools[index[mv.To]].incoming++
				moving = append(moving, landing{at: s + moveTakes, to: index[mv.To]})
				moves++
			}
		}
	}
	work := 0.0
	for _, p := range pools {
		work += p.done
	}
	return work, moves
}

// leavingFrom returns how much of the budget is in use: a pool that gave
// instances has none left until their move has ended.
func leavingFrom(moving []landing, s int, p *poolSim) int {
	if len(moving) > 0 && p.leaving > s {
		return poolBudget
	}
	return 0
}

// toward returns moves that bring the pools to the parts of want, at most the
// budget of each giver.
func toward(pools []*poolSim, demands []tmmove.Demand, want []float64, slack float64) []tmmove.Move {
	sum, total := 0.0, 0
	for i, p := range pools {
		sum += want[i]
		total += p.n + p.incoming
	}
	var out []tmmove.Move
	if sum == 0 {
		return nil
	}
	have := make([]float64, len(pools))
	for i, p := range pools {
		have[i] = float64(p.n+p.incoming) - want[i]/sum*float64(total)
	}
	spare := make([]int, len(pools))
	for i, d := range demands {
		spare[i] = min(d.DrainBudget, pools[i].n-1)
	}
	for {
		from, to := -1, 0
		for i := range pools {
			if spare[i] > 0 && (from < 0 || have[i] > have[from]) {
				from = i
			}
			if have[i] < have[to] {
				to = i
			}
		}
		if from < 0 || have[from] < slack || have[to] > -slack {
			return out
		}
		have[from]--
		have[to]++
		spare[from]--
		out = append(out, tmmove.Move{From: pools[from].name, To: pools[to].name, Count: 1})
	}
}

// follow always follows the present demand.
func follow(_ int, pools []*poolSim, demands []tmmove.Demand) []tmmove.Move {
	want := make([]float64, len(pools))
	for i, p := range pools {
		want[i] = p.waiting() + demands[i].OfferedLoad
	}
	return toward(pools, demands, want, 1)
}

// foresee knows the arrivals of the next minutes.
func foresee(in arrivals, ahead int) mover {
	sums := make([][]float64, len(in)+1)
	sums[0] = make([]float64, len(in[0]))
	for s, row := range in {
		sums[s+1] = make([]float64, len(row))
		for p, v := range row {
			sums[s+1][p] = sums[s][p] + v
		}
	}
	return func(s int, pools []*poolSim, demands []tmmove.Demand) []tmmove.Move {
		end := min(s+ahead, len(in))
		want := make([]float64, len(pools))
		for p := range want {
			want[p] = sums[end][p] - sums[s][p]
		}
		return toward(pools, demands, want, 0.75)
	}
}

// pooled returns the work that all instances together could do without pools
// and moves. No mover, whatever it knows, does more.
func pooled(in arrivals, sizes []int) float64 {
	all := &poolSim{}
	for _, n := range sizes {
		all.n += n
	}
	for _, arrived := range in {
		sum := 0.0
		for _, v := range arrived {
			sum += v
		}
		all.serve(sum)
	}
	return all.done
}

// moveTable compares the mover with three others. Targets: 90% of the work of
// a mover that knows the future, a third of the moves of one that follows.
func moveTable(w *page, seeds []uint64) {
	w.line("moves: work as a part of the best mover that knows the future (target 0.90) and of all instances pooled,")
	w.line("and moves as a part of those of a mover that follows demand (target 0.33)")
	w.line("load\tspread\twork/foresight: median\tworst\twork/pooled: median\tworst\tmoves: median\tpart: median\tworst\tfollow work/foresight\tstatic work/foresight")
	sizes := []int{8, 9, 10, 11, 12}
	for _, spread := range []float64{0.45, 0.9} {
		for _, load := range []float64{0.6, 0.75, 0.9} {
			results := perSeed(seeds, func(seed uint64) moveResult {
				return measureMoves(newArrivals(seed, sizes, load, spread), sizes)
			})
			var work, bound, moves, part, followed, static series
			for _, r := range results {
				work = append(work, r.done/r.best)
				bound = append(bound, r.done/r.pooled)
				moves = append(moves, float64(r.moves))
				part = append(part, float64(r.moves)/float64(max(r.followMoves, 1)))
				followed = append(followed, r.followed/r.best)
				static = append(static, r.static/r.best)
			}
			w.line("%.2f\t%.2f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.3f\t%.3f\t%.3f\t%.3f", load, spread,
				work.median(), work.min(), bound.median(), bound.min(), moves.median(), part.median(), part.max(),
				followed.median(), static.median())
		}
	}
}

// moveResult is the work done, and the moves made, with one table of arrivals.
type moveResult struct {
	done, best, pooled, followed, static float64
	moves, followMoves                   int
}

func measureMoves(in arrivals, sizes []int) moveResult {
	r := moveResult{pooled: pooled(in, sizes)}
	clock := tmclock.NewManual(1)
	m := tmmove.NewMover(tmmove.DefaultPolicy(), clock)
	r.done, r.moves = simulate(in, sizes, func(_ int, _ []*poolSim, ds []tmmove.Demand) []tmmove.Move {
		return m.Decide(ds)
	}, clock)
	r.followed, r.followMoves = simulate(in, sizes, follow, tmclock.NewManual(1))
	r.static, _ = simulate(in, sizes, func(int, []*poolSim, []tmmove.Demand) []tmmove.Move {
		return nil
	}, tmclock.NewManual(1))
	r.best = max(r.done, r.followed, r.static)
	for _, ahead := range []int{30, 120, 300, 600} {
		d, _ := simulate(in, sizes, foresee(in, ahead), tmclock.NewManual(1))
		r.best = max(r.best, d)
	}
	return r
}
