// Package maintenance measures waves, moves between pools and the capacity
// ahead of the return of demand. It runs the policies of core/tmwave and
// core/tmmove on tables of arrivals and events with a clock that it moves.
package maintenance

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
)

// tunedSeeds were in use while the policies were tuned, heldSeeds were not
// used before they were final.
var (
	tunedSeeds = []uint64{1, 2, 3, 4, 5, 6, 7}
	heldSeeds  = []uint64{8001, 8002}
)

// Run writes the tables of all measurements to w. The error is one of w's.
func Run(w io.Writer) error {
	if err := tables(w, "seeds used for tuning", tunedSeeds); err != nil {
		return err
	}
	return tables(w, "seeds held back", heldSeeds)
}

func tables(w io.Writer, title string, seeds []uint64) error {
	for _, part := range []func(*page, []uint64){waveTable, moveTable, returnTable} {
		tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
		p := &page{w: tw}
		p.line("# %s: %v", title, seeds)
		part(p, seeds)
		p.line("")
		if err := errors.Join(p.err, tw.Flush()); err != nil {
			return fmt.Errorf("maintenance: write the table: %w", err)
		}
	}
	return nil
}

// page writes lines and keeps the first error.
type page struct {
	w   io.Writer
	err error
}

func (p *page) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

// series is one figure over several seeds.
type series []float64

func (s series) median() float64 {
	sorted := slices.Sorted(slices.Values(s))
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

func (s series) max() float64 { return slices.Max(s) }

func (s series) min() float64 { return slices.Min(s) }

// atOnce bounds the runs that go on side by side.
const atOnce = 4

// perSeed returns the result of f for each seed, in the order of the seeds.
func perSeed[T any](seeds []uint64, f func(uint64) T) []T {
	out := make([]T, len(seeds))
	slot := make(chan struct{}, atOnce)
	var wg sync.WaitGroup
	for i, seed := range seeds {
		wg.Go(func() {
			slot <- struct{}{}
			out[i] = f(seed)
			<-slot
		})
	}
	wg.Wait()
	return out
}
