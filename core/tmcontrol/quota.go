package tmcontrol

import (
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmquota"
)

// maxQuotaRows limits the rows about limits of teams in one flush.
const maxQuotaRows = 10

// setQuotas passes the limits of teams to the ledger of the shard.
func (c *Controller) setQuotas(teams map[string]Team) {
	if c.quotas == nil {
		return
	}
	for _, t := range teams {
		c.quotas.SetLimit(t.Name, t.Limit)
	}
}

// RestoreQuota loads what an earlier owner of the shard has stored about its part of
// the limit of a team.
func (c *Controller) RestoreQuota(row tmquota.Row) {
	if c.quotas != nil {
		c.quotas.Restore(row)
	}
}

// SetPeerQuota records what another shard has stored about its part of the limit of a
// team, with the version of the row.
func (c *Controller) SetPeerQuota(shard int, row tmquota.Row, version int64) {
	if c.quotas != nil {
		c.quotas.SetPeer(shard, row, version)
	}
}

// planQuotas decides what the shard gives of its parts of limits and what it asks for.
func (c *Controller) planQuotas(now tmclock.Millis, wall int64) {
	if c.quotas != nil {
		c.quotas.Plan(c.teams, now, wall)
	}
}

// withinLimit reports whether n more tasks of the step stay within the limit of
// the job's team, or within the part of it that the shard holds.
func (c *Controller) withinLimit(s *step, n int64) bool {
	name := s.occ.job.spec.Team
	total := c.teams[name].Add(times(s.spec.Size, n))
	if c.quotas != nil {
		return c.quotas.Allows(name, total)
	}
	team, ok := c.rules.Teams[name]
	return !ok || total.Within(team.Limit)
}

// withinCPULimit reports whether a team may use that much more CPU.
func (c *Controller) withinCPULimit(team string, more int64) bool {
	total := c.teams[team]
	total.CPU += more
	if c.quotas != nil {
		return c.quotas.Allows(team, total)
	}
	limit := c.rules.Teams[team].Limit.CPU
	return limit == 0 || total.CPU <= limit
}

// reportQuotaShortage records that tasks of a step are ready and don't fit into the
// part of the limit that the shard holds: waiting tasks in all, of which unit can only
// start together.
func (c *Controller) reportQuotaShortage(s *step, waiting, unit int64) {
	if c.quotas != nil {
		c.quotas.Short(s.occ.job.spec.Team, times(s.spec.Size, unit), times(s.spec.Size, waiting))
	}
}

func times(r tmjob.Resources, n int64) tmjob.Resources {
	return tmjob.Resources{CPU: r.CPU * n, Mem: r.Mem * n, GPU: r.GPU * n}
}
