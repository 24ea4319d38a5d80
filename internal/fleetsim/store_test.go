package fleetsim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/internal/emulator"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

const storeLatency = 4 * time.Millisecond

// store is the table service of a simulation.
type store struct{ emulator.Store }

// term returns the fencing token of the current owner, or 0 if there is none.
func (s store) ownerToken() int64 {
	row, _ := s.Get(tmrecord.OwnerKey(0))
	o, err := tmrecord.DecodeOwner(row.Value)
	if err != nil {
		return 0
	}
	return o.Token
}

// storeView is the connection of one node to the store.
type storeView struct {
	store
	// partitioned reports whether the node can't reach the store, hasLost whether its calls about
	// a table get no answer.
	partitioned func() bool
	hasLost     func(table string) bool
	// awaitTurn waits until the node has time for a call, it reports false if ctx ended before.
	awaitTurn func(ctx context.Context) bool
	// unbounded is called for each call that has no time limit, refused for each transaction
	// that exceeds a limit of the store.
	unbounded func(what string)
	refused   func(err error)
}

// reach waits for the latency of a call, or until ctx ends if the store can't be reached or
// does not answer.
func (v *storeView) reach(ctx context.Context, silent bool) error {
	if _, ok := ctx.Deadline(); !ok {
		v.unbounded("a call to the store")
	}
	if !v.awaitTurn(ctx) {
		return fmt.Errorf("%w: call was not sent", tmtable.ErrNotApplied)
	}
	if v.partitioned() || silent {
		return v.awaitEnd(ctx)
	}
	faults := v.Faults()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: call timed out", tmtable.ErrOutcomeUnknown)
	case <-time.After(storeLatency + faults.ExtraLatency):
	}
	if faults.Unavailable {
		return fmt.Errorf("%w: store unavailable", tmtable.ErrNotApplied)
	}
	return nil
}

// awaitEnd waits until a call without an answer ends.
func (v *storeView) awaitEnd(ctx context.Context) error {
	<-ctx.Done()
	return fmt.Errorf("%w: %w", tmtable.ErrOutcomeUnknown, ctx.Err())
}

func (v *storeView) Write(ctx context.Context, t tmtable.Txn) (tmtable.Result, error) {
	if err := v.reach(ctx, v.Faults().Silent); err != nil {
		return tmtable.Result{}, err
	}
	res, err := v.Apply(t)
	if errors.Is(err, tmtable.ErrInvalid) {
		v.refused(err)
	}
	if v.Float64() < v.Faults().LostResponses || v.partitioned() || v.Faults().Silent {
		return tmtable.Result{}, v.awaitEnd(ctx)
	}
	return res, err
}

func (v *storeView) Read(ctx context.Context, r tmtable.Range) (tmtable.Page, error) {
	if err := v.reach(ctx, v.hides(r.Table)); err != nil {
		return tmtable.Page{}, err
	}
	return v.Range(r), nil
}

// hides reports whether the node gets no answer to a call about a table.
func (v *storeView) hides(table string) bool {
	return v.hasLost(table) || v.Faults().HidesTable(table)
}

func (v *storeView) Feed(ctx context.Context, table string, after int64, wait tmclock.Span) (tmtable.Page, error) {
	if err := v.reach(ctx, v.hides(table)); err != nil {
		return tmtable.Page{}, err
	}
	page, err := v.store.Feed(ctx, table, after, wait)
	if err == nil && len(page.Rows) > 0 && (v.partitioned() || v.Faults().HidesTable(table)) {
		return tmtable.Page{}, v.awaitEnd(ctx)
	}
	return page, err
}
