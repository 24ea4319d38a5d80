// Package tmnode implements one node of the fleet manager: it serves callers,
// applies what the operator has written and takes part in the election of the owner.
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
	// Stagger, from 0 to 1, orders the nodes in the election; Cores is the number of
	// processor cores that the node may use.
	Stagger, Cores float64
	Emit           func(tmevent.Event)
	Observe        func(what string, took time.Duration, err error)
}

// Node serves callers and, while it is elected, manages the fleet. It is safe for
// concurrent use.
type Node struct {
	opts   Options
	intake *tmintake.Intake

	mu                sync.Mutex
	access            *tmaccess.Table
	entries           map[string]OperatorEntry
	configConfirmedAt time.Time
	leaving           bool
	leave             chan struct{}
	owner             *tmowner.Owner
	wasStale          bool
}

// New returns a node. Run starts it.
func New(opts Options) *Node {
	return &Node{opts: opts, intake: tmintake.New(opts.Store), entries: map[string]OperatorEntry{}, leave: make(chan struct{})}
}

// Run serves until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var work sync.WaitGroup
	work.Go(func() { n.followOperator(ctx) })
	candidate := &tmelection.Candidate{
		Store: n.opts.Store, Name: n.opts.Name, Stagger: n.opts.Stagger, Cores: n.opts.Cores,
		Lead: n.lead, Status: n.status, Leave: n.leave,
		RowChanged: n.updateOwner,
		Emit:       func(event tmevent.Name, fields ...any) { n.emit(event, fields...) },
	}
	candidate.Run(ctx)
	work.Wait()
}

// updateOwner handles a new version of the row of the owner.
func (n *Node) updateOwner(o tmrecord.Owner) {
	n.intake.SetOwner(o, time.Now())
	n.mu.Lock()
	owner := n.owner
	n.mu.Unlock()
	if owner != nil && o.Holder == n.opts.Name {
		owner.OwnershipConfirmed(o.Token)
	}
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
	defer n.mu.Unlock()
	// Lock order: the mutex of the node before the mutex of the owner.
	if n.owner != nil {
		n.owner.Apply(n.desiredState())
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

// lead manages the fleet until ctx ends or another owner is found.
func (n *Node) lead(ctx context.Context, token int64) {
	n.mu.Lock()
	bounds := n.opts.Bounds
	n.mu.Unlock()
	owner := tmowner.New(tmowner.Options{
		Store: n.opts.Store, Endpoints: n.opts.Endpoints, Instances: n.opts.Instances,
		Advisor: n.opts.Advisor, Directory: n.opts.Directory, Clock: n.opts.Clock,
		KeepOutcomes: n.opts.KeepOutcomes, Bounds: bounds, Holder: n.opts.Name, Emit: n.opts.Emit, Observe: n.opts.Observe,
	}, token)
	n.mu.Lock()
	n.owner = owner
	owner.Apply(n.desiredState())
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

// Dump returns the state of the owner, and whether this node is the owner.
func (n *Node) Dump() (tmcontrol.Dump, bool) {
	n.mu.Lock()
	owner := n.owner
	n.mu.Unlock()
	if owner == nil {
		return tmcontrol.Dump{}, false
	}
	return owner.Dump(), true
}
