// Package tmnode implements one node of the fleet manager: it serves callers,
// applies what the operator has written and takes part in the election of the owner.
package tmnode

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericmoor/core/tmaccess"
	"turmericmoor/core/tmadmit"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmevent"
	"turmericmoor/core/tmjob"
	"turmericmoor/core/tmshard"
	"turmericmoor/io/tmelection"
	"turmericmoor/io/tmintake"
	"turmericmoor/io/tmowner"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

// ErrNotReady means that the node can't serve callers now.
var ErrNotReady = errors.New("tmnode: not ready")

// OperatorEntry is the decoded content of one row that the operator has written. The
// row of the configuration sets Access and Rules, any other row sets one field, and a
// row without effect sets none.
type OperatorEntry struct {
	Access *tmaccess.Table
	Rules  *tmcontrol.Rules
	// ZoneOut names a zone that is out of service while the row exists.
	ZoneOut string
	Wave    *tmcontrol.Wave
}

// Directory decodes what the operator and the endpoints write.
type Directory interface {
	tmowner.Directory
	// OperatorTable returns the table that the operator writes.
	OperatorTable() string
	Operator(row tmtable.Row) (OperatorEntry, error)
}

// Options configures a Node.
type Options struct {
	Name      string
	Store     tmtable.Store
	Endpoints tmowner.EndpointClient
	Instances tmowner.InstanceClient
	Advisor   tmowner.Advisor
	Directory Directory
	Clock     tmclock.Clock
	// BootClock returns a time that also advances while the machine is suspended.
	BootClock func() time.Time
	Bounds    tmcontrol.Bounds
	// MaxConfigAge is for how long calls are served after the store has last confirmed
	// that the configuration is current.
	MaxConfigAge time.Duration
	// KeepOutcomes is how long callers can query the outcome of a job.
	KeepOutcomes time.Duration
	// Resources is what the node may use.
	Resources tmshard.Node
	// Listening, if set, reports whether callers can reach the node. Without it they can.
	Listening func() bool
	Emit      func(tmevent.Event)
	Observe   func(what string, took time.Duration, err error)
}

// Node serves callers and manages the shards that it is elected for. It is safe for
// concurrent use.
type Node struct {
	opts   Options
	intake *tmintake.Intake
	board  *tmelection.Board
	// layoutKnown is closed once the number of shards is known.
	layoutKnown chan struct{}

	// applyMu orders the desired states that owners get. It is locked before mu, which is
	// not held while an owner takes one over: that waits for the planner of the owner.
	applyMu sync.Mutex

	mu                sync.Mutex
	access            *tmaccess.Table
	entries           map[string]OperatorEntry
	configConfirmedAt time.Time
	leaving           bool
	leave             chan struct{}
	owners            map[int]*tmowner.Owner
	wasStale          bool
}

// New returns a node. Run starts it.
func New(opts Options) *Node {
	n := &Node{
		opts: opts, entries: map[string]OperatorEntry{},
		owners: map[int]*tmowner.Owner{}, leave: make(chan struct{}), layoutKnown: make(chan struct{}),
	}
	n.intake = tmintake.NewWith(tmintake.Options{Store: opts.Store, Now: opts.BootClock, Emit: n.emit})
	n.board = &tmelection.Board{
		Store: opts.Store, Name: opts.Name, Cores: opts.Resources.Cores, Capacity: opts.Resources.Capacity(),
		OwnerChanged: n.updateOwner, LayoutKnown: n.setLayout, Now: opts.BootClock, Emit: n.emit,
	}
	return n
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { n.followOperator(ctx) })
	// The board is followed until the candidates have resigned.
	boardCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var following sync.WaitGroup
	following.Go(func() { n.board.Run(boardCtx) })
	work.Go(func() { n.stand(ctx) })
	<-ctx.Done()
	work.Wait()
	stop()
	following.Wait()
}

