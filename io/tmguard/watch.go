package tmguard

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// watchInterval is the interval at which headers that take too long are looked for.
	watchInterval = 500 * time.Millisecond
	// maxStep is the most that one interval adds to the time for which the process ran. A longer
	// interval means that the process was paused, or got no processor.
	maxStep = 2 * watchInterval
	// emptyTime is how long a new connection may stay open without a first byte. Between two
	// requests the IdleTimeout of the server applies.
	emptyTime = 60 * time.Second
)

// watch closes the connections whose header takes too long, until the Guard is closed.
func (g *Guard) watch() {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-g.stop:
			return
		case <-tick.C:
		}
		now := time.Now()
		g.advance(now.Sub(last))
		last = now
	}
}

// advance adds the time since the last call to the time for which the process ran, and closes
// the connections whose header takes too long.
func (g *Guard) advance(elapsed time.Duration) {
	g.ran.Add(min(elapsed, maxStep).Milliseconds())
	for _, c := range g.late() {
		g.cut(c, HeaderTime)
	}
}

// late removes and returns the connections whose header takes too long.
func (g *Guard) late() []*conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	var list []*conn
	for i := range g.pools {
		for e := g.pools[i].conns.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*conn); g.isLate(c) {
				list = append(list, c)
			}
		}
	}
	for _, c := range list {
		g.remove(c)
	}
	return list
}

// isLate reports whether the header of a connection takes too long. If bytes have arrived that
// the process has not read yet, it is the process that is late.
func (g *Guard) isLate(c *conn) bool {
	if c.phase.Load() != phaseHeader {
		return false
	}
	since, limit := c.headerSince.Load(), g.limits.HeaderTime
	if since < 0 {
		since, limit = c.waitsSince.Load(), emptyTime
	}
	return since >= 0 && g.ran.Load()-since > limit.Milliseconds() && !hasUnread(c.raw)
}

// hasUnread reports whether bytes have arrived on a connection that were not read.
func hasUnread(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = control.Control(func(fd uintptr) {
		var b [1]byte
		unread, _, _ = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}
