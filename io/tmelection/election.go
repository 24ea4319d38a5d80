// Package tmelection elects the node that owns a shard of the fleet, by conditional
// writes of one row for each shard. Every change of owner raises the fencing token in
// the row. An owner that was paused and resumes after a change therefore does no harm:
// endpoints and the store reject its token.
//
// A Board follows the rows of all owners. A Candidate stands for one shard.
package tmelection

import (
	"context"
	"errors"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmfence"

	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

const (
	// renewInterval is the time between two renewals by the owner.
	renewInterval = 500 * time.Millisecond
	// takeoverTimeout is how long the row must stay unchanged, while the store
	// answers, before another node takes over.
	takeoverTimeout = 1300 * time.Millisecond
	// storeLossTimeout is the time without an answer after which the store counts as
	// lost. It is longer than feedWait, within which the store answers even if nothing
	// has changed.
	storeLossTimeout = 1000 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// retryDelay is the pause before the node checks again whether it can take over.
	retryDelay = 100 * time.Millisecond
	// A node with less than weakCoresRatio of the cores of the strongest node is weak,
	// and waits weakNodeDelay longer before it takes over.
	// firstElectionDelay is how long all nodes wait before the first election, so that
	// each has registered and read the rows of the others.
	weakNodeDelay      = 600 * time.Millisecond
	firstElectionDelay = 500 * time.Millisecond
	weakCoresRatio     = 0.75
	// weakOwnerMinTerm is how long a weak owner keeps the fleet before a stronger
	// node takes over.
	weakOwnerMinTerm = 3 * time.Second
	// maxStagger spreads out the nodes that would otherwise take over at the same
	// moment.
	maxStagger = 250 * time.Millisecond
	// ownedDelay is how much longer a node waits for each other shard that it owns.
	ownedDelay = 500 * time.Millisecond
	// minSharedTerm is how long a node that owns several shards keeps them before a
	// node that owns none takes over one of them.
	minSharedTerm = 3 * time.Second
)

// Candidate stands for one shard in the name of a node. It is safe for concurrent use.
type Candidate struct {
	Board *Board
	// Shard is the index of the shard.
	Shard int
	// Stagger, from 0 to 1, is the fraction of maxStagger that the node waits before
	// it takes over. It orders nodes that would otherwise take over at once.
	Stagger float64
	// Lead runs while the node owns the shard and returns when ctx ends, or
	// earlier if it finds that another node has taken over.
	Lead func(ctx context.Context, token int64)
	// Status returns the number of waiting jobs by queue, which the owner publishes,
	// and whether all jobs are counted.
	Status func() (waiting map[string]int, waitingKnown bool)
	// Backlogs, if set, returns what a new job would have to wait for by queue, which the owner
	// publishes too.
	Backlogs func() map[string]tmadmit.Backlog
}

// Run takes part in the election until ctx ends, and then resigns.
func (c *Candidate) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if token, ok := c.tryTakeOver(ctx); ok {
			c.lead(ctx, token)
			continue
		}
		tmwait.Pause(ctx, retryDelay)
	}
}

// canTakeOver returns the row of the owner and its version, and whether this node may
// take over. It may if the store answers and one of these cases has lasted long
// enough: there has been no owner yet, the owner has resigned, the row still names
// this node from an earlier term, the owner does not renew, the owner is much
// weaker than this node, or the owner has other shards and this node has none.
func (c *Candidate) canTakeOver() (tmrecord.Owner, int64, bool) {
	b := c.Board
	b.mu.Lock()
	defer b.mu.Unlock()
	term := b.term(c.Shard)
	row := term.row
	if !b.loaded || time.Since(b.lastAnswer) > takeoverTimeout {
		return row, term.version, false
	}
	owned := b.ownedBesides(c.Shard)
	delay := time.Duration(c.Stagger*float64(maxStagger)) + time.Duration(owned)*ownedDelay
	if b.isWeak() && row.Holder != b.Name {
		delay += weakNodeDelay
	}
	if term.version == 0 {
		return row, 0, time.Since(b.startedAt) > firstElectionDelay+delay
	}
	if row.Holder == "" || row.Holder == b.Name {
		return row, term.version, term.changedAt.IsZero() || time.Since(term.changedAt) > delay
	}
	if row.Cores < weakCoresRatio*b.Cores && !b.isWeak() && owned == 0 {
		return row, term.version, time.Since(term.startedAt) > weakOwnerMinTerm+delay
	}
	if owned == 0 && !b.isWeak() && b.isSurplus(c.Shard) && time.Since(term.changedAt) < takeoverTimeout {
		return row, term.version, time.Since(term.startedAt) > minSharedTerm+delay
	}
	unchangedFor := min(time.Since(term.changedAt), time.Since(b.storeRegainedAt))
	return row, term.version, unchangedFor > takeoverTimeout+delay
}

