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

// Entitlements tells how many running tasks each team is entitled to in the
// whole fleet, as Divide computes it from the demand of all entries.
type Entitlements map[string]float64

// Tasks has the running preemptible tasks of this entry, to choose one to
// checkpoint. Add and Remove take O(tasks of the team in the pool), a choice
// takes O(teams with preemptible tasks in the pool).
type Tasks struct {
	usage *Usage
	byID  map[string]Task
	pools map[string]map[string][]Task
	short map[string]tmclock.Millis
}

// A team is short when it lacks a quarter of its entitlement and 2 tasks. Tasks
// are checkpointed for it after 1.5 s, because tasks that end by themselves
// make up for most shortages before, at no cost.
const (
	shortPart  = 0.25
	shortTasks = 2
	shortSpan  = 1500 * tmclock.Millisecond
)

// NewTasks returns a Tasks without tasks.
func NewTasks(usage *Usage) *Tasks {
	return &Tasks{usage: usage, byID: map[string]Task{}, pools: map[string]map[string][]Task{}, short: map[string]tmclock.Millis{}}
}

// Add records a preemptible task that has been started.
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

// Remove forgets a task that has ended or is being checkpointed.
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

// In returns the number of tasks in a pool that could be checkpointed.
func (t *Tasks) In(pool string) int {
	n := 0
	for _, list := range t.pools[pool] {
		n += len(list)
	}
	return n
}

// Missing returns how many tasks this entry should checkpoint in favour of the
// team now. Part is this entry's part of the team's queued requests. It has to
// be called at least with each heartbeat, because it notes when the shortage
// began.
func (t *Tasks) Missing(now tmclock.Millis, team string, entitled, part float64) int {
	lack := entitled - float64(t.usage.Running(team))
	if lack < shortTasks || lack < entitled*shortPart {
		delete(t.short, team)
		return 0
	}
	since, ok := t.short[team]
	if !ok {
		t.short[team] = now
		return 0
	}
	if now.Sub(since) < shortSpan {
		return 0
	}
	return int(math.Ceil(lack * part))
}

// ForUrgent chooses the task to checkpoint for an urgent request that finds no
// free slot: the youngest of the team that is furthest above its entitlement,
// even when no team is above.
func (t *Tasks) ForUrgent(pool string, entitled Entitlements) (Task, bool) {
	return t.choose(pool, entitled, "", math.Inf(-1))
}

// ForReturning chooses the task to checkpoint for a team below its share: the
// youngest of the team that is furthest above its entitlement. It finds none
// when no other team is at least one task above.
func (t *Tasks) ForReturning(pool, team string, entitled Entitlements) (Task, bool) {
	return t.choose(pool, entitled, team, 1)
}

// choose finds the team with the largest running/entitlement among those whose
// running count is at least margin above the entitlement.
func (t *Tasks) choose(pool string, entitled Entitlements, except string, margin float64) (Task, bool) {
	var best Task
	found := false
	bestOver := 0.0
	for team, list := range t.pools[pool] {
		if team == except {
			continue
		}
		running := float64(t.usage.Running(team))
		if running-entitled[team] < margin {
			continue
		}
		over := running / max(entitled[team], 1e-9)
		if !found || over > bestOver || (over == bestOver && team < best.Team) {
			best, bestOver, found = list[len(list)-1], over, true
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