// stand takes part in the elections of all shards until ctx ends or the node leaves.
func (n *Node) stand(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var work sync.WaitGroup
	work.Go(func() {
		select {
		case <-n.leave:
			cancel()
		case <-ctx.Done():
		}
	})
	work.Go(func() { n.standFor(ctx, 0) })
	select {
	case <-n.layoutKnown:
		for shard := 1; shard < n.board.Shards(); shard++ {
			work.Go(func() { n.standFor(ctx, shard) })
		}
	case <-ctx.Done():
	}
	work.Wait()
}

// standFor takes part in the election of one shard.
func (n *Node) standFor(ctx context.Context, shard int) {
	// The order of the nodes differs from shard to shard.
	hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", n.opts.Name, shard))
	candidate := &tmelection.Candidate{
		Board: n.board, Shard: shard, Stagger: float64(hash%staggerSteps) / staggerSteps,
		Lead:     func(ctx context.Context, token int64) { n.lead(ctx, shard, token) },
		Status:   func() (map[string]int, bool) { return n.status(shard) },
		Backlogs: func() map[string]tmadmit.Backlog { return n.backlogs(shard) },
	}
	candidate.Run(ctx)
}

// staggerSteps is the number of different places that a node can have in the order of
// an election.
const staggerSteps = 1000

// setLayout is called once, when the number of shards is known.
func (n *Node) setLayout(shards int) {
	n.intake.SetShards(shards)
	n.emit(tmevent.LayoutKnown, "shards", shards)
	close(n.layoutKnown)
}

// updateOwner handles a new version of the row of the owner of a shard.
func (n *Node) updateOwner(shard int, o tmrecord.Owner, readAt time.Time) {
	n.intake.SetOwner(shard, o, readAt)
	if owner := n.owner(shard); owner != nil && o.Holder == n.opts.Name {
		owner.OwnershipConfirmed(o.Token)
	}
}

// owner returns the owner of a shard while it runs on this node, or nil.
func (n *Node) owner(shard int) *tmowner.Owner {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners[shard]
}

func (n *Node) emit(name tmevent.Name, fields ...any) {
	n.opts.Emit(tmevent.Event{Name: name, Fields: fields})
}

// Leave prepares the node for shutdown: the node reports that it isn't ready and
// hands the fleet over. It still serves callers.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leaving {
		n.leaving = true
		close(n.leave)
	}
}

// Configure sets new bounds and a new MaxConfigAge. If this node is the owner, the
// new bounds take effect the next time that it is elected.
func (n *Node) Configure(bounds tmcontrol.Bounds, maxConfigAge time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opts.Bounds, n.opts.MaxConfigAge = bounds, maxConfigAge
}

// Ready reports whether the node accepts requests.
func (n *Node) Ready() bool {
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	_, err := n.Access()
	isListening := n.opts.Listening == nil || n.opts.Listening()
	return err == nil && !leaving && isListening && n.board.Shards() > 0
}

// Access returns the configuration for callers, if the store has confirmed it
// recently enough.
func (n *Node) Access() (*tmaccess.Table, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.access == nil {
		return nil, fmt.Errorf("%w: no configuration yet", ErrNotReady)
	}
	age := n.opts.BootClock().Sub(n.configConfirmedAt)
	if stale := age > n.opts.MaxConfigAge; stale != n.wasStale {
		n.wasStale = stale
		n.emit(tmevent.AccessStale, "stale", stale, "age_ms", age.Milliseconds(), "version", n.access.Version())
	}
	if n.wasStale {
		return nil, fmt.Errorf("%w: the store has not confirmed the configuration for %d ms", ErrNotReady, age.Milliseconds())
	}
	return n.access, nil
}

// maxDesiredStateAge is how long after the store has last confirmed the desired state
// an owner on this node may act on it. With the time that a start order stays valid it is
// shorter than the time within which a zone that was taken out gets no more tasks.
const maxDesiredStateAge = 2 * time.Second

// isConfigCurrent reports whether the store has confirmed the desired state lately. A
// node that takes over right after it was cut off may know an old one.
func (n *Node) isConfigCurrent() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.access != nil && n.opts.BootClock().Sub(n.configConfirmedAt) <= maxDesiredStateAge
}

