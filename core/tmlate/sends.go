// Package tmlate counts how often an order was sent, and how often it may still be carried out.
//
// An order without an answer may be carried out seconds later, after newer ones, and by whatever
// process is at the address then.
package tmlate

import "turmericmoor/core/tmclock"

// MaxDelay is the longest time after which an order without an answer may still be carried out.
const MaxDelay = 13 * tmclock.Second

// Sends counts the sends of one order to one receiver, which carries it out only once. It is not
// safe for concurrent use.
type Sends struct {
	sent, answered int
	// carriedOut is set if the order is known to have been carried out, confirmed if an answer
	// has said so.
	carriedOut, confirmed bool
	// until is the time after which no send is carried out any more.
	until tmclock.Millis
}

// Restore returns the sends of an order of which unanswered ones may be carried out until a time.
func Restore(unanswered int, until tmclock.Millis) Sends {
	return Sends{sent: unanswered, until: until}
}

// Sent records that the order is being sent.
func (s *Sends) Sent(now tmclock.Millis) {
	s.sent++
	s.until = now.Add(MaxDelay)
}

// Answered records that a send got an answer, or can't arrive any more. accepted tells whether the
// answer says that the order was carried out, now or earlier.
func (s *Sends) Answered(accepted bool, now tmclock.Millis) {
	s.answered++
	s.confirmed = s.confirmed || accepted
	if s.unanswered() == 0 {
		s.until = now
	}
}

// CarriedOut records that the receiver has shown that it carried the order out.
func (s *Sends) CarriedOut() { s.carriedOut = true }

// Count returns how often the order was sent.
func (s *Sends) Count() int { return s.sent }

// Until returns the time after which no send is carried out any more.
func (s *Sends) Until() tmclock.Millis { return s.until }

// Late returns how many sends may still be carried out.
func (s *Sends) Late(now tmclock.Millis) int {
	if !now.Before(s.until) {
		return 0
	}
	return s.unanswered()
}

func (s *Sends) unanswered() int {
	n := s.sent - s.answered
	if s.carriedOut && !s.confirmed {
		// It was one of those without an answer.
		n--
	}
	return max(n, 0)
}
