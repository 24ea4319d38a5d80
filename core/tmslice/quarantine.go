package tmslice

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
)

// minStopDelay is the minimum time between sending a start and requesting a stop
// for the confirmed stop to be final. A start that arrives after such a stop is
// refused, because the endpoint refuses a start that is delayed by more than the
// endpoint lease L.
const minStopDelay = 1 * tmclock.Second

// quarantineTimeout is the time from the last lease renewal sent to an endpoint
// until no task of this entry can run there any more: L, the grace period of 10 s,
// and 1 s for clock rate errors and the answer.
const quarantineTimeout = 12 * tmclock.Second

// Attempt is a request to start a task that was sent to an endpoint.
type Attempt struct {
	ID, Team, Endpoint string
	// Sent is the time at which the request was sent.
	Sent tmclock.Millis
}

// quarantinedUnit is a unit whose attempt ended without an answer.
type quarantinedUnit struct {
	attempt Attempt
}

// RenewalSent records that a lease or a lease renewal is being sent to the
// endpoint now.
func (l *Ledger) RenewalSent(endpoint string) {
	l.lastRenewal[endpoint] = l.clock.Now()
}

// Quarantine keeps the unit of an attempt in use that ended without an answer,
// because the task may still run. Quarantine is called instead of Release.
// Repeated calls for the same attempt have no effect.
func (l *Ledger) Quarantine(a Attempt) {
	if _, ok := l.quarantined[a.ID]; ok {
		return
	}
	if l.disabled.releaseOnTimeout {
		l.Release(a.Team)
		return
	}
	l.quarantined[a.ID] = quarantinedUnit{attempt: a}
}

// StopConfirmed releases the unit of an attempt after its endpoint has
// confirmed a stop that was requested at the given time. It returns false when
// the stop was requested so early that the start could still arrive after it;
// the caller then has to repeat the stop.
func (l *Ledger) StopConfirmed(attempt string, requestedAt tmclock.Millis) bool {
	d, ok := l.quarantined[attempt]
	if !ok {
		return true
	}
	if requestedAt.Sub(d.attempt.Sent) <= minStopDelay {
		return false
	}
	l.releaseQuarantined(attempt, d)
	return true
}

// Quarantined returns the attempts whose units are in quarantine, by id.
func (l *Ledger) Quarantined() []Attempt {
	out := make([]Attempt, 0, len(l.quarantined))
	for _, d := range l.quarantined {
		out = append(out, d.attempt)
	}
	slices.SortFunc(out, func(a, b Attempt) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ReleaseExpired releases the units of attempts at endpoints to which no
// renewal has been sent for 12 s. It returns the number of released units.
func (l *Ledger) ReleaseExpired() int {
	now := l.clock.Now()
	n := 0
	for _, a := range l.Quarantined() {
		d := l.quarantined[a.ID]
		last := max(l.lastRenewal[a.Endpoint], a.Sent)
		if now.Sub(last) >= quarantineTimeout {
			l.releaseQuarantined(a.ID, d)
			n++
		}
	}
	return n
}

func (l *Ledger) releaseQuarantined(id string, d quarantinedUnit) {
	delete(l.quarantined, id)
	l.Release(d.attempt.Team)
}
