package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
)

// Queue is what the configuration says of one queue.
type Queue struct {
	Name, Service string
	// Priority orders queues of one service; 0 comes first.
	Priority int
	// Attempts is how many runs of a task may fail before its job fails.
	Attempts int
	// Stretch and Objective give the latency objective of a job: Stretch times
	// its longest chain of steps, and Objective more.
	Stretch   float64
	Objective tmclock.Span
	// NeedsAdvice says that an external policy names the endpoints that may
	// run a step.
	NeedsAdvice bool
}

// Service is what the configuration says of the pool that serves queues.
type Service struct {
	Name string
	// Guards says that endpoints refuse what does not fit.
	Guards bool
	// Standby says that the instances of the pool are off and cost nothing.
	Standby bool
}

// Team is a team with its share and its limit.
type Team struct {
	Name string
	// Weight is the share of the team while the fleet is full, in jobs a second.
	Weight float64
	// Limit bounds what the team has running; a part of 0 is no bound.
	Limit tmjob.Resources
}

// Rules is the part of the configuration that decides what may run where.
type Rules struct {
	Version  int64
	Queues   map[string]Queue
	Services map[string]Service
	Teams    map[string]Team
}

// Listing is what an endpoint says of itself in the list of endpoints.
type Listing struct {
	ID, Service, Address, Zone, Instance string
	// Rack is "" when unknown.
	Rack     string
	Labels   []string
	Capacity tmjob.Resources
	// Born is when this lifetime began, in milliseconds since the Unix epoch.
	Born     int64
	Draining bool
}

func (l *Listing) hasLabel(label string) bool {
	for _, have := range l.Labels {
		if have == label {
			return true
		}
	}
	return false
}

// Bounds are the spans that the installation prescribes.
type Bounds struct {
	// Lease is how long a grant to an endpoint lasts; it is at most what the
	// endpoint accepts.
	Lease tmclock.Span
	// TurnTime is how long two owners must be apart when they order about one
	// instance.
	TurnTime tmclock.Span
	// Upkeep is how long the maintenance of an instance takes, Move how long it is
	// away when it moves to another pool.
	Upkeep, Move tmclock.Span
}
