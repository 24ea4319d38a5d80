package main

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

const preface = `# Measures

Written by ` + "`make measure`" + ` at commit %s, in %d s. The decision code of 9
entries (core/tmshare, core/tmroute) runs on a moved clock with fakes of workers
and peers; no network, no table service, no limits. Figures on real processes
differ.

Inputs: 50 workers in 5 pools with 8 slots each; heartbeats every 500 ms, lease
renewals every 400 ms; run times exponentially distributed, 90%% short and 10%%
long (Perth 0.7 s and 4 s, Hsinchu 0.2 s and 1.5 s; urgent runs 1 s and 15 s);
half of the tasks can be checkpointed in 200 ms; 5%% are urgent in the urgent
runs, and 0 in the others. Six teams; in the fairness runs
two are steady at twice their share, one returns after 60 s with twice its
share, and three have bursts of 8 s at 5 times their mean in turn and a
twentieth between. Full means that 99%% of the slots are busy in each 500 ms of
the window. The windows that have the first 5 s after the return don't count
for the returning team. In the zone runs all teams offer their share of the
whole fleet, one zone stops answering for 25 s, and the best is all slots that
are up.

The urgent runs have Perth's shape only, because their tasks are the same in both;
requests that expire after 30 s in a queue are not counted there.

Median and worst of %d seeds, which were used while the policy was made. The kept
seeds 201 and 202 were not run before it was final.

`

func render(rows []measure, commit string, took time.Duration) string {
	var b strings.Builder
	fmt.Fprintf(&b, preface, commit, int(took.Seconds()), len(usedSeeds))
	b.WriteString("| measure | policy | unit | target | median | worst | kept seeds | note on the worst |\n")
	b.WriteString("|---|---|---|---|---|---|---|---|\n")
	for _, r := range rows {
		median, worst := r.summary()
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s | %s |\n", r.name, r.policy, r.unit, r.target,
			number(median.value), number(worst.value), r.keptText(), worst.note)
	}
	return b.String()
}

func (m measure) summary() (median, worst outcome) {
	sorted := slices.SortedStableFunc(slices.Values(m.used), func(a, b outcome) int {
		switch {
		case a.value < b.value:
			return -1
		case a.value > b.value:
			return 1
		}
		return 0
	})
	worst = sorted[len(sorted)-1]
	if m.lowIsBad {
		worst = sorted[0]
	}
	return sorted[len(sorted)/2], worst
}

func (m measure) keptText() string {
	var parts []string
	for _, o := range m.kept {
		parts = append(parts, number(o.value))
	}
	return strings.Join(parts, ", ")
}

func number(v float64) string {
	if v >= 100 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2f", v)
}
