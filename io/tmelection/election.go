// Package tmelection elects the node that owns the fleet, by conditional writes of
// one row. Every change of owner raises the fencing token in the row. An owner that
// was paused and resumes after a change therefore does no harm: endpoints and the
// store reject its token.
package tmelection

import (
	"context"
	"errors"
	"sync"
	"time"

	"turmericmoor/internal/tmwait"

	"turmericmoor/core/tmevent"

	"turmericmoor/core/tmclock"
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
	// feedWait is how long a call waits for the row to change.
	feedWait = 700 * tmclock.Millisecond
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
)

// Candidate is one node in the election. It is safe for concurrent use.
type Candidate struct {
	Store tmtable.Store
	// Name is unique among nodes.
	Name string
	// Cores is the number of processor cores that the node may use. A node lets
	// others that have much more take over first.
	Cores float64
	// Stagger, from 0 to 1, is the fraction of maxStagger that the node waits before
	// it takes over. It orders nodes that would otherwise take over at once.
	Stagger float64
	// Lead runs while the node owns the fleet and returns when ctx ends, or
	// earlier if it finds that another node has taken over.
	Lead func(ctx context.Context, token int64)
	// Status returns the number of waiting jobs by queue, which the owner publishes,
	// and whether all jobs are counted.
	Status func() (waiting map[string]int, waitingKnown bool)
	// RowChanged is called with every new version of the row of the owner.
	RowChanged func(o tmrecord.Owner)
	// Emit receives an event for every change of role and every failure.
	Emit func(event tmevent.Name, fields ...any)
	// Leave, when closed, ends the candidacy: the node resigns and then only follows
	// the row.
	Leave <-chan struct{}

	mu         sync.Mutex
	row        tmrecord.Owner
	version    int64
	changedAt  time.Time
	loaded     bool
	lastAnswer time.Time
	// storeRegainedAt is when the store last answered again after it had counted as lost.
	// While the store was lost the owner could not renew the row either, so that time
	// does not count towards takeoverTimeout.
	storeRegainedAt time.Time
	// termStart is when the current token was first seen.
	termStart time.Time
	// nodeCores is the number of cores of every node that was ever seen, by row key.
	nodeCores map[string]float64
	startedAt time.Time
}

// Run takes part in the election until ctx ends or Leave is closed, and then
// resigns. It returns when ctx ends.
func (c *Candidate) Run(ctx context.Context) {
	c.startedAt = time.Now()
	c.nodeCores = map[string]float64{}
	c.register(ctx)
	var background sync.WaitGroup
	followCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	background.Go(func() { c.follow(followCtx) })
	defer func() {
		stop()
		background.Wait()
	}()
	electionCtx, leaveElection := context.WithCancel(ctx)
	defer leaveElection()
	background.Go(func() {
		select {
		case <-c.Leave:
			leaveElection()
		case <-electionCtx.Done():
		}
	})
	for electionCtx.Err() == nil {
		if token, ok := c.tryTakeOver(electionCtx); ok {
			c.lead(electionCtx, token)
			continue
		}
		tmwait.Pause(electionCtx, retryDelay)
	}
	<-ctx.Done()
}

// register stores the number of cores of this node for the other nodes. If that
// fails, weaker nodes don't let this node take over first.
func (c *Candidate) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	put := tmtable.Put{Key: tmrecord.NodeKey(c.Name), Value: tmrecord.EncodeNode(tmrecord.Node{Cores: c.Cores})}
	if _, err := c.Store.Write(ctx, tmtable.Txn{Puts: []tmtable.Put{put}}); err != nil {
		c.Emit(tmevent.StoreFailed, "what", "registration of the node", "cause", err.Error())
	}
}

// isWeak reports whether a much stronger node is known. The caller holds mu.
func (c *Candidate) isWeak() bool {
	for _, cores := range c.nodeCores {
		if c.Cores < weakCoresRatio*cores {
			return true
		}
	}
	return false
}

