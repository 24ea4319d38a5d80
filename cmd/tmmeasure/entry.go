package main

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmfleet"
	"turmericmoor/core/tmroute"
	"turmericmoor/core/tmshare"
)

// entry has the decision code of one entry process and what its peers last
// told it.
type entry struct {
	s       *sim
	name    string
	rng     *rand.Rand
	usage   *tmshare.Usage
	queue   *tmshare.Queue[*job]
	tasks   *tmshare.Tasks
	health  *tmroute.Health
	ramps   *tmroute.Ramps
	picker  *tmroute.Picker
	plans   []*tmroute.Planner
	leased  map[*worker]int
	jobs    map[string]*job
	seen    map[string]report
	lost    map[*worker]bool
	zoneOut map[int]bool
	// vacating counts the checkpoints under way by pool.
	vacating map[int]int
	returns  map[tmclock.Millis][]*job
	entitled tmshare.Entitlements
	hints    []hint
	turn     int
}

// report is the demand that a heartbeat carries.
type report struct {
	queued  map[string]int
	room    map[string]int
	pools   map[string]int
	running map[string]int
	teams   map[string]int
}

func newEntry(s *sim, i int) *entry {
	e := &entry{
		s: s, name: fmt.Sprintf("e%d", i),
		rng:      rand.New(rand.NewPCG(s.rng.Uint64(), uint64(i))),
		usage:    tmshare.NewUsage(),
		leased:   map[*worker]int{},
		jobs:     map[string]*job{},
		seen:     map[string]report{},
		lost:     map[*worker]bool{},
		zoneOut:  map[int]bool{},
		vacating: map[int]int{},
		returns:  map[tmclock.Millis][]*job{},
		entitled: tmshare.Entitlements{},
		hints:    make([]hint, len(s.workers)),
	}
	teams := map[string]tmfleet.Team{}
	for i, t := range s.shape.teams {
		name := s.teamName(i)
		teams[name] = tmfleet.NewTeam(name, t.share, math.MaxInt32, true)
	}
	e.usage.SetShares(tmfleet.NewTable(teams))
	e.queue = tmshare.NewQueue[*job](s.clock, e.usage, tmshare.Bounds{})
	e.tasks = tmshare.NewTasks(e.usage)
	e.health = tmroute.NewHealth(s.clock, e.rng)
	e.ramps = tmroute.NewRamps(s.clock)
	e.picker = tmroute.NewPicker(s.clock, e.rng, e.health, e.ramps)
	for range s.shape.pools {
		e.plans = append(e.plans, tmroute.NewPlanner())
	}
	return e
}

// push queues a job. A full queue drops it.
func (e *entry) push(j *job) {
	err := e.queue.Push(tmshare.Request[*job]{
		ID: j.id, Pool: poolName(j.pool), Team: e.s.teamName(j.team), Urgent: j.urgent,
		Bytes: 1000, Deadline: j.arrived.Add(queueDeadline), Value: j,
	})
	if err == nil {
		e.s.queued[j.team]++
	}
}

// heartbeat tells the peers the demand of this entry.
func (e *entry) heartbeat() {
	r := report{pools: map[string]int{}, running: e.queue.Demand().RunningByTeam(), teams: map[string]int{}, queued: map[string]int{}, room: map[string]int{}}
	for cell, load := range e.queue.Demand().All() {
		r.pools[cell.Pool] += load.Total()
		r.teams[cell.Team] += load.Total()
		r.queued[cell.Team] += load.Queued
	}
	for p := range e.s.shape.pools {
		pool := poolName(p)
		r.room[pool] = e.tasks.CountIn(pool) - e.queue.Demand().Pool(pool).Urgent
	}
	for _, peer := range e.s.entries {
		peer.seen[e.name] = r
		if peer != e && !e.s.policy.local {
			peer.usage.UpdatePeer(e.name, r.running)
		}
	}
	e.updateEntitled()
}

