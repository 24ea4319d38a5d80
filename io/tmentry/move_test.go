package tmentry_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericmoor/core/tmchange"
	"turmericmoor/core/tmclock"
	"turmericmoor/io/tmendpoint"
	"turmericmoor/io/tmentry"
	"turmericmoor/io/tmoperator"
	"turmericmoor/io/tmwaves"
)

// moved is the instance that the tests move out of pool scans.
const moved = "scans-00"

// judgeMove returns an error when an instance ran tasks of two pools' queues
// at a time, started a task of its new pool before the move was finished, or
// one of its old pool after that.
func (f *waveFleet) judgeMove(to string, finished tmclock.Millis) error {
	old := map[string]bool{}
	for _, ev := range f.endpoints[moved].Journal() {
		switch {
		case ev.Kind == "start" && ev.Queue == "scans":
			old[ev.Attempt] = true
			if finished != 0 && tmclock.Millis(ev.AtMs) > finished {
				return fmt.Errorf("a task of the old pool started %d ms after the move", ev.AtMs-int64(finished))
			}
		case ev.Kind == "start" && (ev.Queue != to || finished == 0 || tmclock.Millis(ev.AtMs) < finished):
			return fmt.Errorf("a task of queue %s started before the move was finished", ev.Queue)
		case ev.Kind == "start" && len(old) > 0:
			return fmt.Errorf("a task of queue %s started while %d of the old pool ran", ev.Queue, len(old))
		case ev.Kind == "end" || ev.Kind == "stop":
			delete(old, ev.Attempt)
		}
	}
	return nil
}

// finishes returns when moves were finished and how many were started.
func (f *waveFleet) finishes() (finished []tmclock.Millis, started int) {
	for _, r := range f.history() {
		for _, c := range r.Changes {
			switch c.(type) {
			case tmchange.FinishMove:
				finished = append(finished, r.Written)
			case tmchange.MoveInstance:
				started++
			}
		}
	}
	return finished, started
}

// Guards against an instance in two pools, and against work of the new pool at
// an instance that still runs work of the old one.
func TestRacingMovesOfOneInstance(t *testing.T) {
	t.Parallel()
	f := newWaveFleet(t, []string{"scans", "spares", "orders"}, 1, 1, nil)
	var stops []func()
	for i, queue := range []string{"scans", "spares", "orders"} {
		stops = append(stops, f.load(i, queue, 20, 700*tmclock.Millisecond))
	}
	f.eventually(5*time.Second, "the instance runs tasks", func() bool { return f.running(moved) > 0 })
	errs := make([]error, 2)
	var moves sync.WaitGroup
	for i, pool := range []string{"spares", "orders"} {
		moves.Go(func() {
			req := tmoperator.MoveRequest{ID: "move-" + pool, Instance: moved, Pool: pool}
			_, errs[i] = f.entries[i].Move(context.Background(), req)
		})
	}
	// Every version that an entry installs has the instance in the old pool or
	// in that of the winner.
	pools := map[string]bool{}
	f.eventually(10*time.Second, "the instance works for its new pool", func() bool {
		in, _ := mustState(t, f.entries[0]).Config().Instances().Get(moved)
		pools[in.Pool()] = true
		for _, ev := range f.endpoints[moved].Journal() {
			if ev.Kind == "start" && ev.Queue != "scans" {
				return true
			}
		}
		return false
	})
	moves.Wait()
	for _, stop := range stops {
		stop()
	}
	var refused *tmchange.InvalidError
	assert.Assert(t, (errs[0] == nil) != (errs[1] == nil), "one of two racing moves wins: %v", errs)
	assert.Assert(t, errors.As(errors.Join(errs...), &refused))
	to := "spares"
	if errs[0] != nil {
		to = "orders"
	}
	finished, started := f.finishes()
	assert.Equal(t, started, 1)
	assert.Equal(t, len(finished), 1)
	assert.NilError(t, f.judgeMove(to, finished[0]))
	pools[to] = true
	assert.DeepEqual(t, pools, map[string]bool{"scans": true, to: true})
}

// hasty is a host for which every version is in force at once.
type hasty struct {
	tmwaves.Host
}

func (hasty) InForce(uint64) bool { return true }

// idle are endpoints that report no running task.
type idle struct {
	tmwaves.Endpoints
}

func (e idle) State(ctx context.Context, address string) (tmendpoint.Report, error) {
	report, err := e.Endpoints.State(ctx, address)
	report.Running = 0
	return report, err
}

// Negative control: without the checks before the end of a move, the judge
// finds work of both pools at the instance.
func TestHastyMoveIsFound(t *testing.T) {
	t.Parallel()
	f := newWaveFleet(t, []string{"scans", "spares"}, 1, 1, func(o *tmentry.Options) {
		o.WrapWaves(func(p tmwaves.Dependencies) tmwaves.Dependencies {
			p.Host = hasty{p.Host}
			p.Endpoints = idle{p.Endpoints}
			return p
		})
	})
	// The old pool leaves slots of the instance free, and the new pool has more
	// work than slots.
	stops := []func(){
		f.load(0, "scans", 6, 4*tmclock.Second),
		f.load(1, "spares", 40, 200*tmclock.Millisecond),
	}
	f.eventually(5*time.Second, "the instance runs tasks", func() bool { return f.running(moved) > 0 })
	_, err := f.entries[0].Move(context.Background(), tmoperator.MoveRequest{ID: "move", Instance: moved, Pool: "spares"})
	assert.NilError(t, err)
	f.eventually(10*time.Second, "the judge finds a violation", func() bool {
		finished, _ := f.finishes()
		return len(finished) > 0 && f.judgeMove("spares", finished[0]) != nil
	})
	for _, stop := range stops {
		stop()
	}
}
