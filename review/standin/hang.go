package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

func init() { cases["hang"] = playHang }

// playHang: the owner is killed, and the store falls silent while the next owner reads what
// the one before has stored.
func playHang(rec *record, trouble bool) (bool, error) {
	const (
		lasting = "5c0e7a21d94b36f8"
		// Figures of `node_kill` and `platform_down` in the site file.
		downFor = 3500 * time.Millisecond
		outage  = 4500 * time.Millisecond
	)
	s, err := newSite(rec, 3, 4, 64000, 131072, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.fleet
	f.duration = func(string) time.Duration { return time.Second }
	watch := jobSpec{Spec: "wear monitoring", Steps: []step{{Count: 3, CPU: 5000, Mem: 16000, LongRunning: true}}}
	if err := s.submit(lasting, watch); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	if f.tasksOf(lasting) != 3 {
		return false, fmt.Errorf("%d of 3 lasting tasks were started", f.tasksOf(lasting))
	}
	if trouble {
		killed := s.store.leader()
		var silenced atomic.Bool
		s.store.mu.Lock()
		s.store.onGet = func(node int, table string) {
			if node == killed || table != "tm_run" || !silenced.CompareAndSwap(false, true) {
				return
			}
			rec.add("the store falls silent for %v while node %d reads table %s", outage, node+1, table)
			s.store.setSilent(true)
			time.AfterFunc(outage, func() {
				s.store.setSilent(false)
				rec.add("the store is back")
			})
		}
		s.store.mu.Unlock()
		s.nodes[killed].kill()
		time.Sleep(downFor)
		if err := s.nodes[killed].start(); err != nil {
			return false, err
		}
		time.Sleep(outage)
		if !silenced.Load() {
			return false, fmt.Errorf("no node read the progress of jobs")
		}
	}
	broken, err := stuck(s, nil)
	if err != nil {
		return false, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	running := 0
	for _, w := range f.workers {
		running += len(w.runs)
	}
	rec.add("%d of 3 lasting tasks run; the owner is node %d by its last write under a condition", running, s.store.leader()+1)
	return broken, nil
}
