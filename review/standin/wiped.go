package main

import (
	"fmt"
	"sort"
	"strings"
	"syscall"
	"time"
)

func init() { cases["wiped"] = playWiped }

// playWiped: a timed job runs while the nodes are stopped and started in turn, the owner
// first. Each new owner may store the job without any progress before it has read what the
// one before stored; the owner after that starts the job anew.
func playWiped(rec *record, trouble bool) (bool, error) {
	const (
		id    = "5c0e7a21d94b36f8"
		count = 4
		// gap is the gap_s of `roll_term` on the day trouble-2 of the site file.
		gap = 2000 * time.Millisecond
	)
	s, err := newSite(rec, 9, 110, 64000, 131072, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.fleet
	s.store.watch = id
	f.duration = func(task string) time.Duration {
		if strings.HasPrefix(task, id+".0.0.") {
			return 1200 * time.Millisecond
		}
		return 30 * time.Second
	}
	begin := time.Now().Add(time.Second)
	j := jobSpec{
		Spec: "nightly plan",
		Steps: []step{
			{Count: count, CPU: 3000, Mem: 4000, Estimate: 1000},
			{Count: count, CPU: 7000, Mem: 9000, Estimate: 30000, After: []int{0}},
		},
		Repeats: 2, StartAt: begin.UnixMilli(), Interval: 60000,
	}
	if err := s.submit(id, j); err != nil {
		return false, err
	}
	time.Sleep(time.Until(begin.Add(4 * time.Second)))
	if trouble {
		if err := s.roll(gap); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Until(begin.Add(40 * time.Second)))
	rec.add("the job is shown as %q", s.jobState(id))
	f.mu.Lock()
	defer f.mu.Unlock()
	var twice []string
	for name, t := range f.tasks {
		if t.noted {
			for _, again := range t.startsAfterDone {
				twice = append(twice, name+": "+again)
			}
		}
		for _, c := range t.concurrent {
			twice = append(twice, name+": "+c)
		}
	}
	sort.Strings(twice)
	for _, t := range twice {
		rec.add("TWICE %s", t)
	}
	if len(f.tasks) != 2*count {
		return false, fmt.Errorf("%d of %d tasks were started", len(f.tasks), 2*count)
	}
	return len(twice) > 0, nil
}

// roll stops and starts all nodes one after the other. The next one is the owner, if it has
// not been stopped before.
func (s *site) roll(gap time.Duration) error {
	rolled := map[int]bool{}
	ended := make(chan *node, len(s.nodes))
	for len(rolled) < len(s.nodes) {
		next := s.store.leader()
		for i := 0; rolled[next]; i++ {
			next = i
		}
		rolled[next] = true
		n := s.nodes[next]
		s.rec.add("node %d gets SIGTERM, the owner is node %d", n.i+1, s.store.leader()+1)
		if err := n.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		go func() {
			_ = n.cmd.Wait()
			ended <- n
		}()
		time.Sleep(gap)
		for len(ended) > 0 {
			if err := (<-ended).start(); err != nil {
				return err
			}
		}
	}
	return nil
}
