package tmintake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"turmericmoor/internal/tmwait"
	"turmericmoor/io/tmtable"
)

const (
	// readRepeatInterval is the time after which a read without an answer is made once more:
	// its connection may be dead. readTimeout bounds each of these reads. It is longer,
	// because this node may be the one that is slow, so that two are under way at a time.
	readRepeatInterval = 900 * time.Millisecond
	readTimeout        = 2 * readRepeatInterval
)

// readResult is the outcome of one read.
type readResult struct {
	page tmtable.Page
	err  error
}

// readRange reads a range of the store. It repeats a read without an answer until ctx ends, and
// returns any other failure at once.
func (in *Intake) readRange(ctx context.Context, rng tmtable.Range) (tmtable.Page, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan readResult)
	tick := time.NewTicker(readRepeatInterval)
	defer tick.Stop()
	go in.tryRange(ctx, rng, results)
	for underWay := 1; ; {
		select {
		case <-ctx.Done():
			return tmtable.Page{}, fmt.Errorf("%w: the store has not answered: %w", ErrNotReady, ctx.Err())
		case r := <-results:
			if r.err == nil {
				return r.page, nil
			}
			if !errors.Is(r.err, tmtable.ErrOutcomeUnknown) {
				return tmtable.Page{}, fmt.Errorf("%w: %w", ErrNotReady, r.err)
			}
			underWay--
			if underWay > 0 {
				continue
			}
			// Its connection broke, so that waiting for the tick would bring nothing.
			tick.Reset(readRepeatInterval)
			tmwait.Pause(ctx, retryDelay)
		case <-tick.C:
		}
		underWay++
		go in.tryRange(ctx, rng, results)
	}
}

// tryRange reads a range once and passes the result on, unless ctx ends before.
func (in *Intake) tryRange(ctx context.Context, rng tmtable.Range, results chan<- readResult) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := in.store.Read(callCtx, rng)
	select {
	case results <- readResult{page: page, err: err}:
	case <-ctx.Done():
	}
}
