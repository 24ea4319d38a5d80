package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
)

const (
	// maxStartWindow and minStartWindow bound the limit of pending starts. A new owner, which
	// has to learn what it can carry, begins with firstStartWindow.
	maxStartWindow   = 200
	minStartWindow   = 8
	firstStartWindow = 16
	// lateStartAnswer is the time from which on an answer is late. It lies below the timeout
	// of an order, so that the limit falls before orders fail.
	lateStartAnswer = 500 * tmclock.Millisecond
	// The limit is multiplied by failedStartsFactor after a round in which more than
	// maxFailedStarts of the orders failed. It stays after one in which more than
	// maxLateStarts of the answers were late, and is multiplied by timelyStartsFactor after
	// any other.
	maxFailedStarts    = 0.05
	failedStartsFactor = 0.5
	maxLateStarts      = 0.1
	timelyStartsFactor = 1.25
	// maxOverdueFactor bounds the pending and the overdue starts in multiples of the limit.
	maxOverdueFactor = 2
)

// startWindow limits the pending starts to as many as were lately sent and answered in time.
// Each placement has to be stored before its order is sent, so an owner short of processor
// time or connections that places more than it can send has even less for what it sends. A
// round is as many answers as the limit.
type startWindow struct {
	limit float64
	// answers counts the orders of the current round, late those that were answered late,
	// failed those that failed because they were late or found no connection.
	answers, late, failed int
}

func newStartWindow() startWindow { return startWindow{limit: firstStartWindow} }

// size returns the limit of pending starts.
func (w *startWindow) size() int { return int(w.limit) }

// record counts the answer to an order, and ends the round if it is the last one. It reports
// whether the limit has fallen.
func (w *startWindow) record(a Answer, took tmclock.Span) bool {
	switch {
	case a == TooLate || a == NotSent || a == NoConnection || a.IsUnknown():
		w.failed++
	case took >= lateStartAnswer:
		w.late++
	}
	w.answers++
	if w.answers < w.size() {
		return false
	}
	return w.endRound()
}

// endRound adapts the limit to the answers of a round. It reports whether the limit has
// fallen.
func (w *startWindow) endRound() bool {
	before, n := w.limit, float64(w.answers)
	switch {
	case float64(w.failed) > maxFailedStarts*n:
		w.limit = max(w.limit*failedStartsFactor, minStartWindow)
	case float64(w.late) <= maxLateStarts*n:
		w.limit = min(w.limit*timelyStartsFactor, maxStartWindow)
	}
	w.answers, w.late, w.failed = 0, 0, 0
	return w.limit < before
}

// hasStartRoom reports whether another start may become pending. Overdue ones count as well,
// because it may be this node that is late and not their endpoints.
func (c *Controller) hasStartRoom() bool {
	n := c.window.size()
	return c.pending < n && c.pending+c.overdue < maxOverdueFactor*n
}

// recordStart adapts the limit of pending starts to the answer to the start order of a run. An
// order that fails tells something about this node only if it took long, and if its endpoint
// has answered others meanwhile.
func (c *Controller) recordStart(r *run, a Answer, now tmclock.Millis) {
	e := r.ep
	if a == NotSent || a.IsUnknown() {
		hasAnswered := e.answeredAt.After(r.sentAt) || e.orderAnsweredAt.After(r.sentAt)
		if !hasAnswered || now.Sub(r.sentAt) < lateStartAnswer {
			return
		}
	} else if a != NoConnection {
		e.orderAnsweredAt = now
	}
	if c.window.record(a, now.Sub(r.sentAt)) {
		c.event(tmevent.StartsLimited, "limit", c.window.size(), "pending", c.pending, "task", r.task.id.String(),
			"endpoint", e.info.ID, "answer", a.String(), "took_ms", int64(now.Sub(r.sentAt)))
	}
}
