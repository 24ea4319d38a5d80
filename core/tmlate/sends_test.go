package tmlate_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmlate"
)

func ExampleSends() {
	var s tmlate.Sends
	s.Sent(1000)
	s.Sent(1080)
	s.Answered(true, 1085)
	fmt.Println(s.Late(2000), s.Late(1080+tmclock.Millis(tmlate.MaxDelay)))
	// Output: 1 0
}

// Guards against an order that counts as settled although one of its sends may arrive, and against
// one that counts as late although none can.
func TestLateSends(t *testing.T) {
	type sends = tmlate.Sends
	cases := map[string]struct {
		steps []func(s *sends)
		want  int
	}{
		"not sent":             {nil, 0},
		"no answer":            {[]func(s *sends){sent}, 1},
		"answered":             {[]func(s *sends){sent, refused}, 0},
		"listed":               {[]func(s *sends){sent, (*sends).CarriedOut}, 0},
		"listed, answered":     {[]func(s *sends){sent, (*sends).CarriedOut, accepted}, 0},
		"two, one accepted":    {[]func(s *sends){sent, sent, accepted}, 1},
		"two, one listed":      {[]func(s *sends){sent, sent, (*sends).CarriedOut}, 1},
		"two, accepted,listed": {[]func(s *sends){sent, sent, accepted, (*sends).CarriedOut}, 1},
		"two, both answered":   {[]func(s *sends){sent, sent, accepted, accepted}, 0},
	}
	for name, c := range cases {
		var s sends
		for _, step := range c.steps {
			step(&s)
		}
		assert.Equal(t, s.Late(10), c.want, name)
	}
}

func sent(s *tmlate.Sends)     { s.Sent(5) }
func refused(s *tmlate.Sends)  { s.Answered(false, 6) }
func accepted(s *tmlate.Sends) { s.Answered(true, 6) }
