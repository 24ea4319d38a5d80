package tmroute

import "turmericmoor/core/tmclock"

// Ramps limits the use of zones that have returned, so that cold endpoints and
// a return that fails again cost little. A zone starts at a quarter of its
// slots and reaches all of them after 2 s.
type Ramps struct {
	clock tmclock.Clock
	zones map[string]tmclock.Millis
}

const (
	rampSpan  = 2 * tmclock.Second
	rampParts = 4
)

// NewRamps returns a Ramps without returning zones.
func NewRamps(clock tmclock.Clock) *Ramps {
	return &Ramps{clock: clock, zones: map[string]tmclock.Millis{}}
}

// Returned records that the zone takes work again from now on.
func (r *Ramps) Returned(zone string) { r.zones[zone] = r.clock.Now() }

// Cap returns how many of the given slots of an endpoint in the zone may be
// used now. It is at least 1 unless there are none.
func (r *Ramps) Cap(zone string, slots int) int {
	start, ok := r.zones[zone]
	if !ok || slots <= 0 {
		return slots
	}
	age := r.clock.Now().Sub(start)
	if age >= rampSpan {
		delete(r.zones, zone)
		return slots
	}
	whole := int(rampSpan) * rampParts
	part := int(rampSpan) + int(age)*(rampParts-1)
	return max(1, slots*part/whole)
}
