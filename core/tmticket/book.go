// Package tmticket keeps what a placement policy has answered about the endpoints that may run a
// step. A ticket of the policy permits the step to run on one lifetime of an endpoint for a limited
// time; whether an endpoint may run the step at all does not change during its lifetime.
package tmticket

import (
	"maps"

	"turmericmoor/core/tmclock"
)

const (
	// RefusalValidity is how long a refusal counts. An endpoint that was starting when the policy
	// was asked is refused although it may run the step.
	RefusalValidity = 10 * tmclock.Second
	// MaxRejectionDelay is the longest pause before the policy is asked again about an endpoint
	// that has rejected a start because of its ticket; after the first rejection the pause is
	// rejectionDelay, and it doubles with each further one.
	MaxRejectionDelay = 5 * tmclock.Second
	rejectionDelay    = 50 * tmclock.Millisecond
	// maxMargin is the minimum remaining validity of a ticket that is used for a placement. The
	// placement has to be stored and the start ordered before the ticket expires. Of tickets
	// that are valid for a short time it is marginShare of that time.
	maxMargin   = 300 * tmclock.Millisecond
	marginShare = 0.25
	// startMarginShare is the share of that which has to be left when the start is ordered.
	startMarginShare = 0.25
)

// Lifetime is one lifetime of an endpoint. The numbers of the lifetimes of an endpoint rise.
type Lifetime[E comparable] struct {
	Endpoint E
	Number   int
}

// Book holds what a policy has answered for a step, for the latest lifetime of each endpoint that it
// was asked about. The zero value has no answers.
type Book[E comparable] struct {
	answers map[E]answer
}

type answer struct {
	lifetime  int
	permitted bool
	token     string
	// The token may be used for placements until placeUntil, and for starts until startUntil.
	placeUntil, startUntil tmclock.Millis
	// The policy is not asked again before askAfter.
	askAfter tmclock.Millis
	// rejections counts the starts that were rejected in a row because of their ticket.
	rejections int
}

// Ticket is a permit of the policy.
type Ticket struct {
	Token string
	// Validity is how long the ticket is valid. It began between AskedAt and AnsweredAt.
	Validity            tmclock.Span
	AskedAt, AnsweredAt tmclock.Millis
}

// usableUntil returns until when the ticket is used for placements and for starts. If the answer took
// longer than the ticket is valid, its validity has probably begun with the answer.
func (t *Ticket) usableUntil() (placements, starts tmclock.Millis) {
	margin := min(maxMargin, tmclock.Span(marginShare*float64(t.Validity)))
	began := t.AskedAt
	if !began.Add(t.Validity - margin).After(t.AnsweredAt) {
		began = t.AnsweredAt
	}
	startMargin := tmclock.Span(startMarginShare * float64(margin))
	return began.Add(t.Validity - margin), began.Add(t.Validity - startMargin)
}

func (b *Book[E]) answer(l Lifetime[E]) (answer, bool) {
	a, ok := b.answers[l.Endpoint]
	return a, ok && a.lifetime == l.Number
}

// Token returns the token of the ticket for a lifetime, if it is valid for long enough to store a
// placement and to order its start.
func (b *Book[E]) Token(l Lifetime[E], now tmclock.Millis) (string, bool) {
	a, ok := b.answer(l)
	if !ok || !a.permitted || now.After(a.placeUntil) {
		return "", false
	}
	return a.token, true
}

// StartToken is like Token for a placement that is stored.
func (b *Book[E]) StartToken(l Lifetime[E], now tmclock.Millis) (string, bool) {
	a, ok := b.answer(l)
	if !ok || !a.permitted || now.After(a.startUntil) {
		return "", false
	}
	return a.token, true
}

// IsEmpty reports whether there is no answer.
func (b *Book[E]) IsEmpty() bool { return len(b.answers) == 0 }

// IsKnown reports whether the policy has answered about a lifetime.
func (b *Book[E]) IsKnown(l Lifetime[E]) bool {
	_, ok := b.answer(l)
	return ok
}

// Permits reports whether the policy permits the step on a lifetime, with a ticket that is valid
// or one that has expired.
func (b *Book[E]) Permits(l Lifetime[E]) bool {
	a, ok := b.answer(l)
	return ok && a.permitted
}

// Refuses reports whether the policy has refused the step on a lifetime within RefusalValidity.
func (b *Book[E]) Refuses(l Lifetime[E], now tmclock.Millis) bool {
	a, ok := b.answer(l)
	return ok && !a.permitted && now.Before(a.askAfter)
}

// MayAsk reports whether the policy is to be asked about a lifetime once the step could run there.
func (b *Book[E]) MayAsk(l Lifetime[E], now tmclock.Millis) bool {
	a, ok := b.answer(l)
	if !ok {
		return true
	}
	_, valid := b.Token(l, now)
	return !valid && !now.Before(a.askAfter)
}

// Permit records a ticket for a lifetime.
func (b *Book[E]) Permit(l Lifetime[E], t Ticket) {
	last, _ := b.answer(l)
	placeUntil, startUntil := t.usableUntil()
	b.set(l, answer{permitted: true, token: t.Token, placeUntil: placeUntil, startUntil: startUntil, rejections: last.rejections})
}

// Refuse records that the policy does not permit the step on a lifetime.
func (b *Book[E]) Refuse(l Lifetime[E], now tmclock.Millis) {
	b.set(l, answer{askAfter: now.Add(RefusalValidity)})
}

func (b *Book[E]) set(l Lifetime[E], a answer) {
	if b.answers == nil {
		b.answers = map[E]answer{}
	}
	a.lifetime = l.Number
	b.answers[l.Endpoint] = a
}

// Accepted records that a lifetime has accepted a start with its ticket.
func (b *Book[E]) Accepted(l Lifetime[E]) {
	if a, ok := b.answer(l); ok && a.rejections > 0 {
		a.rejections = 0
		b.set(l, a)
	}
}

// Rejected records that a start with a token was rejected because of it. A newer ticket stays.
func (b *Book[E]) Rejected(l Lifetime[E], token string, now tmclock.Millis) {
	a, ok := b.answer(l)
	if !ok || a.token != token {
		return
	}
	delay := MaxRejectionDelay
	if n := a.rejections; n < 16 {
		delay = min(delay, rejectionDelay<<n)
	}
	b.set(l, answer{permitted: true, placeUntil: now - 1, startUntil: now - 1, askAfter: now.Add(delay), rejections: a.rejections + 1})
}

// Forget drops the answers about endpoints that are gone for good.
func (b *Book[E]) Forget(isGone func(E) bool) {
	maps.DeleteFunc(b.answers, func(e E, _ answer) bool { return isGone(e) })
}
