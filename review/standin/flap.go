package main

import (
	"fmt"
	"time"
)

func init() { cases["flap"] = playFlap }

// playFlap: a lasting task needs the one worker of its kind, which goes down and up.
func playFlap(rec *record, trouble bool) (bool, error) {
	const (
		id      = "5c0e7a21d94b36f8"
		workers = 10
		// Figures of `srv_flap` in the site file.
		gap    = 1400 * time.Millisecond
		lasts  = 6500 * time.Millisecond
		events = 2
	)
	s, err := newSite(rec, 3, workers, 64000, 131072, func(i int) string {
		if i == 0 {
			return "b"
		}
		return "a"
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.fleet
	f.duration = func(string) time.Duration { return time.Second }
	j := jobSpec{Spec: "wear monitoring", Steps: []step{{Count: 1, CPU: 5000, Mem: 16000, Requires: "b", LongRunning: true}}}
	if err := s.submit(id, j); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for range events {
			for began := time.Now(); time.Since(began) < lasts; {
				f.crash(0)
				time.Sleep(gap)
				f.restart(0)
				time.Sleep(gap)
			}
		}
	}
	time.Sleep(8 * time.Second)
	state := s.jobState(id)
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.state(id + ".0.0.0")
	rec.add("the lasting job is shown as %q; its task was started %d times, %d runs ended failed", state, t.starts, t.fails)
	if t.starts == 0 {
		return false, fmt.Errorf("the task never started")
	}
	return state == "failed" && t.fails == 0, nil
}
