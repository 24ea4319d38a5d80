package tmroute

import (
	"math"

	"turmericmoor/core/tmclock"
)

// outcomeHalfLife is the time in which an outcome loses half of its weight.
const outcomeHalfLife = 20 * tmclock.Second

// decayingCounts counts outcomes with exponential decay.
type decayingCounts struct {
	counts
	at tmclock.Millis
}

type counts struct {
	ran, failed float64
}

func addOutcome(m map[Kind]*decayingCounts, kind Kind, failed bool, now tmclock.Millis) {
	d, ok := m[kind]
	if !ok {
		d = &decayingCounts{at: now}
		m[kind] = d
	}
	d.counts = countsAt(d, now)
	d.at = now
	d.ran++
	if failed {
		d.failed++
	}
}

// countsAt returns the decayed counts as of now, which are 0 for nil.
func countsAt(d *decayingCounts, now tmclock.Millis) counts {
	if d == nil {
		return counts{}
	}
	f := decay(now.Sub(d.at))
	return counts{ran: d.ran * f, failed: d.failed * f}
}

func decay(age tmclock.Span) float64 {
	return math.Exp2(-float64(age) / float64(outcomeHalfLife))
}
