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
	// shareBurst is how long a team may be ahead of its share. Queues submit several
	// times their mean rate for seconds, which must not count as exceeding the share.
	shareBurst = 2 * tmclock.Second
	// minBurst is how many jobs any team may submit at once.
	minBurst = 4
)

// shareMeter detects the jobs of a team that exceed its share.
type shareMeter struct {
	limiter      *rate.Limiter
	weight       float64
	lastAccepted int64
}

func newShareMeter(weight float64) *shareMeter {
	burst := max(minBurst, int(math.Ceil(weight*float64(shareBurst)/float64(tmclock.Second))))
	return &shareMeter{limiter: rate.NewLimiter(rate.Limit(weight), burst), weight: weight}
}

// exceedsShare counts a new job for its team and reports whether the team is over
// its share. A job over the share gets only the capacity that other teams leave.
// Long-running and timed jobs are not counted, because their demand is not a stream
// of jobs.
func (c *Controller) exceedsShare(j *tmjob.Job) bool {
	weight := c.rules.Teams[j.Team].Weight / float64(c.shard.Count())
	if weight <= 0 || j.Repeats > 0 || j.LongRunning() {
		return false
	}
	m := c.shares[j.Team]
	if m == nil || m.weight != weight {
		m = newShareMeter(weight)
		c.shares[j.Team] = m
	}
	// Jobs arrive from several nodes, slightly out of order.
	m.lastAccepted = max(m.lastAccepted, j.Accepted)
	if m.limiter.AllowN(time.UnixMilli(m.lastAccepted), 1) {
		return false
	}
	c.event(tmevent.BeyondShare, "job", j.ID, "queue", j.Queue, "team", j.Team, "share", weight, "rules", c.rules.Version)
	return true
}
