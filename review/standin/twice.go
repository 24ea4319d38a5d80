package main

import (
	"fmt"
	"sort"
	"time"
)

func init() { cases["twice"] = playTwice }

// playTwice: a job of small tasks fills one worker. The owner is killed just before they
// end, so that the next owner finds more ends than a worker lists at a time.
func playTwice(rec *record, trouble bool) (bool, error) {
	const (
		id     = "5c0e7a21d94b36f8"
		count  = 600
		first  = 6 * time.Second
		spread = time.Millisecond
		// downFor is the length of `node_kill` in the site file.
		downFor = 3500 * time.Millisecond
	)
	s, err := newSite(rec, 3, 3, 64000, 131072, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.fleet
	f.duration = func(task string) time.Duration {
		var i int
		_, _ = fmt.Sscanf(task[len(id):], ".0.0.%d", &i)
		return first + time.Duration(i)*spread
	}
	j := jobSpec{Spec: "cleaning plan", Steps: []step{{Count: count, CPU: 100, Mem: 100, Estimate: 6000}}}
	if err := s.submit(id, j); err != nil {
		return false, err
	}
	time.Sleep(first - 300*time.Millisecond)
	if trouble {
		n := s.nodes[s.store.leader()]
		n.kill()
		time.Sleep(downFor)
		if err := n.start(); err != nil {
			return false, err
		}
	}
	state := s.awaitState(id, 30*time.Second)
	rec.add("the job is shown as %q", state)
	// Late ends are taken note of.
	time.Sleep(3 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	var twice []string
	starts := 0
	for name, t := range f.tasks {
		starts += t.starts
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
		rec.quiet("TWICE %s", t)
	}
	rec.add("%d tasks, %d starts, %d starts of tasks that had ended done or were running", len(f.tasks), starts, len(twice))
	if len(twice) > 0 {
		rec.add("for example %s", twice[0])
	}
	if len(f.tasks) != count {
		return false, fmt.Errorf("%d of %d tasks were started", len(f.tasks), count)
	}
	return len(twice) > 0, nil
}
