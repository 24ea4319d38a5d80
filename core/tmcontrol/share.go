package tmcontrol

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
)

const (
	// shareBurst is for how long a team may be ahead of its share. Queues ask for
	// several times their mean for seconds, which is not meant.
	shareBurst = 2 * tmclock.Second
	// minBurst is how many jobs any team may send at once.
	minBurst = 4
)

// shareMeter tells which jobs of a team are beyond its share.
type shareMeter struct {
	limiter *rate.Limiter
	weight  float64
	last    int64
}

func newShareMeter(weight float64) *shareMeter {
	burst := max(minBurst, int(math.Ceil(weight*float64(shareBurst)/float64(tmclock.Second))))
	return &shareMeter{limiter: rate.NewLimiter(rate.Limit(weight), burst), weight: weight}
}

// beyondShare counts a new job for its team and reports whether the team is ahead
// of its share. Such jobs run on what others leave. Long-running and timed jobs
// are not counted: what they ask for does not come as a stream of jobs.
func (c *Controller) beyondShare(j *tmjob.Job) bool {
	weight := c.rules.Teams[j.Team].Weight
	if weight <= 0 || j.Repeats > 0 || j.LongRunning() {
		return false
	}
	m := c.shares[j.Team]
	if m == nil || m.weight != weight {
		m = newShareMeter(weight)
		c.shares[j.Team] = m
	}
	// Jobs arrive from several nodes, a little out of order.
	m.last = max(m.last, j.Accepted)
	if m.limiter.AllowN(time.UnixMilli(m.last), 1) {
		return false
	}
	c.event(tmevent.BeyondShare, "job", j.ID, "queue", j.Queue, "team", j.Team, "share", weight, "rules", c.rules.Version)
	return true
}
