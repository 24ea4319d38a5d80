package tmentry

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmshare"
)

// maxCheckpoints bounds the checkpoints under way in one pool.
const maxCheckpoints = 4

// entitlementsLocked returns the tasks that each team is entitled to in the
// whole fleet: the weighted max-min division of the slots of each pool by the
// demand of all entries.
func (t *tables) entitlementsLocked() tmshare.Entitlements {
	demand := map[tmshare.Cell]int{}
	for cell, load := range t.queue.Demand().All() {
		demand[cell] += load.Total()
	}
	for _, report := range t.peers {
		for cell, n := range report.cells {
			demand[cell] += n
		}
	}
	entitled := tmshare.Entitlements{}
	config := t.state.Config()
	for pool := range config.Pools().All() {
		_, slots := t.plannableLocked(pool)
		var names []string
		var claims []tmshare.Claim
		for name, team := range config.Teams().All() {
			if n := demand[tmshare.Cell{Pool: pool, Team: name}]; n > 0 {
				names = append(names, name)
				claims = append(claims, tmshare.Claim{
					Demand: float64(n),
					Limit:  float64(team.Limit()),
					Share:  float64(team.Share()),
				})
			}
		}
		for i, part := range tmshare.Divide(float64(slots), claims) {
			entitled[names[i]] += part
		}
	}
	return entitled
}

// preemptLocked checkpoints a task for each pool in which a team that has work
// here runs clearly less than it is entitled to. Several entries may act on
// the same report, so each makes up for its part of the difference only.
func (t *tables) preemptLocked() {
	entries := float64(max(1, t.state.Members().Len()))
	for cell, load := range t.queue.Demand().All() {
		if load.Queued == 0 || t.picker.Idle(cell.Pool) > 0 || t.checkpoints[cell.Pool] > 0 {
			continue
		}
		lack := t.entitled[cell.Team] - float64(t.usage.Running(cell.Team))
		if lack < max(2, entries/2) || t.ledger.Available(cell.Team) <= 0 {
			continue
		}
		if task, ok := t.tasks.ForReturning(cell.Pool, cell.Team, t.entitled); ok {
			t.checkpointLocked(task)
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
		for t.picker.Idle(pool) == 0 && t.checkpoints[pool] < min(n, maxCheckpoints) {
			task, ok := t.tasks.ForUrgent(pool, t.entitled)
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
		if zone, ok := t.state.Config().Zones().Get(j.zone); ok && zone.Out() {
			t.tasks.Remove(j.attempt)
			task := tmshare.Task{ID: j.attempt, Pool: j.pool, Team: j.team, Started: tmclock.Millis(0)}
			address := j.address
			t.checkpoints[j.pool]++
			t.e.loops.Go(func() { t.e.checkpoint(task, address) })
		}
	}
}
