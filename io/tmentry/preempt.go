package tmentry

import (
	"context"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmshare"
)

// maxCheckpoints bounds the checkpoints in progress in one pool.
const maxCheckpoints = 4

// rebalanceTeams divides the slots of the fleet among the teams by the demand
// that the entries last reported, sets the target of each team at this entry,
// and checkpoints tasks for teams below their entitlement. It runs with each
// heartbeat.
func (e *Entry) rebalanceTeams(context.Context) {
	t := e.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeersLocked()
	demand := t.fleetDemandLocked()
	potential := t.computeEntitlementsLocked(demand)
	t.usage.Rebalance(potential, func(team string) float64 { return t.queuedFractionLocked(team) }, t.rng)
	t.preemptLocked()
}

// fleetDemandLocked returns the queued and running requests of all entries.
func (t *tables) fleetDemandLocked() map[tmshare.PoolTeam]int {
	demand := map[tmshare.PoolTeam]int{}
	for key, load := range t.queue.Demand().All() {
		demand[key] += load.Total()
	}
	for _, report := range t.peers {
		for key, n := range report.poolTeams {
			demand[key] += n
		}
	}
	return demand
}

// computeEntitlementsLocked sets the entitlement of each team by weighted
// max-min fair division of the slots of each pool. It returns how many tasks
// each team could run if its demand were unlimited.
func (t *tables) computeEntitlementsLocked(demand map[tmshare.PoolTeam]int) tmshare.Entitlements {
	t.entitled = tmshare.Entitlements{}
	potential := tmshare.Entitlements{}
	config := t.state.Config()
	for pool := range config.Pools().All() {
		_, slots := t.leasableLocked(pool)
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
		potentials := tmshare.Potential(float64(slots), claims, parts)
		for i, name := range names {
			t.entitled[name] += parts[i]
			potential[name] += potentials[i]
		}
	}
	return potential
}

// queuedFractionLocked returns this entry's fraction of a team's queued
// requests. Without any, all members count alike.
func (t *tables) queuedFractionLocked(team string) float64 {
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

// preemptLocked checkpoints tasks for teams with queued requests that run fewer
// tasks than they are entitled to. Each entry frees its fraction of the
// shortage. CheckpointsNeeded ignores brief shortages, most of which end by
// themselves as tasks end.
func (t *tables) preemptLocked() {
	now := t.clock.Now()
	for team := range t.state.Config().Teams().All() {
		missing := t.tasks.CheckpointsNeeded(now, team, t.entitled[team], t.queuedFractionLocked(team))
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

// preemptUrgentLocked checkpoints a task for each urgent request for which no
// slot is idle.
func (t *tables) preemptUrgentLocked() {
	urgent := map[string]int{}
	for key, load := range t.queue.Demand().All() {
		if load.Urgent > 0 && t.ledger.Available(key.Team) > 0 {
			urgent[key.Pool] += load.Urgent
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
// waits for the task learns of it from the answer of the endpoint and queues
// the job again.
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

// checkpoint asks the endpoint to checkpoint a task. One tick later the
// checkpoint no longer counts as in progress.
func (e *Entry) checkpoint(task tmshare.Task, address string) {
	_, err := e.endpoints.Checkpoint(e.ctx, address, task.ID)
	if err != nil {
		e.log.Debug("task not checkpointed", "attempt", task.ID, "error", err)
	} else {
		e.metrics.checkpoints.Inc()
	}
	// The freed slot becomes visible once the worker has settled the attempt.
	sleep(e.ctx, tickInterval)
	e.tables.mu.Lock()
	defer e.tables.mu.Unlock()
	e.tables.checkpoints[task.Pool]--
}

// evacuateLocked checkpoints the preemptible tasks in zones that are out of
// service, so that they continue elsewhere before the zone is gone.
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
