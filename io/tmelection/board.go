package tmelection

import (
	"context"
	"sync"
	"time"

	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmevent"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

const (
	// feedWait is how long a call waits for a row to change.
	feedWait = 700 * tmclock.Millisecond
	// sharedFeedPause is the pause between two calls if the fleet has several shards.
	// Each owner renews its row on its own, and every node would otherwise make a call
	// for each renewal. The pause of weak nodes is weakFeedPause, since they take over
	// only if no strong node does. Both are shorter than storeLossTimeout.
	sharedFeedPause = 250 * time.Millisecond
	weakFeedPause   = 700 * time.Millisecond
)

// Board follows the rows of the owners of all shards, of the nodes, and the row with
// the number of shards. It is safe for concurrent use.
type Board struct {
	Store tmtable.Store
	// Name is the name of this node, unique among nodes.
	Name string
	// Cores is the number of processor cores that the node may use. A node lets
	// others that have much more take over first. Capacity is how many instances it
	// can own.
	Cores    float64
	Capacity int
	// OwnerChanged is called with every new version of the row of an owner. The row was in the
	// store at readAt or later; by Now.
	OwnerChanged func(shard int, o tmrecord.Owner, readAt time.Time)
	// Now, if set, replaces time.Now as the source of readAt.
	Now func() time.Time
	// LayoutKnown is called once, with the number of shards.
	LayoutKnown func(shards int)
	// Emit receives an event for every change of role and every failure.
	Emit func(event tmevent.Name, fields ...any)

	mu         sync.Mutex
	terms      map[int]*term
	shards     int
	loaded     bool
	lastAnswer time.Time
	// storeRegainedAt is when the store last answered again after it had counted as lost.
	// While the store was lost the owner could not renew the row either, so that time
	// does not count towards takeoverTimeout.
	storeRegainedAt time.Time
	// nodes holds every node that was ever seen, by row key.
	nodes     map[string]tmrecord.Node
	startedAt time.Time
}

// term is what is known about the owner of one shard.
type term struct {
	row       tmrecord.Owner
	version   int64
	changedAt time.Time
	// startedAt is when the current token was first seen.
	startedAt time.Time
}

// Run registers the node and follows the rows until ctx ends.
func (b *Board) Run(ctx context.Context) {
	b.mu.Lock()
	b.startedAt = time.Now()
	b.mu.Unlock()
	b.register(ctx)
	f := tmtable.Follower{
		Store: b.Store, Table: tmrecord.OwnerTable, Parts: []string{""}, Wait: feedWait, Now: b.now,
	}
	f.Snapshot = func(rows []tmtable.Row) {
		b.applyRows(rows, f.SentAt())
		b.mu.Lock()
		b.loaded = true
		b.mu.Unlock()
	}
	f.Changed = func(rows []tmtable.Row) { b.applyRows(rows, b.readAt(f.SentAt())) }
	f.Synced = func(time.Time) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if time.Since(b.lastAnswer) > storeLossTimeout {
			b.storeRegainedAt = time.Now()
		}
		b.lastAnswer = time.Now()
		f.Pause = b.feedPause()
	}
	f.Run(ctx)
}

func (b *Board) now() time.Time {
	if b.Now != nil {
		return b.Now()
	}
	return time.Now()
}

// readAt returns as of when the rows are known that a call to the feed returned which was sent at
// the given time. The store answers within feedWait, so that what took longer was spent on the
// way, or this process was paused.
func (b *Board) readAt(sent time.Time) time.Time {
	if latest := sent.Add(feedWait.Duration()); latest.Before(b.now()) {
		return latest
	}
	return b.now()
}

// feedPause returns the pause after a call to the feed. The caller holds mu.
func (b *Board) feedPause() time.Duration {
	switch {
	case b.shards <= 1:
		return 0
	case b.isWeak():
		return weakFeedPause
	}
	return sharedFeedPause
}

