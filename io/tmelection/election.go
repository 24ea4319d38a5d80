// Package tmelection decides which node owns the fleet, by conditional writes
// of one row. Every change of owner raises the fencing token in the row, so an
// owner that was paused can do no harm: endpoints and the store refuse it.
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
	// renewEvery is the time between two renewals by the owner.
	renewEvery = 500 * time.Millisecond
	// takeAfter is how long the row must stand still, while the store answers,
	// before another node takes over.
	takeAfter = 1300 * time.Millisecond
	// contactGap is the time without an answer after which the store counts as lost.
	// A call waits for feedWait at most.
	contactGap = 1000 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = 900 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 100 * time.Millisecond
	// feedWait is how long a call waits for the row to change.
	feedWait = 700 * tmclock.Millisecond
	// weakPause is how much longer a node waits that has less than strongShare of
	// the processor share of the strongest one; firstPause is how long all wait
	// before the first election, until they know of each other.
	weakPause   = 600 * time.Millisecond
	firstPause  = 500 * time.Millisecond
	strongShare = 0.75
	// weakTerm is how long a weak owner is left alone by stronger nodes.
	weakTerm = 3 * time.Second
	// maxStagger spreads the nodes that take over at the same moment.
	maxStagger = 250 * time.Millisecond
)

// Candidate is one node in the election. It is safe for concurrent use.
type Candidate struct {
	Store tmtable.Store
	// Name is unique among nodes.
	Name string
	// Cores is the processor share of the node: where others have much more, it
	// lets them go first.
	Cores float64
	// Stagger, from 0 to 1, orders the candidates when the owner is gone.
	Stagger float64
	// Lead runs while the node owns the fleet and returns when ctx ends, or
	// earlier if it finds that another node has taken over.
	Lead func(ctx context.Context, token int64)
	// Status returns what the owner publishes.
	Status func() (waiting map[string]int, counted bool)
	// Seen hears of every version of the row.
	Seen func(o tmrecord.Owner)
	// Note hears of every change of role.
	Note func(event tmevent.Name, fields ...any)
	// Leave, when closed, ends the node's part in the election: it resigns, and
	// goes on only to follow the row.
	Leave <-chan struct{}

	mu      sync.Mutex
	row     tmrecord.Owner
	version int64
	changed time.Time
	known   bool
	contact time.Time
	// regained is when the store answered again after a time in which it did not,
	// so that the owner could not renew either.
	regained time.Time
	// since is when the present term was first seen.
	since time.Time
	// cores is the processor share of every node that was ever seen.
	cores map[string]float64
	began time.Time
}

// Run takes part in the election until ctx ends or the node leaves, and resigns
// then. It returns when ctx ends.
func (c *Candidate) Run(ctx context.Context) {
	c.began = time.Now()
	c.cores = map[string]float64{}
	c.register(ctx)
	var following sync.WaitGroup
	followCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	following.Go(func() { c.follow(followCtx) })
	defer func() {
		stop()
		following.Wait()
	}()
	standing, end := context.WithCancel(ctx)
	defer end()
	following.Go(func() {
		select {
		case <-c.Leave:
			end()
		case <-standing.Done():
		}
	})
	for standing.Err() == nil {
		if token, ok := c.tryTake(standing); ok {
			c.lead(standing, token)
			continue
		}
		tmwait.Pause(standing, retryPause)
	}
	<-ctx.Done()
}

// register stores what the node has. A failure only costs the node its turn.
func (c *Candidate) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	put := tmtable.Put{Key: tmrecord.NodeKey(c.Name), Value: tmrecord.EncodeNode(tmrecord.Node{Cores: c.Cores})}
	if _, err := c.Store.Write(ctx, tmtable.Txn{Puts: []tmtable.Put{put}}); err != nil {
		c.Note(tmevent.StoreFailed, "what", "registration of the node", "cause", err.Error())
	}
}

// weak reports whether a much stronger node is known. The mutex is held.
func (c *Candidate) weak() bool {
	for _, cores := range c.cores {
		if c.Cores < strongShare*cores {
			return true
		}
	}
	return false
}