// Submit stores a job.
func (n *Node) Submit(ctx context.Context, j tmjob.Job) error {
	began := time.Now()
	err := n.intake.Submit(ctx, j)
	n.logCall(tmevent.CallerSubmit, j.ID, j.Queue, began, err)
	return err
}

// State returns the state of a job.
func (n *Node) State(ctx context.Context, queue, id string) (tmjob.State, error) {
	began := time.Now()
	s, err := n.intake.State(ctx, queue, id)
	if err != nil {
		n.logCall(tmevent.CallerState, id, queue, began, err)
	}
	return s, err
}

// Cancel stores the cancellation of a job.
func (n *Node) Cancel(ctx context.Context, queue, id string) error {
	began := time.Now()
	err := n.intake.Cancel(ctx, queue, id)
	n.logCall(tmevent.CallerCancel, id, queue, began, err)
	return err
}

// LogRefusal logs a call that was rejected before it reached a queue.
func (n *Node) LogRefusal(path string, status int, cause string) {
	n.mu.Lock()
	version := int64(0)
	if n.access != nil {
		version = n.access.Version()
	}
	n.mu.Unlock()
	n.emit(tmevent.CallerRefused, "path", path, "status", status, "cause", cause, "version", version)
}

// Waiting returns the number of accepted jobs of a queue that have not started.
func (n *Node) Waiting(queue string) (int, error) { return n.intake.Waiting(queue) }

func (n *Node) logCall(what tmevent.Name, job, queue string, began time.Time, err error) {
	outcome := "ok"
	if err != nil {
		outcome = err.Error()
	}
	took := time.Since(began)
	n.emit(what, "job", job, "queue", queue, "outcome", outcome, "took_ms", took.Milliseconds())
	if n.opts.Observe != nil {
		n.opts.Observe(string(what), took, err)
	}
}

func (n *Node) followOperator(ctx context.Context) {
	f := tmtable.Follower{
		Store: n.opts.Store, Table: n.opts.Directory.OperatorTable(), Parts: []string{""},
		Snapshot: func(rows []tmtable.Row) { n.applyOperatorRows(rows, true) },
		Changed:  func(rows []tmtable.Row) { n.applyOperatorRows(rows, false) },
		Synced: func(sent time.Time) {
			n.mu.Lock()
			n.configConfirmedAt = sent
			n.mu.Unlock()
		},
		Lost: func(err error) { n.emit(tmevent.StoreLost, "what", "operator", "cause", err.Error()) },
		Regained: func(after time.Duration) {
			n.emit(tmevent.StoreRegained, "what", "operator", "lost_ms", after.Milliseconds())
		},
		Now: n.opts.BootClock,
	}
	f.Run(ctx)
}

func (n *Node) applyOperatorRows(rows []tmtable.Row, isSnapshot bool) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	n.mu.Lock()
	if isSnapshot {
		previous := n.entries
		n.entries = map[string]OperatorEntry{}
		if config, ok := previous[configEntry]; ok {
			n.entries[configEntry] = config
		}
	}
	for _, row := range rows {
		n.applyOperatorRow(row)
	}
	desired := n.desiredState()
	owners := maps.Clone(n.owners)
	n.mu.Unlock()
	for _, owner := range owners {
		owner.Apply(desired)
	}
}

// configEntry is the key of the newest valid configuration in the entries of a Node.
const configEntry = ""

