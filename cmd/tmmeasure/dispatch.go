package main

import (
	"slices"
	"strings"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmroute"
	"turmericmoor/core/tmshare"
)

// preemptEvery is the interval of the checkpoints for returning teams.
const preemptEvery = 500 * tmclock.Millisecond

// dispatch starts what can be started in this step.
func (e *entry) dispatch(now tmclock.Millis) {
	for _, r := range e.queue.TakeExpired(now) {
		e.s.queued[r.Value.team]--
	}
	e.back(now)
	for p := range e.s.shape.pools {
		if e.s.policy.choose != nil {
			e.dispatchBlind(p, now)
			continue
		}
		e.dispatchLeased(p, now)
		if e.s.policy.preempt {
			e.preemptUrgent(p, now)
		}
	}
	if e.s.policy.preempt && tmclock.Span(now)%preemptEvery == 0 {
		e.preemptReturning(now)
	}
}

func (e *entry) dispatchLeased(p int, now tmclock.Millis) {
	for e.picker.IdleEndpoints(poolName(p)) > 0 {
		r, ok := e.queue.Next(poolName(p), plenty{})
		if !ok {
			return
		}
		e.s.queued[r.Value.team]--
		name, ok := e.picker.Pick(tmroute.Criteria{Pool: poolName(p), Idempotent: true})
		if !ok {
			e.queue.Finish(r.Pool, r.Team)
			e.push(r.Value)
			return
		}
		e.startAt(e.s.workerNamed(p, name), r, now)
	}
}

func (e *entry) startAt(w *worker, r tmshare.Request[*job], now tmclock.Millis) {
	j := r.Value
	e.s.begin(e, w, j, now)
	e.jobs[j.id] = j
	if j.preempt && !j.urgent {
		e.tasks.Add(tmshare.Task{ID: j.id, Pool: r.Pool, Team: r.Team, Started: now})
	}
}

func (s *sim) workerNamed(p int, name string) *worker {
	i, _ := slices.BinarySearchFunc(s.pools[p], name, func(w *worker, name string) int {
		return strings.Compare(w.name, name)
	})
	return s.pools[p][i]
}

// preemptUrgent checkpoints one task for each urgent request that waits.
func (e *entry) preemptUrgent(p int, now tmclock.Millis) {
	for e.queue.Demand().Pool(poolName(p)).Urgent > e.vacating[p] {
		task, ok := e.tasks.VictimForUrgent(poolName(p), e.entitled)
		if !ok {
			e.forwardUrgent(p)
			return
		}
		e.checkpoint(task, now)
	}
}

// forwardUrgent sends an urgent request on, once.
func (e *entry) forwardUrgent(p int) {
	r, ok := e.queue.PeekUrgent(poolName(p), plenty{})
	if !ok || r.Value.forwarded {
		return
	}
	var peers []tmroute.Peer
	for _, peer := range e.s.entries {
		if peer != e {
			peers = append(peers, tmroute.Peer{Name: peer.name, Headroom: e.seen[peer.name].room[poolName(p)]})
		}
	}
	name, ok := tmroute.ChoosePeer(peers, e.rng)
	if !ok {
		return
	}
	e.queue.Remove(r.ID)
	e.s.queued[r.Value.team]--
	r.Value.forwarded = true
	for _, peer := range e.s.entries {
		if peer.name == name {
			peer.push(r.Value)
		}
	}
}

// preemptReturning checkpoints this entry's part of what teams with queued
// work lack, as far as no task ends by itself.
func (e *entry) preemptReturning(now tmclock.Millis) {
	for _, t := range e.s.shape.teams {
		part := e.tasks.CheckpointsNeeded(now, t.name, e.entitled[t.name], e.part(t.name))
		for p := range e.s.shape.pools {
			if part <= 0 || e.queue.Demand().Get(poolName(p), t.name).Queued <= e.vacating[p] {
				continue
			}
			if task, ok := e.tasks.VictimForTeam(poolName(p), t.name, e.entitled); ok {
				e.checkpoint(task, now)
				part--
			}
		}
	}
}

// checkpoint stops a task; its slot is free after the time that takes.
func (e *entry) checkpoint(task tmshare.Task, now tmclock.Millis) {
	j := e.jobs[task.ID]
	e.tasks.Remove(task.ID)
	j.cancelled = true
	e.vacating[j.pool]++
	e.s.stats.checkpoints++
	at := now.Add(checkpointTime)
	e.returns[at] = append(e.returns[at], j)
}

// back queues checkpointed tasks again with the run time that is left.
func (e *entry) back(now tmclock.Millis) {
	for _, j := range e.returns[now] {
		e.vacating[j.pool]--
		if _, running := j.worker.running[j]; !running {
			continue
		}
		left := max(stepSpan, j.run-now.Sub(j.started))
		again := e.s.abort(j, left)
		e.ended(j)
		e.push(again)
	}
	delete(e.returns, now)
}

func sortedJobs(jobs map[*job]struct{}) []*job {
	out := make([]*job, 0, len(jobs))
	for j := range jobs {
		out = append(out, j)
	}
	slices.SortFunc(out, func(a, b *job) int { return strings.Compare(a.id, b.id) })
	return out
}
