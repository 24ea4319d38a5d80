package harness

import (
	"fmt"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmrequest"
)

// Layout describes a fleet. Zero values select the defaults.
type Layout struct {
	// Entries is the number of entries, 3 by default.
	Entries int
	// Zones are the names of the availability zones, zone-a, zone-b and zone-c by
	// default. Entries and endpoints are spread evenly over them.
	Zones []string
	// Endpoints is the number of endpoints of each pool over all zones, 6 by
	// default. A pool with a budget needs at least two.
	Endpoints int
	// RackSize is the maximum number of endpoints of a rack, 4 by default. The
	// endpoints of a rack run in one process.
	RackSize int
	// Slots is the number of slots of each endpoint, 8 by default.
	Slots int
	// Pools are the names of the pools, each of which gets a queue of the same
	// name. The default is one pool "steps".
	Pools []string
	// MaxUnavailable is the unavailability budget of each pool, 1 by default.
	MaxUnavailable int
	// Teams share the fleet. The default is one team "crews".
	Teams []Team
	// WritesPerSecond and ReadsPerSecond are the rate limits of the platform, 0
	// for its defaults.
	WritesPerSecond, ReadsPerSecond int
	// LogLevel is the log level of entries, warn by default.
	LogLevel string
	// MaxQueuedRequests bounds the queue of each entry, 0 for the entry's default.
	MaxQueuedRequests int
	// CountBytes routes the connections between entries and from entries to the
	// platform through relays that count their bytes.
	CountBytes bool
	// Settings are lines added to the settings of each entry, after its own sections.
	Settings []string
	// Env is added to the environment of each entry, for example GOMAXPROCS=2.
	Env []string
}

// Team is a team of a Layout with one API key.
type Team struct {
	Name string
	// Share defaults to 1, Limit to all slots of the fleet.
	Share, Limit int
	Urgent       bool
}

func (l *Layout) setDefaults() {
	if l.Entries <= 0 {
		l.Entries = 3
	}
	if len(l.Zones) == 0 {
		l.Zones = []string{"zone-a", "zone-b", "zone-c"}
	}
	if l.Endpoints <= 0 {
		l.Endpoints = 6
	}
	if l.RackSize <= 0 {
		l.RackSize = 4
	}
	if l.Slots <= 0 {
		l.Slots = 8
	}
	if len(l.Pools) == 0 {
		l.Pools = []string{"steps"}
	}
	if l.MaxUnavailable <= 0 {
		l.MaxUnavailable = 1
	}
	if len(l.Teams) == 0 {
		l.Teams = []Team{{Name: "crews"}}
	}
	if l.LogLevel == "" {
		l.LogLevel = "warn"
	}
	for i := range l.Teams {
		t := &l.Teams[i]
		t.Share = max(t.Share, 1)
		if t.Limit == 0 {
			t.Limit = len(l.Pools) * l.Endpoints * l.Slots
		}
	}
}

// Capacity returns the number of slots of one pool.
func (l *Layout) Capacity() int { return l.Endpoints * l.Slots }

// rack is a group of endpoints of one pool in one zone.
type rack struct {
	name, zone, pool string
	size             int
}

// racks distributes the endpoints of each pool over zones and racks.
func (l *Layout) racks() []rack {
	var list []rack
	for _, pool := range l.Pools {
		for i, zone := range l.Zones {
			n := l.Endpoints / len(l.Zones)
			if i < l.Endpoints%len(l.Zones) {
				n++
			}
			for k := 0; n > 0; k++ {
				size := min(n, l.RackSize)
				list = append(list, rack{name: fmt.Sprintf("%s-%s-r%d", pool, zone, k), zone: zone, pool: pool, size: size})
				n -= size
			}
		}
	}
	return list
}

// setupChanges returns the changes that configure the fleet from an empty State.
func (f *Fleet) setupChanges() []tmchange.Change {
	var list []tmchange.Change
	for _, zone := range f.layout.Zones {
		list = append(list, tmchange.AddZone{Name: zone, Region: "west"})
	}
	for _, pool := range f.layout.Pools {
		list = append(list,
			tmchange.AddPool{Name: pool, MaxUnavailable: f.layout.MaxUnavailable},
			tmchange.AddQueue{Name: pool, Pool: pool})
	}
	for _, e := range f.endpoints {
		list = append(list, tmchange.AddInstance{
			Name: e.Name, Address: e.Address, Zone: e.Zone, Rack: e.Rack, Pool: e.Pool, Slots: f.layout.Slots,
		})
	}
	for _, t := range f.layout.Teams {
		list = append(list,
			tmchange.AddTeam{Name: t.Name, Share: t.Share, Limit: t.Limit, Urgent: t.Urgent},
			tmchange.GrantKey{Hash: tmrequest.HashKey(f.Key(t.Name)), Team: t.Name, Label: t.Name})
	}
	return list
}