func (n *Node) applyOperatorRow(row tmtable.Row) {
	entry, err := n.opts.Directory.Operator(row)
	if err != nil {
		n.emit(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
		return
	}
	if entry.Access != nil {
		if n.access == nil || entry.Access.Version() > n.access.Version() {
			n.access = entry.Access
			n.entries[configEntry] = entry
			n.intake.SetObjectives(objectivesOf(entry.Rules))
			n.emit(tmevent.ConfigInstalled, "version", entry.Access.Version(), "row_version", row.Version)
		}
		return
	}
	if row.Deleted {
		delete(n.entries, row.Key.Key)
		return
	}
	n.entries[row.Key.Key] = entry
}

func (n *Node) desiredState() tmcontrol.DesiredState {
	var d tmcontrol.DesiredState
	for _, entry := range n.entries {
		switch {
		case entry.Rules != nil:
			d.Rules = *entry.Rules
		case entry.ZoneOut != "":
			d.ZonesOut = append(d.ZonesOut, entry.ZoneOut)
		case entry.Wave != nil:
			d.Waves = append(d.Waves, *entry.Wave)
		}
	}
	return d
}

const (
	// maxLoadTime is how long the answers that an owner waits for while it loads may keep the
	// link busy, and maxFlushTime that for a flush. The renewals of the owner have to get
	// through beside them.
	maxLoadTime  = 200 * time.Millisecond
	maxFlushTime = 200 * time.Millisecond
)

// linkBytes returns how many bytes pass the link of the node in a time, 0 if its bandwidth
// isn't known.
func (n *Node) linkBytes(d time.Duration) int {
	const bytesPerMbit = 1e6 / 8
	return int(n.opts.Resources.LinkMbps * bytesPerMbit * d.Seconds())
}

// boundsOfLink returns the bounds of an owner with flushes that suit the link of the node.
func (n *Node) boundsOfLink(b tmcontrol.Bounds) tmcontrol.Bounds {
	// Rows take a third more in a call to the store.
	b.FlushBytes = n.linkBytes(maxFlushTime) * 3 / 4
	return b
}

// lead manages a shard until ctx ends or another owner is found.
func (n *Node) lead(ctx context.Context, shard int, token int64) {
	if !n.decideLayout(ctx) {
		return
	}
	n.mu.Lock()
	bounds := n.opts.Bounds
	n.mu.Unlock()
	owner := tmowner.New(tmowner.Options{
		Store: n.opts.Store, Endpoints: n.opts.Endpoints, Instances: n.opts.Instances,
		Advisor: n.opts.Advisor, Directory: n.opts.Directory, Clock: n.opts.Clock,
		BootClock: n.opts.BootClock, Shard: tmshard.New(shard, n.board.Shards()), KeepOutcomes: n.opts.KeepOutcomes, Bounds: n.boundsOfLink(bounds),
		MaxInFlight: n.linkBytes(maxLoadTime),
		Emit:        n.opts.Emit, Observe: n.opts.Observe, IsConfigCurrent: n.isConfigCurrent,
	}, token)
	n.addOwner(shard, owner)
	owner.Run(ctx)
	n.mu.Lock()
	delete(n.owners, shard)
	n.mu.Unlock()
}

// addOwner makes an owner known, with the desired state.
func (n *Node) addOwner(shard int, owner *tmowner.Owner) {
	n.applyMu.Lock()
	defer n.applyMu.Unlock()
	n.mu.Lock()
	n.owners[shard] = owner
	desired := n.desiredState()
	n.mu.Unlock()
	owner.Apply(desired)
}

func (n *Node) status(shard int) (map[string]int, bool) {
	if owner := n.owner(shard); owner != nil {
		return owner.Status()
	}
	return nil, false
}

// backlogs returns what new jobs of a shard would have to wait for, while its owner runs on this
// node.
func (n *Node) backlogs(shard int) map[string]tmadmit.Backlog {
	if owner := n.owner(shard); owner != nil {
		return owner.Backlogs()
	}
	return nil
}

// objectivesOf returns the objectives of the queues of a configuration.
func objectivesOf(rules *tmcontrol.Rules) map[string]tmintake.Objective {
	out := map[string]tmintake.Objective{}
	if rules == nil {
		return out
	}
	for name, q := range rules.Queues {
		out[name] = tmintake.Objective{Stretch: q.Stretch, Fixed: q.Objective}
	}
	return out
}

// Dumps returns the states of the owners on this node by shard.
func (n *Node) Dumps() map[int]tmcontrol.Dump {
	n.mu.Lock()
	owners := maps.Clone(n.owners)
	n.mu.Unlock()
	dumps := map[int]tmcontrol.Dump{}
	for shard, owner := range owners {
		dumps[shard] = owner.Dump()
	}
	return dumps
}
