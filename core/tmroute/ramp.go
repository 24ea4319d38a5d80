package tmroute

import "turmericmoor/core/tmclock"

// Ramps limits the load on availability zones that have just come back into
// service, so that cold endpoints, or a zone that fails again at once, affect few
// tasks. The limit of a zone rises linearly from a quarter of its slots to all of
// them in 2 s.
type Ramps struct {
	clock tmclock.Clock
	zones map[string]tmclock.Millis
}

const (
	rampDuration = 2 * tmclock.Second
	rampDivisor  = 4
)

// NewRamps returns a Ramps that limits no zone.
func NewRamps(clock tmclock.Clock) *Ramps {
	return &Ramps{clock: clock, zones: map[string]tmclock.Millis{}}
}

// Start begins the ramp-up of a zone that is back in service.
func (r *Ramps) Start(zone string) { r.zones[zone] = r.clock.Now() }

// Cap returns how many of an endpoint's slots may be used now, given its zone.
// It is at least 1 unless the endpoint has no slots.
func (r *Ramps) Cap(zone string, slots int) int {
	start, ok := r.zones[zone]
	if !ok || slots <= 0 {
		return slots
	}
	age := r.clock.Now().Sub(start)
	if age >= rampDuration {
		delete(r.zones, zone)
		return slots
	}
	denominator := int(rampDuration) * rampDivisor
	numerator := int(rampDuration) + int(age)*(rampDivisor-1)
	return max(1, slots*numerator/denominator)
}
