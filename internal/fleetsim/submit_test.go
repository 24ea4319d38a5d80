package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"turmericmoor/core/tmjob"
	"turmericmoor/io/tmintake"
	"turmericmoor/io/tmnode"
)

// submit sends a random job, and may cancel it later.
func (sim *simulation) submit(n int) {
	j := tmjob.Job{ID: fmt.Sprintf("%016x", n), Team: "t", Accepted: time.Now().UnixMilli()}
	j.Queue = sim.queueOf(j.ID)
	for s := range 1 + sim.rng.IntN(3) {
		step := tmjob.Step{Count: 1 + sim.rng.IntN(6), Size: tmjob.Resources{CPU: 1000 + 500*sim.rng.Int64N(3), Mem: 500}, Estimate: 800}
		if s > 0 {
			step.After = []int{s - 1}
		}
		switch {
		case sim.shapeStep != nil:
			sim.shapeStep(n, &step)
		case s == 0 && n%wideJobInterval == 0:
			widen(n, &step)
		}
		j.Steps = append(j.Steps, step)
	}
	if n%timedJobInterval == 0 {
		makeTimed(&j)
	}
	first := sim.rng.IntN(nodeCount)
	cancelAfter := time.Duration(-1)
	if sim.rng.IntN(8) == 0 {
		cancelAfter = time.Duration(sim.rng.Int64N(int64(2 * time.Second)))
	}
	sim.submitJob(j, first, cancelAfter)
}

// widen gives the first step of a job many small tasks, so that its progress needs several
// rows.
func widen(n int, step *tmjob.Step) {
	step.Count = 40 + n
	step.Size, step.Checkpoint = tmjob.Resources{CPU: 100, Mem: 50}, true
}

// makeTimed turns a job into a timed one that has about as much work.
func makeTimed(j *tmjob.Job) {
	j.Repeats, j.StartAt, j.Interval = 3, j.Accepted, 900
	j.Steps = j.Steps[:1]
	j.Steps[0].Count = (j.Steps[0].Count + 1) / 2
}

// submitJob sends a job to one node after another until one accepts it, and cancels it
// later unless cancelAfter is negative.
func (sim *simulation) submitJob(j tmjob.Job, first int, cancelAfter time.Duration) {
	sim.fleet.Lock()
	sim.fleet.Submitted(&j)
	sim.fleet.Unlock()
	sim.work.Go(func() {
		if !sim.call(first, func(ctx context.Context, n *tmnode.Node) error { return n.Submit(ctx, j) }) {
			return
		}
		sim.mu.Lock()
		sim.accepted = append(sim.accepted, j.ID)
		sim.mu.Unlock()
		if cancelAfter >= 0 && sim.sleep(cancelAfter) {
			sim.cancel(first, j.ID)
		}
	})
}

func (sim *simulation) cancel(first int, id string) {
	ok := sim.call(first, func(ctx context.Context, n *tmnode.Node) error {
		err := n.Cancel(ctx, sim.queueOf(id), id)
		if errors.Is(err, tmintake.ErrNoJob) {
			return nil
		}
		return err
	})
	if ok {
		sim.fleet.Lock()
		sim.fleet.Cancelled(id)
		sim.fleet.Unlock()
	}
}

// call tries one node after another until one succeeds. It reports false if the
// simulation ended first.
func (sim *simulation) call(first int, do func(ctx context.Context, n *tmnode.Node) error) bool {
	for i := first; ; i++ {
		p := sim.process(i)
		if !p.isKilled() {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			err := do(ctx, p.node)
			cancel()
			if err == nil {
				return true
			}
		}
		if !sim.sleep(100 * time.Millisecond) {
			return false
		}
	}
}

// wideJobInterval is the interval of wide jobs among all jobs.
const wideJobInterval = 15

// timedJobInterval is the interval of timed jobs among all jobs.
const timedJobInterval = 6
