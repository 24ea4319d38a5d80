package tmnode

import (
	"context"
	"errors"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmshard"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

const (
	// layoutRetryDelay is the pause between two attempts to decide the layout.
	layoutRetryDelay = 200 * time.Millisecond
	// layoutTimeout bounds one call of such an attempt.
	layoutTimeout = 1500 * time.Millisecond
)

var errNoInstances = errors.New("tmnode: the list of instances is empty")

// decideLayout waits until the number of shards is known. The first owner of the first
// shard decides it, and stores it before any job can be accepted. It reports false if
// ctx ended first.
func (n *Node) decideLayout(ctx context.Context) bool {
	for n.board.Shards() == 0 {
		if err := n.tryDecideLayout(ctx); err != nil {
			n.emit(tmevent.LayoutFailed, "cause", err.Error())
		}
		select {
		case <-n.layoutKnown:
		case <-ctx.Done():
			return false
		case <-time.After(layoutRetryDelay):
		}
	}
	return tmwait.Pause(ctx, 0)
}

// tryDecideLayout stores the number of shards, unless it is stored already.
func (n *Node) tryDecideLayout(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, layoutTimeout)
	defer cancel()
	shards, err := n.countShards(ctx)
	if err != nil {
		return err
	}
	key := tmrecord.LayoutKey()
	_, err = n.opts.Store.Write(ctx, tmtable.Txn{
		Expects: []tmtable.Expect{{Key: key}},
		Puts:    []tmtable.Put{{Key: key, Value: tmrecord.EncodeLayout(shards)}},
	})
	var conflict *tmtable.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// countShards returns the number of shards for the current fleet. A fleet that had an
// owner before the number of shards was stored stays whole, because the rows of its
// jobs are those of the first shard.
func (n *Node) countShards(ctx context.Context) (int, error) {
	guard := tmrecord.GuardKey(0)
	page, err := n.opts.Store.Read(ctx, tmtable.Range{Table: guard.Table, Part: guard.Part, Limit: 1})
	if err != nil {
		return 0, err
	}
	if len(page.Rows) > 0 || n.opts.Instances == nil {
		return 1, nil
	}
	list, err := n.opts.Instances.List(ctx)
	if err != nil {
		return 0, err
	}
	if len(list) == 0 {
		return 0, errNoInstances
	}
	return tmshard.Count(len(list), n.board.Capacities()), nil
}
