package tmroute

import (
	"math"

	"turmericmoor/core/tmclock"
)

// tallyHalfLife is the time in which an outcome loses half of its weight.
const tallyHalfLife = 20 * tmclock.Second

// tally counts outcomes with exponential decay.
type tally struct {
	counts
	at tmclock.Millis
}

type counts struct {
	ran, failed float64
}

func countIn(m map[Kind]*tally, kind Kind, failed bool, now tmclock.Millis) {
	t, ok := m[kind]
	if !ok {
		t = &tally{at: now}
		m[kind] = t
	}
	t.counts = valueOf(t, now)
	t.at = now
	t.ran++
	if failed {
		t.failed++
	}
}

// valueOf returns the counts as of now. A nil tally has none.
func valueOf(t *tally, now tmclock.Millis) counts {
	if t == nil {
		return counts{}
	}
	f := decay(now.Sub(t.at))
	return counts{ran: t.ran * f, failed: t.failed * f}
}

func decay(age tmclock.Span) float64 {
	return math.Exp2(-float64(age) / float64(tallyHalfLife))
}
