package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmorder"
	"turmericmoor/core/tmstraggler"
)

// EndpointsToHold returns the endpoints that need a hold and are not in held. It
// returns none before all stored jobs are loaded: an end of a job that is not loaded
// would be acknowledged without having been counted.
func (c *Controller) EndpointsToHold(held map[string]bool) []string {
	var ids []string
	if !c.loaded {
		return nil
	}
	for id, e := range c.endpoints {
		if !held[id] && e.needsHold() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Paced handles the answer to a pace order.
func (c *Controller) Paced(o PaceOrder, a Answer) {
	if a == Fenced {
		c.orderFenced(o.Ref)
	}
	e := c.endpoints[o.Ref.Endpoint]
	if e == nil || a == Accepted {
		return
	}
	if r := e.runs[runKey{o.Ref.Task, o.Ref.Run}]; r != nil {
		// The next response to a hold sets a new pace.
		r.pacedAt = 0
	}
}

// maxDumpEntries limits each list of a dump.
const maxDumpEntries = 200

// Dump is the state of a controller for operators. Its lists are bounded.
type Dump struct {
	Token int64
	Rules int64
	Jobs  int
	// StartWindow is the limit of pending starts.
	StartWindow int
	Open        []JobDump
	Endpoints   []EndpointDump
	Waves       []WaveDump
	// Interference is what this owner has learned about workloads that slow each other
	// down.
	Interference InterferenceDump
	// Waiting is the number of jobs without a started task by queue, Pools sums up
	// endpoints by pool, and Teams is what teams have running. These are complete.
	Waiting map[string]int
	Pools   map[string]PoolDump
	Teams   map[string]tmjob.Resources
	// Backlogs holds, by queue, the backlogs that are reported to the nodes. The owner adds them.
	Backlogs map[string]tmadmit.Backlog
}

// PoolDump sums up the endpoints of one pool.
type PoolDump struct {
	Answering, Silent, Runs int
	// Suspects counts the endpoints that are avoided on suspicion or on trial, by cause.
	Suspects map[tmstraggler.Cause]int
	// Ordered is the number of waiting jobs by their class in the last order.
	Ordered [tmorder.Classes]int
	// Shares is what teams use of the pool, if it was scarce in the last pass.
	Shares []tmorder.TeamShare
}

// JobDump describes one job of a dump.
type JobDump struct {
	ID, Queue, Team string
	Waiting, Active int
	Done, Tasks     int
}

// EndpointDump describes one endpoint of a dump.
type EndpointDump struct {
	ID, Service, Zone          string
	Answering, Fenced, Drained bool
	Runs                       int
	FreeCPU                    int64
}

// WaveDump describes one wave of a dump.
type WaveDump struct {
	Name        string
	Done, Total int
}

// Dump returns the state of the controller.
func (c *Controller) Dump() Dump {
	d := Dump{
		Token: c.tokens.First(), Rules: c.rules.Version, Jobs: len(c.jobs), Waiting: c.Waiting(), StartWindow: c.window.size(),
		Interference: c.neighbours.dump(), Pools: map[string]PoolDump{}, Teams: map[string]tmjob.Resources{},
	}
	for team, used := range c.teams {
		if team != "" {
			d.Teams[team] = used
		}
	}
	for _, e := range c.endpoints {
		p := d.Pools[e.info.Service]
		if p.Suspects == nil {
			p.Suspects = map[tmstraggler.Cause]int{}
		}
		if e.health.IsSuspected() {
			p.Suspects[e.health.Suspicion().Cause]++
		}
		p.Runs += len(e.runs)
		if e.answering {
			p.Answering++
		} else {
			p.Silent++
		}
		d.Pools[e.info.Service] = p
	}
	for service, state := range c.orders {
		p := d.Pools[service]
		p.Ordered, p.Shares = state.classes, slices.Clone(state.orderer.Shares())
		d.Pools[service] = p
	}
	for _, j := range c.openJobs[:min(len(c.openJobs), maxDumpEntries)] {
		d.Open = append(d.Open, j.dump())
	}
	for id, e := range c.endpoints {
		if len(d.Endpoints) == maxDumpEntries {
			break
		}
		d.Endpoints = append(d.Endpoints, EndpointDump{
			ID: id, Service: e.info.Service, Zone: e.info.Zone, Answering: e.answering,
			Fenced: e.tokenAccepted, Drained: e.info.Draining, Runs: len(e.runs), FreeCPU: e.free().CPU,
		})
	}
	for _, w := range c.fleet.waves {
		wd := WaveDump{Name: w.Name, Total: len(w.items)}
		for _, it := range w.items {
			if it.state == itemDone {
				wd.Done++
			}
		}
		d.Waves = append(d.Waves, wd)
	}
	return d
}

func (j *job) dump() JobDump {
	d := JobDump{ID: j.spec.ID, Queue: j.spec.Queue, Team: j.spec.Team}
	for t := range j.tasks() {
		d.Tasks++
		switch {
		case t.done:
			d.Done++
		case len(t.active) > 0:
			d.Active++
		default:
			d.Waiting++
		}
	}
	return d
}
