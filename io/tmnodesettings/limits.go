package tmnodesettings

import (
	"fmt"
	"math"
	"time"

	"turmericmoor/core/tmshard"
	"turmericmoor/io/tmguard"
)

const kilobyte = 1_000

// limits reads the limits of clients. Their defaults depend on the machine.
func (r *reader) limits(machine tmshard.Node) tmguard.Limits {
	l := tmguard.DefaultLimits(tmguard.Machine{MemoryMB: machine.MemoryMB, Files: machine.Files})
	count := func(name string, fallback int) int { return r.count("limits."+name, fallback, math.MaxInt32) }
	return tmguard.Limits{
		HeaderBytes:  count("header_bytes", l.HeaderBytes),
		HeaderLines:  count("header_lines", l.HeaderLines),
		LeadBytes:    count("lead_bytes", l.LeadBytes),
		HeaderTime:   time.Duration(count("header_ms", int(l.HeaderTime.Milliseconds()))) * time.Millisecond,
		Connections:  count("connections", l.Connections),
		Reserved:     count("reserved_connections", l.Reserved),
		HeaderMemory: int64(count("header_memory_kb", int(l.HeaderMemory/kilobyte))) * kilobyte,
		BodyMemory:   int64(count("body_memory_kb", int(l.BodyMemory/kilobyte))) * kilobyte,
	}
}

// count returns a whole number from 1 to most.
func (r *reader) count(name string, fallback, most int) int {
	e := r.values[name]
	v := r.number(name, float64(fallback))
	if v < 1 || v > float64(most) || v != math.Trunc(v) {
		r.addProblem(name, e, fmt.Sprintf("a whole number from 1 to %d", most))
		return fallback
	}
	return int(v)
}
