package tmticket

import (
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
)

var life = Lifetime[string]{Endpoint: "e", Number: 3}

// Guards against tickets that can never be used because their validity is shorter than the margin, or
// than the time that the answer takes.
func TestShortTicketIsUsable(t *testing.T) {
	for _, took := range []tmclock.Span{0, 50, 500} {
		var b Book[string]
		b.Permit(life, Ticket{Token: "t", Validity: 100, AskedAt: 1000, AnsweredAt: tmclock.Millis(1000).Add(took)})
		_, ok := b.Token(life, tmclock.Millis(1000).Add(took+20))
		assert.Assert(t, ok, "after %d ms", took)
	}
}

// Guards against a ticket that is used although it expires before the start is ordered.
func TestTicketHasAMargin(t *testing.T) {
	var b Book[string]
	b.Permit(life, Ticket{Token: "t", Validity: 3000, AskedAt: 1000, AnsweredAt: 1100})
	_, ok := b.Token(life, 3700)
	assert.Assert(t, ok)
	_, ok = b.Token(life, 3701)
	assert.Assert(t, !ok)
	assert.Assert(t, b.MayAsk(life, 3701))
	_, ok = b.StartToken(life, 3925)
	assert.Assert(t, ok)
	_, ok = b.StartToken(life, 3926)
	assert.Assert(t, !ok)
}

// Guards against a refusal that counts for good, and against one that counts for the next lifetime.
func TestRefusalEnds(t *testing.T) {
	var b Book[string]
	b.Refuse(life, 1000)
	assert.Assert(t, b.Refuses(life, 1001))
	assert.Assert(t, !b.Refuses(life, tmclock.Millis(1000).Add(RefusalValidity)))
	assert.Assert(t, !b.MayAsk(life, 1001))
	assert.Assert(t, b.MayAsk(life, tmclock.Millis(1000).Add(RefusalValidity)))
	next := Lifetime[string]{Endpoint: "e", Number: 4}
	assert.Assert(t, !b.Refuses(next, 1001))
	assert.Assert(t, b.MayAsk(next, 1001))
}

// Guards against asking and starting in quick succession on an endpoint that rejects each ticket.
func TestRejectionsSlowDown(t *testing.T) {
	var b Book[string]
	now := tmclock.Millis(1000)
	last := tmclock.Span(0)
	for range 12 {
		b.Permit(life, Ticket{Token: "t", Validity: 3000, AskedAt: now, AnsweredAt: now})
		b.Rejected(life, "t", now)
		delay := tmclock.Span(0)
		for ; !b.MayAsk(life, now.Add(delay)); delay++ {
			_, ok := b.Token(life, now.Add(delay))
			assert.Assert(t, !ok)
		}
		assert.Assert(t, delay >= last && delay <= MaxRejectionDelay)
		last = delay
		now = now.Add(delay)
	}
	assert.Equal(t, last, MaxRejectionDelay)
	b.Permit(life, Ticket{Token: "t", Validity: 3000, AskedAt: now, AnsweredAt: now})
	b.Accepted(life)
	b.Rejected(life, "t", now)
	assert.Assert(t, b.MayAsk(life, now.Add(rejectionDelay)))
}

// Guards against a late rejection of an earlier ticket that takes the present one away.
func TestRejectionOfAnEarlierTicketIsIgnored(t *testing.T) {
	var b Book[string]
	b.Permit(life, Ticket{Token: "new", Validity: 3000, AskedAt: 1000, AnsweredAt: 1000})
	b.Rejected(life, "old", 1001)
	_, ok := b.Token(life, 1001)
	assert.Assert(t, ok)
}

// Guards against answers that are kept for endpoints that have long been replaced.
func TestAnswersOfGoneEndpointsAreDropped(t *testing.T) {
	var b Book[string]
	b.Refuse(life, 1000)
	b.Forget(func(e string) bool { return e == "e" })
	assert.Assert(t, b.IsEmpty())
}
