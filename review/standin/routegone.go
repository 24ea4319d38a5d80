package main

import (
	"fmt"
	"time"
)

func init() { cases["routegone"] = playRouteGone }

// playRouteGone: a new configuration drops the route of a job that was accepted before.
func playRouteGone(rec *record, trouble bool) (bool, error) {
	const (
		id    = "5c0e7a21d94b36f8"
		count = 4
		took  = 3 * time.Second
	)
	s, err := newSite(rec, 3, 4, 64000, 131072, nil)
	if err != nil {
		return false, err
	}
	defer s.close()
	f := s.fleet
	f.duration = func(string) time.Duration { return took }
	size := step{Count: count, CPU: 3000, Mem: 4000, Estimate: took.Milliseconds()}
	second := size
	second.After = []int{0}
	if err := s.submit(id, jobSpec{Spec: "crew plan", Steps: []step{size, second}}); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	if trouble {
		rec.add("the operator puts version 9 without the route")
		s.store.set("op", "config", config(9, "/nuri77/"))
	}
	time.Sleep(2*took + 14*time.Second + 3*time.Second)
	f.mu.Lock()
	defer f.mu.Unlock()
	first, then := 0, 0
	for i := range count {
		first += f.state(fmt.Sprintf("%s.0.0.%d", id, i)).done
		then += f.state(fmt.Sprintf("%s.0.1.%d", id, i)).starts
	}
	rec.add("%d of %d tasks of the first step have ended done, %d of %d of the second were started", first, count, then, count)
	if first != count {
		return false, fmt.Errorf("the first step didn't run")
	}
	return then == 0, nil
}
