package tmsettings

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmguard"
)

// defaultPeerConnections is far above the number of entries of a fleet.
const defaultPeerConnections = 1024

// limits reads the limits of clients. Requests in the queue keep their connections and their
// bodies, so that the defaults have room for the whole queue.
func (r *reader) limits(queueRequests int, queueBytes int64) tmguard.Limits {
	l := tmguard.DefaultLimits(tmguard.Machine{})
	connections := min(l.Connections+queueRequests, tmguard.ConnectionsFor(tmguard.SystemFiles()))
	return tmguard.Limits{
		HeaderBytes:  int(r.size("limits", "header_size", int64(l.HeaderBytes))),
		HeaderLines:  r.count("limits", "header_lines", l.HeaderLines),
		LeadBytes:    int(r.size("limits", "lead_size", int64(l.LeadBytes))),
		HeaderTime:   r.span("header", tmclock.SpanOf(l.HeaderTime)).Duration(),
		Connections:  r.count("limits", "connections", connections),
		Reserved:     r.count("limits", "reserved_connections", l.Reserved),
		HeaderMemory: r.size("limits", "header_memory", l.HeaderMemory),
		BodyMemory:   r.size("limits", "body_memory", l.BodyMemory+queueBytes),
	}
}