func (c *Candidate) learnNode(row tmtable.Row) {
	n, err := tmrecord.DecodeNode(row.Value)
	if err != nil {
		c.Note(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cores[row.Key.Key] = n.Cores
}

func (c *Candidate) follow(ctx context.Context) {
	f := tmtable.Follower{
		Store: c.Store, Table: tmrecord.OwnerTable, Parts: []string{""}, Wait: feedWait,
		Snapshot: func(rows []tmtable.Row) {
			c.take(rows)
			c.mu.Lock()
			c.known = true
			c.mu.Unlock()
		},
		Changed: c.take,
		Synced: func(time.Time) {
			c.mu.Lock()
			if time.Since(c.contact) > contactGap {
				c.regained = time.Now()
			}
			c.contact = time.Now()
			c.mu.Unlock()
		},
	}
	f.Run(ctx)
}

func (c *Candidate) take(rows []tmtable.Row) {
	for _, row := range rows {
		if tmrecord.IsNodeKey(row.Key.Key) && !row.Deleted {
			c.learnNode(row)
			continue
		}
		if row.Key != tmrecord.OwnerKey() || row.Deleted {
			continue
		}
		o, err := tmrecord.DecodeOwner(row.Value)
		if err != nil {
			c.Note(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
			continue
		}
		c.learn(o, row.Version)
	}
}

func (c *Candidate) learn(o tmrecord.Owner, version int64) {
	c.mu.Lock()
	newer := version > c.version
	if newer {
		if o.Holder != c.row.Holder || o.Token != c.row.Token {
			c.Note(tmevent.OwnerSeen, "holder", o.Holder, "token", o.Token, "version", version)
		}
		if o.Token != c.row.Token {
			c.since = time.Now()
		}
		c.row, c.version, c.changed = o, version, time.Now()
	}
	c.mu.Unlock()
	if newer {
		c.Seen(o)
	}
}

// vacant reports whether the row may be taken: the owner has resigned, has not
// renewed for takeAfter although the store answers, or is much weaker than this
// node.
func (c *Candidate) vacant() (tmrecord.Owner, int64, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || time.Since(c.contact) > takeAfter {
		return c.row, c.version, false
	}
	stagger := time.Duration(c.Stagger * float64(maxStagger))
	if c.weak() && c.row.Holder != c.Name {
		stagger += weakPause
	}
	if c.version == 0 {
		return c.row, 0, time.Since(c.began) > firstPause+stagger
	}
	if c.row.Holder == "" || c.row.Holder == c.Name {
		return c.row, c.version, c.changed.IsZero() || time.Since(c.changed) > stagger
	}
	if c.row.Cores < strongShare*c.Cores && !c.weak() {
		return c.row, c.version, time.Since(c.since) > weakTerm+stagger
	}
	still := min(time.Since(c.changed), time.Since(c.regained))
	return c.row, c.version, still > takeAfter+stagger
}

func (c *Candidate) tryTake(ctx context.Context) (int64, bool) {
	row, version, ok := c.vacant()
	if !ok {
		return 0, false
	}
	next := tmrecord.Owner{Holder: c.Name, Token: row.Token + 1, Cores: c.Cores}
	if err := c.write(ctx, next, version); err != nil {
		return 0, false
	}
	c.Note(tmevent.OwnerWon, "token", next.Token, "before", row.Holder)
	return next.Token, true
}

// write replaces the row at a version and learns the new one.
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
		c.take(conflict.Rows)
	}
	if err != nil {
		return err
	}
	c.learn(o, res.Version)
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
	c.Note(tmevent.OwnerEnded, "token", token)
}

// renew keeps the row fresh until ctx or the leading ends, or another node has
// taken over.
func (c *Candidate) renew(ctx context.Context, token int64, done <-chan struct{}) {
	tick := time.NewTicker(renewEvery)
	defer tick.Stop()
	beat := int64(0)
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
		beat++
		waiting, counted := c.Status()
		next := tmrecord.Owner{Holder: c.Name, Token: token, Renewals: beat, Cores: c.Cores, Waiting: waiting, WaitingKnown: counted}
		if err := c.write(ctx, next, version); err != nil && ctx.Err() == nil {
			c.Note(tmevent.RenewalFailed, "token", token, "cause", err.Error())
		}
	}
}

// resign leaves the row without a holder, so that another node need not wait.
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
		c.Note(tmevent.ResignationFailed, "token", token, "cause", err.Error())
	}
}
