package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

// minWorkTime is how long after its start a run must be listed by its endpoint to count
// as being at work.
const minWorkTime = 200 * tmclock.Millisecond

// lossCause says how the loss of an endpoint or of its runs became known. Its text is
// written to logs.
type lossCause string

const (
	causeRestarted lossCause = "endpoint restarted"
	causeReplaced  lossCause = "instance has a new endpoint"
	causeDown      lossCause = "instance is down"
	// causeUnknown: the instance of the endpoint is not known, so an order for it may
	// have ended the endpoint.
	causeUnknown lossCause = "no instance runs the endpoint"
	// causeLapsed: the endpoint is silent, and may still be up.
	causeLapsed      lossCause = "lease lapsed"
	causeMaintenance lossCause = "maintenance"
	causeMoved       lossCause = "moved to another pool"
)

// isCrash reports whether the end of a lifetime was not planned: no order for the
// instance ended it, and the endpoint had not announced that it would leave.
func (c *Controller) isCrash(e *endpoint, cause lossCause) bool {
	switch cause {
	case causeMaintenance, causeMoved, causeUnknown, causeLapsed:
		return false
	case causeRestarted, causeReplaced, causeDown:
	}
	orderedEarlier := c.now.Before(c.fleet.earliestOrder[e.info.Instance])
	return !e.ending && !e.info.Draining && !orderedEarlier
}

// recordCrash logs the end of a lifetime that was not planned.
func (c *Controller) recordCrash(e *endpoint, cause lossCause) {
	if !c.isCrash(e, cause) {
		return
	}
	starting := 0
	for _, r := range e.runs {
		if !r.atWork {
			starting++
		}
	}
	c.event(tmevent.EndpointCrashed, "endpoint", e.info.ID, "zone", e.info.Zone,
		"runs", len(e.runs), "starting", starting, "cause", string(cause))
}
