package main

import "turmericmoor/core/tmclock"

// hint is what an entry knew about a worker at its last renewal.
type hint struct {
	busy   int
	usable bool
}

// chooser is a baseline for the choice of an endpoint: it returns the index
// of one of the candidates.
type chooser func(e *entry, candidates []int) int

func chooseRandom(e *entry, candidates []int) int {
	return candidates[e.rng.IntN(len(candidates))]
}

func chooseRoundRobin(e *entry, candidates []int) int {
	e.turn++
	return candidates[e.turn%len(candidates)]
}

func chooseLeastLoaded(e *entry, candidates []int) int {
	best := candidates[0]
	for _, c := range candidates {
		if e.hints[c].busy < e.hints[best].busy {
			best = c
		}
	}
	return best
}

// see refreshes the hints of a baseline.
func (e *entry) see(workers []*worker) {
	if e.s.policy.choose == nil {
		return
	}
	for i, w := range e.s.workers {
		if w.pool == workers[0].pool {
			e.hints[i] = hint{busy: len(w.running), usable: !w.down && !e.zoneOut[w.zone]}
		}
	}
}

// attemptsPerStep bounds the sends of a baseline to one pool in a step of
// 10 ms. A refusal costs the attempt.
const attemptsPerStep = 3

// dispatchBlind sends without leases. A full worker refuses; one that is down
// but not known to be costs the attempt too.
func (e *entry) dispatchBlind(p int, now tmclock.Millis) {
	for range attemptsPerStep {
		candidates := e.candidates(p)
		if len(candidates) == 0 {
			return
		}
		r, ok := e.queue.Next(poolName(p), plenty{})
		if !ok {
			return
		}
		e.s.queued[r.Value.team]--
		i := e.s.policy.choose(e, candidates)
		w := e.s.workers[i]
		e.s.stats.sends++
		if w.down || len(w.running) >= slotsPerWorker {
			e.s.stats.refusals++
			e.queue.Finish(r.Pool, r.Team)
			e.push(r.Value)
			continue
		}
		e.hints[i].busy++
		e.startAt(w, r, now)
	}
}

func (e *entry) candidates(p int) []int {
	var out []int
	for i, w := range e.s.workers {
		if w.pool == p && e.hints[i].usable {
			out = append(out, i)
		}
	}
	return out
}
