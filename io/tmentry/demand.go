package tmentry

import (
	"context"

	"turmericmoor/core/tmroute"
	"turmericmoor/core/tmshare"
	"turmericmoor/core/tmslice"
	"turmericmoor/io/tmpeer"
)

// demand returns what heartbeats tell the other entries.
func (t *tables) demand() tmpeer.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var d tmpeer.Demand
	for cell, load := range t.queue.Demand().All() {
		d.PoolTeams = append(d.PoolTeams, tmpeer.PoolTeamDemand{
			Pool:    cell.Pool,
			Team:    cell.Team,
			Queued:  load.Queued + t.forwarded[cell],
			Running: load.Running,
		})
	}
	for cell, n := range t.forwarded {
		if t.queue.Demand().Get(cell.Pool, cell.Team).Total() == 0 {
			d.PoolTeams = append(d.PoolTeams, tmpeer.PoolTeamDemand{Pool: cell.Pool, Team: cell.Team, Queued: n})
		}
	}
	for name := range t.state.Config().Teams().All() {
		if n := t.ledger.Available(name); n > 0 {
			d.Units = append(d.Units, tmpeer.Units{Team: name, Unused: n})
		}
	}
	d.Sort()
	return d
}

// peerReported takes the demand of a peer.
func (t *tables) peerReported(incarnation string, d tmpeer.Demand) {
	if t.peerUnchanged(incarnation, d) {
		return
	}
	report := peerReport{
		at:     t.clock.Now(),
		demand: d,
		pools:  map[string]int{},
		teams:  tmslice.Demand{},
		cells:  map[tmshare.PoolTeam]int{},
		queued: map[string]int{},
		unused: map[string]int{},
	}
	running := map[string]int{}
	for _, c := range d.PoolTeams {
		report.pools[c.Pool] += c.Queued + c.Running
		report.cells[tmshare.PoolTeam{Pool: c.Pool, Team: c.Team}] += c.Queued + c.Running
		report.teams[c.Team] += c.Queued + c.Running
		report.queued[c.Team] += c.Queued
		running[c.Team] += c.Running
	}
	for _, u := range d.Units {
		report.unused[u.Team] = u.Unused
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.state.Members().Has(incarnation) {
		return
	}
	t.peers[incarnation] = report
	t.usage.UpdatePeer(incarnation, running)
}

// aside returns the endpoints that this entry has set aside by evidence of its
// own.
func (t *tables) aside() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health.FailingEndpoints()
}

// peerSetAside takes the endpoints that a peer has set aside. They are
// forgotten together with its demand.
func (t *tables) peerSetAside(incarnation string, endpoints []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.peers[incarnation]; ok {
		t.health.SetReport(incarnation, endpoints)
	}
}

// peerUnchanged reports whether d is what the peer said last, and if so renews
// that report, so that its tables need not be built anew.
func (t *tables) peerUnchanged(incarnation string, d tmpeer.Demand) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, ok := t.peers[incarnation]
	if !ok || !t.state.Members().Has(incarnation) || !report.demand.Equal(d) {
		return false
	}
	report.at = t.clock.Now()
	t.peers[incarnation] = report
	return true
}

// teamDemandsLocked returns the demand of all entries by team.
func (t *tables) teamDemandsLocked() map[string]tmslice.Demand {
	t.expirePeersLocked()
	all := make(map[string]tmslice.Demand, len(t.peers)+1)
	for incarnation, report := range t.peers {
		all[incarnation] = report.teams
	}
	own := tmslice.Demand{}
	for cell, load := range t.queue.Demand().All() {
		own[cell.Team] += load.Total()
	}
	for cell, n := range t.forwarded {
		own[cell.Team] += n
	}
	all[t.e.self.Incarnation()] = own
	return all
}

// expirePeersLocked forgets what silent peers have reported.
func (t *tables) expirePeersLocked() {
	now := t.clock.Now()
	for incarnation, report := range t.peers {
		if now.Sub(report.at) > peerReportFor {
			t.dropPeerLocked(incarnation)
		}
	}
}

// planSlots divides the slots of all pools with demand among the entries.
func (e *Entry) planSlots(context.Context) {
	t := e.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeersLocked()
	now := t.clock.Now()
	for pool := range t.state.Config().Pools().All() {
		if t.queue.Demand().Pool(pool).Total() > 0 {
			t.demanded[pool] = now
		}
		if last, ok := t.demanded[pool]; ok && now.Sub(last) > warmFor {
			delete(t.demanded, pool)
		}
		t.planPoolLocked(pool)
	}
}

// planPoolLocked sets the targets of one pool. While the pool has room for all,
// entries lease what they need with some headroom, and the rest stays free for
// whoever needs it next; a slot leased elsewhere takes a heartbeat and a renewal
// to come back. An entry with recent demand counts with at least one request.
func (t *tables) planPoolLocked(pool string) {
	demand := map[string]int{}
	for incarnation, report := range t.peers {
		if n := report.pools[pool]; n > 0 {
			demand[incarnation] = n
		}
	}
	if _, ok := t.demanded[pool]; ok {
		demand[t.e.self.Incarnation()] = max(1, t.queue.Demand().Pool(pool).Total())
	}
	endpoints, slots := t.plannableLocked(pool)
	planner, ok := t.planners[pool]
	if !ok {
		planner = tmroute.NewPlanner()
		t.planners[pool] = planner
	}
	t.targets[pool] = planner.Plan(endpoints, withHeadroom(demand, slots))
}

// plannableLocked returns the endpoints of a pool that may be used, and the sum
// of their slots.
func (t *tables) plannableLocked(pool string) ([]tmroute.EndpointSlots, int) {
	var endpoints []tmroute.EndpointSlots
	slots := 0
	config := t.state.Config()
	for name, in := range config.Instances().All() {
		if in.Pool() == pool && config.Usable(in) && t.liveLocked(name) {
			endpoints = append(endpoints, tmroute.EndpointSlots{Name: name, Slots: in.Slots()})
			slots += in.Slots()
		}
	}
	return endpoints, slots
}

const (
	// minHeadroom is the least number of slots that an entry leases beyond its
	// demand while there is room; above that it leases a part of its demand.
	minHeadroom  = 2
	headroomPart = 2
	// unleased stands for the slots that stay free. It is no incarnation.
	unleased = ""
)

// withHeadroom returns the demand to plan for. When the demand with headroom
// exceeds the slots it is returned as it is.
func withHeadroom(demand map[string]int, slots int) map[string]int {
	wanted := make(map[string]int, len(demand)+1)
	sum := 0
	for entry, n := range demand {
		wanted[entry] = n + max(minHeadroom, n/headroomPart)
		sum += wanted[entry]
	}
	if sum >= slots {
		return demand
	}
	wanted[unleased] = slots - sum
	return wanted
}
