package tmcontrol

import (
	"slices"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmlate"
)

// This file decides which endpoints are probed. An endpoint that has crashed may carry out late
// start orders from the moment at which its next lifetime begins until that is called with the
// raised token, so it is called often until it answers.

const (
	// minProbeInterval is the least time between two probes of an endpoint, maxProbeRate how many
	// probes of all endpoints together may be sent in a second.
	minProbeInterval = 15 * tmclock.Millisecond
	maxProbeRate     = 400
	// adoptionProbeDelay is how long an owner waits for the first answer of an endpoint before it
	// probes that.
	adoptionProbeDelay = 500 * tmclock.Millisecond
)

// EndpointsToProbe returns the endpoints that have to be probed and are not in probed.
func (c *Controller) EndpointsToProbe(probed map[string]bool) []string {
	var ids []string
	c.probing = 0
	for id, e := range c.endpoints {
		if !c.needsProbe(e) {
			continue
		}
		c.probing++
		if !probed[id] {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// NextProbe returns the call that probes an endpoint, and the time until the next one, which does
// not wait for an answer to this one. It reports false if the endpoint need not be probed.
func (c *Controller) NextProbe(id string) (HoldRequest, tmclock.Span, bool) {
	e := c.endpoints[id]
	if e == nil || !c.needsProbe(e) {
		return HoldRequest{}, 0, false
	}
	interval := max(minProbeInterval, tmclock.Span(c.probing)*tmclock.Second/maxProbeRate)
	return HoldRequest{Address: e.info.Address, Token: e.token}, interval, true
}

// needsProbe reports whether an endpoint does not answer and has orders that its next lifetime may
// carry out.
func (c *Controller) needsProbe(e *endpoint) bool {
	if !c.loaded || !e.needsHold() || e.answering && e.tokenAccepted {
		return false
	}
	return e.mayStartLate(c.now) || c.mayHaveEarlierOrders(e)
}

// mayStartLate reports whether the next lifetime of an endpoint may carry out start orders that
// were meant for this one.
func (e *endpoint) mayStartLate(now tmclock.Millis) bool {
	if len(e.lateStarts) > 0 {
		return true
	}
	for _, r := range e.runs {
		if r.sends.Late(now) > 0 {
			return true
		}
	}
	return false
}

// mayHaveEarlierOrders reports whether an endpoint may carry out orders of an earlier owner that
// had no answer.
func (c *Controller) mayHaveEarlierOrders(e *endpoint) bool {
	isOverdue := c.now.Sub(max(c.loadedAt, e.listedAt)) > adoptionProbeDelay
	return c.now.Sub(c.loadedAt) < tmlate.MaxDelay && (e.answeredAt != 0 || isOverdue)
}
