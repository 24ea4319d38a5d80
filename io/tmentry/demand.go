package tmentry

import (
	"context"

	"turmericmoor/core/tmroute"
	"turmericmoor/core/tmshare"
	"turmericmoor/core/tmslice"
	"turmericmoor/io/tmpeer"
)

// demand returns the demand that heartbeats report to the other entries.
func (t *tables) demand() tmpeer.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	var d tmpeer.Demand
	for key, load := range t.queue.Demand().All() {
		d.PoolTeams = append(d.PoolTeams, tmpeer.PoolTeamDemand{
			Pool:    key.Pool,
			Team:    key.Team,
			Queued:  load.Queued + t.forwardedDemand[key],
			Running: load.Running,
		})
	}
	for key, n := range t.forwardedDemand {
		if t.queue.Demand().Get(key.Pool, key.Team).Total() == 0 {
			d.PoolTeams = append(d.PoolTeams, tmpeer.PoolTeamDemand{Pool: key.Pool, Team: key.Team, Queued: n})
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

// updatePeerDemand records the demand that a peer reported.
func (t *tables) updatePeerDemand(incarnation string, d tmpeer.Demand) {
	if t.renewIfUnchanged(incarnation, d) {
		return
	}
	report := peerReport{
		receivedAt: t.clock.Now(),
		demand:     d,
		pools:      map[string]int{},
		teams:      tmslice.Demand{},
		poolTeams:  map[tmshare.PoolTeam]int{},
		queued:     map[string]int{},
		unused:     map[string]int{},
	}
	running := map[string]int{}
	for _, c := range d.PoolTeams {
		report.pools[c.Pool] += c.Queued + c.Running
		report.poolTeams[tmshare.PoolTeam{Pool: c.Pool, Team: c.Team}] += c.Queued + c.Running
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

// ejectedEndpoints returns the endpoints that this entry has ejected because of
// its own observations.
func (t *tables) ejectedEndpoints() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health.FailingEndpoints()
}

// updatePeerEjections records the endpoints that a peer has ejected. They are
// dropped together with its demand.
func (t *tables) updatePeerEjections(incarnation string, endpoints []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.peers[incarnation]; ok {
		t.health.SetReport(incarnation, endpoints)
	}
}

// renewIfUnchanged reports whether d equals the peer's last report. If so it
// only renews the time of that report, which saves rebuilding its maps.
func (t *tables) renewIfUnchanged(incarnation string, d tmpeer.Demand) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	report, ok := t.peers[incarnation]
	if !ok || !t.state.Members().Has(incarnation) || !report.demand.Equal(d) {
		return false
	}
	report.receivedAt = t.clock.Now()
	t.peers[incarnation] = report
	return true
}

// teamDemandsLocked returns the demand by team of each entry, by incarnation.
func (t *tables) teamDemandsLocked() map[string]tmslice.Demand {
	t.expirePeersLocked()
	all := make(map[string]tmslice.Demand, len(t.peers)+1)
	for incarnation, report := range t.peers {
		all[incarnation] = report.teams
	}
	own := tmslice.Demand{}
	for key, load := range t.queue.Demand().All() {
		own[key.Team] += load.Total()
	}
	for key, n := range t.forwardedDemand {
		own[key.Team] += n
	}
	all[t.e.self.Incarnation()] = own
	return all
}

// expirePeersLocked drops the reports of peers that are older than
// peerReportTTL.
func (t *tables) expirePeersLocked() {
	now := t.clock.Now()
	for incarnation, report := range t.peers {
		if now.Sub(report.receivedAt) > peerReportTTL {
			t.dropPeerLocked(incarnation)
		}
	}
}

// planSlots divides the slots of each pool among the entries with demand for
// it.
func (e *Entry) planSlots(context.Context) {
	t := e.tables
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expirePeersLocked()
	now := t.clock.Now()
	for pool := range t.state.Config().Pools().All() {
		if t.queue.Demand().Pool(pool).Total() > 0 {
			t.lastDemand[pool] = now
		}
		if last, ok := t.lastDemand[pool]; ok && now.Sub(last) > idlePoolTimeout {
			delete(t.lastDemand, pool)
		}
		t.planPoolLocked(pool)
	}
}

// planPoolLocked sets the lease targets of one pool. While the slots suffice
// for all demand, each entry leases what it needs plus some headroom, and the
// rest stays unleased for the next entry that needs it: getting a slot back
// that is leased elsewhere takes a heartbeat and a renewal. An entry with
// recent demand counts with at least one request.
func (t *tables) planPoolLocked(pool string) {
	demand := map[string]int{}
	for incarnation, report := range t.peers {
		if n := report.pools[pool]; n > 0 {
			demand[incarnation] = n
		}
	}
	if _, ok := t.lastDemand[pool]; ok {
		demand[t.e.self.Incarnation()] = max(1, t.queue.Demand().Pool(pool).Total())
	}
	endpoints, slots := t.leasableLocked(pool)
	planner, ok := t.planners[pool]
	if !ok {
		planner = tmroute.NewPlanner()
		t.planners[pool] = planner
	}
	t.targets[pool] = planner.Plan(endpoints, withHeadroom(demand, slots))
}

// leasableLocked returns the endpoints of a pool that may be used, and the sum
// of their slots.
func (t *tables) leasableLocked(pool string) ([]tmroute.EndpointSlots, int) {
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
	// demand while enough are free. For a larger demand the headroom is the
	// demand divided by headroomDivisor.
	minHeadroom     = 2
	headroomDivisor = 2
	// unleased is the key of the slots that stay free, in place of an
	// incarnation.
	unleased = ""
)

// withHeadroom returns the demand to plan for. When the demand with headroom
// needs all slots or more, it returns the demand unchanged.
func withHeadroom(demand map[string]int, slots int) map[string]int {
	wanted := make(map[string]int, len(demand)+1)
	sum := 0
	for entry, n := range demand {
		wanted[entry] = n + max(minHeadroom, n/headroomDivisor)
		sum += wanted[entry]
	}
	if sum >= slots {
		return demand
	}
	wanted[unleased] = slots - sum
	return wanted
}
