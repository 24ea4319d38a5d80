package tmentry

import (
	"context"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmshare"
)

// maxCheckpoints bounds the checkpoints under way in one pool.
const maxCheckpoints = 4

// rebalanceTeams divides the fleet among the teams by what the entries last
// reported, sets how far this entry may correct each team's part, and
// checkpoints tasks for teams that lack theirs. It is due with each heartbeat.
func (e *Entry) rebalanceTeams(context.Context) {
	t := e.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeersLocked()
	demand := t.fleetDemandLocked()
	potential := t.divideLocked(demand)
	t.usage.Rebalance(potential, func(team string) float64 { return t.partLocked(team) }, t.rng)
	t.preemptLocked()
}

// fleetDemandLocked returns the queued and running requests of all entries.
func (t *tables) fleetDemandLocked() map[tmshare.PoolTeam]int {
	demand := map[tmshare.PoolTeam]int{}
	for cell, load := range t.queue.Demand().All() {
		demand[cell] += load.Total()
	}
	for _, report := range t.peers {
		for cell, n := range report.cells {
			demand[cell] += n
		}
	}
	return demand
}

// divideLocked sets what each team is entitled to, by weighted max-min division
// of each pool's slots, and returns what each team could get at most.
func (t *tables) divideLocked(demand map[tmshare.PoolTeam]int) tmshare.Entitlements {
	t.entitled = tmshare.Entitlements{}
	potential := tmshare.Entitlements{}
	config := t.state.Config()
	for pool := range config.Pools().All() {
		_, slots := t.plannableLocked(pool)
		var names []string
		var claims []tmshare.Claim
		for name, team := range config.Teams().All() {
			if n := demand[tmshare.PoolTeam{Pool: pool, Team: name}]; n > 0 {
				names = append(names, name)
				claims = append(claims, tmshare.Claim{
					Demand: float64(n),
					Limit:  float64(team.Limit()),
					Share:  float64(team.Share()),
				})
			}
		}
		parts := tmshare.Divide(float64(slots), claims)
		most := tmshare.Potential(float64(slots), claims, parts)
		for i, name := range names {
			t.entitled[name] += parts[i]
			potential[name] += most[i]
		}
	}
	return potential
}

// partLocked returns this entry's part of a team's queued requests.
func (t *tables) partLocked(team string) float64 {
	own := t.queue.Demand().Team(team).Queued
	all := own
	for _, report := range t.peers {
		all += report.queued[team]
	}
	if all == 0 {
		return 1 / float64(max(1, t.state.Members().Len()))
	}
	return float64(own) / float64(all)
}

// preemptLocked checkpoints this entry's part of what teams with queued work
// lack, as far as no task ends by itself.
func (t *tables) preemptLocked() {
	now := t.clock.Now()
	for team := range t.state.Config().Teams().All() {
		missing := t.tasks.CheckpointsNeeded(now, team, t.entitled[team], t.partLocked(team))
		for pool := range t.state.Config().Pools().All() {
			if missing <= 0 || t.ledger.Available(team) <= 0 {
				break
			}
			if t.queue.Demand().Get(pool, team).Queued <= t.checkpoints[pool] {
				continue
			}
			if task, ok := t.tasks.VictimForTeam(pool, team, t.entitled); ok {
				t.checkpointLocked(task)
				missing--
			}
		}
	}
}

// preemptUrgentLocked checkpoints a task for each urgent request that finds no
// idle slot.
func (t *tables) preemptUrgentLocked() {
	urgent := map[string]int{}
	for cell, load := range t.queue.Demand().All() {
		if load.Urgent > 0 && t.ledger.Available(cell.Team) > 0 {
			urgent[cell.Pool] += load.Urgent
		}
	}
	for pool, n := range urgent {
		for t.picker.IdleEndpoints(pool) == 0 && t.checkpoints[pool] < min(n, maxCheckpoints) {
			task, ok := t.tasks.VictimForUrgent(pool, t.entitled)
			if !ok {
				break
			}
			t.checkpointLocked(task)
		}
	}
}

// checkpointLocked asks the endpoint to checkpoint a task. The worker that
// waits for the task learns of it by the answer and queues the job again.
func (t *tables) checkpointLocked(task tmshare.Task) {
	t.tasks.Remove(task.ID)
	for _, j := range t.jobs {
		if j.attempt != task.ID {
			continue
		}
		address := j.address
		t.checkpoints[task.Pool]++
		t.e.loops.Go(func() { t.e.checkpoint(task, address) })
		return
	}
}

func (e *Entry) checkpoint(task tmshare.Task, address string) {
	_, err := e.endpoints.Checkpoint(e.ctx, address, task.ID)
	if err != nil {
		e.log.Debug("task not checkpointed", "attempt", task.ID, "error", err)
	} else {
		e.metrics.checkpoints.Inc()
	}
	// The freed slot shows when the worker has settled the attempt.
	sleep(e.ctx, tickEvery)
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	e.tables.checkpoints[task.Pool]--
}

// evacuateLocked checkpoints the preemptible tasks in zones that are out, so
// that they go on elsewhere before the zone is gone.
func (t *tables) evacuateLocked() {
	for _, j := range t.jobs {
		if j.attempt == "" || !j.req.Preemptible() {
			continue
		}
		if zone, ok := t.state.Config().Zones().Get(j.zone); ok && zone.OutOfService() {
			t.tasks.Remove(j.attempt)
			task := tmshare.Task{ID: j.attempt, Pool: j.pool, Team: j.team, Started: tmclock.Millis(0)}
			address := j.address
			t.checkpoints[j.pool]++
			t.e.loops.Go(func() { t.e.checkpoint(task, address) })
		}
	}
}
