package main

import (
	"fmt"
	"time"
)

func init() { cases["gang"] = playGang }

// playGang: a worker with a member of a gang crashes just after the members have saved
// again, before the owner has read that from each of them.
func playGang(rec *record, trouble bool) (bool, error) {
	const (
		id    = "5c0e7a21d94b36f8"
		count = 4
		took  = 110 * time.Second
		// downFor is the length of `srv_crash` in the site file.
		downFor = 4500 * time.Millisecond
		contact = 3 * time.Second
	)
	s, err := newSite(rec, 3, 8, 4000, 131072, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.fleet
	f.duration = func(string) time.Duration { return took }
	var disturbedUntil time.Time
	alone := 0
	f.onEnd = func(r *run, how string) {
		if how == "alone" {
			rec.add("%s run %d ends alone on %s", r.task, r.n, r.w.id)
			if time.Now().After(disturbedUntil.Add(contact)) {
				alone++
			}
		}
	}
	j := jobSpec{Spec: "simulation", Steps: []step{{Count: count, CPU: 3000, Mem: 1000, Estimate: took.Milliseconds(), Gang: true, Checkpoint: true}}}
	if err := s.submit(id, j); err != nil {
		return false, err
	}
	if trouble {
		crashed := -1
		for crashed < 0 {
			time.Sleep(5 * time.Millisecond)
			f.mu.Lock()
			now := time.Now()
			for i, w := range f.workers {
				for _, r := range w.runs {
					if done := r.worked(now); r.task == id+".0.0.2" && done > 3020*time.Millisecond {
						crashed = i
					}
				}
			}
			f.mu.Unlock()
		}
		f.mu.Lock()
		disturbedUntil = time.Now().Add(downFor)
		f.mu.Unlock()
		f.crash(crashed)
		time.Sleep(downFor)
		f.restart(crashed)
	}
	state := s.awaitState(id, 25*time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	rec.add("the job is shown as %q; %d runs ended alone without a disturbance near", state, alone)
	if f.state(id+".0.0.0").starts == 0 {
		return false, fmt.Errorf("the gang never started")
	}
	return alone > 0, nil
}
