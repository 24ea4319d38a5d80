package fleetsim

import (
	"context"
	"sync"
	"time"

	"turmericmoor/internal/tmwait"
	"turmericmoor/io/tmnode"
)

// nodeProcess is the process of a node with its injected faults.
type nodeProcess struct {
	name string
	node *tmnode.Node
	mu   sync.Mutex
	// A killed process reaches nothing, and a storePartitioned one can't reach the store. A process
	// gets no answers about lostTable, "" for none.
	killed, storePartitioned bool
	lostTable                string
	// callTime is the processor time that each call takes of a starved process, 0 for none.
	// freeAt is when the calls so far have had theirs.
	callTime time.Duration
	freeAt   time.Time
	stop     context.CancelFunc
	done     chan struct{}
}

func (p *nodeProcess) isKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

func (p *nodeProcess) markKilled() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.killed = true
}

func (p *nodeProcess) cannotReachStore() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed || p.storePartitioned
}

func (p *nodeProcess) hasLost(table string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return table == p.lostTable
}

func (p *nodeProcess) setLostTable(table string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostTable = table
}

func (p *nodeProcess) setStorePartitioned(partitioned bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storePartitioned = partitioned
}

// setCallTime starves the process: its calls take turns from now on, and each takes that time.
func (p *nodeProcess) setCallTime(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callTime, p.freeAt = d, time.Now()
}

// awaitTurn waits until the process has time for a call. It reports false if ctx ended before.
func (p *nodeProcess) awaitTurn(ctx context.Context) bool {
	p.mu.Lock()
	if p.callTime == 0 {
		p.mu.Unlock()
		return true
	}
	if now := time.Now(); p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(p.callTime)
	wait := time.Until(p.freeAt)
	p.mu.Unlock()
	return tmwait.Pause(ctx, wait)
}
