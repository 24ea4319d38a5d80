// Package tmguard protects HTTP listeners from callers that we do not control: it counts the
// bytes and lines of a header before net/http parses them, bounds the number of connections, and
// bounds the memory of headers and bodies over all connections. It parses no request.
//
// A Guard is shared by the listeners of a process. Listen wraps a listener, Server returns the
// http.Server for it. docs/design/callers.md has the reasons.
//
// Lock order: Guard.mu is the only lock; connections are closed without it.
package tmguard

import (
	"container/list"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

// Class is a kind of listener. Each class has connections of its own, so that callers can't use
// up those of another class.
type Class int

// The classes.
const (
	// Callers are clients that we do not control.
	Callers Class = iota
	// Control are health checks, metrics and operators.
	Control
	classCount
)

var classNames = [classCount]string{"callers", "control"}

// ErrMemory means that the body of a request was not read because the bodies of all connections
// take too much memory. The request was not carried out.
var ErrMemory = errors.New("tmguard: too much memory is taken by bodies of requests")

// Report is told about a refusal: its kind, the address of the client and how many refusals of
// the kind there have been. It is called at most once a second for each kind.
type Report func(kind Kind, client string, total int64)

// Guard has the connections of a process. It is safe for concurrent use.
type Guard struct {
	limits Limits
	report Report
	counts [kindCount]atomic.Int64
	lines  [kindCount]*rate.Limiter
	// ran is the time for which the process ran, in ms.
	ran  atomic.Int64
	stop chan struct{}
	done sync.WaitGroup

	mu            sync.Mutex
	pools         [classCount]pool
	header, body  budget
	closeFinished bool
}

// pool has the connections of a class, in the order in which they began to wait for their
// client.
type pool struct {
	max   int
	conns list.List
}

// budget bounds what connections hold together. The ones that hold something are in the order
// in which they began to.
type budget struct {
	max, used int64
	holders   list.List
}

// charge is what one connection holds of a budget.
type charge struct {
	held    int64
	element *list.Element
}

// New returns a Guard with limits. report may be nil. Close ends its goroutine.
func New(limits Limits, report Report) *Guard {
	g := &Guard{limits: limits, report: report, stop: make(chan struct{})}
	g.pools[Callers].max, g.pools[Control].max = limits.Connections, limits.Reserved
	g.header.max, g.body.max = limits.HeaderMemory, limits.BodyMemory
	for i := range g.lines {
		g.lines[i] = rate.NewLimiter(rate.Every(time.Second), 1)
	}
	g.done.Go(g.watch)
	return g
}

// Close ends the goroutine of the Guard. Its connections stay open.
func (g *Guard) Close() {
	g.mu.Lock()
	if !g.closeFinished {
		g.closeFinished = true
		close(g.stop)
	}
	g.mu.Unlock()
	g.done.Wait()
}

// Refusals returns the number of refusals of a kind.
func (g *Guard) Refusals(kind Kind) int64 { return g.counts[kind].Load() }

// Open returns the number of open connections of a class.
func (g *Guard) Open(class Class) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pools[class].conns.Len()
}

// Refuse counts and reports a refusal of a client.
func (g *Guard) Refuse(kind Kind, client string) {
	total := g.counts[kind].Add(1)
	if g.report != nil && g.lines[kind].Allow() {
		g.report(kind, client, total)
	}
}

// add adds a connection to its class. If there are too many, it closes the one that has waited
// longest for its client. It returns false when there is none and the connection has no place.
func (g *Guard) add(c *conn) bool {
	g.mu.Lock()
	p := &g.pools[c.class]
	var victim *conn
	if p.conns.Len() >= p.max {
		if victim = oldestWaiting(&p.conns, c); victim == nil {
			g.mu.Unlock()
			return false
		}
		g.remove(victim)
	}
	c.element = p.conns.PushBack(c)
	g.mu.Unlock()
	g.cut(victim, Connections)
	return true
}

// closeOldest closes the connection that has waited longest for its client, if any.
func (g *Guard) closeOldest(class Class) {
	g.mu.Lock()
	victim := oldestWaiting(&g.pools[class].conns, nil)
	if victim != nil {
		g.remove(victim)
	}
	g.mu.Unlock()
	g.cut(victim, Connections)
}

// oldestWaiting returns the first connection of a list whose client is waited for, except one.
func oldestWaiting(conns *list.List, except *conn) *conn {
	for e := conns.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c != except && c.waits() {
			return c
		}
	}
	return nil
}

// cut closes a connection that was removed. c may be nil.
func (g *Guard) cut(c *conn, kind Kind) {
	if c == nil {
		return
	}
	g.Refuse(kind, c.raw.RemoteAddr().String())
	// The client sees the closed connection; there is nothing to do about an error.
	_ = c.raw.Close()
}

// remove removes a connection from its class and releases what it holds. g.mu is held.
func (g *Guard) remove(c *conn) {
	if c.element == nil {
		return
	}
	g.pools[c.class].conns.Remove(c.element)
	c.element = nil
	g.header.set(c, &c.header, 0)
	g.body.set(c, &c.body, 0)
}

// forget removes a connection that was closed.
func (g *Guard) forget(c *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(c)
}

// set changes what a connection holds of the budget. g.mu is held.
func (b *budget) set(c *conn, held *charge, amount int64) {
	b.used += amount - held.held
	held.held = amount
	switch {
	case amount == 0 && held.element != nil:
		b.holders.Remove(held.element)
		held.element = nil
	case amount > 0 && held.element == nil:
		held.element = b.holders.PushBack(c)
	}
}

// hold changes what a connection holds of a budget. While that is too much, it closes the other
// connections that have held something for longest and whose client is waited for. It returns
// false if that is not enough, and then the connection holds nothing.
func (g *Guard) hold(b *budget, c *conn, held *charge, amount int64, kind Kind) bool {
	g.mu.Lock()
	if c.element == nil {
		// The connection was closed, which its next read finds out.
		g.mu.Unlock()
		return true
	}
	b.set(c, held, amount)
	var victims []*conn
	for b.used > b.max && b.used > held.held {
		victim := oldestWaiting(&b.holders, c)
		if victim == nil {
			b.set(c, held, 0)
			break
		}
		g.remove(victim)
		victims = append(victims, victim)
	}
	kept := held.held == amount
	g.mu.Unlock()
	for _, victim := range victims {
		g.cut(victim, kind)
	}
	return kept
}

// Listen returns a listener whose connections are guarded. inner must not be used otherwise.
func (g *Guard) Listen(inner net.Listener, class Class) net.Listener {
	return &listener{Listener: inner, guard: g, class: class}
}