func (c *Candidate) updateNode(row tmtable.Row) {
	n, err := tmrecord.DecodeNode(row.Value)
	if err != nil {
		c.Emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodeCores[row.Key.Key] = n.Cores
}

func (c *Candidate) follow(ctx context.Context) {
	f := tmtable.Follower{
		Store: c.Store, Table: tmrecord.OwnerTable, Parts: []string{""}, Wait: feedWait,
		Snapshot: func(rows []tmtable.Row) {
			c.applyRows(rows)
			c.mu.Lock()
			c.loaded = true
			c.mu.Unlock()
		},
		Changed: c.applyRows,
		Synced: func(time.Time) {
			c.mu.Lock()
			if time.Since(c.lastAnswer) > storeLossTimeout {
				c.storeRegainedAt = time.Now()
			}
			c.lastAnswer = time.Now()
			c.mu.Unlock()
		},
	}
	f.Run(ctx)
}

func (c *Candidate) applyRows(rows []tmtable.Row) {
	for _, row := range rows {
		if tmrecord.IsNodeKey(row.Key.Key) && !row.Deleted {
			c.updateNode(row)
			continue
		}
		if row.Key != tmrecord.OwnerKey() || row.Deleted {
			continue
		}
		o, err := tmrecord.DecodeOwner(row.Value)
		if err != nil {
			c.Emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
			continue
		}
		c.updateOwner(o, row.Version)
	}
}

func (c *Candidate) updateOwner(o tmrecord.Owner, version int64) {
	c.mu.Lock()
	newer := version > c.version
	if newer {
		if o.Holder != c.row.Holder || o.Token != c.row.Token {
			c.Emit(tmevent.OwnerSeen, "holder", o.Holder, "token", o.Token, "version", version)
		}
		if o.Token != c.row.Token {
			c.termStart = time.Now()
		}
		c.row, c.version, c.changedAt = o, version, time.Now()
	}
	c.mu.Unlock()
	if newer {
		c.RowChanged(o)
	}
}

// canTakeOver returns the row of the owner and its version, and whether this node may
// take over. It may if the store answers and one of these cases has lasted long
// enough: there has been no owner yet, the owner has resigned, the row still names
// this node from an earlier term, the owner does not renew, or the owner is much
// weaker than this node.
func (c *Candidate) canTakeOver() (tmrecord.Owner, int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded || time.Since(c.lastAnswer) > takeoverTimeout {
		return c.row, c.version, false
	}
	delay := time.Duration(c.Stagger * float64(maxStagger))
	if c.isWeak() && c.row.Holder != c.Name {
		delay += weakNodeDelay
	}
	if c.version == 0 {
		return c.row, 0, time.Since(c.startedAt) > firstElectionDelay+delay
	}
	if c.row.Holder == "" || c.row.Holder == c.Name {
		return c.row, c.version, c.changedAt.IsZero() || time.Since(c.changedAt) > delay
	}
	if c.row.Cores < weakCoresRatio*c.Cores && !c.isWeak() {
		return c.row, c.version, time.Since(c.termStart) > weakOwnerMinTerm+delay
	}
	unchangedFor := min(time.Since(c.changedAt), time.Since(c.storeRegainedAt))
	return c.row, c.version, unchangedFor > takeoverTimeout+delay
}

func (c *Candidate) tryTakeOver(ctx context.Context) (int64, bool) {
	row, version, ok := c.canTakeOver()
	if !ok {
		return 0, false
	}
	next := tmrecord.Owner{Holder: c.Name, Token: row.Token + 1, Cores: c.Cores}
	if err := c.write(ctx, next, version); err != nil {
		return 0, false
	}
	c.Emit(tmevent.OwnerWon, "token", next.Token, "before", row.Holder)
	return next.Token, true
}

// write replaces the row at the given version and records the new version.
func (c *Candidate) write(ctx context.Context, o tmrecord.Owner, version int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := tmrecord.OwnerKey()
	res, err := c.Store.Write(ctx, tmtable.Txn{
		Expects: []tmtable.Expect{{Key: key, Version: version}},
		Puts:    []tmtable.Put{{Key: key, Value: tmrecord.EncodeOwner(o)}},
	})
	var conflict *tmtable.ConflictError
	if errors.As(err, &conflict) {
		c.applyRows(conflict.Rows)
	}
	if err != nil {
		return err
	}
	c.updateOwner(o, res.Version)
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
	c.Emit(tmevent.OwnerEnded, "token", token)
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
		c.mu.Lock()
		row, version := c.row, c.version
		c.mu.Unlock()
		if row.Token > token {
			return
		}
		renewals++
		waiting, waitingKnown := c.Status()
		next := tmrecord.Owner{Holder: c.Name, Token: token, Renewals: renewals, Cores: c.Cores, Waiting: waiting, WaitingKnown: waitingKnown}
		if err := c.write(ctx, next, version); err != nil && ctx.Err() == nil {
			c.Emit(tmevent.RenewalFailed, "token", token, "cause", err.Error())
		}
	}
}

// resign clears the holder in the row, so that another node need not wait for
// takeoverTimeout.
func (c *Candidate) resign(token int64) {
	c.mu.Lock()
	row, version := c.row, c.version
	c.mu.Unlock()
	if row.Token != token || row.Holder != c.Name {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.write(ctx, tmrecord.Owner{Token: token}, version); err != nil {
		c.Emit(tmevent.ResignationFailed, "token", token, "cause", err.Error())
	}
}
