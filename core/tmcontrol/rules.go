package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// Queue is the configuration of one queue.
type Queue struct {
	Name, Service string
	// Priority orders the queues of one service; 0 comes first.
	Priority int
	// Attempts is the number of failed runs of one task that makes the job fail; 0 is
	// no limit.
	Attempts int
	// Stretch and Objective give the latency objective of a job: Stretch times its
	// critical path, plus Objective.
	Stretch   float64
	Objective tmclock.Span
	// NeedsAdvice is set if an external placement policy names the endpoints that may
	// run a step.
	NeedsAdvice bool
}

// objective returns the time within which a job with the given critical path is to end, in ms.
func (q *Queue) objective(criticalPath float64) float64 {
	return q.Stretch*criticalPath + float64(q.Objective)
}

// Service is the configuration of one pool, which runs the jobs of its queues.
type Service struct {
	Name string
	// RejectsOverload is set if endpoints refuse tasks that exceed their free capacity.
	RejectsOverload bool
	// Standby is set if the instances of the pool are off and cost nothing.
	Standby bool
}

// Team is a team with its share and its limit.
type Team struct {
	Name string
	// Weight is the share of the team while the fleet is full, in jobs per second.
	Weight float64
	// Limit bounds the resources of the team's running tasks; a resource of 0 is not
	// limited.
	Limit tmjob.Resources
}

// Rules is the part of the configuration that determines what may run where.
type Rules struct {
	Version  int64
	Queues   map[string]Queue
	Services map[string]Service
	Teams    map[string]Team
}

// EndpointInfo describes an endpoint in the list of endpoints.
type EndpointInfo struct {
	ID, Service, Address, Zone, Instance string
	// Rack is "" if unknown.
	Rack     string
	Labels   []string
	Capacity tmjob.Resources
	// StartedAt is when the current lifetime of the endpoint, from start to exit of its
	// process, began, in milliseconds since the Unix epoch.
	StartedAt int64
	// Seq counts the entries of a lifetime, 0 if unknown.
	Seq      int64
	Draining bool
}

// isNewerThan reports whether an entry was made after another one of the same endpoint, which may
// have been written late.
func (i *EndpointInfo) isNewerThan(other EndpointInfo) bool {
	if i.StartedAt != other.StartedAt {
		return i.StartedAt > other.StartedAt
	}
	return other.Seq != 0 && i.Seq > other.Seq
}

func (i *EndpointInfo) hasLabel(label string) bool {
	for _, have := range i.Labels {
		if have == label {
			return true
		}
	}
	return false
}

// Bounds holds the time spans that are set for the whole installation.
type Bounds struct {
	// Lease is the length of a lease granted to an endpoint. It must not exceed MaxLease,
	// to which an endpoint shortens any longer one.
	Lease, MaxLease tmclock.Span
	// HandoverDelay is the minimum time between an order of one owner about an instance
	// and an order of the next owner about the same instance.
	HandoverDelay tmclock.Span
	// Maintenance is how long the maintenance of an instance takes, Move how long an
	// instance is away when it moves to another pool.
	Maintenance, Move tmclock.Span
	// RowBytes is the maximum size of a stored row, 0 for 64 KiB.
	RowBytes int
	// FlushBytes is the maximum size of the rows of a flush that has more than one, if it is
	// less than that of all flushes. 0 is no further limit.
	FlushBytes int
}
