package exchange

import (
	"slices"

	"turmericmoor/core/tmclock"
)

// fullExchange sends the own counts to every other entry in each period, as
// io/tmpeer does: rows that changed, or all of them after a lost heartbeat.
type fullExchange struct {
	f      *fleet
	period tmclock.Span
	// reports and at are by receiver and sender.
	reports [][][]int
	at      [][]tmclock.Millis
	sums    [][]int
	// known is by sender and receiver, nil when not known.
	known [][][]int
	// snapshot is a copy of the own counts; nil after a change.
	snapshot [][]int
}

func (m *fullExchange) start(f *fleet) {
	m.f = f
	m.snapshot = make([][]int, f.entries)
	for i := range f.entries {
		m.reports = append(m.reports, make([][]int, f.entries))
		m.known = append(m.known, make([][]int, f.entries))
		m.at = append(m.at, make([]tmclock.Millis, f.entries))
		m.sums = append(m.sums, make([]int, f.cells))
		f.every(i, m.period, func() { m.beat(i) })
	}
}

func (m *fullExchange) changed(entry, _, _ int) { m.snapshot[entry] = nil }

func (m *fullExchange) beat(from int) {
	if m.snapshot[from] == nil {
		m.snapshot[from] = slices.Clone(m.f.own[from])
	}
	counts := m.snapshot[from]
	for to := range m.f.entries {
		if to == from || !m.f.member(to) {
			continue
		}
		size := exchangeBytes/2 + m.updateBytes(m.known[from][to], counts)
		m.known[from][to] = nil
		m.f.send(to, size, func() {
			m.report(to, from, counts)
			m.f.send(from, exchangeBytes/2, func() { m.known[from][to] = counts })
		})
	}
}

// updateBytes returns the size of the rows that lead from old to counts.
func (m *fullExchange) updateBytes(old, counts []int) int {
	size := 0
	if old == nil {
		size = nameBytes * (min(pools, len(counts)) + min(teams, len(counts)))
	} else if &old[0] == &counts[0] {
		return 0
	}
	for c, n := range counts {
		if old == nil || old[c] != n {
			size += rowBytes(c, n)
		}
	}
	return size
}

// report takes the counts of an entry; nil forgets it.
func (m *fullExchange) report(to, from int, counts []int) {
	m.at[to][from] = m.f.now
	old := m.reports[to][from]
	if old != nil && counts != nil && &old[0] == &counts[0] {
		return
	}
	sums := m.sums[to]
	for c, n := range old {
		sums[c] -= n
	}
	for c, n := range counts {
		sums[c] += n
	}
	m.reports[to][from] = counts
}

func (m *fullExchange) view(entry int, out []float64) {
	for from, counts := range m.reports[entry] {
		if counts != nil && m.f.now.Sub(m.at[entry][from]) > reportFor {
			m.report(entry, from, nil)
		}
	}
	for c, n := range m.f.own[entry] {
		out[c] = float64(m.sums[entry][c] + n)
	}
}

// epidemic averages the counts with a random member in each period. The asked
// entry answers with the amount that it took over, so that exchanges which
// overlap keep the sum; only a lost answer or a dead entry changes it. A change
// of an own count is added to the own average. With restart, all start again
// from their own counts in every epoch of that length, and what the epoch before
// ended with is the view.
type epidemic struct {
	f       *fleet
	period  tmclock.Span
	restart tmclock.Span
	mean    [][]float64
	result  [][]float64
}

func (m *epidemic) start(f *fleet) {
	m.f = f
	for i := range f.entries {
		m.mean = append(m.mean, make([]float64, f.cells))
		m.result = append(m.result, make([]float64, f.cells))
		m.restartEntry(i)
		f.every(i, m.period, func() { m.exchange(i) })
	}
	if m.restart > 0 {
		m.f.after(m.restart, m.newEpoch)
	}
}

func (m *epidemic) restartEntry(entry int) {
	for c, n := range m.f.own[entry] {
		m.mean[entry][c] = float64(n)
	}
}

// newEpoch restarts all entries at the same time, which favours epidemic
// averaging: clocks of entries differ.
func (m *epidemic) newEpoch() {
	for i := range m.f.entries {
		copy(m.result[i], m.mean[i])
		m.restartEntry(i)
	}
	m.f.after(m.restart, m.newEpoch)
}

func (m *epidemic) epoch() int64 {
	if m.restart == 0 {
		return 0
	}
	return int64(m.f.now.Sub(0) / m.restart)
}

func (m *epidemic) changed(entry, cell, n int) {
	if m.restart == 0 {
		m.mean[entry][cell] += float64(n)
	}
}

// exchange picks any other member: the State lists them all, so no peer
// sampling is needed to find one.
func (m *epidemic) exchange(from int) {
	to := m.f.rng.IntN(m.f.entries - 1)
	if to >= from {
		to++
	}
	if !m.f.member(to) {
		return
	}
	sent, epoch := slices.Clone(m.mean[from]), m.epoch()
	m.f.send(to, exchangeBytes/2+vectorBytes(sent), func() {
		if m.epoch() != epoch {
			return
		}
		for c, own := range m.mean[to] {
			sent[c] = (sent[c] - own) / 2
			m.mean[to][c] += sent[c]
		}
		m.f.send(from, exchangeBytes/2+vectorBytes(sent), func() {
			if m.epoch() != epoch {
				return
			}
			for c, n := range sent {
				m.mean[from][c] -= n
			}
		})
	})
}

// vectorBytes is the size of all rows, with numbers in hundredths; nearly all
// of them differ in every exchange.
func vectorBytes(v []float64) int {
	size := 0
	for c, x := range v {
		size += rowBytes(c, int(100*x))
	}
	return size
}

func (m *epidemic) view(entry int, out []float64) {
	from := m.mean
	if m.restart > 0 {
		from = m.result
	}
	for c, x := range from[entry] {
		out[c] = x * float64(m.f.members())
	}
}