func (c *Candidate) tryTakeOver(ctx context.Context) (int64, bool) {
	row, version, ok := c.canTakeOver()
	if !ok {
		return 0, false
	}
	next := tmrecord.Owner{Holder: c.Board.Name, Token: tmfence.NextTerm(row.Token), Cores: c.Board.Cores}
	if err := c.write(ctx, next, version); err != nil {
		return 0, false
	}
	c.emit(tmevent.OwnerWon, "token", next.Token, "before", row.Holder)
	return next.Token, true
}

func (c *Candidate) emit(event tmevent.Name, fields ...any) {
	c.Board.Emit(event, append(fields, "shard", c.Shard)...)
}

// write replaces the row at the given version and records the new version.
func (c *Candidate) write(ctx context.Context, o tmrecord.Owner, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := tmrecord.OwnerKey(c.Shard)
	sent := c.Board.now()
	res, err := c.Board.Store.Write(ctx, tmtable.Txn{
		Expects: []tmtable.Expect{{Key: key, Version: version}},
		Puts:    []tmtable.Put{{Key: key, Value: tmrecord.EncodeOwner(o)}},
	})
	var conflict *tmtable.ConflictError
	if errors.As(err, &conflict) {
		c.Board.applyRows(conflict.Rows, sent)
	}
	if err != nil {
		return err
	}
	c.Board.updateOwner(c.Shard, o, res.Version, sent)
	return nil
}

func (c *Candidate) lead(ctx context.Context, token int64) {
	leadCtx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Lead(leadCtx, token)
	}()
	c.renew(leadCtx, token, done)
	stop()
	<-done
	if ctx.Err() != nil {
		c.resign(token)
	}
	c.emit(tmevent.OwnerEnded, "token", token)
}

// renew renews the row of the owner at each renewInterval until ctx ends, Lead
// returns or another node has taken over.
func (c *Candidate) renew(ctx context.Context, token int64, done <-chan struct{}) {
	tick := time.NewTicker(renewInterval)
	defer tick.Stop()
	renewals := int64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-done:
			return
		case <-tick.C:
		}
		row, version := c.Board.owner(c.Shard)
		if row.Token > token {
			return
		}
		renewals++
		waiting, waitingKnown := c.Status()
		next := tmrecord.Owner{
			Holder: c.Board.Name, Token: token, Renewals: renewals, Cores: c.Board.Cores,
			Waiting: waiting, WaitingKnown: waitingKnown,
		}
		if c.Backlogs != nil {
			next.Backlogs = c.Backlogs()
		}
		err := c.write(ctx, next, version)
		if errors.Is(err, tmtable.ErrInvalid) {
			// The numbers of waiting jobs may be too many for a row.
			next.Waiting, next.WaitingKnown, next.Backlogs = nil, false, nil
			err = c.write(ctx, next, version)
		}
		if err != nil && ctx.Err() == nil {
			c.emit(tmevent.RenewalFailed, "token", token, "cause", err.Error())
		}
	}
}

// resign clears the holder in the row, so that another node need not wait for
// takeoverTimeout.
func (c *Candidate) resign(token int64) {
	row, version := c.Board.owner(c.Shard)
	if row.Token != token || row.Holder != c.Board.Name {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.write(ctx, tmrecord.Owner{Token: token}, version); err != nil {
		c.emit(tmevent.ResignationFailed, "token", token, "cause", err.Error())
	}
}
