package tmshare

import (
	"math"
	"slices"
	"strings"

	"turmericmoor/core/tmclock"
)

// Task is a running preemptible task of this entry.
type Task struct {
	ID, Pool, Team string
	Started        tmclock.Millis
}

// Entitlements is the number of running tasks that each team is entitled to in
// the whole fleet, as computed by Divide from the demand of all entries.
type Entitlements map[string]float64

// Tasks has the running preemptible tasks of this entry and selects victims,
// which are tasks to checkpoint so that their slots become free. Add and Remove
// take O(tasks of the team in the pool), the selection takes O(teams with
// preemptible tasks in the pool).
type Tasks struct {
	usage      *Usage
	byID       map[string]Task
	pools      map[string]map[string][]Task
	shortSince map[string]tmclock.Millis
}

// A team has a shortage when the number of its running tasks is below its
// entitlement by at least 2 tasks and at least a quarter of the entitlement. Tasks
// of other teams are checkpointed only after the shortage has lasted for 1.5 s,
// because most shortages end earlier at no cost, when tasks finish.
const (
	minShortageRatio = 0.25
	minShortage      = 2
	minShortageAge   = 1500 * tmclock.Millisecond
)

// NewTasks returns an empty Tasks that compares entitlements with usage.
func NewTasks(usage *Usage) *Tasks {
	return &Tasks{usage: usage, byID: map[string]Task{}, pools: map[string]map[string][]Task{}, shortSince: map[string]tmclock.Millis{}}
}

// Add adds a preemptible task that has started.
func (t *Tasks) Add(task Task) {
	teams := t.pools[task.Pool]
	if teams == nil {
		teams = map[string][]Task{}
		t.pools[task.Pool] = teams
	}
	t.byID[task.ID] = task
	list := teams[task.Team]
	i, _ := slices.BinarySearchFunc(list, task, byAge)
	teams[task.Team] = slices.Insert(list, i, task)
}

// Remove removes a task that has ended or is being checkpointed.
func (t *Tasks) Remove(id string) {
	task, ok := t.byID[id]
	if !ok {
		return
	}
	delete(t.byID, id)
	teams := t.pools[task.Pool]
	list := teams[task.Team]
	if i, found := slices.BinarySearchFunc(list, task, byAge); found {
		list = slices.Delete(list, i, i+1)
	}
	teams[task.Team] = list
	if len(list) == 0 {
		delete(teams, task.Team)
	}
}

// Len returns the number of tasks.
func (t *Tasks) Len() int { return len(t.byID) }

// CountIn returns the number of tasks in the pool, all of which can be
// checkpointed.
func (t *Tasks) CountIn(pool string) int {
	n := 0
	for _, list := range t.pools[pool] {
		n += len(list)
	}
	return n
}

// CheckpointsNeeded returns how many tasks this entry should checkpoint now to
// free slots for the team. The argument part is the fraction of the team's queued
// requests that are queued at this entry. CheckpointsNeeded has to be called at
// least with each heartbeat, because it records when the shortage began.
func (t *Tasks) CheckpointsNeeded(now tmclock.Millis, team string, entitled, part float64) int {
	shortage := entitled - float64(t.usage.Running(team))
	if shortage < minShortage || shortage < entitled*minShortageRatio {
		delete(t.shortSince, team)
		return 0
	}
	since, ok := t.shortSince[team]
	if !ok {
		t.shortSince[team] = now
		return 0
	}
	if now.Sub(since) < minShortageAge {
		return 0
	}
	return int(math.Ceil(shortage * part))
}

// VictimForUrgent returns the task to checkpoint for an urgent request when no
// slot is free: the youngest task of the team with the largest
// running/entitlement, even if that team is not above its entitlement.
func (t *Tasks) VictimForUrgent(pool string, entitled Entitlements) (Task, bool) {
	return t.chooseVictim(pool, entitled, "", math.Inf(-1))
}

// VictimForTeam returns the task to checkpoint for a team below its entitlement:
// the youngest task of the other team with the largest running/entitlement. It
// returns false when no other team with a task in the pool is at least one task
// above its entitlement.
func (t *Tasks) VictimForTeam(pool, team string, entitled Entitlements) (Task, bool) {
	return t.chooseVictim(pool, entitled, team, 1)
}

// chooseVictim returns the youngest task of the team with the largest
// running/entitlement among those whose running count is at least margin above
// the entitlement.
func (t *Tasks) chooseVictim(pool string, entitled Entitlements, excluded string, margin float64) (Task, bool) {
	var best Task
	found := false
	bestRatio := 0.0
	for team, list := range t.pools[pool] {
		if team == excluded {
			continue
		}
		running := float64(t.usage.Running(team))
		if running-entitled[team] < margin {
			continue
		}
		ratio := running / max(entitled[team], 1e-9)
		if !found || ratio > bestRatio || (ratio == bestRatio && team < best.Team) {
			best, bestRatio, found = list[len(list)-1], ratio, true
		}
	}
	return best, found
}

func byAge(a, b Task) int {
	if a.Started != b.Started {
		return int(a.Started - b.Started)
	}
	return strings.Compare(a.ID, b.ID)
}
