package fleetsim

import (
	"context"
	"fmt"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/internal/emulator"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

const storeLatency = 4 * time.Millisecond

// store is the table service of a world.
type store struct{ *emulator.Table }

// term returns the fencing token of the present owner.
func (s store) term() int64 {
	row, _ := s.Get(tmrecord.OwnerKey())
	o, err := tmrecord.DecodeOwner(row.Value)
	if err != nil {
		return 0
	}
	return o.Token
}

// view is the store as one node sees it.
type view struct {
	store
	// cut reports whether the node has no way to the store.
	cut func() bool
}

// reach waits for the latency, or until ctx ends if the way is cut.
func (v *view) reach(ctx context.Context) error {
	if v.cut() {
		<-ctx.Done()
		return fmt.Errorf("%w: cut", tmtable.ErrOutcomeUnknown)
	}
	faults := v.Faults()
	select {
	case <-ctx.Done():
		return fmt.Errorf("%w: slow", tmtable.ErrOutcomeUnknown)
	case <-time.After(storeLatency + faults.Slow):
	}
	if faults.Away {
		return fmt.Errorf("%w: away", tmtable.ErrNotApplied)
	}
	return nil
}

func (v *view) Write(ctx context.Context, t tmtable.Txn) (tmtable.Result, error) {
	if err := v.reach(ctx); err != nil {
		return tmtable.Result{}, err
	}
	res, err := v.Apply(t)
	if v.Float() < v.Faults().LostAnswers || v.cut() {
		<-ctx.Done()
		return tmtable.Result{}, fmt.Errorf("%w: answer lost", tmtable.ErrOutcomeUnknown)
	}
	return res, err
}

func (v *view) Read(ctx context.Context, r tmtable.Range) (tmtable.Page, error) {
	if err := v.reach(ctx); err != nil {
		return tmtable.Page{}, err
	}
	return v.Range(r), nil
}

func (v *view) Feed(ctx context.Context, table string, after int64, wait tmclock.Span) (tmtable.Page, error) {
	if err := v.reach(ctx); err != nil {
		return tmtable.Page{}, err
	}
	deadline := time.After(wait.Duration())
	for {
		page, changed, err := v.Since(table, after)
		if err != nil {
			return tmtable.Page{}, err
		}
		if len(page.Rows) > 0 {
			if v.cut() {
				<-ctx.Done()
				return tmtable.Page{}, fmt.Errorf("%w: cut", tmtable.ErrOutcomeUnknown)
			}
			return page, nil
		}
		select {
		case <-ctx.Done():
			return tmtable.Page{}, fmt.Errorf("%w: feed", tmtable.ErrOutcomeUnknown)
		case <-deadline:
			return page, nil
		case <-changed:
		}
	}
}
