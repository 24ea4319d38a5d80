package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["surge"] = playSurge }

// link is the network link of a machine: what its connections receive shares its bandwidth.
type link struct {
	mu          sync.Mutex
	bytesPerSec float64
	free        time.Time
}

// pass waits until n more bytes have passed.
func (l *link) pass(n int) {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.bytesPerSec * float64(time.Second)))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	time.Sleep(wait)
}

// linkListener accepts connections whose peer is behind a link.
type linkListener struct {
	net.Listener
	link *link
}

type linkConn struct {
	net.Conn
	link *link
}

func (l linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
	return linkConn{Conn: c, link: l.link}, nil
}

// Write passes the bytes on in small pieces, so that connections take turns.
func (c linkConn) Write(b []byte) (int, error) {
	const piece = 8 << 10
	done := 0
	for done < len(b) {
		n := min(piece, len(b)-done)
		c.link.pass(n)
		m, err := c.Conn.Write(b[done : done+n])
		done += m
		if err != nil {
			return done, err
		}
	}
	return done, nil
}

// playSurge: a large job fills the pool while many others come, and the owner is killed.
func playSurge(rec *record, trouble bool) (bool, error) {
	const (
		filler  = "5c0e7a21d94b36f8"
		waiting = 1800
		senders = 12
		perSec  = 85
		fills   = 36 * time.Second
		downFor = 3500 * time.Millisecond
		// The weakest machines of the site have 10 Mbit/s.
		linkBytesPerSec = 10e6 / 8
	)
	linkRate = linkBytesPerSec
	s, err := newSite(rec, 3, 4, 64000, 131072, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.fleet
	f.duration = func(task string) time.Duration {
		if strings.HasPrefix(task, filler) {
			return fills
		}
		return time.Second
	}
	began := time.Now()
	big := jobSpec{Spec: "large plan", Steps: []step{{Count: 32, CPU: 8000, Mem: 1000, Estimate: fills.Milliseconds()}}}
	if err := s.submit(filler, big); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	spec := strings.Repeat("step scan ", 400)
	ids := make(chan int)
	failed := make(chan error, senders)
	var work sync.WaitGroup
	for range senders {
		work.Go(func() {
			for i := range ids {
				j := jobSpec{Spec: spec, Steps: []step{{Count: 1, CPU: 2000, Mem: 1000, Estimate: 1000}}}
				if err := s.submit(fmt.Sprintf("%08x%08x", i*2654435761%(1<<32), i), j); err != nil {
					failed <- err
					return
				}
			}
		})
	}
	turn := time.NewTicker(time.Second / perSec)
	defer turn.Stop()
	for i := range waiting {
		<-turn.C
		select {
		case ids <- i + 1:
		case err := <-failed:
			return false, err
		}
	}
	close(ids)
	work.Wait()
	rec.add("%d jobs of one task wait, after %v", waiting, time.Since(began).Round(time.Second))
	if time.Since(began) > fills-8*time.Second {
		return false, fmt.Errorf("it took too long to hand in the jobs")
	}
	if trouble {
		n := s.nodes[s.store.leader()]
		n.kill()
		time.Sleep(downFor)
		if err := n.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(began.Add(fills + 17*time.Second)))
	started := f.startCount() - 32
	time.Sleep(3 * time.Second)
	f.mu.Lock()
	runs := 0
	for _, w := range f.workers {
		runs += len(w.runs)
	}
	f.mu.Unlock()
	rec.add("20 s after the large job: %d of %d jobs were started, %d run", f.startCount()-32, waiting, runs)
	return f.startCount()-32 < waiting && f.startCount()-32 == started && runs == 0, nil
}
