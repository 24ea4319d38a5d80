// Package tmnode is one node of the fleet manager: it serves callers, follows
// the operator's directives and takes part in the election of the owner.
package tmnode

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"turmericmoor/core/tmevent"

	"turmericmoor/core/tmaccess"
	"turmericmoor/core/tmclock"
	"turmericmoor/core/tmcontrol"
	"turmericmoor/core/tmjob"
	"turmericmoor/io/tmelection"
	"turmericmoor/io/tmintake"
	"turmericmoor/io/tmowner"
	"turmericmoor/io/tmrecord"
	"turmericmoor/io/tmtable"
)

// ErrNotReady means that the node can't serve callers now.
var ErrNotReady = errors.New("tmnode: not ready")

// Item is what one row of the operator says. Exactly one field is set.
type Item struct {
	Access *tmaccess.Table
	Rules  *tmcontrol.Rules
	// ZoneOut names a zone that is out while the row is there.
	ZoneOut string
	Wave    *tmcontrol.Wave
}

// Directory translates what the operator and the endpoints write.
type Directory interface {
	tmowner.Directory
	// OperatorTable returns the table that the operator writes.
	OperatorTable() string
	Operator(row tmtable.Row) (Item, error)
}

// Options are what a Node works with.
type Options struct {
	Name      string
	Store     tmtable.Store
	Endpoints tmowner.EndpointClient
	Instances tmowner.InstanceClient
	Advisor   tmowner.Advisor
	Directory Directory
	Clock     tmclock.Clock
	// Awake is a clock that also counts the time while the machine is
	// suspended.
	Awake  func() time.Time
	Bounds tmcontrol.Bounds
	// MaxAge is how long ago the store must have confirmed the configuration
	// for calls to be served.
	MaxAge time.Duration
	// KeepOutcomes is how long callers can ask for the outcome of a job.
	KeepOutcomes time.Duration
	// Stagger, from 0 to 1, orders the nodes in the election; Cores is the
	// processor share of the node.
	Stagger, Cores float64
	Note           func(tmevent.Event)
	Observe        func(what string, took time.Duration, err error)
}

// Node is safe for concurrent use.
type Node struct {
	opts   Options
	intake *tmintake.Intake

	mu       sync.Mutex
	access   *tmaccess.Table
	items    map[string]Item
	fresh    time.Time
	leaving  bool
	leave    chan struct{}
	owner    *tmowner.Owner
	wasStale bool
}

// New returns a node. Run starts it.
func New(opts Options) *Node {
	return &Node{opts: opts, intake: tmintake.New(opts.Store), items: map[string]Item{}, leave: make(chan struct{})}
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { n.followOperator(ctx) })
	candidate := &tmelection.Candidate{
		Store: n.opts.Store, Name: n.opts.Name, Stagger: n.opts.Stagger, Cores: n.opts.Cores,
		Lead: n.lead, Status: n.status, Leave: n.leave,
		Seen: n.seenOwner,
		Note: func(event tmevent.Name, fields ...any) { n.note(event, fields...) },
	}
	candidate.Run(ctx)
	work.Wait()
}

// seenOwner takes in a new version of the row of the owner.
func (n *Node) seenOwner(o tmrecord.Owner) {
	n.intake.SetOwner(o, time.Now())
	n.mu.Lock()
	owner := n.owner
	n.mu.Unlock()
	if owner != nil && o.Holder == n.opts.Name {
		owner.Seen(o.Token)
	}
}

func (n *Node) note(name tmevent.Name, fields ...any) {
	n.opts.Note(tmevent.Event{Name: name, Fields: fields})
}

// Leave makes the node report that it isn't ready, and hand the fleet over, before
// it stops. Callers are still served.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.leaving {
		n.leaving = true
		close(n.leave)
	}
}

// Configure takes in changed bounds. An owner goes by them from its next term on.
func (n *Node) Configure(bounds tmcontrol.Bounds, maxAge time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opts.Bounds, n.opts.MaxAge = bounds, maxAge
}

// Ready reports whether the node takes requests.
func (n *Node) Ready() bool {
	n.mu.Lock()
	leaving := n.leaving
	n.mu.Unlock()
	_, err := n.Access()
	return err == nil && !leaving
}

// Access returns the configuration for callers, if the store has confirmed it
// recently enough.
func (n *Node) Access() (*tmaccess.Table, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.access == nil {
		return nil, fmt.Errorf("%w: no configuration yet", ErrNotReady)
	}
	age := n.opts.Awake().Sub(n.fresh)
	if stale := age > n.opts.MaxAge; stale != n.wasStale {
		n.wasStale = stale
		n.note(tmevent.AccessStale, "stale", stale, "age_ms", age.Milliseconds(), "version", n.access.Version())
	}
	if n.wasStale {
		return nil, fmt.Errorf("%w: the store has not confirmed the configuration for %d ms", ErrNotReady, age.Milliseconds())
	}
	return n.access, nil
}

// Submit stores a job.
func (n *Node) Submit(ctx context.Context, j tmjob.Job) error {
	began := time.Now()
	err := n.intake.Submit(ctx, j)
	n.noteCall(tmevent.CallerSubmit, j.ID, j.Queue, began, err)
	return err
}