// updateEntitled divides the fleet by the demand that all have reported.
func (e *entry) updateEntitled() {
	claims := make([]tmshare.Claim, len(e.s.shape.teams))
	for i, t := range e.s.shape.teams {
		demand := 0
		for _, r := range e.seen {
			demand += r.teams[t.name]
		}
		claims[i] = tmshare.Claim{Demand: float64(demand), Limit: math.Inf(1), Share: float64(t.share)}
	}
	capacity := float64(e.s.shape.capacity())
	parts := tmshare.Divide(capacity, claims)
	potential := tmshare.Entitlements{}
	for i, most := range tmshare.Potential(capacity, claims, parts) {
		name := e.s.shape.teams[i].name
		e.entitled[name] = parts[i]
		potential[name] = most
	}
	if e.s.policy.targets {
		e.usage.Rebalance(potential, e.part, e.rng)
	}
}

// renew brings the leases of all workers to their targets.
func (e *entry) renew() {
	now := e.s.clock.Now()
	for p, workers := range e.s.pools {
		e.see(workers)
		targets := e.targets(p, workers)
		for _, w := range workers {
			e.renewAt(w, targets, now)
		}
	}
	e.picker.Refresh()
}

func (e *entry) targets(p int, workers []*worker) tmroute.Targets {
	var endpoints []tmroute.EndpointSlots
	for _, w := range workers {
		if !e.lost[w] {
			endpoints = append(endpoints, tmroute.EndpointSlots{Name: w.name, Slots: slotsPerWorker})
		}
	}
	demand := map[string]int{e.name: e.queue.Demand().Pool(poolName(p)).Total()}
	for _, peer := range e.s.entries {
		if peer != e {
			demand[peer.name] = e.seen[peer.name].pools[poolName(p)]
		}
		if e.s.policy.local {
			demand[peer.name] = 1
		}
	}
	return e.plans[p].Plan(endpoints, demand)
}

func (e *entry) renewAt(w *worker, targets tmroute.Targets, now tmclock.Millis) {
	if w.down {
		e.lose(w)
		return
	}
	if e.lost[w] {
		e.regain(w)
	}
	e.health.LeaseRenewed(w.name)
	target := targets.Get(w.name, e.name)
	if !e.zoneOut[w.zone] {
		change := -tmroute.Surplus(target, e.leased[w], e.picker.Running(w.name))
		change = max(change, min(target-e.leased[w], slotsPerWorker-w.leased))
		e.leased[w] += change
		w.leased += change
	}
	e.update(w)
	e.back(now)
}

func (e *entry) update(w *worker) {
	e.picker.Update(tmroute.Endpoint{
		Name: w.name, Pool: poolName(w.pool), Zone: fmt.Sprint(w.zone),
		Leased: e.leased[w], Slots: slotsPerWorker, Busy: len(w.running),
		Usable: !e.lost[w] && !e.zoneOut[w.zone],
	})
}

// lose handles a worker that doesn't answer: its tasks are retried.
func (e *entry) lose(w *worker) {
	if e.lost[w] {
		return
	}
	e.lost[w] = true
	e.health.LeaseLost(w.name)
	for _, j := range sortedJobs(w.running) {
		if j.entry == e {
			again := e.s.abort(j, j.run)
			e.ended(j)
			e.push(again)
		}
	}
	w.leased -= e.leased[w]
	e.leased[w] = 0
	e.update(w)
}

func (e *entry) regain(w *worker) {
	delete(e.lost, w)
	for other := range maps.Keys(e.lost) {
		if other.zone == w.zone {
			return
		}
	}
	e.ramps.Start(fmt.Sprint(w.zone))
}

// ended gives back what a job has used in this entry.
func (e *entry) ended(j *job) {
	e.queue.Finish(poolName(j.pool), e.s.teamName(j.team))
	e.tasks.Remove(j.id)
	delete(e.jobs, j.id)
	if e.s.policy.choose == nil {
		e.picker.Release(j.worker.name)
	}
}

// part is this entry's part of the queued requests of a team.
func (e *entry) part(team string) float64 {
	all := 0
	for _, r := range e.seen {
		all += r.queued[team]
	}
	if all == 0 {
		return 1.0 / entriesToday
	}
	return float64(e.seen[e.name].queued[team]) / float64(all)
}
