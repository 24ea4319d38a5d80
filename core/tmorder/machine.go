package tmorder

// machine carries out the work of jobs one after the other.
type machine struct {
	// rate is the work that is done per ms, load the work ahead of the next job.
	rate, load float64
	// free is the CPU that is free now. Tasks that fit into it start at once.
	free float64
}

// admit queues jobs in their order, except those that would start later than their slack
// permits, and sets their starts. The latter take no capacity from the jobs behind them.
func (m *machine) admit(jobs []*entry, slack func(*entry) float64) (kept, rejected []*entry) {
	cores := 0.0
	for _, e := range jobs {
		need := float64(e.job.Demand.CPU)
		e.start = 0
		if cores+need > m.free {
			e.start = m.load / m.rate
		}
		if e.start > slack(e) {
			rejected = append(rejected, e)
			continue
		}
		cores += need
		m.load += e.job.Work
		kept = append(kept, e)
	}
	return kept, rejected
}