// State returns the state of a job.
func (n *Node) State(ctx context.Context, queue, id string) (tmjob.State, error) {
	began := time.Now()
	s, err := n.intake.State(ctx, queue, id)
	if err != nil {
		n.noteCall(tmevent.CallerState, id, queue, began, err)
	}
	return s, err
}

// Cancel stores the cancellation of a job.
func (n *Node) Cancel(ctx context.Context, queue, id string) error {
	began := time.Now()
	err := n.intake.Cancel(ctx, queue, id)
	n.noteCall(tmevent.CallerCancel, id, queue, began, err)
	return err
}

// Refused logs a call that was refused before it reached a queue.
func (n *Node) Refused(path string, status int, cause string) {
	n.mu.Lock()
	version := int64(0)
	if n.access != nil {
		version = n.access.Version()
	}
	n.mu.Unlock()
	n.note(tmevent.CallerRefused, "path", path, "status", status, "cause", cause, "version", version)
}

// Waiting returns the number of jobs of a queue that have not begun.
func (n *Node) Waiting(queue string) (int, error) { return n.intake.Waiting(queue) }

func (n *Node) noteCall(what tmevent.Name, job, queue string, began time.Time, err error) {
	outcome := "ok"
	if err != nil {
		outcome = err.Error()
	}
	took := time.Since(began)
	n.note(what, "job", job, "queue", queue, "outcome", outcome, "took_ms", took.Milliseconds())
	if n.opts.Observe != nil {
		n.opts.Observe(string(what), took, err)
	}
}

func (n *Node) followOperator(ctx context.Context) {
	f := tmtable.Follower{
		Store: n.opts.Store, Table: n.opts.Directory.OperatorTable(), Parts: []string{""},
		Snapshot: func(rows []tmtable.Row) { n.takeOperator(rows, true) },
		Changed:  func(rows []tmtable.Row) { n.takeOperator(rows, false) },
		Contact: func(sent time.Time) {
			n.mu.Lock()
			n.fresh = sent
			n.mu.Unlock()
		},
		Lost: func(err error) { n.note(tmevent.StoreLost, "what", "operator", "cause", err.Error()) },
		Regained: func(after time.Duration) {
			n.note(tmevent.StoreRegained, "what", "operator", "lost_ms", after.Milliseconds())
		},
		Now: n.opts.Awake,
	}
	f.Run(ctx)
}

func (n *Node) takeOperator(rows []tmtable.Row, whole bool) {
	n.mu.Lock()
	if whole {
		kept := n.items
		n.items = map[string]Item{}
		if config, ok := kept[configItem]; ok {
			n.items[configItem] = config
		}
	}
	for _, row := range rows {
		n.takeRow(row)
	}
	defer n.mu.Unlock()
	// The owner's mutex comes after that of the node.
	if n.owner != nil {
		n.owner.Apply(n.directive())
	}
}

// configItem is where the newest valid configuration is kept.
const configItem = ""

func (n *Node) takeRow(row tmtable.Row) {
	item, err := n.opts.Directory.Operator(row)
	if err != nil {
		n.note(tmevent.RowUnreadable, "table", row.Table, "key", row.Key.Key, "cause", err.Error())
		return
	}
	if item.Access != nil {
		if n.access == nil || item.Access.Version() > n.access.Version() {
			n.access = item.Access
			n.items[configItem] = item
			n.note(tmevent.ConfigInstalled, "version", item.Access.Version(), "row_version", row.Version)
		}
		return
	}
	if row.Deleted {
		delete(n.items, row.Key.Key)
		return
	}
	n.items[row.Key.Key] = item
}

func (n *Node) directive() tmcontrol.DesiredState {
	var d tmcontrol.DesiredState
	for _, item := range n.items {
		switch {
		case item.Rules != nil:
			d.Rules = *item.Rules
		case item.ZoneOut != "":
			d.ZonesOut = append(d.ZonesOut, item.ZoneOut)
		case item.Wave != nil:
			d.Waves = append(d.Waves, *item.Wave)
		}
	}
	return d
}

// lead owns the fleet until ctx ends.
func (n *Node) lead(ctx context.Context, token int64) {
	n.mu.Lock()
	bounds := n.opts.Bounds
	n.mu.Unlock()
	owner := tmowner.New(tmowner.Options{
		Store: n.opts.Store, Endpoints: n.opts.Endpoints, Instances: n.opts.Instances,
		Advisor: n.opts.Advisor, Directory: n.opts.Directory, Clock: n.opts.Clock,
		KeepOutcomes: n.opts.KeepOutcomes, Bounds: bounds, Holder: n.opts.Name, Note: n.opts.Note, Observe: n.opts.Observe,
	}, token)
	n.mu.Lock()
	n.owner = owner
	owner.Apply(n.directive())
	n.mu.Unlock()
	owner.Run(ctx)
	n.mu.Lock()
	n.owner = nil
	n.mu.Unlock()
}

func (n *Node) status() (map[string]int, bool) {
	n.mu.Lock()
	owner := n.owner
	n.mu.Unlock()
	if owner == nil {
		return nil, false
	}
	return owner.Status()
}

// Dump returns the state of the owner, if this node is it.
func (n *Node) Dump() (tmcontrol.Dump, bool) {
	n.mu.Lock()
	owner := n.owner
	n.mu.Unlock()
	if owner == nil {
		return tmcontrol.Dump{}, false
	}
	return owner.Dump(), true
}
