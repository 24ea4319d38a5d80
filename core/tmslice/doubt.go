package tmslice

import (
	"cmp"
	"slices"

	"turmericmoor/core/tmclock"
)

// stopAfter is the age of a start from which a confirmed stop is final. A
// start that is delayed by more than the endpoint lease L is refused.
const stopAfter = 1 * tmclock.Second

// doubtSpan is the time after the last renewal for an endpoint from which no
// task of this entry can run there: L, the grace of 10 s, and 1 s for clock
// rates and the answer.
const doubtSpan = 12 * tmclock.Second

// Attempt is a start of a task that was sent to an endpoint.
type Attempt struct {
	ID, Team, Endpoint string
	// Sent is the time at which the start was sent.
	Sent tmclock.Millis
}

// doubt is a unit whose attempt ended without an answer.
type doubt struct {
	attempt Attempt
}

// RenewalSent records that a lease or a renewal for the endpoint is being
// sent now.
func (l *Ledger) RenewalSent(endpoint string) {
	l.sent[endpoint] = l.clock.Now()
}

// Quarantine keeps the unit of an attempt that ended without an answer. It
// takes the place of Release. A second call for the same attempt has no
// effect.
func (l *Ledger) Quarantine(a Attempt) {
	if _, ok := l.doubts[a.ID]; ok {
		return
	}
	if l.rules.releaseOnTimeout {
		l.Release(a.Team)
		return
	}
	l.doubts[a.ID] = doubt{attempt: a}
}

// StopConfirmed releases the unit of an attempt whose endpoint has confirmed a
// stop that was asked for at the given time. It returns false when the stop
// was asked for so early that the start could still arrive after it; the stop
// then has to be repeated.
func (l *Ledger) StopConfirmed(attempt string, asked tmclock.Millis) bool {
	d, ok := l.doubts[attempt]
	if !ok {
		return true
	}
	if asked.Sub(d.attempt.Sent) <= stopAfter {
		return false
	}
	l.clear(attempt, d)
	return true
}

// Doubts returns the attempts whose units are in quarantine, by id.
func (l *Ledger) Doubts() []Attempt {
	out := make([]Attempt, 0, len(l.doubts))
	for _, d := range l.doubts {
		out = append(out, d.attempt)
	}
	slices.SortFunc(out, func(a, b Attempt) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ReleaseExpired releases the units of attempts at endpoints to which no
// renewal has been sent for 12 s. It returns how many it has released.
func (l *Ledger) ReleaseExpired() int {
	now := l.clock.Now()
	n := 0
	for _, a := range l.Doubts() {
		d := l.doubts[a.ID]
		last := max(l.sent[a.Endpoint], a.Sent)
		if now.Sub(last) >= doubtSpan {
			l.clear(a.ID, d)
			n++
		}
	}
	return n
}

func (l *Ledger) clear(id string, d doubt) {
	delete(l.doubts, id)
	l.Release(d.attempt.Team)
}
