package main

import (
	"fmt"
	"time"
)

func init() { cases["skipped"] = playSkipped }

// playSkipped: a timed job shares a pool that is full for four seconds. Its occurrences
// that wait meanwhile start after one that came later. Just then the owner is killed.
func playSkipped(rec *record, trouble bool) (bool, error) {
	const (
		timed   = "5c0e7a21d94b36f8"
		filler  = "00e1b2c3d4f50617"
		count   = 2
		repeats = 10
		short   = 500 * time.Millisecond
		long    = 4 * time.Second
		// downFor is the length of `node_kill` in the site file.
		downFor = 3500 * time.Millisecond
	)
	s, err := newSite(rec, 3, 2, 4000, 131072, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.fleet
	f.duration = func(task string) time.Duration {
		if task[:len(filler)] == filler {
			return long
		}
		return short
	}
	overtaken := make(chan string, 1)
	f.onStart = func(r *run) {
		var k, step, i int
		if r.task[:len(timed)] != timed {
			return
		}
		_, _ = fmt.Sscanf(r.task[len(timed):], ".%d.%d.%d", &k, &step, &i)
		if k == 0 {
			return
		}
		if before := f.state(fmt.Sprintf("%s.%d.0.0", timed, k-1)); before.starts == 0 {
			select {
			case overtaken <- fmt.Sprintf("occurrence %d starts while occurrence %d still waits", k, k-1):
			default:
			}
		}
	}
	begin := time.Now().Add(time.Second)
	j := jobSpec{
		Spec: "nightly plan", Steps: []step{{Count: count, CPU: 4000, Mem: 1000, Estimate: short.Milliseconds()}},
		Repeats: repeats, StartAt: begin.UnixMilli(), Interval: 1000,
	}
	if err := s.submit(timed, j); err != nil {
		return false, err
	}
	time.Sleep(time.Until(begin.Add(1600 * time.Millisecond)))
	big := jobSpec{Spec: "large plan", Steps: []step{{Count: count, CPU: 4000, Mem: 1000, Estimate: long.Milliseconds()}}}
	if err := s.submit(filler, big); err != nil {
		return false, err
	}
	select {
	case what := <-overtaken:
		rec.add("%s", what)
	case <-time.After(8 * time.Second):
		return false, fmt.Errorf("no occurrence overtook another")
	}
	if trouble {
		time.Sleep(150 * time.Millisecond)
		n := s.nodes[s.store.leader()]
		n.kill()
		time.Sleep(downFor)
		if err := n.start(); err != nil {
			return false, err
		}
	}
	state := s.awaitState(timed, time.Until(begin.Add(repeats*time.Second+20*time.Second)))
	rec.add("the timed job is shown as %q", state)
	time.Sleep(2 * time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	missing := 0
	for k := range repeats {
		for i := range count {
			name := fmt.Sprintf("%s.%d.0.%d", timed, k, i)
			if t := f.state(name); t.done == 0 {
				missing++
				rec.add("task %s has not ended done, it was started %d times", name, t.starts)
			}
		}
	}
	return state == "completed" && missing > 0, nil
}