// register stores what this node may use for the other nodes. If that fails, weaker
// nodes don't let this node take over first.
func (b *Board) register(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	put := tmtable.Put{
		Key:   tmrecord.NodeKey(b.Name),
		Value: tmrecord.EncodeNode(tmrecord.Node{Cores: b.Cores, Capacity: b.Capacity}),
	}
	if _, err := b.Store.Write(ctx, tmtable.Txn{Puts: []tmtable.Put{put}}); err != nil {
		b.Emit(tmevent.StoreFailed, "what", "registration of the node", "cause", err.Error())
	}
}

// Shards returns the number of shards, or 0 while it is unknown.
func (b *Board) Shards() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.shards
}

// Capacities returns how many instances each known node can own.
func (b *Board) Capacities() []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var capacities []int
	for _, n := range b.nodes {
		capacities = append(capacities, n.Capacity)
	}
	return capacities
}

func (b *Board) owner(shard int) (tmrecord.Owner, int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.term(shard)
	return t.row, t.version
}

// term returns what is known about a shard. The caller holds mu.
func (b *Board) term(shard int) *term {
	t := b.terms[shard]
	if t == nil {
		if b.terms == nil {
			b.terms = map[int]*term{}
		}
		t = &term{}
		b.terms[shard] = t
	}
	return t
}

// ownedBesides counts the shards other than the given one that this node owns. The
// caller holds mu.
func (b *Board) ownedBesides(shard int) int {
	n := 0
	for other, t := range b.terms {
		if other != shard && t.row.Holder == b.Name {
			n++
		}
	}
	return n
}

// isSurplus reports whether the owner of a shard also owns one with a lower index. The
// caller holds mu.
func (b *Board) isSurplus(shard int) bool {
	holder := b.term(shard).row.Holder
	for other, t := range b.terms {
		if other < shard && t.row.Holder == holder {
			return true
		}
	}
	return false
}

// isWeak reports whether a much stronger node is known. The caller holds mu.
func (b *Board) isWeak() bool {
	for _, n := range b.nodes {
		if b.Cores < weakCoresRatio*n.Cores {
			return true
		}
	}
	return false
}

func (b *Board) applyRows(rows []tmtable.Row, readAt time.Time) {
	for _, row := range rows {
		if err := b.applyRow(row, readAt); err != nil {
			b.Emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
		}
	}
}

func (b *Board) applyRow(row tmtable.Row, readAt time.Time) error {
	if row.Deleted {
		return nil
	}
	if row.Key == tmrecord.LayoutKey() {
		shards, err := tmrecord.DecodeLayout(row.Value)
		if err == nil {
			b.setLayout(shards)
		}
		return err
	}
	if tmrecord.IsNodeKey(row.Key.Key) {
		n, err := tmrecord.DecodeNode(row.Value)
		if err == nil {
			b.setNode(row.Key.Key, n)
		}
		return err
	}
	shard, ok := tmrecord.ShardOfOwner(row.Key.Key)
	if !ok {
		return nil
	}
	o, err := tmrecord.DecodeOwner(row.Value)
	if err == nil {
		b.updateOwner(shard, o, row.Version, readAt)
	}
	return err
}

func (b *Board) setNode(key string, n tmrecord.Node) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.nodes == nil {
		b.nodes = map[string]tmrecord.Node{}
	}
	b.nodes[key] = n
}

func (b *Board) setLayout(shards int) {
	b.mu.Lock()
	known := b.shards != 0
	if !known {
		b.shards = shards
	}
	b.mu.Unlock()
	if !known {
		b.LayoutKnown(shards)
	}
}

func (b *Board) updateOwner(shard int, o tmrecord.Owner, version int64, readAt time.Time) {
	b.mu.Lock()
	t := b.term(shard)
	newer := version > t.version
	if newer {
		if o.Holder != t.row.Holder || o.Token != t.row.Token {
			b.Emit(tmevent.OwnerSeen, "holder", o.Holder, "token", o.Token, "version", version, "shard", shard)
		}
		if o.Token != t.row.Token {
			t.startedAt = time.Now()
		}
		t.row, t.version, t.changedAt = o, version, time.Now()
	}
	b.mu.Unlock()
	if newer {
		b.OwnerChanged(shard, o, readAt)
	}
}
