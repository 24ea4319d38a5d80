package exchange

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"turmericmoor/core/tmclock"
)

// seeds are those of every figure.
var seeds = []uint64{1, 2, 3, 4, 5}

// within is the error below which a view counts as right.
const within = 0.05

// way is a method with its name in the table.
type way struct {
	name string
	make func() method
}

var ways = []way{
	{"full, 500 ms", func() method { return &fullExchange{period: 500} }},
	{"epidemic, 500 ms", func() method { return &epidemic{period: 500} }},
	{"epidemic, 100 ms", func() method { return &epidemic{period: 100} }},
	{"epidemic, 100 ms, restart 2 s", func() method { return &epidemic{period: 100, restart: 2000} }},
}

// result is what one run gave.
type result struct {
	samples []sample
	kb      float64
}

func measure(s setting, w way, seed uint64) result {
	f := newFleet(s, seed, w.make())
	samples := f.run()
	seconds := length.Duration().Seconds()
	return result{samples: samples, kb: float64(f.bytes) / 1000 / seconds / float64(s.entries)}
}

// all returns the results of all seeds. Half of the processors take part.
func all(s setting, w way) []result {
	out := make([]result, len(seeds))
	slot := make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() {
			slot <- struct{}{}
			out[i] = measure(s, w, seed)
			<-slot
		})
	}
	wg.Wait()
	return out
}

// at returns the error of the median entry (median seed) and of the worst entry
// (worst seed) at a time.
func at(results []result, t tmclock.Span) string {
	var medians, worsts []float64
	for _, r := range results {
		s := r.samples[int(t/tick)-1]
		medians = append(medians, s.median)
		worsts = append(worsts, s.worst)
	}
	slices.Sort(medians)
	return fmt.Sprintf("%.1f / %.1f", 100*medians[len(medians)/2], 100*slices.Max(worsts))
}

// steady returns the same over the time from a point on: the mean of the median
// entry, and the worst entry at any time.
func steady(results []result, from tmclock.Span) string {
	var medians []float64
	worst := 0.0
	for _, r := range results {
		sum, n := 0.0, 0
		for _, s := range r.samples {
			if s.at >= from {
				sum += s.median
				n++
				worst = max(worst, s.worst)
			}
		}
		medians = append(medians, sum/float64(n))
	}
	slices.Sort(medians)
	return fmt.Sprintf("%.1f / %.1f", 100*medians[len(medians)/2], 100*worst)
}

// settled returns the seconds from the step until all entries are within the
// bound and stay there, of the median and the worst seed.
func settled(results []result) string {
	var times []float64
	for _, r := range results {
		last := tmclock.Span(0)
		for _, s := range r.samples {
			if s.at > stepAt && s.worst > within {
				last = s.at - stepAt + tick
			}
		}
		times = append(times, last.Duration().Seconds())
	}
	slices.Sort(times)
	return fmt.Sprintf("%s / %s", seconds(times[len(times)/2]), seconds(times[len(times)-1]))
}

func seconds(s float64) string {
	if s > (length - stepAt).Duration().Seconds() {
		return "never"
	}
	return fmt.Sprintf("%.1f", s)
}

func kilobytes(results []result) string {
	var kb []float64
	for _, r := range results {
		kb = append(kb, r.kb)
	}
	slices.Sort(kb)
	return fmt.Sprintf("%.1f", kb[len(kb)/2])
}

// Run writes the table of all measurements to w. The error is one of w's.
func Run(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 1, ' ', tabwriter.Debug)
	var failure error
	line := func(format string, args ...any) {
		if failure == nil {
			_, failure = fmt.Fprintf(tw, format+"\n", args...)
		}
	}
	line("# error of a view, %% of the running count: median entry of the median seed / worst entry of the worst seed; seeds %v", seeds)
	line("entries\tcells\tmethod\tstep: s to 5%%\tstep +1 s\t+2 s\t+5 s\tfluctuating\t10%% loss\tentry dead, +5 s\t+20 s\tKB/s step\tKB/s fluctuating")
	for _, entries := range []int{9, 32, 100} {
		for _, cells := range []int{30, 600} {
			for _, way := range ways {
				base := setting{entries: entries, cells: cells}
				step, changing, lossy, dead := base, base, base, base
				step.step, changing.fluctuates, lossy.fluctuates, dead.dies = true, true, true, true
				lossy.loss = 0.1
				s, c, l, d := all(step, way), all(changing, way), all(lossy, way), all(dead, way)
				line("%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s", entries, cells, way.name, settled(s),
					at(s, stepAt+1000), at(s, stepAt+2000), at(s, stepAt+5000), steady(c, stepAt), steady(l, stepAt),
					at(d, deadAt+5000), at(d, length), kilobytes(s), kilobytes(c))
			}
		}
	}
	if err := errors.Join(failure, tw.Flush()); err != nil {
		return fmt.Errorf("exchange: write the table: %w", err)
	}
	return nil
}
